//! What is known of one engine: own grants, reports, and learnt speeds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::attempt::AttemptId;

/// Prefill speed assumed before any was seen, in tokens per second.
const FIRST_PREFILL_RATE: f64 = 20_000.0;
/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.2;
/// Factor by which older pace observations count less at each new one.
const FORGETTING: f64 = 0.98;
/// Time for which an engine that failed gets no new work.
const PENALTY: Duration = Duration::from_secs(2);

/// The part an engine plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRole {
    /// Reads prompts.
    Prefill,
    /// Generates tokens for up to this many requests at once.
    Decode(u32),
}

/// An engine as the configuration names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// Its name.
    pub name: Arc<str>,
    /// Its role.
    pub role: EngineRole,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it finishes its work and gets no more.
    pub leaving: bool,
}

/// An engine's own report; it lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests in its batch.
    pub running: u32,
    /// Time per token at that batch.
    pub pace: Duration,
    /// Whether it asked to leave.
    pub leaving: bool,
}

/// State of one engine in a pool.
#[derive(Debug)]
pub struct EngineView {
    /// The engine.
    pub info: EngineInfo,
    /// Own placements: tokens still to prefill, or 1 for a decode slot.
    pub reserved: HashMap<AttemptId, u32>,
    /// Requests on it that this pool did not place.
    pub foreign: u32,
    /// Its last report.
    pub load: EngineLoad,
    /// Sum of `reserved`.
    pub reserved_total: u64,
    rate: f64,
    pace: PaceFit,
    shunned: Option<Instant>,
}

impl EngineView {
    /// An engine of which nothing is known yet.
    pub fn new(info: EngineInfo) -> Self {
        Self {
            info,
            reserved: HashMap::new(),
            foreign: 0,
            load: EngineLoad::default(),
            reserved_total: 0,
            rate: FIRST_PREFILL_RATE,
            pace: PaceFit::default(),
            shunned: None,
        }
    }

    /// Notes a placement.
    pub fn reserve(&mut self, attempt: &AttemptId, tokens: u32) {
        self.release(attempt);
        self.reserved.insert(attempt.clone(), tokens);
        self.reserved_total += u64::from(tokens);
    }

    /// Notes the end of a placement.
    pub fn release(&mut self, attempt: &AttemptId) {
        if let Some(tokens) = self.reserved.remove(attempt) {
            self.reserved_total -= u64::from(tokens);
        }
    }

    /// Whether it may get new work.
    pub fn is_available(&self, now: Instant) -> bool {
        let shunned = self.shunned.is_some_and(|until| now < until);
        !self.info.leaving && !self.load.leaving && !shunned
    }

    /// Gives it no work for a while after a failure.
    pub fn back_off(&mut self, now: Instant) {
        self.shunned = Some(now + PENALTY);
    }

    /// Takes in a report.
    pub fn observe_load(&mut self, load: EngineLoad) {
        if load.running > 0 && !load.pace.is_zero() {
            self.pace.observe(f64::from(load.running), load.pace.as_secs_f64());
        }
        self.load = load;
    }

    /// Takes in a finished prefill of `tokens` that took `time`.
    pub fn observe_prefill(&mut self, tokens: u32, time: Duration) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        let seen = f64::from(tokens) / time.as_secs_f64();
        self.rate += SMOOTHING * (seen - self.rate);
    }

    /// Time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate.max(1.0))
    }

    /// Time until its present prefills are done.
    pub fn backlog(&self) -> Duration {
        self.prefill_time(self.reserved_total)
    }

    /// Requests in its batch, own and foreign.
    pub fn batch(&self) -> u32 {
        self.reserved.len() as u32 + self.foreign
    }

    /// Most requests at which the time per token stays at `target`, by what was seen.
    pub fn batch_limit(&self, slots: u32, target: Duration) -> u32 {
        let by_pace = self.pace.largest(target.as_secs_f64());
        by_pace.map_or(slots, |largest| slots.min(largest.max(1)))
    }
}

/// Time per token as a line over the batch, fitted with older points fading.
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
            *sum *= FORGETTING;
        }
        self.weight += 1.0;
        self.x += batch;
        self.y += pace;
        self.xx += batch * batch;
        self.xy += batch * pace;
    }

    /// The batch at which the line meets `target`, when the points tell a rising line.
    fn largest(&self, target: f64) -> Option<u32> {
        let spread = self.weight * self.xx - self.x * self.x;
        if self.weight < 3.0 || spread < 1.0 {
            return None;
        }
        let slope = (self.weight * self.xy - self.x * self.y) / spread;
        let base = (self.y - slope * self.x) / self.weight;
        (slope > 0.0).then(|| ((target - base) / slope).max(0.0) as u32)
    }
}
