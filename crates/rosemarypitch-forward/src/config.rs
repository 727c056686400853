//! The configuration in force, as the request path reads it.
//!
//! A [`ConfigSnapshot`] is immutable: a new version of the configuration is a new value. Every
//! request keeps the one that it was matched against, and asks again where it has waited.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Grows with each change.
    pub version: u64,
    /// Routes by host name.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Customers by name.
    pub customers: HashMap<Arc<str>, Arc<Customer>>,
    /// The customer of each key.
    pub keys: HashMap<Arc<str>, Arc<Customer>>,
    /// What callers may send.
    pub bounds: CallerBounds,
}

impl ConfigSnapshot {
    /// The route of a path: of those whose prefix begins it, the longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let matching = routes.iter().filter(|route| path.starts_with(route.prefix.as_ref()));
        matching.max_by_key(|route| route.prefix.len())
    }
}

/// Where requests under one prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Beginning of the path.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, that earns full credit.
    pub target: Duration,
    /// Longest pause between events of a stream that is in time.
    pub gap: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// Most upstreams that one request is sent to.
    #[serde(rename = "sends")]
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run once at most.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may go on after a given event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again, a stream after the last event.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A set of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// What its engines hold, if it has engines.
    pub engine: Option<EngineSize>,
}

/// Size of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSize {
    /// Requests at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub tokens: u64,
    /// Longest time that a slot is held for a request to come.
    pub hold: Duration,
    /// Tokens in an event of a stream.
    #[serde(rename = "stride")]
    pub event_tokens: u64,
}

/// A customer and its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name.
    pub name: Arc<str>,
    /// Limit over all hosts; none means no limit.
    pub limit: Option<RateLimit>,
    /// What a request without token counts is counted as.
    pub flat_tokens: u64,
}

/// Rate and burst, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub header_time: Duration,
    /// Longest time between requests.
    pub idle_time: Duration,
}

impl Default for CallerBounds {
    /// In force until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
