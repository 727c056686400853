//! Keeps the configuration in force, and puts accepted patches into force.
//!
//! The platform holds one small head value with the number in force and the key of its
//! document, and one value per document. A patch stores its document first and then
//! compares and swaps the head; exactly one patch wins each number. A few hosts of each
//! data centre watch the head; the others learn of a new number by heartbeats and fetch
//! the document from the peer that has it. A number below the one in force is never
//! applied, wherever it comes from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_config::{Digest, Document, Patch, PatchError, Snapshot};
use rosemarypitch_limit::rank;
use rosemarypitch_peer::{Ask, Link, Reply};
use rosemarypitch_store::{Entry, Store, StoreError, Swap, Version};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::view::View;

/// Key of the head value.
const HEAD_KEY: &str = "config/head";
/// Messages that may wait for the actor.
const QUEUE: usize = 256;
/// Longest wait of one watch.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Time between reads of the head by hosts that do not watch it.
const BACKSTOP: Duration = Duration::from_secs(60);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_secs(1);
/// Hosts of a data centre that watch the head.
const WATCHERS: usize = 2;
/// Longest wait for a document from a peer.
const FETCH_TIME: Duration = Duration::from_secs(2);

/// Handle of the configuration's keeper.
#[derive(Clone)]
pub struct ConfigSync {
    messages: mpsc::Sender<Message>,
}

/// The configuration in force on this host.
#[derive(Clone, Debug)]
pub struct ConfigState {
    /// The document, indexed.
    pub snapshot: Arc<Snapshot>,
    /// When the platform, or a peer that had asked it, last confirmed the number.
    pub confirmed_at: Option<Instant>,
    /// The greatest number that any peer has told of.
    pub newest_number: u64,
    started: Instant,
}

impl ConfigState {
    /// Number of the document in force.
    pub fn number(&self) -> u64 {
        self.snapshot.number()
    }

    /// Time since the number was confirmed, or since the start.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at.unwrap_or(self.started))
    }

    /// Whether requests may be served: some source told the number, and no peer has a
    /// newer one.
    pub fn is_ready(&self) -> bool {
        self.confirmed_at.is_some() && self.number() >= self.newest_number
    }
}

/// What became of a patch.
#[derive(Clone, Debug)]
pub enum PatchOutcome {
    /// It is in force on this host, and soon on all.
    Accepted(Arc<Document>),
    /// It was accepted before, as this number.
    Repeated(u64),
    /// It was rejected whole.
    Rejected(PatchError),
    /// It was not stored.
    NotStored(String),
    /// Its outcome is unknown; a repeat with the same identifier tells it.
    Unknown(String),
}

enum Message {
    Patch { patch: Patch, base: u64, id: Arc<str>, reply: oneshot::Sender<PatchOutcome> },
    Load { document: Arc<Document>, version: Option<Version> },
    Confirm { number: u64, at: Instant },
    Offer { peer: SocketAddr, number: u64, confirmed: Option<Instant> },
    Fetched,
}

/// The head value.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    number: u64,
    key: String,
}

/// What the keeper works with.
pub struct ConfigSyncParts {
    /// The platform.
    pub store: Arc<dyn Store>,
    /// Calls to peers.
    pub link: Arc<dyn Link>,
    /// Who is there.
    pub view: watch::Receiver<Arc<View>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl ConfigSync {
    /// Starts the actor, and gives what it has in force.
    pub fn start(parts: ConfigSyncParts) -> (Self, watch::Receiver<ConfigState>) {
        let (messages, queue) = mpsc::channel(QUEUE);
        let handle = Self { messages };
        let state = ConfigState {
            snapshot: Arc::default(),
            confirmed_at: None,
            newest_number: 0,
            started: Instant::now(),
        };
        let (publish, config) = watch::channel(state);
        let follower = Follower {
            store: parts.store.clone(),
            view: parts.view.clone(),
            handle: handle.clone(),
            seen: 0,
        };
        tokio::spawn(follower.run());
        let actor = Actor { parts, handle: handle.clone(), publish, head: None, fetching: false };
        tokio::spawn(actor.run(queue));
        (handle, config)
    }

    /// Applies a patch against number `base`; `id` makes it idempotent.
    pub async fn patch(&self, patch: Patch, base: u64, id: Arc<str>) -> PatchOutcome {
        let (reply, answer) = oneshot::channel();
        let message = Message::Patch { patch, base, id, reply };
        let stopped = || PatchOutcome::NotStored("the host is stopping".to_owned());
        if self.messages.send(message).await.is_err() {
            return stopped();
        }
        answer.await.unwrap_or_else(|_| stopped())
    }

    /// Tells that a peer has a number, and when that was last confirmed.
    pub fn observe_peer(&self, peer: SocketAddr, number: u64, confirmed: Option<Instant>) {
        // A full queue loses nothing: the next heartbeat offers again.
        let _ = self.messages.try_send(Message::Offer { peer, number, confirmed });
    }
}

struct Actor {
    parts: ConfigSyncParts,
    handle: ConfigSync,
    publish: watch::Sender<ConfigState>,
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
                Message::Load { document, version } => self.load(document, version),
                Message::Confirm { number, at } => self.confirm(number, at),
                Message::Offer { peer, number, confirmed } => {
                    self.observe_peer(peer, number, confirmed)
                }
                Message::Fetched => self.fetching = false,
            }
        }
    }

    fn document(&self) -> Arc<Document> {
        self.publish.borrow().snapshot.document.clone()
    }

    /// Puts a document into force, unless one as new is.
    fn load(&mut self, document: Arc<Document>, version: Option<Version>) {
        if let Some(version) = version {
            self.head = Some((document.number, version));
        }
        if document.number <= self.document().number {
            return;
        }
        log::info!("config: number {} in force", document.number);
        self.parts.metrics.config.set(document.number as i64);
        let snapshot = Arc::new(Snapshot::new(document));
        self.publish.send_modify(|state| state.snapshot = snapshot);
    }

    fn confirm(&self, number: u64, at: Instant) {
        self.publish.send_if_modified(|state| {
            let newer = state.confirmed_at.is_none_or(|confirmed| confirmed < at);
            if newer && state.number() >= number {
                state.confirmed_at = Some(at);
            }
            // Readers look at the time when they need it; only documents wake them.
            false
        });
    }

    fn observe_peer(&mut self, peer: SocketAddr, number: u64, confirmed: Option<Instant>) {
        self.publish.send_if_modified(|state| {
            state.newest_number = state.newest_number.max(number);
            false
        });
        if number <= self.document().number {
            if let Some(at) = confirmed {
                self.confirm(number, at);
            }
            return;
        }
        if std::mem::replace(&mut self.fetching, true) {
            return;
        }
        let (link, handle, have) =
            (self.parts.link.clone(), self.handle.clone(), self.document().number);
        tokio::spawn(async move {
            if let Some(document) = fetch(link, peer, have).await {
                let _ = handle.messages.send(Message::Load { document, version: None }).await;
            }
            let _ = handle.messages.send(Message::Fetched).await;
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
        match self.store(&document, id).await {
            Ok(Some(version)) => {
                self.load(document.clone(), Some(version));
                self.confirm(document.number, Instant::now());
                PatchOutcome::Accepted(document)
            }
            Ok(None) => self.settle(base, id).await,
            Err(error) if error.had_no_effect() => PatchOutcome::NotStored(error.to_string()),
            Err(error) => match self.catch_up().await {
                Ok(()) => self.settle(base, id).await,
                Err(_) => PatchOutcome::Unknown(error.to_string()),
            },
        }
    }

    /// Tells the outcome of a patch from the document that came after it.
    async fn settle(&mut self, base: u64, id: &Arc<str>) -> PatchOutcome {
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

    /// Reads the head, and its document if it is newer.
    async fn catch_up(&mut self) -> Result<(), StoreError> {
        let Some(entry) = self.parts.store.read(HEAD_KEY).await? else {
            self.head = Some((0, 0));
            return Ok(());
        };
        let number = head(&entry).map_or(0, |head| head.number);
        if number <= self.document().number {
            self.head = Some((number, entry.version));
        } else if let Some(document) = read_document(&self.parts.store, &entry).await? {
            self.load(document, Some(entry.version));
        }
        Ok(())
    }

    /// Stores a document and then the head; no version when another patch was first.
    async fn store(
        &mut self,
        document: &Document,
        id: &str,
    ) -> Result<Option<Version>, StoreError> {
        let key = format!("config/doc/{}/{}", document.number, Digest::of(id).text());
        let value = serde_json::to_vec(document).map(Bytes::from).unwrap_or_default();
        let store = &self.parts.store;
        // The key is the patch's own: a conflict is an earlier try of the same patch.
        store.swap(&key, 0, id, value).await?;
        let head = Head { number: document.number, key };
        let value = serde_json::to_vec(&head).map(Bytes::from).unwrap_or_default();
        let Some((number, version)) = self.head else { return Ok(None) };
        if number + 1 != document.number {
            return Ok(None);
        }
        match store.swap(HEAD_KEY, version, id, value).await? {
            Swap::Stored(version) => Ok(Some(version)),
            Swap::Conflict(_) => Ok(None),
        }
    }
}

/// Follows the head value.
struct Follower {
    store: Arc<dyn Store>,
    view: watch::Receiver<Arc<View>>,
    handle: ConfigSync,
    seen: Version,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let begun = Instant::now();
            let result = if self.seen == 0 || !self.is_watcher() {
                self.store.read(HEAD_KEY).await
            } else {
                self.store.watch(HEAD_KEY, self.seen, WATCH_TIME).await
            };
            let taken = match result {
                Ok(entry) => self.take(begun, entry).await,
                Err(error) => Err(error),
            };
            match taken {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    log::warn!("config: {error}");
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            }
            if self.seen == 0 {
                tokio::time::sleep(PAUSE).await;
            } else if !self.is_watcher() {
                // A change of membership may make this host a watcher.
                let _ = tokio::time::timeout(BACKSTOP, self.until_watcher()).await;
            }
        }
    }

    async fn take(&mut self, begun: Instant, entry: Option<Entry>) -> Result<bool, StoreError> {
        let Some(entry) = entry else {
            return Ok(self.send(Message::Confirm { number: 0, at: begun }).await);
        };
        let number = head(&entry).map_or(0, |head| head.number);
        if entry.version != self.seen
            && let Some(document) = read_document(&self.store, &entry).await?
        {
            self.seen = entry.version;
            let version = Some(entry.version);
            if !self.send(Message::Load { document, version }).await {
                return Ok(false);
            }
        }
        Ok(self.send(Message::Confirm { number, at: begun }).await)
    }

    async fn send(&self, message: Message) -> bool {
        self.handle.messages.send(message).await.is_ok()
    }

    fn is_watcher(&self) -> bool {
        let view = self.view.borrow();
        let own = rank(HEAD_KEY, &view.own.id.host);
        let before = view.live.iter().filter(|sighting| {
            sighting.data_centre == view.own.data_centre && rank(HEAD_KEY, &sighting.id.host) > own
        });
        before.count() < WATCHERS
    }

    async fn until_watcher(&mut self) {
        while !self.is_watcher() {
            if self.view.changed().await.is_err() {
                return;
            }
        }
    }
}

fn head(entry: &Entry) -> Option<Head> {
    serde_json::from_slice(&entry.value).ok()
}

async fn read_document(
    store: &Arc<dyn Store>,
    entry: &Entry,
) -> Result<Option<Arc<Document>>, StoreError> {
    let Some(head) = head(entry) else {
        log::error!("config: the head value cannot be read");
        return Ok(None);
    };
    let found = store.read(&head.key).await?;
    let document = found.and_then(|entry| parse(&entry.value));
    Ok(document.filter(|document| document.number == head.number))
}

async fn fetch(link: Arc<dyn Link>, peer: SocketAddr, have: u64) -> Option<Arc<Document>> {
    match link.call_idempotent(peer, &Ask::Document(have), FETCH_TIME).await {
        Ok(Reply::Document(bytes)) => parse(&bytes?),
        Ok(_) => None,
        Err(error) => {
            log::warn!("config: {error}");
            None
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Arc<Document>> {
    match serde_json::from_slice(bytes) {
        Ok(document) => Some(Arc::new(document)),
        Err(error) => {
            log::error!("config: a document cannot be read: {error}");
            None
        }
    }
}
