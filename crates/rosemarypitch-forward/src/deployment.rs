//! Interfaces to the deployment: its wire format and its configuration store.
//!
//! A [`Dialect`] parses and writes the headers and bodies of one deployment, and decodes
//! each message only once. A [`Directory`] reads and watches the entries in the
//! deployment's store. Implementations of these traits make no routing decisions.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, request, response};
use serde::{Deserialize, Serialize};

use crate::config::ConfigSnapshot;
use crate::registry::Upstream;
use crate::versions::{StoredVersion, StreamRecord, StreamVersion, VersionChange};

/// Largest token count of one request, so that the sums over many requests do not overflow.
pub const MAX_TOKENS: u64 = 1 << 40;

/// Metadata parsed from the head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// Identifier that the caller gave this attempt.
    pub attempt: Arc<str>,
    /// API key of the caller.
    pub key: Option<Arc<str>>,
    /// Time that the caller will wait for its response.
    pub timeout: Option<Duration>,
    /// Token counts, if this is a model request.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt that other requests may share, in order.
    pub parts: Vec<Arc<str>>,
    /// Stream that this attempt takes up, if it does.
    pub takeup: Option<TakeUp>,
}

/// A stream that a caller takes up after its connection broke.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakeUp {
    /// Attempt that brought the first event, if the caller names it.
    pub first: Option<Arc<str>>,
}

/// Token counts of a model request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub output: u64,
    /// Caller's estimate of the number of output tokens.
    pub guess: Option<u64>,
}

impl Tokens {
    /// Sum of prompt tokens and maximum output tokens.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// A header that violates the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {reason}")]
pub struct HeaderError {
    /// Name of the header.
    pub header: &'static str,
    /// Reason why its value was rejected.
    pub reason: &'static str,
}

/// Parameters of one attempt, sent to the upstream in headers of its request.
#[derive(Clone, Debug)]
pub struct SendParams<'a> {
    /// Identifier of the intended upstream; any other must refuse the request.
    pub upstream: &'a str,
    /// Name of the customer, unless the route is public.
    pub customer: Option<&'a str>,
    /// Time that the upstream has for its response.
    pub timeout: Duration,
    /// Event after which the response stream starts.
    pub resume: ResumeFrom<'a>,
    /// Part of the work that an engine does.
    pub stage: ServingStage<'a>,
}

/// Position in an event stream at which a response starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeFrom<'a> {
    /// The beginning; a position requested by the caller is ignored.
    Start,
    /// After the event that the caller's `Last-Event-ID` names, if there is one.
    CallerPosition,
    /// After the event with this identifier, which the caller has received.
    Event(&'a str),
}

/// Part of a request's work that is requested from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServingStage<'a> {
    /// Runs the request.
    Run {
        /// Identifier of the slot reservation to use.
        reservation: Option<&'a str>,
        /// Engine to fetch the prompt's KV cache from.
        source: Option<&'a KvSource>,
    },
    /// Processes the prompt and keeps its KV cache.
    Prefill,
}

/// A KV cache held by the engine that prefilled the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Identifier of that engine.
    pub engine: Arc<str>,
    /// Address of that engine.
    pub address: std::net::SocketAddr,
    /// Handle of the cache, valid at that engine only.
    pub handle: Arc<str>,
}

/// Metadata parsed from the head of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// Echo of the request's attempt identifier.
    pub attempt: Option<Arc<str>>,
    /// Whether the upstream reports that it did not run the request.
    pub not_run: bool,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Current load of the upstream.
    pub load: Option<Load>,
    /// Whether the upstream reports that it leaves.
    pub leaving: bool,
    /// Time for which the upstream reports that it is still cold.
    pub cold: Option<Duration>,
    /// Time for which the upstream wants no further requests of this host.
    pub rest: Option<Duration>,
    /// Whether the body has a content encoding; upstreams never apply one.
    pub encoded: bool,
}

/// Load of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// A control request of the router to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCommand<'a> {
    /// Reserves a slot and memory for its KV cache.
    Reserve {
        /// Memory to reserve, in tokens.
        tokens: u64,
        /// Time after which an unused reservation expires.
        ttl: Duration,
    },
    /// Releases the slot reservation with this identifier.
    Release(&'a str),
    /// Frees the KV cache with this handle.
    FreeCache(&'a str),
}

/// Wire format of a deployment.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMeta, HeaderError>;

    /// Returns the headers of a request to an upstream.
    fn upstream_headers(&self, head: &request::Parts, params: &SendParams<'_>) -> HeaderMap;

    /// Parses the head of an upstream's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseMeta;

    /// Returns the headers of the response to a caller, given the head of the upstream's.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Adds the attempt identifier to the headers of a refusal.
    fn mark_refusal(&self, headers: &mut HeaderMap, attempt: &str);

    /// Builds a control request to the engine `upstream`.
    fn engine_command(&self, upstream: &str, command: &EngineCommand<'_>) -> Request<Bytes>;

    /// Parses the identifier in a response to [`EngineCommand::Reserve`].
    fn reservation_id(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Parses the KV cache handle in a response to a prefill.
    fn cache_handle(&self, body: &[u8]) -> Option<Arc<str>>;
}

/// Future of a call to the store.
pub type DirectoryCall<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, DirectoryError>> + Send + 'a>>;

/// A failed call to the store.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The requested revision has been compacted; everything has to be read again.
    #[error("store: the history is gone")]
    Compacted,
    /// The store was restored from a copy; everything has to be read again.
    #[error("store: restored from a copy era={era}")]
    Restored {
        /// Era of the store now.
        era: u64,
    },
    /// A complete response that is too long or cannot be decoded; the same request would get it
    /// again.
    #[error("store {address}: {step}: unreadable: {reason}")]
    Unreadable {
        /// Operation that failed.
        step: &'static str,
        /// Address of the store.
        address: Arc<str>,
        /// Description of the failure.
        reason: Arc<str>,
    },
    /// No response, or an error.
    #[error("store {address}: {step}: {reason}")]
    Unavailable {
        /// Operation that failed.
        step: &'static str,
        /// Address of the store.
        address: Arc<str>,
        /// Description of the failure.
        reason: Arc<str>,
    },
}

/// An entry read from the store, or a change to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The configuration was set.
    Config(Arc<ConfigSnapshot>),
    /// An upstream's entry was written.
    Upstream(Upstream),
    /// An upstream's entry was removed or cannot be decoded.
    UpstreamRemoved(Arc<str>),
    /// A host's entry was written: the host's name and the encoded entry.
    Host(Arc<str>, Bytes),
    /// A host's entry was removed.
    HostRemoved(Arc<str>),
    /// The secret shared by all hosts was set.
    Secret(Arc<str>),
    /// Operators took this data centre out of service.
    Evacuated(Arc<str>),
    /// Operators returned this data centre to service.
    EvacuationEnded(Arc<str>),
    /// The entry of a service's sole version was written.
    Version(Arc<str>, StoredVersion),
}

/// Position in the history of the store.
///
/// A store that is restored from a copy loses its latest changes and gives out their revisions
/// again, so revisions have an order only within one era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StorePosition {
    /// Number of the store's current run; increases each time it is restored.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Updates up to and including a position of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Updates {
    /// Updates in order of revision.
    pub updates: Vec<Update>,
    /// Position of the store that they reach.
    pub position: StorePosition,
}

/// The store of a deployment.
pub trait Directory: Send + Sync + 'static {
    /// Reads all current entries.
    fn read(&self) -> DirectoryCall<'_, Updates>;

    /// Returns the changes after the position `after`; waits up to `wait` for the first one.
    fn watch(&self, after: StorePosition, wait: Duration) -> DirectoryCall<'_, Updates>;

    /// Requests a lease that expires after `ttl` unless renewed, and returns its identifier.
    fn grant_lease(&self, ttl: Duration) -> DirectoryCall<'_, u64>;

    /// Renews a lease; returns false if it has expired.
    fn renew_lease(&self, lease: u64) -> DirectoryCall<'_, bool>;

    /// Writes this host's entry, which the store removes when the lease expires.
    ///
    /// A write that was not answered may be executed later. It must not replace a later one, whose
    /// lease is the one that is renewed.
    fn announce<'a>(&'a self, host: &'a str, entry: Bytes, lease: u64) -> DirectoryCall<'a, ()>;

    /// Proposes the secret shared by all hosts; the first proposal wins.
    fn propose_secret<'a>(&'a self, secret: &'a str) -> DirectoryCall<'a, ()>;

    /// Changes the entry of a service's sole version, if its revision is still the expected one;
    /// returns the entry as it is then.
    fn change_version<'a>(&'a self, change: &'a VersionChange) -> DirectoryCall<'a, StoredVersion>;

    /// Records which versions began streams, until the lease expires; returns false if it has.
    fn record_streams<'a>(
        &'a self,
        records: &'a [StreamRecord],
        lease: u64,
    ) -> DirectoryCall<'a, bool>;

    /// Reads what is known now of the version that began a stream of a service; `attempt` is the
    /// one that brought its first event, if the caller has named it.
    fn stream_version<'a>(
        &'a self,
        service: &'a str,
        attempt: Option<&'a str>,
    ) -> DirectoryCall<'a, StreamVersion>;
}
