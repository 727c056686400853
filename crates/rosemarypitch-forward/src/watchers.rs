//! Sharing of the store's watches among the hosts of a row.
//!
//! Each watch is a call to the store, and each change of an entry ends the watches of all hosts
//! that have one. In a large fleet only a few hosts of a row, its watchers, watch the store. The
//! others request the updates from a watcher by revision, and watch the store themselves while
//! no watcher answers. A watcher relays updates only while it is itself current.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::deployment::{StorePosition, Update, Updates};

/// Smallest row in which only some hosts watch the store.
const MIN_ROW_SIZE: usize = 8;
/// Watchers of a row; one may fail while its followers find the other.
const WATCHERS: usize = 2;
/// Batches of updates that a watcher keeps for hosts that are behind.
const MAX_BATCHES: usize = 64;
/// Longest time for which a watcher's own watch waits. It also bounds how long a silent watch
/// holds up its followers.
pub const WATCH_TIME: Duration = Duration::from_millis(1_200);
/// Longest time for which a request to a watcher waits for updates. A watcher that has died or
/// is paused is detected after it.
pub const RELAY_TIME: Duration = Duration::from_secs(1);
/// Time for which a watcher that did not answer is not asked again.
pub const RELAY_BACKOFF: Duration = Duration::from_secs(2);

/// Where a host gets the updates of the store from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Its own watch; `watcher` if other hosts rely on it.
    Store {
        /// Whether it is one of its row's watchers.
        watcher: bool,
    },
    /// The row's watcher with this name.
    Peer(Arc<str>),
}

/// Determines where the host `own` gets its updates from; `reachable` are the other reachable
/// hosts of its row.
pub fn source(own: &Arc<str>, reachable: &[Arc<str>]) -> Source {
    if reachable.len() + 1 < MIN_ROW_SIZE {
        return Source::Store { watcher: false };
    }
    let mut hosts: Vec<&Arc<str>> = reachable.iter().chain([own]).collect();
    hosts.sort();
    let position = hosts.iter().position(|host| *host == own).unwrap_or(0);
    if position < WATCHERS {
        return Source::Store { watcher: true };
    }
    Source::Peer(hosts[position % WATCHERS].clone())
}

/// Updates of the store relayed by a watcher.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayedUpdates {
    /// Updates in order of revision.
    pub updates: Vec<Update>,
    /// Position of the store that they reach.
    pub position: StorePosition,
    /// Time since the watcher was last current with the store, in milliseconds.
    pub age_ms: u64,
}

impl RelayedUpdates {
    /// Adds the time that the reply may have been on its way, given the time since the request.
    pub fn received(self, elapsed: Duration) -> Self {
        // A reply without updates is sent at the end of the wait.
        let waited = self.updates.is_empty() && elapsed >= RELAY_TIME;
        let transit = if waited { elapsed - RELAY_TIME } else { elapsed };
        Self { age_ms: self.age_ms.saturating_add(transit.as_millis() as u64), ..self }
    }
}

fn is_config(update: &Update) -> bool {
    matches!(update, Update::Config(_))
}

/// The latest updates received by a watcher, in contiguous batches of one era of the store.
#[derive(Debug, Default)]
pub struct UpdateLog {
    /// Position before the first batch.
    start: StorePosition,
    /// Position that the log reaches, which may be after the last batch.
    end: StorePosition,
    batches: VecDeque<(StorePosition, Vec<Update>)>,
}

impl UpdateLog {
    /// Drops all batches after a full read up to `position`.
    pub fn reset(&mut self, position: StorePosition) {
        self.start = position;
        self.end = position;
        self.batches.clear();
    }

    /// Adds the batch that reaches `position`.
    pub fn push(&mut self, position: StorePosition, updates: Vec<Update>) {
        if position.era != self.start.era {
            return self.reset(position);
        }
        if position <= self.end {
            return;
        }
        self.end = position;
        if updates.is_empty() {
            return;
        }
        if updates.iter().any(is_config) {
            // Only the latest one is of use to a host that is behind, and they may be large.
            for (_, earlier) in &mut self.batches {
                earlier.retain(|update| !is_config(update));
            }
        }
        let last = updates.iter().rposition(is_config);
        let kept = updates.into_iter().enumerate();
        let kept = kept.filter(|(index, update)| !is_config(update) || Some(*index) == last);
        self.batches.push_back((position, kept.map(|(_, update)| update).collect()));
        if self.batches.len() > MAX_BATCHES
            && let Some((first, _)) = self.batches.pop_front()
        {
            self.start = first;
        }
    }

    /// Updates after `position`, if there are any yet; none if the log does not reach back so
    /// far, or is of another era.
    ///
    /// The first batch may contain updates up to `position`. They are followed by all later
    /// ones, so applying the whole batch leads to the state at its end.
    pub fn since(&self, position: StorePosition) -> Option<Updates> {
        if position < self.start || position.era != self.start.era {
            return None;
        }
        let later = self.batches.iter().filter(|(end, _)| *end > position);
        let updates = later.flat_map(|(_, updates)| updates.iter().cloned()).collect();
        Some(Updates { updates, position: self.end })
    }
}
