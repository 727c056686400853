//! Fair queueing by token cost.
//!
//! Start-time fair queueing: each flow (a customer's requests of one class) has a virtual
//! time that advances by cost over weight as its requests are served. The flow with the
//! smallest virtual time goes next, so a flow that sends more than its part waits behind
//! the others and delays only itself.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::attempt::AttemptId;

/// A customer's requests of one priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The customer.
    pub customer: Arc<str>,
    /// Priority sent to engines; greater goes first.
    pub priority: u8,
}

/// Waiting requests, by flow.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Flow, Lane>,
    virtual_now: f64,
    length: usize,
}

#[derive(Debug, Default)]
struct Lane {
    waiting: VecDeque<Item>,
    virtual_time: f64,
}

#[derive(Debug)]
struct Item {
    attempt: AttemptId,
    charge: f64,
}

impl Queue {
    /// Adds a request; `cost` is in tokens and `weight` above 0.
    pub fn push(&mut self, flow: Flow, attempt: AttemptId, cost: u64, weight: f64) {
        let lane = self.lanes.entry(flow).or_default();
        if lane.waiting.is_empty() {
            lane.virtual_time = lane.virtual_time.max(self.virtual_now);
        }
        lane.waiting.push_back(Item { attempt, charge: cost as f64 / weight });
        self.length += 1;
    }

    /// The request that may be served next, with its flow.
    pub fn peek(&self) -> Option<(&Flow, &AttemptId)> {
        let heads = self.lanes.iter().filter_map(|(flow, lane)| {
            let item = lane.waiting.front()?;
            Some((lane.virtual_time, flow, &item.attempt))
        });
        let (_, flow, attempt) = heads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((flow, attempt))
    }

    /// Flows with something waiting, and the oldest request of each.
    pub fn heads(&self) -> impl Iterator<Item = (&Flow, &AttemptId)> {
        self.lanes.iter().filter_map(|(flow, lane)| Some((flow, &lane.waiting.front()?.attempt)))
    }

    /// Takes a flow's head and charges the flow for it.
    pub fn serve(&mut self, flow: &Flow) -> Option<AttemptId> {
        let lane = self.lanes.get_mut(flow)?;
        let item = lane.waiting.pop_front()?;
        self.virtual_now = self.virtual_now.max(lane.virtual_time);
        lane.virtual_time += item.charge;
        self.length -= 1;
        self.drop_idle();
        Some(item.attempt)
    }

    /// Takes a request out without a charge.
    pub fn remove(&mut self, flow: &Flow, attempt: &AttemptId) -> bool {
        let Some(lane) = self.lanes.get_mut(flow) else { return false };
        let before = lane.waiting.len();
        lane.waiting.retain(|item| item.attempt != *attempt);
        let removed = lane.waiting.len() < before;
        if removed {
            self.length -= 1;
            self.drop_idle();
        }
        removed
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Flows that have caught up with the virtual clock need no memory.
    fn drop_idle(&mut self) {
        let now = self.virtual_now;
        self.lanes.retain(|_, lane| !lane.waiting.is_empty() || lane.virtual_time > now);
    }
}
