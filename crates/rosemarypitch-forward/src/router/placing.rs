//! Requests that wait for a decode engine at this host, and those that have one.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{Router, lock};
use crate::pool::{Decision, DecodeEnd, Estimate, Pool, SlotRequest, Ticket};
use crate::registry::Upstream;

/// Pools by service, and who waits for their decisions.
#[derive(Default)]
pub(super) struct Pools {
    pub(super) pools: HashMap<Arc<str>, Pool>,
    pub(super) waiters: HashMap<Ticket, Reply>,
}

type Reply = oneshot::Sender<Result<Arc<Upstream>, Duration>>;

impl Router {
    /// A place at an engine of the request's choice, if there is room now.
    pub fn place_at(&self, service: &str, engine: &Arc<str>, ask: PlaceAsk) -> Option<Placed> {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let ask = ask.queued(ticket);
        let now = Instant::now();
        let place = |pool: &mut Pool| pool.place_at(now, engine, &ask);
        let engine = self.with_pool(service, place).flatten()?;
        self.used.notify_one();
        Some(Placed { ticket, engine })
    }

    /// Waits for a decode engine; an error tells when to come back.
    pub async fn place(&self, service: &str, ask: PlaceAsk) -> Result<Placed, Duration> {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        {
            let mut pools = lock(&self.pools);
            let Some(pool) = pools.pools.get_mut(service) else { return Err(Duration::ZERO) };
            let waiting = ask.queued(ticket);
            if ask.again {
                pool.requeue(waiting)
            } else {
                pool.push(Instant::now(), waiting)
            }
            pools.waiters.insert(ticket, reply);
        }
        let mut queued = Queued { router: self, service, ticket, answer };
        self.decide(Instant::now());
        self.queued.notify_one();
        let engine = (&mut queued.answer).await.unwrap_or(Err(Duration::ZERO))?;
        Ok(Placed { ticket, engine })
    }

    /// Frees what a request held at an engine.
    pub fn release(&self, service: &str, engine: &str, ticket: Ticket, end: DecodeEnd) {
        let now = Instant::now();
        self.with_pool(service, |pool| pool.release(now, engine, ticket, end));
        self.used.notify_one();
        self.decide(now);
    }

    /// Tells waiting requests what has been decided.
    pub fn decide(&self, now: Instant) {
        let mut pools = lock(&self.pools);
        let Pools { pools, waiters } = &mut *pools;
        for pool in pools.values_mut() {
            // A caller may have left in the meantime; its place goes to the next.
            loop {
                let mut unclaimed = false;
                let decisions = pool.decide(now);
                if decisions.iter().any(|decision| matches!(decision, Decision::Place(..))) {
                    self.used.notify_one();
                }
                for decision in decisions {
                    unclaimed |= !deliver(now, pool, waiters, decision);
                }
                if !unclaimed {
                    break;
                }
            }
        }
    }

    /// Has the other hosts told soon of what has changed here.
    pub fn tell_soon(&self) {
        self.used.notify_one();
    }

    /// Waits until the other hosts have to be told of a change.
    pub async fn changed(&self) {
        self.used.notified().await;
    }

    /// Decides again and again while requests wait.
    pub async fn keep_deciding(&self) {
        /// Time between two looks at the queues; short against an event of 50 ms.
        const LOOK: Duration = Duration::from_millis(15);
        loop {
            self.queued.notified().await;
            while lock(&self.pools).pools.values().any(Pool::is_waiting) {
                tokio::time::sleep(LOOK).await;
                self.decide(Instant::now());
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

/// What a request needs at a decode engine.
#[derive(Clone, Copy, Debug)]
pub struct PlaceAsk {
    /// Prompt tokens.
    pub prompt: u64,
    /// What else it is likely to need.
    pub likely: Estimate,
    /// Whether the caller has come back after a refusal.
    pub returned: bool,
    /// When the first event should reach the caller.
    pub due: Instant,
    /// When the caller gives up, if nothing has come.
    pub patience: Instant,
    /// Whether it had a place before.
    pub again: bool,
}

impl PlaceAsk {
    fn queued(self, ticket: Ticket) -> SlotRequest {
        let Self { prompt, likely, returned, due, patience, again: _ } = self;
        let Estimate { output, cost } = likely;
        SlotRequest { ticket, prompt, output, cost, retried: returned, due, expires: patience }
    }
}

/// A place at a decode engine.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Names the request in its pool.
    pub ticket: Ticket,
    /// The engine.
    pub engine: Arc<Upstream>,
}

/// A request in a queue; a caller that leaves gives its place back.
struct Queued<'a> {
    router: &'a Router,
    service: &'a str,
    ticket: Ticket,
    answer: oneshot::Receiver<Result<Arc<Upstream>, Duration>>,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.router.cancel(self.service, self.ticket);
        // A place that was given but not taken; nothing is left of one that was taken.
        if let Ok(Ok(engine)) = self.answer.try_recv() {
            self.router.release(self.service, &engine.id, self.ticket, DecodeEnd::Cancelled);
        }
    }
}

/// Gives a decision to the request that waits for it; false if it waits no more.
fn deliver(
    now: Instant,
    pool: &mut Pool,
    waiters: &mut HashMap<Ticket, Reply>,
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
                // A caller that has left needs no answer.
                let _ = reply.send(Err(retry));
            }
            true
        }
    }
}
