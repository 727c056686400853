//! Bound on the connections of callers.
//!
//! Each connection takes a descriptor and memory, whether or not anything is sent on it. Once there
//! are as many as a host has room for, a new one takes the place of the one whose caller has least
//! claim to it: first one that has never completed a request, then one that waits between requests,
//! those that have waited for longest first. A connection whose request is being served stays; if
//! all are, the new one is closed, and its caller may retry at another host.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::Notify;
use tokio::time::Instant;

/// Memory that a connection takes, in bytes: buffers for reading and writing, and its task.
const CONNECTION_BYTES: usize = 32 << 10;
/// Fraction of a host's memory that callers' connections may take.
const MEMORY_FRACTION: usize = 4;
/// Descriptors that are left for upstreams, hosts, the store and listeners: this many at least, and
/// a quarter of all.
const OTHER_DESCRIPTORS: usize = 32;
/// Fraction of a host's memory that bodies of requests may take.
const BODY_FRACTION: usize = 4;

/// Connections beyond the bound that may still be closing.
const MAX_CLOSING: usize = 4;

/// What a host has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Memory, in bytes; none if it is not known.
    pub memory: Option<usize>,
    /// Descriptors; none if their number is not known.
    pub descriptors: Option<usize>,
}

impl Capacity {
    /// Largest number of callers' connections.
    pub fn connections(self) -> usize {
        let by_memory = self.memory.map(|memory| memory / MEMORY_FRACTION / CONNECTION_BYTES);
        let by_descriptors =
            self.descriptors.map(|all| all.saturating_sub(OTHER_DESCRIPTORS.max(all / 4)));
        let least = by_memory.into_iter().chain(by_descriptors).min();
        least.map_or(usize::MAX, |least| least.max(1))
    }

    /// Memory for the bodies of requests that are being read or served, in bytes, so that at least
    /// one of the largest size has room.
    pub fn bodies(self, largest: usize) -> usize {
        let part = self.memory.map_or(usize::MAX / 2, |memory| memory / BODY_FRACTION);
        // A body is copied once it is complete, and a quarter is kept for small ones.
        part.max(largest.saturating_mul(3))
    }
}

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Nothing has been served on it; since when it waits for the rest of its first request.
    New(Instant),
    /// It waits for another request, or for the rest of one, since this time.
    Waiting(Instant),
    /// A request is being served.
    Serving,
}

/// The connections of callers.
#[derive(Debug, Default)]
pub struct Crowd {
    state: Mutex<State>,
    /// Notified when a connection has been closed.
    left: Notify,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    members: HashMap<u64, Member>,
}

#[derive(Debug)]
struct Member {
    claim: Claim,
    /// Notified when the connection has to be closed for another one.
    displaced: Arc<Notify>,
    /// Whether it has been.
    leaves: bool,
}

impl Crowd {
    /// Adds a connection; none if there are `max` already and all of them are served.
    pub fn enter(self: &Arc<Self>, now: Instant, max: usize) -> Option<Place> {
        let mut state = self.lock();
        let staying = state.members.values().filter(|member| !member.leaves).count();
        if staying >= max {
            let victim = state.members.values_mut().filter(|member| !member.leaves);
            let victim = victim.filter_map(|member| Some((member.claim.rank()?, member)));
            let (_, member) = victim.min_by_key(|(rank, _)| *rank)?;
            member.leaves = true;
            member.displaced.notify_one();
        }
        let id = state.next_id;
        state.next_id += 1;
        let displaced = Arc::new(Notify::new());
        let member = Member { claim: Claim::New(now), displaced: displaced.clone(), leaves: false };
        state.members.insert(id, member);
        drop(state);
        Some(Place { crowd: self.clone(), id, displaced })
    }

    /// Waits until those that have been displaced are closed, but for a few.
    pub async fn room(&self, max: usize) {
        loop {
            let left = self.left.notified();
            if self.count() < max.saturating_add(MAX_CLOSING) {
                return;
            }
            left.await;
        }
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.lock().members.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl Claim {
    /// Order in which connections are closed for others; none for one that stays.
    fn rank(self) -> Option<(u8, Instant)> {
        match self {
            Self::New(since) => Some((0, since)),
            Self::Waiting(since) => Some((1, since)),
            Self::Serving => None,
        }
    }
}

/// A connection's place among the others, given back on drop.
#[derive(Debug)]
pub struct Place {
    crowd: Arc<Crowd>,
    id: u64,
    displaced: Arc<Notify>,
}

impl Place {
    /// Records what the connection is doing.
    pub fn set(&self, claim: Claim) {
        if let Some(member) = self.crowd.lock().members.get_mut(&self.id) {
            member.claim = claim;
        }
    }

    /// Waits until the connection has to be closed for another one.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.crowd.lock().members.remove(&self.id);
        self.crowd.left.notify_one();
    }
}
