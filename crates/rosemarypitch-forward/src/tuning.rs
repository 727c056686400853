//! Queueing and placement settings that operators can change.

use serde::Deserialize;

/// Settings of a pool of engines.
///
/// Costs of engines are in units of utilization, where 1 is a full engine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolTuning {
    /// Fraction of the expected output that an engine is asked to reserve, from 0 to 1.
    pub hold_part: f64,
    /// Weight of the caller's output guess against the average guess, from 0 to 1.
    pub guess_weight: f64,
    /// Fraction of the time to its first event that a request may queue, from 0 to 1.
    pub wait_part: f64,
    /// Fraction of an engine's memory that requests may occupy, from 0.1 to 1.
    pub memory_part: f64,
    /// Cost added to engines in another data centre, from 0 to 1.
    pub crossing_cost: f64,
    /// Cost up to which an engine assigned to the host's row is chosen without a search of
    /// the other engines.
    pub home_cost: f64,
    /// Cost added to engines assigned to other rows.
    pub foreign_cost: f64,
    /// Weight of an engine's failure rate in its cost.
    pub failure_cost: f64,
    /// Multiple of the time left to a request's target within which the requests ahead of it
    /// must be placed. With higher values, requests queue although they are forecast to be
    /// late.
    pub forecast_slack: f64,
}

impl Default for PoolTuning {
    fn default() -> Self {
        Self {
            hold_part: 0.0,
            guess_weight: 0.5,
            wait_part: 0.85,
            memory_part: 0.85,
            crossing_cost: 0.08,
            home_cost: 0.7,
            foreign_cost: 0.3,
            failure_cost: 2.0,
            forecast_slack: 1.5,
        }
    }
}

/// A setting is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{name}={value} is out of range, must be from {min} to {max}")]
pub struct TuningError {
    name: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl PoolTuning {
    /// Returns an error for the first setting that is out of range.
    pub fn check(&self) -> Result<(), TuningError> {
        let settings = [
            ("hold_part", self.hold_part, 0.0, 1.0),
            ("guess_weight", self.guess_weight, 0.0, 1.0),
            ("wait_part", self.wait_part, 0.0, 1.0),
            ("memory_part", self.memory_part, 0.1, 1.0),
            ("crossing_cost", self.crossing_cost, 0.0, 1.0),
            ("home_cost", self.home_cost, 0.0, 10.0),
            ("foreign_cost", self.foreign_cost, 0.0, 10.0),
            ("failure_cost", self.failure_cost, 0.0, 100.0),
            ("forecast_slack", self.forecast_slack, 0.1, 100.0),
        ];
        for (name, value, min, max) in settings {
            if !(min..=max).contains(&value) {
                return Err(TuningError { name, value, min, max });
            }
        }
        Ok(())
    }
}
