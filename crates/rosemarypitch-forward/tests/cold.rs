//! Requests to upstreams that are cold, without a network.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::balance::Balancer;
use rosemarypitch_forward::cold::{ColdGate, ColdLimit, ColdRules, part};
use rosemarypitch_forward::config::EngineSize;
use rosemarypitch_forward::homes::{RegionSet, Regions};
use rosemarypitch_forward::pool::{Decision, Pool, SlotRequest};
use rosemarypitch_forward::registry::{Stage, Upstream, UpstreamRegistry};
use rosemarypitch_forward::tuning::PoolTuning;
use rstest::rstest;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Longest time between the choice of a server and the arrival of the request there.
const SEND_TIME: Duration = Duration::from_millis(250);

fn hosts(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|number| Arc::from(format!("edge-{number}"))).collect()
}

fn limit(now: Instant, part: u32) -> ColdLimit {
    ColdLimit { until: Some(now + SECOND * 3), part }
}

#[rstest]
#[case::more_than_hosts(44, 30)]
#[case::fewer_than_hosts(44, 119)]
#[case::one_host(44, 1)]
#[case::one_request(1, 420)]
fn the_parts_of_all_hosts_add_up_to_the_rate(#[case] rate: u32, #[case] count: usize) {
    let hosts = hosts(count);
    for server in ["a", "b", "c"] {
        let parts: Vec<u32> =
            hosts.iter().map(|own| part(own, hosts.iter(), server, rate)).collect();
        assert_eq!(parts.iter().sum::<u32>(), rate);
        assert!(parts.iter().max() <= parts.iter().min().map(|least| least + 1).as_ref());
    }
}

/// Hosts that hear nothing of each other sent a cold server all that they had.
#[rstest]
#[case(8)]
#[case(30)]
#[case(119)]
fn hosts_that_do_not_reach_each_other_keep_to_the_rate_together(
    #[case] count: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let rules = ColdRules { time: SECOND * 3, rate: 44.0 };
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let list = vec![support::upstream("cold"), support::upstream("warm")];
    let list: Vec<Arc<Upstream>> = list.into_iter().map(Arc::new).collect();
    let names = hosts(count);
    let balancers = names.iter().map(|own| {
        let mut balancer = Balancer::default();
        balancer.set_servers(&list);
        let share = part(own, names.iter(), "cold", rules.units());
        balancer.set_cold_limits(|server| {
            let cold = &*server.id == "cold";
            Some(ColdLimit { until: cold.then(|| start + rules.time), part: share })
        });
        balancer
    });
    let mut balancers: Vec<Balancer> = balancers.collect();
    let (mut arrivals, mut served) = (Vec::new(), 0);
    // A crowd of 500 requests a second, which the cold server would attract as long as it is idle.
    for step in 0..1_400 {
        let now = start + Duration::from_millis(step * 2);
        let host = random.random_range(0..count);
        let chosen = balancers[host].choose(now, "howrah", &[], |_| true, || 0.0);
        let chosen = chosen.expect("the warm server has room");
        served += 1;
        if &*chosen.id == "cold" {
            arrivals.push(now + SEND_TIME.mul_f64(random.random_range(0.0..1.0)));
        }
        balancers[host].finish(now, &chosen.id, None);
    }
    arrivals.sort();
    for (index, first) in arrivals.iter().enumerate() {
        let inside = arrivals[index..].iter().take_while(|at| **at < *first + SECOND).count();
        assert!(inside <= rules.units() as usize, "{inside} requests in a second");
    }
    assert_eq!(served, 1_400);
    assert!(!arrivals.is_empty());
}

#[test]
fn a_cold_server_that_is_the_only_one_gets_no_more_than_it_bears() {
    let now = Instant::now();
    let mut balancer = Balancer::default();
    balancer.set_servers(&[Arc::new(support::upstream("cold"))]);
    balancer.set_cold_limits(|_| Some(limit(now, 2)));
    let mut choose = |now| balancer.choose(now, "howrah", &[], |_| true, || 0.0).is_some();
    assert_eq!([choose(now), choose(now), choose(now)], [true, true, false]);
    assert!(!choose(now + SECOND), "a request may take some time until it is sent");
    assert!(choose(now + SECOND + SEND_TIME));
    // It is not cold any more.
    let warm = now + SECOND * 3;
    assert_eq!([choose(warm), choose(warm), choose(warm)], [true; 3]);
}

#[test]
fn requests_sent_just_before_a_server_became_cold_count() {
    let now = Instant::now();
    let mut gate = ColdGate::default();
    gate.set(Some(ColdLimit { until: None, part: 0 }));
    (0..5).for_each(|_| gate.record(now));
    assert!(gate.admits(now, 0));
    gate.set(Some(limit(now, 5)));
    assert!(!gate.admits(now, 0));
    assert!(gate.admits(now + SECOND + SEND_TIME, 0));
    gate.set(None);
    assert!(gate.admits(now, 0));
}

const SIZE: EngineSize =
    EngineSize { slots: 12, tokens: 80_000, hold: Duration::from_secs(2), event_tokens: 70 };

fn engines(now: Instant, cold: &str, part: u32) -> Pool {
    let regions = Regions::new([
        (Arc::from("howrah"), Arc::from("south")),
        (Arc::from("behala"), Arc::from("north")),
    ]);
    let mut pool =
        Pool::new(SIZE, Arc::from("howrah"), PoolTuning::default()).with_regions(regions);
    let engine = |id: &str, stage, zone: &str| {
        let zone = Arc::from(zone);
        Arc::new(Upstream { stage: Some(stage), zone, ..support::upstream(id) })
    };
    let list = [
        engine("d", Stage::Decode, "howrah"),
        engine("far-d", Stage::Decode, "behala"),
        engine("p", Stage::Prefill, "howrah"),
        engine("far-p", Stage::Prefill, "behala"),
    ];
    pool.set_engines(&list, SIZE, 1);
    pool.set_cold_limits(|engine| {
        let until = (*engine.id == *cold).then(|| now + SECOND * 3);
        Some(ColdLimit { until, part })
    });
    pool
}

fn request(ticket: u64, now: Instant, regions: RegionSet) -> SlotRequest {
    let due = now + SECOND;
    SlotRequest {
        ticket,
        prompt: 100,
        output: 100,
        required: 100,
        cost: 1.0,
        retried: false,
        regions,
        due,
        expires: due,
        begun: false,
        version: None,
    }
}

fn placed(decisions: &[Decision]) -> Vec<(u64, Arc<Upstream>)> {
    let placed = decisions.iter().filter_map(|decision| match decision {
        Decision::Place(ticket, engine) => Some((*ticket, engine.clone())),
        Decision::Refuse(..) => None,
    });
    placed.collect()
}

/// Requests that were placed while the engine was warm are sent later.
#[test]
fn what_was_placed_at_an_engine_counts_when_it_is_sent() {
    let now = Instant::now();
    let mut pool = engines(now, "d", 2);
    (0..6).for_each(|ticket| pool.push(now, request(ticket, now, RegionSet::ALL)));
    let placed = placed(&pool.decide(now));
    let at = |id: &str| placed.iter().filter(|(_, engine)| &*engine.id == id).count();
    assert_eq!((at("d"), at("far-d")), (2, 4));
    // The other engine becomes cold as well, before the requests are sent.
    pool.set_cold_limits(|_| Some(limit(now, 2)));
    let sent: Vec<bool> =
        placed.iter().map(|(ticket, engine)| pool.start_decode(now, engine, *ticket)).collect();
    assert_eq!(sent.iter().filter(|sent| **sent).count(), 4);
    let later = now + SECOND + SEND_TIME;
    let (ticket, engine) = &placed[5];
    assert!(pool.start_decode(later, engine, *ticket));
}

#[test]
fn a_cold_prefill_engine_gets_no_more_than_it_bears() {
    let now = Instant::now();
    let mut pool = engines(now, "p", 1);
    let mut prefill =
        || pool.start_prefill(now, 1, 5_000, RegionSet::ALL, "v1", &[]).map(|e| e.id.clone());
    let chosen: BTreeMap<Arc<str>, usize> =
        (0..8).filter_map(|_| prefill()).fold(BTreeMap::new(), |mut counts, id| {
            *counts.entry(id).or_default() += 1;
            counts
        });
    assert_eq!(chosen, BTreeMap::from([(Arc::from("p"), 1), (Arc::from("far-p"), 7)]));
}

#[rstest]
#[case::entry(Duration::from_secs(2), None, false, Some(2_000))]
#[case::response(Duration::ZERO, Some(1_500), false, Some(1_500))]
#[case::later_of_both(Duration::from_secs(1), Some(1_500), false, Some(1_500))]
#[case::data_centre_back_in_service(Duration::ZERO, None, true, Some(3_000))]
#[case::warm(Duration::ZERO, None, false, None)]
fn an_upstream_is_cold_by_what_says_so_for_longest(
    #[case] entry: Duration,
    #[case] response: Option<u64>,
    #[case] returned: bool,
    #[case] expected: Option<u64>,
) {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::default();
    let upstream = Upstream { cold: entry, ..support::upstream("a") };
    registry.put(now, upstream.clone());
    if let Some(left) = response {
        let left = Duration::from_millis(left);
        registry.cold.record_response(now, &upstream.id, upstream.incarnation, left);
    }
    if returned {
        registry.evacuations.begin(upstream.zone.clone());
        registry.evacuations.end(now, &upstream.zone);
    }
    let until = registry.cold_until(&upstream, SECOND * 3);
    assert_eq!(until, expected.map(|left| now + Duration::from_millis(left)));
    // Another run of it starts with what its own entry says.
    let next = Upstream { incarnation: 2, cold: Duration::ZERO, ..upstream };
    registry.put(now, next.clone());
    assert_eq!(registry.cold_until(&next, SECOND * 3).is_some(), returned);
}

/// The homes of routes and customers were not read.
#[test]
fn a_request_with_homes_goes_to_no_other_region() {
    let now = Instant::now();
    let mut pool = engines(now, "", 0);
    let regions = Regions::new([
        (Arc::from("howrah"), Arc::from("south")),
        (Arc::from("behala"), Arc::from("north")),
    ]);
    let north = regions.allowed(&[Arc::from("north")], &[]);
    (0..8).for_each(|ticket| pool.push(now, request(ticket, now, north)));
    let placed = placed(&pool.decide(now));
    assert_eq!(placed.len(), 8);
    assert!(placed.iter().all(|(_, engine)| &*engine.id == "far-d"));
    let prefill = pool.start_prefill(now, 1, 10, north, "v1", &[]);
    assert_eq!(prefill.map(|engine| engine.id.to_string()), Some("far-p".to_owned()));
}

#[rstest]
#[case::none(&[], &[], &["howrah", "behala", "unknown"])]
#[case::route(&["south"], &[], &["howrah"])]
#[case::customer(&[], &["north"], &["behala"])]
#[case::both_bind(&["south", "north"], &["north"], &["behala"])]
#[case::nothing_in_common(&["south"], &["north"], &[])]
#[case::no_such_region(&["east"], &[], &[])]
fn homes_of_route_and_customer_both_bind(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] expected: &[&str],
) {
    let regions = Regions::new([
        (Arc::from("howrah"), Arc::from("south")),
        (Arc::from("behala"), Arc::from("north")),
    ]);
    let names = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect::<Vec<_>>();
    let allowed = regions.allowed(&names(route), &names(customer));
    let zones = ["howrah", "behala", "unknown"];
    let served: Vec<&str> =
        zones.into_iter().filter(|zone| allowed.allows(regions.of_zone(zone))).collect();
    assert_eq!(served, expected);
}
