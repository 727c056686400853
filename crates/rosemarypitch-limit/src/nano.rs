//! Fixed-point amounts of tokens.

use std::time::Duration;

/// Amount of tokens, or of tokens per second, in billionths.
pub type NanoTokens = u128;

/// Billionths in one token.
pub const NANOS_PER_TOKEN: NanoTokens = 1_000_000_000;

/// Tokens that accrue at `rate` tokens per second in `time`, rounded down.
pub fn accrued(rate: NanoTokens, time: Duration) -> NanoTokens {
    rate * time.as_nanos() / NANOS_PER_TOKEN
}

/// Time in which `amount` accrues at `rate`, rounded up; none if the rate is 0.
pub fn time_for(amount: NanoTokens, rate: NanoTokens) -> Option<Duration> {
    let nanos = (amount * NANOS_PER_TOKEN).checked_div(rate)? + 1;
    Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
}
