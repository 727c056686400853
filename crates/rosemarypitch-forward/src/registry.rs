//! Registry of known upstreams, and which of them accept new requests.
//!
//! Registrations of live upstreams may lapse during a long outage of the store. A list that is
//! read after one therefore removes nothing at once. A registration that is missing
//! from it is removed if it is still missing after [`REREGISTER_TIME`].
//!
//! An upstream that leaves may also say so in its responses, or a neighbour may have got such a
//! response. It then gets no new requests, whatever the store or a copy of its state says of this
//! run of it; only a later run is used again.
//!
//! A store that is restored from a copy shows upstreams as they were seconds before. Those that
//! have begun to leave or have been removed since stay so until they register again. Each list of
//! the restored store shows those that were removed, whoever read it, until their entries lapse.
//!
//! Upstreams in a data centre that operators have taken out of service get none either.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::cold::ColdUpstreams;
use crate::evacuation::Evacuations;

/// Time in which live upstreams register again after an outage of the store. The platform
/// specifies about two seconds.
pub const REREGISTER_TIME: Duration = Duration::from_millis(2_300);

/// Time for which an announcement is remembered after the upstream's entry is gone; longer than
/// an upstream that leaves goes on running.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// Registration of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier.
    pub id: Arc<str>,
    /// Incarnation; differs for each process that runs under the same identifier.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Arc<str>,
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Phase of inference that it serves, if it is an engine.
    pub stage: Option<Stage>,
    /// Time for which it was still cold when its entry was written.
    pub cold: Duration,
    /// Version of its software.
    pub version: Arc<str>,
}

impl Upstream {
    /// Whether it decodes, if it is an engine; one without a stage does both prefill and decode.
    pub fn is_decode(&self) -> bool {
        self.stage != Some(Stage::Prefill)
    }
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It accepts new requests.
    Ready,
    /// It finishes its open requests and then leaves.
    Draining,
}

/// Phase of inference that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Processes prompts.
    Prefill,
    /// Generates output tokens.
    Decode,
}

/// Whether an address can be that of one host. `0.0.0.0` would lead to this host itself.
pub fn is_host_address(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// Registry of the known upstreams.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    entries: HashMap<Arc<str>, Entry>,
    /// End of the time in which missing entries are kept after an outage.
    keep_until: Option<Instant>,
    /// Upstreams that have announced that they leave.
    leaving: HashMap<Arc<str>, Leaving>,
    /// Upstreams whose entries have been removed.
    removed: HashMap<Arc<str>, Leaving>,
    /// Until when the lists of a restored store may have entries that had been removed.
    stale_until: Option<Instant>,
    /// Data centres whose upstreams get no requests.
    pub evacuations: Evacuations,
    /// Upstreams that bear few requests for a time.
    pub cold: ColdUpstreams,
}

#[derive(Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    missing: bool,
}

/// What is known of an upstream that leaves or has left.
#[derive(Debug)]
struct Leaving {
    /// Run of the upstream that leaves.
    incarnation: u64,
    learned_at: Instant,
}

impl UpstreamRegistry {
    /// Replaces all entries by the store's list; `outage` if the store was unavailable
    /// before, in which case missing entries are kept for a time.
    pub fn replace(&mut self, now: Instant, list: Vec<Upstream>, outage: bool) {
        for entry in self.entries.values_mut() {
            entry.missing = true;
        }
        let rolled_back = self.stale_until.is_some_and(|end| now < end);
        for upstream in list {
            if !(rolled_back && self.has_left(&upstream)) {
                self.put(now, upstream);
            }
        }
        if outage {
            self.keep_missing(now);
        }
        self.expire(now);
    }

    /// Replaces all entries by the list of a store that was restored from a copy. Until
    /// `stale_until` it may list upstreams that have left.
    pub fn restore(
        &mut self,
        now: Instant,
        stale_until: Instant,
        list: Vec<Upstream>,
        evacuated: Vec<Arc<str>>,
    ) {
        let draining = self.all().filter(|upstream| upstream.state == UpstreamState::Draining);
        for upstream in draining.cloned().collect::<Vec<_>>() {
            self.mark_leaving(now, &upstream.id, upstream.incarnation);
        }
        self.stale_until = Some(stale_until);
        self.replace(now, list, true);
        for zone in evacuated {
            self.evacuations.begin(zone);
        }
    }

    /// Keeps missing entries for [`REREGISTER_TIME`], after an outage of the store.
    pub fn keep_missing(&mut self, now: Instant) {
        self.keep_until = Some(now + REREGISTER_TIME);
    }

    /// Adds or updates an entry.
    pub fn put(&mut self, now: Instant, upstream: Upstream) {
        self.cold.record_entry(now, &upstream.id, upstream.incarnation, upstream.cold);
        self.leaving.retain(|id, leaving| {
            *id != upstream.id || upstream.incarnation <= leaving.incarnation
        });
        let entry = Entry { upstream: Arc::new(upstream), missing: false };
        self.removed.remove(&entry.upstream.id);
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    /// Records that a run of an upstream has announced that it leaves; true if it was usable until
    /// now.
    pub fn mark_leaving(&mut self, now: Instant, id: &Arc<str>, incarnation: u64) -> bool {
        self.leaving.retain(|id, leaving| {
            let age = now.saturating_duration_since(leaving.learned_at);
            age < LEAVING_MEMORY || self.entries.contains_key(id)
        });
        let known = self.leaving.get(id).is_some_and(|known| known.incarnation >= incarnation);
        let entry = self.entries.get(id);
        let used = entry.is_some_and(|entry| {
            entry.upstream.incarnation <= incarnation
                && entry.upstream.state == UpstreamState::Ready
        });
        if !known {
            self.leaving.insert(id.clone(), Leaving { incarnation, learned_at: now });
        }
        used && !known
    }

    /// Whether an upstream has announced that it leaves.
    fn is_leaving(&self, upstream: &Upstream) -> bool {
        let leaving = self.leaving.get(&upstream.id);
        leaving.is_some_and(|leaving| upstream.incarnation <= leaving.incarnation)
    }

    /// Whether the entry of an upstream has been removed, and not been written again since.
    fn has_left(&self, upstream: &Upstream) -> bool {
        let removed = self.removed.get(&upstream.id);
        removed.is_some_and(|removed| upstream.incarnation <= removed.incarnation)
    }

    /// Marks an entry as missing, and removes it unless missing entries are kept now.
    pub fn remove(&mut self, now: Instant, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.missing = true;
        }
        self.expire(now);
    }

    /// Removes missing entries unless they are kept now; returns their identifiers.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.keep_until.is_some_and(|end| now < end) {
            return Vec::new();
        }
        self.keep_until = None;
        let removed = self.entries.extract_if(|_, entry| entry.missing);
        let removed: Vec<(Arc<str>, u64)> =
            removed.map(|(id, entry)| (id, entry.upstream.incarnation)).collect();
        if !removed.is_empty() {
            let is_recent = |removed: &Leaving| {
                now.saturating_duration_since(removed.learned_at) < LEAVING_MEMORY
            };
            self.removed.retain(|_, removed| is_recent(removed));
            for (id, incarnation) in &removed {
                let entry = Leaving { incarnation: *incarnation, learned_at: now };
                self.removed.insert(id.clone(), entry);
            }
            self.cold.retain(|id| self.entries.contains_key(id));
        }
        removed.into_iter().map(|(id, _)| id).collect()
    }

    /// When [`Self::expire`] must be called next, if at all.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.keep_until
    }

    /// Whether an entry is kept although it is missing from the store.
    pub fn has_missing(&self) -> bool {
        self.entries.values().any(|entry| entry.missing)
    }

    /// All upstreams, whether or not they accept new requests.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Until when an upstream is cold, if it bears few requests then; `time` is how long upstreams
    /// of its service are. One whose data centre is in service again may be cold without having
    /// said so yet.
    pub fn cold_until(&self, upstream: &Upstream, time: Duration) -> Option<Instant> {
        let known = self.cold.until(&upstream.id, upstream.incarnation);
        let returned = self.evacuations.ended_at(&upstream.zone).map(|ended| ended + time);
        known.max(returned)
    }

    /// Upstreams in data centres that are out of service.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all().filter(|upstream| self.evacuations.contains(&upstream.zone))
    }

    /// Versions of all upstreams, by service.
    pub fn versions(&self) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let mut versions: BTreeMap<Arc<str>, BTreeSet<Arc<str>>> = BTreeMap::new();
        for upstream in self.all() {
            let known = versions.entry(upstream.service.clone()).or_default();
            known.insert(upstream.version.clone());
        }
        versions
    }

    /// Upstreams that accept new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all().filter(|upstream| {
            upstream.state == UpstreamState::Ready
                && !self.is_leaving(upstream)
                && !self.evacuations.contains(&upstream.zone)
        })
    }
}
