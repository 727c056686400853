//! Snapshots of the configuration, as the request path reads them.
//!
//! A [`ConfigSnapshot`] is immutable, and a new version of the configuration is a new
//! snapshot. A request keeps the snapshot that it was matched against, and reads the current
//! one again after it has waited.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cold::ColdRules;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes by host name.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Customers by name.
    pub customers: HashMap<Arc<str>, Arc<Customer>>,
    /// Customers by API key.
    pub keys: HashMap<Arc<str>, Arc<Customer>>,
    /// Size and time limits for callers.
    pub bounds: CallerBounds,
}

impl ConfigSnapshot {
    /// Services that have streams which another upstream can resume.
    pub fn resumable_services(&self) -> BTreeSet<Arc<str>> {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.kind == RouteKind::Stream { resumable: true });
        resumable.flat_map(|route| route.split.iter().map(|(name, _)| name.clone())).collect()
    }

    /// Returns the route with the longest prefix of `path` under a host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let matching = routes.iter().filter(|route| path.starts_with(route.prefix.as_ref()));
        matching.max_by_key(|route| route.prefix.len())
    }
}

/// Destination and limits of the requests under one path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Path prefix that a request has to match.
    pub prefix: Arc<str>,
    /// Which requests may be retried.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Target latency of the response, or of the first event of a stream.
    pub target: Duration,
    /// Longest pause between two events of a stream that meets its target.
    pub gap: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Traffic split as services and their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// Largest number of upstreams that one request is sent to.
    #[serde(rename = "sends")]
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub public: bool,
    /// Regions in which requests may be served; empty if in all.
    pub homes: Vec<Arc<str>>,
}

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream can resume the stream after a given event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have been executed may be sent again. A stream resumes
    /// after its last event.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Size of its engines; none for a plain service.
    pub engine: Option<EngineSize>,
    /// What its upstreams bear while they are cold; none if as much as later.
    pub cold: Option<ColdRules>,
}

/// Capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSize {
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Memory, in tokens.
    pub tokens: u64,
    /// Longest time for which a reserved slot waits for its request.
    pub hold: Duration,
    /// Tokens in one event of a stream.
    #[serde(rename = "stride")]
    pub event_tokens: u64,
}

/// A customer and its rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Limit over all hosts; none for no limit.
    pub limit: Option<RateLimit>,
    /// Tokens charged for a request without token counts.
    pub flat_tokens: u64,
    /// Regions in which its requests may be served; empty if in all.
    pub homes: Vec<Arc<str>>,
}

/// Token rate and burst size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be spent at once.
    pub burst: f64,
}

/// Size and time limits for callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a request head.
    pub header_time: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for CallerBounds {
    /// Limits in force until a configuration has been read.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
