//! The queue of a host that stops, without a network.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::config::EngineSize;
use rosemarypitch_forward::deployment::Tokens;
use rosemarypitch_forward::pool::{Decision, Pool, SlotRequest};
use rosemarypitch_forward::tuning::PoolTuning;
use tokio::time::Instant;

const SIZE: EngineSize =
    EngineSize { slots: 12, tokens: 80_000, hold: Duration::from_secs(2), event_tokens: 70 };

fn slot_request(ticket: u64, now: Instant, output: u64) -> SlotRequest {
    let due = now + Duration::from_secs(10);
    SlotRequest { ticket, prompt: 100, output, cost: 1.0, retried: false, due, expires: due }
}

/// Queues a long and a short request at a pool whose only engine is full, and decides.
fn decide(end: Option<Duration>) -> (Pool, Vec<Decision>, Instant) {
    let now = Instant::now();
    let mut pool = Pool::new(SIZE, Arc::from("howrah"), PoolTuning::default());
    pool.set_engines(&[Arc::new(support::upstream("d"))], SIZE, 1);
    pool.mark_full(now, "d");
    pool.estimate(Tokens { prompt: 100, output: 5_000, guess: None });
    if let Some(end) = end {
        pool.set_end(now + end);
    }
    pool.push(now, slot_request(1, now, 5_000));
    pool.push(now, slot_request(2, now, 500));
    let decisions = pool.decide(now);
    (pool, decisions, now)
}

fn refused(decisions: &[Decision]) -> Vec<u64> {
    let tickets = decisions.iter().filter_map(|decision| match decision {
        Decision::Refuse(ticket, _) => Some(*ticket),
        Decision::Place(..) => None,
    });
    tickets.collect()
}

/// Requests waited until a stopping host cut them, though they could not end before.
#[test]
fn a_queued_request_that_cannot_end_before_the_host_is_refused_at_once() {
    // A request occupies its slot for 3 s until others have been measured.
    let (mut pool, decisions, now) = decide(Some(Duration::from_secs(2)));
    assert_eq!(refused(&decisions), [1]);
    let later = pool.decide(now + Duration::from_millis(60));
    assert!(matches!(later[..], [Decision::Place(2, _)]), "{later:?}");
}

#[test]
fn a_host_that_stops_later_or_runs_refuses_none() {
    for end in [None, Some(Duration::from_secs(8))] {
        let (mut pool, decisions, now) = decide(end);
        assert!(decisions.is_empty(), "{decisions:?}");
        assert_eq!(pool.decide(now + Duration::from_millis(60)).len(), 2);
    }
}

#[test]
fn all_queued_requests_are_refused_once_the_end_has_come() {
    let (mut pool, _, now) = decide(Some(Duration::from_millis(2_000)));
    pool.mark_full(now + Duration::from_millis(1_990), "d");
    assert_eq!(refused(&pool.decide(now + Duration::from_millis(2_000))), [2]);
    assert!(!pool.is_waiting());
}
