//! Who is there, as the traffic threads read it.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemarypitch_limit::{HostId, rendezvous};
use rosemarypitch_peer::Sighting;

/// An immutable view of the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// This host.
    pub own: Sighting,
    /// Live host runs, this one included.
    pub live: Vec<Sighting>,
    /// All host runs that were heard of, leaving ones included, without this one.
    pub peers: Vec<Sighting>,
}

impl View {
    /// The live host of this region that owns `key`.
    pub fn region_owner(&self, key: &str) -> Option<&Sighting> {
        self.region_owner_except(key, &[])
    }

    /// The live host of this region that owns `key`, when some cannot be reached.
    pub fn region_owner_except(&self, key: &str, except: &[HostId]) -> Option<&Sighting> {
        self.owner(key, |sighting| {
            sighting.region == self.own.region && !except.contains(&sighting.id)
        })
    }

    /// Whether a host run is there and not leaving.
    pub fn is_live(&self, id: &HostId) -> bool {
        self.live.iter().any(|sighting| sighting.id == *id)
    }

    /// The live host of the fleet that owns `key`.
    pub fn fleet_owner(&self, key: &str) -> Option<&Sighting> {
        self.owner(key, |_| true)
    }

    /// Whether a sighting is of this host run.
    pub fn is_own(&self, sighting: &Sighting) -> bool {
        sighting.id == self.own.id
    }

    /// Where a host run is reached.
    pub fn address(&self, id: &HostId) -> Option<SocketAddr> {
        let peers = self.peers.iter().chain([&self.own]);
        peers.into_iter().find(|sighting| sighting.id == *id).map(|sighting| sighting.address)
    }

    /// A run of a host by the host's name.
    pub fn host(&self, name: &str) -> Option<&Sighting> {
        let mut peers = self.peers.iter().chain([&self.own]);
        peers.find(|sighting| sighting.id.host.as_ref() == name)
    }

    /// Live hosts of a data centre.
    pub fn count_in_data_centre(&self, name: &Arc<str>) -> usize {
        self.live.iter().filter(|sighting| sighting.data_centre == *name).count()
    }

    /// Host runs that own limit shares, leaving ones included.
    pub fn lenders(&self) -> impl Iterator<Item = &Sighting> {
        self.peers.iter().chain([&self.own]).filter(|sighting| sighting.shares > 0)
    }

    fn owner(&self, key: &str, allowed: impl Fn(&Sighting) -> bool) -> Option<&Sighting> {
        let ids = self.live.iter().filter(|s| allowed(s)).map(|s| &s.id);
        let owner = rendezvous(key, ids)?;
        self.live.iter().find(|sighting| sighting.id == *owner)
    }
}
