//! Carries out what a request leaves to do when it ends: cancels, notes and refunds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_peer::{Ask, Link, Note, PoolKey};
use rosemarypitch_route::AttemptId;
use rosemarypitch_upstream::{EngineAddress, Engines, ErrorKind};
use tokio::runtime;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::limits::{GrantedDebit, Limits};
use crate::metrics::Metrics;
use crate::pools::Pools;

/// Time for which an unanswered cancel is repeated.
const CANCEL_TIME: Duration = Duration::from_secs(60);
/// First pause between tries of a cancel; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between tries of a cancel.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Longest wait for a peer to take note.
const NOTE_TIME: Duration = Duration::from_secs(1);

/// Carries out what requests leave to do, in the background.
#[derive(Clone)]
pub struct Reaper {
    engines: Arc<dyn Engines>,
    link: Arc<dyn Link>,
    metrics: Arc<Metrics>,
    pending: watch::Sender<usize>,
    runtime: runtime::Handle,
}

impl Reaper {
    /// A reaper without work, on the present runtime.
    pub fn new(engines: Arc<dyn Engines>, link: Arc<dyn Link>, metrics: Arc<Metrics>) -> Self {
        let runtime = runtime::Handle::current();
        Self { engines, link, metrics, pending: watch::Sender::new(0), runtime }
    }

    /// Cancels an attempt on an engine, again until the engine acknowledges.
    pub fn cancel(&self, engine: EngineAddress, attempt: AttemptId) {
        let reaper = self.clone();
        self.spawn(async move { reaper.cancel_until_done(engine, attempt).await });
    }

    /// Tells a pool's owner what became of attempts; no address means this host.
    pub fn tell(&self, pools: &Pools, owner: Option<SocketAddr>, pool: PoolKey, notes: Vec<Note>) {
        let (pools, link) = (pools.clone(), self.link.clone());
        self.spawn(async move {
            let Some(owner) = owner else { return pools.apply_notes(pool, notes).await };
            let ask = Ask::Notes(pool, notes);
            if let Err(error) = link.call_idempotent(owner, &ask, NOTE_TIME).await {
                log::debug!("reaper: {error}");
            }
        });
    }

    /// Gives back the unused part of a debit.
    pub fn refund(&self, limits: &Limits, ticket: GrantedDebit, unused: u64) {
        let limits = limits.clone();
        self.spawn(async move { limits.refund(ticket, unused).await });
    }

    /// Waits until nothing is left to do.
    pub async fn drained(&self) {
        let mut pending = self.pending.subscribe();
        // The sender lives as long as this reaper, so the wait cannot fail.
        let _ = pending.wait_for(|count| *count == 0).await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.pending.send_modify(|count| *count += 1);
        let pending = self.pending.clone();
        self.runtime.spawn(async move {
            work.await;
            pending.send_modify(|count| *count -= 1);
        });
    }

    async fn cancel_until_done(&self, engine: EngineAddress, attempt: AttemptId) {
        let deadline = Instant::now() + CANCEL_TIME;
        let mut pause = FIRST_PAUSE;
        self.metrics.cancels.inc();
        loop {
            match self.engines.cancel(&engine, &attempt).await {
                Ok(()) => break,
                Err(error) if error.kind == ErrorKind::NotHeld => break,
                Err(error) if Instant::now() + pause >= deadline => {
                    log::error!("reaper: cancel of {attempt} given up: {error}");
                    break;
                }
                Err(error) => log::debug!("reaper: cancel of {attempt}: {error}"),
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        self.metrics.cancels.dec();
    }
}
