//! Homes of shared prompt parts among engines.
//!
//! Each chain of shared parts has a home by rendezvous hashing, which is the
//! same on all instances without a message. A request goes to the engine that
//! should have its prompt prefilled first: the home, unless its queue costs
//! more than fetching the shared parts to another engine.

use std::{hash::Hasher, sync::Arc};

use indexmap::IndexMap;

use crate::call::{Prompt, PromptPart};

/// Time after its last use at which a cached chain counts as evicted, in
/// milliseconds.
const CACHED_FOR_MS: u64 = 15_000;

/// Cost of the engine that holds the other copy of the shared parts, in tokens
/// that are read meanwhile.
const OTHER_COPY_TOKENS: f64 = 1_500.0;

/// Cost of an engine where a copy would take the place of other parts.
const THIRD_COPY_TOKENS: f64 = 8_000.0;

/// Shared tokens from which on a place has its full cost.
const FULL_COST_TOKENS: f64 = 8_000.0;

/// Engines among which a prompt has its place, by their weight: instances that
/// know a large fleet's loads late must not all run to the idlest one.
const MAX_PLACES: usize = 16;

/// Chains that are remembered for one engine.
const MAX_CHAINS: usize = 4_096;

/// An engine as a prefill candidate.
#[derive(Clone, Debug)]
pub struct PrefillCandidate {
    /// Identifier.
    pub id: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether it is about to leave: it takes no prompts, and others may still
    /// fetch from it.
    pub is_leaving: bool,
    /// Whether it did not answer lately: it takes no prompts, and nothing is
    /// fetched from it.
    pub is_unreachable: bool,
    /// Tokens that wait for their prefill there.
    pub queued_tokens: f64,
    /// Cost of choosing it beyond its queue, in tokens.
    pub penalty_tokens: f64,
}

impl PrefillCandidate {
    /// Returns whether it takes prompts.
    fn is_open(&self) -> bool {
        !self.is_leaving && !self.is_unreachable
    }
}

/// Where a prompt is prefilled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefillChoice {
    /// Index of the candidate.
    pub index: usize,
    /// Tokens that it has to read.
    pub uncached_tokens: u32,
    /// Index of the candidate from which it fetches the shared parts first.
    pub fetch_from: Option<usize>,
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
/// Shared parts have a home and a copy in another failure domain, to which
/// some requests go although the home is free, as `keeps_copy` says. An engine
/// that is not known to have the parts fetches them from one that should.
#[must_use]
pub fn choose_prefill(
    prompt: &Prompt,
    candidates: &[PrefillCandidate],
    cached: &CachedChains,
    keeps_copy: bool,
    now_ms: u64,
) -> Option<PrefillChoice> {
    let holders = Holders::new(prompt, candidates, cached, now_ms);
    let (first, second) = match keeps_copy {
        true => (holders.copy.or(holders.home), holders.home),
        false => (holders.home, holders.copy),
    };
    let mut best: Option<(f64, u64, PrefillChoice)> = None;
    let least_weight = holders.least_weight();
    for (index, candidate) in candidates.iter().enumerate() {
        let is_place = holders.weights[index] >= least_weight || Some(index) == holders.copy;
        if !candidate.is_open() || !is_place {
            continue;
        }
        let place_tokens = match Some(index) {
            place if place == first => 0.0,
            place if place == second => OTHER_COPY_TOKENS,
            _ => THIRD_COPY_TOKENS,
        };
        let choice = holders.choice(index);
        let cost = candidate.queued_tokens
            + candidate.penalty_tokens
            + place_tokens * holders.place_weight()
            + f64::from(choice.uncached_tokens);
        let weight = holders.weights[index];
        let better = best.as_ref().is_none_or(|(least, heaviest, _)| {
            cost < *least || (cost == *least && weight > *heaviest)
        });
        if better {
            best = Some((cost, weight, choice));
        }
    }
    best.map(|(_, _, choice)| choice)
}

/// Which candidates have the shared parts of one prompt.
struct Holders<'a> {
    prompt: &'a Prompt,
    candidates: &'a [PrefillCandidate],
    shared_tokens: u32,
    /// Rendezvous weights of the candidates.
    weights: Vec<u64>,
    /// Tokens that each candidate is known to have cached.
    cached_tokens: Vec<u32>,
    /// Heaviest candidate that stays.
    home: Option<usize>,
    /// Heaviest one in another failure domain than the home.
    copy: Option<usize>,
}

impl<'a> Holders<'a> {
    fn new(
        prompt: &'a Prompt,
        candidates: &'a [PrefillCandidate],
        cached: &CachedChains,
        now_ms: u64,
    ) -> Self {
        let shared = prompt.shared_parts();
        let key = chain_hash(shared);
        let mut weights = Vec::with_capacity(candidates.len());
        let mut cached_tokens = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            weights.push(rendezvous_weight(key, &candidate.id));
            cached_tokens.push(cached.cached_tokens(&candidate.id, &prompt.parts, now_ms));
        }
        let staying = (0..candidates.len()).filter(|&index| candidates[index].is_open());
        let home = staying.clone().max_by_key(|&index| weights[index]);
        let copy = home.and_then(|home| {
            let domain = &candidates[home].failure_domain;
            let others = staying.filter(|&index| candidates[index].failure_domain != *domain);
            others.max_by_key(|&index| weights[index])
        });
        Self {
            prompt,
            candidates,
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            weights,
            cached_tokens,
            home,
            copy,
        }
    }

    /// Returns the weight from which on a candidate is a place of the prompt.
    fn least_weight(&self) -> u64 {
        let mut weights = Vec::with_capacity(self.weights.len());
        for (weight, candidate) in self.weights.iter().zip(self.candidates) {
            if candidate.is_open() {
                weights.push(*weight);
            }
        }
        if weights.len() <= MAX_PLACES {
            return 0;
        }
        let (_, least, _) = weights.select_nth_unstable_by(MAX_PLACES - 1, |a, b| b.cmp(a));
        *least
    }

    /// Returns what a candidate would do.
    fn choice(&self, index: usize) -> PrefillChoice {
        let known = self.cached_tokens[index];
        let has_shared = known >= self.shared_tokens;
        let fetch_from = match has_shared {
            true => None,
            false => self.source(index),
        };
        let cached = match fetch_from {
            Some(_) => self.shared_tokens.max(known),
            None => known,
        };
        PrefillChoice {
            index,
            uncached_tokens: self.prompt.prompt_tokens.saturating_sub(cached),
            fetch_from,
        }
    }

    /// Returns how much the place of a candidate matters, from 0 to 1.
    fn place_weight(&self) -> f64 {
        (f64::from(self.shared_tokens) / FULL_COST_TOKENS).min(1.0)
    }

    /// Returns another candidate that has the shared parts, or should: one
    /// that is known to, the home that leaves, the home or the copy.
    fn source(&self, index: usize) -> Option<usize> {
        let home_weight = self.home.map_or(0, |home| self.weights[home]);
        let others = (0..self.weights.len())
            .filter(|&other| other != index && !self.candidates[other].is_unreachable);
        others.max_by_key(|&other| {
            let holds = self.cached_tokens[other] >= self.shared_tokens;
            let was_home = self.candidates[other].is_leaving && self.weights[other] > home_weight;
            let is_holder = [self.home, self.copy].contains(&Some(other));
            (holds, was_home, is_holder, self.weights[other])
        })
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
fn mix(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
