//! The `load` command: open-loop load against a running host.
//!
//! Each request is sent at its due time, whether or not earlier requests have completed.
//! Latency is measured from the due time, which avoids coordinated omission: a slow router
//! cannot lower its measured latency by delaying later requests.

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

use crate::cli::LoadOptions;
use crate::client::{CallResult, CompletionRequest, RouterClient};
use crate::failure::Failure;
use crate::plot;

/// Upper bound of the latency histograms, in microseconds; longer latencies are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Bytes of text that a simulated engine counts as one token.
const TOKEN_BYTES: usize = 4;

/// Load to send, as read from the plan file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of the arrival times and token counts.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Target for the time to first token, in milliseconds.
    #[serde(rename = "first_ms", default = "default_ttft_ms")]
    pub ttft_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    #[serde(rename = "pace_ms", default = "default_tpot_ms")]
    pub tpot_ms: u64,
    /// Request streams, which run at the same time.
    pub streams: Vec<LoadStream>,
}

/// Requests of one customer to one model or plain service, as a Poisson process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStream {
    /// Name of the stream in the result.
    pub name: String,
    /// API key of the customer.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Path of a plain service to call; without a path the stream sends completions.
    #[serde(default)]
    pub path: Option<String>,
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Minimum and maximum prompt length, in tokens.
    pub prompt: [u32; 2],
    /// Minimum and maximum output length, in tokens.
    pub output: [u32; 2],
}

/// Measurements of a load run.
#[derive(Debug, Serialize)]
pub struct LoadResult {
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Measurements by stream name.
    pub streams: BTreeMap<String, StreamResult>,
}

/// Measurements of one request stream.
#[derive(Debug, Default, Serialize)]
pub struct StreamResult {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with a complete successful response.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Number of complete responses that met both latency targets.
    pub good: u64,
    /// Goodput: good requests per second.
    pub goodput: f64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of failed or incomplete responses by status code; 0 counts missing responses.
    pub refused: BTreeMap<u16, u64>,
    /// Time to first token, in microseconds, by quantile.
    #[serde(rename = "first_us")]
    pub ttft_us: BTreeMap<String, u64>,
    /// Time between tokens, in microseconds, by quantile.
    #[serde(rename = "pace_us")]
    pub tpot_us: BTreeMap<String, u64>,
}

/// One finished request of the load.
pub struct Sample {
    /// Index of its stream in the plan.
    pub stream_index: usize,
    /// Due time, from the start of the load.
    pub due: Duration,
    /// Outcome and timing.
    pub result: CallResult,
}

/// Sends the load of a plan, prints or writes the result and draws the plot if requested.
pub fn run(options: &LoadOptions) -> Result<(), Failure> {
    let file_failure = |path: &Path, error| Failure::File(path.to_owned(), error);
    let text =
        fs::read_to_string(&options.file).map_err(|error| file_failure(&options.file, error))?;
    let plan: LoadPlan = serde_json::from_str(&text)
        .map_err(|error| Failure::Usage(format!("{}: {error}", options.file.display())))?;
    check_plan(&plan)?;
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let samples = runtime.block_on(run_load(&plan, options));
    let result = summarize(&plan, &samples)?;
    let json = serde_json::to_string_pretty(&result);
    let json = json.map_err(|error| Failure::System(error.to_string()))?;
    match &options.out {
        Some(path) => fs::write(path, json).map_err(|error| file_failure(path, error))?,
        None => println!("{json}"),
    }
    match &options.plot {
        Some(path) => plot::draw(path, &plan, &samples),
        None => Ok(()),
    }
}

fn check_plan(plan: &LoadPlan) -> Result<(), Failure> {
    let invalid = |reason: &str| Err(Failure::Usage(reason.to_owned()));
    if !(plan.seconds > 0.0 && plan.seconds <= 3_600.0) {
        return invalid("load plan: seconds must be above 0 and at most 3600");
    }
    for stream in &plan.streams {
        let is_range = |range: [u32; 2]| 0 < range[0] && range[0] <= range[1];
        if !(stream.rate > 0.0 && is_range(stream.prompt) && is_range(stream.output)) {
            return invalid(
                "load plan: rate, prompt and output must be above 0, with minimum <= maximum",
            );
        }
    }
    if plan.streams.is_empty() { invalid("load plan: streams must not be empty") } else { Ok(()) }
}

async fn run_load(plan: &LoadPlan, options: &LoadOptions) -> Vec<Sample> {
    let client = RouterClient::new(options.target);
    let arrivals = arrivals(plan);
    let bar =
        if options.quiet { ProgressBar::hidden() } else { ProgressBar::new(arrivals.len() as u64) };
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    for (due, stream_index, request) in arrivals {
        tokio::time::sleep_until(start + due).await;
        let (client, sender, bar) = (client.clone(), sender.clone(), bar.clone());
        let path = plan.streams[stream_index].path.clone();
        tokio::spawn(async move {
            let result = match path {
                Some(path) => client.call_service(&path, &request, start + due).await,
                None => client.complete_streaming(&request, start + due).await,
            };
            bar.inc(1);
            // Cannot fail: the receiver outlives all senders.
            let _ = sender.send(Sample { stream_index, due, result });
        });
    }
    drop(sender);
    let mut samples = Vec::new();
    while let Some(sample) = receiver.recv().await {
        samples.push(sample);
    }
    bar.finish();
    samples
}

/// Returns all requests with their due time and stream index, ordered by due time.
///
/// The result depends on the plan only, so that a run can be repeated.
fn arrivals(plan: &LoadPlan) -> Vec<(Duration, usize, CompletionRequest)> {
    let mut arrivals = Vec::new();
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
            let max_output = random.random_range(stream.output[0]..=stream.output[1]);
            let request = CompletionRequest {
                key: stream.key.clone(),
                model: stream.model.clone(),
                text,
                max_output,
            };
            arrivals.push((Duration::from_secs_f64(due), index, request));
        }
    }
    arrivals.sort_by_key(|(due, _, _)| *due);
    arrivals
}

/// Whether a response is complete and met both latency targets of the plan.
pub fn meets_targets(plan: &LoadPlan, result: &CallResult) -> bool {
    let ttft_met = result.ttft.is_some_and(|time| time <= Duration::from_millis(plan.ttft_ms));
    let tpot_met = result.tpot().is_none_or(|time| time <= Duration::from_millis(plan.tpot_ms));
    result.complete && ttft_met && tpot_met
}

fn summarize(plan: &LoadPlan, samples: &[Sample]) -> Result<LoadResult, Failure> {
    let mut streams = BTreeMap::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let stream_samples = samples.iter().filter(|sample| sample.stream_index == index);
        streams.insert(stream.name.clone(), summarize_stream(plan, stream_samples)?);
    }
    Ok(LoadResult { seconds: plan.seconds, streams })
}

fn summarize_stream<'a>(
    plan: &LoadPlan,
    samples: impl Iterator<Item = &'a Sample>,
) -> Result<StreamResult, Failure> {
    let histogram = || Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
    let creation_failure = |error: hdrhistogram::CreationError| Failure::System(error.to_string());
    let mut ttft = histogram().map_err(creation_failure)?;
    let mut tpot = histogram().map_err(creation_failure)?;
    let mut result = StreamResult::default();
    for Sample { result: call, .. } in samples {
        result.sent += 1;
        result.tokens += u64::from(call.tokens);
        if call.complete {
            result.completed += 1;
        } else {
            *result.refused.entry(call.status).or_default() += 1;
        }
        result.good += u64::from(meets_targets(plan, call));
        if let Some(time) = call.ttft {
            ttft.saturating_record(time.as_micros() as u64);
        }
        if let Some(time) = call.tpot() {
            tpot.saturating_record(time.as_micros() as u64);
        }
    }
    result.goodput = result.good as f64 / plan.seconds;
    result.ttft_us = quantiles(&ttft);
    result.tpot_us = quantiles(&tpot);
    Ok(result)
}

fn quantiles(histogram: &Histogram<u64>) -> BTreeMap<String, u64> {
    let points = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0)];
    points.map(|(name, quantile)| (name.to_owned(), histogram.value_at_quantile(quantile))).into()
}

fn default_ttft_ms() -> u64 {
    380
}

fn default_tpot_ms() -> u64 {
    79
}
