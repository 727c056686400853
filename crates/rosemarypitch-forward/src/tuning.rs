//! Settings of queueing and placing that a site may change.

use serde::Deserialize;

/// Settings of a pool of engines.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolTuning {
    /// Part of the expected output that an engine is asked to reserve, from 0 to 1.
    pub hold_part: f64,
    /// Weight of the caller's guess at the output against the mean guess, from 0 to 1.
    pub guess_weight: f64,
    /// Part of the time to its first event that a request may wait, from 0 to 1.
    pub wait_part: f64,
    /// Part of an engine's memory that is given out, from 0 to 1.
    pub memory_part: f64,
    /// Busy part that is accepted to stay in the data centre, from 0 to 1.
    pub crossing_cost: f64,
    /// Busy part up to which other engines than those of a host's row are not looked at.
    pub home_cost: f64,
    /// Busy part that is accepted to stay among the engines of a host's row.
    pub foreign_cost: f64,
    /// Weight of an engine's failure rate against its busy part.
    pub failure_cost: f64,
    /// Multiple of a request's time in which those ahead of it must be placed; more lets
    /// requests wait in spite of a forecast that they will be late.
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

/// A setting outside its bounds.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{name}={value}: not from {least} to {most}")]
pub struct TuningError {
    name: &'static str,
    value: f64,
    least: f64,
    most: f64,
}

impl PoolTuning {
    /// Checks that every setting is within its bounds.
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
        for (name, value, least, most) in settings {
            if !(least..=most).contains(&value) {
                return Err(TuningError { name, value, least, most });
            }
        }
        Ok(())
    }
}
