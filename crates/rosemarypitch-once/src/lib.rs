//! At-most-once execution of calls with idempotency keys.
//!
//! Before a call with an `Idempotency-Key` is dispatched, its key is claimed in the
//! platform's key-value service, and afterwards the response is recorded there. A retry
//! through any host receives the recorded response, or an error if the call may have run
//! without one.
//!
//! Keys are hashed to shards. A [`Shard`] batches changes to claims into one
//! compare-and-swap on the shard's head value, so that of two concurrent writers of a shard
//! only one succeeds. Changes are grouped into windows: the current window is in the [`Head`],
//! earlier ones are moved to an [`Archive`] each, and claims expire [`RETAINED_WINDOWS`]
//! windows after their last change. [`ClaimTable`] holds the resulting state of all retained
//! claims and does no I/O.

mod claim;
mod record;
mod shard;
mod table;

pub use claim::{ClaimKey, ClaimReply, ClaimRequest, Claimant, RecordedResponse};
pub use record::{Archive, ClaimChange, ClaimState, Head};
pub use shard::{SHARD_COUNT, Shard, ShardError, shard_of};
pub use table::{ClaimTable, RETAINED_WINDOWS, WINDOW_DURATION};
