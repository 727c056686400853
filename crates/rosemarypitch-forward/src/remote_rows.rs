//! What is known of the hosts of other rows, by way of partners.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::{RowReport, Seen, StreamUse, UseSum};
use tokio::time::Instant;

use crate::counters::{self, CounterReplica, TokenDeltas};
use crate::layout::{Layout, RowId};

/// Time between exchanges with partners; a part of the second in which a burst shows.
pub const ROW_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a partner is told again which engines the row uses. Other rows use
/// these engines only when their own are full.
const USES_INTERVAL: Duration = Duration::from_millis(900);
/// Exchanges that may be missed before a row counts as unheard.
const MISSES: u32 = 3;
/// Exchanges that may be missed before another partner of the row is asked.
const PARTNER_MISSES: u32 = 2;

/// The other rows.
#[derive(Debug, Default)]
pub struct RemoteRows {
    rows: HashMap<RowId, Row>,
    /// When each partner was told which engines the row uses.
    told: HashMap<Arc<str>, Instant>,
}

#[derive(Debug, Default)]
struct Row {
    /// The partner whose reports are counted, with its last one.
    heard: Option<Heard>,
    /// How many partners have failed.
    turn: usize,
    /// When a partner was last asked in vain, or first asked.
    asked: Option<Instant>,
}

#[derive(Debug)]
struct Heard {
    from: Arc<str>,
    report: RowReport,
    /// Use of each engine, as told last.
    uses: Vec<(Arc<str>, UseSum)>,
    copy: CounterReplica,
    at: Instant,
}

impl Heard {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) <= ROW_INTERVAL * MISSES
    }
}

impl RemoteRows {
    /// Partners to ask: one in each other row that does not ask this host.
    pub fn partner_targets(&mut self, now: Instant, layout: &Layout) -> Vec<Arc<str>> {
        self.rows.retain(|id, _| layout.other_rows().any(|other| other == id));
        self.told.retain(|_, at| now.saturating_duration_since(*at) < ROW_INTERVAL * MISSES);
        let mut partners = Vec::new();
        for id in layout.other_rows() {
            let row = self.rows.entry(id.clone()).or_default();
            let last = row.heard.as_ref().map(|heard| heard.at).max(row.asked);
            let since = last.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            if since > ROW_INTERVAL * PARTNER_MISSES {
                row.turn += 1;
                row.asked = Some(now);
            }
            row.asked = row.asked.or(Some(now));
            if row.turn > 0 || layout.initiates(id) {
                partners.extend(layout.partner(id, row.turn).cloned());
            }
        }
        partners
    }

    /// Takes a row's report; gives what happened there since the last one.
    pub fn apply_report(
        &mut self,
        now: Instant,
        layout: &Layout,
        from: &Arc<str>,
        report: RowReport,
        incarnation: u64,
    ) -> TokenDeltas {
        let Some(id) = layout.row_of(from).filter(|_| !layout.in_own_row(from)) else {
            return Vec::new();
        };
        let row = self.rows.entry(id.clone()).or_default();
        let present = row.heard.take().filter(|heard| heard.from == *from || heard.is_fresh(now));
        let mut heard = match present {
            // One partner at a time: two would be counted twice.
            Some(heard) if heard.from != *from => {
                row.heard = Some(heard);
                return TokenDeltas::new();
            }
            Some(heard) => heard,
            None => Heard {
                from: from.clone(),
                report: RowReport::default(),
                uses: Vec::new(),
                copy: CounterReplica::default(),
                at: now,
            },
        };
        heard.at = now;
        if report.seen.incarnation == incarnation {
            heard.copy.acked = report.seen.sequence;
        }
        let before = heard.copy.apply(report.own, &report.spent);
        let changes =
            before.map_or(TokenDeltas::new(), |before| counters::deltas(&before, &report.spent));
        if let Some(uses) = &report.uses {
            heard.uses.clone_from(uses);
        }
        heard.report = report;
        row.heard = Some(heard);
        changes
    }

    /// The last of this host's reports that has come to a partner, and the partner's last one
    /// that has come here.
    pub fn seen(&self, layout: &Layout, partner: &str) -> (u64, Seen) {
        let row = layout.row_of(partner).and_then(|id| self.rows.get(id));
        let heard = row.and_then(|row| row.heard.as_ref()).filter(|heard| *heard.from == *partner);
        heard.map_or((0, Seen::default()), |heard| (heard.copy.acked, heard.copy.seen))
    }

    /// Whether a partner is to be told now which engines the row uses.
    pub fn is_usage_due(&mut self, now: Instant, to: &Arc<str>) -> bool {
        let told = self.told.get(to);
        let due = told.is_none_or(|at| now.saturating_duration_since(*at) >= USES_INTERVAL);
        if due {
            self.told.insert(to.clone(), now);
        }
        due
    }

    /// Reports of the rows that are heard.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = &RowReport> {
        self.fresh(now).map(|heard| &heard.report)
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &Heard> {
        let heard = self.rows.values().filter_map(|row| row.heard.as_ref());
        heard.filter(move |heard| heard.is_fresh(now))
    }

    /// Partners that are heard.
    pub fn partners(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        self.fresh(now).map(|heard| &heard.from)
    }

    /// What the rows that are heard use of each engine, as that many even streams.
    pub fn uses(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, Vec<StreamUse>)> {
        self.fresh(now).flat_map(|heard| &heard.uses).map(|(engine, sum)| {
            let count = u64::from(sum.streams.max(1));
            let even = StreamUse { held: sum.held / count, growth: sum.growth / count };
            (engine, vec![even; sum.streams as usize])
        })
    }
}
