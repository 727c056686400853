//! Tests of the retry budget that hosts keep without exchanging anything.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::budget::{RepeatRules, RetryBudget};
use rstest::rstest;
use tokio::time::Instant;

const RETRIES: RepeatRules =
    RepeatRules { ratio: 0.2, allowance: 56.0, window: Duration::from_secs(10) };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Sends one retry at once if it is permitted.
fn take(budget: &mut RetryBudget, now: Instant, hosts: usize) -> bool {
    let permitted = budget.permit(now, hosts);
    if permitted {
        budget.send(now);
    }
    permitted
}

#[test]
fn retries_of_all_hosts_stay_within_the_budget() {
    let start = Instant::now();
    let hosts = 5;
    let mut budgets: Vec<_> = (0..hosts).map(|_| RetryBudget::new(RETRIES)).collect();
    let mut retries = 0;
    // One window: 100 requests at one host, while every host retries as often as permitted.
    for step in 0..1_000 {
        let now = start + ms(step * 9);
        if step % 10 == 0 {
            budgets[0].count_request(now);
        }
        retries += budgets.iter_mut().filter_map(|b| take(b, now, hosts).then_some(1)).sum::<u32>();
    }
    assert!(f64::from(retries) <= 0.2 * 100.0 + 56.0, "{retries}");
    assert!(retries > 60, "{retries}");
}

#[test]
fn the_retry_budget_recovers_after_the_window() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(RETRIES);
    while take(&mut budget, start, 5) {}
    assert!(!take(&mut budget, start + ms(9_900), 5));
    // A retry sent at the end of the window may arrive after it.
    assert!(!take(&mut budget, start + ms(10_400), 5));
    assert!(take(&mut budget, start + ms(10_600), 5));
}

/// Retries that wait in a queue arrive together, long after they were permitted.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn retries_that_wait_before_they_are_sent_stay_within_the_budget(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let hosts = 4;
    let mut budgets: Vec<_> = (0..hosts).map(|_| RetryBudget::new(RETRIES)).collect();
    let mut waiting: Vec<(Instant, usize)> = Vec::new();
    let mut arrivals = Vec::new();
    for step in 0..6_000 {
        let now = start + ms(step * 10);
        for (host, budget) in budgets.iter_mut().enumerate() {
            if budget.permit(now, hosts) {
                waiting.push((now + ms(rng.random_range(0..6_000)), host));
            }
        }
        for (_, host) in waiting.extract_if(.., |(at, _)| *at <= now) {
            budgets[host].send(now);
            arrivals.push(now + ms(rng.random_range(0..400)));
        }
    }
    arrivals.sort();
    let most = (0..arrivals.len())
        .map(|first| {
            let window = arrivals[first]..=arrivals[first] + RETRIES.window;
            arrivals[first..].iter().take_while(|at| window.contains(at)).count()
        })
        .max();
    assert!(most.is_some_and(|most| (20..=56).contains(&most)), "{most:?}");
}

#[test]
fn a_permit_that_is_not_used_returns_to_the_budget() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(RepeatRules { allowance: 1.0, ..RETRIES });
    assert!(budget.permit(now, 1));
    assert!(!budget.permit(now, 1));
    budget.cancel();
    assert!(budget.permit(now, 1));
}

#[test]
fn a_restarted_host_does_not_spend_its_allowance_twice() {
    let start = Instant::now();
    let mut budget = RetryBudget::restarted(RETRIES, start);
    assert!(!take(&mut budget, start + ms(9_900), 4));
    assert!(take(&mut budget, start + ms(10_100), 4));
}

/// Every prefill fails, and each failed one counts as a retry.
#[rstest]
#[case::four_hosts(4, 56)]
#[case::more_hosts_than_retries(119, 119)]
fn failing_first_attempts_do_not_overdraw_the_budget(#[case] hosts: usize, #[case] bound: usize) {
    let start = Instant::now();
    let rules = RepeatRules { ratio: 0.0, ..RETRIES };
    let mut budgets: Vec<_> = (0..hosts).map(|_| RetryBudget::new(rules)).collect();
    let mut failed = 0;
    for step in 0..1_000 {
        let now = start + ms(step * 9);
        for budget in &mut budgets {
            if budget.permit_first(now, hosts) {
                budget.send(now);
                failed += 1;
            }
        }
    }
    assert_eq!(failed, bound);
}
