//! Account of the memory that bodies occupy together.
//!
//! The size of a single body is bounded, but many bodies at once may take more than a host has.
//! Each body reserves memory block by block, before it is filled, and returns it when its bytes are
//! dropped, which may be after they have been passed on. A part of the account is kept for small
//! bodies, so that ordinary requests are served beside large ones that make no progress.
//!
//! When the account is full, the body that has made no progress for longest is given up, which
//! leaves the room to those that arrive.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Minimum size of a block, in bytes.
const MIN_BLOCK_BYTES: usize = 1 << 10;
/// Maximum size of a block, in bytes.
const MAX_BLOCK_BYTES: usize = 64 << 10;
/// Largest size of a small body, in bytes; an ordinary request has a few thousand.
const SMALL_BODY_BYTES: usize = 16 << 10;
/// Fraction of the account that only small bodies may take.
const SMALL_FRACTION: f64 = 0.25;
/// Time without progress after which a body may be given up; a sender on a good link needs less
/// between two packets.
const STALL_TIME: Duration = Duration::from_millis(200);

/// Memory of all bodies of one kind, in bytes.
#[derive(Debug, Default)]
pub struct ByteAccount {
    limit: AtomicUsize,
    used: AtomicUsize,
    next_id: AtomicU64,
    /// Bodies that are still arriving.
    arriving: Mutex<HashMap<u64, Arrival>>,
}

/// A body that is still arriving.
#[derive(Debug)]
struct Arrival {
    /// When its last bytes arrived.
    progress: Instant,
    /// Notified when it is given up.
    given_up: Arc<Notify>,
}

impl ByteAccount {
    /// An account of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        let account = Self::default();
        account.set_limit(limit);
        Arc::new(account)
    }

    /// Changes the limit; what is reserved stays.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Bodies that are arriving.
    pub fn arriving(&self) -> usize {
        self.lock().len()
    }

    /// Gives up the body that has made no progress for longest, if it makes none; true if there is
    /// one.
    pub fn give_up_slowest(&self, now: Instant) -> bool {
        let mut arriving = self.lock();
        let slowest = arriving.iter().min_by_key(|(_, arrival)| arrival.progress);
        let slowest = slowest
            .filter(|(_, arrival)| now.saturating_duration_since(arrival.progress) >= STALL_TIME);
        let Some(id) = slowest.map(|(id, _)| *id) else { return false };
        if let Some(arrival) = arriving.remove(&id) {
            arrival.given_up.notify_one();
        }
        true
    }

    fn reserve(&self, bytes: usize, small: bool) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let limit = if small { limit } else { limit - (limit as f64 * SMALL_FRACTION) as usize };
        let reserve = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve).is_ok()
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arrival>> {
        self.arriving.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Why bytes cannot be added to a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BufferError {
    /// The body exceeds its own limit.
    #[error("body too long")]
    TooLong,
    /// The bodies of all together exceed the account.
    #[error("no memory left for bodies")]
    Full,
}

/// A body that is being buffered.
///
/// It grows by blocks that are never moved. A single allocation that doubles would be copied
/// again and again, and the parts that it leaves behind take several times its size.
#[derive(Debug)]
pub struct Buffer {
    account: Arc<ByteAccount>,
    /// Longest body, in bytes.
    max: usize,
    id: u64,
    given_up: Arc<Notify>,
    blocks: Vec<BytesMut>,
    /// Size of the received bytes.
    length: usize,
    /// Reserved bytes.
    reserved: usize,
}

impl Buffer {
    /// An empty body of at most `max` bytes.
    pub fn new(now: Instant, account: &Arc<ByteAccount>, max: usize) -> Self {
        let id = account.next_id.fetch_add(1, Ordering::Relaxed);
        let given_up = Arc::new(Notify::new());
        account.lock().insert(id, Arrival { progress: now, given_up: given_up.clone() });
        let account = account.clone();
        Self { account, max, id, given_up, blocks: Vec::new(), length: 0, reserved: 0 }
    }

    /// Size of the received bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Notified when the body is given up for others.
    pub fn given_up(&self) -> Arc<Notify> {
        self.given_up.clone()
    }

    /// Adds received bytes, and advances `data` beyond those that were added.
    pub fn add(&mut self, now: Instant, data: &mut &[u8]) -> Result<(), BufferError> {
        if self.length + data.len() > self.max {
            return Err(BufferError::TooLong);
        }
        if let Some(arrival) = self.account.lock().get_mut(&self.id) {
            arrival.progress = now;
        }
        while !data.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == block.capacity()) {
                self.add_block(data.len())?;
            }
            let Some(block) = self.blocks.last_mut() else { return Err(BufferError::Full) };
            let (part, rest) = data.split_at(data.len().min(block.capacity() - block.len()));
            block.extend_from_slice(part);
            self.length += part.len();
            *data = rest;
        }
        Ok(())
    }

    /// Adds a block, for at least the given size if that is allowed.
    fn add_block(&mut self, size: usize) -> Result<(), BufferError> {
        let size = size.max(self.reserved).clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        self.reserve(size)?;
        self.blocks.push(BytesMut::with_capacity(size));
        Ok(())
    }

    fn reserve(&mut self, size: usize) -> Result<(), BufferError> {
        let small = self.reserved + size <= SMALL_BODY_BYTES;
        if !self.account.reserve(size, small) {
            return Err(BufferError::Full);
        }
        self.reserved += size;
        Ok(())
    }

    /// The complete body, whose memory stays reserved until it is dropped.
    pub fn join(mut self) -> Result<Bytes, BufferError> {
        let mut blocks = std::mem::take(&mut self.blocks);
        let bytes = if blocks.len() > 1 {
            // For a moment there are two copies.
            let before = self.reserved;
            self.reserve(self.length)?;
            let mut bytes = BytesMut::with_capacity(self.length);
            blocks.drain(..).for_each(|block| bytes.extend_from_slice(&block));
            self.account.release(before);
            self.reserved -= before;
            bytes
        } else {
            blocks.pop().unwrap_or_default()
        };
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        let reserved = std::mem::take(&mut self.reserved);
        Ok(Bytes::from_owner(Complete { bytes, account: self.account.clone(), reserved }))
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.account.lock().remove(&self.id);
        self.account.release(self.reserved);
    }
}

/// A complete body, which returns its memory on drop.
struct Complete {
    bytes: BytesMut,
    account: Arc<ByteAccount>,
    reserved: usize,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Complete {
    fn drop(&mut self) {
        self.account.release(self.reserved);
    }
}
