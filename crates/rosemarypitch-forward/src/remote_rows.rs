//! State of the other rows, as reported by one partner in each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::{EngineUse, ReportId, RowReport, StreamUse};
use tokio::time::Instant;

use crate::counters::{self, CounterReplica, TokenDeltas};
use crate::layout::{Layout, RowId};

/// Time between exchanges with partners; a fraction of the second within which other rows must
/// detect a burst.
pub const ROW_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between reports of engine use to a partner. Other rows use these engines
/// only when their own are full.
const USAGE_INTERVAL: Duration = Duration::from_millis(900);
/// Exchanges that may be missed before a row is unreachable.
const MAX_MISSES: u32 = 3;
/// Age of a report at which the row's parts of the limits are no longer used. Both sides of a
/// partition use them until then, and this is all the time that the tolerance covers.
const MAX_PARTS_AGE: Duration = Duration::from_millis(750);
/// Exchanges that may be missed before another host of the row becomes the partner.
const MAX_PARTNER_MISSES: u32 = 2;

/// The other rows and their last reports.
#[derive(Debug, Default)]
pub struct RemoteRows {
    rows: HashMap<RowId, Row>,
    /// When engine use was last sent to each partner.
    usage_sent: HashMap<Arc<str>, Instant>,
}

#[derive(Debug, Default)]
struct Row {
    /// The partner whose reports count; none before its first report.
    partner: Option<PartnerState>,
    /// Number of partners that have failed, which determines the next one.
    failovers: usize,
    /// When the current partner was selected.
    selected: Option<Instant>,
}

#[derive(Debug)]
struct PartnerState {
    host: Arc<str>,
    report: RowReport,
    /// Use of each engine as last reported; not every report contains it.
    uses: Vec<(Arc<str>, EngineUse)>,
    replica: CounterReplica,
    reported: Instant,
}

impl PartnerState {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported) <= ROW_INTERVAL * MAX_MISSES
    }

    /// Whether another host of the row may replace it as the partner.
    fn is_late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported) > ROW_INTERVAL * MAX_PARTNER_MISSES
    }
}

impl RemoteRows {
    /// Partners to start an exchange with: one in each other row, unless that row initiates
    /// the exchanges.
    pub fn partner_targets(&mut self, now: Instant, layout: &Layout) -> Vec<Arc<str>> {
        self.rows.retain(|id, _| layout.other_rows().any(|other| other == id));
        self.usage_sent
            .retain(|_, at| now.saturating_duration_since(*at) < ROW_INTERVAL * MAX_MISSES);
        let mut partners = Vec::new();
        for id in layout.other_rows() {
            let row = self.rows.entry(id.clone()).or_default();
            let last = row.partner.as_ref().map(|state| state.reported).max(row.selected);
            let since = last.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            if since > ROW_INTERVAL * MAX_PARTNER_MISSES {
                row.failovers += 1;
                row.selected = Some(now);
            }
            row.selected = row.selected.or(Some(now));
            // A working partner stays, although its position changes with each host that joins.
            let current = row.partner.as_ref().filter(|state| !state.is_late(now));
            let current =
                current.map(|state| &state.host).filter(|host| layout.row_of(host) == Some(id));
            if row.failovers > 0 || layout.initiates(id) {
                partners.extend(current.or(layout.partner(id, row.failovers)).cloned());
            }
        }
        partners
    }

    /// Applies a row's report; returns the changes of its counters since the last one.
    /// `incarnation` identifies the run of this host.
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
        let current = row.partner.take().filter(|state| state.host == *from || !state.is_late(now));
        let mut state = match current {
            // Reports of a second partner would count the same row twice.
            Some(state) if state.host != *from => {
                row.partner = Some(state);
                return TokenDeltas::new();
            }
            Some(state) => state,
            None => PartnerState {
                host: from.clone(),
                report: RowReport::default(),
                uses: Vec::new(),
                replica: CounterReplica::default(),
                reported: now,
            },
        };
        state.reported = now;
        if report.acked.incarnation == incarnation {
            state.replica.acked = report.acked.sequence;
        }
        let before = state.replica.apply(report.id, &report.spent);
        let deltas =
            before.map_or(TokenDeltas::new(), |before| counters::deltas(&before, &report.spent));
        if let Some(uses) = &report.uses {
            state.uses.clone_from(uses);
        }
        state.report = report;
        row.partner = Some(state);
        deltas
    }

    /// Sequence number of the last report that a partner has acknowledged, and the last
    /// report received from it.
    pub fn seen(&self, layout: &Layout, partner: &str) -> (u64, ReportId) {
        let row = layout.row_of(partner).and_then(|id| self.rows.get(id));
        let state =
            row.and_then(|row| row.partner.as_ref()).filter(|state| *state.host == *partner);
        state.map_or((0, ReportId::default()), |state| (state.replica.acked, state.replica.seen))
    }

    /// Whether the next report to a partner includes engine use; records it as sent if so.
    pub fn is_usage_due(&mut self, now: Instant, to: &Arc<str>) -> bool {
        let sent = self.usage_sent.get(to);
        let due = sent.is_none_or(|at| now.saturating_duration_since(*at) >= USAGE_INTERVAL);
        if due {
            self.usage_sent.insert(to.clone(), now);
        }
        due
    }

    /// The rows whose parts of the limits may be used, and their last reports.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = (&RowId, &RowReport)> {
        let rows = self.rows.iter().filter_map(|(id, row)| Some((id, row.partner.as_ref()?)));
        let age = move |state: &PartnerState| now.saturating_duration_since(state.reported);
        rows.filter(move |(_, state)| age(state) <= MAX_PARTS_AGE)
            .map(|(id, state)| (id, &state.report))
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PartnerState> {
        let states = self.rows.values().filter_map(|row| row.partner.as_ref());
        states.filter(move |state| state.is_fresh(now))
    }

    /// Reachable partners.
    pub fn partners(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        self.fresh(now).map(|state| &state.host)
    }

    /// Engine use of the reachable rows. A row reports only sums, which are divided evenly
    /// among its number of streams.
    pub fn usage(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, Vec<StreamUse>)> {
        self.fresh(now).flat_map(|state| &state.uses).map(|(engine, sum)| {
            let count = u64::from(sum.streams.max(1));
            let even = StreamUse { held: sum.held / count, growth: sum.growth / count };
            (engine, vec![even; sum.streams as usize])
        })
    }
}
