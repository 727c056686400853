//! What hosts tell each other: tokens admitted, engines used.
//!
//! One exchange serves both ends; of two hosts the one with the earlier name begins it. A
//! host counts as heard only while both ends hear each other, so that of two hosts that
//! are half cut off neither uses a share that the other counts as its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::HostReport;
use tokio::time::Instant;

use crate::memory::StreamUse;
use crate::quota::Share;

/// Time between exchanges of two hosts, for each host there is beyond two.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(20);
/// Shortest time between exchanges of two hosts; short against a stream of three seconds.
pub const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Exchanges that may be missed before a host counts as unheard.
const MISSES: u32 = 5;

/// The other hosts.
#[derive(Debug)]
pub struct Neighbours {
    own: Arc<str>,
    hosts: HashMap<Arc<str>, Neighbour>,
}

#[derive(Debug, Default)]
struct Neighbour {
    /// Where it takes connections, while its entry is in the store.
    address: Option<SocketAddr>,
    report: HostReport,
    /// When its last report came.
    reported: Option<Instant>,
    /// Whether it had heard this host when it last reported.
    hears: bool,
}

/// What a host admitted since its last report; negative if more was given back.
pub type Admitted = (Arc<str>, i64);

impl Neighbours {
    /// A host that knows no other.
    pub fn new(own: Arc<str>) -> Self {
        Self { own, hosts: HashMap::new() }
    }

    /// Takes a host's entry.
    pub fn put(&mut self, host: Arc<str>, address: SocketAddr) {
        if host != self.own {
            self.hosts.entry(host).or_default().address = Some(address);
        }
    }

    /// Forgets a host whose entry has lapsed, unless it is heard.
    pub fn remove(&mut self, now: Instant, host: &str) {
        let interval = self.interval();
        if self.hosts.get(host).is_some_and(|known| !known.is_heard(now, interval)) {
            self.hosts.remove(host);
        }
    }

    /// Names of the hosts that are known.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hosts.keys()
    }

    /// Time between exchanges: grows with the hosts, so that their sum grows no faster.
    pub fn interval(&self) -> Duration {
        let others = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        (INTERVAL_PER_HOST * others).max(MIN_INTERVAL)
    }

    /// Hosts with which this one begins exchanges now: all of them if `due`, else those that
    /// are not heard yet, since a host that hears nobody may use little of any limit.
    pub fn to_ask(&self, now: Instant, due: bool) -> Vec<(Arc<str>, SocketAddr)> {
        let interval = self.interval();
        let asked = self
            .hosts
            .iter()
            .filter(|(host, known)| **host > self.own && (due || !known.is_heard(now, interval)));
        asked.filter_map(|(host, known)| Some((host.clone(), known.address?))).collect()
    }

    /// Hosts that are heard.
    pub fn heard(&self, now: Instant) -> Vec<(Arc<str>, SocketAddr)> {
        let interval = self.interval();
        let heard = self.hosts.iter().filter(|(_, known)| known.is_heard(now, interval));
        heard.filter_map(|(host, known)| Some((host.clone(), known.address?))).collect()
    }

    /// Whether a host is heard; what it is told of itself.
    pub fn hears(&self, now: Instant, host: &str) -> bool {
        let interval = self.interval();
        self.hosts.get(host).is_some_and(|known| known.is_reporting(now, interval))
    }

    /// Takes a host's report; gives what it admitted since the last one.
    pub fn take(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        report: HostReport,
        hears: bool,
    ) -> Vec<Admitted> {
        let known = self.hosts.entry(from.clone()).or_default();
        let old = std::mem::replace(&mut known.report, report);
        let first = known.reported.replace(now).is_none();
        known.hears = hears;
        // What another run of the host admitted is told by that run.
        if first || old.incarnation != known.report.incarnation {
            return Vec::new();
        }
        let before: HashMap<&Arc<str>, u64> =
            old.admitted.iter().map(|(name, tokens)| (name, *tokens)).collect();
        let changes = known.report.admitted.iter().map(|(name, tokens)| {
            let earlier = before.get(name).copied().unwrap_or(0);
            (name.clone(), tokens.wrapping_sub(earlier) as i64)
        });
        changes.filter(|(_, change)| *change != 0).collect()
    }

    /// The part of all limits that this host may use.
    pub fn share(&self, now: Instant) -> Share {
        let interval = self.interval();
        let heard = self.hosts.values().filter(|known| known.is_heard(now, interval)).count();
        Share { heard: heard + 1, hosts: self.hosts.len() + 1 }
    }

    /// What the hosts that report use of each engine.
    pub fn uses(&self, now: Instant) -> HashMap<Arc<str>, Vec<StreamUse>> {
        let interval = self.interval();
        let mut uses: HashMap<Arc<str>, Vec<StreamUse>> = HashMap::new();
        let reporting = self.hosts.values().filter(|known| known.is_reporting(now, interval));
        for (engine, streams) in reporting.flat_map(|known| &known.report.uses) {
            uses.entry(engine.clone()).or_default().extend(streams);
        }
        uses
    }
}

impl Neighbour {
    fn is_reporting(&self, now: Instant, interval: Duration) -> bool {
        self.reported.is_some_and(|at| now.duration_since(at) <= interval * MISSES)
    }

    fn is_heard(&self, now: Instant, interval: Duration) -> bool {
        self.hears && self.is_reporting(now, interval)
    }
}
