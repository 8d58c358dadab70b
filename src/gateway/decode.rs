//! Choice of the engine that generates an answer.

use std::sync::Arc;

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
};

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
    let mut candidates = Vec::with_capacity(targets.len());
    for target in &targets {
        candidates.push(SpreadCandidate {
            in_flight: loads.in_flight(&target.id).requests,
            slots: target.slots,
            is_near: *target.failure_domain == *failure_domain,
            failure_rate: loads.failure_rate(&target.id),
        });
    }
    let index = choose_least_loaded(&candidates, &WEIGHTS, rand::random())?;
    Some(targets.swap_remove(index))
}
