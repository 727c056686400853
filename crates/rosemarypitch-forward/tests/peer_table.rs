//! Exchanges of reports: which hosts are reachable, and which parts of the limits a host may
//! use.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rosemarypitch_forward::announce::HostEntry;
use rosemarypitch_forward::counters::{TokenDelta, TokenDeltas};
use rosemarypitch_forward::layout::{self, Layout};
use rosemarypitch_forward::peer_table::{LocalUsage, PeerTable};
use rosemarypitch_peer::{HostReport, Reach, ReportId, RowReport, StreamUse, TokenCounts};
use rstest::rstest;
use tokio::time::Instant;

/// How long differing views are tolerated, at most, among a few hosts.
const SETTLE_MS: u64 = 1_500;
/// Interval between exchanges of two hosts.
const INTERVAL_MS: u64 = 100;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry() -> HostEntry {
    let address = "127.0.0.1:9".parse().expect("an address");
    HostEntry { address, zone: Arc::from("howrah") }
}

fn new_table(name: &str) -> PeerTable {
    PeerTable::new(Arc::from(name), Arc::from("howrah"), 1)
}

fn digests(names: &[&str]) -> Option<Vec<u64>> {
    Some(names.iter().map(|name| layout::digest(name)).collect())
}

fn report(incarnation: u64, sequence: u64, tokens: u64) -> HostReport {
    let own = ReportId { incarnation, sequence };
    let reach = Reach { division: new_table("a").layout().division(), ..Reach::default() };
    let reached = digests(&["a", "b"]);
    HostReport { id: own, reach, reached, spent: spend(tokens), ..HostReport::default() }
}

fn spend(tokens: u64) -> Vec<(Arc<str>, TokenCounts)> {
    vec![(Arc::from("club"), TokenCounts { requested: 0, admitted: tokens, fullness: None })]
}

fn admitted(tokens: i64) -> TokenDeltas {
    vec![(Arc::from("club"), TokenDelta { asked: 0, admitted: tokens })]
}

/// Parts of hosts in use, and the number of all hosts.
fn share(table: &mut PeerTable, now: Instant) -> (f64, usize) {
    let share = table.share(now);
    (share.parts, share.hosts)
}

#[test]
fn a_host_is_reachable_while_both_ends_receive_reports() {
    let now = Instant::now();
    let mut table = new_table("a");
    assert_eq!(share(&mut table, now), (1.0, 1));
    table.put(Arc::from("b"), entry());
    assert_eq!(share(&mut table, now), (1.0, 2));
    table.apply_report(now, &Arc::from("b"), report(1, 1, 0), false);
    assert_eq!(share(&mut table, now), (1.0, 2));
    table.apply_report(now, &Arc::from("b"), report(1, 1, 0), true);
    assert_eq!(share(&mut table, now), (2.0, 2));
    assert_eq!(share(&mut table, now + ms(700)), (1.0, 2));
}

#[test]
fn reports_yield_deltas_within_one_run_of_a_host() {
    let now = Instant::now();
    let other = Arc::from("b");
    let mut table = new_table("a");
    assert_eq!(table.apply_report(now, &other, report(1, 1, 500), true), []);
    assert_eq!(table.apply_report(now, &other, report(1, 2, 700), true), admitted(200));
    assert_eq!(table.apply_report(now, &other, report(1, 3, 650), true), admitted(-50));
    assert_eq!(table.apply_report(now, &other, report(2, 1, 30), true), []);
    assert_eq!(table.apply_report(now, &other, report(2, 2, 40), true), admitted(10));
}

#[test]
fn a_host_with_an_expired_entry_counts_while_it_is_reachable() {
    let now = Instant::now();
    let mut table = new_table("a");
    table.put(Arc::from("b"), entry());
    table.apply_report(now, &Arc::from("b"), report(1, 1, 0), true);
    table.remove(now, "b");
    assert_eq!(share(&mut table, now).1, 2);
    table.remove(now + ms(700), "b");
    assert_eq!(share(&mut table, now + ms(700)).1, 1);
}

#[test]
fn unreachable_hosts_are_tried_more_often() {
    let now = Instant::now();
    let mut table = new_table("a");
    for name in ["b", "c"] {
        table.put(Arc::from(name), entry());
    }
    table.apply_report(now, &Arc::from("b"), report(1, 1, 0), true);
    let mut names = |due| {
        let mut names: Vec<_> =
            table.exchange_targets(now, due).into_iter().map(|(name, _)| name).collect();
        names.sort();
        names
    };
    assert_eq!(names(false), [Arc::from("c")]);
    assert_eq!(names(true), [Arc::from("b"), Arc::from("c")]);
}

/// Hosts that exchange reports unless they are partitioned from each other.
struct Fleet {
    now: Instant,
    hosts: BTreeMap<Arc<str>, PeerTable>,
    partitioned: BTreeSet<(Arc<str>, Arc<str>)>,
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
            let mut host = PeerTable::new(name.clone(), zone.clone(), 1);
            for (other, zone) in &names {
                host.put(other.clone(), HostEntry { zone: zone.clone(), ..entry() });
            }
            (name.clone(), host)
        });
        let hosts = hosts.collect();
        Self { now: Instant::now(), hosts, partitioned: BTreeSet::new() }
    }

    fn is_partitioned(&self, a: &Arc<str>, b: &Arc<str>) -> bool {
        self.partitioned.contains(&(a.clone(), b.clone()))
            || self.partitioned.contains(&(b.clone(), a.clone()))
    }

    fn report(&mut self, from: &Arc<str>, to: &Arc<str>) -> HostReport {
        self.hosts.get_mut(from).expect("a host").report(self.now, to, LocalUsage::default())
    }

    fn row_report(&mut self, from: &Arc<str>, to: &Arc<str>) -> RowReport {
        self.hosts.get_mut(from).expect("a host").row_report(self.now, to, LocalUsage::default())
    }

    /// Runs the exchanges of all hosts for a time in milliseconds.
    fn run(&mut self, time: u64) {
        let end = self.now + ms(time);
        while self.now < end {
            self.now += ms(INTERVAL_MS);
            let names: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
            for from in &names {
                let now = self.now;
                let host = self.hosts.get_mut(from).expect("a host");
                let (mut row, mut partners) =
                    (host.exchange_targets(now, true), host.partner_targets(now));
                row.retain(|(to, _)| !self.is_partitioned(from, to));
                partners.retain(|(to, _)| !self.is_partitioned(from, to));
                for (to, _) in row {
                    let mutual = self.hosts[from].has_recent_report(now, &to);
                    let request = self.report(from, &to);
                    self.hosts
                        .get_mut(&to)
                        .expect("a host")
                        .apply_report(now, from, request, mutual);
                    let reply = self.report(&to, from);
                    self.hosts.get_mut(from).expect("a host").apply_report(now, &to, reply, true);
                }
                // A host computes its share every tenth of a second.
                self.hosts.get_mut(from).expect("a host").share(now);
                for (to, _) in partners {
                    let (request, reply) = (self.row_report(from, &to), self.row_report(&to, from));
                    self.hosts.get_mut(&to).expect("a host").apply_row_report(now, from, request);
                    self.hosts.get_mut(from).expect("a host").apply_row_report(now, &to, reply);
                }
            }
        }
    }

    /// For each host, the parts that it uses.
    fn used_parts(&mut self) -> Vec<f64> {
        let now = self.now;
        self.hosts.values_mut().map(|host| host.share(now).parts).collect()
    }

    /// For each host, the hosts whose admissions it receives.
    fn hearing(&self) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let row = |host: &Arc<str>| -> BTreeSet<Arc<str>> {
            self.hosts[host].row_reach(self.now).cloned().collect()
        };
        let heard = |host: &Arc<str>| {
            let layout = self.hosts[host].layout();
            let reachable = self.hosts[host].reachable(self.now);
            let partners = reachable.iter().filter(|(other, _)| !layout.in_own_row(other));
            let remote =
                partners.flat_map(|(partner, _)| row(partner).into_iter().chain([partner.clone()]));
            row(host).into_iter().chain(remote).collect()
        };
        self.hosts.keys().map(|host| (host.clone(), heard(host))).collect()
    }
}

#[rstest]
#[case::three(3, 3)]
#[case::thirty_three(33, 4)]
#[case::hundred(100, 4)]
#[case::three_hundred(300, 4)]
fn connected_hosts_use_all_parts(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = Fleet::new(count, zones);
    fleet.run(3_000);
    assert_eq!(fleet.used_parts(), vec![count as f64; count]);
}

/// Two hosts are partitioned from each other, and the third reaches both. If each of them used
/// the part of the third, all hosts together would use five thirds of a limit.
#[test]
fn partially_partitioned_hosts_use_no_part_twice() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(1_000);
    assert_eq!(fleet.used_parts(), [3.0, 3.0, 3.0]);
    fleet.partitioned.insert((Arc::from("edge-000"), Arc::from("edge-001")));
    fleet.run(SETTLE_MS + 700);
    // The third host receives what both admit, and they don't receive each other's.
    let parts = fleet.used_parts();
    assert!(parts[0] + parts[1] <= 3.0 && parts[2] <= 3.0, "{parts:?}");
    fleet.partitioned.clear();
    fleet.run(1_000);
    assert_eq!(fleet.used_parts(), [3.0, 3.0, 3.0]);
}

/// Parts that all hosts use together if each in turn, in random order, admits as much as its
/// bucket holds after what it has received of the others.
fn parts_in_use(fleet: &mut Fleet, random: &mut StdRng) -> f64 {
    let now = fleet.now;
    let hearing = fleet.hearing();
    let parts: BTreeMap<Arc<str>, f64> =
        fleet.hosts.iter_mut().map(|(name, host)| (name.clone(), host.share(now).parts)).collect();
    let mut order: Vec<&Arc<str>> = parts.keys().collect();
    order.shuffle(random);
    let mut used: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
    for host in order {
        let own = parts[host];
        let heard = used.iter().filter(|(other, _)| hearing[host].contains(**other));
        let total = fleet.hosts.len() as f64;
        let table = &fleet.hosts[host];
        let debit =
            |(other, used): (&&Arc<str>, &f64)| used * table.debit_factor(parts[*other] / total);
        let spent: f64 = heard.map(debit).sum();
        used.insert(host, (own - spent).max(0.0));
    }
    used.values().sum()
}

/// The most that the hosts use in any order tried, as a fraction of the limit.
fn most_in_use(fleet: &mut Fleet, random: &mut StdRng) -> f64 {
    let count = fleet.hosts.len() as f64;
    (0..40).map(|_| parts_in_use(fleet, random) / count).fold(0.0, f64::max)
}

#[rstest]
#[case::mesh(12, 3)]
#[case::rows(100, 4)]
fn no_part_is_used_twice_under_random_partitions(#[case] count: usize, #[case] zones: usize) {
    for seed in 0..6 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(count, zones);
        fleet.run(2_000);
        let names: Vec<Arc<str>> = fleet.hosts.keys().cloned().collect();
        for _ in 0..random.random_range(1..count) {
            let pair = (random.random_range(0..count), random.random_range(0..count));
            fleet.partitioned.insert((names[pair.0].clone(), names[pair.1].clone()));
        }
        fleet.run(6_000);
        let used = most_in_use(&mut fleet, &mut random);
        assert!(used <= 1.0 + 1e-6, "seed {seed}: {used} of the limit");
    }
}

/// Data centres that are cut from each other one way round: two of them reach the third, and not
/// each other.
#[test]
fn no_part_is_used_twice_when_two_data_centres_share_a_third() {
    let mut random = StdRng::seed_from_u64(1);
    let mut fleet = Fleet::new(90, 3);
    fleet.run(2_000);
    let names: Vec<Arc<str>> = fleet.hosts.keys().cloned().collect();
    for a in (0..90).step_by(3) {
        for b in (1..90).step_by(3) {
            fleet.partitioned.insert((names[a].clone(), names[b].clone()));
        }
    }
    fleet.run(6_000);
    let used = most_in_use(&mut fleet, &mut random);
    assert!(used <= 1.0 + 1e-6, "{used} of the limit");
    // Each still uses at least its own parts.
    let parts = fleet.used_parts();
    assert!(parts.iter().all(|parts| *parts >= 30.0), "{parts:?}");
}

#[test]
fn a_dead_host_costs_the_others_only_its_part() {
    let mut fleet = Fleet::new(5, 3);
    fleet.run(1_000);
    let dead: Arc<str> = Arc::from("edge-004");
    let names: Vec<Arc<str>> = fleet.hosts.keys().cloned().collect();
    for name in names.iter().filter(|name| **name != dead) {
        fleet.partitioned.insert((name.clone(), dead.clone()));
    }
    for _ in 0..30 {
        fleet.run(100);
        let parts = fleet.used_parts();
        assert!(parts[..4].iter().all(|count| *count >= 4.0), "{parts:?}");
    }
}

#[test]
fn rows_exchange_admitted_tokens_and_engine_use() {
    let mut fleet = Fleet::new(100, 4);
    fleet.run(2_000);
    let names: Vec<Arc<str>> = fleet.hosts.keys().cloned().collect();
    let from = names[0].clone();
    let (row, remote): (Vec<_>, Vec<_>) = names
        .iter()
        .filter(|name| **name != from)
        .partition(|name| fleet.hosts[&from].layout().in_own_row(name));
    let engine: Arc<str> = Arc::from("e1");
    let now = fleet.now;
    for tokens in [100, 350] {
        let uses = vec![(engine.clone(), vec![StreamUse { held: 60, growth: 4 }; 2])];
        let usage = LocalUsage { spent: spend(tokens), uses };
        for name in &row {
            let host = fleet.hosts.get_mut(&from).expect("a host");
            let report = host.report(now, name, usage.clone());
            fleet.hosts.get_mut(*name).expect("a host").apply_report(now, &from, report, true);
        }
    }
    // A host of the row reports the sum, which contains the deltas since the first report.
    let sender = row[0];
    let row_report = fleet.row_report(sender, &Arc::from("somebody"));
    assert_eq!(row_report.spent, spend(350));
    let receiver = fleet.hosts.get_mut(remote[0]).expect("a host");
    let later = now + ms(9_000);
    receiver.apply_row_report(later, sender, row_report.clone());
    let own = ReportId { sequence: row_report.id.sequence + 1, ..row_report.id };
    let deltas = receiver.apply_row_report(
        later,
        sender,
        RowReport { id: own, spent: spend(400), ..row_report },
    );
    assert_eq!(deltas, admitted(50));
    assert_eq!(receiver.remote_usage(later)[&engine], vec![StreamUse { held: 60, growth: 4 }; 2]);
}

#[test]
fn reports_contain_only_unacknowledged_changes() {
    let now = Instant::now();
    let (a, b) = (Arc::from("a"), Arc::from("b"));
    let mut tables = (new_table("a"), new_table("b"));
    let usage = |tokens| LocalUsage { spent: spend(tokens), uses: Vec::new() };
    let request = tables.0.report(now, &b, usage(100));
    assert_eq!(request.spent, spend(100));
    tables.1.apply_report(now, &a, request, true);
    // Changes are sent again until the other host has acknowledged them.
    assert_eq!(tables.0.report(now, &b, usage(100)).spent, spend(100));
    let reply = tables.1.report(now, &a, LocalUsage::default());
    tables.0.apply_report(now, &b, reply, true);
    assert_eq!(tables.0.report(now, &b, usage(100)).spent, []);
    assert_eq!(tables.0.report(now, &b, usage(130)).spent, spend(130));
}

#[test]
fn reordered_reports_are_ignored() {
    let now = Instant::now();
    let other = Arc::from("b");
    let mut table = new_table("a");
    table.apply_report(now, &other, report(1, 1, 100), true);
    assert_eq!(table.apply_report(now, &other, report(1, 3, 400), true), admitted(300));
    assert_eq!(table.apply_report(now, &other, report(1, 2, 200), true), []);
    assert_eq!(table.apply_report(now, &other, report(1, 4, 500), true), admitted(100));
}

/// Exchanges overlap, so a report may arrive after a later one. A list of reached hosts is sent
/// only when it changes: an outdated one would stay, and make the hosts on it outsiders.
#[test]
fn a_reordered_report_does_not_restore_outsiders() {
    let start = Instant::now();
    let mut table = new_table("a");
    let other = Arc::from("b");
    table.put(other, entry());
    let reached =
        |sequence, names: &[&str]| HostReport { reached: digests(names), ..report(1, sequence, 0) };
    let reports =
        [reached(1, &["a", "b", "c"]), reached(3, &["a", "b"]), reached(2, &["a", "b", "c"])];
    for report in reports {
        table.apply_report(start, &Arc::from("b"), report, true);
    }
    for step in 0..40 {
        let now = start + ms(step * INTERVAL_MS);
        let unchanged = HostReport { reached: None, ..report(1, 4 + step, 0) };
        table.apply_report(now, &Arc::from("b"), unchanged, true);
        assert_eq!(share(&mut table, now), (2.0, 2), "after {} ms", step * INTERVAL_MS);
    }
}

#[test]
fn hosts_of_a_large_fleet_have_few_peers() {
    let hosts: BTreeMap<Arc<str>, Arc<str>> = (0..300)
        .map(|n| (Arc::from(format!("edge-{n:03}")), Arc::from(format!("z{}", n % 4))))
        .collect();
    for own in hosts.keys() {
        let layout = Layout::new(own, &hosts);
        let peers = layout.row_size() - 1 + layout.other_rows().count();
        assert!(peers <= 60, "{own}: {peers}");
        assert!(layout.other_rows().all(|row| layout.partner(row, 0).is_some()));
    }
}
