//! Runs of hosts, and a choice among hosts that all make alike.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// One run of a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostId {
    /// Name of the host.
    pub host: Arc<str>,
    /// Which run of it; greater for later ones.
    pub incarnation: u64,
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.host, self.incarnation)
    }
}

/// The host with the highest rank for `key`.
pub fn rendezvous<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    hosts.into_iter().max_by_key(|id| (rank(key, &id.host), *id))
}

/// Rank of a host for `key`; the same on every host.
pub fn rank(key: &str, host: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(host.bytes());
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // Finish with a mix, since the last bytes of a name alone move few bits.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
