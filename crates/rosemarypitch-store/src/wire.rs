//! Headers and limits of the key-value service's HTTP protocol.
//!
//! - `GET /kv/KEY` returns the value, with its version and write ID in headers, or 404.
//! - `PUT /kv/KEY?expected=N` stores the body, or returns 409 with the current value.
//! - `GET /watch/KEY?after=N&wait_ms=M` is a long poll; it returns 304 if the version did not
//!   change within the wait.
//! - `PUT /lease/KEY?ttl_ms=M` stores the body for M milliseconds.
//! - `GET /list/PREFIX` returns a JSON list of the bodies of live leases.

/// Header with the version of a value.
pub const VERSION_HEADER: &str = "x-version";
/// Header with the ID of the write that stored a value.
pub const WRITE_ID_HEADER: &str = "x-writer";
/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
