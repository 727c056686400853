//! Who is there.
//!
//! All hosts of a data centre exchange heartbeats; to each other data centre a host beats
//! to a few, and these tell what they heard inside their own. An exchange tells both ends
//! of each other, so a peer that was just heard from gets no heartbeat.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::{HostId, rank};
use tokio::time::Instant;

use crate::message::{Heartbeat, HostInfo};

/// Peers of each other data centre that a host beats to.
const FAR_PEERS: usize = 2;

/// Hosts of a data centre by which its heartbeats to others become rarer.
const NEAR_PER_FACTOR: u32 = 16;

/// Times that membership goes by.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTimings {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a host run counts as gone.
    pub timeout: Duration,
}

/// A host run that was heard of.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it said last.
    pub info: HostInfo,
    /// When it was last heard from, by whomever.
    pub last_seen: Instant,
    /// When this host itself last heard from it.
    pub last_direct: Option<Instant>,
}

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A host run came.
    Up(HostId),
    /// A host run is over, or silent for too long.
    Down(HostId),
}

/// Who is there, as one host sees it.
#[derive(Debug)]
pub struct MemberTable {
    own: HostInfo,
    rules: MembershipTimings,
    members: BTreeMap<Arc<str>, Member>,
    listed: HashSet<SocketAddr>,
    tried: HashMap<SocketAddr, Instant>,
}

impl MemberTable {
    /// A host that knows nobody yet.
    pub fn new(own: HostInfo, rules: MembershipTimings) -> Self {
        Self { own, rules, members: BTreeMap::new(), listed: HashSet::new(), tried: HashMap::new() }
    }

    /// What this host says of itself.
    pub fn own(&self) -> &HostInfo {
        &self.own
    }

    /// Sets the configuration number that this host has in force, and the time in
    /// milliseconds since it was compared with the platform's.
    pub fn set_config_number(&mut self, number: u64, config_age_ms: u32) {
        self.own.config_number = number;
        self.own.config_age_ms = config_age_ms;
    }

    /// Sets how many limit shares this host owns.
    pub fn set_shares(&mut self, shares: u32) {
        self.own.shares = shares;
    }

    /// Says from now on that this host is leaving.
    pub fn set_leaving(&mut self) {
        self.own.leaving = true;
    }

    /// Takes in addresses from the platform's list or the settings.
    pub fn set_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.address;
        self.listed = addresses.into_iter().filter(|address| *address != own).collect();
    }

    /// Takes in a heartbeat that came directly.
    pub fn apply_heartbeat(&mut self, now: Instant, beat: &Heartbeat) -> Vec<MembershipEvent> {
        let mut changes = self.note(now, &beat.sender, true);
        for sighting in &beat.relayed {
            changes.extend(self.note(now, sighting, false));
        }
        changes
    }

    /// Drops members that have been silent for too long.
    pub fn expire(&mut self, now: Instant) -> Vec<MembershipEvent> {
        let silence = self.rules.timeout;
        let silent = |member: &Member| now.saturating_duration_since(member.last_seen) > silence;
        let gone: Vec<Arc<str>> = self
            .members
            .iter()
            .filter(|(_, member)| silent(member))
            .map(|(name, _)| name.clone())
            .collect();
        let removed = gone.into_iter().filter_map(|name| self.members.remove(&name));
        removed.map(|member| MembershipEvent::Down(member.info.id)).collect()
    }

    /// Peers that are due a heartbeat now.
    pub fn heartbeats_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let interval = self.rules.heartbeat_interval;
        let far_factor = self.far_factor();
        let mut due: Vec<SocketAddr> = self
            .partners()
            .filter(|member| {
                let near = member.info.data_centre == self.own.data_centre;
                // A little less than the interval, so that a tick just before it counts; of
                // two hosts one waits longer, so that not both begin.
                let waits = near && self.own.id.host > member.info.id.host;
                let gap = if waits { interval * 14 / 10 } else { interval * 9 / 10 };
                let gap = if near { gap } else { gap * far_factor };
                member.last_direct.is_none_or(|at| now - at >= gap)
            })
            .map(|member| member.info.address)
            .collect();
        let known: HashSet<SocketAddr> =
            self.members.values().map(|member| member.info.address).collect();
        let silence = self.rules.timeout;
        let rested =
            |address: &SocketAddr| self.tried.get(address).is_none_or(|at| now - *at > silence);
        let unknown: Vec<SocketAddr> = self
            .listed
            .iter()
            .filter(|address| !known.contains(*address) && rested(address))
            .copied()
            .collect();
        self.tried.retain(|address, _| self.listed.contains(address));
        self.tried.extend(unknown.iter().map(|address| (*address, now)));
        due.extend(unknown);
        due
    }

    /// The heartbeat for a peer.
    pub fn heartbeat_for(&self, now: Instant, peer: SocketAddr) -> Heartbeat {
        let member = self.members.values().find(|member| member.info.address == peer);
        let near = member.is_some_and(|m| m.info.data_centre == self.own.data_centre);
        let heard = if near { Vec::new() } else { self.near_sightings(now) };
        Heartbeat { sender: self.own.clone(), relayed: heard }
    }

    /// Host runs that are there and not leaving, this one included.
    pub fn live(&self) -> Vec<&HostInfo> {
        let members = self.members.values().map(|member| &member.info);
        members.chain([&self.own]).filter(|sighting| !sighting.leaving).collect()
    }

    /// Live host runs of this host's region.
    pub fn live_in_region(&self) -> Vec<&HostInfo> {
        let mut live = self.live();
        live.retain(|sighting| sighting.region == self.own.region);
        live
    }

    /// All members but this host.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The address of a host run that is there.
    pub fn address(&self, id: &HostId) -> Option<SocketAddr> {
        let member = self.members.get(&id.host)?;
        (member.info.id == *id).then_some(member.info.address)
    }

    fn note(&mut self, now: Instant, sighting: &HostInfo, direct: bool) -> Vec<MembershipEvent> {
        let id = &sighting.id;
        if id.host == self.own.id.host {
            return Vec::new();
        }
        let age = Duration::from_millis(u64::from(sighting.age_ms));
        let heard = now.checked_sub(age).unwrap_or(now);
        if age > self.rules.timeout {
            return Vec::new();
        }
        let Some(member) = self.members.get_mut(&id.host) else {
            let member = Member {
                info: sighting.clone(),
                last_seen: heard,
                last_direct: direct.then_some(now),
            };
            self.members.insert(id.host.clone(), member);
            return vec![MembershipEvent::Up(id.clone())];
        };
        let known = member.info.id.clone();
        if id.incarnation < known.incarnation {
            return Vec::new();
        }
        let replaced = id.incarnation > known.incarnation;
        if replaced || heard >= member.last_seen {
            let number = member.info.config_number;
            member.info = sighting.clone();
            if !replaced {
                member.info.config_number = number.max(sighting.config_number);
            }
            member.last_seen = heard;
        }
        if direct {
            member.last_direct = Some(now);
        }
        if replaced {
            vec![MembershipEvent::Down(known), MembershipEvent::Up(id.clone())]
        } else {
            Vec::new()
        }
    }

    /// Members of this data centre that were heard directly.
    fn near_sightings(&self, now: Instant) -> Vec<HostInfo> {
        let near = self.members.values().filter(|member| {
            member.last_direct.is_some() && member.info.data_centre == self.own.data_centre
        });
        near.map(|member| {
            let age = now.saturating_duration_since(member.last_seen).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            HostInfo { age_ms, ..member.info.clone() }
        })
        .collect()
    }

    /// How much rarer heartbeats to other data centres are: they carry one entry for each
    /// host of this one, and as many hosts send them.
    fn far_factor(&self) -> u32 {
        let near =
            self.members.values().filter(|member| member.info.data_centre == self.own.data_centre);
        (near.count() as u32 / NEAR_PER_FACTOR).max(1)
    }

    /// Members that this host beats to.
    fn partners(&self) -> impl Iterator<Item = &Member> {
        let mut far: BTreeMap<&Arc<str>, Vec<&Member>> = BTreeMap::new();
        let mut near = Vec::new();
        for member in self.members.values() {
            let data_centre = &member.info.data_centre;
            if *data_centre == self.own.data_centre {
                near.push(member);
            } else {
                far.entry(data_centre).or_default().push(member);
            }
        }
        for members in far.values_mut() {
            members.sort_by_key(|m| std::cmp::Reverse(rank(&self.own.id.host, &m.info.id.host)));
            members.truncate(FAR_PEERS);
        }
        near.into_iter().chain(far.into_values().flatten())
    }
}
