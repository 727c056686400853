//! Settings of a process and the configuration document that all hosts share.
//!
//! [`Settings`] are read once from a JSON file when a process starts. [`Document`] is the
//! versioned configuration that operators change at run time: customers, their keys and
//! limits, models, upstreams and plain services. A [`Patch`] applies to one version of the
//! document and produces the next, or is rejected as a whole with a list of [`Faults`], each
//! with the path of the offending value. A [`Snapshot`] is an immutable, indexed view of a
//! document for the request path.

mod check;
mod document;
mod fault;
mod patch;
mod reader;
mod secret;
mod settings;
mod snapshot;

pub use check::{MAX_DOCUMENT_BYTES, check, check_change};
pub use document::{
    Class, Customer, Document, Key, Limit, Model, PatchMark, Service, Target, Upstream,
    UpstreamKind, UpstreamState,
};
pub use fault::{Fault, Faults};
pub use patch::{Patch, PatchError};
pub use secret::{Digest, Secret};
pub use settings::{
    Bounds, Listener, LogFormat, LogSettings, OverloadPolicy, PeerSettings, PlatformSettings,
    Settings, StaleConfigPolicy, TlsFiles,
};
pub use snapshot::{Caller, Snapshot};
