//! One engine of a pool: its streams and its health.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::time::Instant;

use super::pace::Progress;
use super::speed::{Prefill, Speed};
use super::{SentPrompts, SlotRequest, Ticket};
use crate::cold::ColdGate;
use crate::health::Health;
use crate::homes::RegionSet;
use crate::memory::{self, StreamUse};
use crate::registry::Upstream;

/// State of an engine, as far as this host has observed it or other hosts have reported it.
#[derive(Debug)]
pub struct Engine {
    /// Registration of the engine.
    pub upstream: Arc<Upstream>,
    /// Decode requests of this host.
    pub running: HashMap<Ticket, Running>,
    /// Streams of other hosts in the row.
    pub row_streams: Vec<StreamUse>,
    /// Streams of hosts in other rows.
    pub remote_streams: Vec<StreamUse>,
    /// Prompts that this host has sent and that are not prefilled yet, in order.
    pub prefills: Vec<(Ticket, Prefill)>,
    /// Prompts that other hosts of the row have sent.
    pub row_prompts: Vec<SentPrompts>,
    /// What this host has learned of its speed.
    pub speed: Speed,
    /// End of the pause after the engine refused a slot.
    pub full_until: Option<Instant>,
    /// End of the rest that the engine has asked for.
    pub rest_until: Option<Instant>,
    /// Recent outcomes of this host's requests.
    pub health: Health,
    /// Region of its data centre.
    pub region: RegionSet,
    /// Bound on this host's requests while it is cold.
    pub gate: ColdGate,
}

/// A decode request of this host that occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Prompt tokens.
    pub prompt: u64,
    /// Output so far.
    pub progress: Progress,
    /// Expected output tokens in total.
    pub expected: u64,
    /// Whether it has been sent to the engine.
    pub sent: bool,
}

impl Running {
    /// A request that has been assigned a slot.
    pub fn new(request: &SlotRequest) -> Self {
        let progress = Progress::default();
        Self { prompt: request.prompt, progress, expected: request.output, sent: false }
    }

    /// Current and expected memory of the stream.
    pub fn stream_use(&self) -> StreamUse {
        memory::stream_use(self.prompt, self.progress.generated, self.expected)
    }
}

impl Engine {
    /// Whether decode requests may be sent to the engine at all, regardless of room.
    pub fn is_open(&self, now: Instant) -> bool {
        self.upstream.is_decode()
            && !self.health.is_avoided(now)
            && self.full_until.is_none_or(|end| end <= now)
            && !self.is_resting(now)
    }

    /// Whether the engine has asked for a rest that lasts.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|end| end > now)
    }

    /// Whether a request of callers with these homes may be chosen for the engine now.
    pub fn admits(&self, now: Instant, regions: RegionSet) -> bool {
        if !regions.allows(self.region) || !self.gate.is_cold(now) {
            return regions.allows(self.region);
        }
        let pending = self.running.values().filter(|running| !running.sent).count();
        self.gate.admits(now, pending)
    }

    /// Whether this host has requests there.
    pub fn is_in_use(&self) -> bool {
        !self.running.is_empty() || !self.prefills.is_empty()
    }

    /// Prompt tokens that the hosts of the row have sent and that are not prefilled yet.
    ///
    /// A host that has not reported again may have nothing left there, so its prompts count less
    /// the longer its report is ago, by `speed` in tokens per millisecond.
    pub fn backlog(&self, now: Instant, speed: f64) -> u64 {
        let others = self.row_prompts.iter().map(|prompts| {
            let age = now.saturating_duration_since(prompts.reported).as_secs_f64() * 1_000.0;
            prompts.tokens.saturating_sub((age * speed) as u64)
        });
        self.own_backlog() + others.sum::<u64>()
    }

    /// Prompt tokens that this host has sent and that are not prefilled yet.
    ///
    /// The one that is being read counts in full. With only what is left of it, busy hosts would send
    /// more to fast engines than these can take, and all would wait longer.
    pub fn own_backlog(&self) -> u64 {
        self.prefills.iter().map(|(_, prefill)| prefill.prompt).sum()
    }

    /// Removes a prompt of this host; none if there is none of this request.
    pub fn finish_prefill(&mut self, ticket: Ticket) -> Option<Prefill> {
        let index = self.prefills.iter().position(|(other, _)| *other == ticket)?;
        Some(self.prefills.remove(index).1)
    }

    /// Slots occupied by all hosts.
    pub fn occupied_slots(&self) -> usize {
        self.running.len() + self.row_streams.len() + self.remote_streams.len()
    }

    /// Forecast peak memory of the engine's streams together with a new request, in tokens.
    pub fn peak(&self, request: &SlotRequest) -> u64 {
        let own = self.running.values().map(Running::stream_use);
        let others = self.row_streams.iter().chain(&self.remote_streams).copied();
        let new = memory::stream_use(request.prompt, 0, request.output);
        memory::peak(own.chain(others).chain([new]).collect())
    }
}
