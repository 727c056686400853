//! What is measured of a run, defined once.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Customer.
    pub customer: String,
    /// When it was sent, from the start of the load.
    pub sent: Duration,
    /// Time to the first token.
    pub ttft: Option<Duration>,
    /// Mean time between tokens after the first.
    pub tpot: Option<Duration>,
    /// Tokens of prompt and output used.
    pub tokens: u64,
    /// Tokens that its debit asked for.
    pub requested: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole.
    Completed,
    /// Refused for the customer's limit.
    Limited,
    /// Refused for want of engines.
    Unavailable,
    /// Failed in some other way.
    Failed,
}

/// Targets of a run.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Longest time to first token.
    pub ttft: Duration,
    /// Longest mean time between tokens.
    pub tpot: Duration,
}

/// The measures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests a second that the engines can serve, from their own speeds.
    pub capacity: f64,
    /// Requests sent.
    pub sent: u64,
    /// Answered whole.
    pub whole: u64,
    /// Answered whole within both targets.
    pub good: u64,
    /// Good requests a second.
    pub goodput: f64,
    /// Part of all requests that met both targets.
    pub met: f64,
    /// Refused for want of engines.
    pub full: u64,
    /// Refused for a limit.
    pub limited: u64,
    /// Refused for a limit although one exact bucket would have admitted them.
    pub wrongful: u64,
    /// Failed in some other way.
    pub failed: u64,
    /// Part of prefilled tokens whose result no decode used.
    pub wasted: f64,
    /// Smallest part of a customer's requests that met both targets.
    pub worst: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    pub pace_p95_ms: f64,
    /// By customer.
    pub customers: BTreeMap<String, CustomerReport>,
}

/// The measures of one customer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CustomerReport {
    /// Requests sent.
    pub sent: u64,
    /// Answered whole.
    pub whole: u64,
    /// Answered whole within both targets.
    pub good: u64,
    /// Refused for want of engines.
    pub full: u64,
    /// Refused for its limit.
    pub limited: u64,
    /// Refused for its limit although one exact bucket would have admitted them.
    pub wrongful: u64,
}

impl Sample {
    /// Whether it was answered whole within both targets.
    pub fn is_good(&self, targets: Targets) -> bool {
        let ttft = self.ttft.is_some_and(|time| time <= targets.ttft);
        let tpot = self.tpot.is_none_or(|time| time <= targets.tpot);
        self.outcome == Outcome::Completed && ttft && tpot
    }
}

/// Sums up the samples of a run of `seconds`; `wrongful` tells of each sample whether it
/// was refused wrongfully.
pub fn summarize(
    samples: &[Sample],
    wrongful: &[bool],
    targets: Targets,
    seconds: f64,
    wasted: (u64, u64),
) -> Report {
    let mut report = Report::default();
    for (sample, wrongful) in samples.iter().zip(wrongful) {
        let own = report.customers.entry(sample.customer.clone()).or_default();
        let good = u64::from(sample.is_good(targets));
        let count = |outcome| u64::from(sample.outcome == outcome);
        own.sent += 1;
        own.good += good;
        own.whole += count(Outcome::Completed);
        own.full += count(Outcome::Unavailable);
        own.limited += count(Outcome::Limited);
        own.wrongful += u64::from(*wrongful);
        report.failed += count(Outcome::Failed);
    }
    for own in report.customers.values() {
        report.sent += own.sent;
        report.whole += own.whole;
        report.good += own.good;
        report.full += own.full;
        report.limited += own.limited;
        report.wrongful += own.wrongful;
    }
    let part = |some: u64, all: u64| some as f64 / all.max(1) as f64;
    report.goodput = report.good as f64 / seconds;
    report.met = part(report.good, report.sent);
    let parts = report.customers.values().map(|own| part(own.good, own.sent));
    report.worst = parts.fold(1.0, f64::min);
    report.wasted = part(wasted.1, wasted.0);
    report.first_p95_ms = percentile(samples.iter().filter_map(|sample| sample.ttft));
    report.pace_p95_ms = percentile(samples.iter().filter_map(|sample| sample.tpot));
    report
}

/// For each sample, whether it was refused although one exact bucket for the whole fleet
/// would have admitted it; the bucket counts the tokens that were used.
pub fn wrongful_refusals(samples: &[Sample], customer: &str, rate: f64, burst: f64) -> Vec<bool> {
    let mut level = burst;
    let mut at = Duration::ZERO;
    let mut marks = Vec::with_capacity(samples.len());
    for sample in samples {
        if sample.customer != customer {
            marks.push(false);
            continue;
        }
        let passed = sample.sent.saturating_sub(at).as_secs_f64();
        level = (level + passed * rate).min(burst);
        at = sample.sent;
        let refused = sample.outcome == Outcome::Limited;
        let fits = level >= sample.requested as f64;
        marks.push(refused && fits);
        if !refused {
            level -= sample.tokens as f64;
        }
    }
    marks
}

fn percentile(times: impl Iterator<Item = Duration>) -> f64 {
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    let at = (times.len() * 95).div_ceil(100).max(1) - 1;
    times.get(at).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
