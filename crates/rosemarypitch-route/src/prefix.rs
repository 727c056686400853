//! Which engines probably hold which prompt prefixes.
//!
//! A prompt is cut into pieces of a fixed size; each piece is named by a hash over the
//! prompt up to its end. Entries are hints: a wrong one costs a longer prefill.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Tokens in one piece of an engine's cache.
pub const BLOCK_TOKENS: u32 = 2_000;
/// Bytes of text in one piece, by the engines' published protocol.
pub const BLOCK_BYTES: usize = 8_000;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of a prompt up to the end of one piece.
pub type BlockHash = u64;

/// Names the whole pieces of a prompt, first to last.
pub fn block_hashes(prompt: &str) -> Vec<BlockHash> {
    let mut hash = FNV_OFFSET;
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|piece| {
            hash = piece.iter().fold(hash, |hash, byte| fold(hash, *byte));
            hash
        })
        .collect()
}

fn fold(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

/// Pieces by engine, in bounded memory; the oldest entries go first.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    holders: HashMap<BlockHash, Vec<Arc<str>>>,
    order: VecDeque<(BlockHash, Arc<str>)>,
}

impl PrefixIndex {
    /// Holds up to `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, holders: HashMap::new(), order: VecDeque::new() }
    }

    /// Notes that an engine holds a piece.
    pub fn insert(&mut self, piece: BlockHash, engine: &Arc<str>) {
        let holders = self.holders.entry(piece).or_default();
        if holders.contains(engine) {
            return;
        }
        holders.push(engine.clone());
        self.order.push_back((piece, engine.clone()));
        if self.order.len() > self.capacity
            && let Some((old, holder)) = self.order.pop_front()
        {
            self.forget(old, &holder);
        }
    }

    /// Notes that an engine dropped a piece.
    pub fn remove(&mut self, piece: BlockHash, engine: &Arc<str>) {
        if self.forget(piece, engine) {
            self.order.retain(|(other, holder)| *other != piece || holder != engine);
        }
    }

    /// Forgets all that an engine held, after it restarted or its events had a gap.
    pub fn clear(&mut self, engine: &Arc<str>) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| holder != engine);
            !holders.is_empty()
        });
        self.order.retain(|(_, holder)| holder != engine);
    }

    /// How many of the first pieces an engine holds without a break.
    pub fn match_len(&self, pieces: &[BlockHash], engine: &Arc<str>) -> usize {
        let held = |piece: &&BlockHash| {
            self.holders.get(*piece).is_some_and(|holders| holders.contains(engine))
        };
        pieces.iter().take_while(held).count()
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn forget(&mut self, piece: BlockHash, engine: &Arc<str>) -> bool {
        let Some(holders) = self.holders.get_mut(&piece) else { return false };
        let before = holders.len();
        holders.retain(|holder| holder != engine);
        let removed = holders.len() < before;
        if holders.is_empty() {
            self.holders.remove(&piece);
        }
        removed
    }
}
