//! Faults in each state of a request: every request gets one whole answer or one truthful
//! refusal, and afterwards nothing is held anywhere.

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Document, Patch};
use rosemarypitch_experiment::{CustomerPlan, Deployment, Fleet, FleetSpec, HostSpec};
use rosemarypitch_gateway::{
    Completion, CompletionRequest, Output, PatchOutcome, Problem, ProblemKind, Usage,
};
use rosemarypitch_route::Executed;
use rosemarypitch_standin::{EngineShape, token_text};
use rstest::rstest;
use serde_json::json;

/// Time in which the memory of a request that is gone is free again.
const RELEASE_TIME: Duration = Duration::from_secs(15);
const CUSTOMER: &str = "clubs";

/// States of a request, as the engines show them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Queued,
    Prefilling,
    Transferring,
    Decoding,
    Finishing,
}

/// What happens in that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum What {
    Cancel,
    PrefillDies,
    DecodeDies,
    DecodeSilent,
    HostDies,
    OwnerDies,
    KeyWithdrawn,
    PlatformDown,
}

#[derive(Debug, Default)]
struct Answer {
    tokens: Vec<String>,
    end: Option<Usage>,
    problem: Option<Problem>,
}

fn customers() -> Vec<CustomerPlan> {
    vec![CustomerPlan { name: CUSTOMER.to_owned(), part: 1.0, long: true, factor: 1.0 }]
}

/// Slow enough that each state lasts for a while.
fn shape() -> EngineShape {
    EngineShape {
        prefill_rate: 10_000,
        link_rate: 5_000_000_000,
        event_gap: 0,
        ..EngineShape::default()
    }
}

async fn fleet(shape: EngineShape, change: impl FnOnce(&mut Document)) -> Fleet {
    let deployment = Deployment::Guild;
    let mut document = deployment.document(&shape, &customers());
    change(&mut document);
    let fleet = Fleet::start(FleetSpec {
        hosts: deployment.hosts(),
        engines: deployment.engines(&shape),
        document,
        near: Duration::from_micros(100),
        far: deployment.far(),
        overrides: Vec::new(),
        rules: None,
    })
    .await;
    tokio::time::sleep(Duration::from_secs(15)).await;
    fleet
}

fn prompt() -> Arc<str> {
    Arc::from("bylaws of the ground ".repeat(600))
}

const OUTPUT: u32 = 60;

fn start(fleet: &Fleet, host: usize) -> Completion {
    let host = fleet.members[host].host.clone();
    let caller = host.authenticate(CUSTOMER).expect("the key is in force");
    let ask = CompletionRequest {
        caller,
        model: Arc::from("model"),
        prompt: prompt(),
        max_output: Some(OUTPUT),
    };
    Completion::start(host, ask)
}

async fn finish(mut completion: Completion) -> Answer {
    let mut answer = Answer::default();
    while let Some(output) = completion.next().await {
        assert!(answer.end.is_none() && answer.problem.is_none(), "something after the end");
        match output {
            Output::Token(text) => answer.tokens.push(text),
            Output::End(_, usage) => answer.end = Some(usage),
            Output::Failed(problem) => answer.problem = Some(problem),
        }
    }
    answer
}

fn assert_whole(answer: &Answer) {
    let expected: Vec<String> = (0..OUTPUT).map(|index| token_text(&prompt(), index)).collect();
    assert_eq!(answer.problem, None);
    assert_eq!(answer.tokens, expected);
    assert_eq!(answer.end.map(|usage| usage.output), Some(OUTPUT));
}

fn assert_whole_or_truthful(answer: &Answer) {
    match &answer.problem {
        None => assert_whole(answer),
        Some(problem) => {
            let ran = if answer.tokens.is_empty() { problem.executed } else { Executed::Yes };
            assert_eq!(problem.executed, ran, "{problem:?} after {} tokens", answer.tokens.len());
        }
    }
}

async fn assert_released(fleet: &Fleet) {
    let begun = tokio::time::Instant::now();
    while fleet.held() > 0 {
        assert!(begun.elapsed() < RELEASE_TIME, "engines hold {}", fleet.held());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for member in fleet.members.iter().filter(|member| !member.is_dead()) {
        assert_eq!(member.host.running.all(), [], "{}", member.host.id);
    }
}

/// Time from the start at which a request of this size is in a state, on idle engines.
fn instant(at: At) -> Duration {
    match at {
        At::Queued => Duration::ZERO,
        At::Prefilling => Duration::from_millis(150),
        At::Transferring => Duration::from_millis(350),
        At::Decoding => Duration::from_millis(900),
        At::Finishing => Duration::from_millis(1_640),
    }
}

/// The host that owns the pool, and one that does not.
fn owner_and_other(fleet: &Fleet) -> (usize, usize) {
    let view = fleet.members[0].host.view.borrow().clone();
    let owner = view.region_owner("pool/one/model/0").expect("an owner").id.host.clone();
    let owns = |index: &usize| fleet.members[*index].host.id.host == owner;
    let index = (0..fleet.members.len()).find(owns).expect("the owner is a member");
    (index, (index + 1) % fleet.members.len())
}

/// Engines that hold something for a request, by role.
fn busy(fleet: &Fleet, prefill: bool) -> Vec<Arc<str>> {
    let engines = fleet.engines.iter();
    engines
        .filter(|(name, engine)| {
            name.starts_with("prefill") == prefill && !engine.work().is_empty()
        })
        .map(|(name, _)| name.clone())
        .collect()
}

async fn disturb(fleet: &Fleet, what: What, host: usize, owner: usize) {
    match what {
        What::Cancel => {}
        What::PrefillDies => {
            for name in busy(fleet, true) {
                fleet.engines[&name].stop();
            }
        }
        What::DecodeDies => {
            for name in busy(fleet, false) {
                fleet.engines[&name].stop();
            }
        }
        What::DecodeSilent => {
            for name in busy(fleet, false) {
                fleet.engines[&name].set_silent(true);
            }
        }
        What::HostDies => fleet.kill(host),
        What::OwnerDies => fleet.kill(owner),
        What::KeyWithdrawn => withdraw(fleet).await,
        What::PlatformDown => {
            let down = rosemarypitch_standin::PortFaults { down: true, ..Default::default() };
            fleet.set_platform(down);
        }
    }
}

async fn withdraw(fleet: &Fleet) {
    let patch = Patch::Merge(json!({ "customers": { CUSTOMER: { "active": false } } }));
    let outcome = fleet.members[0].host.config_sync.patch(patch, 1, Arc::from("withdraw")).await;
    assert!(matches!(outcome, PatchOutcome::Accepted(_)), "{outcome:?}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_fault_in_any_state_leaves_one_answer_and_nothing_held(
    #[values(At::Queued, At::Prefilling, At::Transferring, At::Decoding, At::Finishing)] at: At,
    #[values(
        What::Cancel,
        What::PrefillDies,
        What::DecodeDies,
        What::DecodeSilent,
        What::HostDies,
        What::OwnerDies,
        What::KeyWithdrawn,
        What::PlatformDown
    )]
    what: What,
) {
    let fleet = fleet(shape(), |_| {}).await;
    let (owner, host) = owner_and_other(&fleet);
    let completion = start(&fleet, host);
    tokio::time::sleep(instant(at)).await;
    disturb(&fleet, what, host, owner).await;
    if matches!(what, What::Cancel | What::HostDies) {
        drop(completion);
    } else {
        let answer = finish(completion).await;
        assert_whole_or_truthful(&answer);
        let may_fail = what == What::KeyWithdrawn && at == At::Queued;
        assert!(may_fail || answer.problem.is_none(), "{:?}", answer.problem);
    }
    for engine in fleet.engines.values() {
        engine.set_silent(false);
    }
    assert_released(&fleet).await;
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_cancelled_request_is_released_at_once(
    #[values(At::Prefilling, At::Transferring, At::Decoding, At::Finishing)] at: At,
) {
    let fleet = fleet(shape(), |_| {}).await;
    let completion = start(&fleet, 1);
    tokio::time::sleep(instant(at)).await;
    assert!(fleet.held() > 0);
    drop(completion);
    // Well before the owner's reconciliation would notice.
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn late_and_crossed_frames_are_dropped_and_counted() {
    let fleet = fleet(shape(), |_| {}).await;
    for engine in fleet.engines.values() {
        engine.set_crossed(true);
    }
    let answer = finish(start(&fleet, 0)).await;
    assert_whole(&answer);
    let dropped = fleet.members[0].host.metrics.stale_frames.get();
    assert_eq!(dropped, u64::from(2 * OUTPUT - 1));
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_stalled_transfer_goes_to_another_engine() {
    let shape = EngineShape { stall_one_in: 2, ..shape() };
    let fleet = fleet(shape, |_| {}).await;
    for host in 0..4 {
        assert_whole(&finish(start(&fleet, host)).await);
    }
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_queued_under_a_withdrawn_key_is_refused_as_not_run() {
    // No decode slot is free, so that the request stays in the queue.
    let fleet = fleet(EngineShape { slots: 1, ..shape() }, |_| {}).await;
    let (_, host) = owner_and_other(&fleet);
    let mut filling: Vec<Completion> = (0..6).map(|_| start(&fleet, host)).collect();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let queued = start(&fleet, host);
    tokio::time::sleep(Duration::from_millis(50)).await;
    withdraw(&fleet).await;
    let answer = finish(queued).await;
    let problem = answer.problem.expect("a refusal");
    assert_eq!((problem.kind, problem.executed), (ProblemKind::BadKey, Executed::No));
    filling.clear();
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_paused_host_that_wakes_tells_the_truth_and_leaves_nothing() {
    let fleet = fleet(shape(), |_| {}).await;
    let (_, host) = owner_and_other(&fleet);
    let completion = start(&fleet, host);
    tokio::time::sleep(instant(At::Prefilling)).await;
    fleet.set_paused(host, true);
    tokio::time::sleep(Duration::from_secs(20)).await;
    // The others have counted it as gone; its engine memory is free before it wakes.
    assert_eq!(fleet.held(), 0);
    fleet.set_paused(host, false);
    assert_whole_or_truthful(&finish(completion).await);
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_refusal_for_want_of_engines_says_not_run() {
    let fleet = fleet(EngineShape { slots: 1, ..shape() }, |document| {
        for target in document.classes.values_mut() {
            target.wait_ms = 300;
        }
    })
    .await;
    let running: Vec<Completion> = (0..20).map(|_| start(&fleet, 0)).collect();
    let mut refused = 0;
    for completion in running {
        let answer = finish(completion).await;
        assert_whole_or_truthful(&answer);
        if let Some(problem) = answer.problem {
            assert_eq!((problem.kind, problem.executed), (ProblemKind::Unavailable, Executed::No));
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_gets_nothing_new_and_finishes_its_work() {
    let fleet = fleet(shape(), |_| {}).await;
    let running = start(&fleet, 0);
    tokio::time::sleep(instant(At::Decoding)).await;
    let name = busy(&fleet, false).pop().expect("a busy decode engine");
    let patch = json!({ "upstreams": { name.as_ref(): { "state": "leaving" } } });
    let keeper = fleet.members[1].host.config_sync.clone();
    let outcome = keeper.patch(Patch::Merge(patch), 1, Arc::from("leave")).await;
    assert!(matches!(outcome, PatchOutcome::Accepted(_)), "{outcome:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_whole(&finish(running).await);
    for host in 0..4 {
        let completions: Vec<Completion> = (0..8).map(|_| start(&fleet, host)).collect();
        tokio::time::sleep(Duration::from_millis(900)).await;
        assert_eq!(fleet.engines[&name].work(), []);
        for completion in completions {
            assert_whole(&finish(completion).await);
        }
    }
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_host_that_leaves_cuts_no_request() {
    let fleet = fleet(shape(), |_| {}).await;
    let (owner, _) = owner_and_other(&fleet);
    let running: Vec<Completion> = (0..6).map(|host| start(&fleet, host % 4)).collect();
    tokio::time::sleep(instant(At::Prefilling)).await;
    let leaving = fleet.members[owner].host.clone();
    leaving.leave().await;
    for completion in running {
        assert_whole(&finish(completion).await);
    }
    // The shares that it gave up are claimed by nobody else in its data centre, or by its
    // neighbour there; either way the others go on.
    let other = (owner + 1) % 4;
    assert_whole(&finish(start(&fleet, other)).await);
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_nobody_reads_is_given_up() {
    let fleet = fleet(shape(), |_| {}).await;
    let host = fleet.members[0].host.clone();
    let ask = CompletionRequest {
        caller: host.authenticate(CUSTOMER).expect("the key is in force"),
        model: Arc::from("model"),
        prompt: prompt(),
        max_output: Some(1_500),
    };
    let completion = Completion::start(host, ask);
    tokio::time::sleep(Duration::from_secs(50)).await;
    assert_eq!(fleet.held(), 0);
    let answer = finish(completion).await;
    let problem = answer.problem.expect("not as if whole");
    assert_eq!((problem.kind, problem.executed), (ProblemKind::SlowRequest, Executed::Yes));
}

#[test]
fn hosts_of_a_deployment_have_names_of_their_own() {
    for deployment in [Deployment::Board, Deployment::Guild] {
        let hosts: Vec<HostSpec> = deployment.hosts();
        let names: std::collections::HashSet<_> = hosts.iter().map(|host| &host.name).collect();
        assert_eq!(names.len(), hosts.len());
    }
}
