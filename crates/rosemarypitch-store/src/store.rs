//! Interface of the platform's key-value service.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::error::StoreError;

/// Version of a value; 0 if the key does not exist.
pub type Version = u64;

/// Future of a call to the store.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Version of the value; it increases by one with each write of the key.
    pub version: Version,
    /// ID of the write that stored the value.
    pub write_id: Arc<str>,
    /// The value.
    pub value: Bytes,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was stored under this version.
    Stored(Version),
    /// The key holds another version than expected.
    Conflict(Option<Entry>),
}

/// The platform's key-value service; simulations implement it in memory.
pub trait Store: Send + Sync {
    /// Reads a key; `None` if it does not exist.
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>>;

    /// Writes `value` if the key is at version `expected`.
    ///
    /// `write_id` identifies the write and must be unique. After an unknown outcome, the call
    /// may be retried with the same `write_id`.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        write_id: &'a str,
        value: Bytes,
    ) -> StoreFuture<'a, SwapOutcome>;

    /// Waits up to `wait` for a version greater than `after`; `None` if there is none by then.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> StoreFuture<'a, Option<Entry>>;

    /// Stores a value for `ttl`, counted from when the service receives the call; a `ttl` of
    /// zero deletes it.
    fn put_lease<'a>(&'a self, key: &'a str, value: Bytes, ttl: Duration) -> StoreFuture<'a, ()>;

    /// Returns the values of the leases under a prefix; the list may be stale.
    fn list_leases<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<Bytes>>;
}
