//! Counters and histograms of the forwarding path.

use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds; they cover targets of 0.1 s to 1 s.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 0.9, 1.5, 3.0, 10.0];

/// Metrics of one host, with their registry.
pub struct Metrics {
    registry: Registry,
    responses: IntCounterVec,
    latency: HistogramVec,
    wait: HistogramVec,
    sends: IntCounterVec,
    gauges: IntGaugeVec,
    connections: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            responses: counter("answers_total", "Answers to callers", &["service", "outcome"]),
            latency: histogram(
                "answer_seconds",
                "Time to an answer's head",
                &["service", "customer"],
            ),
            wait: histogram("queue_seconds", "Wait for a decode slot", &["service", "customer"]),
            sends: counter("sends_total", "Requests to upstreams", &["step", "outcome"]),
            connections: counter(
                "connections_total",
                "Connections of callers by what became of them",
                &["outcome"],
            ),
            gauges: gauge("known", "Versions and sizes that are known", &["what"]),
            registry,
        };
        let all: [Box<dyn prometheus::core::Collector>; 6] = [
            Box::new(metrics.responses.clone()),
            Box::new(metrics.latency.clone()),
            Box::new(metrics.wait.clone()),
            Box::new(metrics.sends.clone()),
            Box::new(metrics.gauges.clone()),
            Box::new(metrics.connections.clone()),
        ];
        for collector in all {
            if let Err(error) = metrics.registry.register(collector) {
                log::error!("metrics: metric not registered: {error}");
            }
        }
        metrics
    }

    /// Counts a response to a caller, and records the time to its head.
    pub fn record_response(&self, service: &str, customer: &str, outcome: &str, time: Duration) {
        self.responses.with_label_values(&[service, outcome]).inc();
        self.latency.with_label_values(&[service, customer]).observe(time.as_secs_f64());
    }

    /// Records a wait for a decode slot.
    pub fn record_wait(&self, service: &str, customer: &str, time: Duration) {
        self.wait.with_label_values(&[service, customer]).observe(time.as_secs_f64());
    }

    /// Counts a request to an upstream.
    pub fn count_send(&self, step: &str, outcome: &str) {
        self.sends.with_label_values(&[step, outcome]).inc();
    }

    /// Counts a connection of a caller.
    pub fn count_connection(&self, outcome: &str) {
        self.connections.with_label_values(&[outcome]).inc();
    }

    /// Sets the gauge of the version or size that `what` names.
    pub fn set_gauge(&self, what: &str, value: u64) {
        self.gauges.with_label_values(&[what]).set(i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// All metrics in the Prometheus text format; empty if they cannot be encoded.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            log::error!("metrics: cannot be encoded: {error}");
            String::new()
        })
    }
}

fn name(short: &str) -> String {
    format!("rosemarypitch_forward_{short}")
}

fn counter(short: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    // Names and labels are constants, so an error can only be a programming error.
    #[allow(clippy::unwrap_used)]
    IntCounterVec::new(Opts::new(name(short), help), labels).unwrap()
}

fn gauge(short: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    #[allow(clippy::unwrap_used)]
    IntGaugeVec::new(Opts::new(name(short), help), labels).unwrap()
}

fn histogram(short: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name(short), help).buckets(LATENCY_BUCKETS.to_vec());
    #[allow(clippy::unwrap_used)]
    HistogramVec::new(options, labels).unwrap()
}
