//! Runs the cleanup of finished requests in the background: cancellations, reports to pool
//! owners and refunds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::{PeerRequest, PeerTransport, PoolEvent, PoolKey};
use rosemarypitch_route::AttemptId;
use rosemarypitch_upstream::{Endpoint, EngineClient, ErrorKind};
use tokio::runtime;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::limits::{GrantedDebit, Limits};
use crate::metrics::Metrics;
use crate::pools::Pools;

/// How long an unacknowledged cancellation is retried.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(60);
/// Initial delay between attempts to cancel; doubles after each.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay between attempts to cancel.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Timeout for reporting events to a pool's owner.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Spawns cleanup tasks and counts those still running.
#[derive(Clone)]
pub struct Cleanup {
    engines: Arc<dyn EngineClient>,
    transport: Arc<dyn PeerTransport>,
    metrics: Arc<Metrics>,
    pending: watch::Sender<usize>,
    runtime: runtime::Handle,
}

impl Cleanup {
    /// Creates an instance without tasks that spawns on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn new(
        engines: Arc<dyn EngineClient>,
        transport: Arc<dyn PeerTransport>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let runtime = runtime::Handle::current();
        Self { engines, transport, metrics, pending: watch::Sender::new(0), runtime }
    }

    /// Cancels an attempt on an engine, retrying until the engine acknowledges.
    pub fn cancel(&self, engine: Endpoint, attempt: AttemptId) {
        let cleanup = self.clone();
        self.spawn(async move { cleanup.cancel_with_retries(engine, attempt).await });
    }

    /// Reports events of a pool to its owner; `None` means this host.
    ///
    /// Events that do not reach the owner are lost.
    pub fn notify_owner(
        &self,
        pools: &Pools,
        owner: Option<SocketAddr>,
        pool: PoolKey,
        events: Vec<PoolEvent>,
    ) {
        let (pools, transport) = (pools.clone(), self.transport.clone());
        self.spawn(async move {
            let Some(owner) = owner else { return pools.apply_pool_events(pool, events).await };
            let request = PeerRequest::PoolEvents(pool, events);
            if let Err(error) = transport.call_idempotent(owner, &request, NOTIFY_TIMEOUT).await {
                log::debug!("reaper: {error}");
            }
        });
    }

    /// Refunds the unused part of a debit.
    pub fn refund(&self, limits: &Limits, debit: GrantedDebit, unused: u64) {
        let limits = limits.clone();
        self.spawn(async move { limits.refund(debit, unused).await });
    }

    /// Waits until no cleanup task is running.
    pub async fn drained(&self) {
        let mut pending = self.pending.subscribe();
        // Waiting fails only when the sender is dropped, and `self` owns a sender.
        let _ = pending.wait_for(|count| *count == 0).await;
    }

    /// Spawns a task that counts as pending until it ends.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.pending.send_modify(|count| *count += 1);
        let pending = self.pending.clone();
        self.runtime.spawn(async move {
            task.await;
            pending.send_modify(|count| *count -= 1);
        });
    }

    async fn cancel_with_retries(&self, engine: Endpoint, attempt: AttemptId) {
        let deadline = Instant::now() + CANCEL_TIMEOUT;
        let mut backoff = INITIAL_BACKOFF;
        self.metrics.pending_cancels.inc();
        loop {
            match self.engines.cancel(&engine, &attempt).await {
                Ok(()) => break,
                Err(error) if error.kind == ErrorKind::NotHeld => break,
                Err(error) if Instant::now() + backoff >= deadline => {
                    log::error!("reaper: gave up cancelling {attempt}: {error}");
                    break;
                }
                Err(error) => log::debug!("reaper: cancelling {attempt} failed: {error}"),
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        self.metrics.pending_cancels.dec();
    }
}
