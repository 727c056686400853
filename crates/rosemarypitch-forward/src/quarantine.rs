//! Quarantine of prompt parts that crash engines.
//!
//! A part of a prompt may crash every engine that starts to answer a request with it. Such
//! requests differ in everything else, so each crash is recorded with the parts of the
//! requests whose answers had not begun, and the part that the crashes have in common is
//! held responsible. Requests that contain it are refused before they reach an engine.
//!
//! Requests that only happened to wait at a crashed engine leave records too. A crash has one
//! cause: once a part explains it, the other parts recorded with it are no longer suspected. A
//! part that an engine has answered since then is not suspected either.
//!
//! Hosts exchange their records, and each derives the culprits from them by itself.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Crashes that a part must have in common before it is held responsible.
const MIN_CRASHES: usize = 2;
/// The same where several parts that occur in different requests have equally many crashes.
const MIN_AMBIGUOUS_CRASHES: usize = 3;
/// Time for which a crash is remembered. After it, a part is tried again.
const RETENTION: Duration = Duration::from_secs(900);
/// Largest number of crashes that are remembered; the oldest ones are dropped.
const MAX_RECORDS: usize = 128;

/// A request whose engine crashed before its answer began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Random identifier of the record.
    pub id: u64,
    /// Identifier of the engine.
    pub engine: Arc<str>,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Shared parts of the request's prompt.
    pub parts: Vec<Arc<str>>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// Recent crashes, and the parts held responsible for them.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<u64, Crash>,
    /// When an answer to a request with a recorded part was last completed.
    answered: HashMap<Arc<str>, Instant>,
    /// Sets of parts; a request that contains all parts of one is refused.
    culprits: Vec<Culprit>,
}

#[derive(Debug)]
struct Crash {
    engine: (Arc<str>, u64),
    parts: Vec<Arc<str>>,
    at: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Culprit {
    parts: BTreeSet<Arc<str>>,
    /// When the latest crash that it explains is forgotten.
    until: Instant,
}

impl Quarantine {
    /// Adds a record; false if it is known, names no part or is too old.
    pub fn add(&mut self, now: Instant, record: CrashRecord) -> bool {
        let age = Duration::from_millis(record.age_ms);
        let known = self.records.contains_key(&record.id);
        let Some(at) = now.checked_sub(age).filter(|_| age < RETENTION) else { return false };
        if known || record.parts.is_empty() {
            return false;
        }
        let CrashRecord { id, engine, incarnation, parts, age_ms: _ } = record;
        self.records.insert(id, Crash { engine: (engine, incarnation), parts, at });
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, crash)| crash.at).map(|(id, _)| *id);
            oldest.and_then(|id| self.records.remove(&id));
        }
        self.update(now);
        true
    }

    /// Records that the answer to a request with these parts was completed.
    pub fn record_answer(&mut self, now: Instant, parts: &[Arc<str>]) {
        let mut changed = false;
        for part in parts {
            if self.records.values().any(|crash| crash.parts.contains(part)) {
                self.answered.insert(part.clone(), now);
                changed = true;
            }
        }
        if changed {
            self.update(now);
        }
    }

    /// Time for which requests with these parts are refused; none if they aren't.
    pub fn blocked(&self, now: Instant, parts: &[Arc<str>]) -> Option<Duration> {
        let matching = self.culprits.iter().filter(|culprit| {
            now < culprit.until && culprit.parts.iter().all(|part| parts.contains(part))
        });
        matching.map(|culprit| culprit.until - now).max()
    }

    /// All records, for another host.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let live = self.records.iter().filter(|(_, crash)| !crash.is_expired(now));
        let records = live.map(|(id, crash)| CrashRecord {
            id: *id,
            engine: crash.engine.0.clone(),
            incarnation: crash.engine.1,
            parts: crash.parts.clone(),
            age_ms: now.saturating_duration_since(crash.at).as_millis() as u64,
        });
        records.collect()
    }

    /// Equal at two hosts that have the same records; 0 without records.
    pub fn digest(&self, now: Instant) -> u64 {
        let live = self.records.iter().filter(|(_, crash)| !crash.is_expired(now));
        live.fold(0, |digest, (id, _)| digest ^ id)
    }

    /// Number of sets of parts that are held responsible.
    pub fn culprit_count(&self) -> usize {
        self.culprits.len()
    }

    /// Derives the culprits from the records.
    fn update(&mut self, now: Instant) {
        self.records.retain(|_, crash| !crash.is_expired(now));
        let records = &self.records;
        self.answered.retain(|part, _| records.values().any(|crash| crash.parts.contains(part)));
        self.culprits.clear();
        let mut explained = BTreeSet::new();
        loop {
            let groups = self.leading_groups(&explained);
            let crashes = groups.first().map_or(0, |group| group.engines.len());
            let needed = if groups.len() > 1 { MIN_AMBIGUOUS_CRASHES } else { MIN_CRASHES };
            if crashes < needed {
                return;
            }
            for group in groups {
                explained.extend(group.engines.iter().cloned());
                self.culprits.push(Culprit { parts: group.parts, until: group.last + RETENTION });
            }
        }
    }

    /// The parts with the most crashes that are not yet explained, grouped by the records that
    /// they occur in.
    fn leading_groups(&self, explained: &BTreeSet<(Arc<str>, u64)>) -> Vec<Group> {
        let mut by_part: BTreeMap<&Arc<str>, BTreeSet<u64>> = BTreeMap::new();
        for (id, crash) in &self.records {
            if explained.contains(&crash.engine) {
                continue;
            }
            for part in &crash.parts {
                if self.answered.get(part).is_none_or(|answered| *answered < crash.at) {
                    by_part.entry(part).or_default().insert(*id);
                }
            }
        }
        let mut groups: BTreeMap<BTreeSet<u64>, BTreeSet<Arc<str>>> = BTreeMap::new();
        for (part, ids) in by_part {
            groups.entry(ids).or_default().insert(part.clone());
        }
        let groups: Vec<Group> =
            groups.into_iter().map(|(ids, parts)| self.group(&ids, parts)).collect();
        let most = groups.iter().map(|group| group.engines.len()).max().unwrap_or(0);
        groups.into_iter().filter(|group| group.engines.len() == most).collect()
    }

    fn group(&self, ids: &BTreeSet<u64>, parts: BTreeSet<Arc<str>>) -> Group {
        let crashes = || ids.iter().filter_map(|id| self.records.get(id));
        let engines = crashes().map(|crash| crash.engine.clone()).collect();
        let last = crashes().map(|crash| crash.at).max().unwrap_or_else(Instant::now);
        Group { parts, engines, last }
    }
}

impl Crash {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= RETENTION
    }
}

/// Parts that occur in the same records.
#[derive(Debug)]
struct Group {
    parts: BTreeSet<Arc<str>>,
    /// The engines that crashed under them.
    engines: BTreeSet<(Arc<str>, u64)>,
    /// When the latest of them crashed.
    last: Instant,
}
