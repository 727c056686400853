//! Open-loop load against a running host.
//!
//! Requests are sent at their due times whether or not earlier ones are answered, and
//! latency counts from the due time, so that a slow router is not spared.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::caller::{Caller, Prompt, Streamed};
use crate::cli::LoadOptions;
use crate::failure::Failure;
use crate::plot;

/// Longest latency that histograms tell apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Bytes of text that a stand-in engine counts as one token.
const TOKEN_BYTES: usize = 4;

/// Description of a load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of arrivals and sizes.
    pub seed: u64,
    /// Length, in seconds.
    pub seconds: f64,
    /// Longest time to first token for a good request, in milliseconds.
    #[serde(default = "first_target")]
    pub first_ms: u64,
    /// Longest mean time between tokens for a good request, in milliseconds.
    #[serde(default = "pace_target")]
    pub pace_ms: u64,
    /// Streams of requests.
    pub streams: Vec<LoadStream>,
}

/// Requests of one customer and kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStream {
    /// Name in the result.
    pub name: String,
    /// Customer's key.
    pub key: String,
    /// Model.
    pub model: String,
    /// Path of a plain service; completions are sent without one.
    #[serde(default)]
    pub path: Option<String>,
    /// Requests per second.
    pub rate: f64,
    /// Fewest and most tokens of prompts.
    pub prompt: [u32; 2],
    /// Fewest and most tokens of outputs.
    pub output: [u32; 2],
}

/// What was measured.
#[derive(Debug, Serialize)]
pub struct LoadResult {
    /// Length, in seconds.
    pub seconds: f64,
    /// By stream.
    pub streams: BTreeMap<String, StreamResult>,
}

/// What was measured of one stream.
#[derive(Debug, Default, Serialize)]
pub struct StreamResult {
    /// Requests sent.
    pub sent: u64,
    /// Answered whole.
    pub whole: u64,
    /// Answered whole within both targets.
    pub good: u64,
    /// Good requests per second.
    pub goodput: f64,
    /// Tokens received.
    pub tokens: u64,
    /// Answers that were not whole, by status.
    pub refused: BTreeMap<u16, u64>,
    /// Time to first token, in microseconds, by quantile.
    pub first_us: BTreeMap<String, u64>,
    /// Time between tokens, in microseconds, by quantile.
    pub pace_us: BTreeMap<String, u64>,
}

/// One answered request.
pub struct Sample {
    /// Which stream.
    pub stream: usize,
    /// When it was due, from the start.
    pub due: Duration,
    /// What came of it.
    pub result: Streamed,
}

/// Sends load and reports what was measured.
pub fn run(options: &LoadOptions) -> Result<(), Failure> {
    let failed = |path: &Path, error| Failure::File(path.to_owned(), error);
    let text = fs::read_to_string(&options.file).map_err(|error| failed(&options.file, error))?;
    let plan: LoadPlan = serde_json::from_str(&text)
        .map_err(|error| Failure::Usage(format!("{}: {error}", options.file.display())))?;
    check(&plan)?;
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let samples = runtime.block_on(send(&plan, options));
    let result = summarize(&plan, &samples)?;
    let json = serde_json::to_string_pretty(&result);
    let json = json.map_err(|error| Failure::System(error.to_string()))?;
    match &options.out {
        Some(path) => fs::write(path, json).map_err(|error| failed(path, error))?,
        None => println!("{json}"),
    }
    match &options.plot {
        Some(path) => plot::draw(path, &plan, &samples),
        None => Ok(()),
    }
}

fn check(plan: &LoadPlan) -> Result<(), Failure> {
    let bad = |reason: &str| Err(Failure::Usage(reason.to_owned()));
    if !(plan.seconds > 0.0 && plan.seconds <= 3_600.0) {
        return bad("seconds must be above 0 and at most 3600");
    }
    for stream in &plan.streams {
        let ordered = |range: [u32; 2]| 0 < range[0] && range[0] <= range[1];
        if !(stream.rate > 0.0 && ordered(stream.prompt) && ordered(stream.output)) {
            return bad("rate, prompt and output must be above 0, and ranges in order");
        }
    }
    if plan.streams.is_empty() { bad("there are no streams") } else { Ok(()) }
}

async fn send(plan: &LoadPlan, options: &LoadOptions) -> Vec<Sample> {
    let caller = Caller::new(options.target);
    let arrivals = arrivals(plan);
    let bar =
        if options.quiet { ProgressBar::hidden() } else { ProgressBar::new(arrivals.len() as u64) };
    let (samples, mut done) = mpsc::unbounded_channel();
    let start = Instant::now();
    for (due, stream, prompt) in arrivals {
        tokio::time::sleep_until(start + due).await;
        let (caller, samples, bar) = (caller.clone(), samples.clone(), bar.clone());
        let path = plan.streams[stream].path.clone();
        tokio::spawn(async move {
            let result = match path {
                Some(path) => caller.call(&path, &prompt, start + due).await,
                None => caller.stream(&prompt, start + due).await,
            };
            bar.inc(1);
            // The receiver lives until all senders are gone.
            let _ = samples.send(Sample { stream, due, result });
        });
    }
    drop(samples);
    let mut all = Vec::new();
    while let Some(sample) = done.recv().await {
        all.push(sample);
    }
    bar.finish();
    all
}

/// All requests with their due times, in order; the same for the same seed.
fn arrivals(plan: &LoadPlan) -> Vec<(Duration, usize, Prompt)> {
    let mut all = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(plan.seed.wrapping_add(index as u64));
        let mut due = 0.0;
        loop {
            due += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / stream.rate;
            if due >= plan.seconds {
                break;
            }
            let tokens = random.random_range(stream.prompt[0]..=stream.prompt[1]) as usize;
            let mut text = format!("{}-{:x} ", stream.name, random.random::<u32>());
            while text.len() < tokens * TOKEN_BYTES {
                text.push_str("page of the file ");
            }
            text.truncate(tokens * TOKEN_BYTES);
            let output = random.random_range(stream.output[0]..=stream.output[1]);
            let prompt =
                Prompt { key: stream.key.clone(), model: stream.model.clone(), text, output };
            all.push((Duration::from_secs_f64(due), index, prompt));
        }
    }
    all.sort_by_key(|(due, _, _)| *due);
    all
}

/// Whether a request met both targets.
pub fn is_good(plan: &LoadPlan, result: &Streamed) -> bool {
    let first = result.first.is_some_and(|time| time <= Duration::from_millis(plan.first_ms));
    let pace = result.pace().is_none_or(|time| time <= Duration::from_millis(plan.pace_ms));
    result.whole && first && pace
}

fn summarize(plan: &LoadPlan, samples: &[Sample]) -> Result<LoadResult, Failure> {
    let mut streams = BTreeMap::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let own = samples.iter().filter(|sample| sample.stream == index);
        streams.insert(stream.name.clone(), summarize_stream(plan, own)?);
    }
    Ok(LoadResult { seconds: plan.seconds, streams })
}

fn summarize_stream<'a>(
    plan: &LoadPlan,
    samples: impl Iterator<Item = &'a Sample>,
) -> Result<StreamResult, Failure> {
    let histogram = || Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3);
    let failed = |error: hdrhistogram::CreationError| Failure::System(error.to_string());
    let mut first = histogram().map_err(failed)?;
    let mut pace = histogram().map_err(failed)?;
    let mut result = StreamResult::default();
    for Sample { result: streamed, .. } in samples {
        result.sent += 1;
        result.tokens += u64::from(streamed.tokens);
        if streamed.whole {
            result.whole += 1;
        } else {
            *result.refused.entry(streamed.status).or_default() += 1;
        }
        result.good += u64::from(is_good(plan, streamed));
        if let Some(time) = streamed.first {
            first.saturating_record(time.as_micros() as u64);
        }
        if let Some(time) = streamed.pace() {
            pace.saturating_record(time.as_micros() as u64);
        }
    }
    result.goodput = result.good as f64 / plan.seconds;
    result.first_us = quantiles(&first);
    result.pace_us = quantiles(&pace);
    Ok(result)
}

fn quantiles(histogram: &Histogram<u64>) -> BTreeMap<String, u64> {
    let points = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0)];
    points.map(|(name, at)| (name.to_owned(), histogram.value_at_quantile(at))).into()
}

fn first_target() -> u64 {
    380
}

fn pace_target() -> u64 {
    79
}
