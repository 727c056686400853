//! What a host has told of its customers, so that it tells only what has changed.
//!
//! Each report has a sequence number, and each answer names the last one that came. Of
//! hundreds of customers few have changed since then.

use std::collections::HashMap;
use std::sync::Arc;

use rosemarypitch_peer::{Seen, Spent};

/// Change of a bucket's fullness that is worth telling.
const FULLNESS_STEP: f32 = 0.05;

/// What is told of customers.
#[derive(Debug, Default)]
pub struct CounterTable {
    sequence: u64,
    entries: HashMap<Arc<str>, Entry>,
}

#[derive(Debug)]
struct Entry {
    spent: Spent,
    /// The report with which it last changed.
    changed: u64,
}

impl CounterTable {
    /// Takes the present state; gives the number of the next report.
    pub fn update(&mut self, spent: impl IntoIterator<Item = (Arc<str>, Spent)>) -> u64 {
        self.sequence += 1;
        for (customer, spent) in spent {
            let fresh = Entry { spent: Spent::default(), changed: 0 };
            let entry = self.entries.entry(customer).or_insert(fresh);
            if entry.changed == 0 || differs(&entry.spent, &spent) {
                *entry = Entry { spent, changed: self.sequence };
            }
        }
        self.sequence
    }

    /// What has changed since a report.
    pub fn since(&self, sequence: u64) -> Vec<(Arc<str>, Spent)> {
        let changed = self.entries.iter().filter(|(_, entry)| entry.changed > sequence);
        changed.map(|(customer, entry)| (customer.clone(), entry.spent)).collect()
    }
}

fn differs(old: &Spent, new: &Spent) -> bool {
    let fullness = match (old.fullness, new.fullness) {
        (Some(old), Some(new)) => (old - new).abs() >= FULLNESS_STEP,
        (old, new) => old != new,
    };
    fullness || (old.asked, old.admitted) != (new.asked, new.admitted)
}

/// What a host knows of another's ledger.
#[derive(Debug, Default)]
pub struct CounterReplica {
    /// The last report that came, and of which run of the host.
    pub seen: Seen,
    /// The last of this host's reports that has come there.
    pub acked: u64,
    /// What customers asked for and got there.
    pub spent: HashMap<Arc<str>, Spent>,
}

impl CounterReplica {
    /// Takes a report; gives the entries before it, or none if it is not the next one of the
    /// same run. An older report than the last one is passed over.
    pub fn apply(&mut self, seen: Seen, spent: &[(Arc<str>, Spent)]) -> Option<Vec<Spent>> {
        let same = self.seen.incarnation == seen.incarnation && self.seen.sequence > 0;
        if same && seen.sequence < self.seen.sequence {
            return None;
        }
        if !same {
            self.spent.clear();
        }
        self.seen = seen;
        let before = spent.iter().map(|(customer, spent)| {
            self.spent.insert(customer.clone(), *spent).unwrap_or_default()
        });
        let before = before.collect();
        same.then_some(before)
    }
}

/// What a customer asked for and got at other hosts since those last told, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDelta {
    /// Asked for.
    pub asked: u64,
    /// Admitted; negative if more was given back.
    pub admitted: i64,
}

/// What was told of customers.
pub type TokenDeltas = Vec<(Arc<str>, TokenDelta)>;

/// What happened between two reports of one run of a host.
pub fn deltas(before: &[Spent], spent: &[(Arc<str>, Spent)]) -> TokenDeltas {
    let changes = before.iter().zip(spent).map(|(earlier, (customer, spent))| {
        let asked = spent.asked.wrapping_sub(earlier.asked);
        let admitted = spent.admitted.wrapping_sub(earlier.admitted) as i64;
        (customer.clone(), TokenDelta { asked, admitted })
    });
    changes.filter(|(_, told)| told.asked != 0 || told.admitted != 0).collect()
}
