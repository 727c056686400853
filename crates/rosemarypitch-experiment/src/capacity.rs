//! What control costs a host as the fleet grows.
//!
//! Whole hosts run on a paused clock with a load that exercises debits, places, notes and
//! loans. Messages and bytes are counted where they leave a host, platform calls where
//! they arrive, processor time and memory for the whole process. Processor time includes
//! the stand-ins and the requests themselves, so it is an upper bound for control.

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
use rosemarypitch_standin::{EngineShape, NetCount};
use tokio::runtime;
use tokio::time::Instant;

use crate::fleet::{EngineSpec, Fleet, FleetSpec, HostSpec};
use crate::plan::PlanError;

/// Data centres, two to a region.
const DATA_CENTRES: usize = 6;
/// Engines for each host.
const ENGINES_PER_HOST: f64 = 640.0 / 420.0;
/// Models.
const MODELS: usize = 4;
/// Time before the measurement.
const WARM_UP: Duration = Duration::from_secs(30);
/// Length of the measurement.
const LENGTH: Duration = Duration::from_secs(20);
/// Shares of each data centre.
const SHARES: u32 = 4;
/// Clock ticks of processor time in a second.
const TICKS: f64 = 100.0;
/// First port of engines' addresses; nothing listens there.
const ENGINE_PORTS: u16 = 10_000;

/// One size of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct SlopePlan {
    /// Hosts.
    pub hosts: usize,
    /// Customers.
    pub customers: usize,
    /// Requests a second of each host.
    pub rate: f64,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

/// What was measured at one size; rates are per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slope {
    /// Messages that a host sends, mean over hosts.
    pub messages: f64,
    /// Messages that the busiest host sends.
    pub most_messages: f64,
    /// Bytes that a host sends, mean over hosts.
    pub bytes: f64,
    /// Bytes that the busiest host sends.
    pub most_bytes: f64,
    /// Reads at the platform by all hosts.
    pub platform_reads: f64,
    /// Writes at the platform by all hosts.
    pub platform_writes: f64,
    /// Processor time of the process, per host, as a part of a core.
    pub cpu: f64,
    /// Memory that the process grew by, per host, in kilobytes.
    pub memory_kb: u64,
}

/// Measures one size.
pub fn slope(plan: &SlopePlan) -> Result<Slope, PlanError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.map_err(|error| PlanError(error.to_string()))?;
    Ok(runtime.block_on(measure(plan)))
}

async fn measure(plan: &SlopePlan) -> Slope {
    let before_kb = resident_kb();
    let fleet = Arc::new(Fleet::start(spec(plan)).await);
    let load = tokio::spawn(send(fleet.clone(), *plan));
    tokio::time::sleep(WARM_UP).await;
    let counts = |fleet: &Fleet| -> Vec<NetCount> {
        fleet.members.iter().map(|member| fleet.net.count(member.address)).collect()
    };
    let (before, calls, ticks) = (counts(&fleet), fleet.store.counts(), cpu_ticks());
    tokio::time::sleep(LENGTH).await;
    let (after, calls_after, ticks_after) = (counts(&fleet), fleet.store.counts(), cpu_ticks());
    load.abort();
    let seconds = LENGTH.as_secs_f64();
    let hosts = plan.hosts as f64;
    let per_host = |part: fn(&NetCount) -> u64| -> Vec<f64> {
        let pairs = before.iter().zip(&after);
        pairs.map(|(before, after)| (part(after) - part(before)) as f64 / seconds).collect()
    };
    let (messages, bytes) = (per_host(|count| count.messages), per_host(|count| count.bytes));
    let mean = |values: &[f64]| values.iter().sum::<f64>() / hosts;
    let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    Slope {
        messages: mean(&messages),
        most_messages: most(&messages),
        bytes: mean(&bytes),
        most_bytes: most(&bytes),
        platform_reads: (calls_after.reads - calls.reads) as f64 / seconds,
        platform_writes: (calls_after.writes - calls.writes) as f64 / seconds,
        cpu: (ticks_after - ticks) as f64 / TICKS / seconds / hosts,
        memory_kb: resident_kb().saturating_sub(before_kb) / plan.hosts as u64,
    }
}

/// Sends short requests through every host at the plan's rate.
async fn send(fleet: Arc<Fleet>, plan: SlopePlan) {
    if plan.rate <= 0.0 {
        return;
    }
    let mut random = StdRng::seed_from_u64(7);
    let gap = Duration::from_secs_f64(1.0 / (plan.rate * plan.hosts as f64));
    let mut due = Instant::now();
    loop {
        due += gap;
        tokio::time::sleep_until(due).await;
        let host = fleet.members[random.random_range(0..plan.hosts)].host.clone();
        let customer = customer_name(random.random_range(0..plan.customers));
        let Ok(caller) = host.authenticate(&customer) else { continue };
        let model = model_name(random.random_range(0..MODELS));
        let text = format!("{:x} ", random.random::<u64>()).repeat(60);
        let ask =
            CompletionRequest { caller, model, prompt: Arc::from(text), max_output: Some(10) };
        let mut completion = Completion::start(host, ask);
        tokio::spawn(async move { while completion.next().await.is_some() {} });
    }
}

fn spec(plan: &SlopePlan) -> FleetSpec {
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
        near: Duration::from_micros(100),
        far: Duration::from_millis(1),
        overrides: vec![
            format!("peers.heartbeat_ms={}", plan.heartbeat_ms),
            format!("peers.silence_ms={}", plan.heartbeat_ms * 5),
        ],
        rules: None,
    }
}

fn document(plan: &SlopePlan, upstreams: BTreeMap<Arc<str>, Upstream>) -> Document {
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
            .map(|at| {
                (
                    Arc::from(format!("region-{at}")),
                    vec![data_centre(2 * at), data_centre(2 * at + 1)],
                )
            })
            .collect(),
        shares: (0..DATA_CENTRES.min(plan.hosts)).map(|at| (data_centre(at), SHARES)).collect(),
        ..Document::default()
    }
}

/// An engine; a third of each model's engines prefill.
fn upstream(index: usize) -> (Arc<str>, Upstream) {
    let model = model_name(index % MODELS);
    let kind = if (index / MODELS).is_multiple_of(3) {
        UpstreamKind::Prefill { model }
    } else {
        UpstreamKind::Decode { model, slots: 20 }
    };
    let address = SocketAddr::from(([127, 0, 0, 1], ENGINE_PORTS + index as u16));
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

/// Processor time of this process, in ticks.
fn cpu_ticks() -> u64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let tick = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    tick(12) + tick(13)
}

fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
