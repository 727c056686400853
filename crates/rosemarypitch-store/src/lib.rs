//! Edge to the platform's key-value service.
//!
//! [`Store`] is all that the rest of the system assumes: read, compare-and-swap, watch,
//! leases and a lagging list. [`HttpStore`] speaks the service's HTTP protocol, with
//! timeouts, bounded retries, a call budget, and write ids by which a write whose answer
//! was lost is read back.

mod error;
mod http_store;
mod rate_limit;
mod store;
pub mod wire;

pub use error::{ErrorKind, StoreError};
pub use http_store::HttpStore;
pub use rate_limit::{CallCounter, RateLimiter};
pub use store::{Entry, Store, StoreFuture, SwapOutcome, Version};
