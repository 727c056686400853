//! Drives a fleet with a seeded load.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rosemarypitch_gateway::{Completion, CompletionRequest, Host, Output, ProblemKind};
use rosemarypitch_route::{LbPolicy, PoolRules};
use rosemarypitch_standin::{EngineShape, PortFaults};
use tokio::runtime;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::{self, MODEL, Sizes};
use crate::fleet::{Fleet, FleetSpec};
use crate::measure::{self, Report, Sample, SampleEnd, Targets};
use crate::plan::{Baseline, CustomerPlan, FaultKind, Plan, PlanError};

/// Time before the load, in which hosts meet and buckets fill.
const WARM_UP: Duration = Duration::from_secs(15);
/// Bytes of text that a stand-in engine counts as one token.
const TOKEN_BYTES: usize = 4;
/// Documents that long prompts begin with; some requests share one.
const DOCUMENTS: u32 = 40;
/// Targets of the statement of need.
const TARGETS: Targets =
    Targets { first: Duration::from_millis(380), pace: Duration::from_millis(79) };

/// Runs an experiment on a paused clock.
pub fn run(plan: &Plan) -> Result<Report, PlanError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.map_err(|error| PlanError(error.to_string()))?;
    Ok(runtime.block_on(drive(plan)))
}

async fn drive(plan: &Plan) -> Report {
    let shape = EngineShape {
        load_lag_ms: plan.load_lag_ms,
        event_gap: plan.event_gap,
        stall_one_in: plan.stall_one_in,
        ..plan.shape.clone()
    };
    let customers = match plan.customers.as_slice() {
        [] => plan.deployment.customers(),
        given => given.to_vec(),
    };
    let document = plan.deployment.document(&shape, &customers);
    let spec = FleetSpec {
        hosts: plan.deployment.hosts(),
        engines: plan.deployment.engines(&shape),
        document: document.clone(),
        near: Duration::from_micros(100),
        far: plan.deployment.far(),
        overrides: overrides(plan.baseline),
        rules: Some(rules(plan.baseline)),
    };
    let fleet = Arc::new(Fleet::start(spec).await);
    tokio::time::sleep(WARM_UP).await;
    let start = Instant::now();
    let faults = tokio::spawn(inject(fleet.clone(), plan.clone(), start));
    let capacity = deployment::capacity(plan.deployment, &shape, &customers);
    let mut samples = send(&fleet, plan, &customers, capacity, start).await;
    faults.abort();
    samples.sort_by_key(|sample| sample.sent);
    let mut wrongful = vec![false; samples.len()];
    for (name, customer) in &document.customers {
        let limit = customer.limit;
        let marks = measure::wrongful(&samples, name, limit.rate as f64, limit.burst as f64);
        for (mark, own) in wrongful.iter_mut().zip(marks) {
            *mark |= own;
        }
    }
    let totals = fleet.engines.values().map(|engine| engine.prefill_totals());
    let wasted = totals.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let mut report = measure::report(&samples, &wrongful, TARGETS, plan.seconds, wasted);
    report.capacity = capacity;
    report
}

/// The rules that a baseline stands for.
fn rules(baseline: Baseline) -> PoolRules {
    let full = PoolRules::default();
    match baseline {
        Baseline::Full => full,
        Baseline::WorstServed => full,
        Baseline::NoDemote => PoolRules { demote: false, ..full },
        Baseline::RoundRobin => PoolRules { policy: LbPolicy::RoundRobin, ..full },
        Baseline::LeastReported => PoolRules { policy: LbPolicy::LeastReported, ..full },
        Baseline::PrefixOnly => PoolRules { policy: LbPolicy::PrefixOnly, ..full },
        Baseline::NoReserve => PoolRules { reserve: false, ..full },
        Baseline::Unfair => PoolRules { fair: false, demote: false, ..full },
        Baseline::NoCeiling => PoolRules { pace: None, ..full },
    }
}

/// The settings that a baseline stands for.
fn overrides(baseline: Baseline) -> Vec<String> {
    match baseline {
        Baseline::WorstServed => vec!["policy=worst_served".to_owned()],
        _ => Vec::new(),
    }
}

async fn inject(fleet: Arc<Fleet>, plan: Plan, start: Instant) {
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
                fleet.set_platform(PortFaults { down: true, ..PortFaults::default() });
            }
            FaultKind::PlatformUp => fleet.set_platform(PortFaults::default()),
            FaultKind::Cut(name) => fleet.set_cut(&name, true),
            FaultKind::Join(name) => fleet.set_cut(&name, false),
        }
    }
}

/// Sends the load and waits for all answers.
async fn send(
    fleet: &Arc<Fleet>,
    plan: &Plan,
    customers: &[CustomerPlan],
    capacity: f64,
    start: Instant,
) -> Vec<Sample> {
    let parts: f64 = customers.iter().map(|customer| customer.part).sum();
    let mut arrivals = Vec::new();
    for (index, customer) in customers.iter().enumerate() {
        let rate = capacity * plan.load * customer.part / parts * customer.factor;
        let seed = plan.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        arrivals.extend(arrivals_of(customer, rate, plan.seconds, seed));
    }
    arrivals.sort_by_key(|arrival: &Arrival| arrival.due);
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut tasks = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.due).await;
        let Some(index) = pick_host(fleet, &mut random) else { continue };
        let fleet = fleet.clone();
        tasks.spawn(async move {
            let mut sample = request(fleet.members[index].host.clone(), arrival).await;
            // Whatever a dead host made of it, its caller's connection is gone.
            if fleet.members[index].is_dead() {
                sample.end = SampleEnd::Failed;
            }
            sample
        });
    }
    tasks.join_all().await
}

/// A live host, as a balancer would choose it.
fn pick_host(fleet: &Fleet, random: &mut StdRng) -> Option<usize> {
    let live: Vec<usize> =
        (0..fleet.members.len()).filter(|index| !fleet.members[*index].is_dead()).collect();
    let index = random.random_range(0..live.len().max(1));
    live.get(index).copied()
}

struct Arrival {
    due: Duration,
    customer: String,
    prompt: Arc<str>,
    output: u32,
}

fn arrivals_of(customer: &CustomerPlan, rate: f64, seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let sizes = Sizes::of(customer.long);
    let mut arrivals = Vec::new();
    let mut due = 0.0;
    loop {
        due += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        if due >= seconds {
            return arrivals;
        }
        let tokens = random.random_range(sizes.prompt[0]..=sizes.prompt[1]);
        // Long jobs read one of some common documents before their own part.
        let document = random.random_range(0..DOCUMENTS);
        let own = random.random::<u32>();
        let prompt = prompt(customer, document, own, tokens);
        let output = random.random_range(sizes.output[0]..=sizes.output[1]);
        let due = Duration::from_secs_f64(due);
        arrivals.push(Arrival { due, customer: customer.name.clone(), prompt, output });
    }
}

fn prompt(customer: &CustomerPlan, document: u32, own: u32, tokens: u32) -> Arc<str> {
    let bytes = tokens as usize * TOKEN_BYTES;
    let shared = if customer.long { bytes / 2 } else { 0 };
    let mut text = String::with_capacity(bytes + 32);
    while text.len() < shared {
        text.push_str(&format!("{}-{document} ", customer.name));
    }
    while text.len() < bytes {
        text.push_str(&format!("{own:x} "));
    }
    text.truncate(bytes);
    Arc::from(text)
}

async fn request(host: Arc<Host>, arrival: Arrival) -> Sample {
    let Arrival { due, customer, prompt, output } = arrival;
    let asked = (prompt.len().div_ceil(TOKEN_BYTES) as u64) + u64::from(output);
    let mut sample = Sample {
        customer,
        sent: due,
        first: None,
        pace: None,
        tokens: 0,
        asked,
        end: SampleEnd::Failed,
    };
    let Ok(caller) = host.authenticate(&sample.customer) else { return sample };
    let ask =
        CompletionRequest { caller, model: Arc::from(MODEL), prompt, max_output: Some(output) };
    let begun = Instant::now();
    let mut completion = Completion::start(host, ask);
    let mut count = 0;
    while let Some(output) = completion.next().await {
        match output {
            Output::Token(_) => {
                count += 1;
                sample.first.get_or_insert_with(|| begun.elapsed());
            }
            Output::End(_, usage) => {
                sample.end = SampleEnd::Whole;
                sample.tokens = u64::from(usage.prompt + usage.output);
            }
            Output::Failed(problem) => {
                sample.end = match problem.kind {
                    ProblemKind::LimitSpent => SampleEnd::Limited,
                    ProblemKind::Unavailable => SampleEnd::Full,
                    _ => SampleEnd::Failed,
                };
            }
        }
    }
    if let (Some(first), 2..) = (sample.first, count) {
        sample.pace = Some((begun.elapsed() - first) / (count - 1));
    }
    sample
}
