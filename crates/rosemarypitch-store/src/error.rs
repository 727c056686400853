//! Errors of platform calls.

use std::sync::Arc;

/// A platform call that gave no usable answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("platform {address}: {step} {key}: {kind}")]
pub struct StoreError {
    /// The call that failed.
    pub step: &'static str,
    /// The platform's address.
    pub address: Arc<str>,
    /// The key it was about.
    pub key: Arc<str>,
    /// What went wrong.
    pub kind: ErrorKind,
}

/// What went wrong with a platform call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// No connection; the call had no effect.
    #[error("unreachable")]
    Unreachable,
    /// No answer; a write may have taken effect.
    #[error("no answer, outcome unknown")]
    OutcomeUnknown,
    /// This host's call budget is spent; the call was not sent.
    #[error("call budget spent")]
    RateLimited,
    /// An answer outside the protocol.
    #[error("bad answer: {0}")]
    Protocol(String),
}

impl StoreError {
    /// Whether the call surely had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self.kind, ErrorKind::Unreachable | ErrorKind::RateLimited)
    }
}
