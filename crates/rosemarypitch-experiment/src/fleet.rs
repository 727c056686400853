//! Several hosts, their engines and their platform inside one process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Document, Patch, Settings, UpstreamKind};
use rosemarypitch_gateway::{Host, HostHandler, HostParts, Metrics, PatchOutcome};
use rosemarypitch_limit::HostId;
use rosemarypitch_route::PoolRules;
use rosemarypitch_standin::{
    Engine, EngineNet, EngineShape, Gate, LocalEngines, LocalNet, MemoryStore, Port, PortFaults,
};
use rosemarypitch_upstream::{Client, Services};
use serde_json::json;
use tokio::sync::watch;

/// Age of the platform's list.
const LIST_LAG: Duration = Duration::from_millis(500);
/// First port of hosts' addresses; nothing listens there.
const HOST_PORTS: u16 = 1_000;
/// Longest wait for all hosts to be ready.
const READY_TIME: Duration = Duration::from_secs(60);

/// A host of a fleet.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Region of its data centre.
    pub region: Arc<str>,
}

/// A model engine of a fleet.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// Its speeds and sizes.
    pub shape: EngineShape,
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Hosts.
    pub hosts: Vec<HostSpec>,
    /// Engines; each is in the document by name.
    pub engines: Vec<EngineSpec>,
    /// The first configuration.
    pub document: Document,
    /// One-way delay inside a data centre.
    pub near: Duration,
    /// One-way delay between data centres.
    pub far: Duration,
    /// Further settings of all hosts, as `path=value`.
    pub overrides: Vec<String>,
    /// Rules of pools; none takes those of the settings.
    pub rules: Option<PoolRules>,
}

/// A host of a running fleet.
pub struct Member {
    /// The host.
    pub host: Arc<Host>,
    /// Its path to the platform.
    pub port: Arc<Port>,
    /// Where peers reach it.
    pub address: SocketAddr,
    gate: watch::Sender<Gate>,
}

/// Several hosts, their engines and their platform.
pub struct Fleet {
    /// The network between hosts.
    pub net: LocalNet,
    /// The platform.
    pub store: MemoryStore,
    /// Hosts, by their place in the specification.
    pub members: Vec<Member>,
    /// Engines by name.
    pub engines: HashMap<Arc<str>, Arc<Engine>>,
    engine_net: Arc<EngineNet>,
    spec: FleetSpec,
    incarnations: u64,
    services: Services,
}

impl Fleet {
    /// Starts all hosts and puts the first configuration into force.
    ///
    /// # Panics
    ///
    /// When the document is refused or a host does not become ready; the specification is
    /// wrong then.
    pub async fn start(spec: FleetSpec) -> Self {
        let mut fleet = Self::idle(spec);
        for index in 0..fleet.spec.hosts.len() {
            let member = fleet.start_member(index);
            fleet.members.push(member);
        }
        let value = serde_json::to_value(&fleet.spec.document).expect("a document is JSON");
        let keeper = fleet.members[0].host.config_sync.clone();
        let outcome = keeper.patch(Patch::Merge(value), 0, Arc::from("first")).await;
        assert!(matches!(outcome, PatchOutcome::Accepted(_)), "{outcome:?}");
        fleet.until_number(1).await;
        fleet
    }

    fn idle(spec: FleetSpec) -> Self {
        let mut engines = HashMap::new();
        let mut net = EngineNet::default();
        for engine in &spec.engines {
            let upstream = &spec.document.upstreams[&engine.name];
            let prefill = matches!(upstream.kind, UpstreamKind::Prefill { .. });
            let shape = EngineShape { prefill, ..engine.shape.clone() };
            let started = Engine::new(shape);
            engines.insert(engine.name.clone(), started.clone());
            net.insert(upstream.address, upstream.data_centre.clone(), started);
        }
        let tls = rustls::ClientConfig::builder_with_provider(Arc::new(
            rustls::crypto::ring::default_provider(),
        ))
        .with_safe_default_protocol_versions()
        .expect("default versions")
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
        Self {
            net: LocalNet::new(spec.near, spec.far),
            store: MemoryStore::new(LIST_LAG),
            members: Vec::new(),
            engines,
            engine_net: Arc::new(net),
            incarnations: 0,
            services: Services::new(Client::new(Arc::new(tls))),
            spec,
        }
    }

    fn start_member(&mut self, index: usize) -> Member {
        let spec = &self.spec.hosts[index];
        self.incarnations += 1;
        let id = HostId { host: spec.name.clone(), incarnation: self.incarnations };
        let address = host_address(index);
        let (gate, gated) = watch::channel(Gate::Open);
        let settings = settings(spec, address, &self.spec.overrides);
        let link = self.net.join(address, id.clone(), spec.data_centre.clone(), gated.clone());
        let port = self.store.port(&spec.name);
        let engines = LocalEngines::new(
            self.engine_net.clone(),
            spec.data_centre.clone(),
            self.spec.near,
            gated,
        );
        let host = Host::start(HostParts {
            settings: Arc::new(settings),
            id,
            address,
            store: port.clone(),
            link,
            engines: Arc::new(engines),
            services: self.services.clone(),
            metrics: Arc::new(Metrics::new()),
            pool_rules: self.spec.rules.clone(),
        });
        self.net.set_handler(address, Arc::new(HostHandler(host.clone())));
        Member { host, port, address, gate }
    }

    /// Waits until all hosts that are not dead have a configuration number in force.
    ///
    /// # Panics
    ///
    /// When a host has not after a minute.
    pub async fn until_number(&self, number: u64) {
        let begun = tokio::time::Instant::now();
        let alive = self.members.iter().filter(|member| !member.is_dead());
        for member in alive {
            while member.host.snapshot().number() < number {
                assert!(begun.elapsed() < READY_TIME, "a host did not become ready");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Kills a host: nothing of it gets out any more.
    pub fn kill(&self, index: usize) {
        let member = &self.members[index];
        member.gate.send_replace(Gate::Dead);
        member.port.set_faults(PortFaults { down: true, ..PortFaults::default() });
    }

    /// Starts a new run of a host.
    pub fn restart(&mut self, index: usize) {
        let member = self.start_member(index);
        self.members[index] = member;
    }

    /// Pauses a host, or lets it go on.
    pub fn set_paused(&self, index: usize, paused: bool) {
        let gate = if paused { Gate::Paused } else { Gate::Open };
        self.members[index].gate.send_replace(gate);
    }

    /// Cuts a data centre off from all others and from the platform, or not.
    pub fn set_cut(&self, data_centre: &str, cut: bool) {
        self.engine_net.set_cut(data_centre, cut);
        let inside = |member: &&Member| &*member.host.settings.data_centre == data_centre;
        for member in self.members.iter().filter(inside) {
            for other in self.members.iter().filter(|other| !inside(other)) {
                self.net.set_cut(member.address, other.address, cut);
            }
            member.port.set_faults(PortFaults { down: cut, ..PortFaults::default() });
        }
    }

    /// Sets the same faults on all paths to the platform.
    pub fn set_platform(&self, faults: PortFaults) {
        for member in self.members.iter().filter(|member| !member.is_dead()) {
            member.port.set_faults(faults);
        }
    }

    /// Attempts that any engine holds something for.
    pub fn held(&self) -> usize {
        self.engines.values().map(|engine| engine.work().len()).sum()
    }
}

impl Member {
    /// Whether the host was killed.
    pub fn is_dead(&self) -> bool {
        *self.gate.borrow() == Gate::Dead
    }
}

fn host_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], HOST_PORTS + index as u16))
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
