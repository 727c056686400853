//! Errors of calls to upstreams.

use std::sync::Arc;

use rosemarypitch_route::Executed;

/// A call to an upstream that returned no usable response.
#[derive(Clone, Debug, thiserror::Error)]
#[error("upstream {upstream}: {step}: {kind}")]
pub struct UpstreamError {
    /// Operation that failed, such as `prefill` or `decode`.
    pub step: &'static str,
    /// Name of the upstream in the configuration.
    pub upstream: Arc<str>,
    /// Cause of the failure.
    pub kind: ErrorKind,
}

/// Cause of a failed call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// The connection could not be opened; nothing was sent.
    #[error("no connection")]
    Connect,
    /// The connection broke after part of the request may have been sent.
    #[error("connection lost")]
    Lost,
    /// No response arrived before the deadline.
    #[error("no answer in time")]
    Timeout,
    /// The upstream has no capacity and did not execute the request.
    #[error("busy")]
    Busy,
    /// The upstream does not hold the requested result, or no longer does.
    #[error("not held")]
    NotHeld,
    /// The engine refused an order whose fencing number is lower than this one, which is in force.
    #[error("order with old fencing number, {0} is in force")]
    Fenced(u64),
    /// The upstream refused the call with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The response violates the protocol.
    #[error("bad answer: {0}")]
    Protocol(String),
}

impl UpstreamError {
    /// Creates an error of operation `step`.
    pub fn new(step: &'static str, upstream: &Arc<str>, kind: ErrorKind) -> Self {
        Self { step, upstream: upstream.clone(), kind }
    }

    /// Whether the upstream may have executed the request.
    pub fn executed(&self) -> Executed {
        match self.kind {
            ErrorKind::Connect
            | ErrorKind::Busy
            | ErrorKind::NotHeld
            | ErrorKind::Fenced(_)
            | ErrorKind::Refused(_) => Executed::No,
            ErrorKind::Lost | ErrorKind::Timeout | ErrorKind::Protocol(_) => Executed::Maybe,
        }
    }
}
