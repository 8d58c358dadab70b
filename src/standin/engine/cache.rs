//! Prefix cache of a limited number of KV blocks, keyed by block hash.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::target::protocol::CacheAction;

/// A cached prefix block.
#[derive(Debug)]
struct Block {
    /// Number of streams that use the block.
    references: u32,
    /// Value of [`BlockCache::clock`] when the last stream released the block.
    released_at: u64,
}

/// Storage or eviction of one block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CacheChange {
    pub(super) block: u64,
    pub(super) action: CacheAction,
}

/// KV blocks: shared prefix blocks, and private blocks of single streams.
///
/// Unreferenced prefix blocks stay cached until their space is needed; the one
/// released longest ago is evicted first.
#[derive(Debug)]
pub(super) struct BlockCache {
    /// Number of blocks of the engine.
    total: u32,
    /// Number of private blocks of all streams.
    private: u32,
    /// Logical clock, which counts releases of prefix blocks.
    clock: u64,
    /// Prefix blocks by hash.
    blocks: IndexMap<u64, Block>,
    /// Hashes of the unreferenced prefix blocks by their `released_at`.
    evictable: BTreeMap<u64, u64>,
    changes: Vec<CacheChange>,
}

impl BlockCache {
    /// Returns an empty cache of `total` blocks.
    pub(super) fn new(total: u32) -> Self {
        Self {
            total,
            private: 0,
            clock: 0,
            blocks: IndexMap::new(),
            evictable: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Returns the number of blocks allocated to streams.
    pub(super) fn in_use(&self) -> u32 {
        self.private + (self.blocks.len() - self.evictable.len()) as u32
    }

    /// Returns the number of leading blocks of `prefix` that are cached.
    pub(super) fn cached_prefix_len(&self, prefix: &[u64]) -> usize {
        let hits = prefix.iter();
        hits.take_while(|block| self.blocks.contains_key(*block))
            .count()
    }

    /// Allocates the blocks of a prefix and `private` further blocks.
    ///
    /// Returns the number of leading blocks that were already cached, or `None`
    /// if there are too few free blocks.
    pub(super) fn allocate(&mut self, prefix: &[u64], private: u32) -> Option<usize> {
        let cached = self.cached_prefix_len(prefix);
        let mut needed = private as usize + prefix.len();
        for block in prefix {
            let in_use = self.blocks.get(block).is_some_and(|b| b.references > 0);
            needed -= usize::from(in_use);
        }
        if needed > (self.total - self.in_use()) as usize {
            return None;
        }
        for block in prefix {
            self.acquire(*block);
        }
        self.private += private;
        self.evict_beyond_total();
        Some(cached)
    }

    /// Releases blocks allocated by [`BlockCache::allocate`]; those of the prefix
    /// stay cached.
    pub(super) fn release(&mut self, prefix: &[u64], private: u32) {
        self.private -= private;
        for block in prefix {
            let Some(entry) = self.blocks.get_mut(block) else {
                continue;
            };
            entry.references -= 1;
            if entry.references == 0 {
                self.clock += 1;
                entry.released_at = self.clock;
                self.evictable.insert(self.clock, *block);
            }
        }
    }

    /// Returns the blocks stored and evicted since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn acquire(&mut self, block: u64) {
        if let Some(entry) = self.blocks.get_mut(&block) {
            if entry.references == 0 {
                self.evictable.remove(&entry.released_at);
            }
            entry.references += 1;
            return;
        }
        let entry = Block {
            references: 1,
            released_at: 0,
        };
        self.blocks.insert(block, entry);
        self.changes.push(CacheChange {
            block,
            action: CacheAction::Stored,
        });
    }

    fn evict_beyond_total(&mut self) {
        while self.private as usize + self.blocks.len() > self.total as usize {
            let Some((_, block)) = self.evictable.pop_first() else {
                return;
            };
            self.blocks.swap_remove(&block);
            self.changes.push(CacheChange {
                block,
                action: CacheAction::Evicted,
            });
        }
    }
}
