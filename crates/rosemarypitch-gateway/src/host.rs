//! The parts of one entry host, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rosemarypitch_config::{Caller, Digest, Settings, Snapshot, StaleConfigPolicy};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{Link, Members, MembersRules, Sighting};
use rosemarypitch_route::{AttemptId, PoolRules};
use rosemarypitch_store::Store;
use rosemarypitch_upstream::{Engines, Services};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::claims::Claims;
use crate::cleanup::Cleanup;
use crate::config_sync::{ConfigState, ConfigSync, ConfigSyncParts};
use crate::handover;
use crate::limits::Limits;
use crate::membership::{Membership, MembershipParts};
use crate::metrics::Metrics;
use crate::pools::{PoolOptions, Pools, PoolsParts};
use crate::problem::{Problem, ProblemKind};
use crate::running_attempts::RunningAttempts;
use crate::service_call::Servers;
use crate::shares::{self, SharesParts};
use crate::view::View;

/// Time between polls of an engine.
const ENGINE_POLL: Duration = Duration::from_secs(1);

/// What a host is made of.
pub struct Parts {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// This host run.
    pub id: HostId,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// Calls to peers.
    pub link: Arc<dyn Link>,
    /// Calls to engines.
    pub engines: Arc<dyn Engines>,
    /// Calls to plain services.
    pub services: Services,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Rules of pools; none takes the default ones.
    pub rules: Option<PoolRules>,
}

/// One entry host.
pub struct Host {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// This host run.
    pub id: HostId,
    /// Keeps the configuration.
    pub keeper: ConfigSync,
    /// Configuration in force.
    pub config: watch::Receiver<ConfigState>,
    /// Exchanges heartbeats.
    pub membership: Membership,
    /// Who is there.
    pub view: watch::Receiver<Arc<View>>,
    /// Debits and lends limits.
    pub limits: Limits,
    /// Runs owned pools.
    pub pools: Pools,
    /// Claims idempotency keys.
    pub claims: Claims,
    /// Calls to peers.
    pub link: Arc<dyn Link>,
    /// Calls to engines.
    pub engines: Arc<dyn Engines>,
    /// Calls to plain services.
    pub services: Services,
    /// What is known of plain services' servers.
    pub servers: Servers,
    /// Cleans up after requests.
    pub reaper: Cleanup,
    /// Attempts of this host.
    pub running: Arc<RunningAttempts>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    leave: watch::Sender<bool>,
    shares: tokio::sync::Mutex<Option<tokio::task::JoinHandle<()>>>,
    requests: AtomicU64,
}

impl Host {
    /// Starts a host's actors on the present runtime.
    pub fn start(parts: Parts) -> Arc<Self> {
        let Parts { settings, id, address, store, link, engines, services, metrics, rules } = parts;
        let own = sighting(&settings, &id, address);
        let (view_out, view) = watch::channel(Arc::new(View {
            own: own.clone(),
            live: vec![own.clone()],
            peers: Vec::new(),
        }));
        let (keeper, config) = ConfigSync::start(ConfigSyncParts {
            store: store.clone(),
            link: link.clone(),
            view: view.clone(),
            metrics: metrics.clone(),
        });
        let reaper = Cleanup::new(engines.clone(), link.clone(), metrics.clone());
        let running = Arc::new(RunningAttempts::default());
        let (pools, queue) = Pools::channel();
        let silence = settings.peers.silence;
        let rules = rules.unwrap_or_default();
        pools.start(
            PoolsParts {
                id: id.clone(),
                region: settings.region.clone(),
                options: PoolOptions { rules, poll_interval: ENGINE_POLL, host_timeout: silence },
                config: config.clone(),
                view: view.clone(),
                link: link.clone(),
                engines: engines.clone(),
                cleanup: reaper.clone(),
                running: running.clone(),
                metrics: metrics.clone(),
            },
            queue,
        );
        let heartbeat = settings.peers.heartbeat;
        let membership = Membership::start(MembershipParts {
            members: Members::new(own, MembersRules { heartbeat, silence }),
            link: link.clone(),
            store: store.clone(),
            heartbeat,
            seeds: settings.peers.seeds.clone(),
            config_sync: keeper.clone(),
            config: config.clone(),
            pools: pools.clone(),
            view: view_out,
            metrics: metrics.clone(),
        });
        let limits = Limits::start(id.clone(), link.clone(), view.clone(), config.clone());
        let leave = watch::Sender::new(false);
        let shares = tokio::spawn(shares::run(SharesParts {
            id: id.clone(),
            data_centre: settings.data_centre.clone(),
            tenure: settings.tenure,
            store: store.clone(),
            limits: limits.clone(),
            membership: membership.clone(),
            config: config.clone(),
            view: view.clone(),
            leave: leave.subscribe(),
            metrics: metrics.clone(),
        }));
        tokio::spawn(handover::run(view.clone(), running.clone(), pools.clone(), link.clone()));
        let claims = Claims::new(id.clone(), store, link.clone(), view.clone());
        Arc::new(Self {
            settings,
            id,
            keeper,
            config,
            membership,
            view,
            limits,
            pools,
            claims,
            link,
            engines,
            services,
            servers: Servers::default(),
            reaper,
            running,
            metrics,
            leave,
            shares: tokio::sync::Mutex::new(Some(shares)),
            requests: AtomicU64::new(0),
        })
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.config.borrow().snapshot.clone()
    }

    /// Whether callers may be served.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_ready() && !*self.leave.borrow()
    }

    /// The customer of a key, if the key is in force.
    pub fn authenticate(&self, key: &str) -> Result<Caller, Problem> {
        self.check_key(&Digest::of(key))
    }

    /// The customer of a key's digest, if the key is in force.
    pub fn check_key(&self, digest: &Digest) -> Result<Caller, Problem> {
        let state = self.config.borrow().clone();
        if let StaleConfigPolicy::Refuse(after) = self.settings.cut_off
            && state.age(Instant::now()) > after
        {
            let detail = "keys cannot be checked: this data centre is cut off";
            return Err(Problem::new(ProblemKind::Unavailable, detail));
        }
        let unknown = || Problem::new(ProblemKind::BadKey, "the key is unknown or withdrawn");
        state.snapshot.caller_of(digest).ok_or_else(unknown)
    }

    /// Waits until a key is not in force any more.
    pub async fn until_withdrawn(&self, digest: &Digest) {
        let mut config = self.config.clone();
        while config.borrow_and_update().snapshot.caller_of(digest).is_some() {
            if config.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// The first attempt of a new request.
    pub fn next_attempt(&self) -> AttemptId {
        AttemptId {
            host: self.id.host.clone(),
            incarnation: self.id.incarnation,
            request: self.requests.fetch_add(1, Ordering::Relaxed) + 1,
            attempt: 1,
        }
    }

    /// Leaves the fleet: peers are told, waiting requests and limits are handed over.
    ///
    /// Requests under way go on; the caller waits for them.
    pub async fn leave(&self) {
        self.membership.leave().await;
        self.pools.close().await;
        self.limits.close().await;
        self.leave.send_replace(true);
        if let Some(task) = self.shares.lock().await.take()
            && let Err(error) = task.await
        {
            log::error!("shares: task failed: {error}");
        }
    }
}

fn sighting(settings: &Settings, id: &HostId, address: SocketAddr) -> Sighting {
    Sighting {
        id: id.clone(),
        address,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        number: 0,
        leaving: false,
        shares: 0,
        age_ms: 0,
        config_age_ms: 0,
    }
}
