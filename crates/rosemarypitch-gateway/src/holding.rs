//! What an attempt holds, released on every way out.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemarypitch_peer::{Note, PoolKey};
use rosemarypitch_route::AttemptId;
use rosemarypitch_upstream::EngineAddress;

use crate::host::Host;
use crate::limits::GrantedDebit;

/// An attempt's entry, places and engine memory; dropping it gives up all of them.
pub struct Holding {
    host: Arc<Host>,
    attempt: AttemptId,
    pool: PoolKey,
    owner: Option<SocketAddr>,
    engines: Vec<EngineAddress>,
}

impl Holding {
    /// Starts an attempt that asks `owner` for a place; none means this host.
    pub fn new(
        host: Arc<Host>,
        attempt: AttemptId,
        pool: PoolKey,
        owner: Option<SocketAddr>,
    ) -> Self {
        host.running.insert(attempt.clone(), pool.clone());
        Self { host, attempt, pool, owner, engines: Vec::new() }
    }

    /// The attempt.
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// The pool's owner that was asked; none means this host.
    pub fn owner(&self) -> Option<SocketAddr> {
        self.owner
    }

    /// Notes that an engine may hold something for the attempt from now on.
    pub fn touch(&mut self, engine: &EngineAddress) {
        if !self.engines.contains(engine) {
            self.engines.push(engine.clone());
        }
    }

    /// Notes that an engine surely holds nothing for the attempt any more.
    pub fn clear(&mut self, engine: &EngineAddress) {
        self.engines.retain(|held| held != engine);
    }

    /// Tells the pool's owner something about the attempt.
    pub fn tell(&self, notes: Vec<Note>) {
        self.host.reaper.tell(&self.host.pools, self.owner, self.pool.clone(), notes);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        for engine in self.engines.drain(..) {
            self.host.reaper.cancel(engine, self.attempt.clone());
        }
        self.tell(vec![Note::Finished(self.attempt.clone())]);
        self.host.running.remove(&self.attempt);
    }
}

/// A debit, given back on every way out but for what was used.
pub struct Debited {
    host: Arc<Host>,
    ticket: Option<GrantedDebit>,
    used: u64,
}

impl Debited {
    /// Keeps a granted debit.
    pub fn new(host: Arc<Host>, ticket: GrantedDebit) -> Self {
        Self { host, ticket: Some(ticket), used: 0 }
    }

    /// Sets how many of the tokens were used so far.
    pub fn set_used(&mut self, used: u64) {
        self.used = used;
    }
}

impl Drop for Debited {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let unused = ticket.amount.saturating_sub(self.used);
        if unused > 0 {
            self.host.reaper.refund(&self.host.limits, ticket, unused);
        }
    }
}
