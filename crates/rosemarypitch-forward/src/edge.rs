//! What the forwarding path asks of a deployment: its wire format and its store.
//!
//! A [`Dialect`] reads and writes the headers and bodies of one deployment, and decodes
//! each message once. A [`Directory`] reads and watches what the deployment's store says.
//! Nothing behind these traits decides anything.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, request, response};

use crate::config::ConfigSnapshot;
use crate::registry::Upstream;

/// What a caller's request head says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Identifier of the caller's attempt.
    pub attempt: Arc<str>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// Tokens of a model request.
    pub tokens: Option<Tokens>,
}

/// Tokens of a model request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens.
    pub prompt: u64,
    /// Most output tokens.
    pub output: u64,
    /// The caller's guess at the output tokens.
    pub guess: Option<u64>,
}

impl Tokens {
    /// Prompt and output together.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// A request head outside the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {reason}")]
pub struct HeadFault {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// What is added to a request on its way to an upstream.
#[derive(Clone, Debug)]
pub struct Sending<'a> {
    /// The upstream that is to take it; any other must refuse it.
    pub upstream: &'a str,
    /// The customer, unless the route is public.
    pub customer: Option<&'a str>,
    /// How long the upstream may work.
    pub patience: Duration,
    /// After which event the answer begins.
    pub resume: Resume<'a>,
    /// What an engine is to do.
    pub stage: SendStage<'a>,
}

/// After which event of a stream an answer begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume<'a> {
    /// At the beginning, whatever the caller says.
    Never,
    /// After the event that the caller names, if any.
    Callers,
    /// After this event, which the caller has had.
    After(&'a str),
}

/// What an upstream is to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendStage<'a> {
    /// Run it.
    Run {
        /// A reserved slot.
        hold: Option<&'a str>,
        /// Where the KV cache of the prompt lies.
        source: Option<&'a KvSource>,
    },
    /// Read the prompt and keep its KV cache.
    Prefill,
}

/// A KV cache at the engine that read the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Identifier of the engine.
    pub engine: Arc<str>,
    /// Address of the engine.
    pub address: std::net::SocketAddr,
    /// Name of the cache at that engine.
    pub handle: Arc<str>,
}

/// What an answer head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The attempt that it answers.
    pub attempt: Option<Arc<str>>,
    /// The upstream says that it did not run the request.
    pub not_run: bool,
    /// The upstream has signed it.
    pub sealed: bool,
    /// The load of the upstream.
    pub load: Option<Load>,
    /// The body is encoded, so it is not the upstream's.
    pub encoded: bool,
}

/// Load of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// A call to an engine that is no caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCall<'a> {
    /// Reserves a slot and memory.
    Hold {
        /// Tokens of memory.
        tokens: u64,
        /// How long.
        time: Duration,
    },
    /// Gives a reserved slot back.
    DropHold(&'a str),
    /// Frees a KV cache.
    FreeCache(&'a str),
}

/// Wire format of a deployment.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's request head.
    fn call_head(&self, head: &request::Parts) -> Result<CallHead, HeadFault>;

    /// Headers of a request to an upstream.
    fn upstream_headers(&self, head: &request::Parts, sending: &Sending<'_>) -> HeaderMap;

    /// Reads an upstream's answer head.
    fn answer_head(&self, head: &response::Parts) -> AnswerHead;

    /// Headers of an answer to a caller.
    fn caller_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Marks a refusal with the attempt that it answers.
    fn mark_refusal(&self, headers: &mut HeaderMap, attempt: &str);

    /// A call to the engine `upstream`.
    fn engine_call(&self, upstream: &str, call: &EngineCall<'_>) -> Request<Bytes>;

    /// Reads the name of a reserved slot.
    fn hold_name(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Reads the name of a KV cache.
    fn cache_name(&self, body: &[u8]) -> Option<Arc<str>>;
}

/// A call to the store under way.
pub type DirectoryCall<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, DirectoryError>> + Send + 'a>>;

/// A call to the store that gave no usable answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The store does not keep the history that was asked for.
    #[error("store: the history is gone")]
    Compacted,
    /// No answer, or a refusal.
    #[error("store {peer}: {step}: {reason}")]
    Unavailable {
        /// What was asked.
        step: &'static str,
        /// The store's address.
        peer: Arc<str>,
        /// What went wrong.
        reason: Arc<str>,
    },
}

/// Something that the store says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A configuration.
    Site(Arc<ConfigSnapshot>),
    /// An upstream is there.
    Upstream(Upstream),
    /// An upstream's entry is gone or cannot be read.
    NoUpstream(Arc<str>),
    /// A host is there: its name and what it wrote of itself.
    Host(Arc<str>, Bytes),
    /// A host's entry is gone.
    NoHost(Arc<str>),
    /// The secret that hosts share.
    Secret(Arc<str>),
}

/// Facts up to a revision of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// In the order of their revisions.
    pub facts: Vec<Fact>,
    /// The revision.
    pub revision: u64,
}

/// The store of a deployment.
pub trait Directory: Send + Sync + 'static {
    /// All that is there now.
    fn read(&self) -> DirectoryCall<'_, Facts>;

    /// What has changed after a revision; waits for something up to `wait`.
    fn watch(&self, after: u64, wait: Duration) -> DirectoryCall<'_, Facts>;

    /// Starts a lease.
    fn lease(&self, time: Duration) -> DirectoryCall<'_, u64>;

    /// Renews a lease; false if it has ended.
    fn keep(&self, lease: u64) -> DirectoryCall<'_, bool>;

    /// Writes this host's entry under a lease.
    fn announce<'a>(&'a self, host: &'a str, entry: Bytes, lease: u64) -> DirectoryCall<'a, ()>;

    /// Proposes a secret for the hosts to share; the first one stays.
    fn propose_secret<'a>(&'a self, secret: &'a str) -> DirectoryCall<'a, ()>;
}
