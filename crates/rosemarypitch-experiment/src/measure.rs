//! Measures of a run, as samples per request and their summary by customer and in total.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// A request as measured by its caller.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Name of the customer.
    pub customer: String,
    /// Send time, since the start of the load.
    pub sent: Duration,
    /// Time to first token; none if no token arrived.
    pub ttft: Option<Duration>,
    /// Mean time per output token after the first; none with fewer than two tokens.
    pub tpot: Option<Duration>,
    /// Tokens used by prompt and output; 0 unless completed.
    pub tokens: u64,
    /// Tokens requested from the rate limit, for the prompt and the output limit.
    pub requested: u64,
    /// How the request ended.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely.
    Completed,
    /// Refused by the customer's rate limit.
    Limited,
    /// Refused because no engine was available.
    Unavailable,
    /// Failed for any other reason.
    Failed,
}

/// Latency targets of a run.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Maximum time to first token.
    pub ttft: Duration,
    /// Maximum mean time per output token.
    pub tpot: Duration,
}

/// Summary of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests per second that the engines can serve, computed from their speeds.
    pub capacity: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Requests answered completely within both latency targets.
    pub good: u64,
    /// Good requests per second.
    pub goodput: f64,
    /// Fraction of the requests that are good, from 0 to 1.
    #[serde(rename = "met")]
    pub good_ratio: f64,
    /// Requests refused because no engine was available.
    #[serde(rename = "full")]
    pub unavailable: u64,
    /// Requests refused by a rate limit.
    pub limited: u64,
    /// Rate-limited requests that a single exact token bucket would have admitted.
    pub wrongful: u64,
    /// Requests that failed for any other reason.
    pub failed: u64,
    /// Fraction of the prefilled tokens whose result no decode used, from 0 to 1.
    pub wasted: f64,
    /// Smallest fraction of good requests of any customer, from 0 to 1.
    #[serde(rename = "worst")]
    pub worst_ratio: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    #[serde(rename = "first_p95_ms")]
    pub ttft_p95_ms: f64,
    /// 95th percentile of the mean time per output token, in milliseconds.
    #[serde(rename = "pace_p95_ms")]
    pub tpot_p95_ms: f64,
    /// Measures by customer name.
    pub customers: BTreeMap<String, CustomerReport>,
}

/// Measures of one customer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CustomerReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely.
    #[serde(rename = "whole")]
    pub completed: u64,
    /// Requests answered completely within both latency targets.
    pub good: u64,
    /// Requests refused because no engine was available.
    #[serde(rename = "full")]
    pub unavailable: u64,
    /// Requests refused by the customer's rate limit.
    pub limited: u64,
    /// Rate-limited requests that a single exact token bucket would have admitted.
    pub wrongful: u64,
}

impl Sample {
    /// Whether the request was answered completely within both targets.
    pub fn is_good(&self, targets: Targets) -> bool {
        let ttft = self.ttft.is_some_and(|time| time <= targets.ttft);
        let tpot = self.tpot.is_none_or(|time| time <= targets.tpot);
        self.outcome == Outcome::Completed && ttft && tpot
    }
}

/// Summarizes the samples of a run.
///
/// `wrongful` marks the samples that were wrongly rate-limited, by index. `seconds` is the
/// length of the load. `prefill_totals` are the tokens computed by prefills and those of them
/// that no decode used.
pub fn summarize(
    samples: &[Sample],
    wrongful: &[bool],
    targets: Targets,
    seconds: f64,
    prefill_totals: (u64, u64),
) -> Report {
    let mut report = Report::default();
    for (sample, wrongful) in samples.iter().zip(wrongful) {
        let customer = report.customers.entry(sample.customer.clone()).or_default();
        let is_good = u64::from(sample.is_good(targets));
        let count = |outcome| u64::from(sample.outcome == outcome);
        customer.sent += 1;
        customer.good += is_good;
        customer.completed += count(Outcome::Completed);
        customer.unavailable += count(Outcome::Unavailable);
        customer.limited += count(Outcome::Limited);
        customer.wrongful += u64::from(*wrongful);
        report.failed += count(Outcome::Failed);
    }
    for customer in report.customers.values() {
        report.sent += customer.sent;
        report.completed += customer.completed;
        report.good += customer.good;
        report.unavailable += customer.unavailable;
        report.limited += customer.limited;
        report.wrongful += customer.wrongful;
    }
    let ratio = |count: u64, total: u64| count as f64 / total.max(1) as f64;
    report.goodput = report.good as f64 / seconds;
    report.good_ratio = ratio(report.good, report.sent);
    let ratios = report.customers.values().map(|customer| ratio(customer.good, customer.sent));
    report.worst_ratio = ratios.fold(1.0, f64::min);
    report.wasted = ratio(prefill_totals.1, prefill_totals.0);
    report.ttft_p95_ms = percentile(samples.iter().filter_map(|sample| sample.ttft));
    report.tpot_p95_ms = percentile(samples.iter().filter_map(|sample| sample.tpot));
    report
}

/// Marks the customer's samples that were rate-limited although a single exact token bucket
/// for the whole fleet would have admitted them.
///
/// The samples are in order of send time. The bucket is debited the tokens that were used;
/// `rate` is in tokens per second and `burst` in tokens.
pub fn wrongful_refusals(samples: &[Sample], customer: &str, rate: f64, burst: f64) -> Vec<bool> {
    let mut level = burst;
    let mut updated_at = Duration::ZERO;
    let mut marks = Vec::with_capacity(samples.len());
    for sample in samples {
        if sample.customer != customer {
            marks.push(false);
            continue;
        }
        let elapsed = sample.sent.saturating_sub(updated_at).as_secs_f64();
        level = (level + elapsed * rate).min(burst);
        updated_at = sample.sent;
        let limited = sample.outcome == Outcome::Limited;
        let fits = level >= sample.requested as f64;
        marks.push(limited && fits);
        if !limited {
            level -= sample.tokens as f64;
        }
    }
    marks
}

/// Returns the 95th percentile in milliseconds, or 0 without any times.
fn percentile(times: impl Iterator<Item = Duration>) -> f64 {
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    let index = (times.len() * 95).div_ceil(100).max(1) - 1;
    times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
