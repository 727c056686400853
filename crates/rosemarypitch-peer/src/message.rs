//! Messages between hosts.
//!
//! They are encoded by position, so the order of fields and variants is the wire format.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemarypitch_limit::{HostId, Loan};
use rosemarypitch_once::{ClaimReply, ClaimRequest};
use rosemarypitch_route::AttemptId;
use serde::{Deserialize, Serialize};

/// A request to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A heartbeat; the reply carries the peer's own.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Requests the configuration document if its number is greater than this one.
    Document(u64),
    /// Requests a prefill and a decode engine; the reply is sent once both have capacity.
    Place(PlaceRequest),
    /// Requests another decode engine after a failed KV cache transfer.
    Replace(PoolKey, AttemptId),
    /// Reports events of a pool to its owner.
    #[serde(rename = "Notes")]
    PoolEvents(PoolKey, Vec<PoolEvent>),
    /// Requests loans of customers' limit shares, or their renewal.
    Borrow(BorrowRequest),
    /// Returns loans before they expire.
    #[serde(rename = "GiveBack")]
    ReturnLoans(Vec<LoanReturn>),
    /// Takes tokens from a customer's limit.
    Debit(DebitRequest),
    /// Refunds the unused part of a debit: customer, number of the debit, and tokens.
    Refund(Arc<str>, u64, u64),
    /// Changes a claim; sent to the host that writes the claim's shard.
    Claim(ClaimRequest),
    /// Requests those of the receiver's attempts listed here that are no longer running.
    Verify(Vec<AttemptId>),
    /// Reports the sender's token counts and engine use; the reply carries the receiver's.
    Report {
        /// The sender's report.
        report: HostReport,
        /// Whether the sender recently received a report from the receiver.
        #[serde(rename = "hears")]
        reachable: bool,
    },
    /// Reports token counts and engine use of the sender's row; the reply carries those of
    /// the receiver's row.
    Row(RowReport),
    /// Requests a snapshot of the store's state from a peer; sent by a host whose calls
    /// the store refuses.
    #[serde(rename = "Known")]
    Snapshot {
        /// Version of the sender's configuration.
        version: u64,
        /// Store revision up to which the sender is current.
        revision: u64,
        /// Era of the store that the revision belongs to.
        era: u64,
    },
    /// Requests the updates of the store from a host that watches it; the reply is sent once
    /// there are any, or after the wait.
    Updates {
        /// Store revision up to which the sender is current.
        revision: u64,
        /// Longest wait for updates, in milliseconds.
        wait_ms: u64,
        /// Era of the store that the revision belongs to.
        era: u64,
    },
    /// Sends and offers records of crashed engines, encoded.
    Crashes(Vec<u8>),
    /// Names upstreams that have said in a response that they leave: their identifiers and
    /// incarnations.
    Departures(Vec<(Arc<str>, u64)>),
    /// Names streams that the sender has begun, by the version that began them: digests of the
    /// attempts.
    Streams(Vec<(Arc<str>, Vec<u64>)>),
    /// Asks which version of a service's upstreams began a stream.
    StreamVersion {
        /// The service.
        service: Arc<str>,
        /// Attempt that brought the stream's first event, if it is known.
        first: Option<Arc<str>>,
        /// Whether to read the store, for a host that does not reach it.
        read: bool,
    },
}

/// A reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The peer's heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// The configuration document as JSON, if it is newer.
    Document(Option<Vec<u8>>),
    /// Outcome of a placement.
    Place(PlaceReply),
    /// Loans, in the order of the requested customers.
    Loans(Vec<LoanReply>),
    /// Outcome of a debit.
    Debit(DebitReply),
    /// Outcome of a claim.
    Claim(ClaimReply),
    /// Attempts that the peer no longer runs.
    #[serde(rename = "Denied")]
    NotRunning(Vec<AttemptId>),
    /// Token counts and engine use of the peer.
    Report(HostReport),
    /// Token counts and engine use of the peer's row.
    Row(RowReport),
    /// The peer's snapshot of the store's state, encoded; `None` if it is not newer.
    #[serde(rename = "Known")]
    Snapshot(Option<Vec<u8>>),
    /// The request was processed and has no result.
    Done,
    /// The peer does not own the object of the request.
    NotOwner,
    /// Updates of the store, encoded; `None` if the peer is not current, or too far ahead.
    Updates(Option<Vec<u8>>),
    /// Identifiers of the offered records of crashed engines that the peer asks for.
    Crashes(Vec<u64>),
    /// The version that began a stream; `None` if the peer cannot tell.
    StreamVersion(Option<Arc<str>>),
}

/// Token counts and engine use of one host run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Identifier of this report.
    #[serde(rename = "own")]
    pub id: ReportId,
    /// Last report received from the receiver, as an acknowledgement.
    #[serde(rename = "seen")]
    pub acked: ReportId,
    /// Which part of the fleet it reaches.
    pub reach: Reach,
    /// Digests of the names of the row's hosts that it reaches, itself included; `None` if
    /// unchanged since the last report that the receiver acknowledged.
    pub reached: Option<Vec<u64>>,
    /// Token counts of customers since the host started; only those that changed since the
    /// last report that the receiver acknowledged.
    pub spent: Vec<(Arc<str>, TokenCounts)>,
    /// Memory of the streams on each engine, by engine name; at an engine that only prefills, the
    /// prompts that it has not prefilled yet, which do not grow.
    pub uses: Vec<(Arc<str>, Vec<StreamUse>)>,
}

/// Part of the fleet that a host reaches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reach {
    /// Digest of the division of the fleet into rows.
    pub division: u64,
    /// Digests of the other rows that it does not reach.
    pub lost_rows: Vec<u64>,
    /// Fraction of each limit that it uses.
    pub fraction: f32,
}

/// Identifies a report of a host; all zero for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Sequence number of the report within that incarnation.
    pub sequence: u64,
}

/// Cumulative token counts of one customer; they wrap around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Tokens requested.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Tokens admitted, less those refunded.
    pub admitted: u64,
    /// Fill level of the token bucket, from 0 to 1; `None` if unknown to the sender.
    pub fullness: Option<f32>,
}

/// KV cache memory of one stream, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamUse {
    /// Tokens that it holds.
    pub held: u64,
    /// Tokens that it is expected to add before it ends.
    pub growth: u64,
}

/// Token counts and engine use of a row: the sum over the reporting host and the hosts of
/// its row that it receives reports from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RowReport {
    /// Identifier of this report of the reporting host.
    #[serde(rename = "own")]
    pub id: ReportId,
    /// Last report received from the receiver, as an acknowledgement.
    #[serde(rename = "seen")]
    pub acked: ReportId,
    /// Number of hosts counted.
    pub hosts: u32,
    /// Number of hosts of the row that are not counted, although others of the row reach them.
    pub outsiders: u32,
    /// Which part of the fleet the counted hosts reach together.
    pub reach: Reach,
    /// Token counts of customers since the reporting host started; only those that changed
    /// since the last report that the receiver acknowledged.
    pub spent: Vec<(Arc<str>, TokenCounts)>,
    /// Memory use of each engine; `None` if a recent report carried it.
    pub uses: Option<Vec<(Arc<str>, EngineUse)>>,
}

/// KV cache memory of the streams on one engine, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUse {
    /// Number of streams.
    pub streams: u32,
    /// Tokens that they hold.
    pub held: u64,
    /// Tokens that they are expected to add before they end.
    pub growth: u64,
}

impl EngineUse {
    /// Adds one stream.
    pub fn add(&mut self, stream: &StreamUse) {
        self.streams += 1;
        self.held += stream.held;
        self.growth += stream.growth;
    }
}

/// A heartbeat, sent as a request and as its reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// State of the sending host.
    #[serde(rename = "sighting")]
    pub sender: HostInfo,
    /// States of the hosts of the sender's data centre, relayed to another data centre.
    #[serde(rename = "heard")]
    pub relayed: Vec<HostInfo>,
}

/// Last known state of a host run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Identity of the host run.
    pub id: HostId,
    /// Address for calls from peers.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Number of the active configuration.
    #[serde(rename = "number")]
    pub config_number: u64,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// Number of limit shares that it owns.
    pub shares: u32,
    /// Age of this information, in milliseconds.
    pub age_ms: u32,
    /// Time since the host last compared its configuration with the platform's, in
    /// milliseconds.
    pub config_age_ms: u32,
}

/// Identifies a pool: the engines of a model in a region, or one partition of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolKey {
    /// The region.
    pub region: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// Index of the partition, from 0.
    pub part: u32,
}

impl PoolKey {
    /// The key by whose hash the pool's owner is chosen.
    pub fn text(&self) -> String {
        format!("pool/{}/{}/{}", self.region, self.model, self.part)
    }
}

/// Requests a prefill and a decode engine of a pool.
///
/// Times are relative to when the owner receives the request, so clocks need not agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The pool.
    pub pool: PoolKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The customer.
    pub customer: Arc<str>,
    /// Priority; greater values go first.
    pub priority: u8,
    /// Weight of the customer in fair queueing.
    pub weight: f64,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Maximum output length, in tokens.
    pub output: u32,
    /// Hashes of the prompt's complete prefix blocks.
    #[serde(rename = "pieces")]
    pub blocks: Vec<u64>,
    /// Data centre of the requesting host.
    pub data_centre: Arc<str>,
    /// Time until the deadline of the first token, in milliseconds.
    pub due_ms: u64,
    /// Maximum time in the queue, in milliseconds.
    pub wait_ms: u64,
}

/// Outcome of a [`PlaceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// Engines were reserved.
    Placed {
        /// Name of the prefill engine.
        prefill: Arc<str>,
        /// Name of the decode engine.
        decode: Arc<str>,
    },
    /// No engine had capacity within the maximum wait.
    Full,
    /// No engine of the pool serves the model.
    NoEngine,
}

/// An event of an attempt or an engine, reported to the owner of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolEvent {
    /// The prefill of this attempt ended: number of tokens computed, and the time in
    /// microseconds.
    Prefilled(AttemptId, u32, u64),
    /// This attempt ended.
    Finished(AttemptId),
    /// This attempt has been running on this decode engine since before the receiver became
    /// the pool's owner.
    Adopt(AttemptId, Arc<str>),
    /// A call to this engine failed.
    #[serde(rename = "Failed")]
    EngineFailed(Arc<str>),
}

/// Requests loans of customers' limit shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// Number of the request; it increases within one run of the sender.
    pub number: u64,
    /// The customers.
    pub customers: Vec<BorrowItem>,
}

/// One customer of a [`BorrowRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowItem {
    /// The customer.
    pub customer: Arc<str>,
    /// Digest of rate and burst of the loan that the sender holds from the receiver; `None`
    /// if it holds none.
    #[serde(rename = "known")]
    pub loan_digest: Option<u16>,
}

/// Outcome of a [`BorrowItem`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanReply {
    /// The receiver cannot lend the shares.
    Refused,
    /// The loan that the sender holds is extended by so many milliseconds, counted from when
    /// the sender made the request.
    Renewed(u64),
    /// A new loan.
    Lent(Loan),
}

/// Returns a loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The customer.
    pub customer: Arc<str>,
    /// Number of the sender's last [`BorrowRequest`] for the customer.
    pub number: u64,
    /// Unused tokens, in billionths of a token.
    pub tokens: u128,
}

/// Takes tokens from a customer's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DebitRequest {
    /// The customer.
    pub customer: Arc<str>,
    /// Number of tokens.
    pub amount: u64,
    /// Maximum wait for the tokens, in milliseconds.
    pub wait_ms: u64,
}

/// Outcome of a [`DebitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DebitReply {
    /// The tokens were taken; the number identifies the debit for a refund.
    Granted(u64),
    /// The tokens were not available; a retry may succeed after so many milliseconds.
    Refused(u64),
}
