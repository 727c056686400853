//! Experiments that run the production code of whole hosts on a paused clock.
//!
//! A [`Fleet`] is several hosts, their engines and the platform's store in one process. The
//! hosts are the production ones; only the network, the engines and the store are
//! stand-ins. [`run`] executes a [`Plan`], with a seeded load and faults, and reports its
//! [`measure`]s by customer. [`measure_control_cost`] measures the control plane's cost.

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
