//! Measures the control plane's cost per host, by size of the fleet.
//!
//! Whole hosts run on a paused clock under a load that exercises rate-limit debits, engine
//! placement, gossip and loans between shares. Messages and bytes are counted where they
//! leave a host, store calls where they arrive, CPU time and memory for the whole process.
//! CPU time includes the stand-ins and the requests themselves, so it is an upper bound on
//! the control plane's.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_config::{
    Class, Customer, Digest, Document, Limit, Model, Target, Upstream, UpstreamKind, UpstreamState,
};
use rosemarypitch_gateway::{Completion, CompletionRequest};
use rosemarypitch_standin::{EngineShape, TrafficCounts};
use tokio::runtime;
use tokio::time::Instant;

use crate::fleet::{EngineSpec, Fleet, FleetSpec, HostSpec};
use crate::plan::PlanError;

/// Number of data centres, two in each region.
const DATA_CENTRES: usize = 6;
/// Ratio of engines to hosts.
const ENGINES_PER_HOST: f64 = 640.0 / 420.0;
/// Number of models.
const MODELS: usize = 4;
/// Time under load before the measurement.
const WARM_UP: Duration = Duration::from_secs(30);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Number of rate-limit shares per data centre.
const SHARES: u32 = 4;
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Port of the first engine's address; used only as a name, nothing listens there.
const FIRST_ENGINE_PORT: u16 = 10_000;

/// Size and load of the fleet to measure.
#[derive(Clone, Copy, Debug)]
pub struct ControlCostPlan {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of customers.
    pub customers: usize,
    /// Requests per second on each host; 0 sends no load.
    pub rate: f64,
    /// Heartbeat interval, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Measured cost of the control plane; counts are per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Messages sent per host, mean over the hosts.
    pub messages: f64,
    /// Messages sent by the busiest host.
    pub max_messages: f64,
    /// Bytes sent per host, mean over the hosts.
    pub bytes: f64,
    /// Bytes sent by the busiest host.
    pub max_bytes: f64,
    /// Store reads by all hosts.
    pub platform_reads: f64,
    /// Store writes by all hosts.
    pub platform_writes: f64,
    /// CPU time of the process per host, as a fraction of a core.
    pub cpu: f64,
    /// Growth of the process's resident memory per host, in kilobytes.
    pub memory_kb: u64,
}

/// Runs a fleet of the plan's size on a paused clock and measures it.
///
/// # Errors
///
/// When the runtime can't be built.
pub fn measure_control_cost(plan: &ControlCostPlan) -> Result<ControlCost, PlanError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.map_err(|error| PlanError(error.to_string()))?;
    Ok(runtime.block_on(measure_fleet(plan)))
}

async fn measure_fleet(plan: &ControlCostPlan) -> ControlCost {
    let before_kb = resident_kb();
    let fleet = Arc::new(Fleet::start(fleet_spec(plan)).await);
    let load = tokio::spawn(send_load(fleet.clone(), *plan));
    tokio::time::sleep(WARM_UP).await;
    let traffic = |fleet: &Fleet| -> Vec<TrafficCounts> {
        fleet.members.iter().map(|member| fleet.net.traffic(member.address)).collect()
    };
    let (before, calls_before, ticks_before) = (traffic(&fleet), fleet.store.counts(), cpu_ticks());
    tokio::time::sleep(MEASURE_TIME).await;
    let (after, calls_after, ticks_after) = (traffic(&fleet), fleet.store.counts(), cpu_ticks());
    load.abort();
    let seconds = MEASURE_TIME.as_secs_f64();
    let hosts = plan.hosts as f64;
    let per_host = |count: fn(&TrafficCounts) -> u64| -> Vec<f64> {
        let pairs = before.iter().zip(&after);
        pairs.map(|(before, after)| (count(after) - count(before)) as f64 / seconds).collect()
    };
    let (messages, bytes) = (per_host(|count| count.messages), per_host(|count| count.bytes));
    let mean = |values: &[f64]| values.iter().sum::<f64>() / hosts;
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    ControlCost {
        messages: mean(&messages),
        max_messages: max(&messages),
        bytes: mean(&bytes),
        max_bytes: max(&bytes),
        platform_reads: (calls_after.reads - calls_before.reads) as f64 / seconds,
        platform_writes: (calls_after.writes - calls_before.writes) as f64 / seconds,
        cpu: (ticks_after - ticks_before) as f64 / TICKS_PER_SECOND / seconds / hosts,
        memory_kb: resident_kb().saturating_sub(before_kb) / plan.hosts as u64,
    }
}

/// Sends short requests through random hosts, at the plan's rate per host on average.
async fn send_load(fleet: Arc<Fleet>, plan: ControlCostPlan) {
    if plan.rate <= 0.0 {
        return;
    }
    let mut random = StdRng::seed_from_u64(7);
    let interval = Duration::from_secs_f64(1.0 / (plan.rate * plan.hosts as f64));
    let mut due = Instant::now();
    loop {
        due += interval;
        tokio::time::sleep_until(due).await;
        let host = fleet.members[random.random_range(0..plan.hosts)].host.clone();
        let customer = customer_name(random.random_range(0..plan.customers));
        let Ok(caller) = host.authenticate(&customer) else { continue };
        let model = model_name(random.random_range(0..MODELS));
        let text = format!("{:x} ", random.random::<u64>()).repeat(60);
        let request =
            CompletionRequest { caller, model, prompt: Arc::from(text), max_output: Some(10) };
        let mut completion = Completion::start(host, request);
        tokio::spawn(async move { while completion.next().await.is_some() {} });
    }
}

fn fleet_spec(plan: &ControlCostPlan) -> FleetSpec {
    let engines = ((plan.hosts as f64 * ENGINES_PER_HOST) as usize).max(3 * MODELS * DATA_CENTRES);
    let shape = EngineShape { step_us: 2_000, step_each_us: 100, ..EngineShape::default() };
    let host = |index: usize| HostSpec {
        name: Arc::from(format!("host-{index}")),
        data_centre: data_centre(index),
        region: Arc::from(format!("region-{}", index % DATA_CENTRES / 2)),
    };
    let upstreams: BTreeMap<Arc<str>, Upstream> = (0..engines).map(upstream).collect();
    let names = upstreams.keys();
    FleetSpec {
        hosts: (0..plan.hosts).map(host).collect(),
        engines: names
            .map(|name| EngineSpec { name: name.clone(), shape: shape.clone() })
            .collect(),
        document: document(plan, upstreams),
        local_delay: Duration::from_micros(100),
        remote_delay: Duration::from_millis(1),
        overrides: vec![
            format!("peers.heartbeat_ms={}", plan.heartbeat_ms),
            format!("peers.silence_ms={}", plan.heartbeat_ms * 5),
        ],
        rules: None,
    }
}

fn document(plan: &ControlCostPlan, upstreams: BTreeMap<Arc<str>, Upstream>) -> Document {
    let model =
        Model { token_bytes: 4, max_prompt: 64_000, max_output: 4_000, default_output: 200 };
    let customer = |index: usize| {
        let name = customer_name(index);
        let keys = BTreeMap::from([(Digest::of(&name), Default::default())]);
        let limit = Limit { rate: 10_000_000, burst: 10_000_000 };
        (name, Customer { class: Class::Short, limit, keys, active: true })
    };
    Document {
        customers: (0..plan.customers).map(customer).collect(),
        models: (0..MODELS).map(|index| (model_name(index), model.clone())).collect(),
        classes: BTreeMap::from([(Class::Short, Target::default())]),
        upstreams,
        regions: (0..DATA_CENTRES / 2)
            .map(|index| {
                (
                    Arc::from(format!("region-{index}")),
                    vec![data_centre(2 * index), data_centre(2 * index + 1)],
                )
            })
            .collect(),
        shares: (0..DATA_CENTRES.min(plan.hosts))
            .map(|index| (data_centre(index), SHARES))
            .collect(),
        ..Document::default()
    }
}

/// Returns the name and upstream of an engine; a third of each model's engines prefill.
fn upstream(index: usize) -> (Arc<str>, Upstream) {
    let model = model_name(index % MODELS);
    let kind = if (index / MODELS).is_multiple_of(3) {
        UpstreamKind::Prefill { model }
    } else {
        UpstreamKind::Decode { model, slots: 20 }
    };
    let address = SocketAddr::from(([127, 0, 0, 1], FIRST_ENGINE_PORT + index as u16));
    let data_centre = data_centre(index / (3 * MODELS));
    let upstream =
        Upstream { kind, address, data_centre, state: UpstreamState::Serving, tls: false };
    (Arc::from(format!("engine-{index:04}")), upstream)
}

fn data_centre(index: usize) -> Arc<str> {
    Arc::from(format!("dc-{}", index % DATA_CENTRES))
}

fn customer_name(index: usize) -> Arc<str> {
    Arc::from(format!("customer-{index}"))
}

fn model_name(index: usize) -> Arc<str> {
    Arc::from(format!("model-{index}"))
}

/// CPU time of this process, in clock ticks.
fn cpu_ticks() -> u64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    ticks(12) + ticks(13)
}

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
