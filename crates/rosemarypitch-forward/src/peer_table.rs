//! Table of the other hosts: their last reports, which of them are reachable, and the share
//! of the limits that this host may use as a result.
//!
//! Hosts exchange reports of admitted tokens and engine use. One exchange carries the reports
//! of both ends; of two hosts of a row, the one with the earlier name initiates it. A host is
//! reachable only while each end receives the reports of the other.
//!
//! Each host has an equal part of each limit, and uses those of the hosts that it reaches. A
//! report says which hosts of the row and which other rows its sender reaches, from which
//! [`Outsiders`] derives how much of each part this host may use.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::{
    EngineUse, HostReport, Reach, ReportId, RowReport, StreamUse, TokenCounts,
};
use tokio::time::Instant;

use crate::announce::HostEntry;
use crate::counters::{self, CounterReplica, CounterTable, TokenDeltas};
use crate::layout::{self, Layout, RowId};
use crate::outsiders::{Outsiders, Parts};
use crate::pool::{PromptsByEngine, SentPrompts, StreamsByEngine};
use crate::quota::Share;
use crate::remote_rows::{ROW_INTERVAL, RemoteRows};

/// Amount by which each other host of the row lengthens the interval between exchanges of two
/// hosts.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(20);
/// Shortest interval between exchanges of two hosts; short against a stream of three seconds.
pub const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Exchange intervals without a report after which a host is unreachable; one exchange may
/// fail.
const LOST_AFTER: u32 = 2;
/// Time allowed beyond that for a slow exchange, such as after a retransmitted packet.
const LOSS_SLACK: Duration = Duration::from_millis(300);
/// Shortest time for which an outsider is tolerated: the other hosts detect an unresponsive
/// host within half a second of each other, and report that in their next exchange.
const MIN_AGREE_TIME: Duration = Duration::from_millis(1_500);
/// Exchanges until all hosts have detected the loss of a host: one to detect it, and two to
/// report it, within the row and between rows.
const AGREE_EXCHANGES: u32 = 3;

/// The other hosts and their last reports.
#[derive(Debug)]
pub struct PeerTable {
    own: Arc<str>,
    zone: Arc<str>,
    hosts: HashMap<Arc<str>, PeerState>,
    layout: Arc<Layout>,
    /// Whether hosts have been added or removed since the layout was computed.
    layout_stale: bool,
    remote: RemoteRows,
    outsiders: Outsiders,
    /// Fraction of each limit that this host uses.
    fraction: f64,
    /// Whether outsiders also use the parts that this host uses.
    has_outsiders: bool,
    /// Hosts of the row that were reached at the last report, and the sequence number of the
    /// report in which that last changed.
    last_reached: (Vec<u64>, u64),
    /// Tokens requested and admitted at the row's other hosts since this host started, by
    /// customer.
    row_spent: HashMap<Arc<str>, TokenCounts>,
    incarnation: u64,
    /// Customers' counters at this host.
    counters: CounterTable,
    /// Customers' counters, summed over the row.
    row_counters: CounterTable,
}

#[derive(Debug, Default)]
struct PeerState {
    /// Its address and data centre; none if this host has not seen its entry in the store.
    entry: Option<HostEntry>,
    reach: Reach,
    /// Digests of the hosts of its row that it reaches.
    reached: Vec<u64>,
    uses: Vec<(Arc<str>, Vec<StreamUse>)>,
    replica: CounterReplica,
    /// When its last report arrived.
    reported: Option<Instant>,
    /// Whether it was receiving this host's reports when it sent its last one.
    mutual: bool,
}

/// Token counters and engine use of this host, as it reports them.
#[derive(Clone, Debug, Default)]
pub struct LocalUsage {
    /// Tokens that customers requested and were admitted.
    pub spent: Vec<(Arc<str>, TokenCounts)>,
    /// Streams at each engine.
    pub uses: Vec<(Arc<str>, Vec<StreamUse>)>,
}

impl PeerTable {
    /// An empty table for the host `own` in the data centre `zone`; `incarnation` identifies
    /// this run of the host.
    pub fn new(own: Arc<str>, zone: Arc<str>, incarnation: u64) -> Self {
        let alone = BTreeMap::from([(own.clone(), zone.clone())]);
        let layout = Arc::new(Layout::new(&own, &alone));
        Self {
            own,
            zone,
            hosts: HashMap::new(),
            layout,
            layout_stale: false,
            remote: RemoteRows::default(),
            outsiders: Outsiders::default(),
            fraction: 1.0,
            has_outsiders: false,
            last_reached: (Vec::new(), 0),
            row_spent: HashMap::new(),
            incarnation,
            counters: CounterTable::default(),
            row_counters: CounterTable::default(),
        }
    }

    /// Adds a host, or updates its entry from the store.
    pub fn put(&mut self, host: Arc<str>, entry: HostEntry) {
        if host != self.own {
            self.hosts.entry(host).or_default().entry = Some(entry);
            self.layout_stale = true;
        }
    }

    /// Removes a host whose entry has expired, unless it is still reachable; true if it was
    /// removed.
    pub fn remove(&mut self, now: Instant, host: &str) -> bool {
        let interval = self.interval();
        let expired = self.hosts.get(host).is_some_and(|peer| !peer.is_reachable(now, interval));
        if expired {
            self.hosts.remove(host);
            self.layout_stale = true;
        }
        expired
    }

    /// Recomputes the layout if hosts have been added or removed.
    fn update_layout(&mut self) {
        if !std::mem::take(&mut self.layout_stale) {
            return;
        }
        let others = self.hosts.iter().map(|(host, peer)| {
            let zone = peer.entry.as_ref().map_or(&self.zone, |entry| &entry.zone);
            (host.clone(), zone.clone())
        });
        let own = [(self.own.clone(), self.zone.clone())];
        let hosts: BTreeMap<Arc<str>, Arc<str>> = others.chain(own).collect();
        self.layout = Arc::new(Layout::new(&self.own, &hosts));
    }

    /// The division of the hosts into rows.
    pub fn layout(&self) -> &Arc<Layout> {
        &self.layout
    }

    /// Address of a host, if its entry is known.
    pub fn address(&self, host: &str) -> Option<SocketAddr> {
        self.hosts.get(host)?.address()
    }

    /// The run of a host that sent its last report; 0 before the first.
    pub fn incarnation(&self, host: &str) -> u64 {
        self.hosts.get(host).map_or(0, |peer| peer.replica.seen.incarnation)
    }

    /// Names of the other hosts.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hosts.keys()
    }

    /// Time between exchanges with another host. It grows with the row, so that the total
    /// rate of exchanges grows no faster than the row.
    pub fn interval(&self) -> Duration {
        let others = self.layout.row_size().saturating_sub(1);
        (INTERVAL_PER_HOST * u32::try_from(others).unwrap_or(u32::MAX)).max(MIN_INTERVAL)
    }

    /// Hosts of the row to start an exchange with now, of those for which this host is the
    /// initiator: all if `due`, otherwise the unreachable ones. These are tried more often,
    /// because a host that reaches no other may use only a small part of each limit.
    pub fn exchange_targets(&mut self, now: Instant, due: bool) -> Vec<(Arc<str>, SocketAddr)> {
        self.update_layout();
        let interval = self.interval();
        let targets = self.hosts.iter().filter(|(host, peer)| {
            **host > self.own
                && self.layout.in_own_row(host)
                && (due || !peer.is_reachable(now, interval))
        });
        targets.filter_map(|(host, peer)| Some((host.clone(), peer.address()?))).collect()
    }

    /// Partners in other rows to start an exchange with now.
    pub fn partner_targets(&mut self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let partners = self.remote.partner_targets(now, &self.layout);
        let targets = partners.into_iter().filter_map(|host| {
            let address = self.hosts.get(&host)?.address()?;
            Some((host, address))
        });
        targets.collect()
    }

    /// Reachable hosts of the row.
    pub fn reachable_in_row(&self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let interval = self.interval();
        let reachable = self.hosts.iter().filter(|(_, peer)| peer.is_reachable(now, interval));
        reachable.filter_map(|(host, peer)| Some((host.clone(), peer.address()?))).collect()
    }

    /// Reachable partners in other rows.
    pub fn partners(&self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let partners = self.remote.partners(now).filter_map(|host| {
            let address = self.hosts.get(host)?.address()?;
            Some((host.clone(), address))
        });
        partners.collect()
    }

    /// All reachable hosts, those of the row first, followed by partners in other rows.
    pub fn reachable(&self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        self.reachable_in_row(now).into_iter().chain(self.partners(now)).collect()
    }

    /// Whether a report of the host arrived recently. This is sent to the host, which needs it
    /// to decide whether the two are reachable.
    pub fn has_recent_report(&self, now: Instant, host: &str) -> bool {
        let interval = self.interval();
        self.hosts.get(host).is_some_and(|peer| peer.is_reporting(now, interval))
    }

    /// Applies a host's report; returns the changes of its counters since its last one.
    /// `mutual` is whether that host receives the reports of this one.
    pub fn apply_report(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        report: HostReport,
        mutual: bool,
    ) -> TokenDeltas {
        self.layout_stale |= !self.hosts.contains_key(from);
        let interval = self.interval();
        let peer = self.hosts.entry(from.clone()).or_default();
        // A host without recent reports was unreachable, and what it admitted in that time came
        // from its own part of the limits.
        let was_reporting = peer.is_reporting(now, interval);
        peer.reported = Some(now);
        peer.mutual = mutual;
        let sender_fraction = f64::from(report.reach.fraction);
        if peer.replica.is_current(report.id) {
            peer.uses = report.uses;
            peer.reach = report.reach;
            if let Some(reached) = report.reached {
                peer.reached = reached;
            }
        }
        if report.acked.incarnation == self.incarnation {
            peer.replica.acked = report.acked.sequence;
        }
        // Counters of an earlier run of the host are no base for a delta.
        let before = peer.replica.apply(report.id, &report.spent).filter(|_| was_reporting);
        let deltas =
            before.map_or(TokenDeltas::new(), |before| counters::deltas(&before, &report.spent));
        self.update_layout();
        if self.layout.in_own_row(from) {
            for (customer, delta) in &deltas {
                let sum = self.row_spent.entry(customer.clone()).or_default();
                sum.requested = sum.requested.wrapping_add(delta.asked);
                sum.admitted = sum.admitted.wrapping_add_signed(delta.admitted);
            }
        }
        self.scaled(deltas, sender_fraction)
    }

    /// Applies a partner's report of its row; returns the changes of the row's counters since
    /// the last one.
    pub fn apply_row_report(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        report: RowReport,
    ) -> TokenDeltas {
        let sender_fraction = f64::from(report.reach.fraction);
        let deltas = self.remote.apply_report(now, &self.layout, from, report, self.incarnation);
        self.scaled(deltas, sender_fraction)
    }

    /// Fraction of another host's admissions that counts against this host's buckets.
    ///
    /// If that host uses a greater fraction of the limits, only so much of its admissions comes
    /// from the parts that this host uses. With outsiders all of them count, since outsiders
    /// may use what that host leaves of these parts.
    pub fn debit_factor(&self, sender_fraction: f64) -> f64 {
        if self.has_outsiders { 1.0 } else { (self.fraction / sender_fraction).min(1.0) }
    }

    fn scaled(&self, mut deltas: TokenDeltas, sender_fraction: f64) -> TokenDeltas {
        let factor = self.debit_factor(sender_fraction);
        if factor < 1.0 {
            for (_, delta) in &mut deltas {
                delta.asked = (delta.asked as f64 * factor).round() as u64;
                delta.admitted = (delta.admitted as f64 * factor).round() as i64;
            }
        }
        deltas
    }

    /// The report of this host to another of its row.
    pub fn report(&mut self, now: Instant, to: &str, local: LocalUsage) -> HostReport {
        let sequence = self.counters.update(local.spent);
        let reached = self.reached(now);
        if self.last_reached.0 != reached {
            self.last_reached = (reached, sequence);
        }
        let (acked, seen) = self
            .hosts
            .get(to)
            .map_or((0, ReportId::default()), |peer| (peer.replica.acked, peer.replica.seen));
        HostReport {
            id: ReportId { incarnation: self.incarnation, sequence },
            acked: seen,
            reach: self.reach(now),
            reached: (self.last_reached.1 > acked).then(|| self.last_reached.0.clone()),
            spent: self.counters.since(acked),
            uses: local.uses,
        }
    }

    /// The report of this host's row to a partner in another row.
    pub fn row_report(&mut self, now: Instant, to: &Arc<str>, local: LocalUsage) -> RowReport {
        let usage_due = self.remote.is_usage_due(now, to);
        let peers: Vec<(&Arc<str>, &PeerState)> =
            self.reachable_peers(now, self.interval()).collect();
        let mut reach = self.reach(now);
        for (_, peer) in &peers {
            reach.lost_rows.retain(|row| peer.reach.lost_rows.contains(row));
        }
        let mut uses: HashMap<Arc<str>, EngineUse> = HashMap::new();
        for (engine, streams) in peers.iter().flat_map(|(_, peer)| &peer.uses).chain(&local.uses) {
            let sum = uses.entry(engine.clone()).or_default();
            streams.iter().for_each(|stream| sum.add(stream));
        }
        let hosts = peers.len() as u32 + 1;
        let outsiders = self.lasting_outsiders(now, &peers);
        let mut spent = self.row_spent.clone();
        for (customer, tokens) in local.spent {
            let sum = spent.entry(customer).or_default();
            sum.requested = sum.requested.wrapping_add(tokens.requested);
            sum.admitted = sum.admitted.wrapping_add(tokens.admitted);
        }
        let sequence = self.row_counters.update(spent);
        let (acked, seen) = self.remote.seen(&self.layout, to);
        RowReport {
            id: ReportId { incarnation: self.incarnation, sequence },
            acked: seen,
            hosts,
            outsiders,
            reach,
            spent: self.row_counters.since(acked),
            uses: usage_due.then(|| uses.into_iter().collect()),
        }
    }

    /// Number of hosts that `peers` reach and this host has not reached for some time.
    fn lasting_outsiders(&self, now: Instant, peers: &[(&Arc<str>, &PeerState)]) -> u32 {
        let reached = self.reached(now);
        let foreign: BTreeSet<u64> =
            peers.iter().flat_map(|(_, peer)| &peer.reached).copied().collect();
        let foreign = foreign.into_iter().filter(|id| reached.binary_search(id).is_err());
        let settle_time = self.settle_time();
        foreign.filter(|id| self.outsiders.lasts(now, *id, settle_time)).count() as u32
    }

    /// Reachable hosts of the row.
    fn reachable_peers(
        &self,
        now: Instant,
        interval: Duration,
    ) -> impl Iterator<Item = (&Arc<str>, &PeerState)> {
        let peers =
            self.layout.row_hosts().iter().filter_map(|host| self.hosts.get_key_value(host));
        peers.filter(move |(_, peer)| peer.is_reachable(now, interval))
    }

    /// Other hosts of the row that this one reaches.
    pub fn row_reach(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        self.reachable_peers(now, self.interval()).map(|(host, _)| host)
    }

    /// Digests of the hosts of the row that this one reaches, itself included, sorted.
    fn reached(&self, now: Instant) -> Vec<u64> {
        let mut reached: Vec<u64> = self.row_reach(now).map(|host| layout::digest(host)).collect();
        reached.push(layout::digest(&self.own));
        reached.sort_unstable();
        reached
    }

    /// Rows that this host does not reach, by digest, with their numbers of hosts.
    fn lost_rows(&self, now: Instant) -> Vec<(u64, usize)> {
        let reached: Vec<&RowId> = self.remote.reports(now).map(|(row, _)| row).collect();
        let lost = self.layout.other_rows().filter(|row| !reached.contains(row));
        lost.map(|row| (row.digest(), self.layout.size_of(row))).collect()
    }

    fn reach(&self, now: Instant) -> Reach {
        Reach {
            division: self.layout.division(),
            lost_rows: self.lost_rows(now).into_iter().map(|(row, _)| row).collect(),
            fraction: self.fraction as f32,
        }
    }

    /// Share of each limit that this host may use.
    pub fn share(&mut self, now: Instant) -> Share {
        self.update_layout();
        let (settle_time, lag) = (self.settle_time(), self.lag());
        let parts = self.parts(now);
        let reached: usize = parts.iter().map(|parts| parts.hosts).sum();
        let parts = self.outsiders.usable(now, &parts, settle_time);
        let share = Share { parts, hosts: self.hosts.len() + 1, lag };
        self.fraction = share.fraction();
        self.has_outsiders = parts < reached as f64;
        share
    }

    /// Delay until this host receives what other hosts have admitted.
    fn lag(&self) -> Duration {
        let has_remote = self.layout.other_rows().next().is_some();
        if has_remote { self.interval() + ROW_INTERVAL } else { self.interval() }
    }

    fn settle_time(&self) -> Duration {
        (self.lag() * AGREE_EXCHANGES).max(MIN_AGREE_TIME)
    }

    /// Parts of all hosts that this one reaches, and the outsiders that these reach.
    fn parts(&self, now: Instant) -> Vec<Parts> {
        let (reached, lost_rows) = (self.reached(now), self.lost_rows(now));
        let lost_to_me = |lost: &[u64]| -> Vec<(u64, usize)> {
            lost_rows.iter().filter(|(row, _)| !lost.contains(row)).copied().collect()
        };
        let remote: Vec<&RowReport> = self.remote.reports(now).map(|(_, report)| report).collect();
        let counted = remote.iter().map(|report| report.outsiders as usize).sum();
        let mut all = vec![Parts { hosts: 1, ..Parts::default() }];
        let mut row_outsiders = BTreeSet::new();
        for (host, peer) in self.reachable_peers(now, self.interval()) {
            let mut outsiders = lost_to_me(&peer.reach.lost_rows);
            let foreign = peer.reached.iter().filter(|id| reached.binary_search(id).is_err());
            row_outsiders.extend(foreign.clone().copied());
            outsiders.extend(foreign.map(|id| (*id, 1)));
            outsiders.extend(self.other_division(&peer.reach, layout::digest(host)));
            all.push(Parts { hosts: 1, outsiders, counted });
        }
        let own_row = self.layout.own_row().digest();
        for (row, report) in self.remote.reports(now) {
            // That row would not receive what this one admits.
            if report.reach.lost_rows.contains(&own_row) {
                continue;
            }
            let mut outsiders = lost_to_me(&report.reach.lost_rows);
            outsiders.extend(row_outsiders.iter().map(|id| (*id, 1)));
            outsiders.extend(self.other_division(&report.reach, row.digest()));
            all.push(Parts { hosts: report.hosts as usize, outsiders, counted });
        }
        all
    }

    /// With another division into rows, the same host may be counted in two of them. Such
    /// hosts are as good as unreachable if that lasts.
    fn other_division(&self, reach: &Reach, id: u64) -> Option<(u64, usize)> {
        (reach.division != self.layout.division()).then_some((!id, self.hosts.len()))
    }

    /// Fullness of the buckets at the reachable hosts of the row, by customer.
    pub fn fullness(&self, now: Instant) -> HashMap<Arc<str>, Vec<f32>> {
        let mut by_customer: HashMap<Arc<str>, Vec<f32>> = HashMap::new();
        for (customer, spent) in
            self.reachable_peers(now, self.interval()).flat_map(|(_, peer)| &peer.replica.spent)
        {
            if let Some(fullness) = spent.fullness {
                by_customer.entry(customer.clone()).or_default().push(fullness);
            }
        }
        by_customer
    }

    /// Streams at each engine that other hosts of the row have reported recently.
    pub fn row_usage(&self, now: Instant) -> StreamsByEngine {
        let interval = self.interval();
        let mut uses = StreamsByEngine::new();
        let peers = self.layout.row_hosts().iter().filter_map(|host| self.hosts.get(host));
        let peers = peers.filter(|peer| peer.is_reporting(now, interval));
        for (engine, streams) in peers.flat_map(|peer| &peer.uses) {
            uses.entry(engine.clone()).or_default().extend(streams);
        }
        uses
    }

    /// What other hosts of the row have at each engine, as recently reported; at an engine that only
    /// prefills, these are prompts.
    pub fn row_prompts(&self, now: Instant) -> PromptsByEngine {
        let interval = self.interval();
        let mut prompts = PromptsByEngine::new();
        let peers = self.layout.row_hosts().iter().filter_map(|host| self.hosts.get(host));
        for peer in peers.filter(|peer| peer.is_reporting(now, interval)) {
            let Some(reported) = peer.reported else { continue };
            for (engine, streams) in &peer.uses {
                let tokens = streams.iter().map(|stream| stream.held).sum();
                let prompt = SentPrompts { tokens, reported };
                prompts.entry(engine.clone()).or_default().push(prompt);
            }
        }
        prompts
    }

    /// Streams at each engine from other rows.
    pub fn remote_usage(&self, now: Instant) -> StreamsByEngine {
        let mut uses = StreamsByEngine::new();
        for (engine, streams) in self.remote.usage(now) {
            uses.entry(engine.clone()).or_default().extend(streams);
        }
        uses
    }
}

impl PeerState {
    fn address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(|entry| entry.address)
    }

    fn is_reporting(&self, now: Instant, interval: Duration) -> bool {
        self.reported.is_some_and(|at| now.duration_since(at) <= interval * LOST_AFTER + LOSS_SLACK)
    }

    fn is_reachable(&self, now: Instant, interval: Duration) -> bool {
        self.mutual && self.is_reporting(now, interval)
    }
}
