//! Upstreams that have asked for rest.
//!
//! An upstream that turns a request away may say for how long it wants nothing more. Until then
//! this host sends it no request, no prompt, no command and no probe, whichever service or request
//! they are for. Other hosts are not concerned.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::registry::Upstream;

/// Longest rest. A faulty upstream may ask for years; it is tried again after this time.
pub const MAX_REST: Duration = Duration::from_secs(10 * 60);

/// Until when upstreams rest, by identifier.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    ends: HashMap<Arc<str>, Rest>,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    /// Run of the upstream that has asked.
    incarnation: u64,
    end: Instant,
}

impl Rests {
    /// Records that an upstream has asked for a rest from now on; returns its end if that is later
    /// than what was known.
    ///
    /// Of several answers the latest end counts: they may arrive in another order than they were
    /// sent in.
    pub fn record(&mut self, now: Instant, upstream: &Upstream, time: Duration) -> Option<Instant> {
        self.ends.retain(|_, rest| rest.end > now);
        let end = now + time.min(MAX_REST);
        if end <= now || self.end(now, upstream).is_some_and(|known| known >= end) {
            return None;
        }
        let rest = Rest { incarnation: upstream.incarnation, end };
        self.ends.insert(upstream.id.clone(), rest);
        Some(end)
    }

    /// Until when an upstream rests; none if it does not. A later run of it has not asked.
    pub fn end(&self, now: Instant, upstream: &Upstream) -> Option<Instant> {
        let rest = self.ends.get(&upstream.id)?;
        (rest.incarnation == upstream.incarnation && rest.end > now).then_some(rest.end)
    }

    /// Calls `f` for each upstream of a list that rests, with the end of its rest.
    pub fn each(
        &self,
        now: Instant,
        list: &[Arc<Upstream>],
        mut f: impl FnMut(&Upstream, Instant),
    ) {
        if self.ends.is_empty() {
            return;
        }
        for upstream in list {
            if let Some(end) = self.end(now, upstream) {
                f(upstream, end);
            }
        }
    }
}
