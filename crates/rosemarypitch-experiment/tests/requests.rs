//! Faults in each state of a request.
//!
//! Every request gets one complete answer or one error that reports correctly whether it was
//! executed, and afterwards no engine or host holds anything for it.

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

/// Maximum time until engines release the memory of an ended request.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);
const CUSTOMER: &str = "clubs";

/// State of a request on the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Queued,
    Prefilling,
    Transferring,
    Decoding,
    Finishing,
}

/// Fault or other event injected in that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Cancel,
    PrefillDies,
    DecodeDies,
    DecodeUnresponsive,
    HostDies,
    OwnerDies,
    CustomerDeactivated,
    PlatformDown,
}

#[derive(Debug, Default)]
struct Answer {
    tokens: Vec<String>,
    end: Option<Usage>,
    problem: Option<Problem>,
}

fn customers() -> Vec<CustomerPlan> {
    vec![CustomerPlan { name: CUSTOMER.to_owned(), weight: 1.0, long: true, factor: 1.0 }]
}

/// Speeds at which each state lasts long enough to inject a fault in it.
fn shape() -> EngineShape {
    EngineShape {
        prefill_rate: 10_000,
        link_rate: 5_000_000_000,
        event_gap: 0,
        ..EngineShape::default()
    }
}

async fn start_fleet(shape: EngineShape, adjust: impl FnOnce(&mut Document)) -> Fleet {
    let deployment = Deployment::Guild;
    let mut document = deployment.document(&shape, &customers());
    adjust(&mut document);
    let fleet = Fleet::start(FleetSpec {
        hosts: deployment.hosts(),
        engines: deployment.engines(&shape),
        document,
        local_delay: Duration::from_micros(100),
        remote_delay: deployment.remote_delay(),
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

const OUTPUT_TOKENS: u32 = 60;

fn start_request(fleet: &Fleet, host: usize) -> Completion {
    let host = fleet.members[host].host.clone();
    let caller = host.authenticate(CUSTOMER).expect("the key is in force");
    let request = CompletionRequest {
        caller,
        model: Arc::from("model"),
        prompt: prompt(),
        max_output: Some(OUTPUT_TOKENS),
    };
    Completion::start(host, request)
}

async fn finish(mut completion: Completion) -> Answer {
    let mut answer = Answer::default();
    while let Some(output) = completion.next().await {
        assert!(answer.end.is_none() && answer.problem.is_none(), "output after the end");
        match output {
            Output::Token(text) => answer.tokens.push(text),
            Output::End(_, usage) => answer.end = Some(usage),
            Output::Failed(problem) => answer.problem = Some(problem),
        }
    }
    answer
}

fn assert_complete(answer: &Answer) {
    let expected: Vec<String> =
        (0..OUTPUT_TOKENS).map(|index| token_text(&prompt(), index)).collect();
    assert_eq!(answer.problem, None);
    assert_eq!(answer.tokens, expected);
    assert_eq!(answer.end.map(|usage| usage.output), Some(OUTPUT_TOKENS));
}

/// Checks for a complete answer, or an error that reports execution if tokens arrived.
///
/// An error without tokens may report any execution status.
fn assert_complete_or_accurate_error(answer: &Answer) {
    match &answer.problem {
        None => assert_complete(answer),
        Some(problem) if !answer.tokens.is_empty() => {
            assert_eq!(problem.executed, Executed::Yes, "{problem:?} after tokens");
        }
        Some(_) => {}
    }
}

async fn assert_released(fleet: &Fleet) {
    let start = tokio::time::Instant::now();
    while fleet.work_count() > 0 {
        assert!(
            start.elapsed() < RELEASE_TIMEOUT,
            "engines still hold {} attempts",
            fleet.work_count()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for member in fleet.members.iter().filter(|member| !member.is_dead()) {
        assert_eq!(member.host.running.all(), [], "{}", member.host.id);
    }
}

/// Time after the start at which a request from `start_request` is in a state, on idle engines.
fn time_of(state: RequestState) -> Duration {
    match state {
        RequestState::Queued => Duration::ZERO,
        RequestState::Prefilling => Duration::from_millis(150),
        RequestState::Transferring => Duration::from_millis(350),
        RequestState::Decoding => Duration::from_millis(900),
        RequestState::Finishing => Duration::from_millis(1_640),
    }
}

/// Indices of the host that owns the pool and of another one.
fn owner_and_other(fleet: &Fleet) -> (usize, usize) {
    let view = fleet.members[0].host.view.borrow().clone();
    let owner = view.region_owner("pool/one/model/0").expect("an owner").id.host.clone();
    let owns = |index: &usize| fleet.members[*index].host.id.host == owner;
    let index = (0..fleet.members.len()).find(owns).expect("the owner is a member");
    (index, (index + 1) % fleet.members.len())
}

/// Names of the prefill or decode engines that hold any attempt.
fn busy_engines(fleet: &Fleet, prefill: bool) -> Vec<Arc<str>> {
    let engines = fleet.engines.iter();
    engines
        .filter(|(name, engine)| {
            name.starts_with("prefill") == prefill && !engine.work().is_empty()
        })
        .map(|(name, _)| name.clone())
        .collect()
}

async fn inject(fleet: &Fleet, disturbance: Disturbance, host: usize, owner: usize) {
    match disturbance {
        Disturbance::Cancel => {}
        Disturbance::PrefillDies => {
            for name in busy_engines(fleet, true) {
                fleet.engines[&name].stop();
            }
        }
        Disturbance::DecodeDies => {
            for name in busy_engines(fleet, false) {
                fleet.engines[&name].stop();
            }
        }
        Disturbance::DecodeUnresponsive => {
            for name in busy_engines(fleet, false) {
                fleet.engines[&name].set_unresponsive(true);
            }
        }
        Disturbance::HostDies => fleet.kill(host),
        Disturbance::OwnerDies => fleet.kill(owner),
        Disturbance::CustomerDeactivated => deactivate_customer(fleet).await,
        Disturbance::PlatformDown => {
            let down = rosemarypitch_standin::StoreFaults { down: true, ..Default::default() };
            fleet.set_platform_faults(down);
        }
    }
}

async fn deactivate_customer(fleet: &Fleet) {
    let patch = Patch::Merge(json!({ "customers": { CUSTOMER: { "active": false } } }));
    let outcome = fleet.members[0].host.config_sync.patch(patch, 1, Arc::from("withdraw")).await;
    assert!(matches!(outcome, PatchOutcome::Accepted(_)), "{outcome:?}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_fault_in_any_state_leaves_one_answer_and_no_work(
    #[values(
        RequestState::Queued,
        RequestState::Prefilling,
        RequestState::Transferring,
        RequestState::Decoding,
        RequestState::Finishing
    )]
    state: RequestState,
    #[values(
        Disturbance::Cancel,
        Disturbance::PrefillDies,
        Disturbance::DecodeDies,
        Disturbance::DecodeUnresponsive,
        Disturbance::HostDies,
        Disturbance::OwnerDies,
        Disturbance::CustomerDeactivated,
        Disturbance::PlatformDown
    )]
    disturbance: Disturbance,
) {
    let fleet = start_fleet(shape(), |_| {}).await;
    let (owner, host) = owner_and_other(&fleet);
    let completion = start_request(&fleet, host);
    tokio::time::sleep(time_of(state)).await;
    inject(&fleet, disturbance, host, owner).await;
    if matches!(disturbance, Disturbance::Cancel | Disturbance::HostDies) {
        drop(completion);
    } else {
        let answer = finish(completion).await;
        assert_complete_or_accurate_error(&answer);
        let may_fail =
            disturbance == Disturbance::CustomerDeactivated && state == RequestState::Queued;
        assert!(may_fail || answer.problem.is_none(), "{:?}", answer.problem);
    }
    for engine in fleet.engines.values() {
        engine.set_unresponsive(false);
    }
    assert_released(&fleet).await;
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_cancelled_request_is_released_immediately(
    #[values(
        RequestState::Prefilling,
        RequestState::Transferring,
        RequestState::Decoding,
        RequestState::Finishing
    )]
    state: RequestState,
) {
    let fleet = start_fleet(shape(), |_| {}).await;
    let completion = start_request(&fleet, 1);
    tokio::time::sleep(time_of(state)).await;
    assert!(fleet.work_count() > 0);
    drop(completion);
    // Well before the pool owner's reconciliation would release it.
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.work_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn late_and_stray_frames_are_dropped_and_counted() {
    let fleet = start_fleet(shape(), |_| {}).await;
    for engine in fleet.engines.values() {
        engine.set_stray_frames(true);
    }
    let answer = finish(start_request(&fleet, 0)).await;
    assert_complete(&answer);
    let dropped = fleet.members[0].host.metrics.stale_frames.get();
    assert_eq!(dropped, u64::from(2 * OUTPUT_TOKENS - 1));
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_stalled_transfer_is_retried_on_another_engine() {
    let shape = EngineShape { stall_one_in: 2, ..shape() };
    let fleet = start_fleet(shape, |_| {}).await;
    for host in 0..4 {
        assert_complete(&finish(start_request(&fleet, host)).await);
    }
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_queued_request_of_a_deactivated_customer_is_refused_as_not_executed() {
    // Six requests take all decode slots, so that the next one stays queued.
    let fleet = start_fleet(EngineShape { slots: 1, ..shape() }, |_| {}).await;
    let (_, host) = owner_and_other(&fleet);
    let mut blocking: Vec<Completion> = (0..6).map(|_| start_request(&fleet, host)).collect();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let queued = start_request(&fleet, host);
    tokio::time::sleep(Duration::from_millis(50)).await;
    deactivate_customer(&fleet).await;
    let answer = finish(queued).await;
    let problem = answer.problem.expect("a refusal");
    assert_eq!((problem.kind, problem.executed), (ProblemKind::BadKey, Executed::No));
    blocking.clear();
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_resumed_host_reports_accurately_and_leaves_no_work() {
    let fleet = start_fleet(shape(), |_| {}).await;
    let (_, host) = owner_and_other(&fleet);
    let completion = start_request(&fleet, host);
    tokio::time::sleep(time_of(RequestState::Prefilling)).await;
    fleet.set_paused(host, true);
    tokio::time::sleep(Duration::from_secs(20)).await;
    // By now the peers have removed the host, and its engine memory is released.
    assert_eq!(fleet.work_count(), 0);
    fleet.set_paused(host, false);
    assert_complete_or_accurate_error(&finish(completion).await);
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_refusal_without_available_engines_reports_not_executed() {
    let fleet = start_fleet(EngineShape { slots: 1, ..shape() }, |document| {
        for target in document.classes.values_mut() {
            target.wait_ms = 300;
        }
    })
    .await;
    let running: Vec<Completion> = (0..20).map(|_| start_request(&fleet, 0)).collect();
    let mut refused = 0;
    for completion in running {
        let answer = finish(completion).await;
        assert_complete_or_accurate_error(&answer);
        if let Some(problem) = answer.problem {
            assert_eq!((problem.kind, problem.executed), (ProblemKind::Unavailable, Executed::No));
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_gets_no_new_work_and_finishes_its_own() {
    let fleet = start_fleet(shape(), |_| {}).await;
    let running = start_request(&fleet, 0);
    tokio::time::sleep(time_of(RequestState::Decoding)).await;
    let name = busy_engines(&fleet, false).pop().expect("a busy decode engine");
    let patch = json!({ "upstreams": { name.as_ref(): { "state": "leaving" } } });
    let config_sync = fleet.members[1].host.config_sync.clone();
    let outcome = config_sync.patch(Patch::Merge(patch), 1, Arc::from("leave")).await;
    assert!(matches!(outcome, PatchOutcome::Accepted(_)), "{outcome:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_complete(&finish(running).await);
    for host in 0..4 {
        let completions: Vec<Completion> = (0..8).map(|_| start_request(&fleet, host)).collect();
        tokio::time::sleep(Duration::from_millis(900)).await;
        assert_eq!(fleet.engines[&name].work(), []);
        for completion in completions {
            assert_complete(&finish(completion).await);
        }
    }
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_host_that_leaves_interrupts_no_request() {
    let fleet = start_fleet(shape(), |_| {}).await;
    let (owner, _) = owner_and_other(&fleet);
    let running: Vec<Completion> = (0..6).map(|host| start_request(&fleet, host % 4)).collect();
    tokio::time::sleep(time_of(RequestState::Prefilling)).await;
    let leaving = fleet.members[owner].host.clone();
    leaving.leave().await;
    for completion in running {
        assert_complete(&finish(completion).await);
    }
    // Whether or not another host of its data centre takes over the released shares, the other
    // hosts keep serving.
    let other = (owner + 1) % 4;
    assert_complete(&finish(start_request(&fleet, other)).await);
    assert_released(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_stream_without_a_reader_is_aborted() {
    let fleet = start_fleet(shape(), |_| {}).await;
    let host = fleet.members[0].host.clone();
    let request = CompletionRequest {
        caller: host.authenticate(CUSTOMER).expect("the key is in force"),
        model: Arc::from("model"),
        prompt: prompt(),
        max_output: Some(1_500),
    };
    let completion = Completion::start(host, request);
    tokio::time::sleep(Duration::from_secs(50)).await;
    assert_eq!(fleet.work_count(), 0);
    let answer = finish(completion).await;
    let problem = answer.problem.expect("an aborted answer ends with a problem");
    assert_eq!((problem.kind, problem.executed), (ProblemKind::SlowRequest, Executed::Yes));
}

#[test]
fn hosts_of_a_deployment_have_unique_names() {
    for deployment in [Deployment::Board, Deployment::Guild] {
        let hosts: Vec<HostSpec> = deployment.hosts();
        let names: std::collections::HashSet<_> = hosts.iter().map(|host| &host.name).collect();
        assert_eq!(names.len(), hosts.len());
    }
}
