//! Membership of the cluster, by heartbeats.
//!
//! All hosts of a data centre exchange heartbeats with each other. A host exchanges
//! heartbeats with only a few hosts of every other data centre, and these relay what they
//! received from the hosts of their own. An exchange informs both sides, so a host
//! sends no heartbeat to a peer from which one arrived within the interval.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::{HostId, rank};
use tokio::time::Instant;

use crate::message::{Heartbeat, HostInfo};

/// Number of peers in each other data centre that a host sends heartbeats to.
const PEERS_PER_DATA_CENTRE: usize = 2;

/// Heartbeats to other data centres are sent every N heartbeat intervals, where N is the
/// number of local members divided by this constant, at least 1.
const HOSTS_PER_INTERVAL: u32 = 16;

/// Intervals and timeouts of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTimings {
    /// Interval of heartbeats within a data centre.
    pub heartbeat_interval: Duration,
    /// Time without a direct or relayed heartbeat after which a host run counts as down.
    pub timeout: Duration,
}

/// A known run of another host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last known state.
    pub info: HostInfo,
    /// When it was last known to be up, directly or through a relay.
    pub last_seen: Instant,
    /// When this host last received a heartbeat from it directly.
    pub last_direct: Option<Instant>,
}

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A host run joined.
    Up(HostId),
    /// A host run was replaced by a newer one, or timed out.
    Down(HostId),
}

/// The members of the cluster as known to one host.
#[derive(Debug)]
pub struct MemberTable {
    own: HostInfo,
    timings: MembershipTimings,
    members: BTreeMap<Arc<str>, Member>,
    addresses: HashSet<SocketAddr>,
    last_attempt: HashMap<SocketAddr, Instant>,
}

impl MemberTable {
    /// Creates a table without peers; `own` is the state of this host.
    pub fn new(own: HostInfo, timings: MembershipTimings) -> Self {
        Self {
            own,
            timings,
            members: BTreeMap::new(),
            addresses: HashSet::new(),
            last_attempt: HashMap::new(),
        }
    }

    /// State of this host, as its heartbeats carry it.
    pub fn own(&self) -> &HostInfo {
        &self.own
    }

    /// Sets the number of this host's active configuration, and the time in milliseconds
    /// since it was last compared with the platform's.
    pub fn set_config_number(&mut self, number: u64, config_age_ms: u32) {
        self.own.config_number = number;
        self.own.config_age_ms = config_age_ms;
    }

    /// Sets the number of limit shares that this host owns.
    pub fn set_shares(&mut self, shares: u32) {
        self.own.shares = shares;
    }

    /// Marks this host as leaving in all later heartbeats.
    pub fn set_leaving(&mut self) {
        self.own.leaving = true;
    }

    /// Replaces the list of peer addresses from the platform and the settings; hosts on it
    /// that are not members yet are tried.
    pub fn set_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.address;
        self.addresses = addresses.into_iter().filter(|address| *address != own).collect();
    }

    /// Applies a heartbeat received directly from its sender.
    pub fn apply_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<MembershipEvent> {
        let mut events = self.observe(now, &heartbeat.sender, true);
        for info in &heartbeat.relayed {
            events.extend(self.observe(now, info, false));
        }
        events
    }

    /// Removes members that have timed out.
    pub fn expire(&mut self, now: Instant) -> Vec<MembershipEvent> {
        let timeout = self.timings.timeout;
        let has_timed_out =
            |member: &Member| now.saturating_duration_since(member.last_seen) > timeout;
        let expired: Vec<Arc<str>> = self
            .members
            .iter()
            .filter(|(_, member)| has_timed_out(member))
            .map(|(name, _)| name.clone())
            .collect();
        let removed = expired.into_iter().filter_map(|name| self.members.remove(&name));
        removed.map(|member| MembershipEvent::Down(member.info.id)).collect()
    }

    /// Returns the addresses to send a heartbeat to now.
    pub fn heartbeats_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let interval = self.timings.heartbeat_interval;
        let cross_interval_factor = self.cross_interval_factor();
        let mut due: Vec<SocketAddr> = self
            .heartbeat_targets()
            .filter(|member| {
                let local = member.info.data_centre == self.own.data_centre;
                // 0.9 intervals, so that a tick shortly before the interval ends counts. Of two
                // hosts, the one with the greater name waits longer, so that not both send.
                let defers = local && self.own.id.host > member.info.id.host;
                let gap = if defers { interval * 14 / 10 } else { interval * 9 / 10 };
                let gap = if local { gap } else { gap * cross_interval_factor };
                member.last_direct.is_none_or(|at| now - at >= gap)
            })
            .map(|member| member.info.address)
            .collect();
        let known: HashSet<SocketAddr> =
            self.members.values().map(|member| member.info.address).collect();
        let timeout = self.timings.timeout;
        let may_retry = |address: &SocketAddr| {
            self.last_attempt.get(address).is_none_or(|at| now - *at > timeout)
        };
        let unknown: Vec<SocketAddr> = self
            .addresses
            .iter()
            .filter(|address| !known.contains(*address) && may_retry(address))
            .copied()
            .collect();
        self.last_attempt.retain(|address, _| self.addresses.contains(address));
        self.last_attempt.extend(unknown.iter().map(|address| (*address, now)));
        due.extend(unknown);
        due
    }

    /// Builds the heartbeat for a peer.
    pub fn heartbeat_for(&self, now: Instant, peer: SocketAddr) -> Heartbeat {
        let member = self.members.values().find(|member| member.info.address == peer);
        let local = member.is_some_and(|m| m.info.data_centre == self.own.data_centre);
        let relayed = if local { Vec::new() } else { self.local_infos(now) };
        Heartbeat { sender: self.own.clone(), relayed }
    }

    /// Host runs that are up and not leaving, including this one.
    pub fn live(&self) -> Vec<&HostInfo> {
        let members = self.members.values().map(|member| &member.info);
        members.chain([&self.own]).filter(|info| !info.leaving).collect()
    }

    /// The [live](Self::live) host runs of this host's region.
    pub fn live_in_region(&self) -> Vec<&HostInfo> {
        let mut live = self.live();
        live.retain(|info| info.region == self.own.region);
        live
    }

    /// All members except this host, leaving ones included.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Address of a host run, if it is a member.
    pub fn address(&self, id: &HostId) -> Option<SocketAddr> {
        let member = self.members.get(&id.host)?;
        (member.info.id == *id).then_some(member.info.address)
    }

    fn observe(&mut self, now: Instant, info: &HostInfo, direct: bool) -> Vec<MembershipEvent> {
        let id = &info.id;
        if id.host == self.own.id.host {
            return Vec::new();
        }
        let age = Duration::from_millis(u64::from(info.age_ms));
        let last_seen = now.checked_sub(age).unwrap_or(now);
        if age > self.timings.timeout {
            return Vec::new();
        }
        let Some(member) = self.members.get_mut(&id.host) else {
            let member =
                Member { info: info.clone(), last_seen, last_direct: direct.then_some(now) };
            self.members.insert(id.host.clone(), member);
            return vec![MembershipEvent::Up(id.clone())];
        };
        let known_id = member.info.id.clone();
        if id.incarnation < known_id.incarnation {
            return Vec::new();
        }
        let restarted = id.incarnation > known_id.incarnation;
        if restarted || last_seen >= member.last_seen {
            let number = member.info.config_number;
            member.info = info.clone();
            if !restarted {
                member.info.config_number = number.max(info.config_number);
            }
            member.last_seen = last_seen;
        }
        if direct {
            member.last_direct = Some(now);
        }
        if restarted {
            vec![MembershipEvent::Down(known_id), MembershipEvent::Up(id.clone())]
        } else {
            Vec::new()
        }
    }

    /// States of the members of this data centre that sent a heartbeat directly.
    fn local_infos(&self, now: Instant) -> Vec<HostInfo> {
        let local = self.members.values().filter(|member| {
            member.last_direct.is_some() && member.info.data_centre == self.own.data_centre
        });
        local
            .map(|member| {
                let age = now.saturating_duration_since(member.last_seen).as_millis();
                let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
                HostInfo { age_ms, ..member.info.clone() }
            })
            .collect()
    }

    /// Factor on the interval of heartbeats to other data centres. These carry one entry for
    /// each host of this data centre and each of its hosts sends them, so their volume grows
    /// with the square of its size.
    fn cross_interval_factor(&self) -> u32 {
        let local =
            self.members.values().filter(|member| member.info.data_centre == self.own.data_centre);
        (local.count() as u32 / HOSTS_PER_INTERVAL).max(1)
    }

    /// Members that this host exchanges heartbeats with: all of its data centre, and of every
    /// other one those with the highest rendezvous rank.
    fn heartbeat_targets(&self) -> impl Iterator<Item = &Member> {
        let mut other: BTreeMap<&Arc<str>, Vec<&Member>> = BTreeMap::new();
        let mut local = Vec::new();
        for member in self.members.values() {
            let data_centre = &member.info.data_centre;
            if *data_centre == self.own.data_centre {
                local.push(member);
            } else {
                other.entry(data_centre).or_default().push(member);
            }
        }
        for members in other.values_mut() {
            members.sort_by_key(|m| std::cmp::Reverse(rank(&self.own.id.host, &m.info.id.host)));
            members.truncate(PEERS_PER_DATA_CENTRE);
        }
        local.into_iter().chain(other.into_values().flatten())
    }
}
