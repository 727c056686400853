//! Request and response types of the operators' interface.

use std::collections::BTreeMap;
use std::sync::Arc;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use rosemarypitch_config::{Fault, Key};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Error response of the operators' interface.
#[derive(Clone, Debug, Serialize, JsonSchema, thiserror::Error)]
#[error("{detail}")]
pub struct AdminError {
    /// URN that identifies the kind of error.
    #[serde(rename = "type")]
    pub kind: String,
    /// Explanation for people.
    pub detail: String,
    /// Number of the active configuration, if the patch was based on another one.
    pub current: Option<u64>,
    /// All faults found in the submitted document or patch.
    pub faults: Vec<Fault>,
    /// HTTP status.
    pub status: u16,
}

impl AdminError {
    /// Creates an error; `kind` is the last part of its URN.
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

/// Path parameter that names a customer or an upstream.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct NamePath {
    /// Name of the customer or upstream.
    pub name: String,
}

/// Path parameters that identify a customer's key.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct KeyPath {
    /// Name of the customer.
    pub name: String,
    /// Digest of the key.
    pub digest: String,
}

/// Result of an accepted change.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// Number of the configuration that contains the change.
    pub number: u64,
    /// Identifier of the patch.
    pub patch: String,
}

/// Request for a new key.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct NewKey {
    /// Note on who uses the key.
    #[serde(default)]
    pub label: String,
}

/// Newly created key; its secret is returned only once.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct MadeKey {
    /// Key in plain text, for the customer.
    pub secret: String,
    /// Digest that identifies the key in the configuration.
    pub digest: String,
    /// Number of the configuration that contains the key.
    pub number: u64,
}

/// Keys of a customer.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Keys {
    /// Labels of the keys, by digest.
    pub keys: BTreeMap<String, Key>,
}

/// State of the fleet in the view of this host.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// This host.
    pub host: HostStatus,
    /// All known peers, including those that are shutting down.
    pub peers: Vec<HostStatus>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<Arc<str>, UpstreamStatus>,
    /// Number of open requests on this host.
    pub open: i64,
    /// Whether callers are served.
    pub ready: bool,
}

/// State of one host.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostStatus {
    /// Name of the host.
    pub host: Arc<str>,
    /// Incarnation, which changes with every restart.
    pub incarnation: u64,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Number of the active configuration.
    pub number: u64,
    /// Time since the platform last confirmed that number, in milliseconds.
    pub config_age_ms: u32,
    /// Number of limit shares that the host owns.
    pub shares: u32,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

/// State of one upstream in the configuration.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamStatus {
    /// Address of the upstream.
    pub address: String,
    /// Data centre of the upstream.
    pub data_centre: Arc<str>,
    /// Whether the upstream receives no new requests.
    pub leaving: bool,
}
