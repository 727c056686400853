//! Copies of the store's state, passed between hosts.
//!
//! The store may refuse single hosts while it serves the others. Such a host requests a
//! snapshot from the peers that it can reach. Snapshots carry the position of the store, and a
//! host only applies one that is newer than its own state. The configuration is applied by its own
//! version: a store that was restored from a copy may have an older one than the peers. They also carry their age, so that a
//! host that gets one is no more current than the host that sent it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::ConfigSnapshot;
use crate::deployment::StorePosition;
use crate::registry::Upstream;
use crate::versions::StoredVersion;

/// A host's copy of the store's configuration, upstreams and evacuations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the store that the copy reflects.
    pub position: StorePosition,
    /// The configuration, if it is newer than that of the requesting host.
    #[serde(rename = "site")]
    pub config: Option<Arc<ConfigSnapshot>>,
    /// All registered upstreams.
    pub upstreams: Vec<Upstream>,
    /// Data centres that are out of service.
    pub evacuated: Vec<Arc<str>>,
    /// Entries of the services' sole versions.
    pub versions: Vec<(Arc<str>, StoredVersion)>,
    /// Time since the sender was last current with the store, in milliseconds.
    pub age_ms: u64,
    /// Whether the store answers the sender.
    pub direct: bool,
}

/// Versions of the state that a host already has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotVersion {
    /// Version of its configuration; 0 if it has none.
    pub version: u64,
    /// Position of the store that its state reflects.
    pub position: StorePosition,
}

impl Snapshot {
    /// Whether the snapshot has a later position or configuration than `have`.
    pub fn is_newer_than(&self, have: SnapshotVersion) -> bool {
        self.position > have.position || self.has_newer_config(have)
    }

    /// Whether the snapshot has a later configuration than `have`.
    pub fn has_newer_config(&self, have: SnapshotVersion) -> bool {
        self.config.as_ref().is_some_and(|config| config.version > have.version)
    }

    /// Encodes the snapshot for a message between hosts.
    ///
    /// Fails with a description if it cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        rosemarypitch_peer::encode(self)
    }

    /// Decodes a snapshot from a message between hosts.
    ///
    /// Fails with a description if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        rosemarypitch_peer::decode(bytes)
    }
}
