//! How hosts talk to each other: h2 streams that carry bincode messages.
//!
//! [`PeerServer`] takes connections, proves both ends by the fleet's secret, and gives
//! each [`PeerRequest`] to a [`Handler`]. [`PeerClient`] keeps one connection a peer and replaces one
//! that has gone silent. [`MemberTable`] is the pure state of who is there: it decides whom to
//! send heartbeats, and when a run of a host counts as gone.

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
    PoolKey, ReportId, RowReport, StreamUse, TokenCounts,
};
pub use server::{Handler, HandlerFuture, PeerServer};
pub use traffic::Traffic;
