//! At-most-once execution by idempotency keys.
//!
//! Before a call with an `Idempotency-Key` is dispatched, its key is claimed in the
//! platform, and afterwards its outcome is recorded, so that a repeat through any host
//! learns the outcome or that the call may have run. Keys are spread over shards. A
//! [`Shard`] writes many claims in one compare-and-swap on the shard's head value, so two
//! writers of one shard cannot both succeed. [`ClaimTable`] is the pure state behind it.

mod claim;
mod record;
mod shard;
mod table;

pub use claim::{ClaimKey, ClaimReply, ClaimRequest, Claimant, RecordedResponse};
pub use record::{Archive, ClaimChange, ClaimState, Head};
pub use shard::{SHARD_COUNT, Shard, ShardError, shard_of};
pub use table::{ClaimTable, RETAINED_WINDOWS, WINDOW_DURATION};
