//! Customers' token counters, replicated between hosts by delta reports.
//!
//! Each report has a sequence number and acknowledges the last one received from the other
//! host. It contains only the counters that have changed since the last acknowledged report:
//! of hundreds of customers, few are active between two reports.

use std::collections::HashMap;
use std::sync::Arc;

use rosemarypitch_peer::{ReportId, TokenCounts};

/// Smallest change of a bucket's fullness that is reported.
const FULLNESS_STEP: f32 = 0.05;

/// Counters that a host reports to others, with the report in which each last changed.
#[derive(Debug, Default)]
pub struct CounterTable {
    sequence: u64,
    entries: HashMap<Arc<str>, Entry>,
}

#[derive(Debug)]
struct Entry {
    spent: TokenCounts,
    /// Sequence number of the report in which it last changed; 0 before the first.
    changed: u64,
}

impl CounterTable {
    /// Updates the counters; returns the sequence number of the next report.
    pub fn update(&mut self, spent: impl IntoIterator<Item = (Arc<str>, TokenCounts)>) -> u64 {
        self.sequence += 1;
        for (customer, spent) in spent {
            let empty = Entry { spent: TokenCounts::default(), changed: 0 };
            let entry = self.entries.entry(customer).or_insert(empty);
            if entry.changed == 0 || has_changed(&entry.spent, &spent) {
                *entry = Entry { spent, changed: self.sequence };
            }
        }
        self.sequence
    }

    /// Counters that have changed since a report.
    pub fn since(&self, sequence: u64) -> Vec<(Arc<str>, TokenCounts)> {
        let changed = self.entries.iter().filter(|(_, entry)| entry.changed > sequence);
        changed.map(|(customer, entry)| (customer.clone(), entry.spent)).collect()
    }
}

fn has_changed(old: &TokenCounts, new: &TokenCounts) -> bool {
    let fullness = match (old.fullness, new.fullness) {
        (Some(old), Some(new)) => (old - new).abs() >= FULLNESS_STEP,
        (old, new) => old != new,
    };
    fullness || (old.requested, old.admitted) != (new.requested, new.admitted)
}

/// Replica of another host's counters.
#[derive(Debug, Default)]
pub struct CounterReplica {
    /// The last report received, and the run of the host that sent it.
    pub seen: ReportId,
    /// Sequence number of the last report that the other host has acknowledged.
    pub acked: u64,
    /// Counters by customer.
    pub spent: HashMap<Arc<str>, TokenCounts>,
}

impl CounterReplica {
    /// Whether a report is not older than the last one received.
    pub fn is_current(&self, id: ReportId) -> bool {
        self.seen.incarnation != id.incarnation || id.sequence >= self.seen.sequence
    }

    /// Applies a report; returns the previous values of its counters in the same order, or none
    /// if it is the first of a run or older than the last one. An older report is ignored.
    pub fn apply(
        &mut self,
        seen: ReportId,
        spent: &[(Arc<str>, TokenCounts)],
    ) -> Option<Vec<TokenCounts>> {
        let same_run = self.seen.incarnation == seen.incarnation && self.seen.sequence > 0;
        if !self.is_current(seen) {
            return None;
        }
        if !same_run {
            self.spent.clear();
        }
        self.seen = seen;
        let previous = spent.iter().map(|(customer, spent)| {
            self.spent.insert(customer.clone(), *spent).unwrap_or_default()
        });
        let previous = previous.collect();
        same_run.then_some(previous)
    }
}

/// Change of a customer's counters between two reports, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDelta {
    /// Requested.
    pub asked: u64,
    /// Admitted; negative if more was refunded.
    pub admitted: i64,
}

/// Changes by customer.
pub type TokenDeltas = Vec<(Arc<str>, TokenDelta)>;

/// Changes from the previous values to those of a report, without the unchanged ones.
pub fn deltas(previous: &[TokenCounts], spent: &[(Arc<str>, TokenCounts)]) -> TokenDeltas {
    let deltas = previous.iter().zip(spent).map(|(earlier, (customer, spent))| {
        let asked = spent.requested.wrapping_sub(earlier.requested);
        let admitted = spent.admitted.wrapping_sub(earlier.admitted) as i64;
        (customer.clone(), TokenDelta { asked, admitted })
    });
    deltas.filter(|(_, delta)| delta.asked != 0 || delta.admitted != 0).collect()
}
