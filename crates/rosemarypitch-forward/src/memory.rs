//! Forecast of an engine's memory.
//!
//! A running stream holds its prompt and the output that it has made, and grows until it
//! ends. Streams of an engine grow alike and end at different times, so the most that they
//! hold together is less than the sum of what each holds in the end.

pub use rosemarypitch_peer::StreamUse;

/// Part of the expected output that a stream is likely to add still when it has made as
/// much or more.
const OVERDUE_PART: f64 = 0.15;

/// Use of a stream that has made `made` tokens of `expected`.
pub fn stream_use(prompt: u64, made: u64, expected: u64) -> StreamUse {
    let overdue = (expected as f64 * OVERDUE_PART) as u64;
    StreamUse { held: prompt + made, growth: expected.saturating_sub(made).max(overdue) }
}

/// The most that streams hold together if nothing is added to them.
pub fn peak(mut streams: Vec<StreamUse>) -> u64 {
    streams.sort_by_key(|stream| stream.growth);
    let mut held: u64 = streams.iter().map(|stream| stream.held).sum();
    let mut most = 0;
    let count = streams.len() as u64;
    for (ended, stream) in (0..).zip(&streams) {
        // All that have not ended have grown as much as this one, which ends now.
        most = most.max(held + (count - ended) * stream.growth);
        held -= stream.held;
    }
    most
}
