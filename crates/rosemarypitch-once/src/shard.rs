//! Writes the claims of one shard to the platform, many in one call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_store::{Entry, Store, StoreError, Swap, Version};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claim::{ClaimReply, ClaimRequest};
use crate::record::{Archive, ClaimChange, Head};
use crate::table::{ClaimTable, RETAINED_WINDOWS, WINDOW_DURATION};

/// Shards of all claims.
pub const SHARD_COUNT: u64 = 16;
/// Archive values of a shard, used in turn.
const ARCHIVES: u64 = RETAINED_WINDOWS + 4;
/// Shortest time between two writes of a shard.
const WRITE_GAP: Duration = Duration::from_millis(20);
/// Changes that may wait for a write.
const QUEUE: usize = 1_024;
/// Changes in one write.
const MAX_BATCH: usize = 256;
/// Items at which a window is closed before its time.
const MAX_WINDOW_CHANGES: usize = 1_500;
/// Tries of a write that meets other writers.
const MAX_TRIES: u32 = 5;

/// The shard of a key.
pub fn shard_of(key: &str) -> u64 {
    let sum = key.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(131).wrapping_add(byte.into()));
    sum % SHARD_COUNT
}

/// Why a shard could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ShardError {
    /// The platform gave no answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A value was not in the stored form.
    #[error("value {key}: {error}")]
    Value {
        /// Its key.
        key: String,
        /// What was wrong.
        error: serde_json::Error,
    },
    /// Other writers were always first.
    #[error("shard {0} is contended")]
    Contended(u64),
}

/// Handle of a shard's writer; the writer ends when all handles are gone.
#[derive(Clone, Debug)]
pub struct Shard {
    asks: mpsc::Sender<Ask>,
}

#[derive(Debug)]
struct Ask {
    ask: ClaimRequest,
    reply: oneshot::Sender<ClaimReply>,
}

impl Shard {
    /// Starts the writer of shard `index`; `writer` names this host run.
    pub fn start(store: Arc<dyn Store>, index: u64, writer: Arc<str>) -> Self {
        let (asks, queue) = mpsc::channel(QUEUE);
        let state = Writer {
            store,
            index,
            name: writer,
            writes: 0,
            table: ClaimTable::default(),
            head: Head::default(),
            version: None,
            opened: Instant::now(),
        };
        tokio::spawn(state.run(queue));
        Self { asks }
    }

    /// Makes a change and waits until it is stored.
    pub async fn submit(&self, ask: ClaimRequest) -> ClaimReply {
        let (reply, answer) = oneshot::channel();
        if self.asks.send(Ask { ask, reply }).await.is_err() {
            return ClaimReply::Unavailable;
        }
        answer.await.unwrap_or(ClaimReply::Unavailable)
    }
}

struct Writer {
    store: Arc<dyn Store>,
    index: u64,
    name: Arc<str>,
    writes: u64,
    table: ClaimTable,
    head: Head,
    version: Option<Version>,
    opened: Instant,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::Receiver<Ask>) {
        let mut batch = Vec::new();
        while queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let asks: Vec<ClaimRequest> = batch.iter().map(|ask| ask.ask.clone()).collect();
            let replies = match self.write(&asks).await {
                Ok(replies) => replies,
                Err(error) => {
                    log::warn!("claims: shard {}: {error}", self.index);
                    self.version = None;
                    vec![ClaimReply::Unavailable; asks.len()]
                }
            };
            for (ask, reply) in batch.drain(..).zip(replies) {
                // A caller that no longer waits learns the outcome when it repeats.
                let _ = ask.reply.send(reply);
            }
            tokio::time::sleep(WRITE_GAP).await;
        }
    }

    async fn write(&mut self, asks: &[ClaimRequest]) -> Result<Vec<ClaimReply>, ShardError> {
        for _ in 0..MAX_TRIES {
            let version = match self.version {
                Some(version) => version,
                None => self.reload().await?,
            };
            if !self.head.closing.is_empty() && !self.archive().await? {
                continue;
            }
            if self.is_window_over() {
                self.roll(version).await?;
                continue;
            }
            let mut table = self.table.clone();
            let (replies, changes): (Vec<_>, Vec<_>) =
                asks.iter().map(|ask| table.apply(ask)).unzip();
            let changes: Vec<ClaimChange> = changes.into_iter().flatten().collect();
            if changes.is_empty() {
                return Ok(replies);
            }
            let mut head = self.head.clone();
            head.closing.clear();
            head.changes.extend(changes);
            if self.swap_head(version, head).await? {
                self.table = table;
                return Ok(replies);
            }
        }
        Err(ShardError::Contended(self.index))
    }

    /// Stores a new head; false when another writer was first.
    async fn swap_head(&mut self, version: Version, head: Head) -> Result<bool, ShardError> {
        let key = self.head_key();
        let value = encode(&key, &head)?;
        let writer = self.next_write();
        match self.store.swap(&key, version, &writer, value).await? {
            Swap::Stored(version) => {
                self.version = Some(version);
                self.head = head;
                Ok(true)
            }
            Swap::Conflict(_) => {
                self.version = None;
                Ok(false)
            }
        }
    }

    /// Reads the head and the windows that this writer has not seen.
    async fn reload(&mut self) -> Result<Version, ShardError> {
        let key = self.head_key();
        let entry = self.store.read(&key).await?;
        let version = entry.as_ref().map_or(0, |entry| entry.version);
        let head: Head = decode(&key, entry.as_ref())?;
        let oldest = head.window.saturating_sub(RETAINED_WINDOWS);
        let mut table = ClaimTable::default();
        for window in oldest..head.window {
            if let Some(archive) = self.read_archive(window).await? {
                table.load(window, &archive.changes);
            }
        }
        table.load(head.window.saturating_sub(1), &head.closing);
        table.load(head.window, &head.changes);
        if head.window != self.head.window {
            self.opened = Instant::now();
        }
        self.table = table;
        self.head = head;
        self.version = Some(version);
        Ok(version)
    }

    async fn read_archive(&self, window: u64) -> Result<Option<Archive>, ShardError> {
        let key = self.archive_key(window);
        let entry = self.store.read(&key).await?;
        let archive: Archive = decode(&key, entry.as_ref())?;
        Ok((archive.window == window).then_some(archive))
    }

    fn is_window_over(&self) -> bool {
        let old = self.opened.elapsed() > WINDOW_DURATION && !self.head.changes.is_empty();
        old || self.head.changes.len() >= MAX_WINDOW_CHANGES
    }

    /// Closes the present window and opens the next.
    async fn roll(&mut self, version: Version) -> Result<(), ShardError> {
        let window = self.head.window + 1;
        let next = Head { window, changes: Vec::new(), closing: self.head.changes.clone() };
        if self.swap_head(version, next).await? {
            self.opened = Instant::now();
            self.table.load(window, &[]);
        }
        Ok(())
    }

    /// Archives the closed window; false when the head must be read again.
    ///
    /// The closed window never changes, so that every writer archives the same items.
    async fn archive(&mut self) -> Result<bool, ShardError> {
        let window = self.head.window - 1;
        let key = self.archive_key(window);
        let entry = self.store.read(&key).await?;
        let present: Archive = decode(&key, entry.as_ref())?;
        let is_stale = present.window > window;
        if is_stale || entry.is_some() && present.window == window {
            self.version = if is_stale { None } else { self.version };
            return Ok(!is_stale);
        }
        let archive = Archive { window, changes: self.head.closing.clone() };
        let value = encode(&key, &archive)?;
        let writer = self.next_write();
        let expected = entry.map_or(0, |entry| entry.version);
        let swap = self.store.swap(&key, expected, &writer, value).await?;
        let stored = matches!(swap, Swap::Stored(_));
        if !stored {
            self.version = None;
        }
        Ok(stored)
    }

    fn next_write(&mut self) -> String {
        self.writes += 1;
        format!("{}/{}/{}", self.name, self.index, self.writes)
    }

    fn head_key(&self) -> String {
        format!("once/{}", self.index)
    }

    fn archive_key(&self, window: u64) -> String {
        format!("once/{}/{}", self.index, window % ARCHIVES)
    }
}

fn encode(key: &str, value: &impl Serialize) -> Result<Bytes, ShardError> {
    let bytes = serde_json::to_vec(value);
    bytes.map(Bytes::from).map_err(|error| ShardError::Value { key: key.to_owned(), error })
}

fn decode<T: DeserializeOwned + Default>(
    key: &str,
    entry: Option<&Entry>,
) -> Result<T, ShardError> {
    let Some(entry) = entry else { return Ok(T::default()) };
    serde_json::from_slice(&entry.value)
        .map_err(|error| ShardError::Value { key: key.to_owned(), error })
}
