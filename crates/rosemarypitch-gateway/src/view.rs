//! Immutable membership view, shared with the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemarypitch_limit::{HostId, rendezvous};
use rosemarypitch_peer::HostInfo;

/// Membership of the fleet, as known to this host at one time.
#[derive(Clone, Debug)]
pub struct View {
    /// This host.
    pub own: HostInfo,
    /// Live hosts, including this one and without those that are leaving.
    pub live: Vec<HostInfo>,
    /// All known peers, including those that are leaving.
    pub peers: Vec<HostInfo>,
}

impl View {
    /// Returns the live host of this region that owns `key`, by rendezvous hashing.
    pub fn region_owner(&self, key: &str) -> Option<&HostInfo> {
        self.region_owner_except(key, &[])
    }

    /// Returns the owner of `key` in this region if the hosts in `except` are ignored.
    pub fn region_owner_except(&self, key: &str, except: &[HostId]) -> Option<&HostInfo> {
        self.owner(key, |host| host.region == self.own.region && !except.contains(&host.id))
    }

    /// Returns whether a host is live and not leaving.
    pub fn is_live(&self, id: &HostId) -> bool {
        self.live.iter().any(|host| host.id == *id)
    }

    /// Returns the live host of the whole fleet that owns `key`, by rendezvous hashing.
    pub fn fleet_owner(&self, key: &str) -> Option<&HostInfo> {
        self.owner(key, |_| true)
    }

    /// Returns whether `host` is the current incarnation of this host.
    pub fn is_own(&self, host: &HostInfo) -> bool {
        host.id == self.own.id
    }

    /// Returns the address of a known host.
    pub fn address(&self, id: &HostId) -> Option<SocketAddr> {
        let peers = self.peers.iter().chain([&self.own]);
        peers.into_iter().find(|host| host.id == *id).map(|host| host.address)
    }

    /// Returns a known incarnation of the host with this name.
    pub fn host(&self, name: &str) -> Option<&HostInfo> {
        let mut peers = self.peers.iter().chain([&self.own]);
        peers.find(|host| host.id.host.as_ref() == name)
    }

    /// Returns the number of live hosts in a data centre.
    pub fn count_in_data_centre(&self, name: &Arc<str>) -> usize {
        self.live.iter().filter(|host| host.data_centre == *name).count()
    }

    /// Iterates over the hosts that own limit shares, including those that are leaving.
    pub fn lenders(&self) -> impl Iterator<Item = &HostInfo> {
        self.peers.iter().chain([&self.own]).filter(|host| host.shares > 0)
    }

    fn owner(&self, key: &str, eligible: impl Fn(&HostInfo) -> bool) -> Option<&HostInfo> {
        let ids = self.live.iter().filter(|s| eligible(s)).map(|s| &s.id);
        let owner = rendezvous(key, ids)?;
        self.live.iter().find(|host| host.id == *owner)
    }
}
