//! The queue of a host that stops, without a network.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::config::EngineSize;
use rosemarypitch_forward::deployment::Tokens;
use rosemarypitch_forward::homes::RegionSet;
use rosemarypitch_forward::pool::{Decision, DecodeEnd, Estimate, Pool, SlotRequest};
use rosemarypitch_forward::router::StopPhase;
use rosemarypitch_forward::stop::{self, RunTimes};
use rosemarypitch_forward::tuning::PoolTuning;
use rstest::rstest;
use tokio::time::Instant;

const SIZE: EngineSize =
    EngineSize { slots: 12, tokens: 80_000, hold: Duration::from_secs(2), event_tokens: 70 };

fn slot_request(ticket: u64, now: Instant, output: u64) -> SlotRequest {
    let due = now + Duration::from_secs(10);
    let required = output;
    let retried = false;
    let regions = RegionSet::ALL;
    let expires = due;
    SlotRequest {
        ticket,
        prompt: 100,
        output,
        required,
        cost: 1.0,
        retried,
        regions,
        due,
        expires,
        begun: false,
        version: None,
    }
}

/// Queues a long and a short request at a pool whose only engine is full, and decides.
fn decide(end: Option<Duration>) -> (Pool, Vec<Decision>, Instant) {
    let now = Instant::now();
    let mut pool = Pool::new(SIZE, Arc::from("howrah"), PoolTuning::default());
    pool.set_engines(&[Arc::new(support::upstream("d"))], SIZE, 1);
    pool.mark_full(now, "d");
    pool.estimate(Tokens { prompt: 100, output: 5_000, guess: None });
    if let Some(end) = end {
        pool.set_end(Some(now + end));
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

/// The time left was only looked at for requests that found no engine with room.
#[test]
fn a_request_that_cannot_end_before_the_host_is_refused_although_an_engine_is_free() {
    let now = Instant::now();
    let mut pool = pool_with_estimate(now, Some(Duration::from_secs(2)));
    pool.push(now, slot_request(1, now, 5_000));
    pool.push(now, slot_request(2, now, 500));
    let decisions = pool.decide(now);
    assert_eq!(refused(&decisions), [1]);
    assert!(matches!(decisions[..], [Decision::Refuse(..), Decision::Place(2, _)]));
}

/// The forecast was the average of all streams, however long the request and slow its engine.
#[rstest]
#[case::as_running_streams(false)]
#[case::as_ended_streams(true)]
fn the_forecast_follows_the_pace_of_streams_and_the_output_of_the_request(#[case] ended: bool) {
    let start = Instant::now();
    let mut pool = pool_with_estimate(start, None);
    pool.push(start, slot_request(1, start, 4_000));
    assert!(matches!(pool.decide(start)[..], [Decision::Place(1, _)]));
    // A millisecond for each token.
    let mut now = start;
    for generated in (70..4_000).step_by(70) {
        now = start + Duration::from_millis(generated);
        pool.record_output(now, "d", 1, generated);
    }
    if ended {
        pool.release(now, "d", 1, DecodeEnd::Finished(now - start));
    }
    pool.set_end(Some(now + Duration::from_millis(3_500)));
    pool.push(now, slot_request(2, now, 4_000));
    pool.push(now, slot_request(3, now, 3_000));
    assert_eq!(refused(&pool.decide(now)), [2]);
    assert!(pool.can_decode(now, 3_000) && !pool.can_decode(now, 3_600));
}

fn pool_with_estimate(now: Instant, end: Option<Duration>) -> Pool {
    let mut pool = Pool::new(SIZE, Arc::from("howrah"), PoolTuning::default());
    pool.set_engines(&[Arc::new(support::upstream("d"))], SIZE, 1);
    pool.estimate(Tokens { prompt: 100, output: 5_000, guess: None });
    pool.set_end(end.map(|end| now + end));
    pool
}

/// Before the load balancer knows of the stop a likely run has to end in time, later the longest.
#[rstest]
#[case::likely(StopPhase::Leaving, 1_000, 1_000)]
#[case::running(StopPhase::Running, 4_000, 4_000)]
#[case::longest(StopPhase::Finishing, 1_000, 5_625)]
fn output_for_which_a_stopping_host_must_have_time(
    #[case] phase: StopPhase,
    #[case] output: u64,
    #[case] required: u64,
) {
    let tokens = Tokens { prompt: 100, output: 4_500, guess: Some(output) };
    let estimate = Estimate { output, cost: 1.0 };
    assert_eq!(stop::required_output(phase, tokens, estimate), required);
}

#[test]
fn the_longest_run_of_a_plain_service_counts_once_the_host_accepts_no_connections() {
    let ms = Duration::from_millis;
    let mut times = RunTimes::default();
    assert_eq!(times.required(StopPhase::Leaving), None);
    times.record(ms(1_000));
    (0..20).for_each(|_| times.record(ms(100)));
    let likely = times.required(StopPhase::Leaving).unwrap_or_default();
    assert!((ms(700)..ms(1_000)).contains(&likely), "{likely:?}");
    let longest = times.required(StopPhase::Finishing).unwrap_or_default();
    assert!((ms(1_100)..ms(1_250)).contains(&longest), "{longest:?}");
}
