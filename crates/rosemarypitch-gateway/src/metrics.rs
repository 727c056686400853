//! Prometheus metrics of an entry host.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Maximum number of customers with a label of their own, which bounds the cardinality.
const MAX_CUSTOMERS: usize = 512;
/// Label shared by all further customers.
const OTHER_CUSTOMERS: &str = "_other";
/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.25, 0.38, 0.6, 1.0, 2.0, 5.0, 20.0];

/// Metrics of one process and their registry.
pub struct Metrics {
    registry: Registry,
    customers: Mutex<HashSet<String>>,
    first_token: HistogramVec,
    token_interval: HistogramVec,
    queue_wait: HistogramVec,
    requests: IntCounterVec,
    /// Steps of attempts, by step and outcome.
    pub attempts: IntCounterVec,
    /// Dropped frames of earlier attempts.
    pub stale_frames: IntCounter,
    /// Calls to the platform's store, by step and outcome.
    pub store_calls: IntCounterVec,
    /// Number of the active configuration.
    pub config_number: IntGauge,
    /// Number of known peers.
    pub peers: IntGauge,
    /// Number of limit shares that this host owns.
    pub shares: IntGauge,
    /// Number of queued requests, by owned pool.
    pub queued: IntGaugeVec,
    /// Number of open requests.
    pub open_requests: IntGauge,
    /// Number of cancellations that an engine has not acknowledged yet.
    pub pending_cancels: IntGauge,
    /// Bytes exchanged with peers, by direction.
    pub peer_bytes: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which no input can cause.
    pub fn new() -> Self {
        let registry = Registry::new();
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
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
            first_token: latency("rosemarypitch_first_token_seconds", "Time to first token"),
            token_interval: latency("rosemarypitch_token_pace_seconds", "Mean time between tokens"),
            queue_wait: latency("rosemarypitch_queue_wait_seconds", "Wait for limit and engines"),
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

    /// Records the time to first token of a request.
    pub fn observe_first_token(&self, customer: &str, class: &str, duration: Duration) {
        let labels = [self.customer_label(customer), class];
        self.first_token.with_label_values(&labels).observe(duration.as_secs_f64());
    }

    /// Records the mean time between two tokens of a request.
    pub fn observe_token_interval(&self, customer: &str, class: &str, duration: Duration) {
        let labels = [self.customer_label(customer), class];
        self.token_interval.with_label_values(&labels).observe(duration.as_secs_f64());
    }

    /// Records how long a request waited for its limit and for engines.
    pub fn observe_queue_wait(&self, customer: &str, class: &str, duration: Duration) {
        let labels = [self.customer_label(customer), class];
        self.queue_wait.with_label_values(&labels).observe(duration.as_secs_f64());
    }

    /// Counts a finished request.
    pub fn count_request(&self, customer: &str, class: &str, outcome: &str) {
        self.requests.with_label_values(&[self.customer_label(customer), class, outcome]).inc();
    }

    /// Counts a finished step of an attempt.
    pub fn count_attempt(&self, step: &str, outcome: &str) {
        self.attempts.with_label_values(&[step, outcome]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            log::error!("metrics: encoding failed: {error}");
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Returns the label of a customer, which is a shared one beyond [`MAX_CUSTOMERS`].
    fn customer_label<'a>(&self, customer: &'a str) -> &'a str {
        let mut customers = self.customers.lock().unwrap_or_else(PoisonError::into_inner);
        if customers.contains(customer) {
            return customer;
        }
        if customers.len() >= MAX_CUSTOMERS {
            return OTHER_CUSTOMERS;
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
