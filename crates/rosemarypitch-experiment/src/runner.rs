//! Runs a fleet under a seeded load and injects the faults of its plan.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_gateway::{Completion, CompletionRequest, Host, Output, ProblemKind};
use rosemarypitch_route::{LbPolicy, PoolRules};
use rosemarypitch_standin::{EngineShape, StoreFaults};
use tokio::runtime;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::{self, MODEL, TokenRanges};
use crate::fleet::{Fleet, FleetSpec};
use crate::measure::{self, Outcome, Report, Sample, Targets};
use crate::plan::{Baseline, CustomerPlan, FaultKind, Plan, PlanError};

/// Time before the load, in which hosts discover each other and token buckets fill.
const WARM_UP: Duration = Duration::from_secs(15);
/// Bytes of text per token, as in the stand-in engine.
const TOKEN_BYTES: usize = 4;
/// Number of documents per customer that long prompts start with, for prefix reuse.
const SHARED_DOCUMENTS: u32 = 40;
/// Latency targets that the users require.
const TARGETS: Targets =
    Targets { ttft: Duration::from_millis(380), tpot: Duration::from_millis(79) };

/// Runs an experiment on a paused clock and reports its measures.
///
/// # Errors
///
/// When the runtime can't be built.
pub fn run(plan: &Plan) -> Result<Report, PlanError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.map_err(|error| PlanError(error.to_string()))?;
    Ok(runtime.block_on(run_plan(plan)))
}

async fn run_plan(plan: &Plan) -> Report {
    let shape = EngineShape {
        load_lag_ms: plan.load_lag_ms,
        event_gap: plan.event_gap,
        stall_one_in: plan.stall_one_in,
        ..plan.shape.clone()
    };
    let customers = match plan.customers.as_slice() {
        [] => plan.deployment.customers(),
        planned => planned.to_vec(),
    };
    let document = plan.deployment.document(&shape, &customers);
    let spec = FleetSpec {
        hosts: plan.deployment.hosts(),
        engines: plan.deployment.engines(&shape),
        document: document.clone(),
        local_delay: Duration::from_micros(100),
        remote_delay: plan.deployment.remote_delay(),
        overrides: overrides(plan.baseline),
        rules: Some(rules(plan.baseline)),
    };
    let fleet = Arc::new(Fleet::start(spec).await);
    tokio::time::sleep(WARM_UP).await;
    let start = Instant::now();
    let faults = tokio::spawn(inject_faults(fleet.clone(), plan.clone(), start));
    let capacity = deployment::capacity(plan.deployment, &shape, &customers);
    let mut samples = send_load(&fleet, plan, &customers, capacity, start).await;
    faults.abort();
    samples.sort_by_key(|sample| sample.sent);
    let mut wrongful = vec![false; samples.len()];
    for (name, customer) in &document.customers {
        let limit = customer.limit;
        let marks =
            measure::wrongful_refusals(&samples, name, limit.rate as f64, limit.burst as f64);
        for (mark, refused) in wrongful.iter_mut().zip(marks) {
            *mark |= refused;
        }
    }
    let engine_totals = fleet.engines.values().map(|engine| engine.prefill_totals());
    let prefill_totals =
        engine_totals.fold((0, 0), |sum, engine| (sum.0 + engine.0, sum.1 + engine.1));
    let mut report = measure::summarize(&samples, &wrongful, TARGETS, plan.seconds, prefill_totals);
    report.capacity = capacity;
    report
}

/// Returns the pool rules of a baseline.
fn rules(baseline: Baseline) -> PoolRules {
    let default = PoolRules::default();
    match baseline {
        Baseline::Full => default,
        Baseline::WorstServed => default,
        Baseline::NoDemote => PoolRules { demote: false, ..default },
        Baseline::RoundRobin => PoolRules { policy: LbPolicy::RoundRobin, ..default },
        Baseline::LeastReported => PoolRules { policy: LbPolicy::LeastReported, ..default },
        Baseline::PrefixOnly => PoolRules { policy: LbPolicy::PrefixOnly, ..default },
        Baseline::NoReserve => PoolRules { reserve: false, ..default },
        Baseline::Unfair => PoolRules { fair: false, demote: false, ..default },
        Baseline::NoCeiling => PoolRules { pace: None, ..default },
    }
}

/// Returns the settings overrides of a baseline, as `path=value`.
fn overrides(baseline: Baseline) -> Vec<String> {
    match baseline {
        Baseline::WorstServed => vec!["policy=worst_served".to_owned()],
        _ => Vec::new(),
    }
}

/// Injects the plan's faults at their times after `start`.
async fn inject_faults(fleet: Arc<Fleet>, plan: Plan, start: Instant) {
    let mut faults = plan.faults;
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    for fault in faults {
        tokio::time::sleep_until(start + Duration::from_secs_f64(fault.at)).await;
        match fault.kind {
            FaultKind::Engine(name) => {
                if let Some(engine) = fleet.engines.get(name.as_str()) {
                    engine.stop();
                }
            }
            FaultKind::Host(index) => fleet.kill(index),
            FaultKind::PlatformDown => {
                fleet.set_platform_faults(StoreFaults { down: true, ..StoreFaults::default() });
            }
            FaultKind::PlatformUp => fleet.set_platform_faults(StoreFaults::default()),
            FaultKind::Cut(name) => fleet.set_partitioned(&name, true),
            FaultKind::Join(name) => fleet.set_partitioned(&name, false),
        }
    }
}

/// Sends the load and waits until every request has ended.
async fn send_load(
    fleet: &Arc<Fleet>,
    plan: &Plan,
    customers: &[CustomerPlan],
    capacity: f64,
    start: Instant,
) -> Vec<Sample> {
    let total_weight: f64 = customers.iter().map(|customer| customer.weight).sum();
    let mut arrivals = Vec::new();
    for (index, customer) in customers.iter().enumerate() {
        let rate = capacity * plan.load * customer.weight / total_weight * customer.factor;
        let seed = plan.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        arrivals.extend(poisson_arrivals(customer, rate, plan.seconds, seed));
    }
    arrivals.sort_by_key(|arrival: &Arrival| arrival.due);
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut tasks = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.due).await;
        let Some(index) = random_live_host(fleet, &mut random) else { continue };
        let fleet = fleet.clone();
        tasks.spawn(async move {
            let mut sample = send_request(fleet.members[index].host.clone(), arrival).await;
            // A host killed meanwhile has lost the caller's connection, even if it answered.
            if fleet.members[index].is_dead() {
                sample.outcome = Outcome::Failed;
            }
            sample
        });
    }
    tasks.join_all().await
}

/// Picks a live host at random, as a load balancer in front of the fleet would.
fn random_live_host(fleet: &Fleet, random: &mut StdRng) -> Option<usize> {
    let live: Vec<usize> =
        (0..fleet.members.len()).filter(|index| !fleet.members[*index].is_dead()).collect();
    let index = random.random_range(0..live.len().max(1));
    live.get(index).copied()
}

/// A request of the load and the time at which it is sent.
struct Arrival {
    /// Time since the start of the load.
    due: Duration,
    customer: String,
    prompt: Arc<str>,
    /// Limit on the output, in tokens.
    output: u32,
}

/// Generates a customer's requests as a Poisson process of `rate` per second.
fn poisson_arrivals(customer: &CustomerPlan, rate: f64, seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let ranges = TokenRanges::for_class(customer.long);
    let mut arrivals = Vec::new();
    let mut due = 0.0;
    loop {
        due += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        if due >= seconds {
            return arrivals;
        }
        let tokens = random.random_range(ranges.prompt[0]..=ranges.prompt[1]);
        let document = random.random_range(0..SHARED_DOCUMENTS);
        let unique = random.random::<u32>();
        let prompt = prompt(customer, document, unique, tokens);
        let output = random.random_range(ranges.output[0]..=ranges.output[1]);
        let due = Duration::from_secs_f64(due);
        arrivals.push(Arrival { due, customer: customer.name.clone(), prompt, output });
    }
}

/// Builds a prompt of `tokens`; for long requests the first half is a shared document.
fn prompt(customer: &CustomerPlan, document: u32, unique: u32, tokens: u32) -> Arc<str> {
    let bytes = tokens as usize * TOKEN_BYTES;
    let shared = if customer.long { bytes / 2 } else { 0 };
    let mut text = String::with_capacity(bytes + 32);
    while text.len() < shared {
        text.push_str(&format!("{}-{document} ", customer.name));
    }
    while text.len() < bytes {
        text.push_str(&format!("{unique:x} "));
    }
    text.truncate(bytes);
    Arc::from(text)
}

/// Sends a request through a host and measures it as its caller sees it.
async fn send_request(host: Arc<Host>, arrival: Arrival) -> Sample {
    let Arrival { due, customer, prompt, output } = arrival;
    let requested = (prompt.len().div_ceil(TOKEN_BYTES) as u64) + u64::from(output);
    let mut sample = Sample {
        customer,
        sent: due,
        ttft: None,
        tpot: None,
        tokens: 0,
        requested,
        outcome: Outcome::Failed,
    };
    let Ok(caller) = host.authenticate(&sample.customer) else { return sample };
    let request =
        CompletionRequest { caller, model: Arc::from(MODEL), prompt, max_output: Some(output) };
    let start = Instant::now();
    let mut completion = Completion::start(host, request);
    let mut count = 0;
    while let Some(output) = completion.next().await {
        match output {
            Output::Token(_) => {
                count += 1;
                sample.ttft.get_or_insert_with(|| start.elapsed());
            }
            Output::End(_, usage) => {
                sample.outcome = Outcome::Completed;
                sample.tokens = u64::from(usage.prompt + usage.output);
            }
            Output::Failed(problem) => {
                sample.outcome = match problem.kind {
                    ProblemKind::LimitSpent => Outcome::Limited,
                    ProblemKind::Unavailable => Outcome::Unavailable,
                    _ => Outcome::Failed,
                };
            }
        }
    }
    if let (Some(ttft), 2..) = (sample.ttft, count) {
        sample.tpot = Some((start.elapsed() - ttft) / (count - 1));
    }
    sample
}
