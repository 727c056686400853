//! What hosts tell each other: tokens admitted, engines used.
//!
//! One exchange serves both ends; of two hosts of a row the one with the earlier name begins
//! it. A host counts as heard only while both ends hear each other.
//!
//! Hosts that hear each other use their parts of the limits together. That is safe only if
//! all of them see what all of them admit: of three hosts of which two are cut from each
//! other, both would else use the third one's part. So each host tells a digest of the
//! hosts that it hears, its view, and uses the parts of those whose views are its own.
//! Views differ for a moment whenever a host comes or goes, which is waited out.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::{HostReport, RowReport, Seen, Spent, StreamUse, UseSum};
use tokio::time::Instant;

use crate::announce::HostEntry;
use crate::far::{FAR_INTERVAL, Far};
use crate::layout::{self, Layout};
use crate::ledger::{self, Ledger, LedgerCopy, News};
use crate::pool::StreamsByEngine;
use crate::quota::Share;

/// Time between exchanges of two hosts, for each host of a row beyond two.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(20);
/// Shortest time between exchanges of two hosts; short against a stream of three seconds.
pub const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Exchanges after which a host counts as unheard: one may be missed.
const MISSES: u32 = 2;
/// Time beyond that for an exchange that takes long: a lost packet is sent again.
const MISS_SLACK: Duration = Duration::from_millis(300);
/// Shortest time for which differing views are waited out: a host that stops answering is
/// missed by the others within half a second of each other, and tells so in the next.
const MIN_AGREE_TIME: Duration = Duration::from_millis(1_500);
/// Exchanges in which views come to agree: one to miss a host and two to tell, in the row
/// and between rows.
const AGREE_EXCHANGES: u32 = 3;

/// The other hosts.
#[derive(Debug)]
pub struct Neighbours {
    own: Arc<str>,
    zone: Arc<str>,
    hosts: HashMap<Arc<str>, Neighbour>,
    layout: Arc<Layout>,
    /// Whether hosts have come or gone since they were divided.
    undivided: bool,
    far: Far,
    /// When all hosts that are heard last had the same view.
    agreed: Option<Instant>,
    /// What customers asked for and got at the row's other hosts since this host started.
    row_spent: HashMap<Arc<str>, Spent>,
    incarnation: u64,
    /// What this host tells of itself.
    ledger: Ledger,
    /// What it tells of its row.
    row_ledger: Ledger,
}

#[derive(Debug, Default)]
struct Neighbour {
    /// Where it takes connections and in which data centre, while its entry is in the store.
    entry: Option<HostEntry>,
    view: u64,
    uses: Vec<(Arc<str>, Vec<StreamUse>)>,
    copy: LedgerCopy,
    /// When its last report came.
    reported: Option<Instant>,
    /// Whether it had heard this host when it last reported.
    hears: bool,
}

/// What a host tells of itself.
#[derive(Clone, Debug, Default)]
pub struct Own {
    /// What customers asked for and got.
    pub spent: Vec<(Arc<str>, Spent)>,
    /// Streams at each engine.
    pub uses: Vec<(Arc<str>, Vec<StreamUse>)>,
}

impl Neighbours {
    /// A run of a host in `zone` that knows no other.
    pub fn new(own: Arc<str>, zone: Arc<str>, incarnation: u64) -> Self {
        let alone = BTreeMap::from([(own.clone(), zone.clone())]);
        let layout = Arc::new(Layout::new(&own, &alone));
        Self {
            own,
            zone,
            hosts: HashMap::new(),
            layout,
            undivided: false,
            far: Far::default(),
            agreed: None,
            row_spent: HashMap::new(),
            incarnation,
            ledger: Ledger::default(),
            row_ledger: Ledger::default(),
        }
    }

    /// Takes a host's entry.
    pub fn put(&mut self, host: Arc<str>, entry: HostEntry) {
        if host != self.own {
            self.hosts.entry(host).or_default().entry = Some(entry);
            self.undivided = true;
        }
    }

    /// Forgets a host whose entry has lapsed, unless it is heard.
    pub fn remove(&mut self, now: Instant, host: &str) {
        let interval = self.interval();
        if self.hosts.get(host).is_some_and(|known| !known.is_heard(now, interval)) {
            self.hosts.remove(host);
            self.undivided = true;
        }
    }

    /// Divides the hosts again if they have changed.
    fn divide(&mut self) {
        if !std::mem::take(&mut self.undivided) {
            return;
        }
        let others = self.hosts.iter().map(|(host, known)| {
            let zone = known.entry.as_ref().map_or(&self.zone, |entry| &entry.zone);
            (host.clone(), zone.clone())
        });
        let own = [(self.own.clone(), self.zone.clone())];
        let hosts: BTreeMap<Arc<str>, Arc<str>> = others.chain(own).collect();
        self.layout = Arc::new(Layout::new(&self.own, &hosts));
    }

    /// How the hosts are divided.
    pub fn layout(&self) -> &Arc<Layout> {
        &self.layout
    }

    /// Names of the hosts that are known.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hosts.keys()
    }

    /// Time between exchanges: grows with the row, so that their sum grows no faster.
    pub fn interval(&self) -> Duration {
        let others = self.layout.near_count().saturating_sub(1);
        (INTERVAL_PER_HOST * u32::try_from(others).unwrap_or(u32::MAX)).max(MIN_INTERVAL)
    }

    /// Hosts of the row with which this one begins exchanges now: all of them if `due`, else
    /// those that are not heard yet, since a host that hears nobody may use little of any
    /// limit.
    pub fn to_ask(&mut self, now: Instant, due: bool) -> Vec<(Arc<str>, SocketAddr)> {
        self.divide();
        let interval = self.interval();
        let asked = self.hosts.iter().filter(|(host, known)| {
            **host > self.own
                && self.layout.is_near(host)
                && (due || !known.is_heard(now, interval))
        });
        asked.filter_map(|(host, known)| Some((host.clone(), known.address()?))).collect()
    }

    /// Partners in other rows with which this host begins exchanges now.
    pub fn partners_to_ask(&mut self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let partners = self.far.to_ask(now, &self.layout);
        let known = partners.into_iter().filter_map(|host| {
            let address = self.hosts.get(&host)?.address()?;
            Some((host, address))
        });
        known.collect()
    }

    /// Hosts of the row that are heard.
    pub fn heard(&self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let interval = self.interval();
        let heard = self.hosts.iter().filter(|(_, known)| known.is_heard(now, interval));
        heard.filter_map(|(host, known)| Some((host.clone(), known.address()?))).collect()
    }

    /// All hosts that answer this one, those of its row first.
    pub fn reachable(&self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let partners = self.far.partners(now).filter_map(|host| {
            let address = self.hosts.get(host)?.address()?;
            Some((host.clone(), address))
        });
        self.heard(now).into_iter().chain(partners).collect()
    }

    /// Whether a host is heard; what it is told of itself.
    pub fn hears(&self, now: Instant, host: &str) -> bool {
        let interval = self.interval();
        self.hosts.get(host).is_some_and(|known| known.is_reporting(now, interval))
    }

    /// Takes a host's report; gives what happened there since the last one.
    pub fn take(&mut self, now: Instant, from: &Arc<str>, report: HostReport, hears: bool) -> News {
        self.undivided |= !self.hosts.contains_key(from);
        let interval = self.interval();
        let known = self.hosts.entry(from.clone()).or_default();
        // A host that was not heard used a part of its own in the meantime.
        let heard = known.is_reporting(now, interval);
        known.reported = Some(now);
        known.hears = hears;
        known.view = report.view;
        known.uses = report.uses;
        if report.seen.incarnation == self.incarnation {
            known.copy.acked = report.seen.sequence;
        }
        // What another run of the host admitted is told by that run.
        let before = known.copy.take(report.own, &report.spent).filter(|_| heard);
        let changes = before.map_or(News::new(), |before| ledger::changes(&before, &report.spent));
        self.divide();
        if self.layout.is_near(from) {
            for (customer, told) in &changes {
                let sum = self.row_spent.entry(customer.clone()).or_default();
                sum.asked = sum.asked.wrapping_add(told.asked);
                sum.admitted = sum.admitted.wrapping_add_signed(told.admitted);
            }
        }
        changes
    }

    /// Takes what a partner tells of its row; gives what happened there since then.
    pub fn take_row(&mut self, now: Instant, from: &Arc<str>, report: RowReport) -> News {
        self.far.take(now, &self.layout, from, report, self.incarnation)
    }

    /// What this host tells another of its row.
    pub fn report(&mut self, now: Instant, to: &str, own: Own) -> HostReport {
        let sequence = self.ledger.update(own.spent);
        let (acked, seen) = self
            .hosts
            .get(to)
            .map_or((0, Seen::default()), |known| (known.copy.acked, known.copy.seen));
        HostReport {
            own: Seen { incarnation: self.incarnation, sequence },
            seen,
            view: self.view(now),
            spent: self.ledger.since(acked),
            uses: own.uses,
        }
    }

    /// What this host tells a partner of its row.
    pub fn row_report(&mut self, now: Instant, to: &Arc<str>, own: Own) -> RowReport {
        let tells_uses = self.far.tells_uses(now, to);
        let near: Vec<(&Arc<str>, &Neighbour)> = self.near(now, self.interval()).collect();
        let members = near
            .iter()
            .fold(layout::digest(&self.own), |sum, (host, _)| sum ^ layout::digest(host));
        let mut views: HashMap<u64, u32> = HashMap::from([(self.view(now), 1)]);
        for (_, known) in &near {
            *views.entry(known.view).or_default() += 1;
        }
        let mut uses: HashMap<Arc<str>, UseSum> = HashMap::new();
        for (engine, streams) in near.iter().flat_map(|(_, known)| &known.uses).chain(&own.uses) {
            let sum = uses.entry(engine.clone()).or_default();
            streams.iter().for_each(|stream| sum.add(stream));
        }
        let hosts = near.len() as u32 + 1;
        let mut spent = self.row_spent.clone();
        for (customer, own) in own.spent {
            let sum = spent.entry(customer).or_default();
            sum.asked = sum.asked.wrapping_add(own.asked);
            sum.admitted = sum.admitted.wrapping_add(own.admitted);
        }
        let sequence = self.row_ledger.update(spent);
        let (acked, seen) = self.far.seen(&self.layout, to);
        RowReport {
            own: Seen { incarnation: self.incarnation, sequence },
            seen,
            members,
            hosts,
            views: views.into_iter().collect(),
            spent: self.row_ledger.since(acked),
            uses: tells_uses.then(|| uses.into_iter().collect()),
        }
    }

    /// Hosts of the row that are heard.
    fn near(
        &self,
        now: Instant,
        interval: Duration,
    ) -> impl Iterator<Item = (&Arc<str>, &Neighbour)> {
        let near = self.layout.near().iter().filter_map(|host| self.hosts.get_key_value(host));
        near.filter(move |(_, known)| known.is_heard(now, interval))
    }

    /// Digest of the hosts that this one hears, itself included.
    pub fn view(&self, now: Instant) -> u64 {
        let near = self.near(now, self.interval()).map(|(host, _)| layout::digest(host));
        let far = self.far.heard(now).map(|report| report.members);
        near.chain(far).fold(layout::digest(&self.own), |sum, part| sum ^ part)
    }

    /// The part of all limits that this host may use.
    pub fn share(&mut self, now: Instant) -> Share {
        self.divide();
        let view = self.view(now);
        let interval = self.interval();
        let near: Vec<u64> = self.near(now, interval).map(|(_, known)| known.view).collect();
        let mut heard = near.len() + 1;
        let mut agreeing = near.iter().filter(|other| **other == view).count() + 1;
        for report in self.far.heard(now) {
            heard += report.hosts as usize;
            let same = report.views.iter().filter(|(other, _)| *other == view);
            agreeing += same.map(|(_, count)| *count as usize).sum::<usize>();
        }
        if agreeing >= heard {
            self.agreed = Some(now);
        }
        let far = self.layout.others().next().is_some();
        let lag = if far { interval + FAR_INTERVAL } else { interval };
        let patience = (lag * AGREE_EXCHANGES).max(MIN_AGREE_TIME);
        // A host that starts gets as much time: it knows nobody yet.
        let agreed = *self.agreed.get_or_insert(now);
        let agreed = now.saturating_duration_since(agreed) <= patience;
        let heard = if agreed { heard } else { agreeing };
        Share { reachable: heard, hosts: self.hosts.len() + 1, lag }
    }

    /// How full the buckets of hosts of the row are, by customer.
    pub fn fullness(&self, now: Instant) -> HashMap<Arc<str>, Vec<f32>> {
        let mut told: HashMap<Arc<str>, Vec<f32>> = HashMap::new();
        for (customer, spent) in
            self.near(now, self.interval()).flat_map(|(_, known)| &known.copy.spent)
        {
            if let Some(fullness) = spent.fullness {
                told.entry(customer.clone()).or_default().push(fullness);
            }
        }
        told
    }

    /// What the hosts of the row that report use of each engine.
    pub fn near_uses(&self, now: Instant) -> StreamsByEngine {
        let interval = self.interval();
        let mut uses = StreamsByEngine::new();
        let near = self.layout.near().iter().filter_map(|host| self.hosts.get(host));
        let near = near.filter(|known| known.is_reporting(now, interval));
        for (engine, streams) in near.flat_map(|known| &known.uses) {
            uses.entry(engine.clone()).or_default().extend(streams);
        }
        uses
    }

    /// What the other rows use of each engine.
    pub fn far_uses(&self, now: Instant) -> StreamsByEngine {
        let mut uses = StreamsByEngine::new();
        for (engine, streams) in self.far.uses(now) {
            uses.entry(engine.clone()).or_default().extend(streams);
        }
        uses
    }
}

impl Neighbour {
    fn address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(|entry| entry.address)
    }

    fn is_reporting(&self, now: Instant, interval: Duration) -> bool {
        self.reported.is_some_and(|at| now.duration_since(at) <= interval * MISSES + MISS_SLACK)
    }

    fn is_heard(&self, now: Instant, interval: Duration) -> bool {
        self.hears && self.is_reporting(now, interval)
    }
}
