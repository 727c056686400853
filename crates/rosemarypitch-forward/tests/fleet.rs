//! Limits over whole fleets of hosts.
//!
//! A customer requests many times its limit while the hosts exchange reports, are partitioned
//! from each other or restart. The tests bound what all hosts admit together. As in a real
//! fleet, hosts exchange reports at intervals, and push one after each large request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::announce::HostEntry;
use rosemarypitch_forward::config::{Customer, RateLimit};
use rosemarypitch_forward::counters::TokenDeltas;
use rosemarypitch_forward::peer_table::{LocalUsage, PeerTable};
use rosemarypitch_forward::quota::{Quota, QuotaRules};
use rstest::rstest;
use tokio::time::Instant;

const RULES: QuotaRules =
    QuotaRules { window: Duration::from_secs(8), overrun: 0.1, allowance: 120_000.0 };
const LIMIT: RateLimit = RateLimit { rate: 180_000.0, burst: 180_000.0 };
/// Demand of the customer as a multiple of its rate.
const DEMAND_FACTOR: f64 = 8.0;
/// Mean number of tokens of a request.
const MEAN_TOKENS: f64 = 10_000.0;
const STEP_MS: u64 = 20;
const FAULT_AT_MS: u64 = 9_000;
const END_MS: u64 = 24_000;

struct Host {
    name: Arc<str>,
    quota: Quota,
    table: PeerTable,
    due: u64,
}

/// What happens to some of the hosts at [`FAULT_AT_MS`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultKind {
    None,
    /// Each is partitioned from all others.
    Isolated,
    /// They are partitioned from the rest, but reach each other.
    Partitioned,
    /// They restart without state.
    Restarted,
}

struct Fleet {
    start: Instant,
    customer: Customer,
    hosts: Vec<Host>,
    faulty: BTreeSet<usize>,
    fault: FaultKind,
}

impl Fleet {
    fn new(count: usize, faulty: usize, fault: FaultKind) -> Self {
        let name = |number: usize| -> Arc<str> { Arc::from(format!("edge-{number:03}")) };
        let hosts = (0..count).map(|number| {
            let mut table = PeerTable::new(name(number), Arc::from("howrah"), 1);
            for other in 0..count {
                let address = "127.0.0.1:9".parse().expect("an address");
                table.put(name(other), HostEntry { address, zone: Arc::from("howrah") });
            }
            let quota = Quota::new(RULES, true);
            Host { name: name(number), quota, table, due: number as u64 * STEP_MS % 400 }
        });
        let customer = Customer {
            name: Arc::from("club"),
            limit: Some(LIMIT),
            flat_tokens: 200,
            homes: Vec::new(),
        };
        let hosts = hosts.collect();
        let faulty = (0..faulty).map(|number| number * count / faulty.max(1)).collect();
        Self { start: Instant::now(), customer, hosts, faulty, fault }
    }

    fn are_partitioned(&self, a: usize, b: usize, time: u64) -> bool {
        let (first, second) = (self.faulty.contains(&a), self.faulty.contains(&b));
        time >= FAULT_AT_MS
            && match self.fault {
                FaultKind::None | FaultKind::Restarted => false,
                FaultKind::Isolated => first || second,
                FaultKind::Partitioned => first != second,
            }
    }

    fn local_usage(&self, host: usize) -> LocalUsage {
        let spent = self.hosts[host].quota.spent();
        let spent = spent.map(|(name, spent)| (name.clone(), spent)).collect();
        LocalUsage { spent, uses: Vec::new() }
    }

    fn send_report(&mut self, now: Instant, from: usize, to: usize) {
        let usage = self.local_usage(from);
        let (sender, receiver) = (self.hosts[from].name.clone(), self.hosts[to].name.clone());
        let mutual = self.hosts[from].table.has_recent_report(now, &receiver);
        let report = self.hosts[from].table.report(now, &receiver, usage);
        let deltas: TokenDeltas = self.hosts[to].table.apply_report(now, &sender, report, mutual);
        let share = self.hosts[to].table.share(now);
        for (_, delta) in deltas {
            self.hosts[to].quota.apply_remote(now, &self.customer, share, delta);
        }
    }

    fn exchange(&mut self, now: Instant, time: u64) {
        for from in 0..self.hosts.len() {
            if self.hosts[from].due > time {
                continue;
            }
            let interval = self.hosts[from].table.interval();
            self.hosts[from].due = time + interval.as_millis() as u64;
            let targets = self.hosts[from].table.exchange_targets(now, true);
            let targets: Vec<Arc<str>> = targets.into_iter().map(|(name, _)| name).collect();
            for to in 0..self.hosts.len() {
                if targets.contains(&self.hosts[to].name) && !self.are_partitioned(from, to, time) {
                    self.send_report(now, from, to);
                    self.send_report(now, to, from);
                }
            }
            let host = &mut self.hosts[from];
            let share = host.table.share(now);
            let fullness = host.table.fullness(now);
            let reported = !fullness.is_empty();
            for mut fullness in fullness.into_values() {
                host.quota.reconcile(now, &self.customer, share, &mut fullness);
            }
            host.quota.mark_reconciled(now, reported);
        }
    }

    /// Exchanges reports with all other hosts, as a host does after a large request.
    fn push(&mut self, now: Instant, time: u64, from: usize) {
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            if !self.are_partitioned(from, to, time) {
                self.send_report(now, from, to);
                self.send_report(now, to, from);
            }
        }
    }

    fn restart(&mut self) {
        for number in &self.faulty {
            let names: Vec<Arc<str>> = self.hosts.iter().map(|host| host.name.clone()).collect();
            let host = &mut self.hosts[*number];
            host.quota = Quota::new(RULES, false);
            host.table = PeerTable::new(host.name.clone(), Arc::from("howrah"), 2);
            for name in names {
                let address = "127.0.0.1:9".parse().expect("an address");
                host.table.put(name, HostEntry { address, zone: Arc::from("howrah") });
            }
        }
    }

    /// Runs the simulation; returns the times, in milliseconds, and tokens of the admitted
    /// requests.
    fn simulate(&mut self, seed: u64) -> Vec<(u64, u64)> {
        let mut random = StdRng::seed_from_u64(seed);
        let chance = LIMIT.rate * DEMAND_FACTOR / MEAN_TOKENS * STEP_MS as f64 / 1_000.0;
        let mut admitted = Vec::new();
        for time in (0..END_MS).step_by(STEP_MS as usize) {
            let now = self.start + Duration::from_millis(time);
            if time == FAULT_AT_MS && self.fault == FaultKind::Restarted {
                self.restart();
            }
            self.exchange(now, time);
            // Traffic starts after the hosts have exchanged reports.
            for _ in 0..(chance + random.random_range(0.0..1.0)) as u64 * u64::from(time > 3_000) {
                let index = random.random_range(0..self.hosts.len());
                let host = &mut self.hosts[index];
                let tokens = random.random_range(5_000..15_000);
                let share = host.table.share(now);
                let draw = random.random_range(0.0..1.0);
                if host.quota.take(now, &self.customer, share, tokens, draw).is_ok() {
                    admitted.push((time, tokens));
                    self.push(now, time, index);
                }
            }
        }
        admitted
    }
}

fn busiest_window(admitted: &[(u64, u64)]) -> u64 {
    let window = RULES.window.as_millis() as u64;
    let from = admitted.iter().map(|(start, _)| {
        let seen = admitted.iter().filter(|(at, _)| at >= start && *at < start + window);
        seen.map(|(_, tokens)| tokens).sum()
    });
    from.max().unwrap_or(0)
}

#[rstest]
#[case::five(5, 0, FaultKind::None)]
#[case::five_isolated(5, 2, FaultKind::Isolated)]
#[case::five_partitioned(5, 2, FaultKind::Partitioned)]
#[case::five_restarted(5, 3, FaultKind::Restarted)]
#[case::thirty_two(32, 0, FaultKind::None)]
#[case::thirty_two_isolated(32, 13, FaultKind::Isolated)]
#[case::thirty_two_partitioned(32, 8, FaultKind::Partitioned)]
#[case::thirty_two_restarted(32, 19, FaultKind::Restarted)]
fn admitted_tokens_stay_within_the_limit_in_every_window(
    #[case] count: usize,
    #[case] faulty: usize,
    #[case] fault: FaultKind,
) {
    let allowed = (LIMIT.rate * 8.0 + LIMIT.burst) * (1.0 + RULES.overrun) + RULES.allowance;
    for seed in 0..8 {
        let admitted = Fleet::new(count, faulty, fault).simulate(seed);
        let most = busiest_window(&admitted);
        assert!(most as f64 <= allowed, "seed {seed}: {most} of {allowed}");
        // Once the bucket is empty, not much less than the rate may be admitted.
        let later: u64 = admitted.iter().filter(|(at, _)| *at > 14_000).map(|(_, n)| n).sum();
        let part = later as f64 / (LIMIT.rate * (END_MS - 14_000) as f64 / 1_000.0);
        let least = if fault == FaultKind::Isolated { 0.5 } else { 0.8 };
        assert!(part >= least, "seed {seed}: {part} of the rate");
    }
}
