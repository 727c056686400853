//! What the system assumes of the platform's key-value service.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::error::StoreError;

/// Version of a value; 0 stands for an absent one.
pub type Version = u64;

/// A call under way.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Grows with each write of the key.
    pub version: Version,
    /// Identifier of the write that stored it.
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

/// The platform's key-value service.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>>;

    /// Writes `value` if the key is at version `expected`.
    ///
    /// `writer` identifies the write and must be unique. The call may be repeated with
    /// the same `writer` after an unknown outcome.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        writer: &'a str,
        value: Bytes,
    ) -> StoreFuture<'a, SwapOutcome>;

    /// Waits up to `wait` for a version above `after`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Version,
        wait: Duration,
    ) -> StoreFuture<'a, Option<Entry>>;

    /// Holds a value for `ttl` from when the service takes the call; 0 ends it.
    fn put_lease<'a>(&'a self, key: &'a str, value: Bytes, ttl: Duration) -> StoreFuture<'a, ()>;

    /// Values of leases under a prefix; the list may lag.
    fn list_leases<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<Bytes>>;
}
