//! Speeds of single engines, learned from the requests that this host has sent there.
//!
//! Engines of one pool may differ: in their machines, in what else runs there, and for some
//! seconds after their start. An engine of which nothing is known yet counts as one of mean
//! speed, and what is known is forgotten with the process that it is known of.

/// Weight of a prefill that was slower than the work known to be ahead explains. It may have waited
/// behind prompts of other hosts.
const SLOWER_WEIGHT: f64 = 0.2;
/// Weight of the latest stream in the average time of a token.
const TOKEN_WEIGHT: f64 = 0.2;
/// Smallest and largest speed in multiples of the mean, so that a single odd value neither
/// attracts all requests nor bans an engine.
const RANGE: (f64, f64) = (0.2, 5.0);

/// A prompt that is being prefilled, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// Size of the prompt.
    pub prompt: u64,
    /// Size of the prompts that were known to be ahead of it.
    pub ahead: u64,
}

/// Deviation from the mean up to which engines count as equally fast. What a prefill waits for is
/// only known in part, so single engines seem somewhat faster or slower at any time.
const TOLERANCE: f64 = 0.25;

/// Speeds of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Prompt tokens per millisecond.
    prefill: Option<f64>,
    /// Seconds for an output token.
    token_time: Option<f64>,
}

impl Speed {
    /// Records a prefill that took `millis`, behind others that were known.
    pub fn record_prefill(&mut self, prefill: Prefill, millis: f64) {
        let Prefill { prompt, ahead } = prefill;
        // It was read at least as fast as its own time says, and at most as if all that was known
        // to be ahead had to be read first.
        let least = prompt as f64 / millis.max(1.0);
        let most = (prompt + ahead) as f64 / millis.max(1.0);
        let old = self.prefill.unwrap_or(least);
        let slower = (most - old).min(0.0) * SLOWER_WEIGHT;
        self.prefill = Some((old + slower).max(least));
    }

    /// Records the time of an output token of a stream, in seconds.
    pub fn record_token_time(&mut self, time: f64) {
        let old = self.token_time.unwrap_or(time);
        self.token_time = Some(old + TOKEN_WEIGHT * (time - old));
    }

    /// Prompt tokens per millisecond; none before the first prefill.
    pub fn known_prefill(&self) -> Option<f64> {
        self.prefill
    }

    /// Prompt tokens per millisecond, given the mean of the pool.
    pub fn prefill(&self, mean: f64) -> f64 {
        self.prefill.map_or(mean, |speed| mean * ratio(speed / mean.max(f64::MIN_POSITIVE)))
    }

    /// Time of an output token in multiples of the mean of the pool, in seconds.
    pub fn slowness(&self, mean: Option<f64>) -> f64 {
        let known = self.token_time.zip(mean.filter(|mean| *mean > 0.0));
        known.map_or(1.0, |(time, mean)| ratio(time / mean))
    }
}

/// A ratio to the mean that is within [`RANGE`], or 1 if it does not differ enough.
fn ratio(ratio: f64) -> f64 {
    if (ratio - 1.0).abs() <= TOLERANCE { 1.0 } else { ratio.clamp(RANGE.0, RANGE.1) }
}
