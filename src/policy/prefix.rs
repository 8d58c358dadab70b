//! Index of the prompt prefixes that targets have cached.
//!
//! It learns from this instance's own decisions and from the engines' cache
//! events. Events come late and with gaps: a gap lowers the trust in a target's
//! entries until answers confirm them again.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use crate::target::protocol::{CacheAction, CacheEventList};

/// Factor of a target's trust at each gap in its events.
const GAP_TRUST_FACTOR: f64 = 0.5;
/// Weight of the newest answer in a target's trust.
const TRUST_GAIN: f64 = 0.1;

/// Stale entries of a target's queue that are kept before it is compacted.
const MAX_STALE_USES: usize = 64;

/// One target's cached blocks.
#[derive(Clone, Debug)]
struct TargetCache {
    boot: Arc<str>,
    next_sequence: Option<u64>,
    trust: f64,
    blocks: usize,
    next_stamp: u32,
    // Least recently used first; an entry whose stamp is not the holder's is
    // stale.
    uses: VecDeque<BlockUse>,
}

impl TargetCache {
    fn new(boot: Arc<str>) -> Self {
        Self {
            boot,
            next_sequence: None,
            trust: 1.0,
            blocks: 0,
            next_stamp: 0,
            uses: VecDeque::new(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BlockUse {
    block: u64,
    stamp: u32,
}

/// A target that holds a block, and when it last used it.
#[derive(Clone, Debug)]
struct Holder {
    target: Arc<str>,
    stamp: u32,
}

/// Which targets hold which blocks.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    targets: IndexMap<Arc<str>, TargetCache>,
    holders: IndexMap<u64, Vec<Holder>>,
}

impl PrefixIndex {
    /// Forgets what a target held before it was started again.
    pub fn observe_boot(&mut self, target: &str, boot: &Arc<str>) {
        let known = self.targets.get(target).map(|cache| &cache.boot);
        if known == Some(boot) {
            return;
        }
        self.forget(target);
        self.targets
            .insert(target.into(), TargetCache::new(Arc::clone(boot)));
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &str) {
        let Some(cache) = self.targets.swap_remove(target) else {
            return;
        };
        for used in cache.uses {
            self.remove_holder(used.block, target, None);
        }
    }

    /// Counts a prompt's blocks as cached on a target that holds at most
    /// `max_blocks`.
    pub fn insert(&mut self, target: &str, blocks: &[u64], max_blocks: u32) {
        // The last block is used first, so that a prefix loses its end first.
        for &block in blocks.iter().rev() {
            self.add_holder(block, target);
        }
        self.evict_excess(target, max_blocks as usize);
    }

    /// Returns the number of blocks that a target is taken to hold.
    #[must_use]
    pub fn blocks(&self, target: &str) -> usize {
        self.targets.get(target).map_or(0, |cache| cache.blocks)
    }

    /// Takes in a target's cache events.
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
        self.compact(target);
    }

    /// Returns the sequence number from which to ask for a target's events.
    #[must_use]
    pub fn next_sequence(&self, target: &str) -> u64 {
        let cache = self.targets.get(target);
        cache.and_then(|cache| cache.next_sequence).unwrap_or(0)
    }

    /// Corrects a target's trust by what an answer says was cached.
    pub fn observe_answer(&mut self, target: &str, expected_tokens: u32, cached_tokens: u32) {
        if expected_tokens == 0 {
            return;
        }
        let Some(cache) = self.targets.get_mut(target) else {
            return;
        };
        let hit = f64::from(cached_tokens.min(expected_tokens)) / f64::from(expected_tokens);
        cache.trust += TRUST_GAIN * (hit - cache.trust);
    }

    /// Returns the leading blocks that a target is expected to have cached,
    /// reduced by the trust in its entries.
    ///
    /// Engines evict the ends of prefixes first, so that the length is found by
    /// bisection once the first block is held.
    #[must_use]
    pub fn expected_blocks(&self, target: &str, blocks: &[u64]) -> u32 {
        let Some(cache) = self.targets.get(target) else {
            return 0;
        };
        if !blocks
            .first()
            .is_some_and(|first| self.holds(*first, target))
        {
            return 0;
        }
        let held = blocks.partition_point(|block| self.holds(*block, target));
        (held as f64 * cache.trust) as u32
    }

    /// Calls `take` with up to `max` targets that hold the longest indexed
    /// prefix.
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

    fn holds(&self, block: u64, target: &str) -> bool {
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
        let known = holders.iter_mut().find(|holder| *holder.target == *target);
        if let Some(holder) = known {
            holder.stamp = stamp;
            return;
        }
        cache.blocks += 1;
        holders.push(Holder {
            target: Arc::clone(name),
            stamp,
        });
    }

    /// Removes a holder, if its stamp is `stamp` or none is asked for.
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
            cache.blocks -= removed;
        }
    }

    fn evict_excess(&mut self, target: &str, max_blocks: usize) {
        while let Some(cache) = self.targets.get_mut(target) {
            if cache.blocks <= max_blocks {
                break;
            }
            let Some(used) = cache.uses.pop_front() else {
                break;
            };
            self.remove_holder(used.block, target, Some(used.stamp));
        }
        self.compact(target);
    }

    /// Drops stale entries once they outnumber the others.
    fn compact(&mut self, target: &str) {
        let holders = &self.holders;
        let Some(cache) = self.targets.get_mut(target) else {
            return;
        };
        if cache.uses.len() <= 2 * cache.blocks + MAX_STALE_USES {
            return;
        }
        cache.uses.retain(|used| {
            let Some(holders) = holders.get(&used.block) else {
                return false;
            };
            let mut current = holders.iter().filter(|holder| holder.stamp == used.stamp);
            current.any(|holder| *holder.target == *target)
        });
    }
}
