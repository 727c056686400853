//! Identity of host runs, and rendezvous hashing over hosts.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Identifier of a host run: one process lifetime of a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostId {
    /// Name of the host.
    pub host: Arc<str>,
    /// Number of the run; a restart of the host gets a greater one.
    pub incarnation: u64,
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.host, self.incarnation)
    }
}

/// Selects the host with the highest rank for `key`, by rendezvous hashing.
///
/// Hosts with the same view select the same one. Of two runs of a host, the later wins.
pub fn rendezvous<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    hosts.into_iter().max_by_key(|id| (rank(key, &id.host), *id))
}

/// Rank of a host for `key` in rendezvous hashing.
///
/// Every host must compute the same value: FNV-1a with a final mix.
pub fn rank(key: &str, host: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(host.bytes());
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // The last bytes of the input affect few bits of an FNV hash, so mix them.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
