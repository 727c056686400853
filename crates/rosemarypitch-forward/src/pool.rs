//! Admission, queueing and placement of model requests.
//!
//! The pool is built for bursts of two to four times the usual load, made of streams that
//! each occupy a decode slot and memory for prompt and output for several seconds. Decode
//! memory and slots are the bottleneck, not prefill. Requests therefore queue here, before
//! they occupy any resource, until a decode engine has room. Among the requests whose first
//! event can still meet its target, the cheapest is placed first, because that serves the
//! most callers. Streams that callers take up go before them until their callers time out. Late
//! requests follow while there is room. A request that is not forecast to be placed before its
//! caller times out is refused at once, with the time after which room is expected.
//!
//! The room at an engine is its size less the streams of this host and those that other
//! hosts report. The engine makes the final decision: when it refuses to reserve a slot,
//! this host pauses requests to it for a moment.

mod demand;
mod engine;
mod pace;
mod speed;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_limit::rank;
use tokio::time::Instant;

use crate::cold::{ColdGate, ColdLimit};
use crate::config::EngineSize;
use crate::deployment::Tokens;
use crate::health::{Health, Outcome};
use crate::homes::{RegionSet, Regions};
use crate::memory::StreamUse;
use crate::registry::{Stage, Upstream};
use crate::tuning::PoolTuning;

use demand::Demand;
use engine::{Engine, Running};
use pace::Pace;
use speed::{Prefill, Speed};

/// Time without further attempts after an engine refused a slot; about one event.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Assumed time that a request occupies a slot, until the first requests have finished.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(3_000);
/// Weight of the latest request in the moving average of slot times.
const SLOT_TIME_WEIGHT: f64 = 0.05;
/// Assumed prefill speed in prompt tokens per millisecond, until the first prefills have
/// finished.
const INITIAL_PREFILL_SPEED: f64 = 40.0;
/// Weight of the latest prefill in the moving average of prefill speeds.
const PREFILL_SPEED_WEIGHT: f64 = 0.1;
/// Smallest fraction of the drain rate that the forecast leaves to late requests.
const MIN_LATE_FRACTION: f64 = 0.1;
/// Weight of the latest request in the moving average of output guesses.
const MEAN_GUESS_WEIGHT: f64 = 0.02;

/// Identifier of a request in a pool.
pub type Ticket = u64;

/// A request for a decode slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Prompt tokens.
    pub prompt: u64,
    /// Expected output tokens.
    pub output: u64,
    /// Output tokens for which a host that stops must have time.
    pub required: u64,
    /// Expected time in the slot, in any unit that is the same for all requests.
    pub cost: f64,
    /// Whether this is a retry after a refusal.
    pub retried: bool,
    /// Regions in which it may be served.
    pub regions: RegionSet,
    /// Target for the first event to reach the caller.
    pub due: Instant,
    /// When the caller times out without a first event.
    pub expires: Instant,
    /// Whether a caller takes its stream up, and loses it if it does not go on.
    pub begun: bool,
    /// Software version of the engines that can serve it; none if all can.
    pub version: Option<Arc<str>>,
}

impl SlotRequest {
    /// Whether an engine has a version that can serve the request.
    fn fits(&self, engine: &Engine) -> bool {
        self.version.as_ref().is_none_or(|version| *version == engine.upstream.version)
    }

    /// Memory that the request occupies on average over its run, in tokens.
    fn mean_memory(&self) -> u64 {
        self.prompt + self.output / 2
    }
}

/// Estimated resource use of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Output tokens.
    pub output: u64,
    /// Time in the slot, in any unit that is the same for all requests.
    pub cost: f64,
}

/// Outcome of the scheduling of a queued request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Placed at this engine.
    Place(Ticket, Arc<Upstream>),
    /// Refused because there will be no room in time; the caller may retry after this time.
    Refuse(Ticket, Duration),
}

/// Engines of one service, and the requests queued for them at this host.
#[derive(Debug)]
pub struct Pool {
    size: EngineSize,
    zone: Arc<str>,
    regions: Regions,
    /// Name under which this host breaks ties, so that hosts don't all choose the same engine.
    host: Arc<str>,
    tuning: PoolTuning,
    engines: HashMap<Arc<str>, Engine>,
    /// Requests whose first event can still be on time, cheapest first.
    timely: Vec<SlotRequest>,
    /// Requests that are already late: retries first, then by cost.
    late: Vec<SlotRequest>,
    /// Moving average of the time that a request occupies its slot.
    slot_time: Duration,
    /// Speed at which streams generate output.
    pace: Pace,
    /// Moving average of the prefill speed, in prompt tokens per millisecond.
    prefill_speed: f64,
    /// Moving average of the callers' output guesses, in tokens.
    mean_guess: Option<f64>,
    demand: Demand,
    hosts: usize,
    /// Engines assigned to this host's row; none if engines are not divided among rows.
    preferred: Option<HashSet<Arc<str>>>,
    /// Engines at which this host may have streams.
    in_use: HashSet<Arc<str>>,
    /// Engines at which other hosts of the row have streams.
    row_engines: Vec<Arc<str>>,
    /// Engines at which hosts of other rows have streams.
    remote_engines: Vec<Arc<str>>,
    /// Engines to which other hosts of the row have sent prompts.
    row_prefills: Vec<Arc<str>>,
    /// When this host stops; none while it runs.
    end: Option<Instant>,
    /// Whether all engines are in data centres that are out of service.
    out_of_service: bool,
}

/// Streams by engine.
pub type StreamsByEngine = HashMap<Arc<str>, Vec<StreamUse>>;

/// Prompts that other hosts have sent, by engine.
pub type PromptsByEngine = HashMap<Arc<str>, Vec<SentPrompts>>;

/// Prompts that another host has sent to an engine and that were not prefilled yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPrompts {
    /// Size, in tokens.
    pub tokens: u64,
    /// When the host reported them.
    pub reported: Instant,
}

impl Pool {
    /// Creates a pool without engines for a host in `zone`.
    pub fn new(size: EngineSize, zone: Arc<str>, tuning: PoolTuning) -> Self {
        Self {
            size,
            zone,
            regions: Regions::default(),
            host: Arc::from(""),
            tuning,
            engines: HashMap::new(),
            timely: Vec::new(),
            late: Vec::new(),
            slot_time: INITIAL_SLOT_TIME,
            pace: Pace::default(),
            prefill_speed: INITIAL_PREFILL_SPEED,
            mean_guess: None,
            demand: Demand::default(),
            hosts: 1,
            preferred: None,
            in_use: HashSet::new(),
            row_engines: Vec::new(),
            remote_engines: Vec::new(),
            row_prefills: Vec::new(),
            end: None,
            out_of_service: false,
        }
    }

    /// Sets the regions of data centres; without them only requests without homes are served.
    pub fn with_regions(self, regions: Regions) -> Self {
        Self { regions, ..self }
    }

    /// Sets the name of the host.
    pub fn with_host(self, host: Arc<str>) -> Self {
        Self { host, ..self }
    }

    /// Sets the usable engines, their size and the number of hosts that share them.
    ///
    /// An engine that is still the same process keeps its streams and health.
    pub fn set_engines(&mut self, upstreams: &[Arc<Upstream>], size: EngineSize, hosts: usize) {
        self.size = size;
        self.hosts = hosts.max(1);
        let mut old = std::mem::take(&mut self.engines);
        for upstream in upstreams {
            let engine = match old.remove(&upstream.id) {
                Some(engine) if engine.upstream.incarnation == upstream.incarnation => {
                    Engine { upstream: upstream.clone(), ..engine }
                }
                _ => Engine {
                    upstream: upstream.clone(),
                    running: HashMap::new(),
                    row_streams: Vec::new(),
                    remote_streams: Vec::new(),
                    prefills: Vec::new(),
                    row_prompts: Vec::new(),
                    speed: Speed::default(),
                    full_until: None,
                    rest_until: None,
                    health: Health::default(),
                    region: self.regions.of_zone(&upstream.zone),
                    gate: ColdGate::default(),
                },
            };
            self.engines.insert(upstream.id.clone(), engine);
        }
    }

    /// Sends nothing to a run of an engine until `end`.
    pub fn set_rest(&mut self, engine: &Upstream, end: Instant) {
        let known = self.engines.get_mut(&engine.id);
        if let Some(known) = known.filter(|e| e.upstream.incarnation == engine.incarnation) {
            known.rest_until = Some(end);
        }
    }

    /// Time until the first decode engine ends its rest, if all of them rest.
    pub fn rest_time(&self, now: Instant) -> Option<Duration> {
        let decode = self.engines.values().filter(|engine| engine.upstream.is_decode());
        let ends: Option<Vec<Instant>> =
            decode.map(|engine| engine.rest_until.filter(|end| *end > now)).collect();
        ends?.into_iter().min().map(|end| end - now)
    }

    /// Sets the bounds on requests to cold engines, by engine.
    pub fn set_cold_limits(&mut self, limit: impl Fn(&Upstream) -> Option<ColdLimit>) {
        for engine in self.engines.values_mut() {
            engine.gate.set(limit(&engine.upstream));
        }
    }

    /// Number of usable engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Whether a run of an engine is among the usable ones.
    pub fn is_usable(&self, engine: &Upstream) -> bool {
        let known = self.engines.get(&engine.id);
        known.is_some_and(|known| known.upstream.incarnation == engine.incarnation)
    }

    /// Records that a placed request is sent to its engine now; false if it must not be, because
    /// the engine has left, has asked for rest, or has become cold and got what it bears.
    pub fn start_decode(&mut self, now: Instant, engine: &Upstream, ticket: Ticket) -> bool {
        if !self.is_usable(engine) {
            return false;
        }
        let Some(engine) = self.engines.get_mut(&engine.id) else { return false };
        if engine.is_resting(now) || !engine.gate.admits(now, 0) {
            return false;
        }
        engine.gate.record(now);
        if let Some(running) = engine.running.get_mut(&ticket) {
            running.sent = true;
        }
        true
    }

    /// Sets when this host stops, if it does; requests that it could not finish by then are
    /// refused.
    pub fn set_end(&mut self, end: Option<Instant>) {
        self.end = end;
    }

    /// Sets whether all engines are in data centres that are out of service.
    pub fn set_out_of_service(&mut self, out_of_service: bool) {
        self.out_of_service = out_of_service;
    }

    /// Sets the engines that are assigned to this host's row.
    pub fn set_preferred(&mut self, preferred: Option<HashSet<Arc<str>>>) {
        self.preferred = preferred;
    }

    /// Sets the streams of all other hosts in the row.
    pub fn set_row_streams(&mut self, streams: &StreamsByEngine) {
        // Few of thousands of engines have streams, so only these are updated.
        for id in std::mem::take(&mut self.row_engines) {
            self.engines.get_mut(&id).into_iter().for_each(|engine| engine.row_streams.clear());
        }
        for (id, streams) in streams {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.row_streams.extend_from_slice(streams);
                self.row_engines.push(id.clone());
            }
        }
    }

    /// Sets the streams of all hosts in other rows.
    pub fn set_remote_streams(&mut self, streams: &StreamsByEngine) {
        for id in std::mem::take(&mut self.remote_engines) {
            self.engines.get_mut(&id).into_iter().for_each(|engine| engine.remote_streams.clear());
        }
        for (id, streams) in streams {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.remote_streams.extend_from_slice(streams);
                self.remote_engines.push(id.clone());
            }
        }
    }

    /// Sets the prompts that other hosts of the row have sent to each engine.
    pub fn set_row_prompts(&mut self, prompts: &PromptsByEngine) {
        for id in std::mem::take(&mut self.row_prefills) {
            self.engines.get_mut(&id).into_iter().for_each(|engine| engine.row_prompts.clear());
        }
        for (id, prompts) in prompts {
            let engine = self.engines.get_mut(id);
            if let Some(engine) = engine.filter(|engine| !engine.upstream.is_decode()) {
                engine.row_prompts.extend_from_slice(prompts);
                self.row_prefills.push(id.clone());
            }
        }
    }

    /// Prompt tokens of this host that are not prefilled yet, by engine.
    pub fn own_prompts(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let used = self.in_use.iter().filter_map(|id| Some((id, self.engines.get(id)?)));
        let used = used.filter(|(_, engine)| !engine.prefills.is_empty());
        used.map(|(id, engine)| (id, engine.own_backlog()))
    }

    /// Streams of this host, by engine; at a prefill engine, its prompts, which do not grow.
    pub fn own_streams(&self) -> impl Iterator<Item = (&Arc<str>, Vec<StreamUse>)> {
        let used = self.in_use.iter().filter_map(|id| Some((id, self.engines.get(id)?)));
        used.filter(|(_, engine)| engine.is_in_use()).map(|(id, engine)| {
            let streams = engine.running.values().map(Running::stream_use);
            let prompts = engine.prefills.iter();
            let prompts = prompts.map(|(_, prefill)| StreamUse { held: prefill.prompt, growth: 0 });
            (id, streams.chain(prompts).collect())
        })
    }

    /// Records the output tokens that a request has generated so far.
    pub fn record_output(&mut self, now: Instant, id: &str, ticket: Ticket, generated: u64) {
        let engine = self.engines.get_mut(id);
        if let Some(running) = engine.and_then(|engine| engine.running.get_mut(&ticket)) {
            running.progress.record(now, generated);
        }
    }

    /// Estimates the resource use of a request, and adds its guess to the moving average.
    pub fn estimate(&mut self, tokens: Tokens) -> Estimate {
        let own = tokens.guess.map_or(tokens.output, |guess| guess.min(tokens.output)) as f64;
        let mean = self.mean_guess.map_or(own, |mean| mean + MEAN_GUESS_WEIGHT * (own - mean));
        self.mean_guess = Some(mean);
        let weight = self.tuning.guess_weight;
        let output = weight * own + (1.0 - weight) * mean.min(tokens.output as f64);
        // Time in the slot grows with the output. The prompt is left out of the cost: ordered
        // by memory, long prompts would never be served during a burst.
        Estimate { output: output as u64, cost: output }
    }

    /// Memory to reserve for a request at an engine, in tokens.
    pub fn hold_size(&self, prompt: u64, output: u64) -> u64 {
        prompt + (output as f64 * self.tuning.hold_part) as u64
    }

    /// Queues a request, to be placed or refused by [`Self::decide`].
    pub fn push(&mut self, now: Instant, request: SlotRequest) {
        self.demand.add(now, request.mean_memory());
        self.requeue(request);
    }

    /// Queues a request that already counts towards the demand, such as one whose engine refused
    /// its slot.
    pub fn requeue(&mut self, request: SlotRequest) {
        let index = self.timely.partition_point(|other| other.cost <= request.cost);
        self.timely.insert(index, request);
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.timely.retain(|request| request.ticket != ticket);
        self.late.retain(|request| request.ticket != ticket);
    }

    /// Whether any request is queued.
    pub fn is_waiting(&self) -> bool {
        !self.timely.is_empty() || !self.late.is_empty()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Places and refuses all requests that can be decided now.
    pub fn decide(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if !self.is_waiting() {
            return decisions;
        }
        if self.out_of_service {
            return self.refuse_all(Duration::ZERO);
        }
        if let Some(rest) = self.rest_time(now) {
            return self.refuse_all(rest);
        }
        self.demote(now);
        self.refuse_unfit(&mut decisions);
        self.refuse_unfinished(now, &mut decisions);
        self.place(now, &mut decisions);
        self.refuse(now, &mut decisions);
        decisions
    }

    /// Refuses all queued requests, which no engine will serve soon.
    fn refuse_all(&mut self, retry: Duration) -> Vec<Decision> {
        let queued = self.timely.drain(..).chain(self.late.drain(..));
        queued.map(|request| Decision::Refuse(request.ticket, retry)).collect()
    }

    /// Moves requests whose first event can no longer be on time to the late queue.
    fn demote(&mut self, now: Instant) {
        let speed = self.prefill_speed;
        let is_late = |request: &mut SlotRequest| {
            !request.begun && now + prefill_time(request.prompt, speed) > request.due
        };
        let moved = self.timely.extract_if(.., is_late);
        self.late.extend(moved);
        self.late.sort_by(|a, b| b.retried.cmp(&a.retried).then(a.cost.total_cmp(&b.cost)));
    }

    /// Refuses the requests that could not end before this host stops, even if they were placed
    /// now.
    fn refuse_unfinished(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let queued = self.timely.iter().chain(&self.late);
        let unfinished = queued.filter(|request| !self.can_finish(now, Duration::ZERO, request));
        for ticket in unfinished.map(|request| request.ticket).collect::<Vec<_>>() {
            self.cancel(ticket);
            decisions.push(Decision::Refuse(ticket, Duration::ZERO));
        }
    }

    /// Whether a request that is placed after `wait` is forecast to end before this host stops.
    fn can_finish(&self, now: Instant, wait: Duration, request: &SlotRequest) -> bool {
        let Some(end) = self.end else { return true };
        let time = wait + self.prefill_time(request.prompt) + self.output_time(request.required);
        time < end.saturating_duration_since(now)
    }

    /// Whether a request whose prompt has been prefilled is forecast to end before this host
    /// stops, given the output tokens for which it must have time.
    pub fn can_decode(&self, now: Instant, required: u64) -> bool {
        let left = self.end.map(|end| end.saturating_duration_since(now));
        left.is_none_or(|left| self.output_time(required) < left)
    }

    fn place(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        // The head of the queue blocks until it fits. Otherwise small requests could starve
        // a large one for as long as they arrive. One that waits for engines of its version does
        // not hold up the others.
        let mut index = 0;
        while let Some(request) = self.timely.iter().chain(&self.late).nth(index).cloned() {
            let Some(id) = self.best_decode_engine(now, &request) else {
                if request.version.is_none() {
                    return;
                }
                index += 1;
                continue;
            };
            let Some(engine) = self.engines.get_mut(&id) else { return };
            engine.running.insert(request.ticket, Running::new(&request));
            decisions.push(Decision::Place(request.ticket, engine.upstream.clone()));
            self.in_use.insert(id);
            self.cancel(request.ticket);
        }
    }

    /// Refuses the requests whose version no engine has.
    fn refuse_unfit(&mut self, decisions: &mut Vec<Decision>) {
        let queued = self.timely.iter().chain(&self.late);
        let unfit = queued.filter(|request| {
            let mut decode = self.engines.values().filter(|engine| engine.upstream.is_decode());
            request.version.is_some() && !decode.any(|engine| request.fits(engine))
        });
        for ticket in unfit.map(|request| request.ticket).collect::<Vec<_>>() {
            self.cancel(ticket);
            decisions.push(Decision::Refuse(ticket, Duration::ZERO));
        }
    }

    /// Places a request at the engine `id`, without queueing, if it has room now.
    pub fn place_at(
        &mut self,
        now: Instant,
        id: &Arc<str>,
        request: &SlotRequest,
    ) -> Option<Arc<Upstream>> {
        let named = self.engines.get_key_value(id);
        self.cheapest(now, request, named.into_iter())?;
        let engine = self.engines.get_mut(id)?;
        engine.running.insert(request.ticket, Running::new(request));
        self.in_use.insert(id.clone());
        Some(engine.upstream.clone())
    }

    /// Refuses the requests that are not forecast to be placed before they expire, or to end
    /// before this host stops.
    fn refuse(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let drain = self.drain_rate(now);
        let spare = (drain - self.demand.rate(now)).max(drain * MIN_LATE_FRACTION);
        let is_cut = |request: &SlotRequest, ahead: f64| {
            let wait = Duration::try_from_secs_f64(ahead / drain).unwrap_or(Duration::MAX / 2);
            !self.can_finish(now, wait, request)
        };
        let mut ahead = 0.0;
        let mut refused = Vec::new();
        for request in &self.timely {
            let time = request.due.saturating_duration_since(now).as_secs_f64();
            let late = ahead / drain > time * self.tuning.forecast_slack;
            let timeout = request.expires.saturating_duration_since(now).as_secs_f64();
            // New requests don't delay streams that callers take up.
            let (expired, rate) =
                if request.begun { (timeout <= 0.0, drain) } else { (false, spare) };
            if is_cut(request, ahead) || expired || late && ahead / rate > timeout {
                refused.push(request.ticket);
            } else {
                ahead += request.mean_memory() as f64;
            }
        }
        for request in &self.late {
            let timeout = request.expires.saturating_duration_since(now).as_secs_f64();
            if is_cut(request, ahead) || timeout <= 0.0 || ahead / spare > timeout {
                refused.push(request.ticket);
            } else {
                ahead += request.mean_memory() as f64;
            }
        }
        let retry = Duration::try_from_secs_f64(ahead / spare).unwrap_or(Duration::MAX);
        for ticket in refused {
            self.cancel(ticket);
            decisions.push(Decision::Refuse(ticket, retry));
        }
    }

    /// Forecast rate at which decode memory becomes free for this host, in tokens per second.
    fn drain_rate(&self, now: Instant) -> f64 {
        let open = |engine: &&Engine| engine.upstream.is_decode() && !engine.is_resting(now);
        let decode = self.engines.values().filter(open);
        let (engines, own, all) = decode.fold((0.0, 0, 0), |(count, own, all), engine| {
            (count + 1.0, own + engine.running.len(), all + engine.occupied_slots())
        });
        // No less than an equal share, since any host may claim memory that is free.
        let equal = 1.0 / self.hosts as f64;
        let share = if all == 0 { 1.0 } else { (own as f64 / all as f64).max(equal) };
        let memory = engines * self.usable_memory() * share;
        (memory / self.slot_time.as_secs_f64().max(0.001)).max(1.0)
    }

    /// Forecast time to generate output tokens.
    fn output_time(&self, tokens: u64) -> Duration {
        let running = self.engines.values().flat_map(|engine| engine.running.values());
        let measured = self.pace.token_time(running.map(|running| &running.progress));
        let mean_output = self.mean_guess.unwrap_or(0.0).max(1.0);
        let token_time = measured.unwrap_or(self.slot_time.as_secs_f64() / mean_output);
        let time = Duration::try_from_secs_f64(token_time * tokens as f64);
        time.unwrap_or(Duration::MAX / 2)
    }

    /// Memory of one engine that requests may occupy, in tokens.
    fn usable_memory(&self) -> f64 {
        self.size.tokens as f64 * self.tuning.memory_part
    }

    fn best_decode_engine(&self, now: Instant, request: &SlotRequest) -> Option<Arc<str>> {
        // With thousands of engines, most requests fit at a preferred one, so that the others
        // needn't be searched.
        if let Some(preferred) = &self.preferred {
            let engines = preferred.iter().filter_map(|id| Some((id, self.engines.get(id)?)));
            let best = self.cheapest(now, request, engines);
            if let Some((cost, id)) = best
                && cost <= self.tuning.home_cost
            {
                return Some(id.clone());
            }
        }
        self.cheapest(now, request, self.engines.iter()).map(|(_, id)| id.clone())
    }

    /// The engine with room for the request at the lowest cost, and that cost.
    fn cheapest<'a>(
        &self,
        now: Instant,
        request: &SlotRequest,
        engines: impl Iterator<Item = (&'a Arc<str>, &'a Engine)>,
    ) -> Option<(f64, &'a Arc<str>)> {
        let memory = self.usable_memory() as u64;
        let costs = engines.filter_map(|(id, engine)| {
            let full = engine.occupied_slots() >= self.size.slots as usize;
            let admitted = engine.admits(now, request.regions) && request.fits(engine);
            if !engine.is_open(now) || full || !admitted {
                return None;
            }
            let peak = engine.peak(request);
            // An idle engine accepts any request, even one larger than its memory.
            let fits = peak <= memory || engine.occupied_slots() == 0;
            fits.then(|| (self.decode_cost(now, engine, peak), id))
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn decode_cost(&self, now: Instant, engine: &Engine, peak: u64) -> f64 {
        let memory = peak as f64 / self.size.tokens.max(1) as f64;
        let slots = engine.occupied_slots() as f64 / f64::from(self.size.slots.max(1));
        let failing = self.tuning.failure_cost * engine.health.failure_rate(now);
        // The same request occupies a slow engine for longer. A fast one is not filled any further
        // for that: close to its limit, the engine preempts streams whose output was misjudged.
        let time = engine.speed.slowness(self.pace.mean()).max(1.0);
        memory.max(slots) * time + self.locality_cost(engine) + failing
    }

    /// Penalty, in units of utilization, for engines in another data centre or assigned to
    /// another row.
    fn locality_cost(&self, engine: &Engine) -> f64 {
        let same_zone = engine.upstream.zone == self.zone;
        let zone_cost = if same_zone { 0.0 } else { self.tuning.crossing_cost };
        let preferred = self.preferred.as_ref().is_none_or(|ids| ids.contains(&engine.upstream.id));
        zone_cost + if preferred { 0.0 } else { self.tuning.foreign_cost }
    }

    /// Chooses the prefill engine of a version that is expected to finish the prompt of a placed
    /// request first and is not in `tried`, and adds the prompt to its backlog.
    pub fn start_prefill(
        &mut self,
        now: Instant,
        ticket: Ticket,
        prompt: u64,
        regions: RegionSet,
        version: &str,
        tried: &[Arc<str>],
    ) -> Option<Arc<Upstream>> {
        let engines = self.engines.iter().filter(|(id, engine)| {
            engine.upstream.stage == Some(Stage::Prefill)
                && !engine.health.is_avoided(now)
                && !engine.is_resting(now)
                && engine.admits(now, regions)
                && engine.upstream.version.as_ref() == version
                && !tried.contains(id)
        });
        let mean = self.mean_prefill_speed();
        let costs = engines.map(|(id, engine)| {
            // In units of the time that a prompt of this size takes an engine of mean speed.
            let speed = engine.speed.prefill(mean);
            let work = (engine.backlog(now, speed) + prompt) as f64 / prompt.max(1) as f64;
            let time = work * mean / speed;
            let failing = self.tuning.failure_cost * engine.health.failure_rate(now);
            (time + failing + self.locality_cost(engine), id.clone())
        });
        // Differs by request, so that engines of equal cost take turns.
        let order = |id: &str| rank(&format!("{}/{ticket}", self.host), id);
        let (_, id) =
            costs.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| order(&a.1).cmp(&order(&b.1))))?;
        let engine = self.engines.get_mut(&id)?;
        let ahead = engine.backlog(now, engine.speed.prefill(mean));
        engine.prefills.push((ticket, Prefill { prompt, ahead }));
        engine.gate.record(now);
        self.in_use.insert(id);
        Some(engine.upstream.clone())
    }

    /// Records the end of a prefill, and removes its prompt from the engine's backlog.
    pub fn finish_prefill(&mut self, now: Instant, id: &str, ticket: Ticket, end: PrefillEnd) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(prefill) = engine.finish_prefill(ticket) else { return };
        if let PrefillEnd::Finished(time) = end {
            let millis = time.as_secs_f64() * 1_000.0;
            engine.speed.record_prefill(prefill, millis);
            let speed = prefill.prompt as f64 / millis.max(1.0);
            self.prefill_speed += PREFILL_SPEED_WEIGHT * (speed - self.prefill_speed);
        }
        if !engine.is_in_use() {
            self.in_use.remove(id);
        }
        match end {
            PrefillEnd::Failed(outcome) => engine.health.record(now, outcome),
            // A finished prefill is no success yet: a decode engine still has to fetch the
            // cache.
            PrefillEnd::Finished(_) | PrefillEnd::Cancelled => {}
        }
    }

    /// Records the outcome of a request at an engine.
    pub fn record_outcome(&mut self, now: Instant, id: &str, outcome: Outcome) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.health.record(now, outcome);
        }
    }

    /// Forecast time until an engine has read the prompts that were sent there by now.
    pub fn backlog_time(&self, now: Instant, id: &str) -> Duration {
        let Some(engine) = self.engines.get(id) else { return Duration::ZERO };
        let speed = engine.speed.prefill(self.mean_prefill_speed());
        prefill_time(engine.backlog(now, speed), speed)
    }

    /// Mean speed of the prefill engines of which it is known, in prompt tokens per millisecond.
    fn mean_prefill_speed(&self) -> f64 {
        let known = self.engines.values().filter_map(|engine| engine.speed.known_prefill());
        let (sum, count) = known.fold((0.0, 0), |(sum, count), speed| (sum + speed, count + 1));
        if count == 0 { self.prefill_speed } else { sum / f64::from(count) }
    }

    /// Forecast time to prefill a prompt.
    pub fn prefill_time(&self, prompt: u64) -> Duration {
        prefill_time(prompt, self.prefill_speed)
    }

    /// Records that an engine refused to reserve a slot.
    pub fn mark_full(&mut self, now: Instant, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.full_until = Some(now + FULL_PAUSE);
        }
    }

    /// Releases the slot and memory of a request at an engine.
    pub fn release(&mut self, now: Instant, id: &str, ticket: Ticket, end: DecodeEnd) {
        if let DecodeEnd::Finished(time) = end {
            let change = time.as_secs_f64() - self.slot_time.as_secs_f64();
            let mean = self.slot_time.as_secs_f64() + SLOT_TIME_WEIGHT * change;
            self.slot_time = Duration::from_secs_f64(mean.max(0.0));
        }
        let Some(engine) = self.engines.get_mut(id) else { return };
        let running = engine.running.remove(&ticket);
        if let (DecodeEnd::Finished(_), Some(running)) = (end, running) {
            self.pace.record(&running.progress);
            if let Some(time) = running.progress.token_time() {
                engine.speed.record_token_time(time);
            }
        }
        if !engine.is_in_use() {
            self.in_use.remove(id);
        }
        match end {
            DecodeEnd::Finished(_) => engine.health.record(now, Outcome::Succeeded),
            DecodeEnd::Failed(outcome) => engine.health.record(now, outcome),
            DecodeEnd::Cancelled => {}
        }
    }
}

/// How a prefill ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillEnd {
    /// The engine processed the prompt in this time.
    Finished(Duration),
    /// The engine didn't process the prompt.
    Failed(Outcome),
    /// The caller disconnected.
    Cancelled,
}

/// How a request at a decode engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeEnd {
    /// The stream was complete after this time in the slot.
    Finished(Duration),
    /// The engine failed.
    Failed(Outcome),
    /// The caller disconnected, or the engine refused the slot.
    Cancelled,
}

fn prefill_time(prompt: u64, speed: f64) -> Duration {
    Duration::from_secs_f64(prompt as f64 / speed.max(1.0) / 1_000.0)
}
