//! Names of the key-value service's HTTP protocol.
//!
//! - `GET /kv/KEY` gives the value, its version and writer in headers, or 404.
//! - `PUT /kv/KEY?expected=N` stores the body, or gives 409 with the present value.
//! - `GET /watch/KEY?after=N&wait_ms=M` is a long poll; 304 when nothing came.
//! - `PUT /lease/KEY?ttl_ms=M` holds the body for a time.
//! - `GET /list/PREFIX` gives a JSON list of the bodies of live leases.

/// Header with the version of a value.
pub const VERSION_HEADER: &str = "x-version";
/// Header with the identifier of the write that stored a value.
pub const WRITE_ID_HEADER: &str = "x-writer";
/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
