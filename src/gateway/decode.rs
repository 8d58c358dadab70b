//! Choice of the engine that generates an answer.

use std::{sync::Arc, time::Duration};

use super::state::State;
use crate::{
    call::Call,
    policy::spread::{SpreadCandidate, SpreadWeights, choose_least_loaded},
    roster::Target,
    target::protocol::EngineRole,
};

const WEIGHTS: SpreadWeights = SpreadWeights {
    far: 0.05,
    failing: 3.0,
    unsettled: 0.4,
};

/// Tokens of prompts that an engine has to read that weigh as much as a slot.
const TOKENS_A_SLOT: f64 = 200.0;

/// Time after which a new engine's role has been decided.
const ROLE_DECISION: Duration = Duration::from_millis(1_500);

/// Returns the time in which a new engine may be given another role: while it
/// changes, it refuses requests.
fn settle_time(state: &State, service: &str) -> Duration {
    let catalog = state.catalog();
    let engine = catalog
        .as_ref()
        .and_then(|catalog| catalog.service(service)?.engine.as_ref());
    engine.map_or(Duration::ZERO, |engine| engine.role_change + ROLE_DECISION)
}

/// Returns the fewest tokens of prompts that wait at an engine that decodes;
/// `None` if no such engine takes requests.
pub(super) fn least_queued_tokens(state: &State, call: &Call) -> Option<f64> {
    let now_ms = state.now_ms();
    let targets = state.ready_targets(&call.service);
    let loads = state.loads();
    let mut least: Option<f64> = None;
    for target in &targets {
        if target.role != Some(EngineRole::Decode) || !loads.allows(&target.id, now_ms) {
            continue;
        }
        let queued = loads.in_flight(&target.id).prefill_tokens as f64;
        least = Some(least.map_or(queued, |least| least.min(queued)));
    }
    least
}

/// Chooses an engine that decodes; one in `failure_domain` is reached best.
pub(super) fn choose(
    state: &State,
    call: &Call,
    failure_domain: &str,
    tried: &[Arc<str>],
) -> Option<Arc<Target>> {
    let now_ms = state.now_ms();
    let mut targets = state.ready_targets(&call.service);
    targets
        .retain(|target| target.role != Some(EngineRole::Prefill) && !tried.contains(&target.id));
    let mut loads = state.loads();
    targets.retain(|target| loads.allows(&target.id, now_ms));
    let settle = settle_time(state, &call.service);
    let is_settled = |target: &Target| target.seen_at.elapsed() >= settle;
    let settled = targets.iter().filter(|target| is_settled(target)).count();
    // Where most are new, those that are not would get all requests.
    let prefers_settled = 2 * settled >= targets.len();
    let mut candidates = Vec::with_capacity(targets.len());
    for target in &targets {
        let in_flight = loads.in_flight(&target.id);
        let reading = in_flight.prefill_tokens as f64 / TOKENS_A_SLOT;
        candidates.push(SpreadCandidate {
            in_flight: in_flight.requests + reading as u32,
            slots: target.slots,
            is_near: *target.failure_domain == *failure_domain,
            failure_rate: loads.failure_rate(&target.id),
            is_unsettled: prefers_settled && !is_settled(target),
        });
    }
    let index = choose_least_loaded(&candidates, &WEIGHTS, rand::random())?;
    let chosen = targets.swap_remove(index);
    loads.note_try(&chosen.id, now_ms);
    Some(chosen)
}
