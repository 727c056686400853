//! Quarantine of prompt parts that crash engines.
//!
//! A part of a prompt may crash every engine that starts to answer a request with it. Such
//! requests differ in everything else, so each crash is recorded with the parts of the
//! requests whose answers had not begun, and the part that the crashes have in common is
//! held responsible. Requests that contain it are refused before they reach an engine.
//!
//! Requests that only happened to wait at a crashed engine leave records too. A crash has one
//! cause: once a part explains it, the other parts recorded with it are no longer suspected. A
//! part that an engine has answered shortly before the crash or since then is not suspected
//! either. Of the parts that explain equally many crashes, the one that did so first is suspected,
//! and not one that occurs in further requests.
//!
//! Engines also crash for other reasons, many of them at the same moment when a rack loses
//! power. Two requests with a part in common are then no coincidence, so crashes that follow
//! each other closely count as one.
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
/// Crashes within this time after another one don't count.
const SIMULTANEOUS: Duration = Duration::from_millis(100);
/// Shortest time between two crashes of an engine. Its new incarnation may not be known yet.
const MIN_RESTART: Duration = Duration::from_secs(1);
/// Time before a crash in which an answer shows that a part isn't its cause.
const ANSWER_VALIDITY: Duration = Duration::from_secs(10);
/// Time for which a crash is remembered, and for which a culprit is refused after its last crash.
const RETENTION: Duration = Duration::from_secs(900);
/// Time after the last of [`MIN_CRASHES`] crashes for which their culprit is refused. They may be a
/// coincidence; a deadly part crashes one more engine after this time.
const FIRST_BLOCK: Duration = Duration::from_secs(60);
/// Largest number of crashes that are remembered. The oldest ones without a known cause are
/// dropped first.
const MAX_RECORDS: usize = 128;
/// Largest number of parts whose latest answer is remembered.
const MAX_ANSWERED: usize = 4_096;

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
    records: BTreeMap<u64, Waiting>,
    /// When the latest answer to a request with a part was completed.
    answered: HashMap<Arc<str>, Instant>,
    culprits: Vec<Culprit>,
}

/// An engine and its incarnation.
type EngineRun = (Arc<str>, u64);

/// A crash: the engine, and when the first of its records was made.
type CrashKey = (EngineRun, Instant);

#[derive(Debug)]
struct Waiting {
    engine: EngineRun,
    /// Parts that may have caused it.
    parts: BTreeSet<Arc<str>>,
    at: Instant,
}

/// Parts held responsible for crashes. A request that contains all of them is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Culprit {
    /// The parts.
    pub parts: BTreeSet<Arc<str>>,
    /// Number of crashes that count.
    pub crashes: usize,
    /// When requests are no longer refused.
    pub until: Instant,
}

impl std::fmt::Display for Culprit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let parts: Vec<&str> = self.parts.iter().map(|part| &**part).collect();
        write!(f, "{}:{}", parts.join("+"), self.crashes)
    }
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
        let is_suspected = |part: &Arc<str>| {
            self.answered.get(part).is_none_or(|answered| *answered + ANSWER_VALIDITY < at)
        };
        let parts = parts.into_iter().filter(is_suspected).collect();
        self.records.insert(id, Waiting { engine: (engine, incarnation), parts, at });
        self.update(now);
        true
    }

    /// Records that the answer to a request with these parts was completed.
    pub fn record_answer(&mut self, now: Instant, parts: &[Arc<str>]) {
        let mut changed = self.culprits.iter().any(|culprit| culprit.until <= now);
        for part in parts {
            for record in self.records.values_mut() {
                changed |= record.parts.remove(part);
            }
            self.remember_answer(now, part);
        }
        if changed {
            self.update(now);
        }
    }

    fn remember_answer(&mut self, now: Instant, part: &Arc<str>) {
        if let Some(answered) = self.answered.get_mut(part) {
            *answered = now;
            return;
        }
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.retain(|_, answered| now < *answered + ANSWER_VALIDITY);
        }
        if self.answered.len() < MAX_ANSWERED {
            self.answered.insert(part.clone(), now);
        }
    }

    /// Time for which requests with these parts are refused; none if they aren't.
    pub fn blocked(&self, now: Instant, parts: &[Arc<str>]) -> Option<Duration> {
        let matching = self.culprits.iter().filter(|culprit| {
            now < culprit.until && culprit.parts.iter().all(|part| parts.contains(part))
        });
        matching.map(|culprit| culprit.until - now).max()
    }

    /// All records, for another host. Those without a suspected part are empty.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let live = self.records.iter().filter(|(_, record)| !record.is_expired(now));
        let records = live.map(|(id, record)| CrashRecord {
            id: *id,
            engine: record.engine.0.clone(),
            incarnation: record.engine.1,
            parts: record.parts.iter().cloned().collect(),
            age_ms: now.saturating_duration_since(record.at).as_millis() as u64,
        });
        records.collect()
    }

    /// Equal at two hosts that have the same records; 0 without records.
    pub fn digest(&self, now: Instant) -> u64 {
        let live = self.records.iter().filter(|(_, record)| !record.is_expired(now));
        live.fold(0, |digest, (id, _)| digest ^ id)
    }

    /// The parts that are held responsible.
    pub fn culprits(&self) -> &[Culprit] {
        &self.culprits
    }

    /// Number of sets of parts that are held responsible.
    pub fn culprit_count(&self) -> usize {
        self.culprits.len()
    }

    /// Derives the culprits from the records.
    fn update(&mut self, now: Instant) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.culprits.clear();
        let crashes = self.crashes();
        let mut explained = BTreeSet::new();
        loop {
            let groups = self.leading_groups(&crashes, &explained);
            let count = groups.first().map_or(0, Group::crash_count);
            let needed = if groups.len() > 1 { MIN_AMBIGUOUS_CRASHES } else { MIN_CRASHES };
            if count < needed {
                break;
            }
            for group in groups {
                let until = group.last() + block_time(count);
                explained.extend(group.crashes);
                self.culprits.push(Culprit { parts: group.parts, crashes: count, until });
            }
        }
        while self.records.len() > MAX_RECORDS {
            let first = |(id, record): &(&u64, &Waiting)| {
                let is_explained = crashes.get(id).is_some_and(|crash| explained.contains(crash));
                (is_explained && !record.parts.is_empty(), record.at)
            };
            let oldest = self.records.iter().min_by_key(first).map(|(id, _)| *id);
            oldest.and_then(|id| self.records.remove(&id));
        }
    }

    /// The crash to which each record belongs.
    fn crashes(&self) -> BTreeMap<u64, CrashKey> {
        let mut records: Vec<(&u64, &Waiting)> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| (&record.engine, record.at));
        let mut crashes = BTreeMap::new();
        let mut last: Option<CrashKey> = None;
        for (id, record) in records {
            let same = last.take().filter(|(engine, start)| {
                *engine == record.engine && record.at < *start + MIN_RESTART
            });
            let crash = same.unwrap_or_else(|| (record.engine.clone(), record.at));
            crashes.insert(*id, crash.clone());
            last = Some(crash);
        }
        crashes
    }

    /// The parts with the most crashes that are not yet explained, grouped by the records that
    /// they occur in.
    fn leading_groups(
        &self,
        crashes: &BTreeMap<u64, CrashKey>,
        explained: &BTreeSet<CrashKey>,
    ) -> Vec<Group> {
        let mut by_part: BTreeMap<&Arc<str>, BTreeSet<u64>> = BTreeMap::new();
        for (id, record) in &self.records {
            if crashes.get(id).is_some_and(|crash| !explained.contains(crash)) {
                for part in &record.parts {
                    by_part.entry(part).or_default().insert(*id);
                }
            }
        }
        let mut by_ids: BTreeMap<BTreeSet<u64>, BTreeSet<Arc<str>>> = BTreeMap::new();
        for (part, ids) in by_part {
            by_ids.entry(ids).or_default().insert(part.clone());
        }
        let groups = by_ids.into_iter().map(|(ids, parts)| {
            let crashes = ids.iter().filter_map(|id| crashes.get(id).cloned()).collect();
            Group { parts, ids, crashes }
        });
        let groups: Vec<Group> = groups.collect();
        let most = groups.iter().map(Group::crash_count).max().unwrap_or(0);
        if most < MIN_CRASHES {
            return Vec::new();
        }
        let (leading, _): (Vec<Group>, Vec<Group>) =
            groups.into_iter().partition(|group| group.crash_count() == most);
        // A part that occurs in further requests, but explains no more crashes, is common.
        let is_common = |group: &Group| {
            leading.iter().any(|other| other.ids != group.ids && other.ids.is_subset(&group.ids))
        };
        let common: Vec<bool> = leading.iter().map(is_common).collect();
        let mut leading: Vec<Group> =
            leading.into_iter().zip(common).filter(|(_, common)| !common).map(|(g, _)| g).collect();
        let first = leading.iter().filter_map(|group| group.counted().last().copied()).min();
        leading.retain(|group| group.counted().last().copied() == first);
        leading
    }
}

/// Time for which a part is refused after the last of so many crashes.
fn block_time(crashes: usize) -> Duration {
    if crashes <= MIN_CRASHES { FIRST_BLOCK } else { RETENTION }
}

impl Waiting {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= RETENTION
    }
}

/// Parts that occur in the same records.
#[derive(Debug)]
struct Group {
    parts: BTreeSet<Arc<str>>,
    ids: BTreeSet<u64>,
    /// The crashes to which those records belong.
    crashes: BTreeSet<CrashKey>,
}

impl Group {
    /// Times of its crashes, of which simultaneous ones count once.
    fn counted(&self) -> Vec<Instant> {
        let times: BTreeSet<Instant> = self.crashes.iter().map(|(_, at)| *at).collect();
        let mut counted: Vec<Instant> = Vec::new();
        for at in times {
            if counted.last().is_none_or(|last| at >= *last + SIMULTANEOUS) {
                counted.push(at);
            }
        }
        counted
    }

    /// Number of crashes that count.
    fn crash_count(&self) -> usize {
        self.counted().len()
    }

    /// When the latest crash was.
    fn last(&self) -> Instant {
        self.crashes.iter().map(|(_, at)| *at).max().unwrap_or_else(Instant::now)
    }
}
