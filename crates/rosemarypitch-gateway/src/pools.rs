//! Runs the pools that this host owns.
//!
//! A pool is owned by one host of its region, chosen alike by all. A host whose view
//! differs may ask another; the pool then runs at both for a while, which costs placement
//! quality only, since engines take no more than they have room for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_config::{Class, Document, UpstreamKind, UpstreamState};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{Ask, Link, Note, PlaceAsk, PlaceReply, PoolKey, Reply};
use rosemarypitch_route::{
    Action, AttemptId, EngineInfo, EngineRole, Event, Flow, Job, Pool, PoolRules, Refusal,
};
use rosemarypitch_upstream::{EngineAddress, Engines};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::keeper::ConfigState;
use crate::metrics::Metrics;
use crate::polls;
use crate::reaper::Reaper;
use crate::running::Running;
use crate::view::View;

/// Messages that may wait for the actor.
const QUEUE: usize = 8_192;
/// Time between looks at waiting requests' deadlines.
const TICK: Duration = Duration::from_millis(20);
/// Time without messages after which a pool that is not owned is dropped.
const IDLE: Duration = Duration::from_secs(30);
/// Longest wait for a host's word on its attempts.
const VERIFY_TIME: Duration = Duration::from_secs(1);
/// Engines in one part of a pool.
const PART_ENGINES: usize = 12;

/// Rules and polling times of pools.
#[derive(Clone, Debug)]
pub struct PoolTuning {
    /// Rules of decisions.
    pub rules: PoolRules,
    /// Time between polls of an engine.
    pub poll: Duration,
    /// Silence after which a host counts as gone.
    pub silence: Duration,
}

/// Handle of the pool actor.
#[derive(Clone)]
pub struct Pools {
    messages: mpsc::Sender<Message>,
}

/// Messages of the pool actor.
pub enum Message {
    /// A host asks for a place.
    Place(Box<PlaceAsk>, oneshot::Sender<Reply>),
    /// A host asks for another decode engine.
    Replace(PoolKey, AttemptId, oneshot::Sender<Reply>),
    /// A host tells what became of attempts.
    Notes(PoolKey, Vec<Note>),
    /// Something happened to a pool's engine.
    Engine(PoolKey, Event),
    /// A host run is there.
    HostCame(HostId),
    /// A host run is gone.
    HostGone(HostId),
    /// Give waiting requests back to their hosts.
    Close,
}

/// What the actor works with.
pub struct PoolsParts {
    /// This host run.
    pub id: HostId,
    /// Its region.
    pub region: Arc<str>,
    /// Rules and times.
    pub tuning: PoolTuning,
    /// Configuration in force.
    pub config: watch::Receiver<ConfigState>,
    /// Who is there.
    pub view: watch::Receiver<Arc<View>>,
    /// Calls to peers.
    pub link: Arc<dyn Link>,
    /// Calls to engines.
    pub engines: Arc<dyn Engines>,
    /// Carries out cancels.
    pub reaper: Reaper,
    /// This host's own attempts.
    pub running: Arc<Running>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl Pools {
    /// Makes the handle and the queue that [`Pools::start`] reads.
    pub fn channel() -> (Self, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE);
        (Self { messages }, queue)
    }

    /// Starts the actor.
    pub fn start(&self, parts: PoolsParts, queue: mpsc::Receiver<Message>) {
        let actor = Actor {
            parts,
            handle: self.clone(),
            pools: HashMap::new(),
            started: Instant::now(),
            closing: false,
        };
        tokio::spawn(actor.run(queue));
    }

    /// Asks this host for a place.
    pub async fn place(&self, ask: PlaceAsk) -> Reply {
        self.ask(|reply| Message::Place(Box::new(ask), reply)).await
    }

    /// Asks this host for another decode engine.
    pub async fn replace(&self, pool: PoolKey, attempt: AttemptId) -> Reply {
        self.ask(|reply| Message::Replace(pool, attempt, reply)).await
    }

    /// Tells this host what became of attempts.
    pub async fn notes(&self, pool: PoolKey, notes: Vec<Note>) {
        let _ = self.messages.send(Message::Notes(pool, notes)).await;
    }

    /// Tells of an event at an engine; false when the host is stopping.
    pub async fn engine(&self, pool: PoolKey, event: Event) -> bool {
        self.messages.send(Message::Engine(pool, event)).await.is_ok()
    }

    /// Tells that a host run is there.
    pub fn host_came(&self, id: HostId) {
        self.send(Message::HostCame(id));
    }

    /// Tells that a host run is gone.
    pub fn host_gone(&self, id: HostId) {
        self.send(Message::HostGone(id));
    }

    /// Gives waiting requests back to their hosts.
    pub async fn close(&self) {
        let _ = self.messages.send(Message::Close).await;
    }

    async fn ask(&self, message: impl FnOnce(oneshot::Sender<Reply>) -> Message) -> Reply {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(message(reply)).await.is_err() {
            return Reply::NotOwner;
        }
        answer.await.unwrap_or(Reply::NotOwner)
    }

    fn send(&self, message: Message) {
        let messages = self.messages.clone();
        if let Err(mpsc::error::TrySendError::Full(message)) = messages.try_send(message) {
            tokio::spawn(async move { messages.send(message).await });
        }
    }
}

/// The number of parts of a model's pool in a region.
pub fn part_count(document: &Document, region: &str, model: &str) -> u32 {
    let engines = document.upstreams.values().filter(|upstream| match &upstream.kind {
        UpstreamKind::Prefill { model: of } | UpstreamKind::Decode { model: of, .. } => {
            of.as_ref() == model && document.is_in_region(&upstream.data_centre, region)
        }
        UpstreamKind::Service { .. } => false,
    });
    engines.count().div_ceil(PART_ENGINES).max(1) as u32
}

struct Actor {
    parts: PoolsParts,
    handle: Pools,
    pools: HashMap<PoolKey, Owned>,
    started: Instant,
    closing: bool,
}

/// A pool that runs here.
struct Owned {
    pool: Pool,
    waiting: HashMap<AttemptId, oneshot::Sender<Reply>>,
    addresses: HashMap<Arc<str>, EngineAddress>,
    engines: watch::Sender<Vec<EngineAddress>>,
    used: Instant,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        let mut config = self.parts.config.clone();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut cleanups = tokio::time::interval(IDLE / 2);
        loop {
            let waits = self.pools.values().any(|owned| owned.pool.waiting() > 0);
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                _ = ticks.tick(), if waits => self.tick(),
                _ = cleanups.tick() => self.drop_idle(),
                changed = config.changed() => match changed {
                    Ok(()) => self.reconfigure(),
                    Err(_) => return,
                },
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Place(ask, reply) => {
                if self.closing {
                    let _ = reply.send(Reply::NotOwner);
                    return;
                }
                let key = ask.pool.clone();
                let job = job(now, *ask);
                let owned = self.pool(&key);
                owned.used = now;
                owned.waiting.insert(job.attempt.clone(), reply);
                self.step(&key, Event::Arrive(job));
            }
            Message::Replace(key, attempt, reply) => {
                let owned = self.pool(&key);
                owned.waiting.insert(attempt.clone(), reply);
                self.step(&key, Event::TransferFailed(attempt.clone()));
                // An attempt that this pool does not know gets no other place here.
                if let Some(reply) = self.pool(&key).waiting.remove(&attempt) {
                    let _ = reply.send(Reply::Place(PlaceReply::Full));
                }
            }
            Message::Notes(key, notes) => {
                for note in notes {
                    self.step(&key, event(note));
                }
            }
            Message::Engine(key, event) => {
                if self.pools.contains_key(&key) {
                    self.step(&key, event);
                }
            }
            Message::HostCame(id) => {
                self.step_all(|| Event::HostUp(id.host.clone(), id.incarnation));
            }
            Message::HostGone(id) => {
                self.step_all(|| Event::HostDown(id.host.clone(), id.incarnation));
            }
            Message::Close => self.close(),
        }
    }

    fn tick(&mut self) {
        for owned in self.pools.values_mut() {
            let gone = owned.waiting.iter().filter(|(_, reply)| reply.is_closed());
            let gone: Vec<AttemptId> = gone.map(|(attempt, _)| attempt.clone()).collect();
            for attempt in gone {
                owned.waiting.remove(&attempt);
                owned.pool.step(Instant::now(), Event::Finished(attempt));
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
        let owned = self.pool(key);
        let actions = owned.pool.step(Instant::now(), event);
        for action in actions {
            self.act(key, action);
        }
        let queued = self.pool(key).pool.waiting();
        let label = format!("{}/{}", key.model, key.part);
        self.parts.metrics.queued.with_label_values(&[&label]).set(queued as i64);
    }

    fn act(&mut self, key: &PoolKey, action: Action) {
        let owned = self.pool(key);
        match action {
            Action::Place(attempt, place) => {
                let placed = PlaceReply::Placed { prefill: place.prefill, decode: place.decode };
                let reply = owned.waiting.remove(&attempt);
                let told = reply.is_some_and(|reply| reply.send(Reply::Place(placed)).is_ok());
                if !told {
                    owned.pool.step(Instant::now(), Event::Finished(attempt));
                }
            }
            Action::Refuse(attempt, refusal) => {
                let refused = match refusal {
                    Refusal::Full => PlaceReply::Full,
                    Refusal::NoEngine => PlaceReply::NoEngine,
                };
                if let Some(reply) = owned.waiting.remove(&attempt) {
                    let _ = reply.send(Reply::Place(refused));
                }
            }
            Action::Cancel(engine, attempt) => {
                if let Some(address) = owned.addresses.get(&engine).cloned() {
                    log::info!("pools: cancels {attempt} on {engine}");
                    self.parts.reaper.cancel(address, attempt);
                }
            }
            Action::Verify(engine, attempt) => self.verify(key, engine, attempt),
        }
    }

    /// Asks an attempt's host whether the attempt is still its own.
    fn verify(&self, key: &PoolKey, engine: Arc<str>, attempt: AttemptId) {
        let id = HostId { host: attempt.host.clone(), incarnation: attempt.incarnation };
        let denied = Event::Denied(engine, attempt.clone());
        let gone = Event::HostDown(id.host.clone(), id.incarnation);
        let (handle, key) = (self.handle.clone(), key.clone());
        if id == self.parts.id {
            if !self.parts.running.holds(&attempt) {
                tokio::spawn(async move { handle.engine(key, denied).await });
            }
            return;
        }
        let view = self.parts.view.borrow().clone();
        let Some(address) = view.address(&id) else {
            let replaced = view.host(&id.host).is_some();
            let settled = self.started.elapsed() > self.parts.tuning.silence * 2;
            if replaced || settled {
                tokio::spawn(async move { handle.engine(key, gone).await });
            }
            return;
        };
        let link = self.parts.link.clone();
        tokio::spawn(async move {
            if is_denied(link, address, attempt).await {
                handle.engine(key, denied).await;
            }
        });
    }

    fn pool(&mut self, key: &PoolKey) -> &mut Owned {
        let parts = &self.parts;
        let handle = &self.handle;
        self.pools.entry(key.clone()).or_insert_with(|| {
            let document = parts.config.borrow().snapshot.document.clone();
            let mut rules = parts.tuning.rules.clone();
            // A batch holds requests of all classes, so the strictest pace bounds it.
            let paces = [Class::Short, Class::Long].map(|class| document.target(class).pace_ms);
            rules.pace = rules.pace.and(paces.iter().min().map(|ms| Duration::from_millis(*ms)));
            let mut pool = Pool::new(rules);
            let engines = engines(&document, key);
            let infos = engines.iter().map(|(info, _)| info.clone()).collect();
            pool.step(Instant::now(), Event::Engines(infos));
            let addresses: Vec<EngineAddress> =
                engines.into_iter().map(|(_, address)| address).collect();
            let (sender, receiver) = watch::channel(addresses.clone());
            let poller = polls::Poller {
                key: key.clone(),
                pools: handle.clone(),
                engines: parts.engines.clone(),
                poll: parts.tuning.poll,
            };
            tokio::spawn(poller.run(receiver));
            Owned {
                pool,
                waiting: HashMap::new(),
                addresses: by_name(addresses),
                engines: sender,
                used: Instant::now(),
            }
        })
    }

    fn reconfigure(&mut self) {
        let document = self.parts.config.borrow().snapshot.document.clone();
        let keys: Vec<PoolKey> = self.pools.keys().cloned().collect();
        for key in keys {
            let engines = engines(&document, &key);
            let infos = engines.iter().map(|(info, _)| info.clone()).collect();
            let addresses: Vec<EngineAddress> =
                engines.into_iter().map(|(_, address)| address).collect();
            let owned = self.pool(&key);
            owned.addresses.extend(by_name(addresses.clone()));
            owned.engines.send_replace(addresses);
            self.step(&key, Event::Engines(infos));
        }
    }

    fn drop_idle(&mut self) {
        let view = self.parts.view.borrow().clone();
        let now = Instant::now();
        self.pools.retain(|key, owned| {
            let owner = view.owner_near(&key.text());
            let own = owner.is_some_and(|owner| view.is_own(owner));
            own || now - owned.used < IDLE || owned.pool.waiting() + owned.pool.placed() > 0
        });
    }

    fn close(&mut self) {
        self.closing = true;
        for owned in self.pools.values_mut() {
            for (attempt, reply) in owned.waiting.drain() {
                let _ = reply.send(Reply::NotOwner);
                owned.pool.step(Instant::now(), Event::Finished(attempt));
            }
        }
    }
}

async fn is_denied(link: Arc<dyn Link>, address: SocketAddr, attempt: AttemptId) -> bool {
    let ask = Ask::Verify(vec![attempt.clone()]);
    match link.call_idempotent(address, &ask, VERIFY_TIME).await {
        Ok(Reply::Denied(denied)) => denied.contains(&attempt),
        Ok(_) => false,
        Err(error) => {
            log::debug!("pools: {error}");
            false
        }
    }
}

fn job(now: Instant, ask: PlaceAsk) -> Job {
    Job {
        attempt: ask.attempt,
        flow: Flow { customer: ask.customer, priority: ask.priority },
        weight: ask.weight.max(f64::MIN_POSITIVE),
        prompt: ask.prompt,
        output: ask.output,
        blocks: ask.pieces,
        data_centre: ask.data_centre,
        due: now + Duration::from_millis(ask.due_ms),
        expires: now + Duration::from_millis(ask.wait_ms),
    }
}

fn event(note: Note) -> Event {
    match note {
        Note::Prefilled(attempt, tokens, micros) => {
            Event::Prefilled { attempt, tokens, time: Duration::from_micros(micros) }
        }
        Note::Finished(attempt) => Event::Finished(attempt),
        Note::Adopt(attempt, decode) => Event::Adopt { attempt, decode },
        Note::Failed(engine) => Event::Failed(engine),
    }
}

/// The engines of one part of a pool, in the order of their names.
///
/// Prefill and decode engines are dealt to the parts separately, so each part has both.
fn engines(document: &Document, key: &PoolKey) -> Vec<(EngineInfo, EngineAddress)> {
    let parts = part_count(document, &key.region, &key.model) as usize;
    let mut dealt = [0_usize; 2];
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
        let count = &mut dealt[usize::from(role == EngineRole::Prefill)];
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
        let address =
            EngineAddress { name: name.clone(), address: upstream.address, tls: upstream.tls };
        found.push((info, address));
    }
    found
}

fn by_name(addresses: Vec<EngineAddress>) -> HashMap<Arc<str>, EngineAddress> {
    addresses.into_iter().map(|address| (address.name.clone(), address)).collect()
}
