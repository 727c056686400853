//! Performance and capacity of a stand-in engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Performance, capacity and injected faults of a stand-in engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineShape {
    /// Whether the engine serves prefill; otherwise it serves decode.
    pub prefill: bool,
    /// Prefill speed, in tokens per second.
    pub prefill_rate: u32,
    /// Base duration of a decode step, in microseconds.
    pub step_us: u64,
    /// Additional duration of a decode step per request in the batch, in microseconds.
    pub step_each_us: u64,
    /// Maximum number of requests decoded at once.
    pub slots: u32,
    /// Time for which a prefill's result is held, in milliseconds.
    pub result_ms: u64,
    /// Capacity of the prefix cache, in blocks.
    #[serde(rename = "cache_pieces")]
    pub cache_blocks: usize,
    /// KV cache size per token, in bytes.
    pub token_kv: u64,
    /// Bandwidth of the link for KV transfers, in bytes per second.
    pub link_rate: u64,
    /// Staleness of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Staleness of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Every n-th cache event is lost; 0 loses none.
    pub event_gap: u64,
    /// Every n-th KV transfer stalls; 0 stalls none.
    pub stall_one_in: u64,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
}

impl Default for EngineShape {
    fn default() -> Self {
        Self {
            prefill: true,
            prefill_rate: 40_000,
            step_us: 20_000,
            step_each_us: 1_500,
            slots: 20,
            result_ms: 800,
            cache_blocks: 256,
            token_kv: 100_000,
            link_rate: 10_000_000_000,
            load_lag_ms: 100,
            event_lag_ms: 100,
            event_gap: 20,
            stall_one_in: 0,
            fences: true,
        }
    }
}

impl EngineShape {
    /// Duration of a prefill of `tokens`.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_rate.max(1)))
    }

    /// Duration of a decode step, which generates one token per request of the batch.
    pub fn step_time(&self, batch: u32) -> Duration {
        Duration::from_micros(self.step_us + self.step_each_us * u64::from(batch))
    }

    /// Duration of a transfer of the KV cache of `tokens` over an idle link.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        let bytes = self.token_kv * u64::from(tokens);
        Duration::from_secs_f64(bytes as f64 / self.link_rate.max(1) as f64)
    }
}
