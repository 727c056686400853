//! Where prefill and decode run: queueing, fairness and placement.
//!
//! [`Pool`] is a pure state machine for the engines of one model in one data centre. It
//! takes an [`Event`] and the current instant and gives [`Action`]s; it does no I/O and
//! reads no clock. Around it stand the parts it is made of: the fair [`Queue`], what is
//! known of each engine, and the [`PrefixIndex`]. [`Progress`] follows one request and
//! tells what a refusal may say about it.

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
