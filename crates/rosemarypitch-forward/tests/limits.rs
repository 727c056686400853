//! Rate and burst over hosts, the budget of repeats, and what hosts tell each other.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::budget::{RepeatBudget, RepeatRules};
use rosemarypitch_forward::counters::TokenDelta;
use rosemarypitch_forward::quota::{Quota, QuotaRules, Share};
use rosemarypitch_forward::site::{Customer, RateLimit};
use rosemarypitch_peer::Spent;
use rstest::rstest;
use tokio::time::Instant;

const RULES: QuotaRules =
    QuotaRules { window: Duration::from_secs(8), overrun: 0.1, allowance: 120_000.0 };
const LIMIT: RateLimit = RateLimit { rate: 50_000.0, burst: 50_000.0 };
const ALONE: Share = Share { heard: 1, hosts: 1, lag: LAG };
/// The unluckiest draw.
const DRAW: f64 = 1.0;
/// Between two hosts of a row.
const LAG: Duration = Duration::from_millis(100);
const REPEATS: RepeatRules =
    RepeatRules { ratio: 0.2, allowance: 56.0, window: Duration::from_secs(10) };

fn customer(limit: Option<RateLimit>) -> Customer {
    Customer { name: Arc::from("club"), limit, flat_tokens: 200 }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The most tokens that a window may see, by the users' rule.
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

/// Hosts that hear each other every `lag`, or not at all while `cut`.
fn play(seed: u64, hosts: usize, lag: u64, cut: bool) -> Vec<(Duration, u64)> {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quotas: Vec<Quota> = (0..hosts).map(|_| Quota::new(RULES, true)).collect();
    let mut told = vec![Spent::default(); hosts];
    let mut admitted = Vec::new();
    let share = Share { heard: if cut { 1 } else { hosts }, hosts, lag: ms(lag) };
    for step in 0..30_000_u64 {
        let time = ms(step);
        let now = start + time;
        // Four times the limit, by one host more than by the others.
        if random.random_bool(0.015) {
            let host = if random.random_bool(0.5) { 0 } else { random.random_range(0..hosts) };
            let tokens = random.random_range(11_000..20_000);
            let draw = random.random_range(0.0..1.0);
            if quotas[host].take(now, &customer, share, tokens, draw).is_ok() {
                admitted.push((time, tokens));
            }
        }
        if !cut && step % lag == 0 {
            let sums: Vec<Spent> = quotas
                .iter()
                .map(|quota| quota.spent().map(|(_, spent)| spent).next().unwrap_or_default())
                .collect();
            for (from, sum) in sums.iter().enumerate() {
                let asked = sum.asked - told[from].asked;
                let news =
                    TokenDelta { asked, admitted: (sum.admitted - told[from].admitted) as i64 };
                for quota in quotas.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                    quota.1.heard(now, &customer, share, news);
                }
                told[from] = *sum;
            }
        }
    }
    admitted
}

#[rstest]
#[case::one_host(1, 100, false)]
#[case::five_hosts(5, 100, false)]
#[case::five_hosts_that_hear_late(5, 300, false)]
#[case::five_hosts_cut_from_each_other(5, 100, true)]
#[case::thirty_two_hosts(32, 640, false)]
#[case::three_hundred_hosts(300, 900, false)]
fn no_window_sees_more_than_is_allowed(#[case] hosts: usize, #[case] lag: u64, #[case] cut: bool) {
    for seed in 0..20 {
        let admitted = play(seed, hosts, lag, cut);
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
fn a_refusal_says_when_there_is_room() {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, false);
    let mut now = start;
    let wait = quota.take(now, &customer, ALONE, 100_000, DRAW).expect_err("the bucket is empty");
    now += wait + ms(1);
    assert!(quota.take(now, &customer, ALONE, 100_000, DRAW).is_ok());
}

#[test]
fn tokens_of_a_request_that_has_not_run_are_given_back() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, true);
    let mut taken = 0;
    while quota.take(now, &customer, ALONE, 10_000, DRAW).is_ok() {
        taken += 1;
    }
    assert!(taken > 0);
    quota.give_back("club", 10_000);
    assert!(quota.take(now, &customer, ALONE, 10_000, DRAW).is_ok());
}

#[test]
fn long_jobs_leave_something_to_small_requests() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, true);
    while quota.take(now, &customer, ALONE, 14_000, DRAW).is_ok() {}
    for _ in 0..20 {
        assert!(quota.take(now, &customer, ALONE, 200, DRAW).is_ok());
    }
}

#[test]
fn a_lowered_limit_holds_at_once() {
    let now = Instant::now();
    let low = RateLimit { rate: 100.0, burst: 100.0 };
    let rules = QuotaRules { allowance: 0.0, overrun: 0.0, ..RULES };
    let mut quota = Quota::new(rules, true);
    assert!(quota.take(now, &customer(Some(LIMIT)), ALONE, 10, DRAW).is_ok());
    assert!(quota.take(now, &customer(Some(low)), ALONE, 90, DRAW).is_ok());
    assert!(quota.take(now, &customer(Some(low)), ALONE, 90, DRAW).is_err());
}

#[test]
fn a_customer_without_a_limit_has_none() {
    let mut quota = Quota::new(RULES, false);
    assert!(quota.take(Instant::now(), &customer(None), ALONE, u64::MAX, DRAW).is_ok());
}

#[test]
fn repeats_of_all_hosts_stay_within_the_budget() {
    let start = Instant::now();
    let hosts = 5;
    let mut budgets: Vec<_> = (0..hosts).map(|_| RepeatBudget::new(REPEATS)).collect();
    let mut repeats = 0;
    // One window: 100 requests at one host, and every host repeats as often as it may.
    for step in 0..1_000 {
        let now = start + ms(step * 9);
        if step % 10 == 0 {
            budgets[0].request(now);
        }
        repeats += budgets.iter_mut().filter_map(|b| b.take(now, hosts).then_some(1)).sum::<u32>();
    }
    assert!(f64::from(repeats) <= 0.2 * 100.0 + 56.0, "{repeats}");
    assert!(repeats > 60, "{repeats}");
}

#[test]
fn repeats_come_back_after_the_window() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(REPEATS);
    while budget.take(start, 5) {}
    assert!(!budget.take(start + ms(9_900), 5));
    assert!(budget.take(start + ms(10_100), 5));
}

#[test]
fn changed_settings_hold_at_once() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, true);
    assert!(quota.take(now, &customer, ALONE, 1_000, DRAW).is_ok());
    quota.set_rules(QuotaRules { overrun: 0.0, allowance: 0.0, ..RULES });
    assert!(quota.take(now, &customer, ALONE, 45_000, DRAW).is_ok());
    assert!(quota.take(now, &customer, ALONE, 45_000, DRAW).is_err());
    let mut budget = RepeatBudget::new(REPEATS);
    budget.set_rules(RepeatRules { allowance: 0.0, ..REPEATS });
    assert!(!budget.take(now, 1));
}

/// Hosts of which one has just started, or has stood still, while the others run.
#[rstest]
#[case::started(Quota::new(RULES, false), ms(100))]
#[case::stood_still(behind(), ms(1_100))]
fn a_host_that_is_behind_takes_the_fullness_of_the_others(
    #[case] mut quota: Quota,
    #[case] time: Duration,
) {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let share = Share { heard: 5, hosts: 5, lag: LAG };
    for now in [start, start + time] {
        quota.compare(now, &customer, share, &mut [0.9, -3.0, 0.8, 0.7]);
        quota.note_compared(now, true);
    }
    assert!(quota.take(start + time, &customer, share, 50_000, DRAW).is_ok());
    // A median: one of the others may be behind, too.
    let level = 0.75 * ((50_000.0 + 0.1 * 450_000.0) + 0.6 * 120_000.0);
    let left = quota.spent().next().and_then(|(_, spent)| spent.fullness).expect("settled");
    let gained = LIMIT.rate * 0.1;
    assert!(f64::from(left) * 167_000.0 <= level + gained + 1.0, "{left}");
}

/// A bucket that was told of seconds of admissions at once.
fn behind() -> Quota {
    let mut quota = Quota::new(RULES, true);
    let share = Share { heard: 5, hosts: 5, lag: LAG };
    let told = TokenDelta { asked: 400_000, admitted: 400_000 };
    quota.heard(Instant::now(), &customer(Some(LIMIT)), share, told);
    quota
}

#[test]
fn a_host_that_knows_nothing_tells_nothing_until_it_has_waited() {
    let start = Instant::now();
    let customer = customer(Some(LIMIT));
    let mut quota = Quota::new(RULES, false);
    let told = |quota: &Quota| quota.spent().next().and_then(|(_, spent)| spent.fullness);
    assert!(quota.take(start, &customer, ALONE, 200, DRAW).is_ok());
    quota.note_compared(start, false);
    assert_eq!(told(&quota), None);
    quota.note_compared(start + ms(1_600), false);
    assert!(told(&quota).is_some());
}

#[test]
fn hosts_that_part_share_what_is_left() {
    let now = Instant::now();
    let customer = customer(Some(LIMIT));
    let whole = Share { heard: 5, hosts: 5, lag: LAG };
    let mut admitted = 0;
    let mut sides = [Quota::new(RULES, true), Quota::new(RULES, true)];
    // Half of the bucket is used while all hear each other.
    for side in &mut sides {
        side.heard(now, &customer, whole, TokenDelta { asked: 0, admitted: 83_500 });
    }
    for (side, heard) in sides.iter_mut().zip([3, 2]) {
        let share = Share { heard, ..whole };
        while side.take(now, &customer, share, 500, DRAW).is_ok() {
            admitted += 500;
        }
    }
    // The sides have what they may admit before they hear of each other besides.
    assert!(f64::from(admitted) <= 83_500.0 + 2.0 * 0.2 * 120_000.0 / 5.0 + 1_000.0, "{admitted}");
}
