//! Tests of the pool in isolation: fairness, reservations, reconciliation and random schedules.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use rosemarypitch_route::{
    Action, AttemptId, BLOCK_BYTES, EngineInfo, EngineLoad, EngineRole, Event, Flow, Job, Pool,
    PoolRules, Refusal, block_hashes,
};
use rstest::rstest;
use tokio::time::Instant;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn attempt(request: u64) -> AttemptId {
    AttemptId { host: name("h"), incarnation: 1, request, attempt: 1 }
}

fn engine(text: &str, role: EngineRole) -> EngineInfo {
    EngineInfo { name: name(text), role, data_centre: name("a"), leaving: false }
}

fn pool(prefills: usize, decodes: usize, slots: u32, rules: PoolRules) -> Pool {
    let mut pool = Pool::new(rules);
    let prefills = (0..prefills).map(|i| engine(&format!("p{i}"), EngineRole::Prefill));
    let decodes = (0..decodes).map(|i| engine(&format!("d{i}"), EngineRole::Decode(slots)));
    pool.step(Instant::now(), Event::Engines(prefills.chain(decodes).collect()));
    pool
}

fn job(now: Instant, request: u64, customer: &str, prompt: u32) -> Job {
    Job {
        attempt: attempt(request),
        flow: Flow { customer: name(customer), priority: 0 },
        weight: 1.0,
        prompt,
        output: 50,
        blocks: Vec::new(),
        data_centre: name("a"),
        due: now + Duration::from_millis(380),
        expires: now + Duration::from_secs(3),
    }
}

fn placed(actions: &[Action]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        Action::Place(attempt, _) => Some(attempt.request),
        _ => None,
    });
    ids.collect()
}

#[test]
fn a_prefill_starts_only_with_a_reserved_slot() {
    let now = Instant::now();
    let mut pool = pool(4, 1, 2, PoolRules::default());
    let mut started = Vec::new();
    for request in 0..5 {
        started.extend(placed(&pool.step(now, Event::Arrive(job(now, request, "c", 10)))));
    }
    assert_eq!(started, [0, 1]);
    assert_eq!(placed(&pool.step(now, Event::Finished(attempt(0)))), [2]);
}

#[test]
fn a_burst_of_one_customer_does_not_delay_another() {
    let now = Instant::now();
    let mut pool = pool(1, 1, 1, PoolRules::default());
    pool.step(now, Event::Arrive(job(now, 0, "many", 10)));
    for request in 1..=20 {
        pool.step(now, Event::Arrive(job(now, request, "many", 10)));
    }
    pool.step(now, Event::Arrive(job(now, 100, "one", 10)));
    let mut order = Vec::new();
    let mut last = 0;
    for _ in 0..4 {
        let next = placed(&pool.step(now, Event::Finished(attempt(last))));
        last = next[0];
        order.push(last);
    }
    assert!(order[..2].contains(&100), "{order:?}");
}

#[test]
fn requests_past_their_target_are_served_last() {
    let now = Instant::now();
    let mut pool = pool(1, 1, 1, PoolRules::default());
    for request in 0..3 {
        pool.step(now, Event::Arrive(job(now, request, "c", 10)));
    }
    let later = now + Duration::from_millis(500);
    pool.step(later, Event::Arrive(job(later, 10, "c", 10)));
    assert_eq!(placed(&pool.step(later, Event::Finished(attempt(0)))), [10]);
}

#[test]
fn an_expired_request_is_refused() {
    let now = Instant::now();
    let mut pool = pool(1, 1, 1, PoolRules::default());
    pool.step(now, Event::Arrive(job(now, 0, "c", 10)));
    pool.step(now, Event::Arrive(job(now, 1, "c", 10)));
    let actions = pool.step(now + Duration::from_secs(3), Event::Tick);
    assert_eq!(actions, [Action::Refuse(attempt(1), Refusal::Full)]);
    assert_eq!(pool.waiting(), 0);
}

#[rstest]
#[case(0, 1)]
#[case(1, 0)]
fn requests_are_refused_without_a_prefill_or_decode_engine(
    #[case] prefills: usize,
    #[case] decodes: usize,
) {
    let now = Instant::now();
    let mut pool = pool(prefills, decodes, 1, PoolRules::default());
    let actions = pool.step(now, Event::Arrive(job(now, 0, "c", 10)));
    assert_eq!(actions, [Action::Refuse(attempt(0), Refusal::NoEngine)]);
}

#[test]
fn batches_are_limited_by_the_measured_pace() {
    let now = Instant::now();
    let mut pool = pool(8, 1, 20, PoolRules::default());
    for running in [1, 4, 8, 12, 4, 8] {
        // 30 ms plus 7 ms for each request, so a batch of 7 meets the target of 79 ms.
        let pace = Duration::from_millis(30 + 7 * u64::from(running));
        let load = EngineLoad { running, pace, leaving: false };
        pool.step(now, Event::Load(name("d0"), load));
    }
    let mut started = 0;
    for request in 0..20 {
        started += placed(&pool.step(now, Event::Arrive(job(now, request, "c", 1)))).len();
    }
    assert_eq!(started, 7);
}

#[test]
fn a_request_goes_to_the_engine_that_cached_its_prefix() {
    let now = Instant::now();
    let mut pool = pool(3, 1, 20, PoolRules::default());
    let prompt = "x".repeat(3 * BLOCK_BYTES);
    let hashes = block_hashes(&prompt);
    for hash in &hashes {
        pool.step(now, Event::Stored(name("p2"), *hash));
    }
    let job = Job { blocks: hashes, ..job(now, 0, "c", 6_000) };
    let actions = pool.step(now, Event::Arrive(job));
    let Some(Action::Place(_, placement)) = actions.first() else { panic!("{actions:?}") };
    assert_eq!(placement.prefill, name("p2"));
}

#[test]
fn unknown_attempts_are_verified_and_those_of_ended_runs_cancelled() {
    let now = Instant::now();
    let mut pool = pool(1, 1, 4, PoolRules::default());
    let listed = || Event::WorkList(name("d0"), vec![attempt(9)]);
    assert_eq!(pool.step(now, listed()), [Action::Verify(name("d0"), attempt(9))]);
    let denied = pool.step(now, Event::Denied(name("d0"), attempt(9)));
    assert_eq!(denied, [Action::Cancel(name("d0"), attempt(9))]);
    pool.step(now, Event::HostDown(name("h"), 1));
    assert_eq!(pool.step(now, listed()), [Action::Cancel(name("d0"), attempt(9))]);
    pool.step(now, Event::HostUp(name("h"), 1));
    assert_eq!(pool.step(now, listed()), [Action::Verify(name("d0"), attempt(9))]);
}

#[test]
fn an_unlisted_reservation_is_dropped_after_the_timeout() {
    let now = Instant::now();
    let mut pool = pool(1, 1, 4, PoolRules::default());
    pool.step(now, Event::Arrive(job(now, 0, "c", 10)));
    pool.step(now, Event::WorkList(name("d0"), Vec::new()));
    assert_eq!(pool.placed(), 1);
    pool.step(now + Duration::from_secs(11), Event::WorkList(name("d0"), Vec::new()));
    assert_eq!(pool.placed(), 0);
}

proptest! {
    #![proptest_config(Config { cases: 300, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    /// Under events in any order, no decode engine is given more requests than it has slots,
    /// only requests that arrived are placed, and nothing stays reserved after all have ended.
    #[test]
    fn random_schedules_release_all_reservations(
        steps in proptest::collection::vec((any::<u8>(), 0_u64..24, 0_u64..200), 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let slots = 3;
        let mut pool = pool(2, 2, slots, PoolRules::default());
        let mut placements: HashMap<u64, Arc<str>> = HashMap::new();
        let mut answered: HashSet<u64> = HashSet::new();
        let mut arrived: HashSet<u64> = HashSet::new();
        let mut finished: HashSet<u64> = HashSet::new();
        for (kind, request, millis) in steps {
            now += Duration::from_millis(millis);
            let id = attempt(request);
            let engine = name(["p0", "p1", "d0", "d1"][request as usize % 4]);
            let event = match kind % 10 {
                0..=3 if arrived.insert(request) => {
                    Event::Arrive(job(now, request, ["x", "y"][request as usize % 2], 800))
                }
                4 => Event::Prefilled { attempt: id, tokens: 800, time: Duration::from_millis(20) },
                5 | 6 => Event::Finished(id),
                7 => Event::TransferFailed(id),
                8 => Event::Failed(engine),
                9 => Event::WorkList(engine, vec![id]),
                _ => Event::Tick,
            };
            if let Event::Finished(id) = &event {
                placements.remove(&id.request);
                finished.insert(id.request);
            }
            for action in pool.step(now, event) {
                match action {
                    Action::Place(id, placement) => {
                        assert!(arrived.contains(&id.request));
                        answered.insert(id.request);
                        placements.insert(id.request, placement.decode);
                    }
                    Action::Refuse(id, _) => {
                        answered.insert(id.request);
                        placements.remove(&id.request);
                    }
                    Action::Cancel(..) | Action::Verify(..) => {}
                }
            }
            for decode in ["d0", "d1"] {
                let held = placements.values().filter(|engine| engine.as_ref() == decode).count();
                assert!(held as u32 <= slots, "{held} on {decode}");
            }
        }
        // A request that has been neither answered nor finished is still queued.
        let open = arrived.iter().filter(|id| !answered.contains(id) && !finished.contains(id));
        assert!(open.count() <= pool.waiting(), "{} waiting", pool.waiting());
        for request in 0..24 {
            pool.step(now, Event::Finished(attempt(request)));
        }
        assert_eq!((pool.waiting(), pool.placed()), (0, 0));
        for engine in pool.engines() {
            assert_eq!((engine.reserved.len(), engine.reserved_total), (0, 0));
        }
    }
}
