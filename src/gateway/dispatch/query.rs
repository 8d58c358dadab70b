//! Contents of queries and of their answers.

use std::sync::Arc;

use tokio::time::Instant;

use super::{
    datagram::encode_prompt,
    frames::{Placed, Query},
};
use crate::{
    call::{Call, Prompt},
    gateway::{engine::placement::PrefillChoice, state::State},
    policy::cache_locality::rendezvous_weight,
};

pub(super) fn build_query(
    call: &Call,
    prompt: &Prompt,
    tried: &[Arc<str>],
    may_refuse: bool,
    number: u64,
) -> Query {
    let event_objective = call.route.event_objective;
    let event_objective = event_objective.unwrap_or(call.route.latency_objective);
    Query {
        number,
        service: call.service.to_string(),
        prompt: Some(encode_prompt(prompt)),
        objective_ms: call.route.latency_objective.as_millis() as u32,
        event_objective_ms: event_objective.as_millis() as u32,
        left_ms: call.time_left(Instant::now()).as_millis() as u32,
        priority: call.priority.into(),
        account: rendezvous_weight(0, call.account_name()),
        tried: tried.iter().map(|id| id.to_string()).collect(),
        may_refuse,
    }
}

/// Returns the choice that an answer describes; `None` if this instance does not know the
/// engine or the engine takes no request now.
pub(super) fn decode_choice(state: &State, call: &Call, placed: &Placed) -> Option<PrefillChoice> {
    let find = |id: &str| state.with_roster(|roster| roster.get(id).cloned());
    let target = find(&placed.target).filter(|target| target.service == call.service)?;
    if !state.is_ready_target(&target) || !state.admits(&target) {
        return None;
    }
    Some(PrefillChoice {
        target,
        queued_tokens: placed.queued_tokens.into(),
        requests: placed.requests.into(),
        uncached_tokens: placed.uncached_tokens,
        fetch_from: find(&placed.fetch_from),
        is_local_prefill: placed.local_prefill,
        first_event_ms: placed.first_event_ms.into(),
        wait_ms: placed.wait_ms.into(),
        // The dispatcher refuses what would wait too long.
        is_overloaded: false,
        decode_target: find(&placed.decode_target),
        ticket: None,
    })
}

pub(super) fn record_query(outcome: &'static str, asked_at: Instant) {
    metrics::counter!("dispatch_queries_total", "outcome" => outcome).increment(1);
    metrics::histogram!("dispatch_query_ms").record(asked_at.elapsed().as_secs_f64() * 1_000.0);
}
