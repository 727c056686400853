//! Bound on the requests to upstreams that are cold.
//!
//! A cold upstream bears only so many requests a second, and crashes at a rate well above that.
//! Hosts keep to that rate together without asking each other. Each owns an equal part of it, and
//! what does not divide evenly goes to the hosts that rank first for the upstream. A host goes by
//! the list of all hosts, not by those that it reaches, so hosts that are cut off from each other
//! do not exceed the rate either. Once its part is used up, it chooses another upstream.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::rank;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time in which the requests to a cold upstream are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest time between the choice of an upstream and the sending of the request; that of opening
/// a connection.
const SEND_TIME: Duration = Duration::from_millis(250);

/// What the upstreams of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdRules {
    /// How long an upstream is cold after its start.
    pub time: Duration,
    /// Requests per second of all hosts together.
    pub rate: f64,
}

impl ColdRules {
    /// The rate in whole requests, which are divided among the hosts.
    pub fn units(self) -> u32 {
        (self.rate as u32).max(1)
    }
}

/// Part of `units` that the host `own` has, of a quantity divided among `hosts` under the name
/// `key`. The parts of all hosts with the same list add up to `units`.
pub fn part<'a>(
    own: &str,
    hosts: impl Iterator<Item = &'a Arc<str>>,
    key: &str,
    units: u32,
) -> u32 {
    let own_rank = (rank(key, own), own);
    let (mut count, mut ahead) = (0, 0);
    for host in hosts {
        count += 1;
        ahead += u32::from((rank(key, host), host.as_ref()) > own_rank);
    }
    match count {
        0 => 0,
        count => units / count + u32::from(ahead < units % count),
    }
}

/// Until when upstreams are cold, by what is known of them.
#[derive(Debug, Default)]
pub struct ColdUpstreams(HashMap<Arc<str>, ColdUntil>);

#[derive(Clone, Copy, Debug, Default)]
struct ColdUntil {
    incarnation: u64,
    /// By its registration.
    entry: Option<Instant>,
    /// By one of its responses.
    response: Option<Instant>,
}

impl ColdUpstreams {
    /// Records the remaining time in an upstream's registration.
    pub fn record_entry(&mut self, now: Instant, id: &Arc<str>, incarnation: u64, left: Duration) {
        let until = self.until_mut(id, incarnation);
        until.entry = (!left.is_zero()).then(|| now + left);
    }

    /// Records the remaining time in an upstream's response; true if it was not known to be cold.
    pub fn record_response(
        &mut self,
        now: Instant,
        id: &Arc<str>,
        incarnation: u64,
        left: Duration,
    ) -> bool {
        let known = self.until(id, incarnation).is_some_and(|until| until > now);
        let until = self.until_mut(id, incarnation);
        until.response = (!left.is_zero()).then(|| now + left);
        !known && until.response.is_some()
    }

    /// Until when a run of an upstream is cold; none if it is not known to have been.
    pub fn until(&self, id: &str, incarnation: u64) -> Option<Instant> {
        let until = self.0.get(id).filter(|until| until.incarnation == incarnation)?;
        until.entry.max(until.response)
    }

    /// Forgets upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Arc<str>) -> bool) {
        self.0.retain(|id, _| keep(id));
    }

    fn until_mut(&mut self, id: &Arc<str>, incarnation: u64) -> &mut ColdUntil {
        let until = self.0.entry(id.clone()).or_default();
        if until.incarnation != incarnation {
            *until = ColdUntil { incarnation, ..ColdUntil::default() };
        }
        until
    }
}

/// This host's bound on the requests to one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Until when the upstream is cold; none if it is not.
    pub until: Option<Instant>,
    /// Requests per second that this host may send until then.
    pub part: u32,
}

/// Counts this host's requests to an upstream that may be or become cold.
#[derive(Debug, Default)]
pub struct ColdGate {
    /// None for a service whose upstreams bear any rate when they are cold.
    limit: Option<ColdLimit>,
    /// When requests were sent in the last [`WINDOW`].
    sent: VecDeque<Instant>,
}

impl ColdGate {
    /// Sets the bound.
    pub fn set(&mut self, limit: Option<ColdLimit>) {
        self.limit = limit;
        if limit.is_none() {
            self.sent = VecDeque::new();
        }
    }

    /// Whether a request may be sent beside `pending` others that have been chosen for the
    /// upstream and not been sent.
    pub fn admits(&self, now: Instant, pending: usize) -> bool {
        let part = self
            .limit
            .filter(|_| self.is_cold(now))
            .map_or(usize::MAX, |limit| usize::try_from(limit.part).unwrap_or(usize::MAX));
        let counted = self.sent.iter().filter(|at| is_counted(now, **at)).count();
        counted + pending < part
    }

    /// Whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.limit.and_then(|limit| limit.until).is_some_and(|until| until > now)
    }

    /// Records that a request is sent.
    pub fn record(&mut self, now: Instant) {
        if self.limit.is_some() {
            while self.sent.front().is_some_and(|at| !is_counted(now, *at)) {
                self.sent.pop_front();
            }
            self.sent.push_back(now);
        }
    }
}

fn is_counted(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < WINDOW + SEND_TIME
}
