//! What hosts tell each other: who is heard, whose part of the limits may be used.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_forward::announce::HostEntry;
use rosemarypitch_forward::layout::{self, Layout};
use rosemarypitch_forward::ledger::{News, Told};
use rosemarypitch_forward::neighbours::{Neighbours, Own};
use rosemarypitch_peer::{HostReport, RowReport, Seen, Spent, StreamUse};
use rstest::rstest;
use tokio::time::Instant;

/// How long differing views are waited out, at most, among a few hosts.
const PATIENCE_MS: u64 = 1_500;
/// Between exchanges of two hosts.
const INTERVAL_MS: u64 = 100;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry() -> HostEntry {
    let address = "127.0.0.1:9".parse().expect("an address");
    HostEntry { address, zone: Arc::from("howrah") }
}

fn host(name: &str) -> Neighbours {
    Neighbours::new(Arc::from(name), Arc::from("howrah"), 1)
}

fn view(names: &[&str]) -> u64 {
    names.iter().fold(0, |sum, name| sum ^ layout::digest(name))
}

fn report(incarnation: u64, sequence: u64, tokens: u64) -> HostReport {
    let own = Seen { incarnation, sequence };
    HostReport { own, view: view(&["a", "b"]), spent: spend(tokens), ..HostReport::default() }
}

fn spend(tokens: u64) -> Vec<(Arc<str>, Spent)> {
    vec![(Arc::from("club"), Spent { asked: 0, admitted: tokens, fullness: None })]
}

fn admitted(tokens: i64) -> News {
    vec![(Arc::from("club"), Told { asked: 0, admitted: tokens })]
}

/// Hosts heard and all hosts.
fn share(hosts: &mut Neighbours, now: Instant) -> (usize, usize) {
    let share = hosts.share(now);
    (share.reachable, share.hosts)
}

#[test]
fn a_host_counts_as_heard_while_both_ends_hear_each_other() {
    let now = Instant::now();
    let mut hosts = host("a");
    assert_eq!(share(&mut hosts, now), (1, 1));
    hosts.put(Arc::from("b"), entry());
    assert_eq!(share(&mut hosts, now), (1, 2));
    hosts.take(now, &Arc::from("b"), report(1, 1, 0), false);
    assert_eq!(share(&mut hosts, now), (1, 2));
    hosts.take(now, &Arc::from("b"), report(1, 1, 0), true);
    assert_eq!(share(&mut hosts, now), (2, 2));
    assert_eq!(share(&mut hosts, now + ms(700)), (1, 2));
}

#[test]
fn reports_tell_what_was_admitted_since_the_last_one_of_the_same_run() {
    let now = Instant::now();
    let other = Arc::from("b");
    let mut hosts = host("a");
    assert_eq!(hosts.take(now, &other, report(1, 1, 500), true), []);
    assert_eq!(hosts.take(now, &other, report(1, 2, 700), true), admitted(200));
    assert_eq!(hosts.take(now, &other, report(1, 3, 650), true), admitted(-50));
    assert_eq!(hosts.take(now, &other, report(2, 1, 30), true), []);
    assert_eq!(hosts.take(now, &other, report(2, 2, 40), true), admitted(10));
}

#[test]
fn a_host_whose_entry_lapses_counts_while_it_is_heard() {
    let now = Instant::now();
    let mut hosts = host("a");
    hosts.put(Arc::from("b"), entry());
    hosts.take(now, &Arc::from("b"), report(1, 1, 0), true);
    hosts.remove(now, "b");
    assert_eq!(share(&mut hosts, now).1, 2);
    hosts.remove(now + ms(700), "b");
    assert_eq!(share(&mut hosts, now + ms(700)).1, 1);
}

#[test]
fn a_host_that_is_not_heard_is_asked_more_often() {
    let now = Instant::now();
    let mut hosts = host("a");
    for name in ["b", "c"] {
        hosts.put(Arc::from(name), entry());
    }
    hosts.take(now, &Arc::from("b"), report(1, 1, 0), true);
    let mut names = |due| {
        let mut names: Vec<_> = hosts.to_ask(now, due).into_iter().map(|(name, _)| name).collect();
        names.sort();
        names
    };
    assert_eq!(names(false), [Arc::from("c")]);
    assert_eq!(names(true), [Arc::from("b"), Arc::from("c")]);
}

/// Hosts that exchange reports, where a cut allows it.
struct Fleet {
    now: Instant,
    hosts: BTreeMap<Arc<str>, Neighbours>,
    cut: BTreeSet<(Arc<str>, Arc<str>)>,
}

impl Fleet {
    fn new(count: usize, zones: usize) -> Self {
        let names: Vec<(Arc<str>, Arc<str>)> = (0..count)
            .map(|number| {
                let zone = Arc::from(format!("z{}", number % zones));
                (Arc::from(format!("edge-{number:03}")), zone)
            })
            .collect();
        let hosts = names.iter().map(|(name, zone)| {
            let mut host = Neighbours::new(name.clone(), zone.clone(), 1);
            for (other, zone) in &names {
                host.put(other.clone(), HostEntry { zone: zone.clone(), ..entry() });
            }
            (name.clone(), host)
        });
        let hosts = hosts.collect();
        Self { now: Instant::now(), hosts, cut: BTreeSet::new() }
    }

    fn is_cut(&self, a: &Arc<str>, b: &Arc<str>) -> bool {
        self.cut.contains(&(a.clone(), b.clone())) || self.cut.contains(&(b.clone(), a.clone()))
    }

    fn report(&mut self, from: &Arc<str>, to: &Arc<str>) -> HostReport {
        self.hosts.get_mut(from).expect("a host").report(self.now, to, Own::default())
    }

    fn row_report(&mut self, from: &Arc<str>, to: &Arc<str>) -> RowReport {
        self.hosts.get_mut(from).expect("a host").row_report(self.now, to, Own::default())
    }

    /// Lets all exchange for a time.
    fn run(&mut self, time: u64) {
        let end = self.now + ms(time);
        while self.now < end {
            self.now += ms(INTERVAL_MS);
            let names: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
            for from in &names {
                let now = self.now;
                let host = self.hosts.get_mut(from).expect("a host");
                let (mut near, mut far) = (host.to_ask(now, true), host.partners_to_ask(now));
                near.retain(|(to, _)| !self.is_cut(from, to));
                far.retain(|(to, _)| !self.is_cut(from, to));
                for (to, _) in near {
                    let hears = self.hosts[from].hears(now, &to);
                    let ask = self.report(from, &to);
                    self.hosts.get_mut(&to).expect("a host").take(now, from, ask, hears);
                    let reply = self.report(&to, from);
                    self.hosts.get_mut(from).expect("a host").take(now, &to, reply, true);
                }
                // As a host does each tenth of a second.
                self.hosts.get_mut(from).expect("a host").share(now);
                for (to, _) in far {
                    let (ask, reply) = (self.row_report(from, &to), self.row_report(&to, from));
                    self.hosts.get_mut(&to).expect("a host").take_row(now, from, ask);
                    self.hosts.get_mut(from).expect("a host").take_row(now, &to, reply);
                }
            }
        }
    }

    /// Hosts whose parts each host uses.
    fn heard(&mut self) -> Vec<usize> {
        let now = self.now;
        self.hosts.values_mut().map(|host| host.share(now).reachable).collect()
    }
}

#[rstest]
#[case::three(3, 3)]
#[case::thirty_three(33, 4)]
#[case::hundred(100, 4)]
#[case::three_hundred(300, 4)]
fn hosts_that_hear_each_other_use_all_parts(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = Fleet::new(count, zones);
    fleet.run(3_000);
    assert_eq!(fleet.heard(), vec![count; count]);
}

/// Two hosts are cut from each other, and the third hears both: with its part both of them
/// would use five thirds of a limit.
#[test]
fn hosts_that_are_half_cut_off_use_no_part_twice() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(1_000);
    assert_eq!(fleet.heard(), [3, 3, 3]);
    fleet.cut.insert((Arc::from("edge-000"), Arc::from("edge-001")));
    fleet.run(PATIENCE_MS + 700);
    let heard = fleet.heard();
    assert!(heard.iter().sum::<usize>() <= 3, "{heard:?}");
    fleet.cut.clear();
    fleet.run(1_000);
    assert_eq!(fleet.heard(), [3, 3, 3]);
}

/// The sums of the parts that hosts of one view use, one of each view.
fn parts_in_use(fleet: &mut Fleet) -> usize {
    let now = fleet.now;
    let mut views = BTreeMap::new();
    for host in fleet.hosts.values_mut() {
        views.insert(host.view(now), host.share(now).reachable);
    }
    views.values().sum()
}

#[rstest]
#[case::mesh(12, 3)]
#[case::rows(100, 4)]
fn no_part_is_used_twice_under_any_cuts(#[case] count: usize, #[case] zones: usize) {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..6 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(count, zones);
        fleet.run(2_000);
        let names: Vec<Arc<str>> = fleet.hosts.keys().cloned().collect();
        for _ in 0..random.random_range(1..count) {
            let pair = (random.random_range(0..count), random.random_range(0..count));
            fleet.cut.insert((names[pair.0].clone(), names[pair.1].clone()));
        }
        fleet.run(6_000);
        let parts = parts_in_use(&mut fleet);
        assert!(parts <= count, "seed {seed}: {parts} parts of {count}");
    }
}

#[test]
fn a_host_that_dies_costs_the_others_its_part_only() {
    let mut fleet = Fleet::new(5, 3);
    fleet.run(1_000);
    let dead: Arc<str> = Arc::from("edge-004");
    let names: Vec<Arc<str>> = fleet.hosts.keys().cloned().collect();
    for name in names.iter().filter(|name| **name != dead) {
        fleet.cut.insert((name.clone(), dead.clone()));
    }
    for _ in 0..30 {
        fleet.run(100);
        let heard = fleet.heard();
        assert!(heard[..4].iter().all(|heard| *heard >= 4), "{heard:?}");
    }
}

#[test]
fn rows_tell_each_other_what_they_admit_and_use() {
    let mut fleet = Fleet::new(100, 4);
    fleet.run(2_000);
    let names: Vec<Arc<str>> = fleet.hosts.keys().cloned().collect();
    let from = names[0].clone();
    let (near, far): (Vec<_>, Vec<_>) = names
        .iter()
        .filter(|name| **name != from)
        .partition(|name| fleet.hosts[&from].layout().is_near(name));
    let engine: Arc<str> = Arc::from("e1");
    let now = fleet.now;
    for tokens in [100, 350] {
        let uses = vec![(engine.clone(), vec![StreamUse { held: 60, growth: 4 }; 2])];
        let own = Own { spent: spend(tokens), uses };
        for name in &near {
            let host = fleet.hosts.get_mut(&from).expect("a host");
            let report = host.report(now, name, own.clone());
            fleet.hosts.get_mut(*name).expect("a host").take(now, &from, report, true);
        }
    }
    // A host of the row tells; the sum holds all that came after the first report.
    let teller = near[0];
    let told = fleet.row_report(teller, &Arc::from("somebody"));
    assert_eq!(told.spent, spend(350));
    let listener = fleet.hosts.get_mut(far[0]).expect("a host");
    let later = now + ms(9_000);
    listener.take_row(later, teller, told.clone());
    let own = Seen { sequence: told.own.sequence + 1, ..told.own };
    let changes = listener.take_row(later, teller, RowReport { own, spent: spend(400), ..told });
    assert_eq!(changes, admitted(50));
    assert_eq!(listener.far_uses(later)[&engine], vec![StreamUse { held: 60, growth: 4 }; 2]);
}

#[test]
fn only_what_has_changed_is_told_again() {
    let now = Instant::now();
    let (a, b) = (Arc::from("a"), Arc::from("b"));
    let mut hosts = (host("a"), host("b"));
    let own = |tokens| Own { spent: spend(tokens), uses: Vec::new() };
    let ask = hosts.0.report(now, &b, own(100));
    assert_eq!(ask.spent, spend(100));
    hosts.1.take(now, &a, ask, true);
    // Until the other host says that it has come, it is told again.
    assert_eq!(hosts.0.report(now, &b, own(100)).spent, spend(100));
    let reply = hosts.1.report(now, &a, Own::default());
    hosts.0.take(now, &b, reply, true);
    assert_eq!(hosts.0.report(now, &b, own(100)).spent, []);
    assert_eq!(hosts.0.report(now, &b, own(130)).spent, spend(130));
}

#[test]
fn a_report_that_was_overtaken_is_passed_over() {
    let now = Instant::now();
    let other = Arc::from("b");
    let mut hosts = host("a");
    hosts.take(now, &other, report(1, 1, 100), true);
    assert_eq!(hosts.take(now, &other, report(1, 3, 400), true), admitted(300));
    assert_eq!(hosts.take(now, &other, report(1, 2, 200), true), []);
    assert_eq!(hosts.take(now, &other, report(1, 4, 500), true), admitted(100));
}

#[test]
fn no_host_talks_to_all_of_a_large_fleet() {
    let hosts: BTreeMap<Arc<str>, Arc<str>> = (0..300)
        .map(|n| (Arc::from(format!("edge-{n:03}")), Arc::from(format!("z{}", n % 4))))
        .collect();
    for own in hosts.keys() {
        let layout = Layout::new(own, &hosts);
        let talks = layout.near_count() - 1 + layout.others().count();
        assert!(talks <= 60, "{own}: {talks}");
        assert!(layout.others().all(|row| layout.partner(row, 0).is_some()));
    }
}
