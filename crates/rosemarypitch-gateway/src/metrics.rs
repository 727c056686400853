//! Metrics of one host.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Most customers with histograms of their own; further ones share one.
const MAX_CUSTOMERS: usize = 512;
/// Label of customers beyond that number.
const OTHER: &str = "_other";
/// Bounds of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.25, 0.38, 0.6, 1.0, 2.0, 5.0, 20.0];

/// Metrics of one host.
pub struct Metrics {
    registry: Registry,
    customers: Mutex<HashSet<String>>,
    first: HistogramVec,
    pace: HistogramVec,
    wait: HistogramVec,
    requests: IntCounterVec,
    /// Attempts by step and outcome.
    pub attempts: IntCounterVec,
    /// Frames of attempts that were no longer current.
    pub stale_frames: IntCounter,
    /// Platform calls by step and outcome.
    pub store_calls: IntCounterVec,
    /// Number of the configuration in force.
    pub config_number: IntGauge,
    /// Peers that are there.
    pub peers: IntGauge,
    /// Limit shares owned.
    pub shares: IntGauge,
    /// Requests in the queues of owned pools.
    pub queued: IntGaugeVec,
    /// Requests being answered.
    pub open_requests: IntGauge,
    /// Cancels that an engine has not yet acknowledged.
    pub pending_cancels: IntGauge,
    /// Bytes between this host and its peers, by direction.
    pub peer_bytes: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    ///
    /// When two metrics have one name, which no input can cause.
    pub fn new() -> Self {
        let registry = Registry::new();
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            let metric = HistogramVec::new(options, &["customer", "class"]).expect("valid name");
            registry.register(Box::new(metric.clone())).expect("unique name");
            metric
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
            registry.register(Box::new(metric.clone())).expect("unique name");
            metric
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid name");
            registry.register(Box::new(metric.clone())).expect("unique name");
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("valid name");
            registry.register(Box::new(metric.clone())).expect("unique name");
            metric
        };
        let stale_frames =
            IntCounter::new("rosemarypitch_late_frames_total", "Frames of past attempts dropped")
                .expect("valid name");
        registry.register(Box::new(stale_frames.clone())).expect("unique name");
        Self {
            first: latency("rosemarypitch_first_token_seconds", "Time to first token"),
            pace: latency("rosemarypitch_token_pace_seconds", "Mean time between tokens"),
            wait: latency("rosemarypitch_queue_wait_seconds", "Wait for limit and engines"),
            requests: counters(
                "rosemarypitch_requests_total",
                "Requests by customer, class and outcome",
                &["customer", "class", "outcome"],
            ),
            attempts: counters(
                "rosemarypitch_attempts_total",
                "Attempts by step and outcome",
                &["step", "outcome"],
            ),
            stale_frames,
            store_calls: counters(
                "rosemarypitch_store_calls_total",
                "Platform calls by step and outcome",
                &["step", "outcome"],
            ),
            config_number: gauge("rosemarypitch_config_number", "Configuration number in force"),
            peers: gauge("rosemarypitch_peers", "Peers heard from"),
            shares: gauge("rosemarypitch_limit_shares", "Limit shares owned"),
            queued: gauges(
                "rosemarypitch_pool_queued",
                "Requests queued in owned pools",
                &["pool"],
            ),
            open_requests: gauge("rosemarypitch_open_requests", "Requests being answered"),
            pending_cancels: gauge("rosemarypitch_cancels_pending", "Cancels not yet acknowledged"),
            peer_bytes: gauges("rosemarypitch_peer_bytes", "Bytes to and from peers", &["way"]),
            registry,
            customers: Mutex::default(),
        }
    }

    /// Notes the time to the first token.
    pub fn observe_first_token(&self, customer: &str, class: &str, time: Duration) {
        let labels = [self.label(customer), class];
        self.first.with_label_values(&labels).observe(time.as_secs_f64());
    }

    /// Notes the mean time between tokens of one request.
    pub fn observe_token_interval(&self, customer: &str, class: &str, time: Duration) {
        let labels = [self.label(customer), class];
        self.pace.with_label_values(&labels).observe(time.as_secs_f64());
    }

    /// Notes the wait for the limit and for engines.
    pub fn observe_queue_wait(&self, customer: &str, class: &str, time: Duration) {
        let labels = [self.label(customer), class];
        self.wait.with_label_values(&labels).observe(time.as_secs_f64());
    }

    /// Counts a request by its outcome.
    pub fn count_request(&self, customer: &str, class: &str, outcome: &str) {
        self.requests.with_label_values(&[self.label(customer), class, outcome]).inc();
    }

    /// Counts an attempt's step.
    pub fn count_attempt(&self, step: &str, outcome: &str) {
        self.attempts.with_label_values(&[step, outcome]).inc();
    }

    /// All metrics in prometheus' text form.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            log::error!("metrics: cannot be written: {error}");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The customer's label, bounded in number.
    fn label<'a>(&self, customer: &'a str) -> &'a str {
        let mut customers = self.customers.lock().unwrap_or_else(PoisonError::into_inner);
        if customers.contains(customer) {
            return customer;
        }
        if customers.len() >= MAX_CUSTOMERS {
            return OTHER;
        }
        customers.insert(customer.to_owned());
        customer
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
