//! Selection of upstreams by registration, health and load.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::balance::Balancer;
use rosemarypitch_forward::deployment::Load;
use rosemarypitch_forward::health::{Health, Outcome};
use rosemarypitch_forward::memory::{self, StreamUse};
use rosemarypitch_forward::registry::{REREGISTER_TIME, Upstream, UpstreamRegistry, UpstreamState};
use rstest::rstest;
use tokio::time::Instant;

use crate::support::upstream;

fn names(registry: &UpstreamRegistry) -> Vec<String> {
    let mut names: Vec<String> =
        registry.usable().map(|upstream| upstream.id.to_string()).collect();
    names.sort();
    names
}

#[test]
fn a_removed_entry_is_not_used() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    registry.replace(now, vec![upstream("a"), upstream("b")], false);
    registry.remove(now, "a");
    assert_eq!(names(&registry), ["b"]);
}

/// A full read after a compaction, or a list relayed by a host that has started since, brought
/// back what the restore had left out.
#[test]
fn lists_of_a_restored_store_bring_back_no_upstream_that_has_left() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let list = || vec![upstream("a"), upstream("b"), upstream("c")];
    let mut registry = UpstreamRegistry::default();
    registry.replace(start, list(), false);
    registry.remove(start, "a");
    registry.remove(start, "b");
    registry.restore(after(1), after(6), list(), Vec::new());
    assert_eq!(names(&registry), ["c"]);
    registry.put(after(2), upstream("b"));
    registry.replace(after(3), list(), false);
    assert_eq!(names(&registry), ["b", "c"]);
    registry.put(after(4), Upstream { incarnation: 2, ..upstream("a") });
    assert_eq!(names(&registry), ["a", "b", "c"]);
    registry.remove(after(5), "a");
    registry.replace(after(5), list(), false);
    assert_eq!(names(&registry), ["b", "c"]);
    // Entries of servers that are gone have lapsed by then; what is listed has registered again.
    registry.replace(after(6), list(), false);
    assert_eq!(names(&registry), ["a", "b", "c"]);
}

#[test]
fn a_draining_upstream_gets_no_new_requests() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    registry.replace(now, vec![upstream("a")], false);
    registry.put(now, Upstream { state: UpstreamState::Draining, ..upstream("a") });
    assert!(names(&registry).is_empty());
}

#[rstest]
#[case::registered_again(true)]
#[case::not_registered_again(false)]
fn entries_that_lapsed_in_an_outage_are_kept_for_a_time(#[case] registered_again: bool) {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    registry.replace(now, vec![upstream("a"), upstream("b")], false);
    registry.replace(now, vec![upstream("b")], true);
    assert_eq!(
        names(&registry),
        ["a", "b"],
        "kept until upstreams have had time to register again"
    );
    // The store may also report a lapsed entry only when it is available again.
    registry.remove(now, "b");
    registry.put(now, upstream("b"));
    if registered_again {
        registry.put(now, upstream("a"));
    }
    let expiry = now + REREGISTER_TIME;
    assert_eq!(registry.next_expiry(), Some(expiry));
    registry.expire(expiry);
    let expected: &[&str] = if registered_again { &["a", "b"] } else { &["b"] };
    assert_eq!(names(&registry), expected);
    assert_eq!(registry.next_expiry(), None);
}

#[test]
fn the_backoff_of_an_unreachable_upstream_doubles_up_to_two_seconds() {
    let mut now = Instant::now();
    let mut health = Health::default();
    for backoff in [250, 500, 1_000, 2_000, 2_000] {
        health.record(now, Outcome::Unreachable);
        assert!(health.is_avoided(now + Duration::from_millis(backoff - 1)));
        now += Duration::from_millis(backoff);
        assert!(!health.is_avoided(now));
    }
    health.record(now, Outcome::Succeeded);
    health.record(now, Outcome::Unreachable);
    assert!(!health.is_avoided(now + Duration::from_millis(250)));
}

#[test]
fn the_failure_rate_follows_outcomes_and_decays() {
    let now = Instant::now();
    let mut health = Health::default();
    assert!(health.failure_rate(now) == 0.0);
    for _ in 0..20 {
        health.record(now, Outcome::Failed);
    }
    assert!(health.failure_rate(now) > 0.9);
    assert!(health.failure_rate(now + Duration::from_secs(12)) < 0.1);
    for _ in 0..20 {
        health.record(now, Outcome::Succeeded);
    }
    assert!(health.failure_rate(now) < 0.1);
}

fn balancer(list: &[Upstream]) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.set_servers(&list.iter().cloned().map(Arc::new).collect::<Vec<_>>());
    balancer
}

fn choose(balancer: &mut Balancer, now: Instant, tried: &[Arc<str>]) -> Option<String> {
    balancer.choose(now, "howrah", tried, |_| true, || 0.0).map(|chosen| chosen.id.to_string())
}

fn in_other_zone(id: &str) -> Upstream {
    Upstream { zone: Arc::from("behala"), ..upstream(id) }
}

#[test]
fn servers_of_the_same_data_centre_are_preferred_up_to_half_utilization() {
    let now = Instant::now();
    let mut balancer = balancer(&[upstream("near"), in_other_zone("far")]);
    let chosen: Vec<_> = (0..5).filter_map(|_| choose(&mut balancer, now, &[])).collect();
    assert_eq!(chosen[..3], ["near", "near", "near"]);
    assert!(chosen.contains(&"far".to_owned()));
}

#[test]
fn load_reports_count_until_they_are_too_old() {
    let now = Instant::now();
    let mut balancer = balancer(&[upstream("near"), in_other_zone("far")]);
    balancer.report(now, "near", Load { running: 6, waiting: 3, slots: 6 });
    assert_eq!(choose(&mut balancer, now, &[]).as_deref(), Some("far"));
    let later = now + Duration::from_secs(1);
    assert_eq!(choose(&mut balancer, later, &[]).as_deref(), Some("near"));
}

#[rstest]
#[case::many_waiting(Load { running: 1, waiting: u32::MAX, slots: 6 })]
#[case::many_running(Load { running: u32::MAX, waiting: 0, slots: 0 })]
fn a_load_report_with_huge_numbers_does_not_overflow(#[case] load: Load) {
    let now = Instant::now();
    let mut balancer = balancer(&[upstream("near"), in_other_zone("far")]);
    balancer.report(now, "near", load);
    for _ in 0..3 {
        assert_eq!(choose(&mut balancer, now, &[]).as_deref(), Some("far"));
    }
    assert_eq!(choose(&mut balancer, now, &[Arc::from("far")]).as_deref(), Some("near"));
    assert_eq!(choose(&mut balancer, now, &[Arc::from("far")]).as_deref(), Some("near"));
}

#[test]
fn a_failing_server_is_chosen_only_without_an_alternative() {
    let now = Instant::now();
    let mut balancer = balancer(&[upstream("near"), in_other_zone("far")]);
    for _ in 0..8 {
        balancer.finish(now, "near", Some(Outcome::Failed));
    }
    assert_eq!(choose(&mut balancer, now, &[]).as_deref(), Some("far"));
    assert_eq!(choose(&mut balancer, now, &[Arc::from("far")]).as_deref(), Some("near"));
    assert_eq!(choose(&mut balancer, now, &[Arc::from("far"), Arc::from("near")]), None);
}

#[rstest]
#[case::none(&[], 0)]
#[case::one(&[(100, 50)], 150)]
#[case::equal(&[(100, 50), (100, 50)], 300)]
#[case::one_ends_before_the_other_grows(&[(100, 0), (100, 60)], 200)]
#[case::the_last_is_the_largest(&[(10, 5), (100, 200)], 300)]
fn peak_memory_of_streams(#[case] streams: &[(u64, u64)], #[case] expected: u64) {
    let streams = streams.iter().map(|(held, growth)| StreamUse { held: *held, growth: *growth });
    assert_eq!(memory::peak(streams.collect()), expected);
}

#[test]
fn a_stream_beyond_its_expected_output_is_still_expected_to_grow() {
    assert_eq!(memory::stream_use(100, 2_000, 1_000), StreamUse { held: 2_100, growth: 150 });
}
