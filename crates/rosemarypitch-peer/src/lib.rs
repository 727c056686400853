//! Communication between hosts: bincode messages over HTTP/2 streams.
//!
//! [`PeerServer`] accepts connections, authenticates both sides by a shared secret, and
//! passes each [`PeerRequest`] to a [`Handler`]. [`PeerClient`] keeps one connection per peer
//! and replaces a connection that stops responding. [`MemberTable`] holds the membership
//! without doing any I/O; it decides which peers are due a heartbeat and when a host run
//! counts as down.

mod client;
mod codec;
mod error;
mod handshake;
mod membership;
mod message;
mod server;
mod traffic;

pub use client::{PeerClient, PeerTransport, TransportFuture};
pub use codec::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, decode, encode};
pub use error::{ErrorKind, PeerError};
pub use membership::{Member, MemberTable, MembershipEvent, MembershipTimings};
pub use message::{
    BorrowItem, BorrowRequest, DebitReply, DebitRequest, EngineUse, Heartbeat, HostInfo,
    HostReport, LoanReply, LoanReturn, PeerReply, PeerRequest, PlaceReply, PlaceRequest, PoolEvent,
    PoolKey, Reach, ReportId, RowReport, StreamUse, TokenCounts,
};
pub use server::{Handler, HandlerFuture, PeerServer};
pub use traffic::Traffic;
