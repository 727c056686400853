//! The input of an experiment.

use rosemarypitch_standin::EngineShape;
use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;

/// An experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of arrivals and sizes.
    pub seed: u64,
    /// Which of the users' sites.
    pub deployment: Deployment,
    /// Length of the load, in seconds.
    #[serde(default = "seconds")]
    pub seconds: f64,
    /// Load, as a part of capacity.
    pub load: f64,
    /// The way engines are chosen.
    #[serde(default)]
    pub baseline: Baseline,
    /// Customers; none takes those of the deployment.
    #[serde(default)]
    pub customers: Vec<CustomerPlan>,
    /// Speeds and sizes of the engines.
    #[serde(default)]
    pub shape: EngineShape,
    /// Age of engines' load reports, in milliseconds.
    #[serde(default = "load_lag")]
    pub load_lag_ms: u64,
    /// One cache event in so many is lost.
    #[serde(default)]
    pub event_gap: u64,
    /// One transfer in so many stalls.
    #[serde(default)]
    pub stall_one_in: u64,
    /// Faults, at their instants.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A customer's load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Its name.
    pub name: String,
    /// Its part of the whole load, relative to the others.
    pub part: f64,
    /// Whether its requests are long reading jobs.
    pub long: bool,
    /// Factor on its rate of requests, for a customer that sends more than it should.
    #[serde(default = "one")]
    pub factor: f64,
}

/// Ways to place requests; all but the first are for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// The rules in force.
    #[default]
    Full,
    /// The rules in force, with the worst-served customer before goodput.
    WorstServed,
    /// Requests that are late already keep their place.
    NoDemote,
    /// Engines one after the other.
    RoundRobin,
    /// The engine with the least reported load.
    LeastReported,
    /// The engine with the longest cached prefix.
    PrefixOnly,
    /// Prefill without a reserved decode slot.
    NoReserve,
    /// First come, first served.
    Unfair,
    /// Batches up to all slots, whatever the pace.
    NoCeiling,
}

/// A fault at an instant.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the load.
    pub at: f64,
    /// What fails.
    pub kind: FaultKind,
}

/// What fails.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// An engine dies.
    Engine(String),
    /// A host dies.
    Host(usize),
    /// The platform is out.
    PlatformDown,
    /// The platform is back.
    PlatformUp,
    /// A data centre is cut off.
    Cut(String),
    /// A data centre is joined again.
    Join(String),
}

/// An experiment that cannot be run.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct PlanError(pub String);

impl Plan {
    /// Reads a plan from JSON.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let plan: Self = serde_json::from_str(text).map_err(|e| PlanError(e.to_string()))?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), PlanError> {
        let bad = |reason: &str| Err(PlanError(reason.to_owned()));
        if !(self.seconds > 0.0 && self.seconds <= 3_600.0) {
            return bad("seconds must be above 0 and at most 3600");
        }
        if !(self.load > 0.0 && self.load <= 10.0) {
            return bad("load must be above 0 and at most 10");
        }
        let hosts = self.deployment.hosts().len();
        for fault in &self.faults {
            if matches!(fault.kind, FaultKind::Host(index) if index >= hosts) {
                return bad("a fault names a host that is not there");
            }
        }
        Ok(())
    }
}

fn seconds() -> f64 {
    60.0
}

fn load_lag() -> u64 {
    100
}

fn one() -> f64 {
    1.0
}
