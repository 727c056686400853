//! State of one host, shared between its control thread and its traffic threads.
//!
//! The control thread writes the configuration and the lists of upstreams; traffic threads
//! read them and keep the pools, balances, buckets and budgets. Locks are held for single
//! steps of the pure state machines, never across a wait.

mod placing;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::balance::Balancer;
use crate::budget::{RepeatRules, RetryBudget};
use crate::config::ConfigSnapshot;
use crate::control;
use crate::edge::{Dialect, Directory};
use crate::layout::Layout;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::quota::{Quota, QuotaRules, Share};
use crate::registry::{Upstream, UpstreamRegistry};
use crate::relayed::{Have, Known};
use crate::tuning::PoolTuning;

use placing::Pools;
pub use placing::{PlaceAsk, Placed};

/// Time after the longest wait of a watch without a word from the store or a peer after
/// which a host may be behind: a watch that is lost and a few more tries.
const BEHIND_TIME: Duration = Duration::from_millis(2_200);

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its data centre.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host takes callers.
    pub readiness: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Traffic threads.
    pub threads: usize,
    /// Whether no host has run before.
    pub first_start: bool,
    /// Settings that may change while the host runs.
    pub limits: LimitSettings,
    /// Settings of pools.
    pub pool: PoolTuning,
}

/// Settings that may change while the host runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Longest time of a graceful shutdown.
    pub grace: Duration,
    /// Longest time after which news of the store have to be in force.
    pub news: Duration,
    /// Bounds on repeats.
    pub repeats: RepeatRules,
    /// What is tolerated of limits.
    pub quota: QuotaRules,
}

/// State of one host.
pub struct Router {
    /// Settings.
    pub settings: RouterSettings,
    /// Wire format.
    pub dialect: Arc<dyn Dialect>,
    /// Store.
    pub directory: Arc<dyn Directory>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Tells that the host is stopping.
    pub stopping: watch::Sender<StopPhase>,
    site: RwLock<Option<Arc<ConfigSnapshot>>>,
    heard: Mutex<Option<Instant>>,
    /// Revision of the store that the lists below stand for.
    revision: AtomicU64,
    store_lost: AtomicBool,
    share: Mutex<Share>,
    layout: Mutex<Option<Arc<Layout>>>,
    roster: Mutex<UpstreamRegistry>,
    balances: Mutex<HashMap<Arc<str>, Balancer>>,
    pools: Mutex<Pools>,
    queued: Notify,
    used: Notify,
    quota: Mutex<Quota>,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    limits: Mutex<LimitSettings>,
    tickets: AtomicU64,
    ready: AtomicBool,
}

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The host runs.
    Running,
    /// It tells the balancer that it leaves, and still takes callers.
    Leaving,
    /// It takes nothing new and finishes what it has.
    Finishing,
}

impl Router {
    /// A host that knows nothing yet.
    pub fn new(
        settings: RouterSettings,
        dialect: Arc<dyn Dialect>,
        directory: Arc<dyn Directory>,
    ) -> Self {
        let limits = settings.limits;
        let quota = Quota::new(limits.quota, settings.first_start);
        let limits = Mutex::new(limits);
        Self {
            settings,
            dialect,
            directory,
            metrics: Metrics::new(),
            stopping: watch::channel(StopPhase::Running).0,
            site: RwLock::new(None),
            heard: Mutex::new(None),
            revision: AtomicU64::new(0),
            store_lost: AtomicBool::new(false),
            share: Mutex::new(Share { reachable: 1, hosts: 1, lag: Duration::ZERO }),
            layout: Mutex::new(None),
            roster: Mutex::new(UpstreamRegistry::default()),
            balances: Mutex::default(),
            pools: Mutex::default(),
            queued: Notify::new(),
            used: Notify::new(),
            quota: Mutex::new(quota),
            budgets: Mutex::default(),
            limits,
            tickets: AtomicU64::new(1),
            ready: AtomicBool::new(false),
        }
    }

    /// Settings that may change while the host runs.
    pub fn limits(&self) -> LimitSettings {
        *lock(&self.limits)
    }

    /// Takes changed settings; true if they differ from those in force.
    pub fn set_limits(&self, limits: LimitSettings) -> bool {
        let old = std::mem::replace(&mut *lock(&self.limits), limits);
        self.with_quota(|quota| quota.set_rules(limits.quota));
        lock(&self.budgets).values_mut().for_each(|budget| budget.set_rules(limits.repeats));
        old != limits
    }

    /// The configuration in force.
    pub fn site(&self) -> Option<Arc<ConfigSnapshot>> {
        self.site.read().unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Puts a configuration in force, unless a later one is.
    pub fn set_site(&self, site: Arc<ConfigSnapshot>) -> bool {
        let mut slot = self.site.write().unwrap_or_else(|error| error.into_inner());
        if slot.as_ref().is_some_and(|present| present.version >= site.version) {
            return false;
        }
        self.metrics.known("configuration", site.version);
        *slot = Some(site);
        drop(slot);
        self.apply_upstreams(Instant::now());
        true
    }

    /// Takes note that the store, or a peer that hears it, has told all it knows.
    pub fn mark_current(&self, now: Instant) {
        *lock(&self.heard) = Some(now);
    }

    /// Takes note up to where the store has been followed.
    pub fn set_revision(&self, revision: u64) {
        self.revision.fetch_max(revision, Ordering::Relaxed);
        self.metrics.known("revision", revision);
    }

    /// Says whether the store answers this host; true if that has changed.
    pub fn set_store_lost(&self, lost: bool) -> bool {
        self.store_lost.swap(lost, Ordering::Relaxed) != lost
    }

    /// Whether the store does not answer this host.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// What this host has from the store.
    pub fn have(&self) -> Have {
        let version = self.site().map_or(0, |site| site.version);
        Have { version, revision: self.revision.load(Ordering::Relaxed) }
    }

    /// What this host can pass on to one that has less; none if it may be behind itself.
    pub fn known(&self, now: Instant, have: Have) -> Option<Known> {
        if !self.is_current(now) {
            return None;
        }
        let own = self.have();
        let site = self.site().filter(|site| site.version > have.version);
        let upstreams = lock(&self.roster).all().map(|known| known.as_ref().clone()).collect();
        let known = Known { revision: own.revision, site, upstreams };
        // Also without news: that the other host is current is news to it.
        (known.revision >= have.revision).then_some(known)
    }

    /// Takes what another host has passed on.
    pub fn take_known(&self, now: Instant, known: Known) {
        let have = self.have();
        if known.revision < have.revision {
            return;
        }
        if known.is_news(have) {
            log::info!(
                "control: told by a peer revision={} version={} before_revision={}",
                known.revision,
                known.site.as_ref().map_or(have.version, |site| site.version),
                have.revision,
            );
            if let Some(site) = known.site {
                self.set_site(site);
            }
            self.update_roster(now, |roster| roster.replace(now, known.upstreams, false));
            self.set_revision(known.revision);
        }
        self.mark_current(now);
    }

    /// Whether the configuration in force is the newest one, for all that is known.
    pub fn is_current(&self, now: Instant) -> bool {
        let longest = control::watch_wait(self.limits().news) + BEHIND_TIME;
        lock(&self.heard).is_some_and(|at| now.duration_since(at) < longest)
    }

    /// Whether the host takes callers.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && *self.stopping.borrow() == StopPhase::Running
    }

    /// Says that the host takes callers.
    pub fn set_ready(&self) -> bool {
        !self.ready.swap(true, Ordering::Relaxed)
    }

    /// The part of all limits that this host may use.
    pub fn share(&self) -> Share {
        *lock(&self.share)
    }

    /// Changes the part of all limits; true if it is another.
    pub fn set_share(&self, share: Share) -> bool {
        let old = std::mem::replace(&mut *lock(&self.share), share);
        old != share
    }

    /// Takes how the hosts are divided; true if they were divided in another way.
    pub fn set_layout(&self, layout: &Arc<Layout>) -> bool {
        let mut present = lock(&self.layout);
        if present.as_ref() == Some(layout) {
            return false;
        }
        *present = Some(layout.clone());
        drop(present);
        self.apply_upstreams(Instant::now());
        true
    }

    /// Changes the list of upstreams and tells pools and balances.
    pub fn update_roster<T>(
        &self,
        now: Instant,
        change: impl FnOnce(&mut UpstreamRegistry) -> T,
    ) -> T {
        let result = change(&mut lock(&self.roster));
        self.apply_upstreams(now);
        result
    }

    /// When the list of upstreams has to be looked at again.
    pub fn roster_due(&self) -> Option<Instant> {
        lock(&self.roster).next_expiry()
    }

    fn apply_upstreams(&self, now: Instant) {
        let Some(site) = self.site() else { return };
        let mut lists: HashMap<Arc<str>, Vec<Arc<Upstream>>> = HashMap::new();
        for upstream in lock(&self.roster).usable() {
            lists.entry(upstream.service.clone()).or_default().push(upstream.clone());
        }
        let hosts = self.share().hosts;
        for (name, service) in &site.services {
            let list = lists.remove(name).unwrap_or_default();
            match service.engine {
                Some(size) => {
                    let mut pools = lock(&self.pools);
                    let fresh = || Pool::new(size, self.settings.zone.clone(), self.settings.pool);
                    let pool = pools.pools.entry(name.clone()).or_insert_with(fresh);
                    pool.set_engines(&list, size, hosts);
                    pool.set_preferred(homes(&lock(&self.layout), &list));
                }
                None => lock(&self.balances).entry(name.clone()).or_default().set_servers(&list),
            }
        }
        self.decide(now);
    }

    /// Works on the servers of a plain service.
    pub fn with_balance<T>(&self, service: &str, f: impl FnOnce(&mut Balancer) -> T) -> Option<T> {
        lock(&self.balances).get_mut(service).map(f)
    }

    /// Works on the engines of a service.
    pub fn with_pool<T>(&self, service: &str, f: impl FnOnce(&mut Pool) -> T) -> Option<T> {
        lock(&self.pools).pools.get_mut(service).map(f)
    }

    /// Works on all pools.
    pub fn each_pool(&self, mut f: impl FnMut(&mut Pool)) {
        lock(&self.pools).pools.values_mut().for_each(&mut f);
    }

    /// Works on the buckets.
    pub fn with_quota<T>(&self, f: impl FnOnce(&mut Quota) -> T) -> T {
        f(&mut lock(&self.quota))
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&self, now: Instant, service: &Arc<str>) {
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Takes one repeat to a service.
    pub fn take_repeat(&self, now: Instant, service: &Arc<str>) -> bool {
        let hosts = self.share().hosts;
        let taken = self.with_budget(service, |budget| budget.take(now, hosts));
        if !taken {
            log::debug!("call: no repeat left for service={service}");
        }
        taken
    }

    fn with_budget<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let rules = self.limits().repeats;
        let mut budgets = lock(&self.budgets);
        let fresh = || RetryBudget::new(rules);
        f(budgets.entry(service.clone()).or_insert_with(fresh))
    }
}

fn homes(layout: &Option<Arc<Layout>>, engines: &[Arc<Upstream>]) -> Option<HashSet<Arc<str>>> {
    layout.as_ref().and_then(|layout| layout.homes(engines))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}
