//! Errors of upstream calls.

use std::sync::Arc;

use rosemarypitch_route::Executed;

/// An upstream call that gave no usable answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("upstream {upstream}: {step}: {kind}")]
pub struct UpstreamError {
    /// The call that failed.
    pub step: &'static str,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// What went wrong.
    pub kind: ErrorKind,
}

/// What went wrong with an upstream call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// No connection; nothing was sent.
    #[error("no connection")]
    Connect,
    /// The connection broke after something may have been sent.
    #[error("connection lost")]
    Lost,
    /// No answer within the deadline.
    #[error("no answer in time")]
    Timeout,
    /// It has no room, and did nothing.
    #[error("busy")]
    Busy,
    /// It does not hold what was asked for, or holds it no more.
    #[error("not held")]
    NotHeld,
    /// It refused an order with an old fencing number.
    #[error("order with old fencing number, {0} is in force")]
    Fenced(u64),
    /// It refused the call.
    #[error("refused with status {0}")]
    Refused(u16),
    /// An answer outside the protocol.
    #[error("bad answer: {0}")]
    Protocol(String),
}

impl UpstreamError {
    /// Makes an error.
    pub fn new(step: &'static str, upstream: &Arc<str>, kind: ErrorKind) -> Self {
        Self { step, upstream: upstream.clone(), kind }
    }

    /// Whether the upstream may have run what was sent.
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
