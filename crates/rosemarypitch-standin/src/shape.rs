//! Speeds and sizes of a stand-in engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Speeds and sizes of a stand-in engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineShape {
    /// Whether it prefills; else it decodes.
    pub prefill: bool,
    /// Prefill speed, in tokens per second.
    pub prefill_rate: u32,
    /// Time per token of an empty batch, in microseconds.
    pub step_us: u64,
    /// Further time per token for each request in the batch, in microseconds.
    pub step_each_us: u64,
    /// Requests it decodes at once.
    pub slots: u32,
    /// How long a prefill's result is held, in milliseconds.
    pub result_ms: u64,
    /// Pieces of prompts that its cache holds.
    pub cache_pieces: usize,
    /// KV cache of one token, in bytes.
    pub token_kv: u64,
    /// Rate of its link, in bytes per second.
    pub link_rate: u64,
    /// Age of its load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Age of its cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in so many is lost; 0 loses none.
    pub event_gap: u64,
    /// One transfer in so many stalls; 0 stalls none.
    pub stall_one_in: u64,
    /// Whether it refuses orders with an old fencing number.
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
            cache_pieces: 256,
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
    /// Time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_rate.max(1)))
    }

    /// Time per token of a batch.
    pub fn step_time(&self, batch: u32) -> Duration {
        Duration::from_micros(self.step_us + self.step_each_us * u64::from(batch))
    }

    /// Time to send the KV cache of `tokens` over an idle link.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        let bytes = self.token_kv * u64::from(tokens);
        Duration::from_secs_f64(bytes as f64 / self.link_rate.max(1) as f64)
    }
}
