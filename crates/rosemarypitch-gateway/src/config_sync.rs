//! Keeps this host's configuration up to date and commits patches to it.
//!
//! The platform's store holds one value per configuration document, and a small head value
//! with the number of the active document and its key. A patch first stores its document
//! and then updates the head by compare-and-swap, so exactly one patch wins each number. A
//! few hosts of each data centre watch the head; the others receive a new number in
//! heartbeats and fetch the document from the peer that sent it. A document with a lower
//! number than the active one is never applied, whatever its source.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_config::{Digest, Document, Patch, PatchError, Snapshot};
use rosemarypitch_limit::rank;
use rosemarypitch_peer::{PeerReply, PeerRequest, PeerTransport};
use rosemarypitch_store::{Entry, Store, StoreError, SwapOutcome, Version};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::view::View;

/// Store key of the head value.
const HEAD_KEY: &str = "config/head";
/// Capacity of the actor's message queue.
const QUEUE_CAPACITY: usize = 256;
/// Timeout of one long-polling watch of the head.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which hosts that do not watch the head read it.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the next call to the store after a failed one or a missing head.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of hosts that watch the head in each data centre.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Timeout for fetching a document from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle to the actor that synchronizes the configuration.
#[derive(Clone)]
pub struct ConfigSync {
    messages: mpsc::Sender<Message>,
}

/// Active configuration of this host and how recently it was confirmed.
#[derive(Clone, Debug)]
pub struct ConfigState {
    /// The document with its indexes.
    pub snapshot: Arc<Snapshot>,
    /// Time at which the store last confirmed the number, to this host or to a peer.
    pub confirmed_at: Option<Instant>,
    /// Highest number that any peer has sent.
    pub newest_number: u64,
    started_at: Instant,
}

impl ConfigState {
    /// Returns the number of the active document.
    pub fn number(&self) -> u64 {
        self.snapshot.number()
    }

    /// Returns the time since the last confirmation, or since start if there was none.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at.unwrap_or(self.started_at))
    }

    /// Returns whether requests may be served: the number has been confirmed, and no peer has
    /// sent a higher one.
    pub fn is_ready(&self) -> bool {
        self.confirmed_at.is_some() && self.number() >= self.newest_number
    }
}

/// Outcome of a patch.
#[derive(Clone, Debug)]
pub enum PatchOutcome {
    /// Committed; active on this host and soon on all others.
    Accepted(Arc<Document>),
    /// Already committed earlier, as this number.
    Repeated(u64),
    /// Rejected without any effect.
    Rejected(PatchError),
    /// Not stored; the text is the cause.
    NotStored(String),
    /// Unknown, with the cause; repeating the patch with the same identifier resolves it.
    Unknown(String),
}

enum Message {
    Patch { patch: Patch, base: u64, id: Arc<str>, reply: oneshot::Sender<PatchOutcome> },
    Activate { document: Arc<Document>, version: Option<Version> },
    Confirm { number: u64, at: Instant },
    PeerNumber { peer: SocketAddr, number: u64, confirmed_at: Option<Instant> },
    FetchEnded,
}

/// Head value as stored in JSON: the active document's number and store key.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    number: u64,
    key: String,
}

/// Dependencies of the configuration actor.
pub struct ConfigSyncDeps {
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Client for calls to peers.
    pub transport: Arc<dyn PeerTransport>,
    /// Current membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
}

impl ConfigSync {
    /// Spawns the actor and returns its handle and the active configuration.
    pub fn start(deps: ConfigSyncDeps) -> (Self, watch::Receiver<ConfigState>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let handle = Self { messages };
        let state = ConfigState {
            snapshot: Arc::default(),
            confirmed_at: None,
            newest_number: 0,
            started_at: Instant::now(),
        };
        let (state_sender, config) = watch::channel(state);
        let follower = HeadFollower {
            store: deps.store.clone(),
            view: deps.view.clone(),
            handle: handle.clone(),
            seen_version: 0,
        };
        tokio::spawn(follower.run());
        let actor =
            Actor { deps, handle: handle.clone(), state_sender, head: None, fetching: false };
        tokio::spawn(actor.run(queue));
        (handle, config)
    }

    /// Applies a patch to the document with number `base`; `id` makes it idempotent.
    pub async fn patch(&self, patch: Patch, base: u64, id: Arc<str>) -> PatchOutcome {
        let (reply, answer) = oneshot::channel();
        let message = Message::Patch { patch, base, id, reply };
        let stopped = || PatchOutcome::NotStored("the host is stopping".to_owned());
        if self.messages.send(message).await.is_err() {
            return stopped();
        }
        answer.await.unwrap_or_else(|_| stopped())
    }

    /// Records a peer's configuration number and when that was last confirmed.
    ///
    /// Fetches the document from the peer if the number is higher than the active one.
    pub fn observe_peer(&self, peer: SocketAddr, number: u64, confirmed_at: Option<Instant>) {
        // Dropping this on a full queue is harmless: the next heartbeat repeats it.
        let _ = self.messages.try_send(Message::PeerNumber { peer, number, confirmed_at });
    }
}

struct Actor {
    deps: ConfigSyncDeps,
    handle: ConfigSync,
    state_sender: watch::Sender<ConfigState>,
    head: Option<(u64, Version)>,
    fetching: bool,
}

impl Actor {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        while let Some(message) = queue.recv().await {
            match message {
                Message::Patch { patch, base, id, reply } => {
                    let outcome = self.patch(&patch, base, &id).await;
                    let _ = reply.send(outcome);
                }
                Message::Activate { document, version } => self.activate(document, version),
                Message::Confirm { number, at } => self.confirm(number, at),
                Message::PeerNumber { peer, number, confirmed_at } => {
                    self.observe_peer(peer, number, confirmed_at)
                }
                Message::FetchEnded => self.fetching = false,
            }
        }
    }

    fn document(&self) -> Arc<Document> {
        self.state_sender.borrow().snapshot.document.clone()
    }

    /// Activates a document unless one with the same or a higher number is active.
    fn activate(&mut self, document: Arc<Document>, version: Option<Version>) {
        if let Some(version) = version {
            self.head = Some((document.number, version));
        }
        if document.number <= self.document().number {
            return;
        }
        log::info!("config: number {} is active", document.number);
        self.deps.metrics.config_number.set(document.number as i64);
        let snapshot = Arc::new(Snapshot::new(document));
        self.state_sender.send_modify(|state| state.snapshot = snapshot);
    }

    fn confirm(&self, number: u64, at: Instant) {
        self.state_sender.send_if_modified(|state| {
            let newer = state.confirmed_at.is_none_or(|confirmed| confirmed < at);
            if newer && state.number() >= number {
                state.confirmed_at = Some(at);
            }
            // Receivers are only woken by new documents; they read this time on demand.
            false
        });
    }

    fn observe_peer(&mut self, peer: SocketAddr, number: u64, confirmed_at: Option<Instant>) {
        self.state_sender.send_if_modified(|state| {
            state.newest_number = state.newest_number.max(number);
            false
        });
        if number <= self.document().number {
            if let Some(at) = confirmed_at {
                self.confirm(number, at);
            }
            return;
        }
        if std::mem::replace(&mut self.fetching, true) {
            return;
        }
        let (transport, handle, current) =
            (self.deps.transport.clone(), self.handle.clone(), self.document().number);
        tokio::spawn(async move {
            if let Some(document) = fetch(transport, peer, current).await {
                let _ = handle.messages.send(Message::Activate { document, version: None }).await;
            }
            let _ = handle.messages.send(Message::FetchEnded).await;
        });
    }

    async fn patch(&mut self, patch: &Patch, base: u64, id: &Arc<str>) -> PatchOutcome {
        if let Err(error) = self.catch_up().await {
            return PatchOutcome::NotStored(error.to_string());
        }
        let current = self.document();
        if let Some(mark) = current.patches.iter().find(|mark| mark.id == *id) {
            return PatchOutcome::Repeated(mark.number);
        }
        let document = match patch.apply(&current, base, id) {
            Ok(document) => Arc::new(document),
            Err(error) => return PatchOutcome::Rejected(error),
        };
        match self.commit(&document, id).await {
            Ok(Some(version)) => {
                self.activate(document.clone(), Some(version));
                self.confirm(document.number, Instant::now());
                PatchOutcome::Accepted(document)
            }
            Ok(None) => self.resolve_conflict(base, id).await,
            Err(error) if error.had_no_effect() => PatchOutcome::NotStored(error.to_string()),
            Err(error) => match self.catch_up().await {
                Ok(()) => self.resolve_conflict(base, id).await,
                Err(_) => PatchOutcome::Unknown(error.to_string()),
            },
        }
    }

    /// Determines the outcome of a patch after a conflict, from the document now active.
    async fn resolve_conflict(&mut self, base: u64, id: &Arc<str>) -> PatchOutcome {
        if let Err(error) = self.catch_up().await {
            return PatchOutcome::Unknown(error.to_string());
        }
        let current = self.document();
        match current.patches.iter().find(|mark| mark.id == *id) {
            Some(mark) => PatchOutcome::Repeated(mark.number),
            None => {
                let current = current.number;
                PatchOutcome::Rejected(PatchError::Stale { base, current })
            }
        }
    }

    /// Reads the head, and activates its document if that is newer.
    async fn catch_up(&mut self) -> Result<(), StoreError> {
        let Some(entry) = self.deps.store.read(HEAD_KEY).await? else {
            self.head = Some((0, 0));
            return Ok(());
        };
        let number = parse_head(&entry).map_or(0, |head| head.number);
        if number <= self.document().number {
            self.head = Some((number, entry.version));
        } else if let Some(document) = read_document(&self.deps.store, &entry).await? {
            self.activate(document, Some(entry.version));
        }
        Ok(())
    }

    /// Stores a document and then the head; returns `None` if another patch was first.
    async fn commit(
        &mut self,
        document: &Document,
        id: &str,
    ) -> Result<Option<Version>, StoreError> {
        let key = format!("config/doc/{}/{}", document.number, Digest::of(id).text());
        let value = serde_json::to_vec(document).map(Bytes::from).unwrap_or_default();
        let store = &self.deps.store;
        // The key is unique to this patch, so a conflict is an earlier attempt of the same one.
        store.compare_and_swap(&key, 0, id, value).await?;
        let head = Head { number: document.number, key };
        let value = serde_json::to_vec(&head).map(Bytes::from).unwrap_or_default();
        let Some((number, version)) = self.head else { return Ok(None) };
        if number + 1 != document.number {
            return Ok(None);
        }
        match store.compare_and_swap(HEAD_KEY, version, id, value).await? {
            SwapOutcome::Stored(version) => Ok(Some(version)),
            SwapOutcome::Conflict(_) => Ok(None),
        }
    }
}

/// Task that watches or polls the head value and passes changes to the actor.
struct HeadFollower {
    store: Arc<dyn Store>,
    view: watch::Receiver<Arc<View>>,
    handle: ConfigSync,
    seen_version: Version,
}

impl HeadFollower {
    async fn run(mut self) {
        loop {
            let started = Instant::now();
            let result = if self.seen_version == 0 || !self.is_watcher() {
                self.store.read(HEAD_KEY).await
            } else {
                self.store.watch(HEAD_KEY, self.seen_version, WATCH_TIMEOUT).await
            };
            let handled = match result {
                Ok(entry) => self.handle_head(started, entry).await,
                Err(error) => Err(error),
            };
            match handled {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    log::warn!("config: {error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            }
            if self.seen_version == 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            } else if !self.is_watcher() {
                // Stop waiting early if a membership change makes this host a watcher.
                let _ = tokio::time::timeout(POLL_INTERVAL, self.until_watcher()).await;
            }
        }
    }

    /// Passes a head value on to the actor; returns false if the actor has stopped.
    async fn handle_head(
        &mut self,
        started: Instant,
        entry: Option<Entry>,
    ) -> Result<bool, StoreError> {
        let Some(entry) = entry else {
            return Ok(self.send(Message::Confirm { number: 0, at: started }).await);
        };
        let number = parse_head(&entry).map_or(0, |head| head.number);
        if entry.version != self.seen_version
            && let Some(document) = read_document(&self.store, &entry).await?
        {
            self.seen_version = entry.version;
            let version = Some(entry.version);
            if !self.send(Message::Activate { document, version }).await {
                return Ok(false);
            }
        }
        Ok(self.send(Message::Confirm { number, at: started }).await)
    }

    async fn send(&self, message: Message) -> bool {
        self.handle.messages.send(message).await.is_ok()
    }

    /// Returns whether this host is among the highest ranked live hosts of its data centre.
    fn is_watcher(&self) -> bool {
        let view = self.view.borrow();
        let own = rank(HEAD_KEY, &view.own.id.host);
        let higher = view.live.iter().filter(|host| {
            host.data_centre == view.own.data_centre && rank(HEAD_KEY, &host.id.host) > own
        });
        higher.count() < WATCHERS_PER_DATA_CENTRE
    }

    async fn until_watcher(&mut self) {
        while !self.is_watcher() {
            if self.view.changed().await.is_err() {
                return;
            }
        }
    }
}

fn parse_head(entry: &Entry) -> Option<Head> {
    serde_json::from_slice(&entry.value).ok()
}

async fn read_document(
    store: &Arc<dyn Store>,
    entry: &Entry,
) -> Result<Option<Arc<Document>>, StoreError> {
    let Some(head) = parse_head(entry) else {
        log::error!("config: cannot parse the head value {HEAD_KEY}");
        return Ok(None);
    };
    let found = store.read(&head.key).await?;
    let document = found.and_then(|entry| parse_document(&entry.value));
    Ok(document.filter(|document| document.number == head.number))
}

async fn fetch(
    transport: Arc<dyn PeerTransport>,
    peer: SocketAddr,
    current: u64,
) -> Option<Arc<Document>> {
    match transport.call_idempotent(peer, &PeerRequest::Document(current), FETCH_TIMEOUT).await {
        Ok(PeerReply::Document(bytes)) => parse_document(&bytes?),
        Ok(_) => None,
        Err(error) => {
            log::warn!("config: {error}");
            None
        }
    }
}

fn parse_document(bytes: &[u8]) -> Option<Arc<Document>> {
    match serde_json::from_slice(bytes) {
        Ok(document) => Some(Arc::new(document)),
        Err(error) => {
            log::error!("config: cannot parse a document: {error}");
            None
        }
    }
}
