//! Selection of the engine that decodes an answer.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    call::{Call, Prompt},
    gateway::state::State,
    policy::{
        cache_locality::{chain_hash, rendezvous_weight},
        engine_profile::EngineProfile,
        placement::sample_engines,
        spread::{SpreadCandidate, SpreadWeights, choose_least_loaded},
    },
    roster::Target,
    target::protocol::EngineRole,
};

/// Costs added to an engine's load in the selection, as shares of the engine's
/// slots.
pub(in crate::gateway) const WEIGHTS: SpreadWeights = SpreadWeights {
    other_domain: 0.05,
    failing: 3.0,
    role_change: 0.4,
};

/// Cost of an engine other than the prompt's home, as a share of the engine's
/// slots; scaled by [`locality_weight`]. The home is the engine that should have
/// the prompt's shared parts in its KV cache.
const OTHER_ENGINE_COST: f64 = 0.5;

/// Lower bound of the predicted time for which a stream occupies a slot, in
/// milliseconds; prevents a division by zero.
pub(in crate::gateway) const MIN_SLOT_TIME_MS: f64 = 1.0;

/// Time within which the role of a new engine is decided, before the change
/// itself.
const ROLE_DECISION_TIME: Duration = Duration::from_millis(1_500);

/// Returns the age by which a new engine's role is decided and its role change
/// is complete; the engine refuses requests during the change.
pub(in crate::gateway) fn role_settle_time(state: &State, service: &str) -> Duration {
    let engine = state.engine(service);
    engine.map_or(Duration::ZERO, |engine| {
        engine.role_change + ROLE_DECISION_TIME
    })
}

/// The engine selected to decode an answer.
#[derive(Debug)]
pub(in crate::gateway) struct DecodeChoice {
    pub(in crate::gateway) target: Arc<Target>,
    /// Prompt tokens waiting for prefill on `target`.
    pub(in crate::gateway) queued_tokens: f64,
    /// Requests in flight on `target`, from all instances.
    pub(in crate::gateway) requests: f64,
}

/// Selects an engine that decodes and is not in `tried`; engines outside
/// `failure_domain` cost more.
pub(in crate::gateway) fn choose_engine(
    state: &State,
    call: &Call,
    failure_domain: &str,
    tried: &[Arc<str>],
) -> Option<DecodeChoice> {
    let now_ms = state.now_ms();
    let mut targets = state.ready_targets(&call.service);
    targets.retain(|target| {
        let decodes = target.role != Some(EngineRole::Prefill);
        decodes && !tried.contains(&target.id) && state.admits(target)
    });
    let profile = state.engines().profile(&call.service);
    let max_output_tokens = call
        .prompt
        .as_ref()
        .map_or(0, |prompt| prompt.max_output_tokens);
    let slot_time_ms = profile
        .slot_time_ms(max_output_tokens)
        .max(MIN_SLOT_TIME_MS);
    let loads = state.loads();
    targets.retain(|target| loads.allows(&target.id, now_ms));
    let home = home(call, &targets);
    // In a large fleet, only a random sample of the engines and the home are compared.
    let sample_point = rand::random();
    let mut sampled = sample_engines(targets.iter().map(|_| true), sample_point).into_iter();
    targets.retain(|target| sampled.next() == Some(true) || home.as_ref() == Some(&target.id));
    let other_engine_cost = OTHER_ENGINE_COST
        * call
            .prompt
            .as_ref()
            .map_or(0.0, |prompt| locality_weight(prompt, &profile));
    let settle_time = role_settle_time(state, &call.service);
    let is_settled = |target: &Target| target.first_seen_at.elapsed() >= settle_time;
    let settled = targets.iter().filter(|target| is_settled(target)).count();
    // If most engines are new, penalising them would send all requests to the
    // few others.
    let prefers_settled = 2 * settled >= targets.len();
    let mut candidates = Vec::with_capacity(targets.len());
    for target in &targets {
        let in_flight = loads.in_flight(&target.id, now_ms);
        let queued_prefill_ms = in_flight.queued_tokens * profile.local_prefill_ms_per_token();
        // Local prefill stalls the streams in all slots of the engine.
        let mut occupied_slots = queued_prefill_ms * f64::from(target.slots) / slot_time_ms;
        if home.as_ref() != Some(&target.id) {
            occupied_slots += other_engine_cost * f64::from(target.slots);
        }
        candidates.push(SpreadCandidate {
            in_flight: in_flight.requests + occupied_slots,
            slots: target.slots,
            in_same_domain: *target.failure_domain == *failure_domain,
            failure_rate: loads.failure_rate(&target.id),
            may_change_role: prefers_settled && !is_settled(target),
            slowness: state.slowness(&target.id, in_flight.requests),
        });
    }
    let index = choose_least_loaded(&candidates, &WEIGHTS, rand::random())?;
    let target = targets.swap_remove(index);
    let in_flight = loads.in_flight(&target.id, now_ms);
    Some(DecodeChoice {
        target,
        queued_tokens: in_flight.queued_tokens,
        requests: in_flight.requests,
    })
}

/// Returns the choice of an engine that the dispatcher has selected; `None` if the engine
/// takes no request now or was tried.
pub(in crate::gateway) fn accept(
    state: &State,
    target: Arc<Target>,
    tried: &[Arc<str>],
) -> Option<DecodeChoice> {
    if tried.contains(&target.id) || !state.is_ready_target(&target) || !state.admits(&target) {
        return None;
    }
    let now_ms = state.now_ms();
    let loads = state.loads();
    if !loads.allows(&target.id, now_ms) {
        return None;
    }
    let in_flight = loads.in_flight(&target.id, now_ms);
    drop(loads);
    Some(DecodeChoice {
        target,
        queued_tokens: in_flight.queued_tokens,
        requests: in_flight.requests,
    })
}

/// Returns whether any engine of a service decodes and may be sent a request now.
pub(in crate::gateway) fn has_engine(state: &State, service: &str) -> bool {
    state.with_roster(|roster| {
        roster
            .ready(service, Instant::now())
            .any(|target| target.role != Some(EngineRole::Prefill) && state.admits(target))
    })
}

/// Returns the home of a call's prompt: the engine among `targets` with the highest
/// rendezvous weight for [`Prompt::cache_affinity_parts`]. The home should have these
/// parts cached.
fn home(call: &Call, targets: &[Arc<Target>]) -> Option<Arc<str>> {
    let key = chain_hash(call.prompt.as_ref()?.cache_affinity_parts());
    let heaviest = targets
        .iter()
        .max_by_key(|target| rendezvous_weight(key, &target.id));
    heaviest.map(|target| target.id.clone())
}

/// Returns the weight of cache locality for a prompt, from 0 to 1. The weight is
/// the time to prefill the prompt's shared parts, divided by the sum of that time
/// and the decode time.
fn locality_weight(prompt: &Prompt, profile: &EngineProfile) -> f64 {
    let shared_ms = f64::from(prompt.shared_tokens()) * profile.remote_prefill_ms_per_token();
    let slot_time_ms = profile.slot_time_ms(prompt.max_output_tokens);
    shared_ms / (shared_ms + slot_time_ms).max(MIN_SLOT_TIME_MS)
}
