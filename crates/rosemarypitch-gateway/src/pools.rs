//! Runs the scheduler of each pool that this host owns.
//!
//! Each pool is owned by one host of its region, which all hosts choose by the same
//! rendezvous hash. Hosts whose views differ may send placement requests to different
//! owners; the pool then runs on both for a while. This only lowers the quality of
//! placements, because engines reject work beyond their capacity.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Class, Document, UpstreamKind, UpstreamState};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{
    PeerReply, PeerRequest, PeerTransport, PlaceReply, PlaceRequest, PoolEvent, PoolKey,
};
use rosemarypitch_route::{
    Action, AttemptId, EngineInfo, EngineRole, Event, Flow, Job, Pool, PoolRules, Refusal,
};
use rosemarypitch_upstream::{Endpoint, EngineClient};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::cleanup::Cleanup;
use crate::config_sync::ConfigState;
use crate::engine_poller;
use crate::metrics::Metrics;
use crate::running_attempts::RunningAttempts;
use crate::view::View;

/// Capacity of the actor's message queue.
const QUEUE_CAPACITY: usize = 8_192;
/// Interval between checks of waiting requests' deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time without placement requests after which a pool that this host no longer owns is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for asking a host whether it still runs an attempt.
const VERIFY_TIMEOUT: Duration = Duration::from_secs(1);
/// Target number of engines in one part of a pool.
const ENGINES_PER_PART: usize = 12;

/// Scheduling rules and timeouts of all pools of a host.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// Rules for placement decisions.
    pub rules: PoolRules,
    /// Interval between polls of an engine.
    pub poll_interval: Duration,
    /// Time without heartbeats after which a host counts as down.
    pub host_timeout: Duration,
}

/// Handle to the actor that runs this host's pools.
#[derive(Clone)]
pub struct Pools {
    messages: mpsc::Sender<Message>,
}

/// Message to the pool actor.
pub enum Message {
    /// Request to place an attempt on a prefill and a decode engine.
    Place(Box<PlaceRequest>, oneshot::Sender<PeerReply>),
    /// Request for a different decode engine for a placed attempt.
    ReplaceDecode(PoolKey, AttemptId, oneshot::Sender<PeerReply>),
    /// Events of a pool, reported by the hosts that run its attempts.
    PoolEvents(PoolKey, Vec<PoolEvent>),
    /// Event for the scheduler of a pool; ignored if the pool does not run here.
    SchedulerEvent(PoolKey, Event),
    /// A host instance has joined.
    HostUp(HostId),
    /// A host instance has left or failed.
    HostDown(HostId),
    /// Reject waiting placement requests, so that their hosts choose another owner.
    Close,
}

/// Dependencies of the pool actor.
pub struct PoolsDeps {
    /// This host instance.
    pub id: HostId,
    /// This host's region.
    pub region: Arc<str>,
    /// Scheduling rules and timeouts.
    pub options: PoolOptions,
    /// Active configuration.
    pub config: watch::Receiver<ConfigState>,
    /// Current membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Client for calls to peers.
    pub transport: Arc<dyn PeerTransport>,
    /// Client for calls to engines.
    pub engines: Arc<dyn EngineClient>,
    /// Runs cancellations in the background.
    pub cleanup: Cleanup,
    /// Attempts that this host runs for its callers.
    pub running: Arc<RunningAttempts>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
}

impl Pools {
    /// Creates the handle, and the queue to pass to [`Pools::start`].
    pub fn channel() -> (Self, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        (Self { messages }, queue)
    }

    /// Spawns the actor.
    pub fn start(&self, deps: PoolsDeps, queue: mpsc::Receiver<Message>) {
        let actor = Actor {
            deps,
            handle: self.clone(),
            pools: HashMap::new(),
            started_at: Instant::now(),
            closing: false,
        };
        tokio::spawn(actor.run(queue));
    }

    /// Places an attempt in a pool of this host; replies `NotOwner` if the host is stopping.
    pub async fn place(&self, request: PlaceRequest) -> PeerReply {
        self.call(|reply| Message::Place(Box::new(request), reply)).await
    }

    /// Chooses a different decode engine for a placed attempt.
    pub async fn replace_decode(&self, pool: PoolKey, attempt: AttemptId) -> PeerReply {
        self.call(|reply| Message::ReplaceDecode(pool, attempt, reply)).await
    }

    /// Applies events that were reported to a pool of this host.
    pub async fn apply_pool_events(&self, pool: PoolKey, events: Vec<PoolEvent>) {
        let _ = self.messages.send(Message::PoolEvents(pool, events)).await;
    }

    /// Passes an event to the scheduler of a pool; returns false if the host is stopping.
    pub async fn apply_scheduler_event(&self, pool: PoolKey, event: Event) -> bool {
        self.messages.send(Message::SchedulerEvent(pool, event)).await.is_ok()
    }

    /// Reports that a host instance has joined.
    pub fn host_up(&self, id: HostId) {
        self.send(Message::HostUp(id));
    }

    /// Reports that a host instance has left or failed.
    pub fn host_down(&self, id: HostId) {
        self.send(Message::HostDown(id));
    }

    /// Rejects all waiting and future placement requests.
    pub async fn close(&self) {
        let _ = self.messages.send(Message::Close).await;
    }

    async fn call(&self, message: impl FnOnce(oneshot::Sender<PeerReply>) -> Message) -> PeerReply {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(message(reply)).await.is_err() {
            return PeerReply::NotOwner;
        }
        answer.await.unwrap_or(PeerReply::NotOwner)
    }

    fn send(&self, message: Message) {
        let messages = self.messages.clone();
        if let Err(mpsc::error::TrySendError::Full(message)) = messages.try_send(message) {
            tokio::spawn(async move { messages.send(message).await });
        }
    }
}

/// Returns the number of parts of a model's pool in a region, at least 1.
pub fn part_count(document: &Document, region: &str, model: &str) -> u32 {
    let engines = document.upstreams.values().filter(|upstream| match &upstream.kind {
        UpstreamKind::Prefill { model: of } | UpstreamKind::Decode { model: of, .. } => {
            of.as_ref() == model && document.is_in_region(&upstream.data_centre, region)
        }
        UpstreamKind::Service { .. } => false,
    });
    engines.count().div_ceil(ENGINES_PER_PART).max(1) as u32
}

struct Actor {
    deps: PoolsDeps,
    handle: Pools,
    pools: HashMap<PoolKey, LocalPool>,
    started_at: Instant,
    closing: bool,
}

/// A pool that runs on this host, with its pending requests and polled engines.
struct LocalPool {
    pool: Pool,
    pending: HashMap<AttemptId, oneshot::Sender<PeerReply>>,
    endpoints: HashMap<Arc<str>, Endpoint>,
    poll_targets: watch::Sender<Vec<Endpoint>>,
    last_used: Instant,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        let mut config = self.deps.config.clone();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut idle_checks = tokio::time::interval(IDLE_TIMEOUT / 2);
        loop {
            let any_waiting = self.pools.values().any(|local| local.pool.waiting() > 0);
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = ticks.tick(), if any_waiting => self.tick(),
                _ = idle_checks.tick() => self.drop_idle(),
                changed = config.changed() => match changed {
                    Ok(()) => self.reconfigure(),
                    Err(_) => return,
                },
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Place(request, reply) => {
                if self.closing {
                    let _ = reply.send(PeerReply::NotOwner);
                    return;
                }
                let key = request.pool.clone();
                let job = job(now, *request);
                let local = self.get_or_start(&key);
                local.last_used = now;
                local.pending.insert(job.attempt.clone(), reply);
                self.step(&key, Event::Arrive(job));
            }
            Message::ReplaceDecode(key, attempt, reply) => {
                let local = self.get_or_start(&key);
                local.pending.insert(attempt.clone(), reply);
                self.step(&key, Event::TransferFailed(attempt.clone()));
                // A reply that is still pending means that the pool has no record of the attempt.
                if let Some(reply) = self.get_or_start(&key).pending.remove(&attempt) {
                    let _ = reply.send(PeerReply::Place(PlaceReply::Full));
                }
            }
            Message::PoolEvents(key, events) => {
                for event in events {
                    self.step(&key, scheduler_event(event));
                }
            }
            Message::SchedulerEvent(key, event) => {
                if self.pools.contains_key(&key) {
                    self.step(&key, event);
                }
            }
            Message::HostUp(id) => {
                self.step_all(|| Event::HostUp(id.host.clone(), id.incarnation));
            }
            Message::HostDown(id) => {
                self.step_all(|| Event::HostDown(id.host.clone(), id.incarnation));
            }
            Message::Close => self.close(),
        }
    }

    fn tick(&mut self) {
        for local in self.pools.values_mut() {
            let abandoned = local.pending.iter().filter(|(_, reply)| reply.is_closed());
            let abandoned: Vec<AttemptId> = abandoned.map(|(attempt, _)| attempt.clone()).collect();
            for attempt in abandoned {
                local.pending.remove(&attempt);
                local.pool.step(Instant::now(), Event::Finished(attempt));
            }
        }
        self.step_all(|| Event::Tick);
    }

    fn step_all(&mut self, event: impl Fn() -> Event) {
        let keys: Vec<PoolKey> = self.pools.keys().cloned().collect();
        for key in keys {
            self.step(&key, event());
        }
    }

    fn step(&mut self, key: &PoolKey, event: Event) {
        let local = self.get_or_start(key);
        let actions = local.pool.step(Instant::now(), event);
        for action in actions {
            self.perform(key, action);
        }
        let queued = self.get_or_start(key).pool.waiting();
        let label = format!("{}/{}", key.model, key.part);
        self.deps.metrics.queued.with_label_values(&[&label]).set(queued as i64);
    }

    fn perform(&mut self, key: &PoolKey, action: Action) {
        let local = self.get_or_start(key);
        match action {
            Action::Place(attempt, place) => {
                let placed = PlaceReply::Placed { prefill: place.prefill, decode: place.decode };
                let reply = local.pending.remove(&attempt);
                let delivered =
                    reply.is_some_and(|reply| reply.send(PeerReply::Place(placed)).is_ok());
                if !delivered {
                    local.pool.step(Instant::now(), Event::Finished(attempt));
                }
            }
            Action::Refuse(attempt, refusal) => {
                let refused = match refusal {
                    Refusal::Full => PlaceReply::Full,
                    Refusal::NoEngine => PlaceReply::NoEngine,
                };
                if let Some(reply) = local.pending.remove(&attempt) {
                    let _ = reply.send(PeerReply::Place(refused));
                }
            }
            Action::Cancel(engine, attempt) => {
                if let Some(endpoint) = local.endpoints.get(&engine).cloned() {
                    log::info!("pools: cancelling {attempt} on {engine}");
                    self.deps.cleanup.cancel(endpoint, attempt);
                }
            }
            Action::Verify(engine, attempt) => self.verify(key, engine, attempt),
        }
    }

    /// Asks the host of an attempt whether it still runs the attempt.
    fn verify(&self, key: &PoolKey, engine: Arc<str>, attempt: AttemptId) {
        let id = HostId { host: attempt.host.clone(), incarnation: attempt.incarnation };
        let not_running = Event::Denied(engine, attempt.clone());
        let host_down = Event::HostDown(id.host.clone(), id.incarnation);
        let (handle, key) = (self.handle.clone(), key.clone());
        if id == self.deps.id {
            if !self.deps.running.contains(&attempt) {
                tokio::spawn(async move { handle.apply_scheduler_event(key, not_running).await });
            }
            return;
        }
        let view = self.deps.view.borrow().clone();
        let Some(address) = view.address(&id) else {
            let replaced = view.host(&id.host).is_some();
            let converged = self.started_at.elapsed() > self.deps.options.host_timeout * 2;
            if replaced || converged {
                tokio::spawn(async move { handle.apply_scheduler_event(key, host_down).await });
            }
            return;
        };
        let transport = self.deps.transport.clone();
        tokio::spawn(async move {
            if has_ended(transport, address, attempt).await {
                handle.apply_scheduler_event(key, not_running).await;
            }
        });
    }

    fn get_or_start(&mut self, key: &PoolKey) -> &mut LocalPool {
        let deps = &self.deps;
        let handle = &self.handle;
        self.pools.entry(key.clone()).or_insert_with(|| {
            let document = deps.config.borrow().snapshot.document.clone();
            let mut rules = deps.options.rules.clone();
            // A decode batch mixes requests of all classes, so the strictest token pace applies.
            let paces = [Class::Short, Class::Long].map(|class| document.target(class).pace_ms);
            rules.pace = rules.pace.and(paces.iter().min().map(|ms| Duration::from_millis(*ms)));
            let mut pool = Pool::new(rules);
            let engines = engines(&document, key);
            let infos = engines.iter().map(|(info, _)| info.clone()).collect();
            pool.step(Instant::now(), Event::Engines(infos));
            let endpoints: Vec<Endpoint> =
                engines.into_iter().map(|(_, endpoint)| endpoint).collect();
            let (sender, receiver) = watch::channel(endpoints.clone());
            let poller = engine_poller::EnginePoller {
                key: key.clone(),
                pools: handle.clone(),
                engines: deps.engines.clone(),
                interval: deps.options.poll_interval,
            };
            tokio::spawn(poller.run(receiver));
            LocalPool {
                pool,
                pending: HashMap::new(),
                endpoints: by_name(endpoints),
                poll_targets: sender,
                last_used: Instant::now(),
            }
        })
    }

    fn reconfigure(&mut self) {
        let document = self.deps.config.borrow().snapshot.document.clone();
        let keys: Vec<PoolKey> = self.pools.keys().cloned().collect();
        for key in keys {
            let engines = engines(&document, &key);
            let infos = engines.iter().map(|(info, _)| info.clone()).collect();
            let endpoints: Vec<Endpoint> =
                engines.into_iter().map(|(_, endpoint)| endpoint).collect();
            let local = self.get_or_start(&key);
            local.endpoints.extend(by_name(endpoints.clone()));
            local.poll_targets.send_replace(endpoints);
            self.step(&key, Event::Engines(infos));
        }
    }

    fn drop_idle(&mut self) {
        let view = self.deps.view.borrow().clone();
        let now = Instant::now();
        self.pools.retain(|key, local| {
            let owner = view.region_owner(&key.text());
            let own = owner.is_some_and(|owner| view.is_own(owner));
            own || now - local.last_used < IDLE_TIMEOUT
                || local.pool.waiting() + local.pool.placed() > 0
        });
    }

    fn close(&mut self) {
        self.closing = true;
        for local in self.pools.values_mut() {
            for (attempt, reply) in local.pending.drain() {
                let _ = reply.send(PeerReply::NotOwner);
                local.pool.step(Instant::now(), Event::Finished(attempt));
            }
        }
    }
}

/// Returns whether a host reports that it no longer runs an attempt; false if the call fails.
async fn has_ended(
    transport: Arc<dyn PeerTransport>,
    address: SocketAddr,
    attempt: AttemptId,
) -> bool {
    let request = PeerRequest::Verify(vec![attempt.clone()]);
    match transport.call_idempotent(address, &request, VERIFY_TIMEOUT).await {
        Ok(PeerReply::NotRunning(not_running)) => not_running.contains(&attempt),
        Ok(_) => false,
        Err(error) => {
            log::debug!("pools: {error}");
            false
        }
    }
}

fn job(now: Instant, request: PlaceRequest) -> Job {
    Job {
        attempt: request.attempt,
        flow: Flow { customer: request.customer, priority: request.priority },
        weight: request.weight.max(f64::MIN_POSITIVE),
        prompt: request.prompt,
        output: request.output,
        blocks: request.blocks,
        data_centre: request.data_centre,
        due: now + Duration::from_millis(request.due_ms),
        expires: now + Duration::from_millis(request.wait_ms),
    }
}

fn scheduler_event(event: PoolEvent) -> Event {
    match event {
        PoolEvent::Prefilled(attempt, tokens, micros) => {
            Event::Prefilled { attempt, tokens, time: Duration::from_micros(micros) }
        }
        PoolEvent::Finished(attempt) => Event::Finished(attempt),
        PoolEvent::Adopt(attempt, decode) => Event::Adopt { attempt, decode },
        PoolEvent::EngineFailed(engine) => Event::Failed(engine),
    }
}

/// Returns the engines of one part of a pool, ordered by name.
///
/// Prefill and decode engines are assigned to parts round-robin and independently, so that
/// each part gets both kinds.
fn engines(document: &Document, key: &PoolKey) -> Vec<(EngineInfo, Endpoint)> {
    let parts = part_count(document, &key.region, &key.model) as usize;
    let mut assigned = [0_usize; 2];
    let mut found = Vec::new();
    for (name, upstream) in &document.upstreams {
        let role = match &upstream.kind {
            UpstreamKind::Prefill { model } if *model == key.model => EngineRole::Prefill,
            UpstreamKind::Decode { model, slots } if *model == key.model => {
                EngineRole::Decode(*slots)
            }
            _ => continue,
        };
        if !document.is_in_region(&upstream.data_centre, &key.region) {
            continue;
        }
        let count = &mut assigned[usize::from(role == EngineRole::Prefill)];
        let part = *count % parts;
        *count += 1;
        if part != key.part as usize {
            continue;
        }
        let info = EngineInfo {
            name: name.clone(),
            role,
            data_centre: upstream.data_centre.clone(),
            leaving: upstream.state == UpstreamState::Leaving,
        };
        let endpoint =
            Endpoint { name: name.clone(), address: upstream.address, tls: upstream.tls };
        found.push((info, endpoint));
    }
    found
}

fn by_name(endpoints: Vec<Endpoint>) -> HashMap<Arc<str>, Endpoint> {
    endpoints.into_iter().map(|endpoint| (endpoint.name.clone(), endpoint)).collect()
}
