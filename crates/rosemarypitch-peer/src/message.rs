//! Messages between hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemarypitch_limit::{HostId, Loan};
use rosemarypitch_once::{ClaimReply, ClaimRequest};
use rosemarypitch_route::AttemptId;
use serde::{Deserialize, Serialize};

/// A message that asks for a reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// A heartbeat; the reply is the peer's own.
    Beat(Beat),
    /// Asks for the configuration document if its number is above this one.
    Document(u64),
    /// Asks for a prefill and a decode engine; answered when there is room.
    Place(PlaceAsk),
    /// Asks for another decode engine after a failed transfer.
    Replace(PoolKey, AttemptId),
    /// Tells a pool's owner what became of attempts.
    Notes(PoolKey, Vec<Note>),
    /// Asks to borrow or renew customers' shares.
    Borrow(BorrowAsk),
    /// Gives back loans.
    GiveBack(Vec<Giveback>),
    /// Debits a customer's limit.
    Debit(DebitAsk),
    /// Gives back the unused part of a debit: customer, debit and tokens.
    Refund(Arc<str>, u64, u64),
    /// Changes a claim in the shard that its writer keeps.
    Claim(ClaimRequest),
    /// Asks which of the receiver's attempts it no longer runs.
    Verify(Vec<AttemptId>),
    /// Tells what the sender admitted and uses; the reply tells the same of the receiver.
    Report {
        /// The sender's report.
        report: HostReport,
        /// Whether the sender has had a report of the receiver lately.
        hears: bool,
    },
    /// Tells what the sender's row admitted and uses; the reply tells the same of the
    /// receiver's.
    Row(RowReport),
    /// Asks for what the receiver knows from the store, by a host that the store refuses.
    Known {
        /// Version of the sender's configuration.
        version: u64,
        /// Revision of the store up to which the sender has followed it.
        revision: u64,
    },
}

/// A reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The peer's heartbeat.
    Beat(Beat),
    /// The document as JSON, if newer.
    Document(Option<Vec<u8>>),
    /// The outcome of asking for a place.
    Place(PlaceReply),
    /// Loans, in the order of the customers asked for.
    Loans(Vec<LoanReply>),
    /// The outcome of a debit.
    Debit(DebitReply),
    /// The outcome of a claim.
    Claim(ClaimReply),
    /// Attempts that the peer no longer runs.
    Denied(Vec<AttemptId>),
    /// What the peer admitted and uses.
    Report(HostReport),
    /// What the peer's row admitted and uses.
    Row(RowReport),
    /// What the peer knows from the store, encoded; none if that is nothing new.
    Known(Option<Vec<u8>>),
    /// Taken note.
    Done,
    /// The receiver does not own what was asked about.
    NotOwner,
}

/// What one run of a host admitted and uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Which run of the host, and which of its reports.
    pub own: Seen,
    /// The receiver's last report that has come.
    pub seen: Seen,
    /// Digest of the hosts that it hears, itself included.
    pub view: u64,
    /// What customers asked for and got since it started, where that has changed since the
    /// last report that has come to the receiver.
    pub spent: Vec<(Arc<str>, Spent)>,
    /// Streams at each engine.
    pub uses: Vec<(Arc<str>, Vec<StreamUse>)>,
}

/// A report of a host; 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Which run of the host.
    pub incarnation: u64,
    /// Which of its reports.
    pub sequence: u64,
}

/// Tokens of one customer; the sums wrap around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spent {
    /// Asked for.
    pub asked: u64,
    /// Admitted, less those given back.
    pub admitted: u64,
    /// Part of a full bucket that is left; none if the sender cannot know.
    pub fullness: Option<f32>,
}

/// Memory of one stream, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamUse {
    /// What it holds.
    pub held: u64,
    /// What it is likely to add before it ends.
    pub growth: u64,
}

/// What the hosts of a row that one of them hears admitted and use, itself included.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RowReport {
    /// Which run of the host that tells, and which of its reports.
    pub own: Seen,
    /// The receiver's last report that has come.
    pub seen: Seen,
    /// Digest of the hosts.
    pub members: u64,
    /// How many they are.
    pub hosts: u32,
    /// Their views, and how many have each.
    pub views: Vec<(u64, u32)>,
    /// What customers asked for and got since the host that tells started, where that has
    /// changed since the last report that has come to the receiver.
    pub spent: Vec<(Arc<str>, Spent)>,
    /// Use of each engine; none if it was told a moment ago.
    pub uses: Option<Vec<(Arc<str>, UseSum)>>,
}

/// Memory of several streams, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseSum {
    /// How many.
    pub streams: u32,
    /// What they hold.
    pub held: u64,
    /// What they are likely to add before they end.
    pub growth: u64,
}

impl UseSum {
    /// Adds a stream.
    pub fn add(&mut self, stream: &StreamUse) {
        self.streams += 1;
        self.held += stream.held;
        self.growth += stream.growth;
    }
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub sighting: Sighting,
    /// Hosts of the sender's data centre, when it beats to another.
    pub heard: Vec<Sighting>,
}

/// What is known of a host, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The host run.
    pub id: HostId,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Number of the configuration that it has in force.
    pub number: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Limit shares that it owns.
    pub shares: u32,
    /// Age, in milliseconds.
    pub age_ms: u32,
    /// Time since its configuration was compared with the platform's, in milliseconds.
    pub config_age_ms: u32,
}

/// Names a pool: the engines of a model in a region, or a part of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolKey {
    /// The region.
    pub region: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The part, from 0.
    pub part: u32,
}

impl PoolKey {
    /// The text by which the owner is chosen.
    pub fn text(&self) -> String {
        format!("pool/{}/{}/{}", self.region, self.model, self.part)
    }
}

/// Asks for a place in a pool; times count from when the owner reads it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceAsk {
    /// The pool.
    pub pool: PoolKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The customer.
    pub customer: Arc<str>,
    /// Priority; greater goes first.
    pub priority: u8,
    /// The customer's part of the pool.
    pub weight: f64,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Output bound, in tokens.
    pub output: u32,
    /// The prompt's whole pieces.
    pub pieces: Vec<u64>,
    /// Data centre of the asking host.
    pub data_centre: Arc<str>,
    /// Time until the first token is due, in milliseconds.
    pub due_ms: u64,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
}

/// The outcome of asking for a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// Engines were reserved.
    Placed {
        /// Prefill engine.
        prefill: Arc<str>,
        /// Decode engine.
        decode: Arc<str>,
    },
    /// No engine came free in time.
    Full,
    /// No engine serves the model here.
    NoEngine,
}

/// What became of an attempt, or of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// Its prefill ended: tokens computed, and microseconds.
    Prefilled(AttemptId, u32, u64),
    /// It ended.
    Finished(AttemptId),
    /// It runs on this decode engine since before the receiver owned the pool.
    Adopt(AttemptId, Arc<str>),
    /// A call to this engine failed.
    Failed(Arc<str>),
}

/// Asks to borrow customers' shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowAsk {
    /// Number of the request, growing within one run of the sender.
    pub number: u64,
    /// The customers.
    pub customers: Vec<BorrowItem>,
}

/// One customer whose shares are asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowItem {
    /// The customer.
    pub customer: Arc<str>,
    /// Digest of rate and burst of the sender's present loan from the receiver.
    pub known: Option<u16>,
}

/// The answer for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanReply {
    /// The shares are not to be had.
    Refused,
    /// The present loan lasts so many milliseconds more, from when it was asked for.
    Renewed(u64),
    /// A loan.
    Lent(Loan),
}

/// Gives back a loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Giveback {
    /// The customer.
    pub customer: Arc<str>,
    /// Number of the sender's last request for it.
    pub number: u64,
    /// Tokens left, in billionths.
    pub tokens: u128,
}

/// Debits a customer's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DebitAsk {
    /// The customer.
    pub customer: Arc<str>,
    /// Tokens.
    pub amount: u64,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
}

/// The outcome of a debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DebitReply {
    /// The tokens were taken under this number.
    Granted(u64),
    /// They were not; they may be had after so many milliseconds.
    Refused(u64),
}
