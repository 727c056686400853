//! Scheduling rules of a pool.

use std::time::Duration;

use crate::policy::LbPolicy;

/// Scheduling rules of a pool; each can be disabled, to measure its effect.
#[derive(Clone, Debug)]
pub struct PoolRules {
    /// Policy by which engines are selected.
    pub policy: LbPolicy,
    /// Whether a prefill starts only once a decode slot is reserved for it.
    pub reserve: bool,
    /// Whether customers are queued fairly by token cost, or else first come, first served.
    pub fair: bool,
    /// Whether requests that cannot meet their first-token target are served last.
    pub demote: bool,
    /// Target time per output token, which bounds the batch size; none fills all slots.
    pub pace: Option<Duration>,
    /// Estimated KV transfer time per token within a data centre.
    pub transfer: Duration,
    /// Factor on the transfer time between data centres.
    pub remote_factor: u32,
}

impl Default for PoolRules {
    fn default() -> Self {
        Self {
            policy: LbPolicy::Score,
            reserve: true,
            fair: true,
            demote: true,
            pace: Some(Duration::from_millis(79)),
            transfer: Duration::from_micros(10),
            remote_factor: 2,
        }
    }
}
