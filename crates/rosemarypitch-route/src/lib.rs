//! Placement of requests on prefill and decode engines, with fair queueing.
//!
//! [`Pool`] is a pure state machine that schedules the requests of one model onto a set of
//! engines. It takes an [`Event`] and the current instant and returns [`Action`]s; it does
//! no I/O and reads no clock. It consists of a fair [`Queue`], an [`EngineView`] of each
//! engine and a [`PrefixIndex`] of their caches. [`Progress`] tracks one request and
//! determines whether a refusal must report it as executed.

mod attempt;
mod engine;
mod event;
mod policy;
mod pool;
mod prefix;
mod progress;
mod queue;
mod rules;

pub use attempt::{AttemptId, ParseAttemptIdError};
pub use engine::{EngineInfo, EngineLoad, EngineRole, EngineView};
pub use event::{Action, Event, Job, Placement, Refusal};
pub use policy::LbPolicy;
pub use pool::Pool;
pub use prefix::{BLOCK_BYTES, BLOCK_TOKENS, BlockHash, PrefixIndex, block_hashes};
pub use progress::{Executed, Progress};
pub use queue::{Flow, Queue};
pub use rules::PoolRules;
