//! Client for the platform's key-value service.
//!
//! [`Store`] is the interface that the rest of the system depends on: read, compare-and-swap,
//! watch, leases, and an eventually consistent list of leases. [`HttpStore`] implements it
//! over the service's HTTP protocol, with timeouts, bounded retries and a rate limit. Each
//! write carries an ID, so that the outcome of a write whose response was lost can be
//! determined by reading the key back.

mod error;
mod http_store;
mod pool;
mod rate_limit;
mod store;
pub mod wire;

pub use error::{ErrorKind, StoreError};
pub use http_store::HttpStore;
pub use pool::{ConnectionPool, Generation};
pub use rate_limit::{CallCounter, RateLimiter};
pub use store::{Entry, Store, StoreFuture, SwapOutcome, Version};
