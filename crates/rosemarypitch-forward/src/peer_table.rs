//! Table of the other hosts: their last reports, which of them are reachable, and the share
//! of the limits that this host may use as a result.
//!
//! Hosts exchange reports of admitted tokens and engine use. One exchange carries the reports
//! of both ends; of two hosts of a row, the one with the earlier name initiates it. A host is
//! reachable only while each end receives the reports of the other.
//!
//! Each host has an equal part of each limit, and reachable hosts pool their parts. That is
//! safe only if all of them receive what all of them admit. If two of three hosts are partitioned from each other, both would
//! otherwise use the part of the third. Each host therefore reports its view, a digest of
//! the hosts that it can reach, and uses only the parts of hosts with the same view. Views
//! differ briefly whenever a host joins or leaves, so a difference counts only once it lasts.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::{EngineUse, HostReport, ReportId, RowReport, StreamUse, TokenCounts};
use tokio::time::Instant;

use crate::announce::HostEntry;
use crate::counters::{self, CounterReplica, CounterTable, TokenDeltas};
use crate::layout::{self, Layout};
use crate::pool::StreamsByEngine;
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
/// Shortest time for which differing views are tolerated: the other hosts detect an
/// unresponsive host within half a second of each other, and report the new view in their
/// next exchange.
const MIN_AGREE_TIME: Duration = Duration::from_millis(1_500);
/// Exchanges until views agree again: one to detect the loss of a host, and two to spread
/// the new view, within the row and between rows.
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
    /// When all reachable hosts last had the same view.
    last_agreed: Option<Instant>,
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
    view: u64,
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
            last_agreed: None,
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

    /// Removes a host whose entry has expired, unless it is still reachable.
    pub fn remove(&mut self, now: Instant, host: &str) {
        let interval = self.interval();
        if self.hosts.get(host).is_some_and(|peer| !peer.is_reachable(now, interval)) {
            self.hosts.remove(host);
            self.layout_stale = true;
        }
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

    /// All reachable hosts, those of the row first, followed by partners in other rows.
    pub fn reachable(&self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let partners = self.remote.partners(now).filter_map(|host| {
            let address = self.hosts.get(host)?.address()?;
            Some((host.clone(), address))
        });
        self.reachable_in_row(now).into_iter().chain(partners).collect()
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
        peer.view = report.view;
        peer.uses = report.uses;
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
        deltas
    }

    /// Applies a partner's report of its row; returns the changes of the row's counters since
    /// the last one.
    pub fn apply_row_report(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        report: RowReport,
    ) -> TokenDeltas {
        self.remote.apply_report(now, &self.layout, from, report, self.incarnation)
    }

    /// The report of this host to another of its row.
    pub fn report(&mut self, now: Instant, to: &str, local: LocalUsage) -> HostReport {
        let sequence = self.counters.update(local.spent);
        let (acked, seen) = self
            .hosts
            .get(to)
            .map_or((0, ReportId::default()), |peer| (peer.replica.acked, peer.replica.seen));
        HostReport {
            id: ReportId { incarnation: self.incarnation, sequence },
            acked: seen,
            view: self.view(now),
            spent: self.counters.since(acked),
            uses: local.uses,
        }
    }

    /// The report of this host's row to a partner in another row.
    pub fn row_report(&mut self, now: Instant, to: &Arc<str>, local: LocalUsage) -> RowReport {
        let usage_due = self.remote.is_usage_due(now, to);
        let peers: Vec<(&Arc<str>, &PeerState)> =
            self.reachable_peers(now, self.interval()).collect();
        let members = peers
            .iter()
            .fold(layout::digest(&self.own), |sum, (host, _)| sum ^ layout::digest(host));
        let mut views: HashMap<u64, u32> = HashMap::from([(self.view(now), 1)]);
        for (_, peer) in &peers {
            *views.entry(peer.view).or_default() += 1;
        }
        let mut uses: HashMap<Arc<str>, EngineUse> = HashMap::new();
        for (engine, streams) in peers.iter().flat_map(|(_, peer)| &peer.uses).chain(&local.uses) {
            let sum = uses.entry(engine.clone()).or_default();
            streams.iter().for_each(|stream| sum.add(stream));
        }
        let hosts = peers.len() as u32 + 1;
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
            members,
            hosts,
            views: views.into_iter().collect(),
            spent: self.row_counters.since(acked),
            uses: usage_due.then(|| uses.into_iter().collect()),
        }
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

    /// Digest of the hosts that this one can reach, itself included.
    pub fn view(&self, now: Instant) -> u64 {
        let peers =
            self.reachable_peers(now, self.interval()).map(|(host, _)| layout::digest(host));
        let remote = self.remote.reports(now).map(|report| report.members);
        peers.chain(remote).fold(layout::digest(&self.own), |sum, part| sum ^ part)
    }

    /// Share of each limit that this host may use.
    pub fn share(&mut self, now: Instant) -> Share {
        self.update_layout();
        let view = self.view(now);
        let interval = self.interval();
        let views: Vec<u64> =
            self.reachable_peers(now, interval).map(|(_, peer)| peer.view).collect();
        let mut reachable = views.len() + 1;
        let mut agreeing = views.iter().filter(|other| **other == view).count() + 1;
        for report in self.remote.reports(now) {
            reachable += report.hosts as usize;
            let same = report.views.iter().filter(|(other, _)| *other == view);
            agreeing += same.map(|(_, count)| *count as usize).sum::<usize>();
        }
        if agreeing >= reachable {
            self.last_agreed = Some(now);
        }
        let has_remote = self.layout.other_rows().next().is_some();
        let lag = if has_remote { interval + ROW_INTERVAL } else { interval };
        let settle_time = (lag * AGREE_EXCHANGES).max(MIN_AGREE_TIME);
        // A host that has just started gets the same time, since it has no reports yet.
        let last_agreed = *self.last_agreed.get_or_insert(now);
        let agreed = now.saturating_duration_since(last_agreed) <= settle_time;
        let reachable = if agreed { reachable } else { agreeing };
        Share { reachable, hosts: self.hosts.len() + 1, lag }
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
