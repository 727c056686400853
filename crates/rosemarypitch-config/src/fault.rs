//! Validation errors of settings, documents and patches.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A validation error with the path of the invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Fault {
    /// Dotted path of the value, such as `customers.clubs.limit.rate`; empty for the whole input.
    pub path: String,
    /// Why the value is invalid.
    pub reason: String,
}

impl Fault {
    /// Creates a fault of the value at `path`.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// All faults of one input; not empty if returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.lines())]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Fault::new(path, reason));
    }

    /// Returns `value` if there are no faults, and the faults otherwise.
    pub fn or<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }

    fn lines(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        lines.join("\n")
    }
}
