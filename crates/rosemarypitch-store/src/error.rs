//! Errors of calls to the platform.

use std::sync::Arc;

/// A call to the platform that returned no usable response.
#[derive(Clone, Debug, thiserror::Error)]
#[error("platform {address}: {step} {key}: {kind}")]
pub struct StoreError {
    /// Operation that failed, such as `read` or `swap`.
    pub step: &'static str,
    /// Address of the platform.
    pub address: Arc<str>,
    /// Key or prefix of the call.
    pub key: Arc<str>,
    /// Cause of the failure.
    pub kind: ErrorKind,
}

/// Cause of a failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// The connection could not be opened; the call had no effect.
    #[error("unreachable")]
    Unreachable,
    /// No response or a server error; a write may have taken effect.
    #[error("no answer, outcome unknown")]
    OutcomeUnknown,
    /// This host's rate limit was reached; the call was not sent.
    #[error("call budget spent")]
    RateLimited,
    /// The response violates the protocol.
    #[error("bad answer: {0}")]
    Protocol(String),
}

impl StoreError {
    /// Whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self.kind, ErrorKind::Unreachable | ErrorKind::RateLimited)
    }
}
