//! The engines of one model and the requests that wait for them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::attempt::AttemptId;
use crate::choice::{Candidate, LbPolicy};
use crate::engine::{EngineInfo, EngineRole, EngineView};
use crate::event::{Action, Event, Job, Placement, Refusal};
use crate::prefix::{BLOCK_TOKENS, PrefixIndex};
use crate::queue::{Flow, Queue};
use crate::rules::PoolRules;

/// Entries in the prefix index.
const PREFIX_ENTRIES: usize = 16_384;
/// Prefill work given to an engine ahead of what it is doing.
const MAX_BACKLOG: Duration = Duration::from_millis(40);
/// Fewest tokens of a prefill by which its engine's speed is learnt.
const MIN_TELLING_TOKENS: u32 = 1_000;
/// Time after which a ticket is dropped that its decode engine does not list.
const MAX_ABSENCE: Duration = Duration::from_secs(10);
/// Tokens of output whose cost in the queue equals one prefilled token.
const OUTPUT_COST: u64 = 4;

/// Engines of one model and the requests that wait for them.
#[derive(Debug)]
pub struct Pool {
    rules: PoolRules,
    engines: BTreeMap<Arc<str>, EngineView>,
    waiting: HashMap<AttemptId, Job>,
    fresh: Queue,
    late: Queue,
    tickets: HashMap<AttemptId, Ticket>,
    prefix: PrefixIndex,
    gone: HashSet<(Arc<str>, u64)>,
    turn: usize,
}

/// An attempt with its places.
#[derive(Debug)]
struct Ticket {
    job: Option<Job>,
    prefill: Option<Arc<str>>,
    decode: Arc<str>,
    absent: Option<Instant>,
    alone: bool,
}

impl Pool {
    /// An empty pool.
    pub fn new(rules: PoolRules) -> Self {
        Self {
            rules,
            engines: BTreeMap::new(),
            waiting: HashMap::new(),
            fresh: Queue::default(),
            late: Queue::default(),
            tickets: HashMap::new(),
            prefix: PrefixIndex::new(PREFIX_ENTRIES),
            gone: HashSet::new(),
            turn: 0,
        }
    }

    /// Takes an event and gives what is to be done.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrive(job) => self.arrive(job, &mut actions),
            Event::Prefilled { attempt, tokens, time } => self.prefilled(&attempt, tokens, time),
            Event::TransferFailed(attempt) => self.stalled(now, &attempt, &mut actions),
            Event::Finished(attempt) => self.finish(&attempt),
            Event::Adopt { attempt, decode } => self.adopt(attempt, decode),
            Event::Engines(infos) => self.set_engines(infos),
            Event::Load(name, load) => self.with_engine(&name, |engine| engine.observe_load(load)),
            Event::Failed(name) => self.with_engine(&name, |engine| engine.back_off(now)),
            Event::Stored(name, piece) => self.prefix.insert(piece, &name),
            Event::Evicted(name, piece) => self.prefix.remove(piece, &name),
            Event::CacheGap(name) => self.prefix.clear(&name),
            Event::WorkList(name, listed) => self.reconcile(now, name, listed, &mut actions),
            Event::Denied(name, attempt) => self.denied(name, attempt, &mut actions),
            Event::HostDown(host, incarnation) => {
                self.host_gone(host, incarnation, &mut actions);
            }
            Event::HostUp(host, incarnation) => {
                self.gone.remove(&(host, incarnation));
            }
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that have a place.
    pub fn placed(&self) -> usize {
        self.tickets.len()
    }

    /// What is known of an engine.
    pub fn engine(&self, name: &str) -> Option<&EngineView> {
        self.engines.get(name)
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = &EngineView> {
        self.engines.values()
    }

    fn arrive(&mut self, job: Job, actions: &mut Vec<Action>) {
        let roles = self.engines.values().map(|engine| engine.info.role);
        let (mut prefill, mut decode) = (false, false);
        for role in roles {
            match role {
                EngineRole::Prefill => prefill = true,
                EngineRole::Decode(_) => decode = true,
            }
        }
        if !prefill || !decode {
            actions.push(Action::Refuse(job.attempt, Refusal::NoEngine));
            return;
        }
        let cost = u64::from(job.prompt) + OUTPUT_COST * u64::from(job.output);
        self.fresh.push(self.lane(&job), job.attempt.clone(), cost, job.weight);
        self.waiting.insert(job.attempt.clone(), job);
    }

    /// The queue's flow of a job; one flow for all when fairness is off.
    fn lane(&self, job: &Job) -> Flow {
        if self.rules.fair {
            return job.flow.clone();
        }
        Flow { customer: Arc::from(""), priority: 0 }
    }

    fn prefilled(&mut self, attempt: &AttemptId, tokens: u32, time: Duration) {
        let Some(ticket) = self.tickets.get_mut(attempt) else { return };
        let Some(name) = ticket.prefill.clone() else { return };
        // A prefill that waited behind another, or a short one, tells little of the speed.
        let telling = ticket.alone && tokens >= MIN_TELLING_TOKENS;
        if let Some(job) = &ticket.job {
            for piece in &job.blocks {
                self.prefix.insert(*piece, &name);
            }
        }
        self.with_engine(&name, |engine| {
            engine.release(attempt);
            if telling {
                engine.observe_prefill(tokens, time);
            }
        });
    }

    fn stalled(&mut self, now: Instant, attempt: &AttemptId, actions: &mut Vec<Action>) {
        let Some(mut ticket) = self.tickets.remove(attempt) else { return };
        let failed = ticket.decode.clone();
        self.with_engine(&failed, |engine| engine.release(attempt));
        let found = ticket.job.as_ref().and_then(|job| self.choose_decode(now, job, Some(&failed)));
        let (Some(decode), Some(prefill)) = (found, ticket.prefill.clone()) else {
            self.release_prefill(attempt, &ticket);
            actions.push(Action::Refuse(attempt.clone(), Refusal::Full));
            return;
        };
        self.with_engine(&decode, |engine| engine.reserve(attempt, 1));
        ticket.decode = decode.clone();
        self.tickets.insert(attempt.clone(), ticket);
        actions.push(Action::Place(attempt.clone(), Placement { prefill, decode }));
    }

    fn finish(&mut self, attempt: &AttemptId) {
        if let Some(job) = self.waiting.remove(attempt) {
            self.unqueue(&job);
        }
        if let Some(ticket) = self.tickets.remove(attempt) {
            self.release_prefill(attempt, &ticket);
            self.with_engine(&ticket.decode, |engine| engine.release(attempt));
        }
    }

    fn unqueue(&mut self, job: &Job) {
        let lane = self.lane(job);
        if !self.fresh.remove(&lane, &job.attempt) {
            self.late.remove(&lane, &job.attempt);
        }
    }

    fn release_prefill(&mut self, attempt: &AttemptId, ticket: &Ticket) {
        if let Some(name) = &ticket.prefill {
            self.with_engine(name, |engine| engine.release(attempt));
        }
    }

    fn adopt(&mut self, attempt: AttemptId, decode: Arc<str>) {
        if self.tickets.contains_key(&attempt) || self.waiting.contains_key(&attempt) {
            return;
        }
        self.with_engine(&decode, |engine| engine.reserve(&attempt, 1));
        self.tickets.insert(
            attempt,
            Ticket { job: None, prefill: None, decode, absent: None, alone: false },
        );
    }

    fn set_engines(&mut self, infos: Vec<EngineInfo>) {
        let names: HashSet<Arc<str>> = infos.iter().map(|info| info.name.clone()).collect();
        self.engines.retain(|name, _| names.contains(name));
        for info in infos {
            match self.engines.get_mut(&info.name) {
                Some(engine) => engine.info = info,
                None => {
                    self.engines.insert(info.name.clone(), EngineView::new(info));
                }
            }
        }
    }

    /// Compares an engine's list of work with the tickets.
    ///
    /// Attempts of runs that are over are cancelled; the hosts of other unknown attempts
    /// are asked, since another owner may have placed them.
    ///
    /// A ticket that its decode engine has not listed for long is dropped: the note of
    /// its end was lost.
    fn reconcile(
        &mut self,
        now: Instant,
        name: Arc<str>,
        listed: Vec<AttemptId>,
        actions: &mut Vec<Action>,
    ) {
        let present: HashSet<&AttemptId> = listed.iter().collect();
        let mut ended = Vec::new();
        for (attempt, ticket) in &mut self.tickets {
            if ticket.decode != name {
                continue;
            }
            if present.contains(attempt) {
                ticket.absent = None;
            } else if now - *ticket.absent.get_or_insert(now) > MAX_ABSENCE {
                ended.push(attempt.clone());
            }
        }
        for attempt in ended {
            self.finish(&attempt);
        }
        let mut foreign = 0;
        for attempt in listed {
            if self.tickets.contains_key(&attempt) {
                continue;
            }
            if self.gone.contains(&(attempt.host.clone(), attempt.incarnation)) {
                actions.push(Action::Cancel(name.clone(), attempt));
                continue;
            }
            foreign += 1;
            actions.push(Action::Verify(name.clone(), attempt));
        }
        self.with_engine(&name, |engine| engine.foreign = foreign);
    }

    fn denied(&mut self, name: Arc<str>, attempt: AttemptId, actions: &mut Vec<Action>) {
        if !self.tickets.contains_key(&attempt) {
            actions.push(Action::Cancel(name, attempt));
        }
    }

    fn host_gone(&mut self, host: Arc<str>, incarnation: u64, actions: &mut Vec<Action>) {
        let of_host =
            |attempt: &AttemptId| attempt.host == host && attempt.incarnation == incarnation;
        let mut lost: Vec<AttemptId> = self
            .tickets
            .keys()
            .chain(self.waiting.keys())
            .filter(|id| of_host(id))
            .cloned()
            .collect();
        lost.sort();
        for attempt in lost {
            if let Some(ticket) = self.tickets.get(&attempt) {
                let prefill = ticket.prefill.iter();
                let places = prefill.chain([&ticket.decode]).cloned();
                actions.extend(places.map(|name| Action::Cancel(name, attempt.clone())));
            }
            self.finish(&attempt);
        }
        self.gone.insert((host, incarnation));
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut over: Vec<AttemptId> = self
            .waiting
            .values()
            .filter(|job| job.expires <= now)
            .map(|job| job.attempt.clone())
            .collect();
        over.sort();
        for attempt in over {
            self.finish(&attempt);
            actions.push(Action::Refuse(attempt, Refusal::Full));
        }
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        self.demote(now);
        while self.place_next(now, actions) {}
    }

    /// Moves requests that can no longer meet their target behind those that can.
    fn demote(&mut self, now: Instant) {
        if !self.rules.demote {
            return;
        }
        loop {
            let hopeless = self.fresh.heads().find_map(|(flow, attempt)| {
                let job = self.waiting.get(attempt)?;
                (now + self.least_time(job) > job.due).then(|| (flow.clone(), attempt.clone()))
            });
            let Some((flow, attempt)) = hopeless else { return };
            self.fresh.remove(&flow, &attempt);
            if let Some(job) = self.waiting.get(&attempt) {
                let cost = u64::from(job.prompt) + OUTPUT_COST * u64::from(job.output);
                self.late.push(flow, attempt, cost, job.weight);
            }
        }
    }

    /// The shortest time to a first token on idle engines.
    fn least_time(&self, job: &Job) -> Duration {
        let engines = self.engines.values().filter(|e| e.info.role == EngineRole::Prefill);
        let prefill = engines.map(|e| e.prefill_time(self.uncached(job, &e.info.name))).min();
        prefill.unwrap_or_default() + self.rules.transfer * job.prompt
    }

    fn place_next(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        let from_fresh = !self.fresh.is_empty();
        let queue = if from_fresh { &self.fresh } else { &self.late };
        let Some((flow, attempt)) = queue.peek() else { return false };
        let (flow, attempt) = (flow.clone(), attempt.clone());
        let Some(job) = self.waiting.get(&attempt) else { return false };
        let Some(decode) = self.choose_decode(now, job, None) else { return false };
        let Some(prefill) = self.choose_prefill(now, job, &decode) else { return false };
        let queue = if from_fresh { &mut self.fresh } else { &mut self.late };
        queue.serve(&flow);
        let Some(job) = self.waiting.remove(&attempt) else { return false };
        let uncached = self.uncached(&job, &prefill) as u32;
        self.turn += 1;
        let alone = self.engines.get(&prefill).is_some_and(|engine| engine.reserved.is_empty());
        self.with_engine(&prefill, |engine| engine.reserve(&attempt, uncached));
        self.with_engine(&decode, |engine| engine.reserve(&attempt, 1));
        let placement = Placement { prefill: prefill.clone(), decode: decode.clone() };
        let ticket = Ticket { job: Some(job), prefill: Some(prefill), decode, absent: None, alone };
        self.tickets.insert(attempt.clone(), ticket);
        actions.push(Action::Place(attempt, placement));
        true
    }

    /// A decode engine with a free slot, by the smallest batch and nearest to the host.
    fn choose_decode(
        &self,
        now: Instant,
        job: &Job,
        except: Option<&Arc<str>>,
    ) -> Option<Arc<str>> {
        let open = self.engines.values().filter(|engine| {
            engine.is_available(now) && Some(&engine.info.name) != except && self.has_room(engine)
        });
        let candidates = open.map(|engine| Candidate {
            engine,
            cost: (f64::from(engine.batch()), engine.info.data_centre != job.data_centre),
        });
        self.rules.policy.decode(candidates, self.turn)
    }

    fn has_room(&self, engine: &EngineView) -> bool {
        let EngineRole::Decode(slots) = engine.info.role else { return false };
        if !self.rules.reserve {
            return true;
        }
        let ceiling = self.rules.pace.map_or(slots, |pace| engine.batch_limit(slots, pace));
        engine.batch() < ceiling
    }

    /// The prefill engine with the shortest estimated time to a transferred result.
    fn choose_prefill(&self, now: Instant, job: &Job, decode: &Arc<str>) -> Option<Arc<str>> {
        let target = self.engines.get(decode).map(|engine| &engine.info.data_centre);
        let open = self.engines.values().filter(|engine| {
            let free = !self.rules.reserve || engine.backlog() < MAX_BACKLOG;
            engine.info.role == EngineRole::Prefill && engine.is_available(now) && free
        });
        let candidates = open.map(|engine| {
            let work = engine.prefill_time(self.uncached(job, &engine.info.name));
            let near = Some(&engine.info.data_centre) == target;
            let factor = if near { 1 } else { self.rules.remote_factor };
            let transfer = self.rules.transfer * job.prompt * factor;
            let cost = (engine.backlog() + work + transfer).as_secs_f64();
            Candidate { engine, cost: (cost, !near) }
        });
        let depth = |engine: &EngineView| self.prefix.match_len(&job.blocks, &engine.info.name);
        self.rules.policy.prefill(candidates, depth, self.turn)
    }

    fn uncached(&self, job: &Job, engine: &Arc<str>) -> u64 {
        let depth = match self.rules.policy {
            LbPolicy::Score | LbPolicy::PrefixOnly => self.prefix.match_len(&job.blocks, engine),
            LbPolicy::RoundRobin | LbPolicy::LeastReported => 0,
        };
        let cached = depth as u64 * u64::from(BLOCK_TOKENS);
        u64::from(job.prompt).saturating_sub(cached).max(1)
    }

    fn with_engine(&mut self, name: &Arc<str>, change: impl FnOnce(&mut EngineView)) {
        if let Some(engine) = self.engines.get_mut(name) {
            change(engine);
        }
    }
}
