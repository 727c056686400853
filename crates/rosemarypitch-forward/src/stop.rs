//! Which requests a stopping host still accepts.
//!
//! A request that an upstream has received cannot be handed over to another host. If it has not
//! ended when the grace period does, it is cut. A host that stops therefore refuses the requests
//! that it is not forecast to finish, so that their callers can retry elsewhere at once.
//!
//! The load balancer notices the stop only after a while. Until then requests are accepted if a
//! likely run ends in time: many callers arrive, and a refusal costs each of them a retry.
//! Later requests come on connections that were kept for earlier ones, and are accepted only if
//! even a long run ends in time.

use std::time::Duration;

use tokio::time::Instant;

use crate::deployment::Tokens;
use crate::pool::Estimate;
use crate::router::StopPhase;

/// Longest time of a run, in multiples of the forecast for its longest output.
const PACE_MARGIN: f64 = 1.25;
/// Time of a likely run, in multiples of the mean.
const LIKELY_TIME: f64 = 2.0;
/// Weight of the latest request in the moving average of run times.
const MEAN_WEIGHT: f64 = 0.05;
/// Fraction that the longest run time loses with each request.
const LONGEST_DECAY: f64 = 0.005;

/// When a stopping host gives up its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Those without a response are refused.
    pub cut: Instant,
    /// The process ends, and with it the streams that have begun.
    pub exit: Instant,
}

/// Output tokens for which a request must have time when it is accepted in `phase`.
pub fn required_output(phase: StopPhase, tokens: Tokens, estimate: Estimate) -> u64 {
    match phase {
        StopPhase::Running | StopPhase::Leaving => estimate.output,
        StopPhase::Finishing | StopPhase::Cutting => (tokens.output as f64 * PACE_MARGIN) as u64,
    }
}

/// Times that the requests to a plain service take.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// Moving average; none before the first request has ended.
    mean: Option<Duration>,
    /// Longest recent time.
    longest: Duration,
}

impl RunTimes {
    /// Adds a request that has ended.
    pub fn record(&mut self, time: Duration) {
        let mean = self.mean.unwrap_or(time);
        self.mean = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + time.mul_f64(MEAN_WEIGHT));
        self.longest = time.max(self.longest.mul_f64(1.0 - LONGEST_DECAY));
    }

    /// Time for which a request must have time when it is accepted in `phase`; none if that is
    /// not known.
    pub fn required(&self, phase: StopPhase) -> Option<Duration> {
        let mean = self.mean?;
        Some(match phase {
            StopPhase::Running | StopPhase::Leaving => mean.mul_f64(LIKELY_TIME).min(self.longest),
            StopPhase::Finishing | StopPhase::Cutting => self.longest.mul_f64(PACE_MARGIN),
        })
    }
}
