//! The numbered configuration document.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::secret::Digest;

/// Everything that operators configure while the system runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Version of the document; the first accepted one is 1.
    pub number: u64,
    /// Customers by name.
    pub customers: BTreeMap<Arc<str>, Customer>,
    /// Models by the name that callers use.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Latency targets and queue bounds by class.
    pub classes: BTreeMap<Class, Target>,
    /// Model engines and plain services' servers by name.
    pub upstreams: BTreeMap<Arc<str>, Upstream>,
    /// Plain services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Data centres of each region; a region that is not named here has all of them.
    pub regions: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Limit shares of each data centre; fixed once set.
    pub shares: BTreeMap<Arc<str>, u32>,
    /// The last accepted patches, newest last.
    pub patches: Vec<PatchMark>,
}

impl Document {
    /// The shares of all data centres together.
    pub fn share_count(&self) -> u32 {
        self.shares.values().sum()
    }

    /// Whether a data centre belongs to a region.
    pub fn is_in_region(&self, data_centre: &Arc<str>, region: &str) -> bool {
        self.regions.get(region).is_none_or(|names| names.contains(data_centre))
    }

    /// The targets of a class, or the default ones.
    pub fn target(&self, class: Class) -> Target {
        self.classes.get(&class).copied().unwrap_or_default()
    }
}

/// The trace that an accepted patch leaves, so that a repeat learns its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PatchMark {
    /// Identifier chosen by whoever sent the patch.
    pub id: Arc<str>,
    /// Number of the document that the patch made.
    pub number: u64,
}

/// A customer with its keys and limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Class of its requests.
    #[serde(default)]
    pub class: Class,
    /// Rate and burst over all hosts together.
    pub limit: Limit,
    /// Keys by digest.
    #[serde(default)]
    pub keys: BTreeMap<Digest, Key>,
    /// Whether its keys work.
    #[serde(default = "enabled")]
    pub active: bool,
}

/// A token rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be taken at once.
    pub burst: u64,
}

/// A key of a customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Operators' note on who holds it.
    #[serde(default)]
    pub label: Arc<str>,
}

/// A class of requests with its own targets.
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
    /// Short desk jobs.
    #[default]
    Short,
    /// Long reading jobs.
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

/// Latency targets of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time to first token, in milliseconds.
    pub first_ms: u64,
    /// Time between tokens, in milliseconds.
    pub pace_ms: u64,
    /// Longest wait in the queue before a refusal, in milliseconds.
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
    /// Fewest bytes of text that one token can stand for.
    pub token_bytes: u32,
    /// Longest prompt, in tokens.
    pub max_prompt: u32,
    /// Longest output, in tokens.
    pub max_output: u32,
    /// Output bound when the caller names none, in tokens.
    pub default_output: u32,
}

/// A server that requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// What it serves.
    pub kind: UpstreamKind,
    /// Address by IP number and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Whether it is reached by TLS.
    #[serde(default)]
    pub tls: bool,
}

/// The part an upstream plays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamKind {
    /// Reads prompts of a model.
    Prefill {
        /// The model.
        model: Arc<str>,
    },
    /// Generates tokens of a model.
    Decode {
        /// The model.
        model: Arc<str>,
        /// Requests it holds at once.
        slots: u32,
    },
    /// Answers a plain service's calls.
    Service {
        /// The service.
        service: Arc<str>,
    },
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// It does.
    #[default]
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// A plain service behind a route prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Route prefix, such as `/entry-desk`.
    pub prefix: Arc<str>,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether every call may be repeated; if not, only GET, HEAD and OPTIONS may.
    #[serde(default)]
    pub idempotent: bool,
    /// Tokens debited from the customer's limit for each call.
    #[serde(default)]
    pub cost: u64,
    /// Largest request body, in bytes.
    #[serde(default = "max_body")]
    pub max_body: u64,
    /// Time for a whole call, in milliseconds.
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
