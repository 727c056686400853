//! Assembles the actors and clients of one entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rosemarypitch_config::{Caller, Digest, Settings, Snapshot, StaleConfigPolicy};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{HostInfo, MemberTable, MembershipTimings, PeerTransport};
use rosemarypitch_route::{AttemptId, PoolRules};
use rosemarypitch_store::Store;
use rosemarypitch_upstream::{EngineClient, ServiceClient};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::claims::Claims;
use crate::cleanup::Cleanup;
use crate::config_sync::{ConfigState, ConfigSync, ConfigSyncDeps};
use crate::handover;
use crate::limits::Limits;
use crate::membership::{Membership, MembershipDeps};
use crate::metrics::Metrics;
use crate::pools::{PoolOptions, Pools, PoolsDeps};
use crate::problem::{Problem, ProblemKind};
use crate::running_attempts::RunningAttempts;
use crate::service_call::Servers;
use crate::shares::{self, SharesDeps};
use crate::view::View;

/// Interval at which a pool owner polls an engine.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Dependencies of a host.
pub struct HostDeps {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Host name and incarnation of this process.
    pub id: HostId,
    /// Address at which peers connect.
    pub address: SocketAddr,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Client for calls to peers.
    pub transport: Arc<dyn PeerTransport>,
    /// Client for calls to engines.
    pub engines: Arc<dyn EngineClient>,
    /// Client for calls to plain services.
    pub services: ServiceClient,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Scheduling rules of owned pools; `None` means the default.
    pub pool_rules: Option<PoolRules>,
}

/// Running entry host, shared by its actors and by the tasks of its requests.
pub struct Host {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Host name and incarnation of this process.
    pub id: HostId,
    /// Handle to the actor that synchronizes the configuration.
    pub config_sync: ConfigSync,
    /// Active configuration and how recently it was confirmed.
    pub config: watch::Receiver<ConfigState>,
    /// Handle to the actor that exchanges heartbeats.
    pub membership: Membership,
    /// Current membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Handle to the actor that debits customers' limits and lends limit shares.
    pub limits: Limits,
    /// Handle to the actor that runs the owned pools.
    pub pools: Pools,
    /// Client for claims of idempotency keys.
    pub claims: Claims,
    /// Client for calls to peers.
    pub transport: Arc<dyn PeerTransport>,
    /// Client for calls to engines.
    pub engines: Arc<dyn EngineClient>,
    /// Client for calls to plain services.
    pub services: ServiceClient,
    /// Load and recent failures of the servers of plain services.
    pub servers: Servers,
    /// Runs the cleanup of finished requests in the background.
    pub cleanup: Cleanup,
    /// Table of the attempts that this host runs.
    pub running: Arc<RunningAttempts>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    leaving: watch::Sender<bool>,
    shares_task: tokio::sync::Mutex<Option<tokio::task::JoinHandle<()>>>,
    request_count: AtomicU64,
}

impl Host {
    /// Spawns the host's actors on the current runtime.
    pub fn start(deps: HostDeps) -> Arc<Self> {
        let HostDeps {
            settings,
            id,
            address,
            store,
            transport,
            engines,
            services,
            metrics,
            pool_rules,
        } = deps;
        let own = own_info(&settings, &id, address);
        let (view_sender, view) = watch::channel(Arc::new(View {
            own: own.clone(),
            live: vec![own.clone()],
            peers: Vec::new(),
        }));
        let (config_sync, config) = ConfigSync::start(ConfigSyncDeps {
            store: store.clone(),
            transport: transport.clone(),
            view: view.clone(),
            metrics: metrics.clone(),
        });
        let cleanup = Cleanup::new(engines.clone(), transport.clone(), metrics.clone());
        let running = Arc::new(RunningAttempts::default());
        let (pools, queue) = Pools::channel();
        let silence = settings.peers.silence;
        let rules = pool_rules.unwrap_or_default();
        pools.start(
            PoolsDeps {
                id: id.clone(),
                region: settings.region.clone(),
                options: PoolOptions {
                    rules,
                    poll_interval: ENGINE_POLL_INTERVAL,
                    host_timeout: silence,
                },
                config: config.clone(),
                view: view.clone(),
                transport: transport.clone(),
                engines: engines.clone(),
                cleanup: cleanup.clone(),
                running: running.clone(),
                metrics: metrics.clone(),
            },
            queue,
        );
        let heartbeat = settings.peers.heartbeat;
        let membership = Membership::start(MembershipDeps {
            members: MemberTable::new(
                own,
                MembershipTimings { heartbeat_interval: heartbeat, timeout: silence },
            ),
            transport: transport.clone(),
            store: store.clone(),
            heartbeat,
            seeds: settings.peers.seeds.clone(),
            config_sync: config_sync.clone(),
            config: config.clone(),
            pools: pools.clone(),
            view: view_sender,
            metrics: metrics.clone(),
        });
        let limits = Limits::start(id.clone(), transport.clone(), view.clone(), config.clone());
        let leaving = watch::Sender::new(false);
        let shares_task = tokio::spawn(shares::run(SharesDeps {
            id: id.clone(),
            data_centre: settings.data_centre.clone(),
            tenure: settings.tenure,
            store: store.clone(),
            limits: limits.clone(),
            membership: membership.clone(),
            config: config.clone(),
            view: view.clone(),
            leave: leaving.subscribe(),
            metrics: metrics.clone(),
        }));
        tokio::spawn(handover::run(
            view.clone(),
            running.clone(),
            pools.clone(),
            transport.clone(),
        ));
        let claims = Claims::new(id.clone(), store, transport.clone(), view.clone());
        Arc::new(Self {
            settings,
            id,
            config_sync,
            config,
            membership,
            view,
            limits,
            pools,
            claims,
            transport,
            engines,
            services,
            servers: Servers::default(),
            cleanup,
            running,
            metrics,
            leaving,
            shares_task: tokio::sync::Mutex::new(Some(shares_task)),
            request_count: AtomicU64::new(0),
        })
    }

    /// Returns the active configuration.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.config.borrow().snapshot.clone()
    }

    /// Returns whether callers may be served.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_ready() && !*self.leaving.borrow()
    }

    /// Returns the caller to whom a key belongs.
    ///
    /// # Errors
    ///
    /// Fails if the key is unknown or revoked, and if the settings require keys to be refused
    /// while the configuration is too old.
    pub fn authenticate(&self, key: &str) -> Result<Caller, Problem> {
        self.check_key(&Digest::of(key))
    }

    /// Returns the caller to whom the key with this digest belongs.
    ///
    /// # Errors
    ///
    /// As for [`Host::authenticate`].
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

    /// Waits until a key is no longer valid.
    pub async fn until_revoked(&self, digest: &Digest) {
        let mut config = self.config.clone();
        while config.borrow_and_update().snapshot.caller_of(digest).is_some() {
            if config.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Allocates a request number and returns its first attempt.
    pub fn first_attempt(&self) -> AttemptId {
        AttemptId {
            host: self.id.host.clone(),
            incarnation: self.id.incarnation,
            request: self.request_count.fetch_add(1, Ordering::Relaxed) + 1,
            attempt: 1,
        }
    }

    /// Announces to the peers that this host is leaving, rejects queued requests so that their
    /// hosts choose another pool owner, and returns and releases limit shares.
    ///
    /// Running requests continue; the caller of this function must wait for them.
    pub async fn leave(&self) {
        self.membership.leave().await;
        self.pools.close().await;
        self.limits.close().await;
        self.leaving.send_replace(true);
        if let Some(task) = self.shares_task.lock().await.take()
            && let Err(error) = task.await
        {
            log::error!("shares: task failed: {error}");
        }
    }
}

fn own_info(settings: &Settings, id: &HostId, address: SocketAddr) -> HostInfo {
    HostInfo {
        id: id.clone(),
        address,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        config_number: 0,
        leaving: false,
        shares: 0,
        age_ms: 0,
        config_age_ms: 0,
    }
}
