//! Forecast of the peak memory (KV cache) of an engine.
//!
//! A running stream occupies memory for its prompt and its output so far, and grows until it
//! ends. The streams of an engine grow at the same rate and end at different times, so the
//! peak of their sum is less than the sum of their final sizes.

pub use rosemarypitch_peer::StreamUse;

/// Least growth still expected of a stream, as a fraction of its expected output; applies to
/// streams that are about to reach or have exceeded that output.
const OVERDUE_FRACTION: f64 = 0.15;

/// Memory use of a stream that has generated `generated` of `expected` output tokens.
pub fn stream_use(prompt: u64, generated: u64, expected: u64) -> StreamUse {
    let overdue = (expected as f64 * OVERDUE_FRACTION) as u64;
    StreamUse { held: prompt + generated, growth: expected.saturating_sub(generated).max(overdue) }
}

/// Peak of the memory that the streams occupy together if none is added, in tokens.
pub fn peak(mut streams: Vec<StreamUse>) -> u64 {
    streams.sort_by_key(|stream| stream.growth);
    let mut held: u64 = streams.iter().map(|stream| stream.held).sum();
    let mut peak = 0;
    let count = streams.len() as u64;
    for (ended, stream) in (0..).zip(&streams) {
        // When this stream ends, every remaining stream has grown by the same amount.
        peak = peak.max(held + (count - ended) * stream.growth);
        held -= stream.held;
    }
    peak
}
