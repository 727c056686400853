//! One engine of a pool, as this host knows it.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::time::Instant;

use super::{SlotRequest, Ticket};
use crate::health::Health;
use crate::memory::{self, StreamUse};
use crate::registry::{Stage, Upstream};

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its entry.
    pub upstream: Arc<Upstream>,
    /// Requests of this host.
    pub own: HashMap<Ticket, Running>,
    /// Streams of other hosts of the row.
    pub near: Vec<StreamUse>,
    /// Streams of hosts of other rows.
    pub far: Vec<StreamUse>,
    /// Prompt tokens that this host waits for.
    pub reading: u64,
    /// Until when it is not asked for a slot.
    pub full: Option<Instant>,
    /// What became of requests.
    pub health: Health,
}

/// A request of this host at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Prompt tokens.
    pub prompt: u64,
    /// Output that it has made, in tokens.
    pub made: u64,
    /// Output that it is expected to make, in tokens.
    pub expected: u64,
}

impl Running {
    /// Memory of the stream.
    pub fn memory(&self) -> StreamUse {
        memory::stream_use(self.prompt, self.made, self.expected)
    }
}

impl Engine {
    /// Whether it makes tokens; one that names no stage does everything.
    pub fn is_decode(&self) -> bool {
        self.upstream.stage != Some(Stage::Prefill)
    }

    /// Whether the engine may be given a request at all.
    pub fn is_open(&self, now: Instant) -> bool {
        self.is_decode() && !self.health.is_avoided(now) && self.full.is_none_or(|end| end <= now)
    }

    /// Streams of all hosts.
    pub fn slots(&self) -> usize {
        self.own.len() + self.near.len() + self.far.len()
    }

    /// The most memory that the engine's streams will hold together with one more.
    pub fn peak(&self, ask: &SlotRequest) -> u64 {
        let own = self.own.values().map(Running::memory);
        let foreign = self.near.iter().chain(&self.far).copied();
        let new = memory::stream_use(ask.prompt, 0, ask.output);
        memory::peak(own.chain(foreign).chain([new]).collect())
    }
}
