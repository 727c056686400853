//! Rules of a pool.

use std::time::Duration;

use crate::policy::LbPolicy;

/// Rules of a pool; each can be switched off to see what it is worth.
#[derive(Clone, Debug)]
pub struct PoolRules {
    /// How engines are chosen.
    pub policy: LbPolicy,
    /// Whether a prefill waits until a decode slot is reserved for it.
    pub reserve: bool,
    /// Whether requests are queued by fair cost; else first come, first served.
    pub fair: bool,
    /// Whether requests that cannot meet their target go after those that can.
    pub demote: bool,
    /// Time per token that batches are kept under; none packs all slots.
    pub pace: Option<Duration>,
    /// Transfer time per token inside a data centre.
    pub transfer: Duration,
    /// Factor for transfers between data centres.
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
