//! Messages of the operators' interface.

use std::collections::BTreeMap;
use std::sync::Arc;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use rosemarypitch_config::{Fault, Key};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An error of the operators' interface.
#[derive(Clone, Debug, Serialize, JsonSchema, thiserror::Error)]
#[error("{detail}")]
pub struct AdminError {
    /// Stable name of the kind of error.
    #[serde(rename = "type")]
    pub kind: String,
    /// What happened.
    pub detail: String,
    /// Number of the configuration in force, when the patch was against another.
    pub current: Option<u64>,
    /// Each thing wrong with what was sent.
    pub faults: Vec<Fault>,
    /// HTTP status.
    pub status: u16,
}

impl AdminError {
    /// An error with a status and a kind.
    pub fn new(status: ErrorStatusCode, kind: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:rosemarypitch:problem:{kind}"),
            detail: detail.into(),
            current: None,
            faults: Vec::new(),
            status: status.as_u16(),
        }
    }
}

impl From<HttpError> for AdminError {
    fn from(error: HttpError) -> Self {
        Self::new(error.status_code, "bad-request", error.external_message)
    }
}

impl HttpResponseError for AdminError {
    fn status_code(&self) -> ErrorStatusCode {
        let code = ErrorStatusCode::from_u16(self.status);
        code.unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Names one thing.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct NamePath {
    /// Its name.
    pub name: String,
}

/// Names a customer's key.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct KeyPath {
    /// Name of the customer.
    pub name: String,
    /// Digest of the key.
    pub digest: String,
}

/// A number of the configuration, and the change that made it.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// Number in force.
    pub number: u64,
    /// Identifier of the patch.
    pub patch: String,
}

/// A new key.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct NewKey {
    /// Note on who holds it.
    #[serde(default)]
    pub label: String,
}

/// A key that was made; its secret is shown this once.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct MadeKey {
    /// The key.
    pub secret: String,
    /// Digest under which it is kept.
    pub digest: String,
    /// Number of the configuration in force.
    pub number: u64,
}

/// Keys of a customer, by digest.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Keys {
    /// Notes on who holds them.
    pub keys: BTreeMap<String, Key>,
}

/// State of the fleet as this host sees it.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// This host.
    pub host: HostStatus,
    /// Peers.
    pub peers: Vec<HostStatus>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<Arc<str>, UpstreamStatus>,
    /// Requests being answered here.
    pub open: i64,
    /// Whether callers are served.
    pub ready: bool,
}

/// State of one host.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostStatus {
    /// Its name.
    pub host: Arc<str>,
    /// Which run of it.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Number of the configuration in force.
    pub number: u64,
    /// Milliseconds since that number was compared with the platform's.
    pub config_age_ms: u32,
    /// Limit shares owned.
    pub shares: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// State of one upstream by the configuration.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamStatus {
    /// Its address.
    pub address: String,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it takes new work.
    pub leaving: bool,
}
