//! What goes into a pool and what comes out.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::attempt::AttemptId;
use crate::engine::{EngineInfo, EngineLoad};
use crate::prefix::BlockHash;
use crate::queue::Flow;

/// A request that asks for a prefill and a decode engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its customer and priority.
    pub flow: Flow,
    /// The customer's part of the pool, above 0.
    pub weight: f64,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Output bound, in tokens.
    pub output: u32,
    /// The prompt's whole pieces.
    pub blocks: Vec<BlockHash>,
    /// Data centre of the host that answers the caller.
    pub data_centre: Arc<str>,
    /// When its first token is due.
    pub due: Instant,
    /// When it is refused if it still waits.
    pub expires: Instant,
}

/// Where a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Prefill engine.
    pub prefill: Arc<str>,
    /// Decode engine; the pool has reserved a slot on it.
    pub decode: Arc<str>,
}

/// Why a request got no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No engine came free in time.
    Full,
    /// No engine serves the model here.
    NoEngine,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks for a place.
    Arrive(Job),
    /// The prefill of an attempt ended; `tokens` were computed, not cached.
    Prefilled {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens computed.
        tokens: u32,
        /// Time it took on the engine.
        time: Duration,
    },
    /// The transfer to the decode engine failed or stalled; another is wanted.
    TransferFailed(AttemptId),
    /// An attempt ended in whatever way, or its caller is gone.
    Finished(AttemptId),
    /// A host tells of an attempt that an earlier owner of the pool placed.
    Adopt {
        /// The attempt.
        attempt: AttemptId,
        /// The decode engine it runs on.
        decode: Arc<str>,
    },
    /// The engines by the configuration in force.
    Engines(Vec<EngineInfo>),
    /// An engine's report.
    Load(Arc<str>, EngineLoad),
    /// An engine failed or cannot be reached.
    Failed(Arc<str>),
    /// An engine stored a piece.
    Stored(Arc<str>, BlockHash),
    /// An engine dropped a piece.
    Evicted(Arc<str>, BlockHash),
    /// An engine's cache events had a gap.
    CacheGap(Arc<str>),
    /// An engine's own list of work.
    WorkList(Arc<str>, Vec<AttemptId>),
    /// A host says that an attempt on an engine is not its own any more.
    Denied(Arc<str>, AttemptId),
    /// A run of a host is over.
    HostDown(Arc<str>, u64),
    /// A run of a host is there, perhaps again.
    HostUp(Arc<str>, u64),
    /// Time passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell the attempt's host where to run it.
    Place(AttemptId, Placement),
    /// Tell the attempt's host that it gets no place.
    Refuse(AttemptId, Refusal),
    /// Cancel an attempt on an engine.
    Cancel(Arc<str>, AttemptId),
    /// Ask an attempt's host whether it is still its own.
    Verify(Arc<str>, AttemptId),
}
