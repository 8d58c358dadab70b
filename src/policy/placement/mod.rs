//! Choice of the engine that prefills a prompt.
//!
//! A prefill engine processes prompts faster and hands the KV cache over to a
//! decode engine. A decode engine prefills more slowly, beside its running
//! streams, and then generates the answer itself (a local prefill).
//!
//! Prompts consist of parts. The parts shared with other prompts have home
//! engines by rendezvous hashing. [`place`] compares the homes and a sample of
//! the other engines, and chooses the one with the earliest predicted first
//! event after adding what the choice costs other requests.

mod evaluator;

use std::sync::Arc;

use self::evaluator::PlacementEvaluator;
use super::{
    cache_locality::{CachedChains, mix},
    engine_profile::EngineProfile,
};
use crate::{call::Prompt, target::protocol::EngineRole};

/// Longest wait behind other requests, as a multiple of the latency objective.
const MAX_WAIT_OBJECTIVES: f64 = 1.25;

/// Largest number of open engines of which all are compared.
const SMALL_FLEET: usize = 16;

/// Engines sampled from a larger fleet, to compare with the homes of a prompt.
///
/// Instances learn of engine loads with a delay. If each compared all engines,
/// all would send their prompts to the same idle one.
const SAMPLED_ENGINES: usize = 10;

/// An engine that may prefill a prompt.
#[derive(Clone, Debug)]
pub struct EngineCandidate {
    /// Identifier, the input of rendezvous hashing.
    pub id: Arc<str>,
    /// Failure domain that contains the engine.
    pub failure_domain: Arc<str>,
    /// Current role.
    pub role: EngineRole,
    /// Whether the engine is about to stop. It gets no prompts, but other
    /// engines may still fetch KV cache from it.
    pub is_leaving: bool,
    /// Whether the engine has recently failed to answer. It gets no prompts, and
    /// nothing is fetched from it.
    pub is_unreachable: bool,
    /// Prompt tokens queued for prefill on the engine.
    pub queued_tokens: f64,
    /// Requests in flight on the engine.
    pub requests: f64,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// Cost added to the predicted time when engines are compared, in
    /// milliseconds.
    pub penalty_ms: f64,
}

impl EngineCandidate {
    /// Returns `true` if the engine accepts prompts.
    fn is_open(&self) -> bool {
        !self.is_leaving && !self.is_unreachable
    }

    /// Returns `true` if the engine prefills prompts that another one decodes.
    #[must_use]
    pub fn prefills(&self) -> bool {
        self.role == EngineRole::Prefill
    }
}

/// Inputs of a placement other than the candidates and the prompt.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Learned timings of the service's engines.
    pub profile: &'a EngineProfile,
    /// Prompt parts that each engine is known to have cached.
    pub cached: &'a CachedChains,
    /// Tokens of this instance's prompts that fit into the cache of one engine.
    pub capacity_tokens: u64,
    /// Time to transfer the KV cache of one token between engines, in
    /// milliseconds.
    pub token_transfer_ms: f64,
    /// Objective for the time between two events of a stream, in milliseconds.
    pub event_objective_ms: f64,
    /// Objective for the time to the first event, in milliseconds.
    pub latency_objective_ms: f64,
    /// Whether the copy of the shared parts is preferred to their home.
    pub prefers_copy: bool,
    /// Fraction of the long prompts that the prefill engines have capacity for,
    /// by the known demand. The remaining ones get a local prefill.
    pub prefill_share: f64,
    /// Random number that selects the sample of a large fleet.
    pub sample_point: u64,
}

/// Marks the engines to compare: all that are `open` in a small fleet, and a
/// pseudo-random sample of them, determined by `point`, in a large one.
#[must_use]
pub fn sample<I>(open: I, point: u64) -> Vec<bool>
where
    I: Iterator<Item = bool>,
{
    let mut sampled: Vec<bool> = open.collect();
    let mut ranked = Vec::with_capacity(sampled.len());
    for (index, is_open) in sampled.iter().enumerate() {
        if *is_open {
            ranked.push((mix(point ^ mix(index as u64)), index));
        }
    }
    if ranked.len() <= SMALL_FLEET {
        return sampled;
    }
    ranked.sort_unstable();
    for (_, index) in ranked.drain(SAMPLED_ENGINES..) {
        sampled[index] = false;
    }
    sampled
}

/// The predicted prefill of a prompt on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Index of the engine among the candidates.
    pub index: usize,
    /// Prompt tokens that the engine has to compute.
    pub uncached_tokens: u32,
    /// Index of the candidate from which the engine first fetches the KV cache
    /// of the shared parts.
    pub fetch_from: Option<usize>,
    /// Whether the engine also generates the answer.
    pub is_local_prefill: bool,
    /// Predicted time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Portion of `first_event_ms` spent behind other requests, in milliseconds.
    pub wait_ms: f64,
}

impl Placement {
    /// Returns `true` if the wait behind other requests alone exceeds 1.25 times
    /// the latency objective.
    ///
    /// An engine that queues such requests serves all of them late; refusing
    /// them keeps the others on time.
    #[must_use]
    pub fn is_overloaded(&self, latency_objective_ms: f64) -> bool {
        self.wait_ms > MAX_WAIT_OBJECTIVES * latency_objective_ms
    }
}

/// Chooses the engine that prefills a prompt; `None` if no engine is open.
///
/// Shared parts have a home among the prefill engines, a copy in another
/// failure domain and a home among the decode engines. An engine that is not
/// known to have the parts cached fetches them from one of these.
#[must_use]
pub fn place(
    prompt: &Prompt,
    candidates: &[EngineCandidate],
    input: &PlacementInput<'_>,
) -> Option<Placement> {
    let evaluator = PlacementEvaluator::new(prompt, candidates, input);
    let decode_wait_ms = evaluator.decode_wait_ms();
    let mut best: Option<(f64, u64, Placement)> = None;
    for index in evaluator.compared_candidates() {
        let placement = evaluator.placement(index, decode_wait_ms);
        let cost = placement.first_event_ms + evaluator.cost_ms(&placement);
        let weight = evaluator.weights[index];
        let better = best.as_ref().is_none_or(|(least, heaviest, _)| {
            cost < *least || (cost == *least && weight > *heaviest)
        });
        if better {
            best = Some((cost, weight, placement));
        }
    }
    best.map(|(_, _, placement)| placement)
}

/// Returns the indices of the candidates that [`place`] compares for a prompt.
#[must_use]
pub fn compared_candidates(
    prompt: &Prompt,
    candidates: &[EngineCandidate],
    input: &PlacementInput<'_>,
) -> Vec<usize> {
    PlacementEvaluator::new(prompt, candidates, input).compared_candidates()
}
