//! Experiments: the production code of whole hosts on a paused clock.
//!
//! A [`Fleet`] is several hosts, their engines and their platform inside one process. The
//! hosts are those that serve callers; only the network, the engines and the platform are
//! stand-ins. [`run`] drives a fleet with a seeded load and faults from a [`Plan`], and
//! reports the [`measure`]s by customer.

mod control_cost;
mod deployment;
mod fleet;
pub mod measure;
mod plan;
mod runner;

pub use control_cost::{ControlCost, ControlCostPlan, measure_control_cost};
pub use deployment::{Deployment, capacity};
pub use fleet::{EngineSpec, Fleet, FleetSpec, HostSpec, Member};
pub use measure::{CustomerReport, Report};
pub use plan::{Baseline, CustomerPlan, Fault, FaultKind, Plan, PlanError};
pub use runner::run;
