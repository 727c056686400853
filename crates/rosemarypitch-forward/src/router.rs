//! State of one host, shared between its control thread and its traffic threads.
//!
//! The control thread writes the configuration and the registry of upstreams; the traffic
//! threads read these, and update pools, balancers, buckets and retry budgets. A lock is held
//! for a single step of a pure state machine, never across an await point.

mod placement;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use http::StatusCode;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::balance::Balancer;
use crate::budget::{RepeatRules, RetryBudget};
use crate::byte_account::ByteAccount;
use crate::cold::{self, ColdLimit};
use crate::config::{CallerBounds, ConfigSnapshot};
use crate::control;
use crate::crash_exchange;
use crate::crowd::{Capacity, Crowd};
use crate::deployment::{Dialect, Directory, ResponseMeta, StorePosition, Update, Updates};
use crate::homes::{RegionSet, Regions};
use crate::layout::Layout;
use crate::metrics::Metrics;
use crate::open_calls::OpenCalls;
use crate::pool::{Pool, Ticket};
use crate::quarantine::{CrashRecord, Quarantine};
use crate::quota::{self, Quota, QuotaRules, Share};
use crate::registry::{self, Upstream, UpstreamRegistry};
use crate::rest::Rests;
use crate::snapshot::{Snapshot, SnapshotVersion};
use crate::stop::StopTimes;
use crate::tuning::PoolTuning;
use crate::versions::{
    StoredVersion, StreamLog, StreamRecord, StreamVersion, ToldStream, VersionChange, Versions,
};
use crate::watchers::{self, RelayedUpdates, UpdateLog};

use placement::Pools;
pub use placement::{Placement, PlacementRequest};

/// Time beyond the timeout of a watch after which a host that has reached neither the store
/// nor a peer with current state may be stale: one lost watch and a few retries.
const STALENESS_MARGIN: Duration = Duration::from_millis(2_200);

/// Shortest time over which callers come back after a rest.
const MIN_REST_SPREAD: Duration = Duration::from_millis(500);

/// Most questions to other hosts about streams that wait to be sent.
const MAX_QUERIES: usize = 256;
/// Longest wait for the answer to such a question.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its data centre.
    pub zone: Arc<str>,
    /// Regions of the deployment's data centres.
    pub regions: Regions,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness probe of the load balancer.
    pub readiness: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Number of traffic threads.
    pub threads: usize,
    /// What the host has for callers.
    pub capacity: Capacity,
    /// Whether this is the first start of the whole fleet, so that buckets start full.
    pub first_start: bool,
    /// Settings that may change while the host runs.
    pub limits: LimitSettings,
    /// Settings of pools.
    pub pool: PoolTuning,
}

/// Settings that may change while the host runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Longest duration of a graceful shutdown.
    pub grace: Duration,
    /// Longest time until changes in the store have to be in force.
    pub news: Duration,
    /// Time after which upstreams renew their registrations.
    pub renewal: Duration,
    /// Rules of the retry budgets.
    pub repeats: RepeatRules,
    /// Tolerances of the limits kept by many hosts.
    pub quota: QuotaRules,
}

/// State of one host.
pub struct Router {
    /// Settings from the start of the process.
    pub settings: RouterSettings,
    /// When the process started.
    pub started: Instant,
    /// Wire format of the deployment.
    pub dialect: Arc<dyn Dialect>,
    /// Access to the store.
    pub directory: Arc<dyn Directory>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Progress of the shutdown.
    pub stop_phase: watch::Sender<StopPhase>,
    stop_times: Mutex<Option<StopTimes>>,
    /// Requests that have no complete response yet.
    pub open_calls: Arc<OpenCalls>,
    /// Memory of the bodies of callers' requests.
    pub bodies: Arc<ByteAccount>,
    /// Connections of callers.
    pub crowd: Arc<Crowd>,
    config: RwLock<Option<Arc<ConfigSnapshot>>>,
    current_at: Mutex<Option<Instant>>,
    /// Position up to which this host has followed the store.
    position: watch::Sender<StorePosition>,
    /// Until when the store may lack a configuration that it has acknowledged.
    unproven_until: Mutex<Option<Instant>>,
    store_lost: AtomicBool,
    /// Whether the store lacks this host's entry.
    entry_lost: AtomicBool,
    entry_change: Notify,
    /// Updates of the store received by this host, for the hosts that follow it.
    update_log: Mutex<UpdateLog>,
    /// Notified when an update is received.
    updated: Notify,
    share: Mutex<Share>,
    layout: Mutex<Option<Arc<Layout>>>,
    registry: Mutex<UpstreamRegistry>,
    balancers: Mutex<HashMap<Arc<str>, Balancer>>,
    pools: Mutex<Pools>,
    queued: Notify,
    usage_change: Notify,
    quota: Mutex<Quota>,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    quarantine: Mutex<Quarantine>,
    crash_change: Notify,
    rests: Mutex<Rests>,
    versions: Mutex<Versions>,
    version_change: Notify,
    streams: Mutex<StreamLog>,
    /// Notified when streams have to be recorded.
    stream_change: Notify,
    /// Notified when streams have been recorded.
    stream_recorded: Notify,
    /// Notified when a stream begins.
    stream_begun: Notify,
    /// Questions to other hosts about streams.
    queries: mpsc::Sender<StreamQuery>,
    /// Their receiver, until [`crate::gossip`] takes it.
    receiver: Mutex<Option<mpsc::Receiver<StreamQuery>>>,
    /// Upstreams that leave, of which the neighbours have not been told.
    departures: Mutex<Vec<(Arc<str>, u64)>>,
    departed: Notify,
    limits: Mutex<LimitSettings>,
    next_ticket: AtomicU64,
    ready: AtomicBool,
    /// When the first configuration was received.
    configured_at: Mutex<Option<Instant>>,
}

/// Question to other hosts: which version began a stream.
#[derive(Debug)]
pub struct StreamQuery {
    /// Service of the stream.
    pub service: Arc<str>,
    /// Attempt that brought its first event, if the caller has named it.
    pub first: Option<Arc<str>>,
    /// Whether the hosts have to read the store.
    pub read: bool,
    /// Receiver of the answer.
    pub reply: oneshot::Sender<Option<Arc<str>>>,
}

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The host runs.
    Running,
    /// Its readiness probe fails, and it still accepts callers.
    Leaving,
    /// It accepts no more connections, and finishes its requests.
    Finishing,
    /// It refuses the requests that have no response yet, before the process ends.
    Cutting,
}

impl Router {
    /// A host without configuration and upstreams, which is not ready yet.
    pub fn new(
        settings: RouterSettings,
        dialect: Arc<dyn Dialect>,
        directory: Arc<dyn Directory>,
    ) -> Self {
        let limits = settings.limits;
        let quota = Quota::new(limits.quota, settings.first_start);
        let limits = Mutex::new(limits);
        let largest = CallerBounds::default().body_bytes;
        let bodies = ByteAccount::new(settings.capacity.bodies(largest));
        let (queries, receiver) = mpsc::channel(MAX_QUERIES);
        Self {
            settings,
            started: Instant::now(),
            dialect,
            directory,
            metrics: Metrics::new(),
            stop_phase: watch::channel(StopPhase::Running).0,
            stop_times: Mutex::default(),
            open_calls: Arc::default(),
            bodies,
            crowd: Arc::default(),
            config: RwLock::new(None),
            current_at: Mutex::new(None),
            position: watch::channel(StorePosition::default()).0,
            unproven_until: Mutex::default(),
            store_lost: AtomicBool::new(false),
            entry_lost: AtomicBool::new(false),
            entry_change: Notify::new(),
            update_log: Mutex::default(),
            updated: Notify::new(),
            share: Mutex::new(Share { parts: 1.0, hosts: 1, lag: Duration::ZERO }),
            layout: Mutex::new(None),
            registry: Mutex::new(UpstreamRegistry::default()),
            balancers: Mutex::default(),
            pools: Mutex::default(),
            queued: Notify::new(),
            usage_change: Notify::new(),
            quota: Mutex::new(quota),
            budgets: Mutex::default(),
            quarantine: Mutex::default(),
            crash_change: Notify::new(),
            rests: Mutex::default(),
            versions: Mutex::default(),
            version_change: Notify::new(),
            streams: Mutex::default(),
            stream_change: Notify::new(),
            stream_recorded: Notify::new(),
            stream_begun: Notify::new(),
            queries,
            receiver: Mutex::new(Some(receiver)),
            departures: Mutex::default(),
            departed: Notify::new(),
            limits,
            next_ticket: AtomicU64::new(1),
            ready: AtomicBool::new(false),
            configured_at: Mutex::new(None),
        }
    }

    /// Settings that may change while the host runs.
    pub fn limits(&self) -> LimitSettings {
        *lock(&self.limits)
    }

    /// Applies changed settings; true if they differ from those in force.
    pub fn set_limits(&self, limits: LimitSettings) -> bool {
        let old = std::mem::replace(&mut *lock(&self.limits), limits);
        self.with_quota(|quota| quota.set_rules(limits.quota));
        lock(&self.budgets).values_mut().for_each(|budget| budget.set_rules(limits.repeats));
        old != limits
    }

    /// The current configuration; none before the first one is received.
    pub fn config(&self) -> Option<Arc<ConfigSnapshot>> {
        self.config.read().unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Applies a configuration unless the current one has the same or a later version; true if
    /// it was applied.
    pub fn set_config(&self, config: Arc<ConfigSnapshot>) -> bool {
        let mut current = self.config.write().unwrap_or_else(|error| error.into_inner());
        if current.as_ref().is_some_and(|old| old.version >= config.version) {
            return false;
        }
        lock(&self.configured_at).get_or_insert_with(Instant::now);
        self.metrics.set_gauge("configuration", config.version);
        self.bodies.set_limit(self.settings.capacity.bodies(config.bounds.body_bytes));
        *current = Some(config);
        drop(current);
        self.apply_upstreams(Instant::now());
        true
    }

    /// Records that this host has the state that the store had at `at`.
    pub fn mark_current(&self, at: Instant) {
        let mut current = lock(&self.current_at);
        *current = Some(current.map_or(at, |known| known.max(at)));
    }

    /// Records the position up to which the store has been followed; it never decreases.
    ///
    /// A store that was restored from a copy, and one that this process has not followed before,
    /// may lack the latest configuration for a time.
    pub fn set_position(&self, position: StorePosition) {
        let old = *self.position.borrow();
        let first = old == StorePosition::default();
        if position.era > old.era || first {
            if !first {
                log::warn!("control: store restored from a copy position={position} before={old}");
            }
            if !first || !self.settings.first_start {
                *lock(&self.unproven_until) = Some(Instant::now() + registry::REREGISTER_TIME);
            }
        }
        self.enter_era(position.era);
        self.position.send_if_modified(|known| {
            let later = position > *known;
            *known = position.max(*known);
            later
        });
        self.metrics.set_gauge("revision", position.revision);
        self.metrics.set_gauge("store_era", position.era);
        if position.era > old.era {
            self.version_change.notify_one();
            self.stream_change.notify_one();
        }
    }

    /// Enters an era of the store, in which the sole versions of earlier ones do not count.
    pub fn enter_era(&self, era: u64) {
        lock(&self.versions).enter_era(era);
    }

    /// Whether the store may lack a configuration that it has acknowledged, since it was restored
    /// from a copy shortly before.
    pub fn may_lack_config(&self, now: Instant) -> bool {
        lock(&self.unproven_until).is_some_and(|end| now < end)
    }

    /// Records whether the store has this host's entry.
    pub fn set_entry_lost(&self, lost: bool) {
        let changed = self.entry_lost.swap(lost, Ordering::Relaxed) != lost;
        if changed && lost {
            log::info!("peers: entry missing from the store");
            self.entry_change.notify_one();
        }
    }

    /// Whether the store lacks this host's entry, which is going to be written again.
    pub fn take_entry_lost(&self) -> bool {
        self.entry_lost.swap(false, Ordering::Relaxed)
    }

    /// Waits until the store may lack this host's entry.
    pub async fn entry_lost(&self) {
        self.entry_change.notified().await;
    }

    /// Waits until the store's era is another one than `era`.
    pub async fn left_era(&self, era: u64) {
        // The sender lives as long as the router, so this cannot fail.
        let _ = self.position.subscribe().wait_for(|position| position.era != era).await;
    }

    /// Records that this host has read all entries up to `position`.
    pub fn reset_updates(&self, position: StorePosition) {
        lock(&self.update_log).reset(position);
    }

    /// Records updates up to `position`, for the hosts that follow this one.
    pub fn record_updates(&self, position: StorePosition, updates: Vec<Update>) {
        lock(&self.update_log).push(position, updates);
        self.updated.notify_waiters();
    }

    /// Updates after a position for a host that follows this one; waits up to `wait` for them.
    /// None if this host is not current with the store, or has not kept them.
    pub async fn updates_since(
        &self,
        after: StorePosition,
        wait: Duration,
    ) -> Option<RelayedUpdates> {
        let end = Instant::now() + wait;
        loop {
            let updated = self.updated.notified();
            let now = Instant::now();
            let current = (*lock(&self.current_at))?;
            let age = now.saturating_duration_since(current);
            if self.is_store_lost() || age > watchers::WATCH_TIME * 2 {
                return None;
            }
            let Updates { updates, position } = lock(&self.update_log).since(after)?;
            if !updates.is_empty() || now >= end {
                let age_ms = age.as_millis() as u64;
                return Some(RelayedUpdates { updates, position, age_ms });
            }
            // A timeout leads to the empty reply.
            let _ = tokio::time::timeout_at(end, updated).await;
        }
    }

    /// Records whether this host has lost the store; true if that has changed.
    pub fn set_store_lost(&self, lost: bool) -> bool {
        let changed = self.store_lost.swap(lost, Ordering::Relaxed) != lost;
        if changed && lost {
            // Hosts that follow this one have to turn to the store themselves.
            self.updated.notify_waiters();
        }
        changed
    }

    /// Whether the store does not answer this host.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Version of the configuration and position of the store that this host has.
    pub fn store_position(&self) -> SnapshotVersion {
        let version = self.config().map_or(0, |config| config.version);
        SnapshotVersion { version, position: *self.position.borrow() }
    }

    /// State of the store for a peer at the position `have`; none if this host may be stale
    /// itself. One that is behind that position, or still waits for upstreams to register again,
    /// has only its configuration to relay, if that is newer.
    pub fn state_since(&self, now: Instant, have: SnapshotVersion) -> Option<Snapshot> {
        if !self.is_current(now) {
            return None;
        }
        let age = self.state_age(now)?;
        let mut position = self.store_position().position;
        let config = self.config().filter(|config| config.version > have.version);
        let registry = lock(&self.registry);
        // The peer would take an entry that is missing from the store for one that is registered.
        if registry.has_missing() || position < have.position {
            config.as_ref()?;
            position = StorePosition::default();
        }
        let upstreams = registry.all().map(|upstream| upstream.as_ref().clone()).collect();
        let evacuated = registry.evacuations.zones().cloned().collect();
        drop(registry);
        let versions = lock(&self.versions);
        let versions = versions.stored().map(|(name, stored)| (name.clone(), stored.clone()));
        let versions = versions.collect();
        // Also sent if nothing is newer: it confirms to the peer that its state is current.
        Some(Snapshot {
            position,
            config,
            upstreams,
            evacuated,
            versions,
            age_ms: age.as_millis() as u64,
            direct: !self.is_store_lost(),
        })
    }

    /// Applies state of the store relayed by a peer, which was asked for it at `asked`, unless it
    /// is older than this host's.
    pub fn apply_relayed(&self, asked: Instant, snapshot: Snapshot) {
        let (now, have) = (Instant::now(), self.store_position());
        let age = Duration::from_millis(snapshot.age_ms);
        if snapshot.is_newer_than(have) {
            log::info!(
                "control: state relayed by a peer position={} version={} before={}",
                snapshot.position,
                snapshot.config.as_ref().map_or(have.version, |config| config.version),
                have.position,
            );
        }
        if let Some(config) = snapshot.config {
            self.set_config(config);
        }
        if snapshot.position < have.position {
            return;
        }
        if snapshot.position > have.position {
            let stale_until = now + self.limits().renewal * control::REREAD_RENEWALS;
            self.update_registry(now, |registry| {
                if snapshot.position.era > have.position.era {
                    registry.restore(now, stale_until, snapshot.upstreams, snapshot.evacuated);
                } else {
                    registry.replace(now, snapshot.upstreams, false);
                    registry.evacuations.replace(now, snapshot.evacuated);
                }
            });
            self.set_position(snapshot.position);
        }
        for (service, stored) in snapshot.versions {
            self.set_version(&service, stored);
        }
        self.mark_current(asked.checked_sub(age).unwrap_or(self.started));
    }

    /// Whether this host was up to date with the store recently enough that its
    /// configuration is not considered stale.
    pub fn is_current(&self, now: Instant) -> bool {
        let max_age = control::watch_timeout(self.limits().news) + STALENESS_MARGIN;
        self.state_age(now).is_some_and(|age| age < max_age)
    }

    /// Time since this host was last up to date with the store; none before that.
    pub fn state_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.current_at).map(|at| now.saturating_duration_since(at))
    }

    /// Whether a route or a key that is missing from the configuration does not exist: no change
    /// that has to be in force can be missing.
    pub fn can_deny(&self, now: Instant) -> bool {
        let max_age = self.limits().news;
        self.state_age(now).is_some_and(|age| age < max_age) && !self.may_lack_config(now)
    }

    /// Whether the host is ready for callers and not stopping.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Waits until the shutdown has reached a phase.
    pub async fn reached(&self, phase: StopPhase) {
        // The sender lives as long as the router, so this cannot fail.
        let _ = self.stop_phase.subscribe().wait_for(|current| *current >= phase).await;
    }

    /// Starts a graceful shutdown, in which requests have to end by the given times.
    pub fn stop_by(&self, times: StopTimes) {
        self.stop_phase.send_replace(StopPhase::Leaving);
        *lock(&self.stop_times) = Some(times);
        self.for_each_pool(|pool| pool.set_end(Some(times.exit)));
        self.dispatch(Instant::now());
    }

    /// Times by which the requests of a stopping host have to end; none while it runs.
    pub fn stop_times(&self) -> Option<StopTimes> {
        *lock(&self.stop_times)
    }

    /// Current phase of the shutdown.
    pub fn phase(&self) -> StopPhase {
        *self.stop_phase.borrow()
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.phase() != StopPhase::Running
    }

    /// Marks the host as ready for callers once it has a configuration and its limits have
    /// settled, or should have.
    pub fn update_readiness(&self, now: Instant) {
        let Some(start) = *lock(&self.configured_at) else { return };
        let settled = self.with_quota(|quota| quota.is_settled());
        if !settled && now.saturating_duration_since(start) < quota::SETTLE_TIME {
            return;
        }
        if !self.ready.swap(true, Ordering::Relaxed) {
            log::info!("control: ready to accept callers settled={settled}");
        }
    }

    /// Share of each limit that this host may use.
    pub fn share(&self) -> Share {
        *lock(&self.share)
    }

    /// Sets the share of each limit that this host may use; returns the previous one.
    pub fn set_share(&self, share: Share) -> Share {
        std::mem::replace(&mut *lock(&self.share), share)
    }

    /// Sets the division of the hosts into rows; true if it has changed.
    pub fn set_layout(&self, layout: &Arc<Layout>) -> bool {
        let mut current = lock(&self.layout);
        if current.as_ref() == Some(layout) {
            return false;
        }
        *current = Some(layout.clone());
        drop(current);
        self.apply_upstreams(Instant::now());
        true
    }

    /// Changes the registry of upstreams, then updates pools and balancers from it.
    pub fn update_registry<T>(
        &self,
        now: Instant,
        change: impl FnOnce(&mut UpstreamRegistry) -> T,
    ) -> T {
        let mut registry = lock(&self.registry);
        let result = change(&mut registry);
        let registered = registry.versions();
        drop(registry);
        lock(&self.versions).set_registered(now, registered);
        self.version_change.notify_one();
        self.apply_upstreams(now);
        result
    }

    /// Waits until what is known of the versions of upstreams may have changed.
    pub async fn versions_changed(&self) {
        self.version_change.notified().await;
    }

    /// Changes of the services' sole versions that this host has to make now.
    pub fn version_changes(&self, now: Instant) -> Vec<VersionChange> {
        let Some(config) = self.config().filter(|_| !self.is_store_lost()) else {
            return Vec::new();
        };
        let (versions, first) = (lock(&self.versions), self.settings.first_start);
        let services = config.resumable_services();
        services.iter().filter_map(|service| versions.next_change(now, service, first)).collect()
    }

    /// Applies the store's entry of a service's sole version.
    pub fn set_version(&self, service: &Arc<str>, stored: StoredVersion) {
        lock(&self.versions).set_stored(service, stored);
        self.version_change.notify_one();
        self.stream_change.notify_one();
        self.apply_upstreams(Instant::now());
    }

    /// Notes a stream that begins; true if it has to be recorded.
    pub fn begin_stream(&self, now: Instant, service: &Arc<str>, record: StreamRecord) -> bool {
        let due = lock(&self.versions).must_record(service, &record.version);
        lock(&self.streams).begin(now, service, record);
        self.stream_begun.notify_one();
        if due {
            self.stream_change.notify_one();
        }
        due
    }

    /// Streams that have to be recorded.
    pub fn pending_streams(&self, now: Instant) -> Vec<StreamRecord> {
        let versions = lock(&self.versions);
        lock(&self.streams).pending(now, &versions)
    }

    /// Waits until streams may have to be recorded.
    pub async fn streams_changed(&self) {
        self.stream_change.notified().await;
    }

    /// Marks streams as recorded in an era of the store.
    pub fn mark_recorded(&self, records: &[StreamRecord], era: u64) {
        lock(&self.streams).mark(records, era);
        self.stream_recorded.notify_waiters();
    }

    /// Waits until a stream has been recorded.
    pub async fn stream_recorded(&self, attempt: &str) {
        loop {
            let recorded = self.stream_recorded.notified();
            let era = self.store_position().position.era;
            if lock(&self.streams).is_recorded(attempt, era) {
                return;
            }
            recorded.await;
        }
    }

    /// Waits until streams have begun that the other hosts have to be told of.
    pub async fn streams_begun(&self) {
        self.stream_begun.notified().await;
    }

    /// Takes the streams that the other hosts have to be told of.
    pub fn take_untold_streams(&self) -> Vec<ToldStream> {
        lock(&self.streams).take_untold()
    }

    /// Adds streams that another host has begun at a version.
    pub fn add_told_streams(&self, now: Instant, version: &Arc<str>, digests: &[u64]) {
        lock(&self.streams).add_told(now, version, digests);
    }

    /// Version of a stream that this host or another one of its row has begun.
    pub fn known_stream(&self, attempt: &str) -> Option<Arc<str>> {
        lock(&self.streams).version(attempt).cloned()
    }

    /// Version that began a stream of a service by what the store says of it.
    pub fn resolve_stream(&self, service: &str, stored: StreamVersion) -> Option<Arc<str>> {
        stored.resolve(&lock(&self.versions).registered(service))
    }

    /// This host's copy of a service's sole version.
    ///
    /// Other hosts may already use another version, so a stream must not go on by it.
    pub fn sole_version(&self, service: &str) -> Option<Arc<str>> {
        lock(&self.versions).sole(service).cloned()
    }

    /// Asks other hosts which version began a stream; none if they cannot tell. With `read` they
    /// read the store.
    pub async fn query_stream(
        &self,
        service: &Arc<str>,
        first: Option<&Arc<str>>,
        read: bool,
    ) -> Option<Arc<str>> {
        let (reply, answer) = oneshot::channel();
        let query = StreamQuery { service: service.clone(), first: first.cloned(), read, reply };
        if let Err(error) = self.queries.try_send(query) {
            log::info!("call: other hosts not asked for a version: {error}");
            return None;
        }
        // Nobody answers before this host has connections to others.
        tokio::time::timeout(QUERY_TIMEOUT, answer).await.ok()?.ok()?
    }

    /// The receiver of questions to other hosts; none if it has been taken.
    pub fn take_queries(&self) -> Option<mpsc::Receiver<StreamQuery>> {
        lock(&self.receiver).take()
    }

    /// Whether an engine still accepts requests; one that has been chosen may leave before the
    /// request is sent.
    pub fn is_usable_engine(&self, engine: &Upstream) -> bool {
        self.with_pool(&engine.service, |pool| pool.is_usable(engine)).unwrap_or(false)
    }

    /// Records that a placed request is sent to its engine now; false if the engine must not get
    /// it any more.
    pub fn start_decode(&self, engine: &Upstream, ticket: Ticket) -> bool {
        let now = Instant::now();
        let start = |pool: &mut Pool| pool.start_decode(now, engine, ticket);
        self.with_pool(&engine.service, start).unwrap_or(false)
    }

    /// Whether a request with these homes may go to an upstream.
    pub fn is_home(&self, upstream: &Upstream, homes: RegionSet) -> bool {
        homes.allows(self.settings.regions.of_zone(&upstream.zone))
    }

    /// Stops to use an upstream if a response of it says that it leaves or asks for rest, and sends
    /// few requests to one that says that it is cold.
    ///
    /// A response for another upstream's identifier comes from a later user of the address.
    pub fn observe_response(&self, upstream: &Upstream, status: StatusCode, meta: &ResponseMeta) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let (id, incarnation) = (&upstream.id, upstream.incarnation);
        if let Some(left) = meta.cold {
            let now = Instant::now();
            if lock(&self.registry).cold.record_response(now, id, incarnation, left) {
                let left = left.as_millis();
                log::info!("control: upstream cold upstream={id} cold_ms={left} source=response");
                self.apply_upstreams(now);
            }
        }
        if let Some(time) = meta.rest {
            self.start_rest(Instant::now(), upstream, time);
        }
        if meta.leaving && self.mark_leaving(Instant::now(), id, incarnation, "response") {
            lock(&self.departures).push((id.clone(), incarnation));
            self.departed.notify_one();
        }
    }

    fn start_rest(&self, now: Instant, upstream: &Upstream, time: Duration) {
        let Some(end) = lock(&self.rests).record(now, upstream, time) else { return };
        log::info!(
            "control: upstream rests upstream={} service={} rest_ms={}",
            upstream.id,
            upstream.service,
            (end - now).as_millis(),
        );
        self.metrics.count_send("rest", "asked");
        self.with_pool(&upstream.service, |pool| pool.set_rest(upstream, end));
        self.with_balancer(&upstream.service, |balancer| balancer.set_rest(upstream, end));
        self.dispatch(now);
    }

    /// Whether an upstream has asked for a rest that lasts.
    pub fn is_resting(&self, now: Instant, upstream: &Upstream) -> bool {
        lock(&self.rests).end(now, upstream).is_some()
    }

    /// Delay after which a caller may retry, if all upstreams of a service rest until then.
    pub fn rest_delay(&self, service: &str) -> Option<Duration> {
        let now = Instant::now();
        let rest = self.with_pool(service, |pool| pool.rest_time(now)).flatten();
        let balancer = |balancer: &mut Balancer| balancer.rest_time(now);
        let rest = rest.or_else(|| self.with_balancer(service, balancer).flatten())?;
        // Callers that come back at once would make the first upstream rest again.
        let spread = (rest / 4).max(MIN_REST_SPREAD);
        Some(rest + spread.mul_f64(rand::random_range(0.0..1.0)))
    }

    /// Waits for upstreams that have said in a response that they leave, to tell the neighbours:
    /// their identifiers and incarnations.
    pub async fn next_departures(&self) -> Vec<(Arc<str>, u64)> {
        self.departed.notified().await;
        std::mem::take(&mut *lock(&self.departures))
    }

    /// Stops to use a run of an upstream that leaves; `source` says from whom that is known. True
    /// if it was used until now.
    pub fn mark_leaving(
        &self,
        now: Instant,
        id: &Arc<str>,
        incarnation: u64,
        source: &str,
    ) -> bool {
        let used = lock(&self.registry).mark_leaving(now, id, incarnation);
        if used {
            log::info!("control: upstream leaves upstream={id} born={incarnation} source={source}");
            self.apply_upstreams(now);
        }
        used
    }

    /// When [`UpstreamRegistry::expire`] is due next; none if nothing expires.
    pub fn registry_expiry(&self) -> Option<Instant> {
        lock(&self.registry).next_expiry()
    }

    /// Whether operators have taken a data centre out of service.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        lock(&self.registry).evacuations.contains(zone)
    }

    fn apply_upstreams(&self, now: Instant) {
        let Some(config) = self.config() else { return };
        let mut lists: HashMap<Arc<str>, Vec<Arc<Upstream>>> = HashMap::new();
        let registry = lock(&self.registry);
        self.metrics.set_gauge("zones_out_of_service", registry.evacuations.zones().len() as u64);
        let mut cold: HashMap<Arc<str>, Instant> = HashMap::new();
        let versions = lock(&self.versions);
        for upstream in registry.usable() {
            if !versions.admits(&upstream.service, &upstream.version) {
                log::debug!(
                    "control: upstream waits for its version upstream={} version={}",
                    upstream.id,
                    upstream.version,
                );
                continue;
            }
            let rules = config.services.get(&upstream.service).and_then(|service| service.cold);
            let until = rules.and_then(|rules| registry.cold_until(upstream, rules.time));
            if let Some(until) = until.filter(|until| *until > now) {
                cold.insert(upstream.id.clone(), until);
            }
            lists.entry(upstream.service.clone()).or_default().push(upstream.clone());
        }
        drop(versions);
        let evacuated = registry.evacuated().filter(|upstream| upstream.is_decode());
        let evacuated: HashSet<Arc<str>> =
            evacuated.map(|upstream| upstream.service.clone()).collect();
        drop(registry);
        self.metrics.set_gauge("cold_upstreams", cold.len() as u64);
        let rests = lock(&self.rests).clone();
        let layout = lock(&self.layout).clone();
        let hosts = self.share().hosts;
        for (name, service) in &config.services {
            let list = lists.remove(name).unwrap_or_default();
            let cold_limit = |upstream: &Upstream| {
                let units = service.cold?.units();
                let until = cold.get(&upstream.id).copied();
                // A host that does not know the others yet has no part.
                let part = layout.as_ref().filter(|_| until.is_some()).map_or(0, |layout| {
                    cold::part(&self.settings.host, layout.hosts(), &upstream.id, units)
                });
                Some(ColdLimit { until, part })
            };
            match service.engine {
                Some(size) => {
                    let mut pools = lock(&self.pools);
                    let create = || {
                        let zone = self.settings.zone.clone();
                        Pool::new(size, zone, self.settings.pool)
                            .with_regions(self.settings.regions.clone())
                            .with_host(self.settings.host.clone())
                    };
                    let pool = pools.pools.entry(name.clone()).or_insert_with(create);
                    pool.set_engines(&list, size, hosts);
                    rests.each(now, &list, |engine, end| pool.set_rest(engine, end));
                    let served = list.iter().any(|engine| engine.is_decode());
                    pool.set_out_of_service(!served && evacuated.contains(name));
                    // A service may be added while the host stops.
                    pool.set_end(self.stop_times().map(|times| times.exit));
                    pool.set_preferred(preferred_engines(&layout, &list));
                    pool.set_cold_limits(cold_limit);
                }
                None => {
                    let mut balancers = lock(&self.balancers);
                    let balancer = balancers.entry(name.clone()).or_default();
                    balancer.set_servers(&list);
                    rests.each(now, &list, |server, end| balancer.set_rest(server, end));
                    balancer.set_cold_limits(cold_limit);
                }
            }
        }
        self.dispatch(now);
    }

    /// Runs `f` on the balancer of a plain service's servers; none if there is none.
    pub fn with_balancer<T>(&self, service: &str, f: impl FnOnce(&mut Balancer) -> T) -> Option<T> {
        lock(&self.balancers).get_mut(service).map(f)
    }

    /// Runs `f` on the engine pool of a service; none if there is none.
    pub fn with_pool<T>(&self, service: &str, f: impl FnOnce(&mut Pool) -> T) -> Option<T> {
        lock(&self.pools).pools.get_mut(service).map(f)
    }

    /// Runs `f` on each engine pool.
    pub fn for_each_pool(&self, mut f: impl FnMut(&mut Pool)) {
        lock(&self.pools).pools.values_mut().for_each(&mut f);
    }

    /// Runs `f` on the buckets of the limits.
    pub fn with_quota<T>(&self, f: impl FnOnce(&mut Quota) -> T) -> T {
        f(&mut lock(&self.quota))
    }

    /// Runs `f` on the quarantine of prompt parts.
    pub fn with_quarantine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut quarantine = lock(&self.quarantine);
        let before = quarantine.culprits().to_vec();
        let result = f(&mut quarantine);
        if quarantine.culprits() != before {
            let culprits = quarantine.culprits().iter();
            let culprits: Vec<String> = culprits.map(|culprit| culprit.to_string()).collect();
            log::warn!("quarantine: culprits changed now=[{}]", culprits.join(" "));
            self.metrics.set_gauge("culprits", quarantine.culprit_count() as u64);
        }
        result
    }

    /// Records a crash that this host has seen, to be sent to the other hosts; false if the
    /// record is not added.
    pub fn record_crash(&self, now: Instant, record: CrashRecord) -> bool {
        let (id, valid) = (record.id, crash_exchange::is_valid(&record));
        let added = self.with_quarantine(|quarantine| quarantine.add(now, record));
        if added && !valid {
            log::warn!("quarantine: record={id:x} is too large for the other hosts");
        } else if added {
            self.notify_crashes();
        }
        added
    }

    /// Signals crash records that have to be sent to the other hosts at once.
    pub fn notify_crashes(&self) {
        self.crash_change.notify_one();
    }

    /// Waits for signalled crash records.
    pub async fn crashes_changed(&self) {
        self.crash_change.notified().await;
    }

    /// Counts a caller's request towards the retry budget of a service.
    pub fn count_request(&self, now: Instant, service: &Arc<str>) {
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Runs `f` on the retry budget of a service.
    pub fn with_budget<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let rules = self.limits().repeats;
        let create = || match self.settings.first_start {
            true => RetryBudget::new(rules),
            false => RetryBudget::restarted(rules, self.started),
        };
        f(lock(&self.budgets).entry(service.clone()).or_insert_with(create))
    }
}

fn preferred_engines(
    layout: &Option<Arc<Layout>>,
    engines: &[Arc<Upstream>],
) -> Option<HashSet<Arc<str>>> {
    layout.as_ref().and_then(|layout| layout.preferred_engines(engines))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}
