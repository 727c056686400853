//! Hosts that use the same parts of the limits as this host, without hearing from it.
//!
//! Each host has an equal part of each limit and uses the parts of all hosts that it reaches.
//! Two hosts that do not reach each other, but both reach a third, would both use the third
//! one's part. To each of them the other is an outsider. A part is therefore divided by one
//! plus the number of outsiders that its host reaches: of any number of hosts that use a part
//! and do not hear from each other, each counts all of the others as outsiders, so together
//! they use it once.
//!
//! Hosts detect that another one has joined, died or been cut off at different times, and
//! meanwhile one of them is an outsider to the others. An outsider therefore counts only once
//! it has been one for some time. That time runs for each outsider by itself, so hosts that
//! come and go one after another never add up.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Outsiders by the digest of a host or row, with the time since when each is one.
#[derive(Debug, Default)]
pub struct Outsiders {
    since: HashMap<u64, Instant>,
}

/// Parts of one or several hosts, and the outsiders that these hosts reach.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parts {
    /// Number of parts.
    pub hosts: usize,
    /// Outsiders, with the number of hosts that each stands for.
    pub outsiders: Vec<(u64, usize)>,
    /// Outsiders that have been counted by another host, and have lasted.
    pub counted: usize,
}

impl Outsiders {
    /// Sums up the parts that a host may use. Outsiders count once they have been in `parts`
    /// for longer than `settle_time`.
    pub fn usable(&mut self, now: Instant, parts: &[Parts], settle_time: Duration) -> f64 {
        let mut since = HashMap::new();
        for (id, _) in parts.iter().flat_map(|parts| &parts.outsiders) {
            since.insert(*id, self.since.get(id).copied().unwrap_or(now));
        }
        self.since = since;
        let usable = parts.iter().map(|parts| {
            let lasting =
                parts.outsiders.iter().filter(|(id, _)| self.lasts(now, *id, settle_time));
            let outsiders = parts.counted + lasting.map(|(_, hosts)| hosts).sum::<usize>();
            parts.hosts as f64 / (1 + outsiders) as f64
        });
        usable.sum()
    }

    /// Whether an outsider has been one for longer than `settle_time`.
    pub fn lasts(&self, now: Instant, id: u64, settle_time: Duration) -> bool {
        self.since.get(&id).is_some_and(|at| now.saturating_duration_since(*at) > settle_time)
    }
}
