//! Queueing, refusing and placing of model requests.
//!
//! The load that this answers: bursts of about twice the usual, of streams that each hold
//! a decode slot and memory for prompt and output for seconds. Memory and slots bind, not
//! the reading of prompts. So a request waits here, before it holds anything, until a
//! decode engine has room; what cannot begin in time yields to what can, and what cannot
//! begin at all is refused at once, with a time at which there should be room.
//!
//! An engine's room is what its size leaves after this host's requests and those that
//! other hosts tell of. The engine itself has the last word: a slot that it does not
//! reserve blocks it here for a moment.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::health::{Health, Outcome};
use crate::roster::{Stage, Upstream};
use crate::site::EngineSize;

/// Time for which an engine that refused a slot is not asked again; about one event.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Time that a request holds a slot, until some have been seen to end.
const FIRST_STAY: Duration = Duration::from_millis(3_000);
/// Weight of the newest stay in the mean.
const STAY_WEIGHT: f64 = 0.05;
/// Prompt tokens that an engine reads in a millisecond, until some have been read.
const FIRST_SPEED: f64 = 40.0;
/// Weight of the newest prompt in the mean speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Part of a late request's time to its first event that it may wait in the queue.
const LATE_WAIT: f64 = 0.7;
/// Busy part that is accepted to stay in the data centre; a stream crosses once or twice.
const CROSSING_COST: f64 = 0.08;
/// Weight of an engine's failure rate against its busy part.
const FAILURE_COST: f64 = 2.0;
/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY: Duration = Duration::from_millis(400);

/// Names a waiting request.
pub type Ticket = u64;

/// A request for a decode slot.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Name of the request.
    pub ticket: Ticket,
    /// Memory that it needs, in tokens.
    pub need: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// When its first event should reach the caller.
    pub due: Instant,
    /// When the caller gives up, if nothing has come.
    pub patience: Instant,
}

/// Something that became of a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It has a place at this engine.
    Place(Ticket, Arc<Upstream>),
    /// There will be no room in time; a caller may come back after this time.
    Refuse(Ticket, Duration),
}

/// Engines of one service, and the requests that wait for them at this host.
#[derive(Debug)]
pub struct Pool {
    size: EngineSize,
    zone: Arc<str>,
    engines: HashMap<Arc<str>, Engine>,
    /// Requests whose first event can still be in time, oldest first.
    timely: VecDeque<Ask>,
    /// The others.
    late: VecDeque<Ask>,
    stay: Duration,
    speed: f64,
    hosts: usize,
}

#[derive(Debug)]
struct Engine {
    upstream: Arc<Upstream>,
    own: Use,
    foreign: Use,
    /// Prompt tokens that this host waits for.
    reading: u64,
    full: Option<Instant>,
    health: Health,
}

/// Slots and memory in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Slots.
    pub slots: u32,
    /// Memory, in tokens.
    pub tokens: u64,
}

impl Pool {
    /// A pool without engines, for a host in `zone`.
    pub fn new(size: EngineSize, zone: Arc<str>) -> Self {
        Self {
            size,
            zone,
            engines: HashMap::new(),
            timely: VecDeque::new(),
            late: VecDeque::new(),
            stay: FIRST_STAY,
            speed: FIRST_SPEED,
            hosts: 1,
        }
    }

    /// Takes the usable engines, their size and the number of hosts that use them.
    pub fn replace(&mut self, list: &[Arc<Upstream>], size: EngineSize, hosts: usize) {
        self.size = size;
        self.hosts = hosts.max(1);
        let mut old = std::mem::take(&mut self.engines);
        for upstream in list {
            let engine = match old.remove(&upstream.id) {
                Some(engine) if engine.upstream.born == upstream.born => {
                    Engine { upstream: upstream.clone(), ..engine }
                }
                _ => Engine {
                    upstream: upstream.clone(),
                    own: Use::default(),
                    foreign: Use::default(),
                    reading: 0,
                    full: None,
                    health: Health::default(),
                },
            };
            self.engines.insert(upstream.id.clone(), engine);
        }
    }

    /// Takes what the other hosts together use.
    pub fn set_foreign(&mut self, uses: &HashMap<Arc<str>, Use>) {
        for (id, engine) in &mut self.engines {
            engine.foreign = uses.get(id).copied().unwrap_or_default();
        }
    }

    /// What this host uses.
    pub fn own(&self) -> impl Iterator<Item = (&Arc<str>, Use)> {
        let used = self.engines.iter().map(|(id, engine)| (id, engine.own));
        used.filter(|(_, own)| own.slots > 0)
    }

    /// Queues a request; [`Self::decide`] tells what becomes of it.
    pub fn push(&mut self, ask: Ask) {
        self.timely.push_back(ask);
    }

    /// Puts a request back whose engine had no room after all.
    pub fn push_front(&mut self, ask: Ask) {
        self.timely.push_front(ask);
    }

    /// Forgets a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.timely.retain(|ask| ask.ticket != ticket);
        self.late.retain(|ask| ask.ticket != ticket);
    }

    /// Whether requests wait.
    pub fn is_waiting(&self) -> bool {
        !self.timely.is_empty() || !self.late.is_empty()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Places and refuses what can be decided now.
    pub fn decide(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.demote(now);
        self.place(now, &mut decisions);
        self.refuse(now, &mut decisions);
        decisions
    }

    /// Moves requests that cannot begin in time to the late ones.
    fn demote(&mut self, now: Instant) {
        let speed = self.speed;
        let late = |ask: &mut Ask| now + reading_time(ask.prompt, speed) > ask.due;
        let moved: Vec<Ask> = extract(&mut self.timely, late);
        self.late.extend(moved);
    }

    fn place(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        // First come, first served, whatever the size: to pass over a large request would
        // keep it waiting for as long as small ones come.
        while let Some(ask) = self.timely.front().or(self.late.front()).copied() {
            let Some(id) = self.best_decode(now, ask.need) else { return };
            let Some(engine) = self.engines.get_mut(&id) else { return };
            engine.own.slots += 1;
            engine.own.tokens += ask.need;
            decisions.push(Decision::Place(ask.ticket, engine.upstream.clone()));
            if self.timely.pop_front().is_none() {
                self.late.pop_front();
            }
        }
    }

    fn refuse(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let mut ahead = 0;
        let waits: Vec<(Ticket, Duration, bool)> = {
            let all = self.timely.iter().chain(&self.late);
            all.map(|ask| {
                ahead += ask.need;
                let wait = self.wait(ahead);
                let left = ask.patience.saturating_duration_since(now).mul_f64(LATE_WAIT);
                (ask.ticket, wait, wait > left)
            })
            .collect()
        };
        for (ticket, wait, _) in waits.into_iter().filter(|(_, _, hopeless)| *hopeless) {
            self.cancel(ticket);
            decisions.push(Decision::Refuse(ticket, wait.max(MIN_RETRY)));
        }
    }

    /// Time until this host's requests that need `tokens` together have places.
    fn wait(&self, tokens: u64) -> Duration {
        let engines = self.engines.values();
        let decode = engines.filter(|engine| engine.upstream.stage == Some(Stage::Decode)).count();
        let memory = decode as f64 * self.size.tokens as f64 / self.hosts as f64;
        if memory < 1.0 {
            return self.stay;
        }
        self.stay.mul_f64(tokens as f64 / memory)
    }

    fn best_decode(&self, now: Instant, need: u64) -> Option<Arc<str>> {
        let engines = self.engines.iter();
        let fitting = engines.filter(|(_, engine)| engine.fits(now, need, self.size));
        let costs = fitting.map(|(id, engine)| (self.decode_cost(now, engine), id));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id.clone())
    }

    fn decode_cost(&self, now: Instant, engine: &Engine) -> f64 {
        let used = (engine.own.tokens + engine.foreign.tokens) as f64;
        let busy = used / self.size.tokens.max(1) as f64;
        busy + self.crossing(engine) + FAILURE_COST * engine.health.failure_rate(now)
    }

    fn crossing(&self, engine: &Engine) -> f64 {
        if engine.upstream.zone == self.zone { 0.0 } else { CROSSING_COST }
    }

    /// The engine that should have read a prompt first; counts the prompt to it.
    pub fn start_prefill(
        &mut self,
        now: Instant,
        prompt: u64,
        tried: &[Arc<str>],
    ) -> Option<Arc<Upstream>> {
        let engines = self.engines.iter().filter(|(id, engine)| {
            engine.upstream.stage == Some(Stage::Prefill)
                && !engine.health.is_avoided(now)
                && !tried.contains(id)
        });
        let costs = engines.map(|(id, engine)| {
            // Counted in prompts of this size.
            let backlog = engine.reading as f64 / prompt.max(1) as f64;
            let failing = FAILURE_COST * engine.health.failure_rate(now);
            (backlog + failing + self.crossing(engine), id.clone())
        });
        let (_, id) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let engine = self.engines.get_mut(&id)?;
        engine.reading += prompt;
        Some(engine.upstream.clone())
    }

    /// Takes the end of a prefill.
    pub fn finish_prefill(&mut self, now: Instant, id: &str, prompt: u64, end: PrefillEnd) {
        if let PrefillEnd::Read(time) = end {
            let speed = prompt as f64 / (time.as_secs_f64() * 1_000.0).max(1.0);
            self.speed += SPEED_WEIGHT * (speed - self.speed);
        }
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.reading = engine.reading.saturating_sub(prompt);
        match end {
            PrefillEnd::Read(_) => engine.health.note(now, Outcome::Good),
            PrefillEnd::Failed(outcome) => engine.health.note(now, outcome),
            PrefillEnd::Cancelled => {}
        }
    }

    /// Time that a prompt should take to be read.
    pub fn reading_time(&self, prompt: u64) -> Duration {
        reading_time(prompt, self.speed)
    }

    /// Takes note that an engine would not reserve a slot.
    pub fn full(&mut self, now: Instant, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.full = Some(now + FULL_PAUSE);
        }
    }

    /// Frees what a request held at an engine.
    pub fn release(&mut self, now: Instant, id: &str, need: u64, end: DecodeEnd) {
        if let DecodeEnd::Finished(stay) = end {
            let change = stay.as_secs_f64() - self.stay.as_secs_f64();
            let mean = self.stay.as_secs_f64() + STAY_WEIGHT * change;
            self.stay = Duration::from_secs_f64(mean.max(0.0));
        }
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.own.slots = engine.own.slots.saturating_sub(1);
        engine.own.tokens = engine.own.tokens.saturating_sub(need);
        match end {
            DecodeEnd::Finished(_) => engine.health.note(now, Outcome::Good),
            DecodeEnd::Failed(outcome) => engine.health.note(now, outcome),
            DecodeEnd::Cancelled => {}
        }
    }
}

impl Engine {
    fn fits(&self, now: Instant, need: u64, size: EngineSize) -> bool {
        let slots = self.own.slots + self.foreign.slots;
        let tokens = self.own.tokens + self.foreign.tokens;
        self.upstream.stage == Some(Stage::Decode)
            && !self.health.is_avoided(now)
            && self.full.is_none_or(|end| end <= now)
            && slots < size.slots
            // A request as large as the engine passes an empty one.
            && (tokens == 0 || tokens + need <= size.tokens)
    }
}

/// How a prefill ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillEnd {
    /// The prompt was read in this time.
    Read(Duration),
    /// It was not.
    Failed(Outcome),
    /// The caller left.
    Cancelled,
}

/// How a request's stay at a decode engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeEnd {
    /// It was complete after this time.
    Finished(Duration),
    /// The engine failed.
    Failed(Outcome),
    /// The caller left, or there was no room after all.
    Cancelled,
}

fn reading_time(prompt: u64, speed: f64) -> Duration {
    Duration::from_secs_f64(prompt as f64 / speed.max(1.0) / 1_000.0)
}

fn extract(queue: &mut VecDeque<Ask>, mut which: impl FnMut(&mut Ask) -> bool) -> Vec<Ask> {
    let mut taken = Vec::new();
    queue.retain_mut(|ask| {
        let take = which(ask);
        if take {
            taken.push(*ask);
        }
        !take
    });
    taken
}
