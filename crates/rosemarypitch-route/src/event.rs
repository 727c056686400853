//! Inputs and outputs of a pool: requests, events and actions.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::attempt::AttemptId;
use crate::engine::{EngineInfo, EngineLoad};
use crate::prefix::BlockHash;
use crate::queue::Flow;

/// A request to be placed on a prefill and a decode engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Customer and priority.
    pub flow: Flow,
    /// Fair-queueing weight of the customer, above 0.
    pub weight: f64,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Upper bound of the output length, in tokens.
    pub output: u32,
    /// Hashes of the prompt's complete blocks, first to last.
    pub blocks: Vec<BlockHash>,
    /// Data centre of the host that serves the caller.
    pub data_centre: Arc<str>,
    /// Deadline of the first token by its target; missing it lowers the precedence.
    pub due: Instant,
    /// Time at which the request is refused if it still waits.
    pub expires: Instant,
}

/// Engines selected for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Prefill engine.
    pub prefill: Arc<str>,
    /// Decode engine, on which the pool has reserved a slot.
    pub decode: Arc<str>,
}

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No capacity became available in time.
    Full,
    /// The pool lacks a prefill or a decode engine.
    NoEngine,
}

/// An input of the pool.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request is to be placed.
    Arrive(Job),
    /// The prefill of an attempt has finished.
    Prefilled {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Tokens computed, without those from the cache.
        tokens: u32,
        /// Duration on the engine.
        time: Duration,
    },
    /// The KV transfer to the decode engine failed or stalled; another engine is required.
    TransferFailed(AttemptId),
    /// An attempt has ended, whether it succeeded, failed or was abandoned by its caller.
    Finished(AttemptId),
    /// A host reports an attempt that an earlier owner of the pool placed.
    Adopt {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Decode engine that runs it.
        decode: Arc<str>,
    },
    /// The engines of the current configuration; replaces the previous set.
    Engines(Vec<EngineInfo>),
    /// A load report of an engine.
    Load(Arc<str>, EngineLoad),
    /// An engine failed or is unreachable.
    Failed(Arc<str>),
    /// An engine cached a block.
    Stored(Arc<str>, BlockHash),
    /// An engine evicted a block from its cache.
    Evicted(Arc<str>, BlockHash),
    /// Cache events of an engine were lost, so its cache content is unknown.
    CacheGap(Arc<str>),
    /// The attempts that an engine lists as running.
    WorkList(Arc<str>, Vec<AttemptId>),
    /// A host reports that it no longer runs an attempt that an engine lists.
    Denied(Arc<str>, AttemptId),
    /// A host run, given by host and incarnation, has ended.
    HostDown(Arc<str>, u64),
    /// A host run is up; it may have been reported down before.
    HostUp(Arc<str>, u64),
    /// Time has passed; waiting requests are checked for expiry.
    Tick,
}

/// An output of the pool, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reply to the attempt's host with the selected engines.
    Place(AttemptId, Placement),
    /// Reply to the attempt's host that it was not placed.
    Refuse(AttemptId, Refusal),
    /// Cancel an attempt on an engine.
    Cancel(Arc<str>, AttemptId),
    /// Ask an attempt's host whether it still runs the attempt.
    Verify(Arc<str>, AttemptId),
}
