//! Which upstreams there are, and which may take new work.
//!
//! Entries of live upstreams may lapse while the store is away. So a list that is read
//! after an outage removes nothing at once: an entry that is missing from it, and that is
//! still missing after [`REREGISTER_TIME`], belongs to an upstream that is gone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time in which live upstreams write their entries again after an outage of the store.
/// The platform states about two seconds.
pub const REREGISTER_TIME: Duration = Duration::from_millis(2_300);

/// An upstream's own entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier.
    pub id: Arc<str>,
    /// Which run of it.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Arc<str>,
    /// Requests at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// What it does, if it is an engine.
    pub stage: Option<Stage>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
}

/// The upstreams that are known.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    entries: HashMap<Arc<str>, Known>,
    /// End of the time in which lapsed entries come back.
    settles: Option<Instant>,
}

#[derive(Debug)]
struct Known {
    upstream: Arc<Upstream>,
    missing: bool,
}

impl UpstreamRegistry {
    /// Takes the store's whole list; `outage` if the store was away before.
    pub fn replace(&mut self, now: Instant, list: Vec<Upstream>, outage: bool) {
        for known in self.entries.values_mut() {
            known.missing = true;
        }
        for upstream in list {
            self.put(upstream);
        }
        if outage {
            self.keep_missing(now);
        }
        self.expire(now);
    }

    /// Keeps missing entries for a time: the store is back from an outage.
    pub fn keep_missing(&mut self, now: Instant) {
        self.settles = Some(now + REREGISTER_TIME);
    }

    /// Takes a new or changed entry.
    pub fn put(&mut self, upstream: Upstream) {
        let known = Known { upstream: Arc::new(upstream), missing: false };
        self.entries.insert(known.upstream.id.clone(), known);
    }

    /// Takes note that an entry is gone.
    pub fn remove(&mut self, now: Instant, id: &str) {
        if let Some(known) = self.entries.get_mut(id) {
            known.missing = true;
        }
        self.expire(now);
    }

    /// Forgets missing entries, unless they may come back; gives those it forgot.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.settles.is_some_and(|end| now < end) {
            return Vec::new();
        }
        self.settles = None;
        let gone = self.entries.extract_if(|_, known| known.missing);
        gone.map(|(id, _)| id).collect()
    }

    /// When [`Self::expire`] is due.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.settles
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|known| &known.upstream)
    }

    /// Upstreams that may take new work.
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all().filter(|upstream| upstream.state == UpstreamState::Ready)
    }
}
