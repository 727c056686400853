//! Queueing, refusing and placing of model requests.
//!
//! The load that this answers: bursts of twice to four times the usual, of streams that
//! each hold a decode slot and memory for prompt and output for seconds. Memory and slots
//! bind, not the reading of prompts. So a request waits here, before it holds anything,
//! until a decode engine has room. Of those whose first event can be in time the cheapest
//! goes first, since that serves most callers; the others follow while there is room. A
//! request that will not be placed by forecast is refused at once, with a time at which
//! there should be room.
//!
//! An engine's room is what its size leaves after this host's requests and those that
//! other hosts tell of. The engine itself has the last word: a slot that it does not
//! reserve blocks it here for a moment.

mod demand;
mod engine;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::deployment::Tokens;
use crate::health::{Health, Outcome};
use crate::memory::StreamUse;
use crate::roster::{Stage, Upstream};
use crate::site::EngineSize;
use crate::tuning::PoolTuning;

use demand::Demand;
use engine::{Engine, Running};

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
/// Least part of the drain that late requests are forecast to get.
const MIN_LATE_PART: f64 = 0.1;
/// Weight of the newest guess in the mean guess.
const GUESS_WEIGHT: f64 = 0.02;

/// Names a waiting request.
pub type Ticket = u64;

/// A request for a decode slot.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Name of the request.
    pub ticket: Ticket,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens that it is likely to make.
    pub output: u64,
    /// Time that it holds a slot, in any unit that is the same for all.
    pub cost: f64,
    /// Whether the caller was refused before and has come back.
    pub returned: bool,
    /// When its first event should reach the caller.
    pub due: Instant,
    /// When the caller gives up, if nothing has come.
    pub patience: Instant,
}

impl Ask {
    /// Memory that it holds on average, in tokens.
    fn memory(&self) -> u64 {
        self.prompt + self.output / 2
    }
}

/// What a request is likely to need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Likely {
    /// Output tokens.
    pub output: u64,
    /// Time that it holds a slot, in any unit that is the same for all.
    pub cost: f64,
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
    tuning: PoolTuning,
    engines: HashMap<Arc<str>, Engine>,
    /// Requests whose first event can still be in time, cheapest first.
    timely: Vec<Ask>,
    /// The others: those that came back first, then the cheapest.
    late: Vec<Ask>,
    /// Mean time that a request holds its slot.
    stay: Duration,
    /// Mean speed of reading, in prompt tokens a millisecond.
    speed: f64,
    /// Mean of callers' guesses, in output tokens.
    guess: Option<f64>,
    demand: Demand,
    hosts: usize,
    /// Engines that this host's row tries first; none if they are not divided.
    homes: Option<HashSet<Arc<str>>>,
    /// Engines that this host may use now.
    used: HashSet<Arc<str>>,
    /// Engines that other hosts of the row use.
    near: Vec<Arc<str>>,
    /// Engines that hosts of other rows use.
    far: Vec<Arc<str>>,
}

/// Streams at each engine.
pub type Uses = HashMap<Arc<str>, Vec<StreamUse>>;

impl Pool {
    /// A pool without engines, for a host in `zone`.
    pub fn new(size: EngineSize, zone: Arc<str>, tuning: PoolTuning) -> Self {
        Self {
            size,
            zone,
            tuning,
            engines: HashMap::new(),
            timely: Vec::new(),
            late: Vec::new(),
            stay: FIRST_STAY,
            speed: FIRST_SPEED,
            guess: None,
            demand: Demand::default(),
            hosts: 1,
            homes: None,
            used: HashSet::new(),
            near: Vec::new(),
            far: Vec::new(),
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
                    own: HashMap::new(),
                    near: Vec::new(),
                    far: Vec::new(),
                    reading: 0,
                    full: None,
                    health: Health::default(),
                },
            };
            self.engines.insert(upstream.id.clone(), engine);
        }
    }

    /// Takes the engines that this host's row tries first.
    pub fn set_homes(&mut self, homes: Option<HashSet<Arc<str>>>) {
        self.homes = homes;
    }

    /// Takes what the other hosts of the row together use.
    pub fn set_near(&mut self, uses: &Uses) {
        // Of thousands of engines few are in use, so only these are touched.
        for id in std::mem::take(&mut self.near) {
            self.engines.get_mut(&id).into_iter().for_each(|engine| engine.near.clear());
        }
        for (id, streams) in uses {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.near.extend_from_slice(streams);
                self.near.push(id.clone());
            }
        }
    }

    /// Takes what the hosts of other rows together use.
    pub fn set_far(&mut self, uses: &Uses) {
        for id in std::mem::take(&mut self.far) {
            self.engines.get_mut(&id).into_iter().for_each(|engine| engine.far.clear());
        }
        for (id, streams) in uses {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.far.extend_from_slice(streams);
                self.far.push(id.clone());
            }
        }
    }

    /// What this host uses.
    pub fn own(&self) -> impl Iterator<Item = (&Arc<str>, Vec<StreamUse>)> {
        let used = self.used.iter().filter_map(|id| Some((id, self.engines.get(id)?)));
        let used = used.filter(|(_, engine)| !engine.own.is_empty());
        used.map(|(id, engine)| (id, engine.own.values().map(Running::memory).collect()))
    }

    /// Takes note of the output that a request has made.
    pub fn progress(&mut self, id: &str, ticket: Ticket, made: u64) {
        let engine = self.engines.get_mut(id);
        if let Some(running) = engine.and_then(|engine| engine.own.get_mut(&ticket)) {
            running.made = made;
        }
    }

    /// What a request is likely to need.
    pub fn likely(&mut self, tokens: Tokens) -> Likely {
        let own = tokens.guess.map_or(tokens.output, |guess| guess.min(tokens.output)) as f64;
        let mean = self.guess.map_or(own, |mean| mean + GUESS_WEIGHT * (own - mean));
        self.guess = Some(mean);
        let weight = self.tuning.guess_weight;
        let output = weight * own + (1.0 - weight) * mean.min(tokens.output as f64);
        // The time that a slot is held grows with the output. The prompt does not count: by
        // memory alone long prompts would never be served in a burst.
        Likely { output: output as u64, cost: output }
    }

    /// Memory that an engine is asked to keep for a request.
    pub fn hold_size(&self, prompt: u64, output: u64) -> u64 {
        prompt + (output as f64 * self.tuning.hold_part) as u64
    }

    /// Queues a request; [`Self::decide`] tells what becomes of it.
    pub fn push(&mut self, now: Instant, ask: Ask) {
        self.demand.add(now, ask.memory());
        self.push_again(ask);
    }

    /// Puts a request back whose engine had no room after all.
    pub fn push_again(&mut self, ask: Ask) {
        let place = self.timely.partition_point(|other| other.cost <= ask.cost);
        self.timely.insert(place, ask);
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
        if !self.is_waiting() {
            return decisions;
        }
        self.demote(now);
        self.place(now, &mut decisions);
        self.refuse(now, &mut decisions);
        decisions
    }

    /// Moves requests that cannot begin in time to the late ones.
    fn demote(&mut self, now: Instant) {
        let speed = self.speed;
        let moved =
            self.timely.extract_if(.., |ask| now + reading_time(ask.prompt, speed) > ask.due);
        self.late.extend(moved);
        self.late.sort_by(|a, b| b.returned.cmp(&a.returned).then(a.cost.total_cmp(&b.cost)));
    }

    fn place(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        // The first waits until it fits: to pass over a large request would keep it waiting
        // for as long as small ones come.
        while let Some(ask) = self.timely.first().or(self.late.first()).copied() {
            let Some(id) = self.best_decode(now, &ask) else { return };
            let Some(engine) = self.engines.get_mut(&id) else { return };
            let running = Running { prompt: ask.prompt, made: 0, expected: ask.output };
            engine.own.insert(ask.ticket, running);
            decisions.push(Decision::Place(ask.ticket, engine.upstream.clone()));
            self.used.insert(id);
            let queue = if self.timely.is_empty() { &mut self.late } else { &mut self.timely };
            queue.remove(0);
        }
    }

    /// Places a request at an engine of its choice if there is room now.
    pub fn place_at(&mut self, now: Instant, id: &Arc<str>, ask: &Ask) -> Option<Arc<Upstream>> {
        let named = self.engines.get_key_value(id);
        self.cheapest(now, ask, named.into_iter())?;
        let engine = self.engines.get_mut(id)?;
        let running = Running { prompt: ask.prompt, made: 0, expected: ask.output };
        engine.own.insert(ask.ticket, running);
        self.used.insert(id.clone());
        Some(engine.upstream.clone())
    }

    /// Refuses what will not be placed in time, or not at all, by forecast.
    fn refuse(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let drain = self.drain();
        let spare = (drain - self.demand.rate(now)).max(drain * MIN_LATE_PART);
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        for ask in &self.timely {
            let time = ask.due.saturating_duration_since(now).as_secs_f64();
            let late = ahead / drain > time * self.tuning.forecast_slack;
            let patience = ask.patience.saturating_duration_since(now).as_secs_f64();
            if late && ahead / spare > patience {
                hopeless.push(ask.ticket);
            } else {
                ahead += ask.memory() as f64;
            }
        }
        for ask in &self.late {
            let time = ask.patience.saturating_duration_since(now).as_secs_f64();
            if time <= 0.0 || ahead / spare > time {
                hopeless.push(ask.ticket);
            } else {
                ahead += ask.memory() as f64;
            }
        }
        let retry = Duration::try_from_secs_f64(ahead / spare).unwrap_or(Duration::MAX);
        for ticket in hopeless {
            self.cancel(ticket);
            decisions.push(Decision::Refuse(ticket, retry));
        }
    }

    /// Memory that comes free for this host, in tokens a second.
    fn drain(&self) -> f64 {
        let decode = self.engines.values().filter(|engine| engine.is_decode());
        let (engines, own, all) = decode.fold((0.0, 0, 0), |(count, own, all), engine| {
            (count + 1.0, own + engine.own.len(), all + engine.slots())
        });
        // At least an even part: what is free goes to whoever asks.
        let even = 1.0 / self.hosts as f64;
        let part = if all == 0 { 1.0 } else { (own as f64 / all as f64).max(even) };
        let memory = engines * self.memory() * part;
        (memory / self.stay.as_secs_f64().max(0.001)).max(1.0)
    }

    /// Memory of an engine that is given out, in tokens.
    fn memory(&self) -> f64 {
        self.size.tokens as f64 * self.tuning.memory_part
    }

    fn best_decode(&self, now: Instant, ask: &Ask) -> Option<Arc<str>> {
        // Among thousands of engines most requests find room at home.
        if let Some(homes) = &self.homes {
            let home = homes.iter().filter_map(|id| Some((id, self.engines.get(id)?)));
            let best = self.cheapest(now, ask, home);
            if let Some((cost, id)) = best
                && cost <= self.tuning.home_cost
            {
                return Some(id.clone());
            }
        }
        self.cheapest(now, ask, self.engines.iter()).map(|(_, id)| id.clone())
    }

    /// The engine of some that has room at the least cost.
    fn cheapest<'a>(
        &self,
        now: Instant,
        ask: &Ask,
        engines: impl Iterator<Item = (&'a Arc<str>, &'a Engine)>,
    ) -> Option<(f64, &'a Arc<str>)> {
        let memory = self.memory() as u64;
        let costs = engines.filter_map(|(id, engine)| {
            if !engine.is_open(now) || engine.slots() >= self.size.slots as usize {
                return None;
            }
            let peak = engine.peak(ask);
            // A request as large as the engine passes an empty one.
            let fits = peak <= memory || engine.slots() == 0;
            fits.then(|| (self.decode_cost(now, engine, peak), id))
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn decode_cost(&self, now: Instant, engine: &Engine, peak: u64) -> f64 {
        let memory = peak as f64 / self.size.tokens.max(1) as f64;
        let slots = engine.slots() as f64 / f64::from(self.size.slots.max(1));
        let failing = self.tuning.failure_cost * engine.health.failure_rate(now);
        memory.max(slots) + self.crossing(engine) + failing
    }

    /// Busy part that is accepted to stay in the data centre and among the row's engines.
    fn crossing(&self, engine: &Engine) -> f64 {
        let near = engine.upstream.zone == self.zone;
        let crossing = if near { 0.0 } else { self.tuning.crossing_cost };
        let home = self.homes.as_ref().is_none_or(|homes| homes.contains(&engine.upstream.id));
        crossing + if home { 0.0 } else { self.tuning.foreign_cost }
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
            let failing = self.tuning.failure_cost * engine.health.failure_rate(now);
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
            PrefillEnd::Failed(outcome) => engine.health.note(now, outcome),
            // Whether the cache is of use is known once another engine has fetched it.
            PrefillEnd::Read(_) | PrefillEnd::Cancelled => {}
        }
    }

    /// Takes an outcome of an engine.
    pub fn note(&mut self, now: Instant, id: &str, outcome: Outcome) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.health.note(now, outcome);
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
    pub fn release(&mut self, now: Instant, id: &str, ticket: Ticket, end: DecodeEnd) {
        if let DecodeEnd::Finished(stay) = end {
            let change = stay.as_secs_f64() - self.stay.as_secs_f64();
            let mean = self.stay.as_secs_f64() + STAY_WEIGHT * change;
            self.stay = Duration::from_secs_f64(mean.max(0.0));
        }
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.own.remove(&ticket);
        if engine.own.is_empty() {
            self.used.remove(id);
        }
        match end {
            DecodeEnd::Finished(_) => engine.health.note(now, Outcome::Good),
            DecodeEnd::Failed(outcome) => engine.health.note(now, outcome),
            DecodeEnd::Cancelled => {}
        }
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
