//! Exchanges of reports, store state and crash records with the other hosts.

mod crashes;
mod departures;
mod streams;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    Handler, HandlerFuture, HostReport, PeerClient, PeerReply, PeerRequest, PeerServer,
    PeerTransport, RowReport, Traffic,
};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::announce::HostEntry;
use crate::begun::BegunStreams;
use crate::counters::TokenDeltas;
use crate::crash_exchange::CrashExchange;
use crate::deployment::StorePosition;
use crate::peer_table::{self, LocalUsage, PeerTable};
use crate::quota::Share;
use crate::registry;
use crate::remote_rows::ROW_INTERVAL;
use crate::router::Router;
use crate::snapshot::{Snapshot, SnapshotVersion};
use crate::watchers::{self, RelayedUpdates, Source};

/// Delay in which changes of engine use are batched before they are pushed. Two hosts that
/// place requests within it may both take an engine's last slot; the engine then refuses one
/// of them.
const PUSH_DELAY: Duration = Duration::from_millis(15);
/// Delay in which received reports are batched before they are applied; short against
/// [`PUSH_DELAY`].
const APPLY_DELAY: Duration = Duration::from_millis(3);
/// Time between attempts to get the store's state from a peer while the store is
/// unreachable; a small part of the two seconds in which a configuration has to be in force.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for an exchange with another host.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Exchanges with the other hosts, and the state received in them.
pub struct Gossip {
    router: Arc<Router>,
    id: HostId,
    table: Mutex<PeerTable>,
    /// Hosts with which an exchange is in progress.
    in_progress: Mutex<HashSet<Arc<str>>>,
    /// Which crash records the other hosts have.
    crashes: Mutex<CrashExchange>,
    /// Which streams of this host the other hosts know.
    begun: Mutex<BegunStreams>,
    /// Notified when a report arrives.
    reported: Notify,
    /// Client for calls to the other hosts, once this host may call them.
    client: OnceLock<Arc<PeerClient>>,
    /// When a watcher last failed to answer.
    relay_failed: Mutex<Option<Instant>>,
}

impl Gossip {
    /// Starts with no other host.
    pub fn new(router: Arc<Router>) -> Arc<Self> {
        let host = router.settings.host.clone();
        let id = HostId { host: host.clone(), incarnation: incarnation() };
        let table = Mutex::new(PeerTable::new(host, router.settings.zone.clone(), id.incarnation));
        Arc::new(Self {
            router,
            id,
            table,
            in_progress: Mutex::default(),
            crashes: Mutex::default(),
            begun: Mutex::default(),
            reported: Notify::new(),
            client: OnceLock::new(),
            relay_failed: Mutex::default(),
        })
    }

    /// Adds a host, or updates its entry from the store. An entry that names no host changes
    /// nothing.
    pub fn put_host(&self, host: Arc<str>, entry: &[u8]) {
        match serde_json::from_slice::<HostEntry>(entry).map_err(|error| error.to_string()) {
            Ok(entry) if !host.is_empty() && registry::is_host_address(entry.address) => {
                self.lock().put(host, entry);
            }
            Ok(HostEntry { address, .. }) => {
                log::warn!("peers: entry of host={host:?} at {address} names no host");
            }
            Err(error) => {
                log::warn!("peers: entry of host={host:?} cannot be parsed: {error:.200}");
            }
        }
        self.update_share(Instant::now());
    }

    /// Removes a host whose entry has expired, unless it is still reachable.
    pub fn remove_host(&self, host: &str) {
        let now = Instant::now();
        if self.lock().remove(now, host) {
            lock(&self.crashes).remove(host);
        }
        self.update_share(now);
    }

    /// Removes the hosts that are not in `present`, the complete list, unless they are still
    /// reachable.
    pub fn retain_hosts(&self, present: &[Arc<str>]) {
        let names: Vec<Arc<str>> = self.lock().names().cloned().collect();
        for name in names.iter().filter(|name| !present.contains(name)) {
            self.remove_host(name);
        }
    }

    /// Serves the other hosts and exchanges reports with them until the process ends; `secret`
    /// authenticates the hosts to each other.
    pub async fn run(self: Arc<Self>, listener: TcpListener, secret: Arc<str>) {
        let traffic = Arc::new(Traffic::default());
        let server = Arc::new(PeerServer {
            id: self.id.clone(),
            secret: secret.clone(),
            traffic: traffic.clone(),
            handler: self.clone(),
        });
        tokio::spawn(async move {
            if let Err(error) = server.run(listener).await {
                log::error!("peers: stopped accepting connections: {error}");
            }
        });
        let peers = Arc::new(PeerClient::new(self.id.clone(), secret, traffic));
        if self.client.set(peers.clone()).is_err() {
            log::error!("peers: started twice");
        }
        tokio::spawn(self.clone().push(peers.clone()));
        tokio::spawn(self.clone().sync_with_peers(peers.clone()));
        tokio::spawn(self.clone().exchange_with_partners(peers.clone()));
        tokio::spawn(self.clone().share_crashes(peers.clone()));
        tokio::spawn(self.clone().share_departures(peers.clone()));
        tokio::spawn(self.clone().tell_streams(peers.clone()));
        tokio::spawn(self.clone().answer_queries(peers.clone()));
        tokio::spawn(self.clone().run_pool_updates());
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            let targets = {
                let mut table = self.lock();
                let all = due <= now;
                if all {
                    due = now + table.interval();
                }
                table.exchange_targets(now, all)
            };
            self.start_exchanges(&peers, targets, ExchangeKind::Hosts);
            tokio::time::sleep(peer_table::MIN_INTERVAL).await;
            self.refresh(Instant::now());
        }
    }

    /// Starts exchanges with the hosts that have none in progress.
    fn start_exchanges(
        self: &Arc<Self>,
        peers: &Arc<PeerClient>,
        hosts: Vec<(Arc<str>, SocketAddr)>,
        kind: ExchangeKind,
    ) {
        for (host, address) in hosts {
            if lock(&self.in_progress).insert(host.clone()) {
                let (gossip, peers) = (self.clone(), peers.clone());
                tokio::spawn(async move {
                    gossip.exchange(&peers, &host, address, kind).await;
                    lock(&gossip.in_progress).remove(&host);
                });
            }
        }
    }

    /// Exchanges reports with partners in other rows.
    async fn exchange_with_partners(self: Arc<Self>, peers: Arc<PeerClient>) {
        loop {
            let partners = self.lock().partner_targets(Instant::now());
            self.start_exchanges(&peers, partners, ExchangeKind::Rows);
            let uses = self.lock().remote_usage(Instant::now());
            self.router.for_each_pool(|pool| pool.set_remote_streams(&uses));
            tokio::time::sleep(ROW_INTERVAL.mul_f64(rand::random_range(0.9..1.0))).await;
        }
    }

    /// Pushes a report to the row as soon as this host's engine use changes, or it admits much
    /// of a limit.
    async fn push(self: Arc<Self>, peers: Arc<PeerClient>) {
        loop {
            self.router.usage_changed().await;
            tokio::time::sleep(PUSH_DELAY).await;
            let reachable = self.lock().reachable_in_row(Instant::now());
            for (host, address) in reachable {
                let (gossip, peers) = (self.clone(), peers.clone());
                tokio::spawn(async move {
                    gossip.exchange(&peers, &host, address, ExchangeKind::Hosts).await;
                });
            }
        }
    }

    async fn exchange(
        &self,
        peers: &PeerClient,
        host: &Arc<str>,
        address: SocketAddr,
        kind: ExchangeKind,
    ) {
        let now = Instant::now();
        let message = match kind {
            ExchangeKind::Hosts => {
                let hears = self.lock().has_recent_report(now, host);
                PeerRequest::Report { report: self.report(now, host), reachable: hears }
            }
            ExchangeKind::Rows => PeerRequest::Row(self.row_report(now, host)),
        };
        match peers.call(address, &message, EXCHANGE_TIMEOUT).await {
            Ok(PeerReply::Report(report)) => self.receive_report(host, report, true),
            Ok(PeerReply::Row(report)) => self.receive_row_report(host, report),
            Ok(_) => log::warn!("peers: unexpected reply from host={host}"),
            Err(error) => log::debug!("peers: {error}"),
        }
    }

    /// Tokens and engine use of this host, to be reported.
    fn local_usage(&self) -> LocalUsage {
        let mut local = LocalUsage::default();
        self.router.with_quota(|quota| {
            local.spent = quota.spent().map(|(name, spent)| (name.clone(), spent)).collect();
        });
        self.router.for_each_pool(|pool| {
            local.uses.extend(pool.own_streams().map(|(id, streams)| (id.clone(), streams)));
        });
        local
    }

    fn report(&self, now: Instant, to: &str) -> HostReport {
        let local = self.local_usage();
        self.lock().report(now, to, local)
    }

    fn row_report(&self, now: Instant, to: &Arc<str>) -> RowReport {
        let local = self.local_usage();
        self.lock().row_report(now, to, local)
    }

    fn encoded_state(&self, have: SnapshotVersion) -> Option<Vec<u8>> {
        let snapshot = self.router.state_since(Instant::now(), have)?;
        snapshot
            .encode()
            .inspect_err(|error| log::error!("peers: store state cannot be encoded: {error}"))
            .ok()
    }

    /// Gets the store's state from peers while the store does not answer this host, or may lack
    /// the latest configuration.
    async fn sync_with_peers(self: Arc<Self>, peers: Arc<PeerClient>) {
        for round in 0.. {
            tokio::time::sleep(SYNC_INTERVAL).await;
            let now = Instant::now();
            if !self.router.is_store_lost() && !self.router.may_lack_config(now) {
                continue;
            }
            let mut reachable = self.lock().reachable(now);
            // Not all peers need have the same state.
            let first = round % reachable.len().max(1);
            reachable.rotate_left(first);
            for (host, address) in reachable {
                if self.sync_from(&peers, &host, address).await {
                    break;
                }
            }
        }
    }

    /// Gets the store's state from one host; true if the store answers that host.
    async fn sync_from(&self, peers: &PeerClient, host: &Arc<str>, address: SocketAddr) -> bool {
        let asked = Instant::now();
        let SnapshotVersion { version, position } = self.router.store_position();
        let StorePosition { era, revision } = position;
        let message = PeerRequest::Snapshot { version, revision, era };
        let snapshot = match peers.call(address, &message, EXCHANGE_TIMEOUT).await {
            Ok(PeerReply::Snapshot(Some(bytes))) => Snapshot::decode(&bytes),
            Ok(_) => return false,
            Err(error) => {
                log::debug!("peers: {error}");
                return false;
            }
        };
        match snapshot {
            Ok(snapshot) => {
                let direct = snapshot.direct;
                self.router.apply_relayed(asked, snapshot);
                direct
            }
            Err(error) => {
                log::warn!("peers: store state from host={host} cannot be decoded: {error}");
                false
            }
        }
    }

    /// Where this host gets the updates of the store from.
    pub fn update_source(&self, now: Instant) -> Source {
        let failed = *lock(&self.relay_failed);
        let backoff =
            failed.is_some_and(|at| now.saturating_duration_since(at) < watchers::RELAY_BACKOFF);
        let row: Vec<Arc<str>> = self.lock().row_reach(now).cloned().collect();
        match watchers::source(&self.id.host, &row) {
            Source::Peer(_) if backoff || self.client.get().is_none() => {
                Source::Store { watcher: false }
            }
            source => source,
        }
    }

    /// Gets the updates after a position from a watcher; none if it does not have them.
    pub async fn relayed_updates(
        &self,
        from: &Arc<str>,
        after: StorePosition,
    ) -> Option<RelayedUpdates> {
        let updates = self.request_updates(from, after).await;
        if updates.is_none() {
            *lock(&self.relay_failed) = Some(Instant::now());
        }
        updates
    }

    async fn request_updates(
        &self,
        from: &Arc<str>,
        after: StorePosition,
    ) -> Option<RelayedUpdates> {
        let client = self.client.get()?;
        let address = self.lock().address(from)?;
        let wait_ms = watchers::RELAY_TIME.as_millis() as u64;
        let StorePosition { era, revision } = after;
        let message = PeerRequest::Updates { revision, wait_ms, era };
        let timeout = watchers::RELAY_TIME + EXCHANGE_TIMEOUT;
        let asked = Instant::now();
        let reason = match client.call(address, &message, timeout).await {
            Ok(PeerReply::Updates(Some(bytes))) => {
                match rosemarypitch_peer::decode::<RelayedUpdates>(&bytes) {
                    Ok(updates) => return Some(updates.received(asked.elapsed())),
                    Err(error) => error,
                }
            }
            Ok(PeerReply::Updates(None)) => "not available".to_owned(),
            Ok(_) => "unexpected reply".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!("control: no updates from watcher={from} position={after}: {reason}");
        None
    }

    /// Updates for a host that follows this one, encoded.
    async fn encoded_updates(&self, after: StorePosition, wait: Duration) -> Option<Vec<u8>> {
        let updates = self.router.updates_since(after, wait).await?;
        rosemarypitch_peer::encode(&updates)
            .inspect_err(|error| log::error!("peers: updates cannot be encoded: {error}"))
            .ok()
    }

    fn receive_report(&self, from: &Arc<str>, report: HostReport, mutual: bool) {
        let now = Instant::now();
        lock(&self.crashes).observe(from, report.id.incarnation);
        let deltas = self.lock().apply_report(now, from, report, mutual);
        self.apply_deltas(now, deltas);
    }

    fn receive_row_report(&self, from: &Arc<str>, report: RowReport) {
        let now = Instant::now();
        lock(&self.crashes).observe(from, report.id.incarnation);
        let deltas = self.lock().apply_row_report(now, from, report);
        self.apply_deltas(now, deltas);
    }

    /// Counts tokens admitted by other hosts against the limits.
    fn apply_deltas(&self, now: Instant, deltas: TokenDeltas) {
        self.reported.notify_one();
        let Some(config) = self.router.config() else { return };
        let share = self.router.share();
        self.router.with_quota(|quota| {
            for (customer, delta) in deltas {
                if let Some(customer) = config.customers.get(&customer) {
                    quota.apply_remote(now, customer, share, delta);
                }
            }
        });
    }

    /// Updates the row's engine use in the pools soon after each report.
    async fn run_pool_updates(self: Arc<Self>) {
        loop {
            self.reported.notified().await;
            tokio::time::sleep(APPLY_DELAY).await;
            self.update_pools(Instant::now());
        }
    }

    fn update_pools(&self, now: Instant) {
        let (uses, prompts) = {
            let table = self.lock();
            (table.row_usage(now), table.row_prompts(now))
        };
        self.router.for_each_pool(|pool| {
            pool.set_row_streams(&uses);
            pool.set_row_prompts(&prompts);
        });
        self.router.dispatch(now);
    }

    fn refresh(&self, now: Instant) {
        self.update_share(now);
        let layout = self.lock().layout().clone();
        if self.router.set_layout(&layout) {
            let (row_hosts, rows) = (layout.row_size(), layout.other_rows().count() + 1);
            log::info!("peers: layout changed row_hosts={row_hosts} rows={rows}");
        }
        self.update_pools(now);
        self.compare_buckets(now);
        self.router.update_readiness(now);
    }

    /// Compares the fullness of this host's buckets with that in the rest of the row.
    fn compare_buckets(&self, now: Instant) {
        let Some(config) = self.router.config() else { return };
        let fullness = self.lock().fullness(now);
        let (share, reported) = (self.router.share(), !fullness.is_empty());
        self.router.with_quota(|quota| {
            for (customer, mut fullness) in fullness {
                if let Some(customer) = config.customers.get(&customer) {
                    quota.reconcile(now, customer, share, &mut fullness);
                }
            }
            quota.mark_reconciled(now, reported);
        });
    }

    fn update_share(&self, now: Instant) {
        let share = self.lock().share(now);
        let old = self.router.set_share(share);
        if step(old) != step(share) || old.hosts != share.hosts {
            let Share { parts, hosts, lag } = share;
            let lag = lag.as_millis();
            log::info!("peers: share changed parts={parts:.1} hosts={hosts} lag_ms={lag}");
            self.router.metrics.set_gauge("hosts", hosts as u64);
            self.router.metrics.set_gauge("hosts_heard", parts as u64);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.table)
    }
}

/// What the two ends of an exchange report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeKind {
    /// Each its own usage: this host and another one of its row.
    Hosts,
    /// Each the usage of its whole row: this host and its partner in another row.
    Rows,
}

impl Handler for Gossip {
    fn handle<'a>(&'a self, from: &'a HostId, message: PeerRequest) -> HandlerFuture<'a> {
        Box::pin(async move {
            match message {
                PeerRequest::Report { report, reachable: hears } => {
                    self.receive_report(&from.host, report, hears);
                    PeerReply::Report(self.report(Instant::now(), &from.host))
                }
                PeerRequest::Row(report) => {
                    self.receive_row_report(&from.host, report);
                    PeerReply::Row(self.row_report(Instant::now(), &from.host))
                }
                PeerRequest::Snapshot { version, revision, era } => {
                    let position = StorePosition { era, revision };
                    PeerReply::Snapshot(self.encoded_state(SnapshotVersion { version, position }))
                }
                PeerRequest::Updates { revision, wait_ms, era } => {
                    let wait = Duration::from_millis(wait_ms).min(watchers::RELAY_TIME);
                    let after = StorePosition { era, revision };
                    PeerReply::Updates(self.encoded_updates(after, wait).await)
                }
                PeerRequest::Crashes(batch) => {
                    PeerReply::Crashes(self.receive_crashes(from, &batch))
                }
                PeerRequest::Departures(departures) => {
                    self.receive_departures(&from.host, &departures);
                    PeerReply::Done
                }
                PeerRequest::Streams(streams) => {
                    let now = Instant::now();
                    for (version, digests) in &streams {
                        self.router.add_told_streams(now, version, digests);
                    }
                    PeerReply::Done
                }
                PeerRequest::StreamVersion { service, first, read } => {
                    let version = self.stream_version(&service, first.as_ref(), read).await;
                    PeerReply::StreamVersion(version)
                }
                _ => PeerReply::NotOwner,
            }
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

/// Share in steps of a twentieth; smaller changes are not logged.
fn step(share: Share) -> u32 {
    (share.fraction() * 20.0) as u32
}

/// Random identifier of this run of the host; identifiers of different runs have no order.
fn incarnation() -> u64 {
    rand::random()
}
