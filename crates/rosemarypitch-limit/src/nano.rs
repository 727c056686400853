//! Exact amounts of tokens.

use std::time::Duration;

/// Amount of tokens, in billionths.
pub type NanoTokens = u128;

/// One token.
pub const NANOS_PER_TOKEN: NanoTokens = 1_000_000_000;

/// What `rate` tokens a second, in billionths, give in `time`.
pub fn accrued(rate: NanoTokens, time: Duration) -> NanoTokens {
    rate * time.as_nanos() / NANOS_PER_TOKEN
}

/// Time in which `rate` gives `amount`, rounded up.
pub fn time_for(amount: NanoTokens, rate: NanoTokens) -> Option<Duration> {
    let nanos = (amount * NANOS_PER_TOKEN).checked_div(rate)? + 1;
    Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
}
