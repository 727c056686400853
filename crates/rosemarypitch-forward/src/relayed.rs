//! What hosts that reach the store pass on to those that do not.
//!
//! The store may refuse single hosts while it serves the others. Such a host asks the hosts
//! it hears for what they know. Everything carries the store's revision, and nothing is
//! taken that is not newer than what the host has.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::ConfigSnapshot;
use crate::registry::Upstream;

/// What a host knows from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// Revision of the store up to which the host has followed it.
    pub revision: u64,
    /// The configuration, if it is newer than that of the host that asked.
    pub site: Option<Arc<ConfigSnapshot>>,
    /// All upstreams.
    pub upstreams: Vec<Upstream>,
}

/// What the host that asks has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Have {
    /// Version of its configuration; 0 for none.
    pub version: u64,
    /// Revision of the store up to which it has followed it.
    pub revision: u64,
}

impl Known {
    /// Whether it tells anything that `have` lacks.
    pub fn is_news(&self, have: Have) -> bool {
        self.revision > have.revision
            || self.site.as_ref().is_some_and(|site| site.version > have.version)
    }

    /// Encodes it for a message.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        rosemarypitch_peer::encode(self)
    }

    /// Decodes it from a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        rosemarypitch_peer::decode(bytes)
    }
}
