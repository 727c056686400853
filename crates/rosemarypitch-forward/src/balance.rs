//! Choice among the servers of a plain service.
//!
//! The cost of a server is its busy part, by its own reports and by what this host has
//! running there, plus its failure rate, plus a little for another data centre.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::deployment::Load;
use crate::health::{Health, Outcome};
use crate::roster::Upstream;

/// Busy part that is accepted to stay in the data centre; crossing costs bytes and time.
const CROSSING_COST: f64 = 0.5;
/// Weight of the failure rate: a server that always fails is taken when all are full twice.
const FAILURE_COST: f64 = 3.0;
/// Age at which a report of load no longer counts.
const REPORT_AGE: Duration = Duration::from_millis(500);

/// Servers of one service.
#[derive(Debug, Default)]
pub struct Balance {
    servers: HashMap<Arc<str>, Server>,
}

#[derive(Debug)]
struct Server {
    upstream: Arc<Upstream>,
    open: u32,
    report: Option<(Instant, Load, u32)>,
    health: Health,
}

impl Balance {
    /// Takes the usable servers; what is known of those that stay is kept.
    pub fn replace(&mut self, list: &[Arc<Upstream>]) {
        let mut old = std::mem::take(&mut self.servers);
        for upstream in list {
            let server = match old.remove(&upstream.id) {
                Some(server) if server.upstream.born == upstream.born => {
                    Server { upstream: upstream.clone(), ..server }
                }
                _ => Server {
                    upstream: upstream.clone(),
                    open: 0,
                    report: None,
                    health: Health::default(),
                },
            };
            self.servers.insert(upstream.id.clone(), server);
        }
    }

    /// Chooses a server that is not in `tried`, and counts a request to it.
    ///
    /// `draw` gives a number from 0 to 1 that breaks ties.
    pub fn choose(
        &mut self,
        now: Instant,
        zone: &str,
        tried: &[Arc<str>],
        mut draw: impl FnMut() -> f64,
    ) -> Option<Arc<Upstream>> {
        let fresh = self.servers.values_mut().filter(|server| !tried.contains(&server.upstream.id));
        let costs = fresh.map(|server| (server.cost(now, zone) + draw() * 0.05, server));
        let (_, server) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        server.open += 1;
        Some(server.upstream.clone())
    }

    /// Counts the end of a request.
    pub fn finish(&mut self, now: Instant, id: &str, outcome: Option<Outcome>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.open = server.open.saturating_sub(1);
        if let Some(outcome) = outcome {
            server.health.note(now, outcome);
        }
    }

    /// Takes a report of load.
    pub fn report(&mut self, now: Instant, id: &str, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.report = Some((now, load, server.open));
        }
    }
}

impl Server {
    fn cost(&self, now: Instant, zone: &str) -> f64 {
        let slots = f64::from(self.upstream.slots.max(1));
        let fresh = self.report.filter(|(at, _, _)| now.duration_since(*at) < REPORT_AGE);
        let foreign = fresh.map_or(0, |(_, load, open)| {
            // The report counted the request that it came with.
            (load.running + load.waiting).saturating_sub(open)
        });
        let busy = f64::from(self.open + foreign) / slots;
        let crossing = if self.upstream.zone.as_ref() == zone { 0.0 } else { CROSSING_COST };
        let failing = FAILURE_COST * self.health.failure_rate(now);
        let avoided = if self.health.is_avoided(now) { 100.0 } else { 0.0 };
        busy + crossing + failing + avoided
    }
}
