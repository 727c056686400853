//! Stores changes to the claims of a shard in the platform, batched into single writes.
//!
//! A shard has one head value and a ring of archive values. Every write is a
//! compare-and-swap on a version that was read before, and after a conflict or an error the
//! head is read again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosemarypitch_store::{Entry, Store, StoreError, SwapOutcome, Version};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claim::{ClaimReply, ClaimRequest};
use crate::record::{Archive, ClaimChange, Head};
use crate::table::{ClaimTable, RETAINED_WINDOWS, WINDOW_DURATION};

/// Number of shards.
pub const SHARD_COUNT: u64 = 16;
/// Number of archive values of a shard, which are reused in turn.
const ARCHIVE_SLOTS: u64 = RETAINED_WINDOWS + 4;
/// Pause after each write, in which further requests are batched.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Most requests that wait for a write.
const QUEUE_CAPACITY: usize = 1_024;
/// Most requests in one write.
const MAX_BATCH: usize = 256;
/// Number of changes at which a window is closed before [`WINDOW_DURATION`].
const MAX_WINDOW_CHANGES: usize = 1_500;
/// Most tries of a write, including those that close or archive a window.
const MAX_TRIES: u32 = 5;

/// The shard to which a key is hashed.
pub fn shard_of(key: &str) -> u64 {
    let hash =
        key.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(131).wrapping_add(byte.into()));
    hash % SHARD_COUNT
}

/// Why a shard could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ShardError {
    /// A call to the platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A value could not be encoded or decoded as JSON.
    #[error("invalid JSON of value {key}: {error}")]
    Value {
        /// Key of the value in the platform.
        key: String,
        /// The error of the JSON encoder or decoder.
        error: serde_json::Error,
    },
    /// All tries of a write to this shard were used up, usually by conflicts with other writers.
    #[error("too many conflicting writes to shard {0}")]
    Contended(u64),
}

/// Handle of a shard's writer task, which ends when all handles are dropped.
#[derive(Clone, Debug)]
pub struct Shard {
    submissions: mpsc::Sender<Submission>,
}

/// A request with the channel for its reply.
#[derive(Debug)]
struct Submission {
    request: ClaimRequest,
    reply: oneshot::Sender<ClaimReply>,
}

impl Shard {
    /// Starts the writer task of shard `index`.
    ///
    /// `writer` identifies the process; write identifiers derived from it must be unique.
    pub fn start(store: Arc<dyn Store>, index: u64, writer: Arc<str>) -> Self {
        let (submissions, queue) = mpsc::channel(QUEUE_CAPACITY);
        let state = Writer {
            store,
            index,
            name: writer,
            writes: 0,
            table: ClaimTable::default(),
            head: Head::default(),
            version: None,
            window_opened: Instant::now(),
        };
        tokio::spawn(state.run(queue));
        Self { submissions }
    }

    /// Submits a request and waits until its change is stored or the write has failed.
    pub async fn submit(&self, request: ClaimRequest) -> ClaimReply {
        let (reply, receiver) = oneshot::channel();
        if self.submissions.send(Submission { request, reply }).await.is_err() {
            return ClaimReply::Unavailable;
        }
        receiver.await.unwrap_or(ClaimReply::Unavailable)
    }
}

/// State of the writer task, which caches the stored values of its shard.
struct Writer {
    store: Arc<dyn Store>,
    index: u64,
    /// Prefix of write identifiers.
    name: Arc<str>,
    /// Number of write identifiers used.
    writes: u64,
    table: ClaimTable,
    head: Head,
    /// Version of the cached head; `None` if the head must be read again.
    version: Option<Version>,
    /// When this task first saw the current window.
    window_opened: Instant,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::Receiver<Submission>) {
        let mut batch = Vec::new();
        while queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let requests: Vec<ClaimRequest> =
                batch.iter().map(|submission| submission.request.clone()).collect();
            let replies = match self.write(&requests).await {
                Ok(replies) => replies,
                Err(error) => {
                    log::warn!("claims: shard {}: {error}", self.index);
                    self.version = None;
                    vec![ClaimReply::Unavailable; requests.len()]
                }
            };
            for (submission, reply) in batch.drain(..).zip(replies) {
                // The receiver may be gone; a retry of the call finds the stored claim.
                let _ = submission.reply.send(reply);
            }
            tokio::time::sleep(MIN_WRITE_INTERVAL).await;
        }
    }

    /// Applies a batch of requests, stores the changes in one write and returns the replies.
    async fn write(&mut self, requests: &[ClaimRequest]) -> Result<Vec<ClaimReply>, ShardError> {
        for _ in 0..MAX_TRIES {
            let version = match self.version {
                Some(version) => version,
                None => self.reload().await?,
            };
            if !self.head.closing.is_empty() && !self.archive().await? {
                continue;
            }
            if self.is_window_over() {
                self.close_window(version).await?;
                continue;
            }
            let mut table = self.table.clone();
            let (replies, changes): (Vec<_>, Vec<_>) =
                requests.iter().map(|request| table.apply(request)).unzip();
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

    /// Stores a new head; returns false on a conflict with another writer.
    async fn swap_head(&mut self, version: Version, head: Head) -> Result<bool, ShardError> {
        let key = self.head_key();
        let value = encode(&key, &head)?;
        let write_id = self.next_write_id();
        match self.store.compare_and_swap(&key, version, &write_id, value).await? {
            SwapOutcome::Stored(version) => {
                self.version = Some(version);
                self.head = head;
                Ok(true)
            }
            SwapOutcome::Conflict(_) => {
                self.version = None;
                Ok(false)
            }
        }
    }

    /// Reads the head and all retained windows, and rebuilds the table from them.
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
            self.window_opened = Instant::now();
        }
        self.table = table;
        self.head = head;
        self.version = Some(version);
        Ok(version)
    }

    /// Reads the archive of a window; `None` if it is not stored or its slot was reused.
    async fn read_archive(&self, window: u64) -> Result<Option<Archive>, ShardError> {
        let key = self.archive_key(window);
        let entry = self.store.read(&key).await?;
        let archive: Archive = decode(&key, entry.as_ref())?;
        Ok((archive.window == window).then_some(archive))
    }

    fn is_window_over(&self) -> bool {
        let expired =
            self.window_opened.elapsed() > WINDOW_DURATION && !self.head.changes.is_empty();
        expired || self.head.changes.len() >= MAX_WINDOW_CHANGES
    }

    /// Closes the current window and opens the next one.
    async fn close_window(&mut self, version: Version) -> Result<(), ShardError> {
        let window = self.head.window + 1;
        let next = Head { window, changes: Vec::new(), closing: self.head.changes.clone() };
        if self.swap_head(version, next).await? {
            self.window_opened = Instant::now();
            self.table.load(window, &[]);
        }
        Ok(())
    }

    /// Archives the closed window; returns false if the head must be read again.
    ///
    /// A closed window never changes, so all writers archive the same changes.
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
        let write_id = self.next_write_id();
        let expected = entry.map_or(0, |entry| entry.version);
        let swap = self.store.compare_and_swap(&key, expected, &write_id, value).await?;
        let stored = matches!(swap, SwapOutcome::Stored(_));
        if !stored {
            self.version = None;
        }
        Ok(stored)
    }

    fn next_write_id(&mut self) -> String {
        self.writes += 1;
        format!("{}/{}/{}", self.name, self.index, self.writes)
    }

    fn head_key(&self) -> String {
        format!("once/{}", self.index)
    }

    fn archive_key(&self, window: u64) -> String {
        format!("once/{}/{}", self.index, window % ARCHIVE_SLOTS)
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
