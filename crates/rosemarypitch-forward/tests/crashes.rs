//! Distribution of crash records over the hosts of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rosemarypitch_forward::announce::HostEntry;
use rosemarypitch_forward::crash_exchange::{
    Batch, CrashExchange, Exchange, MIN_ROUND_INTERVAL, ROUND_INTERVAL,
};
use rosemarypitch_forward::peer_table::{LocalUsage, PeerTable};
use rosemarypitch_forward::quarantine::{CrashRecord, Quarantine};
use rstest::rstest;
use tokio::time::Instant;

const STEP_MS: u64 = 20;
const PARTNER_INTERVAL_MS: u64 = 500;
/// Time of a message to another data centre.
const REMOTE_DELAY_MS: u64 = 60;
/// Time after which a host gives up an exchange.
const TIMEOUT_MS: u64 = 300;
/// When the first crash is recorded; the hosts have found each other by then.
const CRASH_AT_MS: u64 = 3_000;
/// Time in which a record has to be known everywhere.
const BOUND_MS: u64 = 1_500;

fn record(id: u64) -> CrashRecord {
    let parts = ["9f86d081884c7d65", "60303ae22b998861", "fd61a03af4f77d87"].map(Arc::from);
    let engine = Arc::from("i-d7f7e75727");
    CrashRecord { id, engine, incarnation: 1, parts: parts.to_vec(), age_ms: 0 }
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Names in an order that does not change from run to run.
fn sorted(hosts: Vec<(Arc<str>, SocketAddr)>) -> Vec<Arc<str>> {
    let mut names: Vec<Arc<str>> = hosts.into_iter().map(|(name, _)| name).collect();
    names.sort();
    names
}

struct Host {
    name: Arc<str>,
    zone: Arc<str>,
    incarnation: u64,
    table: PeerTable,
    crashes: CrashExchange,
    quarantine: Quarantine,
    due: u64,
    partners_due: u64,
    /// When its next round is due.
    round: u64,
    last_round: u64,
}

/// An exchange of crash records on its way.
struct Message {
    from: usize,
    to: usize,
    /// Incarnations of both hosts at its start.
    incarnations: (u64, u64),
    exchange: Exchange,
    /// When it arrives at the peer, if it does.
    arrival: Option<u64>,
    /// When its sender receives the reply or gives up.
    end: u64,
    fails: bool,
    /// Records that the peer asked for.
    wanted: Option<Vec<u64>>,
}

/// Hosts that exchange reports and crash records.
struct Fleet {
    start: Instant,
    random: StdRng,
    hosts: Vec<Host>,
    by_name: BTreeMap<Arc<str>, usize>,
    messages: Vec<Message>,
    /// Probability that an exchange of records fails, before or after it reaches the peer.
    loss: f64,
    cut: Option<Arc<str>>,
    traffic: Traffic,
}

/// Exchanges of records, those of them between data centres, and the sizes of their requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Traffic {
    exchanges: usize,
    remote: usize,
    bytes: usize,
    remote_bytes: usize,
}

impl Fleet {
    fn new(count: usize, zones: usize, loss: f64, seed: u64) -> Self {
        let name = |number: usize| -> Arc<str> { Arc::from(format!("edge-{number:03}")) };
        let zone = |number: usize| -> Arc<str> { Arc::from(format!("z{}", number % zones)) };
        let hosts = (0..count).map(|number| Host {
            name: name(number),
            zone: zone(number),
            incarnation: 1,
            table: PeerTable::new(name(number), zone(number), 1),
            crashes: CrashExchange::default(),
            quarantine: Quarantine::default(),
            due: number as u64 * STEP_MS % 400,
            partners_due: number as u64 * STEP_MS % PARTNER_INTERVAL_MS,
            round: number as u64 * STEP_MS % 400,
            last_round: 0,
        });
        let mut fleet = Self {
            start: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            hosts: hosts.collect(),
            by_name: (0..count).map(|number| (name(number), number)).collect(),
            loss,
            cut: None,
            messages: Vec::new(),
            traffic: Traffic::default(),
        };
        (0..count).for_each(|index| fleet.fill_table(index));
        fleet
    }

    fn fill_table(&mut self, index: usize) {
        let address = "127.0.0.1:9".parse().expect("an address");
        let entries: Vec<_> = self
            .hosts
            .iter()
            .map(|host| (host.name.clone(), HostEntry { address, zone: host.zone.clone() }))
            .collect();
        for (name, entry) in entries {
            self.hosts[index].table.put(name, entry);
        }
    }

    fn restart(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.table = PeerTable::new(host.name.clone(), host.zone.clone(), host.incarnation);
        host.crashes = CrashExchange::default();
        host.quarantine = Quarantine::default();
        self.fill_table(index);
    }

    fn are_connected(&self, a: usize, b: usize) -> bool {
        let is_cut = |index: usize| self.cut.as_ref() == Some(&self.hosts[index].zone);
        is_cut(a) == is_cut(b)
    }

    fn send_report(&mut self, now: Instant, from: usize, to: usize, mutual: bool) {
        let (sender, receiver) = (self.hosts[from].name.clone(), self.hosts[to].name.clone());
        let report = self.hosts[from].table.report(now, &receiver, LocalUsage::default());
        self.hosts[to].crashes.observe(&sender, report.id.incarnation);
        self.hosts[to].table.apply_report(now, &sender, report, mutual);
    }

    fn send_row_report(&mut self, now: Instant, from: usize, to: usize) {
        let (sender, receiver) = (self.hosts[from].name.clone(), self.hosts[to].name.clone());
        let report = self.hosts[from].table.row_report(now, &receiver, LocalUsage::default());
        self.hosts[to].crashes.observe(&sender, report.id.incarnation);
        self.hosts[to].table.apply_row_report(now, &sender, report);
    }

    fn exchange_reports(&mut self, now: Instant, time: u64, from: usize) {
        let due = self.hosts[from].due <= time;
        if due {
            let interval = self.hosts[from].table.interval();
            self.hosts[from].due = time + interval.as_millis() as u64;
        }
        if due || time.is_multiple_of(100) {
            for name in sorted(self.hosts[from].table.exchange_targets(now, due)) {
                let to = self.by_name[&name];
                if self.are_connected(from, to) {
                    let mutual = self.hosts[from].table.has_recent_report(now, &name);
                    self.send_report(now, from, to, mutual);
                    self.send_report(now, to, from, true);
                }
            }
            self.hosts[from].table.share(now);
        }
        if self.hosts[from].partners_due <= time {
            self.hosts[from].partners_due = time + PARTNER_INTERVAL_MS;
            for name in sorted(self.hosts[from].table.partner_targets(now)) {
                let to = self.by_name[&name];
                if self.are_connected(from, to) {
                    self.send_row_report(now, from, to);
                    self.send_row_report(now, to, from);
                }
            }
        }
    }

    /// Makes the next round due as soon as rounds may follow each other.
    fn notify(&mut self, time: u64, index: usize) {
        let host = &mut self.hosts[index];
        let earliest = host.last_round + MIN_ROUND_INTERVAL.as_millis() as u64;
        host.round = host.round.min(earliest.max(time + STEP_MS));
    }

    fn run_round(&mut self, now: Instant, time: u64, from: usize) {
        if self.hosts[from].round > time {
            return;
        }
        let host = &mut self.hosts[from];
        host.last_round = time;
        host.round = time + (MIN_ROUND_INTERVAL + ROUND_INTERVAL).as_millis() as u64;
        let records = host.quarantine.records(now);
        let mut reachable = host.table.reachable(now);
        reachable.sort();
        reachable.shuffle(&mut self.random);
        for (name, _, exchange) in host.crashes.start_round(now, reachable, &records) {
            self.send(time, from, self.by_name[&name], exchange);
        }
    }

    fn send(&mut self, time: u64, from: usize, to: usize, exchange: Exchange) {
        let bytes = rosemarypitch_peer::encode(&exchange.batch).expect("encoded").len();
        let remote = self.hosts[from].zone != self.hosts[to].zone;
        self.traffic.exchanges += 1;
        self.traffic.bytes += bytes;
        if remote {
            self.traffic.remote += 1;
            self.traffic.remote_bytes += bytes;
        }
        let delay = if remote { REMOTE_DELAY_MS } else { STEP_MS };
        let fails = self.random.random_bool(self.loss);
        let arrives = self.are_connected(from, to) && (!fails || self.random.random_bool(0.5));
        self.messages.push(Message {
            from,
            to,
            incarnations: (self.hosts[from].incarnation, self.hosts[to].incarnation),
            exchange,
            arrival: arrives.then_some(time + delay),
            end: if arrives && !fails { time + delay * 2 } else { time + TIMEOUT_MS },
            fails,
            wanted: None,
        });
    }

    fn deliver(&mut self, now: Instant, time: u64) {
        for mut message in std::mem::take(&mut self.messages) {
            let (from, to) = (message.from, message.to);
            let (sender_run, receiver_run) = message.incarnations;
            let is_same_run = self.hosts[to].incarnation == receiver_run;
            if message.arrival.is_some_and(|arrival| arrival <= time) && is_same_run {
                message.arrival = None;
                let wanted = self.receive(now, time, from, to, sender_run, &message.exchange.batch);
                message.wanted = (!message.fails).then_some(wanted);
            }
            if message.end > time {
                self.messages.push(message);
            } else if self.hosts[from].incarnation == sender_run {
                let name = self.hosts[to].name.clone();
                let Message { exchange, wanted, .. } = message;
                if self.hosts[from].crashes.finish(now, &name, &exchange, wanted) {
                    self.notify(time, from);
                }
            }
        }
    }

    fn receive(
        &mut self,
        now: Instant,
        time: u64,
        from: usize,
        to: usize,
        sender_run: u64,
        batch: &Batch,
    ) -> Vec<u64> {
        let sender = self.hosts[from].name.clone();
        let host = &mut self.hosts[to];
        let in_own_row = host.table.layout().in_own_row(&sender);
        host.crashes.observe(&sender, sender_run);
        host.crashes.add_known(&sender, batch.ids());
        let records = batch.records.iter();
        let learned: Vec<u64> = records
            .filter(|record| host.quarantine.add(now, (*record).clone()))
            .map(|record| record.id)
            .collect();
        let wanted = batch.wanted(&host.quarantine.records(now));
        if in_own_row {
            host.crashes.add_relayed(learned);
        } else if !learned.is_empty() {
            self.notify(time, to);
        }
        wanted
    }

    fn add_record(&mut self, time: u64, index: usize, id: u64) {
        let now = after(self.start, time);
        assert!(self.hosts[index].quarantine.add(now, record(id)));
        self.notify(time, index);
    }

    fn step(&mut self, time: u64) {
        let now = after(self.start, time);
        self.deliver(now, time);
        for index in 0..self.hosts.len() {
            self.exchange_reports(now, time, index);
        }
        for index in 0..self.hosts.len() {
            self.run_round(now, time, index);
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for time in (from..to).step_by(STEP_MS as usize) {
            self.step(time);
        }
    }

    /// Number of hosts without one of so many records, at the time.
    fn lacking(&self, time: u64, records: usize) -> usize {
        let now = after(self.start, time);
        let lacks = |host: &&Host| host.quarantine.records(now).len() < records;
        self.hosts.iter().filter(lacks).count()
    }

    /// Runs until all hosts have so many records; returns the time that it took.
    fn run_until_known(&mut self, from: u64, records: usize) -> u64 {
        for time in (from..from + 20_000).step_by(STEP_MS as usize) {
            self.step(time);
            if self.lacking(time, records) == 0 {
                return time - from;
            }
        }
        panic!("{} hosts lack records after 20 s", self.lacking(from + 20_000, records));
    }
}

#[rstest]
#[case::four(4, 1, 0.0)]
#[case::thirty(30, 4, 0.0)]
#[case::thirty_lossy(30, 4, 0.2)]
#[case::hundred_twenty(120, 6, 0.0)]
#[case::hundred_twenty_lossy(120, 6, 0.2)]
#[case::three_hundred_lossy(300, 6, 0.2)]
fn a_crash_seen_by_one_host_is_known_at_all_others_in_time(
    #[case] count: usize,
    #[case] zones: usize,
    #[case] loss: f64,
) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(count, zones, loss, seed);
        fleet.run(0, CRASH_AT_MS);
        assert_eq!(
            fleet.traffic,
            Traffic::default(),
            "records were exchanged although there are none"
        );
        let origin = fleet.random.random_range(0..count);
        fleet.add_record(CRASH_AT_MS, origin, 1);
        let took = fleet.run_until_known(CRASH_AT_MS, 1);
        println!("count={count} loss={loss} seed={seed} took_ms={took}");
        assert!(took <= BOUND_MS, "known everywhere after {took} ms");
    }
}

/// A restart of the host that saw the crash, or of one that has learned of it, lost the record.
#[rstest]
#[case::thirty(30, 4)]
#[case::hundred_twenty(120, 6)]
fn a_host_that_restarts_learns_the_crashes_again(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = Fleet::new(count, zones, 0.1, 4);
    fleet.run(0, CRASH_AT_MS);
    fleet.add_record(CRASH_AT_MS, 1, 1);
    // The host that saw the crash dies as soon as the others have the record.
    let mut time = CRASH_AT_MS + fleet.run_until_known(CRASH_AT_MS, 1) + STEP_MS;
    for index in [1, 0, count - 1] {
        fleet.restart(index);
        let took = fleet.run_until_known(time, 1);
        println!("count={count} restarted={index} took_ms={took}");
        assert!(took <= BOUND_MS, "host {index} knows the crash after {took} ms");
        time += took + STEP_MS;
    }
}

#[test]
fn both_sides_of_a_partition_exchange_their_crashes_when_it_ends() {
    let mut fleet = Fleet::new(120, 6, 0.0, 5);
    fleet.run(0, CRASH_AT_MS);
    fleet.cut = Some(Arc::from("z0"));
    fleet.add_record(CRASH_AT_MS, 0, 1);
    fleet.add_record(CRASH_AT_MS, 1, 2);
    fleet.run(CRASH_AT_MS, CRASH_AT_MS + 10_000);
    assert_eq!(fleet.lacking(CRASH_AT_MS + 10_000, 1), 0, "each side knows its own crash");
    assert_eq!(fleet.lacking(CRASH_AT_MS + 10_000, 2), 120, "no side knows both");
    fleet.cut = None;
    let took = fleet.run_until_known(CRASH_AT_MS + 10_000, 2);
    println!("took_ms={took}");
    // Hosts notice within another interval of partners that they reach each other again.
    assert!(took <= BOUND_MS + PARTNER_INTERVAL_MS, "known everywhere after {took} ms");
}

#[rstest]
#[case::thirty(30, 4)]
#[case::hundred_twenty(120, 6)]
#[case::three_hundred(300, 6)]
fn no_host_tells_a_peer_twice_of_a_record(#[case] count: usize, #[case] zones: usize) {
    let mut fleet = Fleet::new(count, zones, 0.0, 6);
    fleet.run(0, CRASH_AT_MS);
    let now = after(fleet.start, CRASH_AT_MS);
    let pairs: usize = fleet.hosts.iter().map(|host| host.table.reachable(now).len()).sum();
    fleet.add_record(CRASH_AT_MS, 1, u64::MAX / 3);
    fleet.run(CRASH_AT_MS, CRASH_AT_MS + 4_000);
    println!("count={count} pairs={} {:?}", pairs / 2, fleet.traffic);
    assert!(fleet.traffic.exchanges <= pairs, "{:?}", fleet.traffic);
    let settled = fleet.traffic;
    fleet.run(CRASH_AT_MS + 4_000, CRASH_AT_MS + 8_000);
    assert_eq!(fleet.traffic, settled, "exchanges go on although all hosts have the record");
}

#[test]
fn records_that_expire_at_different_times_cause_no_exchange() {
    let mut fleet = Fleet::new(30, 4, 0.0, 7);
    fleet.run(0, CRASH_AT_MS);
    let now = after(fleet.start, CRASH_AT_MS);
    // The record is about to expire, at the others a little later than at its host.
    assert!(fleet.hosts[0].quarantine.add(now, CrashRecord { age_ms: 892_000, ..record(1) }));
    fleet.notify(CRASH_AT_MS, 0);
    fleet.run(CRASH_AT_MS, CRASH_AT_MS + 5_000);
    assert_eq!(fleet.lacking(CRASH_AT_MS + 5_000, 1), 0);
    let settled = fleet.traffic;
    fleet.run(CRASH_AT_MS + 5_000, CRASH_AT_MS + 9_000);
    assert_eq!(fleet.lacking(CRASH_AT_MS + 9_000, 1), 30);
    assert_eq!(fleet.traffic, settled);
}
