//! Which upstreams are used: entries, outages of the store, outcomes, load.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::balance::Balance;
use rosemarypitch_forward::deployment::Load;
use rosemarypitch_forward::health::{Health, Outcome};
use rosemarypitch_forward::memory::{self, StreamUse};
use rosemarypitch_forward::roster::{Roster, SETTLE, Upstream, UpstreamState};
use rstest::rstest;
use tokio::time::Instant;

use crate::support::upstream;

fn names(roster: &Roster) -> Vec<String> {
    let mut names: Vec<String> = roster.usable().map(|known| known.id.to_string()).collect();
    names.sort();
    names
}

#[test]
fn an_entry_that_goes_is_used_no_more() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(now, vec![upstream("a"), upstream("b")], false);
    roster.remove(now, "a");
    assert_eq!(names(&roster), ["b"]);
}

#[test]
fn a_draining_upstream_takes_no_new_work() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(now, vec![upstream("a")], false);
    roster.put(Upstream { state: UpstreamState::Draining, ..upstream("a") });
    assert!(names(&roster).is_empty());
}

#[rstest]
#[case::came_back(true)]
#[case::stayed_away(false)]
fn after_an_outage_lapsed_entries_have_time_to_come_back(#[case] back: bool) {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(now, vec![upstream("a"), upstream("b")], false);
    roster.replace(now, vec![upstream("b")], true);
    assert_eq!(names(&roster), ["a", "b"], "kept until the store has settled");
    // The news that an entry lapsed may come with the store's return, too.
    roster.remove(now, "b");
    roster.put(upstream("b"));
    if back {
        roster.put(upstream("a"));
    }
    let settled = now + SETTLE;
    assert_eq!(roster.due(), Some(settled));
    roster.expire(settled);
    let expected: &[&str] = if back { &["a", "b"] } else { &["b"] };
    assert_eq!(names(&roster), expected);
    assert_eq!(roster.due(), None);
}

#[test]
fn an_unreachable_upstream_is_avoided_for_longer_each_time_up_to_two_seconds() {
    let mut now = Instant::now();
    let mut health = Health::default();
    for pause in [250, 500, 1_000, 2_000, 2_000] {
        health.note(now, Outcome::Unreachable);
        assert!(health.is_avoided(now + Duration::from_millis(pause - 1)));
        now += Duration::from_millis(pause);
        assert!(!health.is_avoided(now));
    }
    health.note(now, Outcome::Good);
    health.note(now, Outcome::Unreachable);
    assert!(!health.is_avoided(now + Duration::from_millis(250)));
}

#[test]
fn a_failure_rate_follows_outcomes_and_fades() {
    let now = Instant::now();
    let mut health = Health::default();
    assert!(health.failure_rate(now) == 0.0);
    for _ in 0..20 {
        health.note(now, Outcome::Failed);
    }
    assert!(health.failure_rate(now) > 0.9);
    assert!(health.failure_rate(now + Duration::from_secs(12)) < 0.1);
    for _ in 0..20 {
        health.note(now, Outcome::Good);
    }
    assert!(health.failure_rate(now) < 0.1);
}

fn balance(list: &[Upstream]) -> Balance {
    let mut balance = Balance::default();
    balance.replace(&list.iter().cloned().map(Arc::new).collect::<Vec<_>>());
    balance
}

fn choose(balance: &mut Balance, now: Instant, tried: &[Arc<str>]) -> Option<String> {
    balance.choose(now, "howrah", tried, || 0.0).map(|chosen| chosen.id.to_string())
}

fn far(id: &str) -> Upstream {
    Upstream { zone: Arc::from("behala"), ..upstream(id) }
}

#[test]
fn the_own_data_centre_comes_first_until_it_is_half_busy() {
    let now = Instant::now();
    let mut balance = balance(&[upstream("near"), far("far")]);
    let chosen: Vec<_> = (0..5).filter_map(|_| choose(&mut balance, now, &[])).collect();
    assert_eq!(chosen[..3], ["near", "near", "near"]);
    assert!(chosen.contains(&"far".to_owned()));
}

#[test]
fn reported_load_of_other_hosts_counts_while_it_is_fresh() {
    let now = Instant::now();
    let mut balance = balance(&[upstream("near"), far("far")]);
    balance.report(now, "near", Load { running: 6, waiting: 3, slots: 6 });
    assert_eq!(choose(&mut balance, now, &[]).as_deref(), Some("far"));
    let later = now + Duration::from_secs(1);
    assert_eq!(choose(&mut balance, later, &[]).as_deref(), Some("near"));
}

#[test]
fn a_failing_server_yields_to_another_and_is_used_when_alone() {
    let now = Instant::now();
    let mut balance = balance(&[upstream("near"), far("far")]);
    for _ in 0..8 {
        balance.finish(now, "near", Some(Outcome::Failed));
    }
    assert_eq!(choose(&mut balance, now, &[]).as_deref(), Some("far"));
    assert_eq!(choose(&mut balance, now, &[Arc::from("far")]).as_deref(), Some("near"));
    assert_eq!(choose(&mut balance, now, &[Arc::from("far"), Arc::from("near")]), None);
}

#[rstest]
#[case::none(&[], 0)]
#[case::one(&[(100, 50)], 150)]
#[case::alike(&[(100, 50), (100, 50)], 300)]
#[case::one_ends_before_the_other_grows(&[(100, 0), (100, 60)], 200)]
#[case::the_last_is_the_largest(&[(10, 5), (100, 200)], 300)]
fn the_peak_of_streams(#[case] streams: &[(u64, u64)], #[case] expected: u64) {
    let streams = streams.iter().map(|(held, growth)| StreamUse { held: *held, growth: *growth });
    assert_eq!(memory::peak(streams.collect()), expected);
}

#[test]
fn a_stream_that_made_more_than_expected_is_expected_to_make_some_more() {
    assert_eq!(memory::stream(100, 2_000, 1_000), StreamUse { held: 2_100, growth: 150 });
}
