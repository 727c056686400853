//! Load balancing among the servers of a plain service.
//!
//! The cost of a server is its utilization, from its own load reports and the requests that
//! this host has in flight there, plus a penalty for failures and one for another data
//! centre. The server with the lowest cost is chosen.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::cold::{ColdGate, ColdLimit};
use crate::config::RouteKind;
use crate::deployment::Load;
use crate::health::{Health, Outcome};
use crate::registry::Upstream;
use crate::router::StopPhase;
use crate::stop::RunTimes;

/// Penalty for another data centre, in units of utilization; crossing costs bandwidth and
/// latency.
const CROSSING_COST: f64 = 0.5;
/// Weight of the failure rate. A server that always fails is chosen once the utilization of
/// all others exceeds its own by this much.
const FAILURE_COST: f64 = 3.0;
/// Age at which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Load balancer for the servers of one service.
#[derive(Debug, Default)]
pub struct Balancer {
    servers: HashMap<Arc<str>, Server>,
    /// Times of requests with a single response.
    requests: RunTimes,
    /// Times of streams.
    streams: RunTimes,
}

#[derive(Debug)]
struct Server {
    upstream: Arc<Upstream>,
    in_flight: u32,
    /// Latest load report, when it came, and the requests in flight then.
    report: Option<(Instant, Load, u32)>,
    health: Health,
    gate: ColdGate,
    /// End of the rest that it has asked for.
    rest_until: Option<Instant>,
}

impl Balancer {
    /// Sets the usable servers.
    ///
    /// A server that is still the same process keeps its load and health.
    pub fn set_servers(&mut self, upstreams: &[Arc<Upstream>]) {
        let mut old = std::mem::take(&mut self.servers);
        for upstream in upstreams {
            let server = match old.remove(&upstream.id) {
                Some(server) if server.upstream.incarnation == upstream.incarnation => {
                    Server { upstream: upstream.clone(), ..server }
                }
                _ => Server {
                    upstream: upstream.clone(),
                    in_flight: 0,
                    report: None,
                    health: Health::default(),
                    gate: ColdGate::default(),
                    rest_until: None,
                },
            };
            self.servers.insert(upstream.id.clone(), server);
        }
    }

    /// Sends nothing to a run of a server until `end`.
    pub fn set_rest(&mut self, server: &Upstream, end: Instant) {
        let known = self.servers.get_mut(&server.id);
        if let Some(known) = known.filter(|s| s.upstream.incarnation == server.incarnation) {
            known.rest_until = Some(end);
        }
    }

    /// Time until the first server ends its rest, if all of them rest.
    pub fn rest_time(&self, now: Instant) -> Option<Duration> {
        let servers = self.servers.values();
        let ends: Option<Vec<Instant>> =
            servers.map(|server| server.rest_until.filter(|end| *end > now)).collect();
        ends?.into_iter().min().map(|end| end - now)
    }

    /// Sets the bounds on requests to cold servers, by server.
    pub fn set_cold_limits(&mut self, limit: impl Fn(&Upstream) -> Option<ColdLimit>) {
        for server in self.servers.values_mut() {
            server.gate.set(limit(&server.upstream));
        }
    }

    /// Chooses the server with the lowest cost that is allowed and not in `tried`, and counts a
    /// request in flight there. A cold server that has had what it bears is not chosen.
    ///
    /// `draw` returns a random number from 0 to 1, which breaks ties.
    pub fn choose(
        &mut self,
        now: Instant,
        zone: &str,
        tried: &[Arc<str>],
        allowed: impl Fn(&Upstream) -> bool,
        mut draw: impl FnMut() -> f64,
    ) -> Option<Arc<Upstream>> {
        let untried = self.servers.values_mut().filter(|server| {
            !tried.contains(&server.upstream.id)
                && allowed(&server.upstream)
                && server.gate.admits(now, 0)
                && server.rest_until.is_none_or(|end| end <= now)
        });
        let costs = untried.map(|server| (server.cost(now, zone) + draw() * 0.05, server));
        let (_, server) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        server.in_flight += 1;
        server.gate.record(now);
        Some(server.upstream.clone())
    }

    /// Records the end of a request, and its outcome if there was one.
    pub fn finish(&mut self, now: Instant, id: &str, outcome: Option<Outcome>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if let Some(outcome) = outcome {
            server.health.record(now, outcome);
        }
    }

    /// Records the time of a request that succeeded.
    pub fn record_run(&mut self, kind: RouteKind, time: Duration) {
        self.run_times(kind).record(time);
    }

    /// Time for which a request must have time when a host accepts it in a phase of its
    /// shutdown; none if that is not known.
    pub fn required_time(&mut self, kind: RouteKind, phase: StopPhase) -> Option<Duration> {
        self.run_times(kind).required(phase)
    }

    fn run_times(&mut self, kind: RouteKind) -> &mut RunTimes {
        if kind.is_stream() { &mut self.streams } else { &mut self.requests }
    }

    /// Records a server's load report.
    pub fn report(&mut self, now: Instant, id: &str, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.report = Some((now, load, server.in_flight));
        }
    }
}

impl Server {
    fn cost(&self, now: Instant, zone: &str) -> f64 {
        let slots = f64::from(self.upstream.slots.max(1));
        let fresh = self.report.filter(|(at, _, _)| now.duration_since(*at) < MAX_REPORT_AGE);
        let others = fresh.map_or(0, |(_, load, in_flight)| {
            // The report includes this host's requests, also the one that it came with.
            load.running.saturating_add(load.waiting).saturating_sub(in_flight)
        });
        let utilization = (f64::from(self.in_flight) + f64::from(others)) / slots;
        let crossing = if self.upstream.zone.as_ref() == zone { 0.0 } else { CROSSING_COST };
        let failing = FAILURE_COST * self.health.failure_rate(now);
        let avoided = if self.health.is_avoided(now) { 100.0 } else { 0.0 };
        utilization + crossing + failing + avoided
    }
}
