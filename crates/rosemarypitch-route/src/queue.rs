//! Fair queueing by token cost.
//!
//! Implements start-time fair queueing. Each flow, a customer's requests of one priority,
//! has a virtual time that advances by cost divided by weight as its requests are served.
//! The flow with the smallest virtual time is served next, so a flow that exceeds its fair
//! share queues behind the others and delays only its own requests.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::attempt::AttemptId;

/// Key of a flow: the requests of one customer at one priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The customer.
    pub customer: Arc<str>,
    /// Priority that is sent to engines, where greater values go first.
    pub priority: u8,
}

/// Fair queue of waiting requests.
#[derive(Debug, Default)]
pub struct Queue {
    flows: BTreeMap<Flow, FlowQueue>,
    virtual_clock: f64,
    length: usize,
}

/// Waiting requests of one flow, oldest first, and the flow's virtual time.
#[derive(Debug, Default)]
struct FlowQueue {
    waiting: VecDeque<Entry>,
    virtual_time: f64,
}

/// A waiting request and the virtual time that it costs: tokens divided by weight.
#[derive(Debug)]
struct Entry {
    attempt: AttemptId,
    charge: f64,
}

impl Queue {
    /// Appends a request to its flow; `cost` is in tokens, and `weight` is above 0.
    pub fn push(&mut self, flow: Flow, attempt: AttemptId, cost: u64, weight: f64) {
        let queue = self.flows.entry(flow).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_clock);
        }
        queue.waiting.push_back(Entry { attempt, charge: cost as f64 / weight });
        self.length += 1;
    }

    /// Returns the request to be served next, with its flow.
    pub fn peek(&self) -> Option<(&Flow, &AttemptId)> {
        let heads = self.flows.iter().filter_map(|(flow, queue)| {
            let entry = queue.waiting.front()?;
            Some((queue.virtual_time, flow, &entry.attempt))
        });
        let (_, flow, attempt) = heads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((flow, attempt))
    }

    /// Iterates over the flows with waiting requests and the oldest request of each.
    pub fn heads(&self) -> impl Iterator<Item = (&Flow, &AttemptId)> {
        self.flows.iter().filter_map(|(flow, queue)| Some((flow, &queue.waiting.front()?.attempt)))
    }

    /// Removes the oldest request of a flow and charges the flow for it.
    pub fn serve(&mut self, flow: &Flow) -> Option<AttemptId> {
        let queue = self.flows.get_mut(flow)?;
        let entry = queue.waiting.pop_front()?;
        self.virtual_clock = self.virtual_clock.max(queue.virtual_time);
        queue.virtual_time += entry.charge;
        self.length -= 1;
        self.remove_idle();
        Some(entry.attempt)
    }

    /// Removes a request without charging its flow; returns whether it was queued.
    pub fn remove(&mut self, flow: &Flow, attempt: &AttemptId) -> bool {
        let Some(queue) = self.flows.get_mut(flow) else { return false };
        let before = queue.waiting.len();
        queue.waiting.retain(|entry| entry.attempt != *attempt);
        let removed = queue.waiting.len() < before;
        if removed {
            self.length -= 1;
            self.remove_idle();
        }
        removed
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Removes empty flows that are not ahead of the virtual clock.
    ///
    /// A flow that is added later starts at the clock, so the removal loses no state.
    fn remove_idle(&mut self) {
        let clock = self.virtual_clock;
        self.flows.retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_time > clock);
    }
}
