//! Scheduling of one model's requests onto its prefill and decode engines.
//!
//! Requests wait in a fair queue until a prefill engine and a decode slot are both
//! available. The pool reserves both when it places a request, and checks its reservations
//! against the work that the engines list.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::attempt::AttemptId;
use crate::engine::{EngineInfo, EngineRole, EngineView};
use crate::event::{Action, Event, Job, Placement, Refusal};
use crate::policy::{Candidate, LbPolicy};
use crate::prefix::{BLOCK_TOKENS, PrefixIndex};
use crate::queue::{Flow, Queue};
use crate::rules::PoolRules;

/// Capacity of the prefix index, in entries.
const PREFIX_INDEX_ENTRIES: usize = 16_384;
/// Prefill backlog, in time, from which an engine gets no further prefills.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(40);
/// Shortest prefill, in computed tokens, that updates the estimate of its engine's rate.
const MIN_SAMPLE_TOKENS: u32 = 1_000;
/// Time after which a reservation is dropped that its decode engine does not list.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(10);
/// Queueing cost of one output token, in prompt tokens.
const OUTPUT_TOKEN_COST: u64 = 4;

/// Scheduler of one model's engines: waiting requests, reservations and engine state.
#[derive(Debug)]
pub struct Pool {
    rules: PoolRules,
    engines: BTreeMap<Arc<str>, EngineView>,
    waiting: HashMap<AttemptId, Job>,
    /// Requests that can still meet their first-token target.
    on_time: Queue,
    /// Requests that can no longer meet it; served after all others.
    late: Queue,
    reservations: HashMap<AttemptId, Reservation>,
    prefix: PrefixIndex,
    /// Host runs that have ended, by host and incarnation.
    ended_runs: HashSet<(Arc<str>, u64)>,
    /// Placements so far, for round-robin selection.
    placed_count: usize,
}

/// Capacity reserved for an attempt.
#[derive(Debug)]
struct Reservation {
    /// The request; none for an adopted attempt.
    job: Option<Job>,
    prefill: Option<Arc<str>>,
    decode: Arc<str>,
    /// Since when the decode engine has not listed the attempt.
    unlisted_since: Option<Instant>,
    /// Whether the prefill engine had no other prefill at the time of placement.
    was_idle: bool,
}

impl Pool {
    /// Creates a pool without engines.
    pub fn new(rules: PoolRules) -> Self {
        Self {
            rules,
            engines: BTreeMap::new(),
            waiting: HashMap::new(),
            on_time: Queue::default(),
            late: Queue::default(),
            reservations: HashMap::new(),
            prefix: PrefixIndex::new(PREFIX_INDEX_ENTRIES),
            ended_runs: HashSet::new(),
            placed_count: 0,
        }
    }

    /// Applies an event and returns the resulting actions.
    ///
    /// After every event, refuses the requests that have expired and places waiting ones.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrive(job) => self.enqueue(job, &mut actions),
            Event::Prefilled { attempt, tokens, time } => self.end_prefill(&attempt, tokens, time),
            Event::TransferFailed(attempt) => self.replace_decode(now, &attempt, &mut actions),
            Event::Finished(attempt) => self.finish(&attempt),
            Event::Adopt { attempt, decode } => self.adopt(attempt, decode),
            Event::Engines(infos) => self.set_engines(infos),
            Event::Load(name, load) => self.with_engine(&name, |engine| engine.observe_load(load)),
            Event::Failed(name) => self.with_engine(&name, |engine| engine.back_off(now)),
            Event::Stored(name, block) => self.prefix.insert(block, &name),
            Event::Evicted(name, block) => self.prefix.remove(block, &name),
            Event::CacheGap(name) => self.prefix.clear(&name),
            Event::WorkList(name, listed) => self.reconcile(now, name, listed, &mut actions),
            Event::Denied(name, attempt) => self.cancel_unreserved(name, attempt, &mut actions),
            Event::HostDown(host, incarnation) => {
                self.remove_host(host, incarnation, &mut actions);
            }
            Event::HostUp(host, incarnation) => {
                self.ended_runs.remove(&(host, incarnation));
            }
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Number of requests that wait for a placement.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of attempts that hold reservations.
    pub fn placed(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the state of an engine, if it is configured.
    pub fn engine(&self, name: &str) -> Option<&EngineView> {
        self.engines.get(name)
    }

    /// Iterates over all engines, by name.
    pub fn engines(&self) -> impl Iterator<Item = &EngineView> {
        self.engines.values()
    }

    fn enqueue(&mut self, job: Job, actions: &mut Vec<Action>) {
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
        let cost = u64::from(job.prompt) + OUTPUT_TOKEN_COST * u64::from(job.output);
        self.on_time.push(self.queue_flow(&job), job.attempt.clone(), cost, job.weight);
        self.waiting.insert(job.attempt.clone(), job);
    }

    /// The flow under which a job is queued; all jobs share one when fairness is off.
    fn queue_flow(&self, job: &Job) -> Flow {
        if self.rules.fair {
            return job.flow.clone();
        }
        Flow { customer: Arc::from(""), priority: 0 }
    }

    fn end_prefill(&mut self, attempt: &AttemptId, tokens: u32, time: Duration) {
        let Some(reservation) = self.reservations.get_mut(attempt) else { return };
        let Some(name) = reservation.prefill.clone() else { return };
        // A prefill that waited behind another, or a short one, is a poor sample of the rate.
        let representative = reservation.was_idle && tokens >= MIN_SAMPLE_TOKENS;
        if let Some(job) = &reservation.job {
            for block in &job.blocks {
                self.prefix.insert(*block, &name);
            }
        }
        self.with_engine(&name, |engine| {
            engine.release(attempt);
            if representative {
                engine.observe_prefill(tokens, time);
            }
        });
    }

    fn replace_decode(&mut self, now: Instant, attempt: &AttemptId, actions: &mut Vec<Action>) {
        let Some(mut reservation) = self.reservations.remove(attempt) else { return };
        let failed = reservation.decode.clone();
        self.with_engine(&failed, |engine| engine.release(attempt));
        let found =
            reservation.job.as_ref().and_then(|job| self.select_decode(now, job, Some(&failed)));
        let (Some(decode), Some(prefill)) = (found, reservation.prefill.clone()) else {
            self.release_prefill(attempt, &reservation);
            actions.push(Action::Refuse(attempt.clone(), Refusal::Full));
            return;
        };
        self.with_engine(&decode, |engine| engine.reserve(attempt, 1));
        reservation.decode = decode.clone();
        self.reservations.insert(attempt.clone(), reservation);
        actions.push(Action::Place(attempt.clone(), Placement { prefill, decode }));
    }

    fn finish(&mut self, attempt: &AttemptId) {
        if let Some(job) = self.waiting.remove(attempt) {
            self.dequeue(&job);
        }
        if let Some(reservation) = self.reservations.remove(attempt) {
            self.release_prefill(attempt, &reservation);
            self.with_engine(&reservation.decode, |engine| engine.release(attempt));
        }
    }

    fn dequeue(&mut self, job: &Job) {
        let flow = self.queue_flow(job);
        if !self.on_time.remove(&flow, &job.attempt) {
            self.late.remove(&flow, &job.attempt);
        }
    }

    fn release_prefill(&mut self, attempt: &AttemptId, reservation: &Reservation) {
        if let Some(name) = &reservation.prefill {
            self.with_engine(name, |engine| engine.release(attempt));
        }
    }

    fn adopt(&mut self, attempt: AttemptId, decode: Arc<str>) {
        if self.reservations.contains_key(&attempt) || self.waiting.contains_key(&attempt) {
            return;
        }
        self.with_engine(&decode, |engine| engine.reserve(&attempt, 1));
        self.reservations.insert(
            attempt,
            Reservation { job: None, prefill: None, decode, unlisted_since: None, was_idle: false },
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

    /// Reconciles the reservations with an engine's list of work.
    ///
    /// Listed attempts without a reservation are cancelled if their host run has ended.
    /// Otherwise their host is asked, since another owner of the pool may have placed them;
    /// they count as foreign requests.
    ///
    /// A reservation is dropped once its decode engine has not listed it for
    /// [`UNLISTED_TIMEOUT`], since the message that reported its end was lost.
    fn reconcile(
        &mut self,
        now: Instant,
        name: Arc<str>,
        listed: Vec<AttemptId>,
        actions: &mut Vec<Action>,
    ) {
        let present: HashSet<&AttemptId> = listed.iter().collect();
        let mut stale = Vec::new();
        for (attempt, reservation) in &mut self.reservations {
            if reservation.decode != name {
                continue;
            }
            if present.contains(attempt) {
                reservation.unlisted_since = None;
            } else if now - *reservation.unlisted_since.get_or_insert(now) > UNLISTED_TIMEOUT {
                stale.push(attempt.clone());
            }
        }
        for attempt in stale {
            self.finish(&attempt);
        }
        let mut foreign = 0;
        for attempt in listed {
            if self.reservations.contains_key(&attempt) {
                continue;
            }
            if self.ended_runs.contains(&(attempt.host.clone(), attempt.incarnation)) {
                actions.push(Action::Cancel(name.clone(), attempt));
                continue;
            }
            foreign += 1;
            actions.push(Action::Verify(name.clone(), attempt));
        }
        self.with_engine(&name, |engine| engine.foreign = foreign);
    }

    fn cancel_unreserved(&mut self, name: Arc<str>, attempt: AttemptId, actions: &mut Vec<Action>) {
        if !self.reservations.contains_key(&attempt) {
            actions.push(Action::Cancel(name, attempt));
        }
    }

    fn remove_host(&mut self, host: Arc<str>, incarnation: u64, actions: &mut Vec<Action>) {
        let is_from_run =
            |attempt: &AttemptId| attempt.host == host && attempt.incarnation == incarnation;
        let mut lost: Vec<AttemptId> = self
            .reservations
            .keys()
            .chain(self.waiting.keys())
            .filter(|id| is_from_run(id))
            .cloned()
            .collect();
        lost.sort();
        for attempt in lost {
            if let Some(reservation) = self.reservations.get(&attempt) {
                let prefill = reservation.prefill.iter();
                let engines = prefill.chain([&reservation.decode]).cloned();
                actions.extend(engines.map(|name| Action::Cancel(name, attempt.clone())));
            }
            self.finish(&attempt);
        }
        self.ended_runs.insert((host, incarnation));
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut expired: Vec<AttemptId> = self
            .waiting
            .values()
            .filter(|job| job.expires <= now)
            .map(|job| job.attempt.clone())
            .collect();
        expired.sort();
        for attempt in expired {
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

    /// Moves requests that can no longer meet their first-token target to the late queue.
    ///
    /// Checks the heads of all flows until none of them misses its target.
    fn demote(&mut self, now: Instant) {
        if !self.rules.demote {
            return;
        }
        loop {
            let missed = self.on_time.heads().find_map(|(flow, attempt)| {
                let job = self.waiting.get(attempt)?;
                (now + self.min_first_token_time(job) > job.due)
                    .then(|| (flow.clone(), attempt.clone()))
            });
            let Some((flow, attempt)) = missed else { return };
            self.on_time.remove(&flow, &attempt);
            if let Some(job) = self.waiting.get(&attempt) {
                let cost = u64::from(job.prompt) + OUTPUT_TOKEN_COST * u64::from(job.output);
                self.late.push(flow, attempt, cost, job.weight);
            }
        }
    }

    /// Lower bound of the time to first token, as if all engines were idle.
    fn min_first_token_time(&self, job: &Job) -> Duration {
        let engines = self.engines.values().filter(|e| e.info.role == EngineRole::Prefill);
        let prefill =
            engines.map(|e| e.prefill_time(self.uncached_tokens(job, &e.info.name))).min();
        prefill.unwrap_or_default() + self.rules.transfer * job.prompt
    }

    fn place_next(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        let from_on_time = !self.on_time.is_empty();
        let queue = if from_on_time { &self.on_time } else { &self.late };
        let Some((flow, attempt)) = queue.peek() else { return false };
        let (flow, attempt) = (flow.clone(), attempt.clone());
        let Some(job) = self.waiting.get(&attempt) else { return false };
        let Some(decode) = self.select_decode(now, job, None) else { return false };
        let Some(prefill) = self.select_prefill(now, job, &decode) else { return false };
        let queue = if from_on_time { &mut self.on_time } else { &mut self.late };
        queue.serve(&flow);
        let Some(job) = self.waiting.remove(&attempt) else { return false };
        let uncached = self.uncached_tokens(&job, &prefill) as u32;
        self.placed_count += 1;
        let was_idle = self.engines.get(&prefill).is_some_and(|engine| engine.reserved.is_empty());
        self.with_engine(&prefill, |engine| engine.reserve(&attempt, uncached));
        self.with_engine(&decode, |engine| engine.reserve(&attempt, 1));
        let placement = Placement { prefill: prefill.clone(), decode: decode.clone() };
        let reservation = Reservation {
            job: Some(job),
            prefill: Some(prefill),
            decode,
            unlisted_since: None,
            was_idle,
        };
        self.reservations.insert(attempt.clone(), reservation);
        actions.push(Action::Place(attempt, placement));
        true
    }

    /// Selects a decode engine with a free slot.
    ///
    /// The default policy takes the smallest batch and, among equals, an engine in the data
    /// centre of the request's host.
    fn select_decode(
        &self,
        now: Instant,
        job: &Job,
        except: Option<&Arc<str>>,
    ) -> Option<Arc<str>> {
        let available = self.engines.values().filter(|engine| {
            engine.is_available(now)
                && Some(&engine.info.name) != except
                && self.has_free_slot(engine)
        });
        let candidates = available.map(|engine| Candidate {
            engine,
            cost: (f64::from(engine.batch()), engine.info.data_centre != job.data_centre),
        });
        self.rules.policy.decode(candidates, self.placed_count)
    }

    fn has_free_slot(&self, engine: &EngineView) -> bool {
        let EngineRole::Decode(slots) = engine.info.role else { return false };
        if !self.rules.reserve {
            return true;
        }
        let limit = self.rules.pace.map_or(slots, |pace| engine.batch_limit(slots, pace));
        engine.batch() < limit
    }

    /// Selects a prefill engine.
    ///
    /// The default policy takes the one with the shortest estimate of backlog, prefill and
    /// transfer to the decode engine together.
    fn select_prefill(&self, now: Instant, job: &Job, decode: &Arc<str>) -> Option<Arc<str>> {
        let decode_site = self.engines.get(decode).map(|engine| &engine.info.data_centre);
        let available = self.engines.values().filter(|engine| {
            let has_capacity = !self.rules.reserve || engine.backlog() < MAX_PREFILL_BACKLOG;
            engine.info.role == EngineRole::Prefill && engine.is_available(now) && has_capacity
        });
        let candidates = available.map(|engine| {
            let prefill_time = engine.prefill_time(self.uncached_tokens(job, &engine.info.name));
            let is_local = Some(&engine.info.data_centre) == decode_site;
            let factor = if is_local { 1 } else { self.rules.remote_factor };
            let transfer = self.rules.transfer * job.prompt * factor;
            let cost = (engine.backlog() + prefill_time + transfer).as_secs_f64();
            Candidate { engine, cost: (cost, !is_local) }
        });
        let match_len = |engine: &EngineView| self.prefix.match_len(&job.blocks, &engine.info.name);
        self.rules.policy.prefill(candidates, match_len, self.placed_count)
    }

    fn uncached_tokens(&self, job: &Job, engine: &Arc<str>) -> u64 {
        let match_len = match self.rules.policy {
            LbPolicy::Score | LbPolicy::PrefixOnly => self.prefix.match_len(&job.blocks, engine),
            LbPolicy::RoundRobin | LbPolicy::LeastReported => 0,
        };
        let cached = match_len as u64 * u64::from(BLOCK_TOKENS);
        u64::from(job.prompt).saturating_sub(cached).max(1)
    }

    fn with_engine(&mut self, name: &Arc<str>, change: impl FnOnce(&mut EngineView)) {
        if let Some(engine) = self.engines.get_mut(name) {
            change(engine);
        }
    }
}
