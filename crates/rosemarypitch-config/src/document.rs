//! The versioned configuration document.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::secret::Digest;

/// Everything that operators can change at run time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Version of the document; the first accepted patch produces version 1.
    pub number: u64,
    /// Customers by name.
    pub customers: BTreeMap<Arc<str>, Customer>,
    /// Models by the name that callers use.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Latency targets and queue bounds by class.
    pub classes: BTreeMap<Class, Target>,
    /// Model engines and servers of plain services by name.
    pub upstreams: BTreeMap<Arc<str>, Upstream>,
    /// Plain services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Data centres of each region; a region that is not listed includes all data centres.
    pub regions: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Number of limit shares of each data centre; cannot change once set.
    pub shares: BTreeMap<Arc<str>, u32>,
    /// The most recently accepted patches, newest last.
    pub patches: Vec<PatchMark>,
}

impl Document {
    /// Total number of limit shares over all data centres.
    pub fn share_count(&self) -> u32 {
        self.shares.values().sum()
    }

    /// Whether a data centre belongs to a region.
    pub fn is_in_region(&self, data_centre: &Arc<str>, region: &str) -> bool {
        self.regions.get(region).is_none_or(|names| names.contains(data_centre))
    }

    /// The targets of a class, or the default targets if none are configured.
    pub fn target(&self, class: Class) -> Target {
        self.classes.get(&class).copied().unwrap_or_default()
    }
}

/// Record of an accepted patch, by which a retry of it is recognized.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PatchMark {
    /// Identifier chosen by the sender of the patch.
    pub id: Arc<str>,
    /// Version of the document that the patch produced.
    pub number: u64,
}

/// A customer with its keys and limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Class of the customer's requests.
    #[serde(default)]
    pub class: Class,
    /// Token rate and burst, enforced over all hosts together.
    pub limit: Limit,
    /// API keys by digest.
    #[serde(default)]
    pub keys: BTreeMap<Digest, Key>,
    /// Whether the customer's keys are accepted.
    #[serde(default = "enabled")]
    pub active: bool,
}

/// Parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Refill rate, in tokens per second.
    pub rate: u64,
    /// Bucket size, in tokens.
    pub burst: u64,
}

/// An API key of a customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Operators' note on who uses the key.
    #[serde(default)]
    pub label: Arc<str>,
}

/// A class of requests with its own latency targets.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short, interactive requests.
    #[default]
    Short,
    /// Requests with long prompts.
    Long,
}

impl Class {
    /// The name used in metrics and JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// Latency targets and queue bound of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time to first token, in milliseconds.
    pub first_ms: u64,
    /// Time per output token after the first, in milliseconds.
    pub pace_ms: u64,
    /// Longest wait in the queue before the request is refused, in milliseconds.
    pub wait_ms: u64,
}

impl Default for Target {
    fn default() -> Self {
        Self { first_ms: 380, pace_ms: 79, wait_ms: 3_000 }
    }
}

/// A language model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Lower bound on the bytes of text per token, used to bound the tokens of a prompt.
    pub token_bytes: u32,
    /// Longest prompt, in tokens.
    pub max_prompt: u32,
    /// Longest output, in tokens.
    pub max_output: u32,
    /// Output limit if the request sets none, in tokens.
    pub default_output: u32,
}

/// A server that requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Role of the server, and the model or service that it serves.
    pub kind: UpstreamKind,
    /// IP address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: Arc<str>,
    /// Whether the server accepts new requests.
    #[serde(default)]
    pub state: UpstreamState,
    /// Whether connections to the server use TLS.
    #[serde(default)]
    pub tls: bool,
}

/// Role of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamKind {
    /// Prefills prompts for a model.
    Prefill {
        /// Name of the model.
        model: Arc<str>,
    },
    /// Decodes output tokens for a model.
    Decode {
        /// Name of the model.
        model: Arc<str>,
        /// Most requests that the engine decodes concurrently.
        slots: u32,
    },
    /// Serves calls of a plain service.
    Service {
        /// Name of the service.
        service: Arc<str>,
    },
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Finishes its current requests and accepts no new ones.
    Leaving,
}

/// A plain HTTP service behind a route prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Route prefix, such as `/entry-desk`.
    pub prefix: Arc<str>,
    /// Whether calls need no API key.
    #[serde(default)]
    pub open: bool,
    /// Whether calls of every method may be retried; if not, only GET, HEAD and OPTIONS are.
    #[serde(default)]
    pub idempotent: bool,
    /// Tokens debited from the customer's limit per call.
    #[serde(default)]
    pub cost: u64,
    /// Largest accepted request body, in bytes.
    #[serde(default = "max_body")]
    pub max_body: u64,
    /// Timeout of a whole call, in milliseconds.
    #[serde(default = "deadline")]
    pub deadline_ms: u64,
}

fn enabled() -> bool {
    true
}

fn max_body() -> u64 {
    1 << 20
}

fn deadline() -> u64 {
    30_000
}
