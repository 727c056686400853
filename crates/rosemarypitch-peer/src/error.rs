//! Errors of calls between hosts.

use std::sync::Arc;

/// A call to a peer that returned no usable reply.
#[derive(Clone, Debug, thiserror::Error)]
#[error("peer {address}: {step}: {kind}")]
pub struct PeerError {
    /// Step that failed, such as `connect` or `answer`.
    pub step: &'static str,
    /// Address of the peer.
    pub address: Arc<str>,
    /// Cause of the failure.
    pub kind: ErrorKind,
}

/// Cause of a failed call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// The connection could not be opened; nothing was sent.
    #[error("no connection")]
    Connect,
    /// The connection broke; the peer may have executed the request.
    #[error("connection lost")]
    Lost,
    /// No reply arrived within the timeout; the peer may have executed the request.
    #[error("no answer in time")]
    Timeout,
    /// The peer has a different shared secret or protocol version.
    #[error("handshake refused")]
    Handshake,
    /// A message could not be encoded or decoded, or exceeded the size limit.
    #[error("bad message: {0}")]
    Message(String),
}
