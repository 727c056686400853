//! Index of the prompt prefixes that engines have cached.
//!
//! A prompt is split into blocks of a fixed size, each identified by a hash over the prompt
//! up to the end of the block. Entries are hints: a wrong one costs a longer prefill.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Tokens in one block of an engine's prefix cache.
pub const BLOCK_TOKENS: u32 = 2_000;
/// Bytes of prompt text that are hashed as one block, as the engines' protocol defines it.
pub const BLOCK_BYTES: usize = 8_000;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a hash of a prompt up to the end of one block.
pub type BlockHash = u64;

/// Returns the hashes of the complete blocks of a prompt, first to last.
pub fn block_hashes(prompt: &str) -> Vec<BlockHash> {
    let mut hash = FNV_OFFSET;
    let complete = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    complete
        .map(|block| {
            hash = block.iter().fold(hash, |hash, byte| fnv_step(hash, *byte));
            hash
        })
        .collect()
}

fn fnv_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

/// Engines by cached block, in bounded memory; the oldest entries are evicted first.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    engines: HashMap<BlockHash, Vec<Arc<str>>>,
    insertions: VecDeque<(BlockHash, Arc<str>)>,
}

impl PrefixIndex {
    /// Creates an index of up to `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, engines: HashMap::new(), insertions: VecDeque::new() }
    }

    /// Records that an engine has cached a block.
    pub fn insert(&mut self, block: BlockHash, engine: &Arc<str>) {
        let engines = self.engines.entry(block).or_default();
        if engines.contains(engine) {
            return;
        }
        engines.push(engine.clone());
        self.insertions.push_back((block, engine.clone()));
        if self.insertions.len() > self.capacity
            && let Some((old, owner)) = self.insertions.pop_front()
        {
            self.remove_entry(old, &owner);
        }
    }

    /// Records that an engine has evicted a block.
    pub fn remove(&mut self, block: BlockHash, engine: &Arc<str>) {
        if self.remove_entry(block, engine) {
            self.insertions.retain(|(other, owner)| *other != block || owner != engine);
        }
    }

    /// Removes all entries of an engine, after a restart or a gap in its events.
    pub fn clear(&mut self, engine: &Arc<str>) {
        self.engines.retain(|_, engines| {
            engines.retain(|owner| owner != engine);
            !engines.is_empty()
        });
        self.insertions.retain(|(_, owner)| owner != engine);
    }

    /// Length of the longest prefix that an engine has cached, in blocks.
    pub fn match_len(&self, blocks: &[BlockHash], engine: &Arc<str>) -> usize {
        let is_cached = |block: &&BlockHash| {
            self.engines.get(*block).is_some_and(|engines| engines.contains(engine))
        };
        blocks.iter().take_while(is_cached).count()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.insertions.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.insertions.is_empty()
    }

    /// Removes a block of an engine from the map; returns whether it was there.
    fn remove_entry(&mut self, block: BlockHash, engine: &Arc<str>) -> bool {
        let Some(engines) = self.engines.get_mut(&block) else { return false };
        let before = engines.len();
        engines.retain(|owner| owner != engine);
        let removed = engines.len() < before;
        if engines.is_empty() {
            self.engines.remove(&block);
        }
        removed
    }
}
