//! Index of the prompt prefixes that targets have cached.
//!
//! It learns from this instance's own decisions and from the engines' cache
//! events. Events come late and with gaps: a gap lowers the trust in a target's
//! entries until answers confirm them again.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use crate::target::protocol::{CacheAction, CacheEventList};

/// Factor of a target's trust at each gap in its events.
const GAP_TRUST: f64 = 0.5;
/// Weight of the newest answer in a target's trust.
const TRUST_GAIN: f64 = 0.1;

/// One target's cached blocks.
#[derive(Clone, Debug)]
struct TargetCache {
    boot: Arc<str>,
    next_sequence: Option<u64>,
    trust: f64,
    // Oldest first; an entry that was evicted since stays until it is oldest.
    inserted: VecDeque<u64>,
}

impl Default for TargetCache {
    fn default() -> Self {
        Self {
            boot: "".into(),
            next_sequence: None,
            trust: 1.0,
            inserted: VecDeque::new(),
        }
    }
}

/// Which targets hold which blocks.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    targets: IndexMap<Arc<str>, TargetCache>,
    holders: IndexMap<u64, Vec<Arc<str>>>,
}

impl PrefixIndex {
    /// Forgets what a target held before it was started again.
    pub fn observe_boot(&mut self, target: &str, boot: &Arc<str>) {
        let known = self.targets.get(target).map(|cache| &cache.boot);
        if known == Some(boot) {
            return;
        }
        self.forget(target);
        let cache = TargetCache {
            boot: Arc::clone(boot),
            ..TargetCache::default()
        };
        self.targets.insert(target.into(), cache);
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &str) {
        let Some((name, cache)) = self.targets.swap_remove_entry(target) else {
            return;
        };
        for block in cache.inserted {
            self.remove_holder(block, &name);
        }
    }

    /// Counts a prompt's blocks as cached on a target that holds at most
    /// `max_blocks`.
    pub fn insert(&mut self, target: &str, blocks: &[u64], max_blocks: u32) {
        for &block in blocks {
            self.add_holder(block, target);
        }
        self.trim(target, max_blocks as usize);
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
                cache.trust *= GAP_TRUST;
            }
            cache.next_sequence = Some(event.sequence + 1);
            match event.action {
                CacheAction::Stored => self.add_holder(event.block, target),
                CacheAction::Evicted => self.evict(event.block, target),
            }
        }
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
    #[must_use]
    pub fn expected_blocks(&self, target: &str, blocks: &[u64]) -> u32 {
        let Some(cache) = self.targets.get(target) else {
            return 0;
        };
        let held = blocks.partition_point(|block| self.holds(*block, target));
        (held as f64 * cache.trust) as u32
    }

    /// Returns up to `max` targets that hold the longest indexed prefix.
    pub fn holders(&self, blocks: &[u64], max: usize) -> &[Arc<str>] {
        let indexed = blocks.partition_point(|block| self.holders.contains_key(block));
        let Some(last) = indexed.checked_sub(1) else {
            return &[];
        };
        let holders = self
            .holders
            .get(&blocks[last])
            .map_or(&[][..], Vec::as_slice);
        &holders[..holders.len().min(max)]
    }

    fn holds(&self, block: u64, target: &str) -> bool {
        let holders = self.holders.get(&block);
        holders.is_some_and(|holders| holders.iter().any(|holder| **holder == *target))
    }

    fn add_holder(&mut self, block: u64, target: &str) {
        if self.holds(block, target) {
            return;
        }
        if !self.targets.contains_key(target) {
            self.targets.insert(target.into(), TargetCache::default());
        }
        let Some((_, name, cache)) = self.targets.get_full_mut(target) else {
            return;
        };
        cache.inserted.push_back(block);
        self.holders
            .entry(block)
            .or_default()
            .push(Arc::clone(name));
    }

    fn evict(&mut self, block: u64, target: &str) {
        if self.holds(block, target) {
            self.remove_holder(block, target);
        }
    }

    fn remove_holder(&mut self, block: u64, target: &str) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        holders.retain(|holder| **holder != *target);
        if holders.is_empty() {
            self.holders.swap_remove(&block);
        }
    }

    fn trim(&mut self, target: &str, max_blocks: usize) {
        while let Some(cache) = self.targets.get_mut(target) {
            if cache.inserted.len() <= max_blocks {
                return;
            }
            let Some(block) = cache.inserted.pop_front() else {
                return;
            };
            self.remove_holder(block, target);
        }
    }
}
