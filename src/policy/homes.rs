//! Homes of shared prompt parts among engines.
//!
//! Each chain of shared parts has a home by rendezvous hashing, which is the
//! same on all instances without a message. A request goes to the engine that
//! should have its prompt prefilled first: the home, unless its queue costs
//! more than prefilling the shared parts elsewhere.

use std::{hash::Hasher, sync::Arc};

use indexmap::IndexMap;

use crate::call::{Prompt, PromptPart};

/// Time after its last use at which a cached chain counts as evicted, in
/// milliseconds.
const CACHED_FOR_MS: u64 = 15_000;

/// Chains that are remembered for one engine.
const MAX_CHAINS: usize = 4_096;

/// An engine as a prefill candidate.
#[derive(Clone, Debug)]
pub struct PrefillCandidate {
    /// Identifier.
    pub id: Arc<str>,
    /// Tokens that wait for their prefill there.
    pub queued_tokens: f64,
    /// Cost of choosing it beyond its queue, in tokens.
    pub penalty_tokens: f64,
}

/// Where a prompt is prefilled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillChoice {
    /// Index of the candidate.
    pub index: usize,
    /// Tokens that it has to read.
    pub uncached_tokens: u32,
}

/// Which chains of shared parts each engine has cached, as far as this
/// instance caused or heard it.
#[derive(Clone, Debug, Default)]
pub struct CachedChains {
    engines: IndexMap<Arc<str>, IndexMap<u64, u64>>,
}

impl CachedChains {
    /// Notes that an engine has prefilled a prompt.
    pub fn insert(&mut self, engine: &Arc<str>, parts: &[PromptPart], now_ms: u64) {
        let chains = self.engines.entry(engine.clone()).or_default();
        for chain in chain_hashes(parts) {
            chains.insert(chain, now_ms);
        }
        if chains.len() > MAX_CHAINS {
            chains.retain(|_, used_ms| now_ms.saturating_sub(*used_ms) < CACHED_FOR_MS);
        }
    }

    /// Forgets an engine.
    pub fn forget(&mut self, engine: &str) {
        self.engines.swap_remove(engine);
    }

    /// Returns the leading tokens of a prompt that an engine has cached.
    #[must_use]
    pub fn cached_tokens(&self, engine: &str, parts: &[PromptPart], now_ms: u64) -> u32 {
        let Some(chains) = self.engines.get(engine) else {
            return 0;
        };
        let mut tokens = 0;
        for (part, chain) in parts.iter().zip(chain_hashes(parts)) {
            let used_ms = chains.get(&chain).copied();
            if used_ms.is_none_or(|used_ms| now_ms.saturating_sub(used_ms) >= CACHED_FOR_MS) {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }
}

/// Chooses the engine that should finish the prefill of a prompt first.
///
/// The home of the prompt's shared parts counts as having them cached.
#[must_use]
pub fn choose_prefill(
    prompt: &Prompt,
    candidates: &[PrefillCandidate],
    cached: &CachedChains,
    now_ms: u64,
) -> Option<PrefillChoice> {
    let shared = prompt.shared_parts();
    let shared_tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    let home = home(shared, candidates);
    let mut best: Option<(f64, u64, PrefillChoice)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let mut cached_tokens = cached.cached_tokens(&candidate.id, &prompt.parts, now_ms);
        if home == Some(index) {
            cached_tokens = cached_tokens.max(shared_tokens);
        }
        let uncached_tokens = prompt.prompt_tokens.saturating_sub(cached_tokens);
        let cost = candidate.queued_tokens + candidate.penalty_tokens + f64::from(uncached_tokens);
        let weight = rendezvous_weight(chain_hash(shared), &candidate.id);
        let better = best.as_ref().is_none_or(|(least, heaviest, _)| {
            cost < *least || (cost == *least && weight > *heaviest)
        });
        if better {
            let choice = PrefillChoice {
                index,
                uncached_tokens,
            };
            best = Some((cost, weight, choice));
        }
    }
    best.map(|(_, _, choice)| choice)
}

/// Returns the candidate that is the home of a chain of shared parts.
fn home(shared: &[PromptPart], candidates: &[PrefillCandidate]) -> Option<usize> {
    if shared.is_empty() {
        return None;
    }
    let key = chain_hash(shared);
    let mut indexes: Vec<usize> = (0..candidates.len()).collect();
    indexes.sort_unstable_by_key(|&index| rendezvous_weight(key, &candidates[index].id));
    indexes.last().copied()
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
fn mix(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
