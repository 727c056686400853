//! Errors of calls between hosts.

use std::sync::Arc;

/// A call to a peer that gave no usable answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("peer {address}: {step}: {kind}")]
pub struct PeerError {
    /// The step that failed.
    pub step: &'static str,
    /// The peer's address.
    pub address: Arc<str>,
    /// What went wrong.
    pub kind: ErrorKind,
}

/// What went wrong with a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// No connection; nothing was sent.
    #[error("no connection")]
    Connect,
    /// The connection broke; the peer may have acted.
    #[error("connection lost")]
    Lost,
    /// No answer in time; the peer may have acted.
    #[error("no answer in time")]
    Timeout,
    /// The peer does not know the fleet's secret, or speaks another version.
    #[error("handshake refused")]
    Handshake,
    /// A message outside the protocol.
    #[error("bad message: {0}")]
    Message(String),
}
