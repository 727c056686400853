//! Placement of requests at decode engines: queueing at this host, and assignment of slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{Router, lock};
use crate::homes::RegionSet;
use crate::pool::{Decision, DecodeEnd, Estimate, Pool, SlotRequest, Ticket};
use crate::registry::Upstream;

/// Pools by service, and the requests that wait for their decisions.
#[derive(Default)]
pub(super) struct Pools {
    pub(super) pools: HashMap<Arc<str>, Pool>,
    pub(super) waiters: HashMap<Ticket, ReplySender>,
}

type ReplySender = oneshot::Sender<Result<Arc<Upstream>, Duration>>;

impl Router {
    /// Assigns a slot at a given engine without queueing; none if the engine has no room.
    pub fn place_at(
        &self,
        service: &str,
        engine: &Arc<str>,
        request: PlacementRequest,
    ) -> Option<Placement> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let request = request.with_ticket(ticket);
        let now = Instant::now();
        let place = |pool: &mut Pool| pool.place_at(now, engine, &request);
        let engine = self.with_pool(service, place).flatten()?;
        self.usage_change.notify_one();
        Some(Placement { ticket, engine })
    }

    /// Queues a request until it is assigned a slot at a decode engine.
    ///
    /// The error of a refused request is the delay after which to retry.
    pub async fn place(
        &self,
        service: &str,
        request: PlacementRequest,
    ) -> Result<Placement, Duration> {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        {
            let mut pools = lock(&self.pools);
            let Some(pool) = pools.pools.get_mut(service) else { return Err(Duration::ZERO) };
            let requeued = request.requeued;
            let waiting = request.with_ticket(ticket);
            if requeued {
                pool.requeue(waiting)
            } else {
                pool.push(Instant::now(), waiting)
            }
            pools.waiters.insert(ticket, reply);
        }
        let mut guard = QueueGuard { router: self, service, ticket, answer };
        self.dispatch(Instant::now());
        self.queued.notify_one();
        let engine = (&mut guard.answer).await.unwrap_or(Err(Duration::ZERO))?;
        Ok(Placement { ticket, engine })
    }

    /// Releases a request's slot at an engine.
    pub fn release(&self, service: &str, engine: &str, ticket: Ticket, end: DecodeEnd) {
        let now = Instant::now();
        self.with_pool(service, |pool| pool.release(now, engine, ticket, end));
        self.usage_change.notify_one();
        self.dispatch(now);
    }

    /// Places and refuses queued requests in all pools, and delivers the decisions to the
    /// waiting requests.
    pub fn dispatch(&self, now: Instant) {
        let mut pools = lock(&self.pools);
        let Pools { pools, waiters } = &mut *pools;
        for pool in pools.values_mut() {
            // If a caller has disconnected in the meantime, its slot goes to the next request.
            loop {
                let mut undelivered = false;
                let decisions = pool.decide(now);
                if decisions.iter().any(|decision| matches!(decision, Decision::Place(..))) {
                    self.usage_change.notify_one();
                }
                for decision in decisions {
                    undelivered |= !deliver(now, pool, waiters, decision);
                }
                if !undelivered {
                    break;
                }
            }
        }
    }

    /// Signals a change of usage that has to be pushed to the other hosts.
    pub fn notify_usage(&self) {
        self.usage_change.notify_one();
    }

    /// Waits for a signalled change of usage.
    pub async fn usage_changed(&self) {
        self.usage_change.notified().await;
    }

    /// Dispatches periodically while requests are queued.
    pub async fn run_dispatch(&self) {
        /// Short against the 50 ms between two events of a stream.
        const POLL_INTERVAL: Duration = Duration::from_millis(15);
        loop {
            self.queued.notified().await;
            while lock(&self.pools).pools.values().any(Pool::is_waiting) {
                tokio::time::sleep(POLL_INTERVAL).await;
                self.dispatch(Instant::now());
            }
        }
    }

    fn cancel(&self, service: &str, ticket: Ticket) {
        let mut pools = lock(&self.pools);
        pools.waiters.remove(&ticket);
        if let Some(pool) = pools.pools.get_mut(service) {
            pool.cancel(ticket);
        }
    }
}

/// A request to be placed at a decode engine.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Prompt tokens.
    pub prompt: u64,
    /// Estimated output and time in the slot.
    pub estimate: Estimate,
    /// Output tokens for which a host that stops must have time.
    pub required: u64,
    /// Whether this is a retry after a refusal.
    pub retried: bool,
    /// Regions in which it may be served.
    pub regions: RegionSet,
    /// Target for the first event to reach the caller.
    pub due: Instant,
    /// When the caller times out without a first event.
    pub expires: Instant,
    /// Whether the request had a slot before and has lost it.
    pub requeued: bool,
    /// Whether a caller takes its stream up, and loses it if it does not go on.
    pub begun: bool,
    /// Software version of the engines that can serve it; none if all can.
    pub version: Option<Arc<str>>,
}

impl PlacementRequest {
    fn with_ticket(self, ticket: Ticket) -> SlotRequest {
        let Self {
            prompt, estimate, required, retried, regions, due, expires, begun, version, ..
        } = self;
        let Estimate { output, cost } = estimate;
        SlotRequest {
            ticket,
            prompt,
            output,
            required,
            cost,
            retried,
            regions,
            due,
            expires,
            begun,
            version,
        }
    }
}

/// The slot assigned to a request at a decode engine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Identifies the request in its pool.
    pub ticket: Ticket,
    /// The engine.
    pub engine: Arc<Upstream>,
}

/// Removes a request from its queue on drop, and releases a slot that was assigned but not
/// received.
struct QueueGuard<'a> {
    router: &'a Router,
    service: &'a str,
    ticket: Ticket,
    answer: oneshot::Receiver<Result<Arc<Upstream>, Duration>>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.router.cancel(self.service, self.ticket);
        // The channel is empty if the slot was received, and the request then keeps it.
        if let Ok(Ok(engine)) = self.answer.try_recv() {
            self.router.release(self.service, &engine.id, self.ticket, DecodeEnd::Cancelled);
        }
    }
}

/// Delivers a decision to its request; false if a slot was assigned to a request that no
/// longer waits.
fn deliver(
    now: Instant,
    pool: &mut Pool,
    waiters: &mut HashMap<Ticket, ReplySender>,
    decision: Decision,
) -> bool {
    match decision {
        Decision::Place(ticket, engine) => {
            let id = engine.id.clone();
            let sent = waiters.remove(&ticket).is_some_and(|reply| reply.send(Ok(engine)).is_ok());
            if !sent {
                pool.release(now, &id, ticket, DecodeEnd::Cancelled);
            }
            sent
        }
        Decision::Refuse(ticket, retry) => {
            if let Some(reply) = waiters.remove(&ticket) {
                // The send fails if the caller has disconnected, which needs no answer.
                let _ = reply.send(Err(retry));
            }
            true
        }
    }
}
