//! A fleet of several hosts in one process, with their engines and the platform's store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Document, Patch, Settings, UpstreamKind};
use rosemarypitch_gateway::{Host, HostDeps, HostHandler, Metrics, PatchOutcome};
use rosemarypitch_limit::HostId;
use rosemarypitch_route::PoolRules;
use rosemarypitch_standin::{
    Engine, EngineNet, EngineShape, LocalEngines, LocalNet, MemoryStore, RunState, StoreClient,
    StoreFaults,
};
use rosemarypitch_upstream::{HttpClient, ServiceClient};
use serde_json::json;
use tokio::sync::watch;

/// Staleness of the store's list of leases.
const LIST_LAG: Duration = Duration::from_millis(500);
/// Port of the first host's address; used only as a name, nothing listens there.
const FIRST_HOST_PORT: u16 = 1_000;
/// Maximum time until a host has a configuration in force.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Specification of a host.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Unique name of the host.
    pub name: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
}

/// Specification of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the engine's upstream in the configuration.
    pub name: Arc<str>,
    /// Performance and capacity.
    pub shape: EngineShape,
}

/// Specification of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Hosts to start.
    pub hosts: Vec<HostSpec>,
    /// Engines to start; `document` has an upstream of the same name for each.
    pub engines: Vec<EngineSpec>,
    /// Initial configuration.
    pub document: Document,
    /// One-way network delay within a data centre.
    pub local_delay: Duration,
    /// One-way network delay between data centres.
    pub remote_delay: Duration,
    /// Overrides of the settings of all hosts, as `path=value`.
    pub overrides: Vec<String>,
    /// Rules of the engine pools; none uses those of the settings.
    pub rules: Option<PoolRules>,
}

/// A host of a running fleet.
pub struct Member {
    /// The production host.
    pub host: Arc<Host>,
    /// The host's client of the store, with injected faults.
    pub store_client: Arc<StoreClient>,
    /// Address at which peers call the host.
    pub address: SocketAddr,
    run_state: watch::Sender<RunState>,
}

/// A running fleet of hosts and engines, with the platform's store.
pub struct Fleet {
    /// Network between the hosts.
    pub net: LocalNet,
    /// The platform's key-value store.
    pub store: MemoryStore,
    /// Hosts, in the order of the specification.
    pub members: Vec<Member>,
    /// Engines by name.
    pub engines: HashMap<Arc<str>, Arc<Engine>>,
    engine_net: Arc<EngineNet>,
    spec: FleetSpec,
    incarnations: u64,
    services: ServiceClient,
}

impl Fleet {
    /// Starts all hosts and applies the initial configuration.
    ///
    /// # Panics
    ///
    /// When the document is rejected, or a host doesn't apply it within a minute. Either means
    /// that the specification is wrong.
    pub async fn start(spec: FleetSpec) -> Self {
        let mut fleet = Self::without_hosts(spec);
        for index in 0..fleet.spec.hosts.len() {
            let member = fleet.start_member(index);
            fleet.members.push(member);
        }
        let value = serde_json::to_value(&fleet.spec.document).expect("a document is JSON");
        let config_sync = fleet.members[0].host.config_sync.clone();
        let outcome = config_sync.patch(Patch::Merge(value), 0, Arc::from("first")).await;
        assert!(matches!(outcome, PatchOutcome::Accepted(_)), "{outcome:?}");
        fleet.wait_for_config(1).await;
        fleet
    }

    /// Creates the engines, the networks and the store, without any host.
    fn without_hosts(spec: FleetSpec) -> Self {
        let mut engines = HashMap::new();
        let mut net = EngineNet::default();
        for engine in &spec.engines {
            let upstream = &spec.document.upstreams[&engine.name];
            let prefill = matches!(upstream.kind, UpstreamKind::Prefill { .. });
            let shape = EngineShape { prefill, ..engine.shape.clone() };
            let running = Engine::new(shape);
            engines.insert(engine.name.clone(), running.clone());
            net.insert(upstream.address, upstream.data_centre.clone(), running);
        }
        let tls = rustls::ClientConfig::builder_with_provider(Arc::new(
            rustls::crypto::ring::default_provider(),
        ))
        .with_safe_default_protocol_versions()
        .expect("default versions")
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
        Self {
            net: LocalNet::new(spec.local_delay, spec.remote_delay),
            store: MemoryStore::new(LIST_LAG),
            members: Vec::new(),
            engines,
            engine_net: Arc::new(net),
            incarnations: 0,
            services: ServiceClient::new(HttpClient::new(Arc::new(tls))),
            spec,
        }
    }

    /// Starts a new incarnation of a host and connects it to the networks and the store.
    fn start_member(&mut self, index: usize) -> Member {
        let spec = &self.spec.hosts[index];
        self.incarnations += 1;
        let id = HostId { host: spec.name.clone(), incarnation: self.incarnations };
        let address = host_address(index);
        let (run_state, run_state_receiver) = watch::channel(RunState::Running);
        let settings = settings(spec, address, &self.spec.overrides);
        let link = self.net.join(
            address,
            id.clone(),
            spec.data_centre.clone(),
            run_state_receiver.clone(),
        );
        let store_client = self.store.client(&spec.name);
        let engines = LocalEngines::new(
            self.engine_net.clone(),
            spec.data_centre.clone(),
            self.spec.local_delay,
            run_state_receiver,
        );
        let host = Host::start(HostDeps {
            settings: Arc::new(settings),
            id,
            address,
            store: store_client.clone(),
            transport: link,
            engines: Arc::new(engines),
            services: self.services.clone(),
            metrics: Arc::new(Metrics::new()),
            pool_rules: self.spec.rules.clone(),
        });
        self.net.set_handler(address, Arc::new(HostHandler(host.clone())));
        Member { host, store_client, address, run_state }
    }

    /// Waits until every live host has at least configuration `number` in force.
    ///
    /// # Panics
    ///
    /// When a host doesn't within a minute.
    pub async fn wait_for_config(&self, number: u64) {
        let start = tokio::time::Instant::now();
        let live = self.members.iter().filter(|member| !member.is_dead());
        for member in live {
            while member.host.snapshot().number() < number {
                assert!(
                    start.elapsed() < READY_TIMEOUT,
                    "a host does not have configuration {number} in force after a minute"
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Kills a host, whose tasks stay in the process but can no longer send or receive.
    pub fn kill(&self, index: usize) {
        let member = &self.members[index];
        member.run_state.send_replace(RunState::Dead);
        member.store_client.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    }

    /// Replaces a host with a new incarnation.
    pub fn restart(&mut self, index: usize) {
        let member = self.start_member(index);
        self.members[index] = member;
    }

    /// Pauses or resumes a host; calls between it and peers or engines wait during a pause.
    pub fn set_paused(&self, index: usize, paused: bool) {
        let run_state = if paused { RunState::Paused } else { RunState::Running };
        self.members[index].run_state.send_replace(run_state);
    }

    /// Partitions a data centre from all others and from the store, or heals the partition.
    pub fn set_partitioned(&self, data_centre: &str, partitioned: bool) {
        self.engine_net.set_partitioned(data_centre, partitioned);
        let inside = |member: &&Member| &*member.host.settings.data_centre == data_centre;
        for member in self.members.iter().filter(inside) {
            for other in self.members.iter().filter(|other| !inside(other)) {
                self.net.set_partitioned(member.address, other.address, partitioned);
            }
            member
                .store_client
                .set_faults(StoreFaults { down: partitioned, ..StoreFaults::default() });
        }
    }

    /// Sets the same store faults for all live hosts.
    pub fn set_platform_faults(&self, faults: StoreFaults) {
        for member in self.members.iter().filter(|member| !member.is_dead()) {
            member.store_client.set_faults(faults);
        }
    }

    /// Number of attempts that run or hold memory on any engine.
    pub fn work_count(&self) -> usize {
        self.engines.values().map(|engine| engine.work().len()).sum()
    }
}

impl Member {
    /// Whether the host was killed.
    pub fn is_dead(&self) -> bool {
        *self.run_state.borrow() == RunState::Dead
    }
}

fn host_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_HOST_PORT + index as u16))
}

fn settings(spec: &HostSpec, address: SocketAddr, overrides: &[String]) -> Settings {
    let value = json!({
        "host": spec.name,
        "data_centre": spec.data_centre,
        "region": spec.region,
        "callers": { "listen": "127.0.0.1:0" },
        "operators": { "listen": "127.0.0.1:0" },
        "peers": { "listen": address, "secret": "secret-of-the-experiment" },
        "platform": { "address": "127.0.0.1:1" },
    });
    Settings::parse(&value.to_string(), overrides).expect("the settings are right")
}
