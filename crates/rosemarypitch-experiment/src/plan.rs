//! Plan of an experiment, read from JSON.

use rosemarypitch_standin::EngineShape;
use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;

/// Deployment, load and faults of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of arrival times, request sizes and host selection.
    pub seed: u64,
    /// Deployment to run.
    pub deployment: Deployment,
    /// Duration of the load, in seconds.
    #[serde(default = "default_seconds")]
    pub seconds: f64,
    /// Load as a fraction of the engines' capacity; above 1 overloads them.
    pub load: f64,
    /// Rules by which requests are scheduled.
    #[serde(default)]
    pub baseline: Baseline,
    /// Customers; an empty list uses those of the deployment.
    #[serde(default)]
    pub customers: Vec<CustomerPlan>,
    /// Performance and capacity of the engines.
    #[serde(default)]
    pub shape: EngineShape,
    /// Staleness of the engines' load reports, in milliseconds.
    #[serde(default = "default_load_lag")]
    pub load_lag_ms: u64,
    /// Every n-th cache event is lost; 0 loses none.
    #[serde(default)]
    pub event_gap: u64,
    /// Every n-th KV transfer stalls; 0 stalls none.
    #[serde(default)]
    pub stall_one_in: u64,
    /// Faults to inject during the load.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A customer's load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Name of the customer.
    pub name: String,
    /// Relative weight of the customer's load, among all customers.
    #[serde(rename = "part")]
    pub weight: f64,
    /// Whether the requests are of the long class, whose prompts share documents.
    pub long: bool,
    /// Factor on the request rate; above 1 the load exceeds what the limit is sized for.
    #[serde(default = "default_factor")]
    pub factor: f64,
}

/// Scheduling rules; all but `Full` serve as baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// The default rules.
    #[default]
    Full,
    /// The default rules, but favouring the worst-served customer over goodput.
    WorstServed,
    /// Requests that can no longer meet their first-token target keep their place in the queue.
    NoDemote,
    /// Engines in rotation.
    RoundRobin,
    /// The engine with the least reported load.
    LeastReported,
    /// The engine with the longest cached prefix.
    PrefixOnly,
    /// Prefill starts without a reserved decode slot.
    NoReserve,
    /// First come, first served, instead of fair queueing by customer.
    Unfair,
    /// Decode batches fill all slots, regardless of the time per output token.
    NoCeiling,
}

/// A fault and its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the load.
    pub at: f64,
    /// What fails or recovers.
    pub kind: FaultKind,
}

/// Failure or recovery of a component.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The named engine stops.
    Engine(String),
    /// The host of this index is killed.
    Host(usize),
    /// The platform's store becomes unreachable.
    PlatformDown,
    /// The platform's store is reachable again.
    PlatformUp,
    /// The named data centre is partitioned from the others and from the store.
    Cut(String),
    /// The partition of the named data centre heals.
    Join(String),
}

/// An invalid plan, or a failure to run it.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct PlanError(pub String);

impl Plan {
    /// Parses a plan from JSON and validates it.
    ///
    /// # Errors
    ///
    /// When the text isn't a plan, or a value is out of range.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let plan: Self = serde_json::from_str(text).map_err(|e| PlanError(e.to_string()))?;
        plan.validate()?;
        Ok(plan)
    }

    fn validate(&self) -> Result<(), PlanError> {
        let invalid = |reason: &str| Err(PlanError(reason.to_owned()));
        if !(self.seconds > 0.0 && self.seconds <= 3_600.0) {
            return invalid("seconds must be above 0 and at most 3600");
        }
        if !(self.load > 0.0 && self.load <= 10.0) {
            return invalid("load must be above 0 and at most 10");
        }
        let hosts = self.deployment.hosts().len();
        for fault in &self.faults {
            if matches!(fault.kind, FaultKind::Host(index) if index >= hosts) {
                return invalid("a fault names the index of a host that does not exist");
            }
        }
        Ok(())
    }
}

fn default_seconds() -> f64 {
    60.0
}

fn default_load_lag() -> u64 {
    100
}

fn default_factor() -> f64 {
    1.0
}
