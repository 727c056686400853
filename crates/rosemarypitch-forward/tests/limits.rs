//! Rate limits and retry budgets over several hosts, and the reports between them.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::budget::{RepeatRules, RetryBudget};
use rosemarypitch_forward::config::{Customer, RateLimit};
use rosemarypitch_forward::counters::TokenDelta;
use rosemarypitch_forward::quota::{Quota, QuotaRules, Share};
use rosemarypitch_peer::TokenCounts;
use rstest::rstest;
use tokio::time::Instant;

const RULES: QuotaRules =
    QuotaRules { window: Duration::from_secs(8), overrun: 0.1, allowance: 120_000.0 };
const LIMIT: RateLimit = RateLimit { rate: 50_000.0, burst: 50_000.0 };
const ALONE: Share = Share { parts: 1.0, hosts: 1, lag: LAG };
/// The draw that is least likely to be admitted.
const DRAW: f64 = 1.0;
/// Delay of reports between two hosts of a row.
const LAG: Duration = Duration::from_millis(100);
const RETRIES: RepeatRules =
    RepeatRules { ratio: 0.2, allowance: 56.0, window: Duration::from_secs(10) };

fn customer(limit: Option<RateLimit>) -> Customer {
    Customer { name: Arc::from("club"), limit, flat_tokens: 200, homes: Vec::new() }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Most tokens that the users' rule allows in a window.
fn allowed() -> f64 {
    (LIMIT.rate * 8.0 + LIMIT.burst) * (1.0 + RULES.overrun) + RULES.allowance
}

fn busiest_window(admitted: &[(Duration, u64)]) -> u64 {
    let window = RULES.window;
    let from = admitted.iter().map(|(start, _)| {
        let seen = admitted.iter().filter(|(at, _)| at >= start && *at < *start + window);
        seen.map(|(_, tokens)| tokens).sum::<u64>()
    });
    from.max().unwrap_or(0)
}

/// Simulates hosts that exchange reports every `lag` milliseconds, or none if `partitioned`;
/// returns the time and the tokens of each admitted request.
fn simulate(seed: u64, hosts: usize, lag: u64, partitioned: bool) -> Vec<(Duration, u64)> {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quotas: Vec<Quota> = (0..hosts).map(|_| Quota::new(RULES, true)).collect();
    let mut reported = vec![TokenCounts::default(); hosts];
    let mut admitted = Vec::new();
    let share = Share { parts: if partitioned { 1.0 } else { hosts as f64 }, hosts, lag: ms(lag) };
    for step in 0..30_000_u64 {
        let time = ms(step);
        let now = start + time;
        // Four times the limit; half of the requests go to the first host, the others to any.
        if random.random_bool(0.015) {
            let host = if random.random_bool(0.5) { 0 } else { random.random_range(0..hosts) };
            let tokens = random.random_range(11_000..20_000);
            let draw = random.random_range(0.0..1.0);
            if quotas[host].take(now, &customer, share, tokens, draw).is_ok() {
                admitted.push((time, tokens));
            }
        }
        if !partitioned && step % lag == 0 {
            let sums: Vec<TokenCounts> = quotas
                .iter()
                .map(|quota| quota.spent().map(|(_, spent)| spent).next().unwrap_or_default())
                .collect();
            for (from, sum) in sums.iter().enumerate() {
                let asked = sum.requested - reported[from].requested;
                let change =
                    TokenDelta { asked, admitted: (sum.admitted - reported[from].admitted) as i64 };
                for quota in quotas.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                    quota.1.apply_remote(now, &customer, share, change);
                }
                reported[from] = *sum;
            }
        }
    }
    admitted
}

#[rstest]
#[case::one_host(1, 100, false)]
#[case::five_hosts(5, 100, false)]
#[case::five_hosts_with_a_long_lag(5, 300, false)]
#[case::five_partitioned_hosts(5, 100, true)]
#[case::thirty_two_hosts(32, 640, false)]
#[case::three_hundred_hosts(300, 900, false)]
fn no_window_admits_more_than_is_allowed(
    #[case] hosts: usize,
    #[case] lag: u64,
    #[case] partitioned: bool,
) {
    for seed in 0..20 {
        let admitted = simulate(seed, hosts, lag, partitioned);
        let most = busiest_window(&admitted);
        assert!(most as f64 <= allowed(), "seed {seed}: {most} of {}", allowed());
    }
}

#[test]
fn a_customer_at_its_rate_is_not_refused() {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, true);
    for step in 0..200 {
        let now = start + ms(step * 280);
        assert!(quota.take(now, &customer, ALONE, 14_000, DRAW).is_ok(), "request {step}");
    }
}

#[test]
fn a_request_is_admitted_after_the_retry_delay() {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, false);
    let mut now = start;
    let wait = quota.take(now, &customer, ALONE, 100_000, DRAW).expect_err("the bucket is empty");
    now += wait + ms(1);
    assert!(quota.take(now, &customer, ALONE, 100_000, DRAW).is_ok());
}

/// A host that has just started knows nothing of a customer's bucket. It told callers that wait
/// for half a second at most to come back after eight.
#[test]
fn a_host_that_has_not_settled_asks_for_a_short_retry() {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let share = Share { parts: 1.0, hosts: 141, lag: LAG };
    let mut quota = Quota::new(RULES, false);
    let wait = quota.take(start, &customer, share, 200, DRAW).expect_err("the bucket is empty");
    assert!(wait <= ms(500), "{wait:?}");
    quota.reconcile(start, &customer, share, &mut [0.0]);
    quota.mark_reconciled(start, true);
    let wait = quota.take(start, &customer, share, 20_000, DRAW).expect_err("the bucket is empty");
    assert!(wait > ms(500), "{wait:?}");
}

#[test]
fn refunded_tokens_can_be_taken_again() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, true);
    let mut admitted = 0;
    while quota.take(now, &customer, ALONE, 10_000, DRAW).is_ok() {
        admitted += 1;
    }
    assert!(admitted > 0);
    quota.refund("club", 10_000);
    assert!(quota.take(now, &customer, ALONE, 10_000, DRAW).is_ok());
}

#[test]
fn long_requests_leave_a_reserve_for_small_ones() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, true);
    while quota.take(now, &customer, ALONE, 14_000, DRAW).is_ok() {}
    for _ in 0..20 {
        assert!(quota.take(now, &customer, ALONE, 200, DRAW).is_ok());
    }
}

#[test]
fn a_lowered_limit_applies_at_once() {
    let now = Instant::now();
    let lowered = RateLimit { rate: 100.0, burst: 100.0 };
    let rules = QuotaRules { allowance: 0.0, overrun: 0.0, ..RULES };
    let mut quota = Quota::new(rules, true);
    assert!(quota.take(now, &customer(Some(LIMIT)), ALONE, 10, DRAW).is_ok());
    assert!(quota.take(now, &customer(Some(lowered)), ALONE, 90, DRAW).is_ok());
    assert!(quota.take(now, &customer(Some(lowered)), ALONE, 90, DRAW).is_err());
}

#[test]
fn a_customer_without_a_limit_is_not_limited() {
    let mut quota = Quota::new(RULES, false);
    assert!(quota.take(Instant::now(), &customer(None), ALONE, u64::MAX, DRAW).is_ok());
}

#[test]
fn changed_rules_apply_at_once() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, true);
    assert!(quota.take(now, &customer, ALONE, 1_000, DRAW).is_ok());
    quota.set_rules(QuotaRules { overrun: 0.0, allowance: 0.0, ..RULES });
    assert!(quota.take(now, &customer, ALONE, 45_000, DRAW).is_ok());
    assert!(quota.take(now, &customer, ALONE, 45_000, DRAW).is_err());
    let mut budget = RetryBudget::new(RETRIES);
    budget.set_rules(RepeatRules { allowance: 0.0, ..RETRIES });
    assert!(!budget.permit(now, 1));
}

/// A host that has just started or was paused adopts the fullness of the running hosts.
#[rstest]
#[case::started(Quota::new(RULES, false), ms(100))]
#[case::paused(outdated(), ms(1_100))]
fn an_outdated_host_adopts_the_fullness_of_the_others(
    #[case] mut quota: Quota,
    #[case] time: Duration,
) {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let share = Share { parts: 5.0, hosts: 5, lag: LAG };
    for now in [start, start + time] {
        quota.reconcile(now, &customer, share, &mut [0.9, -3.0, 0.8, 0.7]);
        quota.mark_reconciled(now, true);
    }
    assert!(quota.take(start + time, &customer, share, 50_000, DRAW).is_ok());
    // The median of the reports, because another host may have an outdated bucket too.
    let level = 0.75 * ((50_000.0 + 0.1 * 450_000.0) + 0.6 * 120_000.0);
    let left = quota.spent().next().and_then(|(_, spent)| spent.fullness).expect("settled");
    let gained = LIMIT.rate * 0.1;
    assert!(f64::from(left) * 167_000.0 <= level + gained + 1.0, "{left}");
}

/// A bucket that has received the admissions of several seconds in one report.
fn outdated() -> Quota {
    let mut quota = Quota::new(RULES, true);
    let share = Share { parts: 5.0, hosts: 5, lag: LAG };
    let reported = TokenDelta { asked: 400_000, admitted: 400_000 };
    quota.apply_remote(Instant::now(), &customer(Some(LIMIT)), share, reported);
    quota
}

#[test]
fn a_started_host_reports_no_fullness_until_it_has_settled() {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, false);
    let reported = |quota: &Quota| quota.spent().next().and_then(|(_, spent)| spent.fullness);
    assert!(quota.take(start, &customer, ALONE, 200, DRAW).is_ok());
    quota.mark_reconciled(start, false);
    assert_eq!(reported(&quota), None);
    quota.mark_reconciled(start + ms(1_600), false);
    assert!(reported(&quota).is_some());
}

#[test]
fn partitioned_hosts_divide_what_is_left() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let whole = Share { parts: 5.0, hosts: 5, lag: LAG };
    let mut admitted = 0;
    let mut sides = [Quota::new(RULES, true), Quota::new(RULES, true)];
    // Half of the bucket is spent while all hosts reach each other.
    for side in &mut sides {
        side.apply_remote(now, &customer, whole, TokenDelta { asked: 0, admitted: 83_500 });
    }
    for (side, parts) in sides.iter_mut().zip([3.0, 2.0]) {
        let share = Share { parts, ..whole };
        while side.take(now, &customer, share, 500, DRAW).is_ok() {
            admitted += 500;
        }
    }
    // Both sides may also admit their overdraft.
    assert!(f64::from(admitted) <= 83_500.0 + 2.0 * 0.2 * 120_000.0 / 5.0 + 1_000.0, "{admitted}");
}

/// Streams that callers took up after a restart competed with new ones for an empty bucket, and
/// most of them were lost.
#[test]
fn tokens_go_to_streams_that_are_taken_up_before_new_ones() {
    let (start, customer) = (Instant::now(), customer(Some(LIMIT)));
    let mut quota = Quota::new(RULES, false);
    let tokens = 12_000;
    quota.await_tokens(&customer, tokens);
    let mut taken = None;
    for step in 0..100 {
        let now = start + ms(step * 10);
        let new = quota.take(now, &customer, ALONE, tokens, 0.0).is_ok();
        assert!(!new || taken.is_some(), "a new stream after {step} steps");
        if taken.is_none() && quota.take_awaited(now, &customer, ALONE, tokens, DRAW) {
            quota.end_wait(&customer, tokens);
            taken = Some(step);
        }
    }
    assert!(taken.is_some_and(|step| step <= 30), "{taken:?}");
}

/// Hosts whose streams are taken up at the same time see the same tokens until they learn of each
/// other's use.
#[rstest]
#[case(4)]
#[case(60)]
fn streams_taken_up_at_many_hosts_stay_within_the_limit(#[case] hosts: usize) {
    for seed in 0..5 {
        let mut random = StdRng::seed_from_u64(seed);
        let (start, customer) = (Instant::now(), customer(Some(LIMIT)));
        let mut quotas: Vec<Quota> = (0..hosts).map(|_| Quota::new(RULES, true)).collect();
        let share = Share { parts: hosts as f64, hosts, lag: LAG };
        let mut admitted = Vec::new();
        let mut pending = Vec::new();
        for step in 0..1_000 {
            let time = ms(step * 20);
            for (host, quota) in quotas.iter_mut().enumerate() {
                let draw = random.random_range(0.0..1.0);
                let now = start + time;
                if quota.take_awaited(now, &customer, share, 12_000, draw) {
                    admitted.push((time, 12_000));
                    pending.push((time, host));
                }
            }
            // Each host learns of the others' use after the lag.
            for (_, from) in pending.extract_if(.., |(at, _)| *at + LAG <= time) {
                let others = quotas.iter_mut().enumerate().filter(|(host, _)| *host != from);
                for (_, quota) in others {
                    let change = TokenDelta { asked: 0, admitted: 12_000 };
                    quota.apply_remote(start + time, &customer, share, change);
                }
            }
        }
        let busiest = busiest_window(&admitted);
        assert!(busiest as f64 <= allowed(), "seed {seed}: {busiest} of {}", allowed());
    }
}
