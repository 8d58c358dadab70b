//! Choice of the engine that prefills a prompt.
//!
//! A remote prefill runs on a prefill engine, which processes prompts faster and
//! hands the KV cache over to a decode engine. A local prefill runs on the
//! decode engine that then generates the answer. A local prefill is slower, since
//! the engine also serves its running streams. In this module, mixed engines count
//! as decode engines. An engine runs each concurrent request in one of its slots.
//!
//! Prompts consist of parts, and the leading parts may be shared with other
//! prompts. Rendezvous hashing of the shared parts selects up to three engines
//! that preferably cache them:
//!
//! - the home, a prefill engine,
//! - the copy, a prefill engine in another failure domain than the home,
//! - the decode home, a decode engine.
//!
//! [`choose_prefill_engine`] compares these three engines and a sample of the others.
//! The chosen engine has the smallest sum of two times in milliseconds: the predicted
//! time to the first event of the streamed answer, and a cost that estimates how much
//! the choice delays other requests.

mod evaluator;

use std::sync::Arc;

use self::evaluator::PlacementEvaluator;
use super::{
    cache_locality::{CachedChains, splitmix64},
    engine_profile::EngineProfile,
};
use crate::{call::Prompt, target::protocol::EngineRole};

/// Longest acceptable wait behind other requests, as a multiple of the latency
/// objective.
const MAX_WAIT_OBJECTIVES: f64 = 1.25;

/// Largest number of open engines (those that accept prompts) with which all of
/// them are compared.
const SMALL_FLEET: usize = 16;

/// Number of open engines that are sampled if there are more than
/// [`SMALL_FLEET`].
///
/// Instances learn of engine loads with a delay. If each instance compared all
/// engines, all instances would send their prompts to the same idle engine.
const SAMPLED_ENGINES: usize = 10;

/// An engine that may prefill a prompt.
#[derive(Clone, Debug)]
pub struct EngineCandidate {
    /// Identifier of the engine, which rendezvous hashing uses.
    pub id: Arc<str>,
    /// Failure domain that contains the engine.
    pub failure_domain: Arc<str>,
    /// Current role.
    pub role: EngineRole,
    /// Whether the engine gets no prompts because it is leaving, was already tried for
    /// this request, or is kept from requests by a backoff or its circuit breaker. Other
    /// engines may still fetch KV cache from it.
    pub is_excluded: bool,
    /// Whether the engine has recently failed to answer. Such an engine gets no
    /// prompts, and no KV cache is fetched from it.
    pub is_unreachable: bool,
    /// Prompt tokens queued for prefill on the engine.
    pub queued_tokens: f64,
    /// Requests in flight on the engine.
    pub requests: f64,
    /// Maximum number of requests that the engine runs concurrently.
    pub slots: u32,
    /// Additional cost of using this engine, in milliseconds, which is added to the
    /// predicted time to the first event when engines are compared.
    pub penalty_ms: f64,
    /// Time that a prefill takes on the engine, as a multiple of what the profile predicts.
    pub slowness: f64,
}

impl EngineCandidate {
    /// Returns `true` if the engine accepts prompts.
    fn is_open(&self) -> bool {
        !self.is_excluded && !self.is_unreachable
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
    /// Learned service times of the service's engines.
    pub profile: &'a EngineProfile,
    /// Prompt parts that each engine is estimated to have cached.
    pub cached: &'a CachedChains,
    /// Number of tokens that one engine can cache for this instance's prompts.
    pub capacity_tokens: u64,
    /// Time to transfer the KV cache of one token between engines, in
    /// milliseconds.
    pub token_transfer_ms: f64,
    /// Objective for the time between two events of a stream, in milliseconds.
    pub event_objective_ms: f64,
    /// Objective for the time to the first event, in milliseconds.
    pub latency_objective_ms: f64,
    /// Whether the copy is preferred to the home.
    pub prefers_copy: bool,
    /// Estimated fraction of the long prompts for which the prefill engines have
    /// capacity. The other long prompts get a local prefill.
    pub prefill_share: f64,
    /// Random number that selects the engines sampled from a large fleet.
    pub sample_point: u64,
    /// Prompt parts that each engine has cached, if this instance places the prompts of all
    /// instances; `None` if it places only its own.
    ///
    /// With it, all engines are compared, since their backlogs are known, and KV cache is
    /// fetched only from engines that have it.
    pub fleet_cached: Option<&'a CachedChains>,
}

/// Selects the engines to compare, and returns for each engine whether it is
/// selected.
///
/// `open` tells for each engine whether it accepts prompts. If at most 16 engines
/// do, all of these are selected. Otherwise 10 of them are selected, pseudo-randomly
/// by `sample_point`.
#[must_use]
pub fn sample_engines<I>(open: I, sample_point: u64) -> Vec<bool>
where
    I: Iterator<Item = bool>,
{
    let mut sampled: Vec<bool> = open.collect();
    let mut ranked = Vec::with_capacity(sampled.len());
    for (index, is_open) in sampled.iter().enumerate() {
        if *is_open {
            ranked.push((splitmix64(sample_point ^ splitmix64(index as u64)), index));
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
    /// Prompt tokens that the engine has to prefill because they are not cached.
    pub uncached_tokens: u32,
    /// Index of the candidate from which the engine fetches the KV cache of the
    /// shared parts before the prefill; `None` if the engine fetches nothing.
    pub fetch_from: Option<usize>,
    /// Whether the engine also generates the answer.
    pub is_local_prefill: bool,
    /// Predicted time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Portion of `first_event_ms` spent behind other requests, in milliseconds.
    pub wait_ms: f64,
    /// Portion of `wait_ms` for which the request does not run, in milliseconds. The rest is
    /// the slowdown by requests that run at the same time.
    pub queue_ms: f64,
}

impl Placement {
    /// Returns `true` if the wait behind other requests alone exceeds 1.25 times
    /// the latency objective.
    ///
    /// An engine that queued such requests would serve all of them late. Refusing
    /// them keeps the accepted requests on time.
    #[must_use]
    pub fn is_overloaded(&self, latency_objective_ms: f64) -> bool {
        self.wait_ms > MAX_WAIT_OBJECTIVES * latency_objective_ms
    }
}

/// Chooses the engine that prefills a prompt; `None` if no engine is open.
///
/// If the chosen engine is not known to have the shared parts cached, and fetching
/// them is faster than their prefill, [`Placement::fetch_from`] is another engine
/// that is likely to have the shared parts cached.
#[must_use]
pub fn choose_prefill_engine(
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

/// Returns the indices of the candidates that [`choose_prefill_engine`] compares for a
/// prompt.
#[must_use]
pub fn compared_candidates(
    prompt: &Prompt,
    candidates: &[EngineCandidate],
    input: &PlacementInput<'_>,
) -> Vec<usize> {
    PlacementEvaluator::new(prompt, candidates, input).compared_candidates()
}
