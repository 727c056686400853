//! State of one engine: the pool's reservations, the engine's reports and estimated rates.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::attempt::AttemptId;

/// Initial estimate of the prefill rate, in tokens per second.
const INITIAL_PREFILL_RATE: f64 = 20_000.0;
/// Weight of a new sample in the moving average of the prefill rate.
const RATE_SMOOTHING: f64 = 0.2;
/// Factor applied to the weight of earlier pace samples at each new one.
const PACE_DECAY: f64 = 0.98;
/// Time after a failure for which an engine gets no new work.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// Phase of inference that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens for up to this many requests at once.
    Decode(u32),
}

/// Configuration of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Prefill or decode.
    pub role: EngineRole,
    /// Data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Whether it is draining: it finishes its work and gets no more.
    pub leaving: bool,
}

/// Load as last reported by an engine.
///
/// Reports are polled and therefore lag behind the engine's state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Time per output token at that batch size.
    pub pace: Duration,
    /// Whether the engine itself asked to be drained.
    pub leaving: bool,
}

/// State of one engine as seen by a pool.
#[derive(Debug)]
pub struct EngineView {
    /// Configuration of the engine.
    pub info: EngineInfo,
    /// Reservations of the pool: tokens still to prefill, or 1 for a decode slot.
    pub reserved: HashMap<AttemptId, u32>,
    /// Requests that the engine lists and this pool did not place.
    pub foreign: u32,
    /// Last load report.
    pub load: EngineLoad,
    /// Sum of `reserved`.
    pub reserved_total: u64,
    /// Moving average of the prefill rate, in tokens per second.
    prefill_rate: f64,
    pace: PaceFit,
    backoff_until: Option<Instant>,
}

impl EngineView {
    /// Creates the state of an engine that has not reported yet.
    pub fn new(info: EngineInfo) -> Self {
        Self {
            info,
            reserved: HashMap::new(),
            foreign: 0,
            load: EngineLoad::default(),
            reserved_total: 0,
            prefill_rate: INITIAL_PREFILL_RATE,
            pace: PaceFit::default(),
            backoff_until: None,
        }
    }

    /// Reserves capacity for an attempt; replaces an earlier reservation.
    pub fn reserve(&mut self, attempt: &AttemptId, tokens: u32) {
        self.release(attempt);
        self.reserved.insert(attempt.clone(), tokens);
        self.reserved_total += u64::from(tokens);
    }

    /// Releases the reservation of an attempt, if there is one.
    pub fn release(&mut self, attempt: &AttemptId) {
        if let Some(tokens) = self.reserved.remove(attempt) {
            self.reserved_total -= u64::from(tokens);
        }
    }

    /// Whether it accepts new work: neither draining nor backing off.
    pub fn is_available(&self, now: Instant) -> bool {
        let backing_off = self.backoff_until.is_some_and(|until| now < until);
        !self.info.leaving && !self.load.leaving && !backing_off
    }

    /// Starts the backoff after a failure.
    pub fn back_off(&mut self, now: Instant) {
        self.backoff_until = Some(now + FAILURE_BACKOFF);
    }

    /// Stores a load report and adds it to the pace fit.
    pub fn observe_load(&mut self, load: EngineLoad) {
        if load.running > 0 && !load.pace.is_zero() {
            self.pace.observe(f64::from(load.running), load.pace.as_secs_f64());
        }
        self.load = load;
    }

    /// Updates the prefill rate from a prefill of `tokens` that took `time`.
    pub fn observe_prefill(&mut self, tokens: u32, time: Duration) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        let sample = f64::from(tokens) / time.as_secs_f64();
        self.prefill_rate += RATE_SMOOTHING * (sample - self.prefill_rate);
    }

    /// Estimated time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate.max(1.0))
    }

    /// Estimated time until all reserved prefills are done.
    pub fn backlog(&self) -> Duration {
        self.prefill_time(self.reserved_total)
    }

    /// Requests that occupy it: reservations and foreign requests.
    pub fn batch(&self) -> u32 {
        self.reserved.len() as u32 + self.foreign
    }

    /// Largest batch, up to `slots`, whose estimated time per output token meets `target`.
    ///
    /// `slots` while the reports do not suffice for an estimate; never below 1.
    pub fn batch_limit(&self, slots: u32, target: Duration) -> u32 {
        let fitted = self.pace.max_batch(target.as_secs_f64());
        fitted.map_or(slots, |batch| slots.min(batch.max(1)))
    }
}

/// Least-squares line of the time per output token over the batch size.
///
/// Holds the weighted sums of the regression; samples decay by [`PACE_DECAY`].
#[derive(Debug, Default)]
struct PaceFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl PaceFit {
    fn observe(&mut self, batch: f64, pace: f64) {
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= PACE_DECAY;
        }
        self.weight += 1.0;
        self.x += batch;
        self.y += pace;
        self.xx += batch * batch;
        self.xy += batch * pace;
    }

    /// Batch size at which the line reaches `target`.
    ///
    /// None with too few samples or batch sizes too alike, or if the slope is not positive.
    fn max_batch(&self, target: f64) -> Option<u32> {
        let denominator = self.weight * self.xx - self.x * self.x;
        if self.weight < 3.0 || denominator < 1.0 {
            return None;
        }
        let slope = (self.weight * self.xy - self.x * self.y) / denominator;
        let base = (self.y - slope * self.x) / self.weight;
        (slope > 0.0).then(|| ((target - base) / slope).max(0.0) as u32)
    }
}
