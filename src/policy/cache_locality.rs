//! Estimated contents of the engines' prompt caches, and rendezvous hashing of
//! shared prompt parts.
//!
//! A chain is a sequence of leading prompt parts. The home of a chain is the
//! engine that preferably caches the chain. Rendezvous hashing gives the same home
//! on all instances without communication.

use std::{hash::Hasher, sync::Arc};

use indexmap::IndexMap;

use crate::call::PromptPart;

/// Maximum number of chains that are tracked for one engine.
const MAX_CHAINS_PER_ENGINE: usize = 4_096;

/// Chains that each engine is estimated to have cached while it served this
/// instance's requests.
///
/// Engines evict the least recently used chains first. A chain therefore counts
/// as cached until the engine has cached another `capacity_tokens` tokens since
/// the chain's last use.
#[derive(Clone, Debug, Default)]
pub struct CachedChains {
    /// Estimated cache contents by engine.
    engines: IndexMap<Arc<str>, EngineCache>,
}

/// Estimated cache contents of one engine.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    /// Number of tokens that the engine has added to its cache for this instance's
    /// requests, including those that it has evicted since.
    inserted_tokens: u64,
    /// Value of `inserted_tokens` at the last use of each chain, by chain hash.
    last_used_at_tokens: IndexMap<u64, u64>,
}

impl EngineCache {
    /// Returns whether the engine is estimated to have a chain still cached.
    ///
    /// `capacity_tokens` is the number of tokens that the engine can cache for this
    /// instance.
    fn contains(&self, chain: u64, capacity_tokens: u64) -> bool {
        let last_used_at_tokens = self.last_used_at_tokens.get(&chain);
        last_used_at_tokens.is_some_and(|last_used_at_tokens| {
            self.inserted_tokens - last_used_at_tokens < capacity_tokens
        })
    }
}

impl CachedChains {
    /// Records that an engine has cached all chains of a prompt's `parts`.
    ///
    /// `capacity_tokens` is the number of tokens that the engine can cache for this
    /// instance.
    pub fn insert(&mut self, engine: &Arc<str>, parts: &[PromptPart], capacity_tokens: u64) {
        let cache = self.engines.entry(engine.clone()).or_default();
        for (part, chain) in parts.iter().zip(chain_hashes(parts)) {
            if !cache.contains(chain, capacity_tokens) {
                cache.inserted_tokens += u64::from(part.tokens);
            }
            cache
                .last_used_at_tokens
                .insert(chain, cache.inserted_tokens);
        }
        if cache.last_used_at_tokens.len() > MAX_CHAINS_PER_ENGINE {
            let inserted_tokens = cache.inserted_tokens;
            cache.last_used_at_tokens.retain(|_, last_used_at_tokens| {
                inserted_tokens - *last_used_at_tokens < capacity_tokens
            });
        }
        if cache.last_used_at_tokens.len() > MAX_CHAINS_PER_ENGINE {
            cache.last_used_at_tokens.drain(..MAX_CHAINS_PER_ENGINE / 2);
        }
    }

    /// Removes all chains of an engine.
    pub fn remove_engine(&mut self, engine: &str) {
        self.engines.swap_remove(engine);
    }

    /// Removes all chains of the engines for which `keep` returns false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.engines.retain(|engine, _| keep(engine));
    }

    /// Returns the number of leading tokens of a prompt that an engine is estimated
    /// to have cached.
    ///
    /// `capacity_tokens` is the number of tokens that the engine can cache for this
    /// instance.
    #[must_use]
    pub fn cached_tokens(&self, engine: &str, parts: &[PromptPart], capacity_tokens: u64) -> u32 {
        let Some(cache) = self.engines.get(engine) else {
            return 0;
        };
        let mut tokens = 0;
        for (part, chain) in parts.iter().zip(chain_hashes(parts)) {
            if !cache.contains(chain, capacity_tokens) {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }
}

/// Returns the hash of the chain of all `parts`, or 0 if `parts` is empty.
#[must_use]
pub fn chain_hash(parts: &[PromptPart]) -> u64 {
    chain_hashes(parts).last().unwrap_or(0)
}

/// Returns the hashes of all chains that start with the first part, the shortest
/// chain first.
fn chain_hashes(parts: &[PromptPart]) -> impl Iterator<Item = u64> {
    let mut chain = 0;
    parts.iter().map(move |part| {
        chain = splitmix64(chain ^ part.id);
        chain
    })
}

/// Returns the rendezvous weight of a candidate for a key; the candidate with the
/// largest weight is chosen.
#[must_use]
pub fn rendezvous_weight(key: u64, candidate: &str) -> u64 {
    let mut hasher = Fnv(FNV_OFFSET);
    hasher.write(candidate.as_bytes());
    splitmix64(key ^ hasher.finish())
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Fowler-Noll-Vo hash (FNV-1a). Unlike the standard library's default hasher,
/// it gives the same result in all processes.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Applies one step of the SplitMix64 generator, which spreads the bits of
/// `value`.
pub(in crate::policy) fn splitmix64(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
