//! What engines have cached, and the homes of shared prompt parts.
//!
//! Each chain of parts has a home by rendezvous hashing, which is the same on
//! all instances without a message.

use std::{hash::Hasher, sync::Arc};

use indexmap::IndexMap;

use crate::call::PromptPart;

/// Chains that are remembered for one engine.
const MAX_CHAINS_PER_ENGINE: usize = 4_096;

/// Which chains of parts each engine has cached, as far as this instance
/// caused it.
///
/// Engines evict what was unused for longest. How much an engine has read
/// since a chain was last used there tells whether the chain still is.
#[derive(Clone, Debug, Default)]
pub struct CachedChains {
    engines: IndexMap<Arc<str>, EngineCache>,
}

/// What this instance knows of one engine's cache.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    /// Tokens that the engine has read or fetched for this instance.
    inserted_tokens: u64,
    /// Inserted tokens when each chain was last used.
    last_used_at_tokens: IndexMap<u64, u64>,
}

impl EngineCache {
    /// Returns whether a chain is still cached, of which the engine holds
    /// `capacity_tokens` for this instance.
    fn contains(&self, chain: u64, capacity_tokens: u64) -> bool {
        let last_used_at_tokens = self.last_used_at_tokens.get(&chain);
        last_used_at_tokens.is_some_and(|last_used_at_tokens| {
            self.inserted_tokens - last_used_at_tokens < capacity_tokens
        })
    }
}

impl CachedChains {
    /// Notes that an engine has a prompt in its cache, of which it keeps
    /// `capacity_tokens` tokens for this instance.
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

    /// Forgets an engine.
    pub fn forget(&mut self, engine: &str) {
        self.engines.swap_remove(engine);
    }

    /// Returns the leading tokens of a prompt that an engine has cached, if it
    /// keeps `capacity_tokens` tokens for this instance.
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

/// Returns the hash of a whole chain of parts.
#[must_use]
pub fn chain_hash(parts: &[PromptPart]) -> u64 {
    chain_hashes(parts).last().unwrap_or(0)
}

/// Returns the hash of each leading chain of parts.
fn chain_hashes(parts: &[PromptPart]) -> impl Iterator<Item = u64> {
    let mut chain = 0;
    parts.iter().map(move |part| {
        chain = mix(chain ^ part.id);
        chain
    })
}

/// Returns the rendezvous weight of a candidate for a key.
#[must_use]
pub fn rendezvous_weight(key: u64, candidate: &str) -> u64 {
    let mut hasher = Fnv(FNV_OFFSET);
    hasher.write(candidate.as_bytes());
    mix(key ^ hasher.finish())
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Fowler-Noll-Vo hash, which is the same in all processes.
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

/// Finalizer of SplitMix64.
pub(in crate::policy) fn mix(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
