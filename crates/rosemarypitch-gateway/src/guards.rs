//! Guards that release an attempt's resources when dropped, on every exit path.

use std::net::SocketAddr;
use std::sync::Arc;

use rosemarypitch_peer::{PoolEvent, PoolKey};
use rosemarypitch_route::AttemptId;
use rosemarypitch_upstream::Endpoint;

use crate::host::Host;
use crate::limits::GrantedDebit;

/// Guard of one attempt.
///
/// Dropping it cancels the attempt on its tracked engines, reports its end to the pool's
/// owner and removes it from the host's running attempts.
pub struct AttemptGuard {
    host: Arc<Host>,
    attempt: AttemptId,
    pool: PoolKey,
    owner: Option<SocketAddr>,
    engines: Vec<Endpoint>,
}

impl AttemptGuard {
    /// Registers an attempt to be placed by `owner`; `None` means this host.
    pub fn new(
        host: Arc<Host>,
        attempt: AttemptId,
        pool: PoolKey,
        owner: Option<SocketAddr>,
    ) -> Self {
        host.running.insert(attempt.clone(), pool.clone());
        Self { host, attempt, pool, owner, engines: Vec::new() }
    }

    /// Returns the attempt's identifier.
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// Returns the pool owner's address; `None` means this host.
    pub fn owner(&self) -> Option<SocketAddr> {
        self.owner
    }

    /// Marks an engine as possibly holding work or memory of the attempt.
    pub fn track_engine(&mut self, engine: &Endpoint) {
        if !self.engines.contains(engine) {
            self.engines.push(engine.clone());
        }
    }

    /// Unmarks an engine that no longer holds anything of the attempt.
    pub fn untrack_engine(&mut self, engine: &Endpoint) {
        self.engines.retain(|tracked| tracked != engine);
    }

    /// Reports events of the attempt to the pool's owner.
    pub fn notify_owner(&self, events: Vec<PoolEvent>) {
        self.host.cleanup.notify_owner(&self.host.pools, self.owner, self.pool.clone(), events);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        for engine in self.engines.drain(..) {
            self.host.cleanup.cancel(engine, self.attempt.clone());
        }
        self.notify_owner(vec![PoolEvent::Finished(self.attempt.clone())]);
        self.host.running.remove(&self.attempt);
    }
}

/// Guard of a granted debit; dropping it refunds the unused tokens.
pub struct DebitGuard {
    host: Arc<Host>,
    debit: Option<GrantedDebit>,
    used: u64,
}

impl DebitGuard {
    /// Wraps a granted debit of which nothing has been used.
    pub fn new(host: Arc<Host>, debit: GrantedDebit) -> Self {
        Self { host, debit: Some(debit), used: 0 }
    }

    /// Sets the number of tokens used so far.
    pub fn set_used(&mut self, used: u64) {
        self.used = used;
    }
}

impl Drop for DebitGuard {
    fn drop(&mut self) {
        let Some(debit) = self.debit.take() else { return };
        let unused = debit.amount.saturating_sub(self.used);
        if unused > 0 {
            self.host.cleanup.refund(&self.host.limits, debit, unused);
        }
    }
}
