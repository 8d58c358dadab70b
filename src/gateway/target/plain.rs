//! Forwards requests whose answers are buffered completely before they are
//! returned.

use std::{sync::Arc, time::Duration};

use hyper::{Response, StatusCode};
use tokio::time::Instant;

use crate::{
    call::{Call, Step},
    gateway::{
        admission::permit::is_still_permitted,
        caller::reply::{Body, Refusal, full_body},
        state::State,
        target::{
            attempt::{self, AttemptError, BufferedAnswer},
            attempt_history::AttemptHistory,
            in_flight::InFlightGuard,
            loads::AttemptOutcome,
            speeds::AttemptTiming,
        },
    },
    platform::{AttemptHead, CallerHead, caller_headers},
    policy::{
        retry::{Failure, RetryDecision},
        spread::{SpreadCandidate, SpreadWeights, choose_by_cost, choose_least_loaded},
    },
    roster::Target,
};

/// Time limit of an attempt while another attempt is still possible, as a multiple
/// of the latency objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 2;

/// Minimum time left before the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Costs added to a target's load in the selection, as shares of the target's slots.
pub(in crate::gateway) const WEIGHTS: SpreadWeights = SpreadWeights {
    other_domain: 0.35,
    failing: 3.0,
    role_change: 0.0,
};

/// Forwards a call and returns a target's answer with its complete body.
///
/// # Errors
///
/// Fails if no attempt got an answer.
pub(in crate::gateway) async fn forward(
    state: &Arc<State>,
    call: &Arc<Call>,
    head: &CallerHead,
) -> Result<Response<Body>, Refusal> {
    let mut history = AttemptHistory::default();
    let mut last_error = None;
    // A target's server error, returned if no later attempt gets an answer.
    let mut failed_answer = None;
    loop {
        let now = Instant::now();
        let exhausted =
            call.time_left(now) < MIN_ATTEMPT_TIME || !is_still_permitted(state, call, head);
        if let Some(left) = state.quarantine_left(call) {
            return Err(history.quarantine_refusal(left, last_error.as_ref()));
        }
        let target = match exhausted {
            true => None,
            false => choose_target(state, call, &history.tried),
        };
        let Some(target) = target else {
            break;
        };
        history.tried.push(target.id.clone());
        let failure = match attempt_once(state, call, &target, &history).await {
            Ok(answer) if !is_retryable_failure(call, &answer) => {
                return Ok(answer_response(answer));
            }
            Ok(answer) => {
                failed_answer = Some(answer);
                Failure::IncompleteAnswer
            }
            Err(error) => {
                let failure = error.failure;
                last_error = Some(error);
                failure
            }
        };
        if history.record_failure(state, call, failure) != RetryDecision::Retry {
            break;
        }
    }
    match failed_answer {
        Some(answer) => Ok(answer_response(answer)),
        None => Err(history.refusal(last_error.as_ref())),
    }
}

async fn attempt_once(
    state: &Arc<State>,
    call: &Arc<Call>,
    target: &Arc<Target>,
    history: &AttemptHistory,
) -> Result<BufferedAnswer, AttemptError> {
    let timing = AttemptTiming::start(state, target);
    let result = exchange(state, call, target, history).await;
    let Some(timing) = timing else {
        return result;
    };
    match &result {
        Ok(answer) if answer.status.is_success() => timing.finish(state, call, Ok(())),
        Ok(_) => {}
        Err(error) => timing.finish(state, call, Err(error.failure)),
    }
    result
}

async fn exchange(
    state: &Arc<State>,
    call: &Arc<Call>,
    target: &Arc<Target>,
    history: &AttemptHistory,
) -> Result<BufferedAnswer, AttemptError> {
    call.caller.enter(Step::Plain);
    let _in_flight = InFlightGuard::new(state, &target.id, 0);
    let may_retry = call.route.is_repeatable() && history.attempts + 1 < call.route.max_attempts;
    let deadline = match may_retry {
        true => {
            let limit = Instant::now() + call.route.latency_objective * ATTEMPT_TIMEOUT_OBJECTIVES;
            limit.min(call.deadline)
        }
        false => call.deadline,
    };
    let answer = attempt::send(state, call, target, AttemptHead::default(), deadline).await?;
    let answer = answer.collect(state, call, deadline).await?;
    if answer.status.is_success() && !answer.head.is_signed {
        let error = AttemptError::incomplete_answer("answer without signature");
        attempt::record_failure(state, call, target, &error).await;
        return Err(error);
    }
    let outcome = match answer.status.is_server_error() {
        true => AttemptOutcome::Failed,
        false => AttemptOutcome::Answered,
    };
    let now_ms = state.now_ms();
    state.loads().observe(&target.id, outcome, now_ms);
    if let Some(account) = &call.account {
        state.usage().record(&account.name);
    }
    Ok(answer)
}

fn choose_target(state: &State, call: &Call, tried: &[Arc<str>]) -> Option<Arc<Target>> {
    let mut candidates = candidates(state, call, tried);
    let index = choose(state, &candidates)?;
    let chosen = candidates.targets.swap_remove(index);
    let now_ms = state.now_ms();
    state.loads().record_send(&chosen.id, now_ms);
    Some(chosen)
}

/// Targets to which a call may be sent.
#[derive(Debug)]
pub(in crate::gateway) struct Candidates {
    pub(in crate::gateway) targets: Vec<Arc<Target>>,
    /// What the choice is based on, for each of `targets`.
    pub(in crate::gateway) spread: Vec<SpreadCandidate>,
}

/// Returns the targets to which a call may be sent; those in `tried` are left out.
pub(in crate::gateway) fn candidates(state: &State, call: &Call, tried: &[Arc<str>]) -> Candidates {
    let now_ms = state.now_ms();
    let mut targets = state.ready_targets(&call.service);
    targets.retain(|target| !tried.contains(&target.id) && state.admits(target));
    let loads = state.loads();
    let mut allowed = Vec::new();
    for target in &targets {
        if loads.allows(&target.id, now_ms) {
            allowed.push(target.clone());
        }
    }
    // If backoffs and circuit breakers exclude all targets, one of the targets is
    // tried anyway.
    if allowed.is_empty() {
        allowed = targets;
    }
    let mut spread = Vec::with_capacity(allowed.len());
    for target in &allowed {
        let in_flight = loads.in_flight(&target.id, now_ms).requests;
        spread.push(SpreadCandidate {
            in_flight,
            slots: target.slots,
            in_same_domain: target.failure_domain == state.settings.failure_domain,
            failure_rate: loads.failure_rate(&target.id),
            may_change_role: false,
            slowness: state.slowness(&target.id, in_flight),
        });
    }
    Candidates {
        targets: allowed,
        spread,
    }
}

/// Returns the index of the candidate that is chosen, if there is one.
pub(in crate::gateway) fn choose(state: &State, candidates: &Candidates) -> Option<usize> {
    let point = rand::random();
    match state.settings.placement.shared {
        true => choose_by_cost(&candidates.spread, &WEIGHTS, point),
        false => choose_least_loaded(&candidates.spread, &WEIGHTS, point),
    }
}

/// Returns whether an answer is a server error on a route that allows retries.
pub(in crate::gateway) fn is_retryable_failure(call: &Call, answer: &BufferedAnswer) -> bool {
    answer.status.is_server_error() && call.route.is_repeatable()
}

/// Converts a target's answer into the response to the caller.
///
/// An unsigned answer whose status would tell the caller that the request did not run
/// becomes [`Refusal::AnswerLost`].
pub(in crate::gateway) fn answer_response(answer: BufferedAnswer) -> Response<Body> {
    let unsigned_promise = !answer.head.is_signed && promises_not_run(answer.status);
    if unsigned_promise {
        return Refusal::AnswerLost.response(answer.head.request_id.as_deref(), None);
    }
    let mut response = Response::new(full_body(answer.bytes));
    *response.status_mut() = answer.status;
    *response.headers_mut() = caller_headers(&answer.headers);
    response
}

/// Returns whether a status tells callers that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
