//! Which engine reads a prompt.
//!
//! An engine that prefills reads faster, and hands its KV cache over to one
//! that decodes. One that decodes reads slower and beside its streams, and
//! goes on to the answer. The engine from which the first event is expected
//! soonest is chosen among the homes of the prompt's parts and a few others.

mod evaluator;

use std::sync::Arc;

use self::evaluator::PlacementEvaluator;
use super::{
    engine_profile::EngineProfile,
    homes::{CachedChains, mix},
};
use crate::{call::Prompt, target::protocol::EngineRole};

/// Longest wait for others, in times of the latency objective.
const MAX_WAIT_OBJECTIVES: f64 = 1.25;

/// Engines of a fleet in which all are compared.
const SMALL_FLEET: usize = 16;

/// Engines of a larger fleet that are compared with the homes of a prompt:
/// instances that know loads late must not all run to the idlest one.
const SAMPLED_ENGINES: usize = 10;

/// An engine that may read a prompt.
#[derive(Clone, Debug)]
pub struct EngineCandidate {
    /// Identifier.
    pub id: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Role.
    pub role: EngineRole,
    /// Whether it is about to leave: it takes no prompts, and others may still
    /// fetch from it.
    pub is_leaving: bool,
    /// Whether it did not answer lately: it takes no prompts, and nothing is
    /// fetched from it.
    pub is_unreachable: bool,
    /// Tokens that wait to be read there.
    pub queued_tokens: f64,
    /// Requests in flight there.
    pub requests: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Cost of choosing it beyond its queue, in milliseconds.
    pub penalty_ms: f64,
}

impl EngineCandidate {
    /// Returns whether it takes prompts.
    fn is_open(&self) -> bool {
        !self.is_leaving && !self.is_unreachable
    }

    /// Returns whether it prefills prompts for others.
    #[must_use]
    pub fn prefills(&self) -> bool {
        self.role == EngineRole::Prefill
    }
}

/// What a choice rests on beside the engines' queues.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Learned times of the service's engines.
    pub profile: &'a EngineProfile,
    /// What engines have cached.
    pub cached: &'a CachedChains,
    /// Tokens that an engine keeps cached for this instance.
    pub capacity_tokens: u64,
    /// Time in which the KV cache of a token moves between engines, in
    /// milliseconds.
    pub token_transfer_ms: f64,
    /// Longest pause between events that is on time, in milliseconds.
    pub event_objective_ms: f64,
    /// Time within which a first event is on time, in milliseconds.
    pub latency_objective_ms: f64,
    /// Whether the copy of the shared parts comes before their home.
    pub prefers_copy: bool,
    /// Part of the long prompts that engines that prefill can read, as far as
    /// the demand on all of them is known; the others are read where they are
    /// decoded.
    pub prefill_share: f64,
    /// Random number by which engines of a large fleet are sampled.
    pub sample_point: u64,
}

/// Returns which of many engines are compared: all that are `open` in a small
/// fleet, a few in a large one, as the random number `point` says.
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

/// Where a prompt is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Index of the candidate.
    pub index: usize,
    /// Tokens that it has to read.
    pub uncached_tokens: u32,
    /// Index of the candidate from which it fetches the shared parts first.
    pub fetch_from: Option<usize>,
    /// Whether it goes on to the answer.
    pub is_local_prefill: bool,
    /// Time after which the first event is expected, in milliseconds.
    pub first_event_ms: f64,
    /// Part of it in which others are served first, in milliseconds.
    pub wait_ms: f64,
}

impl Placement {
    /// Returns whether the wait for others alone makes a first event late that
    /// is due within `latency_objective_ms`.
    ///
    /// Engines that let such requests wait serve all of them late; without
    /// them, they serve the others on time.
    #[must_use]
    pub fn is_overloaded(&self, latency_objective_ms: f64) -> bool {
        self.wait_ms > MAX_WAIT_OBJECTIVES * latency_objective_ms
    }
}

/// Chooses the engine that reads a prompt.
///
/// Shared parts have a home and a copy in another failure domain. An engine
/// that is not known to have the parts fetches them from one that should.
#[must_use]
pub fn place(
    prompt: &Prompt,
    candidates: &[EngineCandidate],
    input: &PlacementInput<'_>,
) -> Option<Placement> {
    let evaluator = PlacementEvaluator::new(prompt, candidates, input);
    let decode_wait_ms = evaluator.decode_wait_ms();
    let mut best: Option<(f64, u64, Placement)> = None;
    for index in evaluator.compared() {
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

/// Returns the candidates that [`place`] compares for a prompt.
#[must_use]
pub fn compared(
    prompt: &Prompt,
    candidates: &[EngineCandidate],
    input: &PlacementInput<'_>,
) -> Vec<usize> {
    PlacementEvaluator::new(prompt, candidates, input).compared()
}
