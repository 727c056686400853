//! Limits of a fleet whose hosts join, restart and fail all the time.
//!
//! The hosts exchange reports within rows and between rows, as in a real fleet. Callers stay
//! within their limit, so an exact bucket would admit every request; what the hosts refuse is
//! refused wrongly.

use std::collections::{BTreeMap, BTreeSet};
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
const STEP_MS: u64 = 20;
/// Time between exchanges with partners in other rows.
const PARTNER_INTERVAL_MS: u64 = 500;
/// Time for which a restarting host is down.
const DOWN_MS: u64 = 1_000;
/// Traffic starts after the hosts have exchanged reports.
const TRAFFIC_FROM_MS: u64 = 4_000;
const CHURN_FROM_MS: u64 = 8_000;
const END_MS: u64 = 24_000;
/// Largest fraction of the tokens that may be refused wrongly.
const MAX_REFUSED: f64 = 0.02;
/// Time in which a host that has joined admits its requests, counted from its first exchange.
const JOIN_MS: u64 = 500;

/// What happens to the fleet from [`CHURN_FROM_MS`] on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Churn {
    /// One host restarts each second.
    RollingRestart,
    /// A sixth of the hosts joins at once.
    Joins,
    /// A data centre is cut off, then comes back, while hosts restart.
    ZoneCut,
    /// Most hosts are killed at once, and one restarts each second after that.
    Kill,
}

struct Host {
    name: Arc<str>,
    zone: Arc<str>,
    quota: Quota,
    table: PeerTable,
    incarnation: u64,
    up: bool,
    back: u64,
    due: u64,
    partners_due: u64,
    /// When it first exchanged reports in this run.
    joined: Option<u64>,
}

struct Fleet {
    start: Instant,
    random: StdRng,
    customer: Customer,
    hosts: Vec<Host>,
    by_name: BTreeMap<Arc<str>, usize>,
    cut: Option<Arc<str>>,
}

fn entry(zone: &Arc<str>) -> HostEntry {
    HostEntry { address: "127.0.0.1:9".parse().expect("an address"), zone: zone.clone() }
}

impl Fleet {
    fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self {
            start: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            customer: Customer {
                name: Arc::from("club"),
                limit: Some(LIMIT),
                flat_tokens: 200,
                homes: Vec::new(),
            },
            hosts: Vec::new(),
            by_name: BTreeMap::new(),
            cut: None,
        };
        (0..count).for_each(|number| fleet.add(number, zones, true));
        fleet
    }

    fn add(&mut self, number: usize, zones: usize, full: bool) {
        let name: Arc<str> = Arc::from(format!("edge-{number:03}"));
        let zone: Arc<str> = Arc::from(format!("z{}", number % zones));
        for host in &mut self.hosts {
            host.table.put(name.clone(), entry(&zone));
        }
        self.by_name.insert(name.clone(), self.hosts.len());
        let due = number as u64 * STEP_MS % 400;
        self.hosts.push(Host {
            table: PeerTable::new(name.clone(), zone.clone(), 1),
            quota: Quota::new(RULES, full),
            name,
            zone,
            incarnation: 1,
            up: true,
            back: 0,
            due,
            partners_due: due,
            joined: None,
        });
        self.fill_table(self.hosts.len() - 1);
    }

    fn fill_table(&mut self, index: usize) {
        let entries: Vec<_> =
            self.hosts.iter().map(|host| (host.name.clone(), entry(&host.zone))).collect();
        for (name, entry) in entries {
            self.hosts[index].table.put(name, entry);
        }
    }

    fn stop(&mut self, index: usize, time: u64) {
        self.hosts[index].up = false;
        self.hosts[index].back = time + DOWN_MS;
    }

    fn restart_stopped(&mut self, time: u64) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.up || host.back > time {
                continue;
            }
            host.incarnation += 1;
            host.up = true;
            host.joined = None;
            host.quota = Quota::new(RULES, false);
            host.table = PeerTable::new(host.name.clone(), host.zone.clone(), host.incarnation);
            self.fill_table(index);
        }
    }

    fn are_connected(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.hosts[a], &self.hosts[b]);
        let is_cut = |host: &Host| self.cut.as_ref() == Some(&host.zone);
        a.up && b.up && is_cut(a) == is_cut(b)
    }

    fn usage(&self, index: usize) -> LocalUsage {
        let spent = self.hosts[index].quota.spent();
        let spent = spent.map(|(name, spent)| (name.clone(), spent)).collect();
        LocalUsage { spent, uses: Vec::new() }
    }

    fn apply(&mut self, now: Instant, index: usize, deltas: TokenDeltas) {
        let share = self.hosts[index].table.share(now);
        for (_, delta) in deltas {
            self.hosts[index].quota.apply_remote(now, &self.customer, share, delta);
        }
    }

    fn send_report(&mut self, now: Instant, from: usize, to: usize, mutual: bool) {
        let usage = self.usage(from);
        let (sender, receiver) = (self.hosts[from].name.clone(), self.hosts[to].name.clone());
        let report = self.hosts[from].table.report(now, &receiver, usage);
        let deltas = self.hosts[to].table.apply_report(now, &sender, report, mutual);
        self.apply(now, to, deltas);
    }

    /// Exchanges reports between two hosts of a row.
    fn exchange(&mut self, now: Instant, time: u64, from: usize, to: usize) {
        let receiver = self.hosts[to].name.clone();
        let mutual = self.hosts[from].table.has_recent_report(now, &receiver);
        self.send_report(now, from, to, mutual);
        self.send_report(now, to, from, true);
        for index in [from, to] {
            self.hosts[index].joined.get_or_insert(time);
        }
    }

    fn exchange_rows(&mut self, now: Instant, from: usize, to: usize) {
        for (from, to) in [(from, to), (to, from)] {
            let usage = self.usage(from);
            let (sender, receiver) = (self.hosts[from].name.clone(), self.hosts[to].name.clone());
            let report = self.hosts[from].table.row_report(now, &receiver, usage);
            let deltas = self.hosts[to].table.apply_row_report(now, &sender, report);
            self.apply(now, to, deltas);
        }
    }

    fn run_exchanges(&mut self, now: Instant, time: u64) {
        for from in 0..self.hosts.len() {
            if !self.hosts[from].up {
                continue;
            }
            let due = self.hosts[from].due <= time;
            if due {
                let interval = self.hosts[from].table.interval();
                self.hosts[from].due = time + interval.as_millis() as u64;
            }
            // Unreachable hosts are tried each 100 ms.
            if due || time.is_multiple_of(100) {
                for (name, _) in self.hosts[from].table.exchange_targets(now, due) {
                    let to = self.by_name[&name];
                    if self.are_connected(from, to) {
                        self.exchange(now, time, from, to);
                    }
                }
                self.refresh(now, from);
            }
            if self.hosts[from].partners_due <= time {
                self.hosts[from].partners_due = time + PARTNER_INTERVAL_MS;
                for (name, _) in self.hosts[from].table.partner_targets(now) {
                    let to = self.by_name[&name];
                    if self.are_connected(from, to) {
                        self.exchange_rows(now, from, to);
                    }
                }
            }
        }
    }

    fn refresh(&mut self, now: Instant, index: usize) {
        let host = &mut self.hosts[index];
        let share = host.table.share(now);
        let fullness = host.table.fullness(now);
        let reported = !fullness.is_empty();
        for mut fullness in fullness.into_values() {
            host.quota.reconcile(now, &self.customer, share, &mut fullness);
        }
        host.quota.mark_reconciled(now, reported);
    }

    fn push(&mut self, now: Instant, time: u64, from: usize) {
        for (name, _) in self.hosts[from].table.reachable_in_row(now) {
            let to = self.by_name[&name];
            if self.are_connected(from, to) {
                self.exchange(now, time, from, to);
            }
        }
    }

    fn disturb(&mut self, churn: Churn, time: u64, zones: usize) {
        let count = self.hosts.len();
        let second = (time - CHURN_FROM_MS) / 1_000;
        let steady = !matches!(churn, Churn::Joins);
        if steady && time.is_multiple_of(1_000) {
            self.stop(second as usize * 7 % count, time);
        }
        match churn {
            Churn::Joins if time == CHURN_FROM_MS => {
                (count..count + count / 6).for_each(|number| self.add(number, zones, false));
            }
            Churn::Kill if time == CHURN_FROM_MS => {
                (0..count).filter(|index| index % 3 != 0).for_each(|index| self.stop(index, time));
            }
            Churn::ZoneCut if second == 2 => self.cut = Some(Arc::from("z1")),
            Churn::ZoneCut if second == 8 => self.cut = None,
            _ => {}
        }
    }

    /// Runs the simulation; `load` is the demand as a fraction of the limit.
    fn simulate(&mut self, churn: Churn, zones: usize, load: f64) -> Outcome {
        let mut outcome = Outcome::default();
        for time in (0..END_MS).step_by(STEP_MS as usize) {
            let now = self.start + Duration::from_millis(time);
            if time >= CHURN_FROM_MS {
                self.disturb(churn, time, zones);
            }
            self.restart_stopped(time);
            self.run_exchanges(now, time);
            if time >= TRAFFIC_FROM_MS {
                self.offer(now, time, load, &mut outcome);
            }
        }
        outcome
    }

    /// Offers the requests of one step to random hosts: mostly small ones, and the tokens
    /// mostly in large ones.
    fn offer(&mut self, now: Instant, time: u64, load: f64, outcome: &mut Outcome) {
        let budget = LIMIT.rate * load * STEP_MS as f64 / 1_000.0;
        let small = (budget * 0.2 / 200.0) as usize;
        let large = self.random.random_bool((budget * 0.8 / 8_000.0).min(1.0));
        let sizes = std::iter::repeat_n(200, small).chain(large.then_some(8_000));
        for tokens in sizes {
            let up: Vec<usize> = (0..self.hosts.len()).filter(|i| self.hosts[*i].up).collect();
            let index = up[self.random.random_range(0..up.len())];
            let draw = self.random.random_range(0.0..1.0);
            let host = &mut self.hosts[index];
            let share = host.table.share(now);
            let admitted = host.quota.take(now, &self.customer, share, tokens, draw).is_ok();
            let joining = host.joined.is_none_or(|at| time < at + JOIN_MS);
            if admitted {
                outcome.admitted.push((time, tokens));
            } else if !joining {
                outcome.refused += tokens;
            }
            outcome.asked += tokens;
            if admitted && tokens > 1_000 {
                self.push(now, time, index);
            }
        }
    }
}

#[derive(Default)]
struct Outcome {
    asked: u64,
    /// Tokens refused by hosts that had joined long enough ago.
    refused: u64,
    admitted: Vec<(u64, u64)>,
}

impl Outcome {
    fn busiest_window(&self) -> u64 {
        let window = RULES.window.as_millis() as u64;
        let starts: BTreeSet<u64> = self.admitted.iter().map(|(at, _)| *at).collect();
        let sum = |start: u64| {
            let seen = self.admitted.iter().filter(|(at, _)| *at >= start && *at < start + window);
            seen.map(|(_, tokens)| tokens).sum()
        };
        starts.into_iter().step_by(5).map(sum).max().unwrap_or(0)
    }
}

/// Fewer for large fleets, which take long.
fn seeds(hosts: usize) -> u64 {
    if hosts > 200 { 1 } else { 2 }
}

fn allowed() -> f64 {
    (LIMIT.rate * 8.0 + LIMIT.burst) * (1.0 + RULES.overrun) + RULES.allowance
}

/// A host whose view of the fleet differed from the others' for a moment used only its own part
/// of the limits. With a restart a second, views differed all the time, and most hosts refused
/// requests of customers that were far below their limit.
#[rstest]
#[case::thirty_rolling(30, 4, Churn::RollingRestart)]
#[case::thirty_joins(30, 4, Churn::Joins)]
#[case::hundred_twenty_rolling(120, 6, Churn::RollingRestart)]
#[case::hundred_twenty_joins(120, 6, Churn::Joins)]
#[case::three_hundred_rolling(300, 6, Churn::RollingRestart)]
fn customers_within_their_limit_are_admitted_in_churn(
    #[case] count: usize,
    #[case] zones: usize,
    #[case] churn: Churn,
) {
    for seed in 0..seeds(count) {
        let outcome = Fleet::new(count, zones, seed).simulate(churn, zones, 0.7);
        let refused = outcome.refused as f64 / outcome.asked as f64;
        assert!(refused <= MAX_REFUSED, "seed {seed}: {refused:.3} refused");
    }
}

/// Whatever happens, all hosts together admit no more than the users' rule allows.
#[rstest]
#[case::thirty_rolling(30, 4, Churn::RollingRestart)]
#[case::hundred_twenty_rolling(120, 6, Churn::RollingRestart)]
#[case::hundred_twenty_joins(120, 6, Churn::Joins)]
#[case::hundred_twenty_cut(120, 6, Churn::ZoneCut)]
#[case::hundred_twenty_killed(120, 6, Churn::Kill)]
#[case::three_hundred_cut(300, 6, Churn::ZoneCut)]
fn customers_over_their_limit_are_held_to_it_in_churn(
    #[case] count: usize,
    #[case] zones: usize,
    #[case] churn: Churn,
) {
    for seed in 0..seeds(count) {
        let outcome = Fleet::new(count, zones, seed).simulate(churn, zones, 6.0);
        let most = outcome.busiest_window();
        assert!(most as f64 <= allowed(), "seed {seed}: {most} of {}", allowed());
    }
}
