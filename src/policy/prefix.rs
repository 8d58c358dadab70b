//! Index of the prompt prefixes that targets have cached.
//!
//! The index is built from this instance's own dispatches and from the engines'
//! cache events. Events arrive late and may be lost. The index therefore keeps a
//! trust factor for each target: the estimated fraction of the target's indexed
//! blocks that the engine really has cached. A gap in the sequence numbers of the
//! events lowers the factor, and each answer adjusts it by the number of cached
//! tokens that the answer reports.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use crate::target::protocol::{CacheAction, CacheEventList};

/// Number by which a target's trust factor is multiplied after each gap in the
/// sequence numbers of its events.
const GAP_TRUST_FACTOR: f64 = 0.5;
/// Weight of the newest answer in the moving average that is a target's trust
/// factor.
const TRUST_GAIN: f64 = 0.1;

/// Number of stale entries, beyond one for each indexed block, that a target's queue
/// of block uses may contain before they are removed.
const MAX_STALE_USES: usize = 64;

/// State of one target's cache.
#[derive(Clone, Debug)]
struct TargetCache {
    /// Boot identifier of the target, which changes with each restart.
    boot: Arc<str>,
    /// Sequence number of the next cache event; `None` before the first event.
    next_sequence: Option<u64>,
    /// Trust factor: estimated fraction of the indexed blocks that are really
    /// cached, from 0 to 1.
    trust: f64,
    /// Number of indexed blocks of the target.
    block_count: usize,
    /// Stamp of the next block use.
    next_stamp: u32,
    /// Uses of blocks, the least recent one first.
    ///
    /// A use is stale if the block was used again or removed since. The block's
    /// [`Holder`] entry for this target then has another stamp, or does not exist.
    uses: VecDeque<BlockUse>,
}

impl TargetCache {
    fn new(boot: Arc<str>) -> Self {
        Self {
            boot,
            next_sequence: None,
            trust: 1.0,
            block_count: 0,
            next_stamp: 0,
            uses: VecDeque::new(),
        }
    }
}

/// A use of a block by a target. The uses of each target are numbered by `stamp`.
#[derive(Clone, Copy, Debug)]
struct BlockUse {
    block: u64,
    stamp: u32,
}

/// A target that has cached a block, with the stamp of the block's last use by
/// this target.
#[derive(Clone, Debug)]
struct Holder {
    target: Arc<str>,
    stamp: u32,
}

/// Index of the targets that have cached each block. These targets are called the
/// block's holders.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// Cache state by target name.
    targets: IndexMap<Arc<str>, TargetCache>,
    /// Holders by the hash of their block.
    holders: IndexMap<u64, Vec<Holder>>,
}

impl PrefixIndex {
    /// Removes a target's entries if its boot identifier has changed, since an
    /// engine loses its cache in a restart.
    pub fn observe_boot(&mut self, target: &str, boot: &Arc<str>) {
        let known_boot = self.targets.get(target).map(|cache| &cache.boot);
        if known_boot == Some(boot) {
            return;
        }
        self.remove_target(target);
        self.targets
            .insert(target.into(), TargetCache::new(Arc::clone(boot)));
    }

    /// Removes all entries of a target.
    pub fn remove_target(&mut self, target: &str) {
        let Some(cache) = self.targets.swap_remove(target) else {
            return;
        };
        for used in cache.uses {
            self.remove_holder(used.block, target, None);
        }
    }

    /// Records that a target has cached a prompt's blocks.
    ///
    /// If the index then contains more than `max_blocks` blocks for the target, the
    /// least recently used ones are removed from the index.
    pub fn insert(&mut self, target: &str, blocks: &[u64], max_blocks: u32) {
        // The last block is added first and thus counts as the least recently used
        // one, so that prefixes are removed from their end, as in the engine.
        for &block in blocks.iter().rev() {
            self.add_holder(block, target);
        }
        self.remove_excess(target, max_blocks as usize);
    }

    /// Returns the number of blocks that the index contains for a target.
    #[must_use]
    pub fn block_count(&self, target: &str) -> usize {
        self.targets
            .get(target)
            .map_or(0, |cache| cache.block_count)
    }

    /// Applies a target's cache events, and skips events that were applied before.
    pub fn observe_events(&mut self, target: &str, list: &CacheEventList) {
        self.observe_boot(target, &list.boot);
        for event in &list.events {
            let Some(cache) = self.targets.get_mut(target) else {
                return;
            };
            let expected = cache.next_sequence.unwrap_or(event.sequence);
            if event.sequence < expected {
                continue;
            }
            if event.sequence > expected {
                cache.trust *= GAP_TRUST_FACTOR;
            }
            cache.next_sequence = Some(event.sequence + 1);
            match event.action {
                CacheAction::Stored => self.add_holder(event.block, target),
                CacheAction::Evicted => self.remove_holder(event.block, target, None),
            }
        }
        self.remove_stale_uses(target);
    }

    /// Returns the sequence number from which a target's next events are to be
    /// requested; 0 before the first event.
    #[must_use]
    pub fn next_sequence(&self, target: &str) -> u64 {
        let cache = self.targets.get(target);
        cache.and_then(|cache| cache.next_sequence).unwrap_or(0)
    }

    /// Updates a target's trust factor with the ratio of the tokens that an answer
    /// reports as cached to the tokens that were expected to be cached.
    pub fn observe_cached_tokens(
        &mut self,
        target: &str,
        expected_tokens: u32,
        cached_tokens: u32,
    ) {
        if expected_tokens == 0 {
            return;
        }
        let Some(cache) = self.targets.get_mut(target) else {
            return;
        };
        let hit_ratio = f64::from(cached_tokens.min(expected_tokens)) / f64::from(expected_tokens);
        cache.trust += TRUST_GAIN * (hit_ratio - cache.trust);
    }

    /// Returns the number of leading blocks that a target is expected to have
    /// cached: the number of leading blocks in the index for this target,
    /// multiplied by the target's trust factor.
    ///
    /// Because engines evict a prefix from its end, the indexed blocks of a prompt are
    /// always its first ones, so that binary search finds their number.
    #[must_use]
    pub fn expected_blocks(&self, target: &str, blocks: &[u64]) -> u32 {
        let Some(cache) = self.targets.get(target) else {
            return 0;
        };
        if !blocks
            .first()
            .is_some_and(|first| self.is_holder(*first, target))
        {
            return 0;
        }
        let indexed_blocks = blocks.partition_point(|block| self.is_holder(*block, target));
        (indexed_blocks as f64 * cache.trust) as u32
    }

    /// Calls `visit` with up to `max` targets that have cached the longest
    /// indexed prefix of `blocks`.
    pub fn for_each_holder<F>(&self, blocks: &[u64], max: usize, mut visit: F)
    where
        F: FnMut(&str),
    {
        let indexed = blocks.partition_point(|block| self.holders.contains_key(block));
        let Some(last) = indexed.checked_sub(1) else {
            return;
        };
        let Some(holders) = self.holders.get(&blocks[last]) else {
            return;
        };
        for holder in holders.iter().take(max) {
            visit(&holder.target);
        }
    }

    fn is_holder(&self, block: u64, target: &str) -> bool {
        let Some(holders) = self.holders.get(&block) else {
            return false;
        };
        holders.iter().any(|holder| *holder.target == *target)
    }

    fn add_holder(&mut self, block: u64, target: &str) {
        if !self.targets.contains_key(target) {
            self.targets
                .insert(target.into(), TargetCache::new("".into()));
        }
        let Some((_, name, cache)) = self.targets.get_full_mut(target) else {
            return;
        };
        let stamp = cache.next_stamp;
        cache.next_stamp = stamp.wrapping_add(1);
        cache.uses.push_back(BlockUse { block, stamp });
        let holders = self.holders.entry(block).or_default();
        let existing = holders.iter_mut().find(|holder| *holder.target == *target);
        if let Some(holder) = existing {
            holder.stamp = stamp;
            return;
        }
        cache.block_count += 1;
        holders.push(Holder {
            target: Arc::clone(name),
            stamp,
        });
    }

    /// Removes a target from the holders of a block. If `stamp` is given, the target
    /// is removed only if the block's last use by the target has this stamp.
    fn remove_holder(&mut self, block: u64, target: &str, stamp: Option<u32>) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        let before = holders.len();
        holders.retain(|holder| {
            *holder.target != *target || stamp.is_some_and(|stamp| stamp != holder.stamp)
        });
        let removed = before - holders.len();
        if holders.is_empty() {
            self.holders.swap_remove(&block);
        }
        if let Some(cache) = self.targets.get_mut(target) {
            cache.block_count -= removed;
        }
    }

    fn remove_excess(&mut self, target: &str, max_blocks: usize) {
        while let Some(cache) = self.targets.get_mut(target) {
            if cache.block_count <= max_blocks {
                break;
            }
            let Some(used) = cache.uses.pop_front() else {
                break;
            };
            self.remove_holder(used.block, target, Some(used.stamp));
        }
        self.remove_stale_uses(target);
    }

    /// Removes the stale uses from a target's queue if there are more of them than
    /// indexed blocks plus [`MAX_STALE_USES`]. This bounds the queue's memory.
    fn remove_stale_uses(&mut self, target: &str) {
        let holders = &self.holders;
        let Some(cache) = self.targets.get_mut(target) else {
            return;
        };
        if cache.uses.len() <= 2 * cache.block_count + MAX_STALE_USES {
            return;
        }
        cache.uses.retain(|used| {
            let Some(holders) = holders.get(&used.block) else {
                return false;
            };
            let mut same_stamp = holders.iter().filter(|holder| holder.stamp == used.stamp);
            same_stamp.any(|holder| *holder.target == *target)
        });
    }
}
