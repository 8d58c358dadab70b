//! Forwards requests whose answers are event streams.

use std::{sync::Arc, time::Duration};

use hyper::Response;
use tokio::time::Instant;

use crate::{
    call::{Call, Step},
    gateway::{
        admission::permit::is_still_permitted,
        caller::reply::{Body, Refusal, stream_body},
        dispatch::Ticket,
        engine::{
            decode,
            placement::{PrefillChoice, record_cached_prompt},
            prefill::{PrefillHandle, PrefillOutcome, prefill},
            relay::{EngineStream, Relay},
            stream_times::{StartWork, StreamTimes},
        },
        state::State,
        target::{
            attempt::{self, Answer, AttemptError},
            attempt_history::AttemptHistory,
            in_flight::InFlightGuard,
            plain::{answer_response, is_retryable_failure},
        },
    },
    intake::HeldMemory,
    platform::{AttemptHead, CallerHead, caller_headers},
    policy::retry::{Failure, RetryDecision},
    roster::Target,
};

/// Minimum time left before a call's deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Divisor of the time left until the call's deadline. The quotient is the time
/// limit for the head of an engine's answer while the call can still be retried.
const START_TIME_DIVISOR: u32 = 2;

/// Forwards a call and returns the stream of its answer.
///
/// # Errors
///
/// Fails if the engines are overloaded, if the retry budget is used up, if the
/// caller is no longer permitted to make the call, or if no engine starts to
/// answer.
pub(in crate::gateway) async fn forward(
    state: &Arc<State>,
    call: &Arc<Call>,
    head: &CallerHead,
    memory: Option<HeldMemory>,
) -> Result<Response<Body>, Refusal> {
    let mut history = AttemptHistory::default();
    let mut last_error = None;
    let mut handle = None;
    let mut prompt_to_prefill = call.prompt.as_ref();
    let mut handle_refused = false;
    let mut local_prefill = None;
    loop {
        if let Some(prompt) = prompt_to_prefill.take() {
            handle = match prefill(state, call, prompt, history.is_unsent()).await {
                PrefillOutcome::Done(handle) => Some(handle),
                PrefillOutcome::Local(choice) => {
                    local_prefill = Some(choice);
                    None
                }
                PrefillOutcome::Skipped => None,
                PrefillOutcome::Overloaded { wait_ms } => {
                    return Err(Refusal::Overloaded { wait_ms });
                }
                PrefillOutcome::Refused(refusal) => return Err(refusal),
                PrefillOutcome::OverBudget => return Err(history.refusal(last_error.as_ref())),
            };
        }
        let exhausted = call.time_left(Instant::now()) < MIN_ATTEMPT_TIME;
        if exhausted || !is_still_permitted(state, call, head) {
            break;
        }
        if let Some(left) = state.quarantine_left(call) {
            return Err(history.quarantine_refusal(left, last_error.as_ref()));
        }
        let choice = local_prefill.take();
        let planned = plan_decode(state, call, handle.as_mut(), choice, &history.tried);
        let Some(mut plan) = planned else {
            break;
        };
        let target = plan.target.clone();
        state.loads().record_send(&target.id, state.now_ms());
        let times = plan.stream_times(call);
        let in_flight = InFlightGuard::new(state, &target.id, u64::from(plan.uncached_tokens))
            .with_ticket(plan.ticket.take());
        let deadline = start_deadline(call, &history);
        let result = send_to_engine(state, call, &plan, handle.as_ref(), deadline).await;
        let failure = match result {
            Ok(answer) if answer.status.is_success() => {
                if let Some(handle) = handle.take() {
                    handle.mark_fetched();
                }
                record_cached_prompt(state, call, &target);
                return Ok(relay_response(
                    state, call, answer, in_flight, times, history, memory,
                ));
            }
            Ok(answer) => {
                let answer = answer.collect(state, call, call.deadline).await;
                match answer {
                    Ok(answer) if !is_retryable_failure(call, &answer) => {
                        return Ok(answer_response(answer));
                    }
                    Ok(_) => Failure::IncompleteAnswer,
                    Err(error) => error.failure,
                }
            }
            Err(error) => {
                let failure = error.failure;
                last_error = Some(error);
                failure
            }
        };
        let had_handle = handle.is_some();
        discard_handle(&mut handle, failure, &mut handle_refused);
        history.tried.push(target.id.clone());
        if history.record_failure(state, call, failure) != RetryDecision::Retry {
            break;
        }
        // The KV cache was discarded, so the prompt is prefilled again, preferably
        // on an engine that still has parts of the prompt cached.
        if had_handle && handle.is_none() && state.withdraw_retry(&call.service) {
            prompt_to_prefill = call.prompt.as_ref();
        }
    }
    Err(history.refusal(last_error.as_ref()))
}

/// The engine that decodes an answer, and the engine's work before the first event.
#[derive(Debug)]
struct DecodePlan {
    target: Arc<Target>,
    start: StartWork,
    /// Prompt tokens that `target` has to prefill.
    uncached_tokens: u32,
    /// Engine from which `target` fetches the KV cache of the prompt's shared parts.
    fetch_from: Option<Arc<Target>>,
    /// Requests in flight on `target`, from all instances, when it was selected.
    requests_in_flight: f64,
    /// Whether prompts were waiting for prefill on `target` when it was selected.
    has_queued_prefills: bool,
    /// Reports the progress of the placement to the dispatcher, if there is one.
    ticket: Option<Ticket>,
}

impl DecodePlan {
    /// Starts the timing of the stream that the plan's engine will send.
    fn stream_times(&self, call: &Call) -> StreamTimes {
        let output = call
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.max_output_tokens);
        let objective = call.route.event_objective;
        StreamTimes::new(&self.target, self.start, self.requests_in_flight)
            .with_max_output_tokens(output)
            .with_pause_objective(objective.filter(|_| self.has_queued_prefills))
    }
}

/// Selects the engine that decodes an answer.
///
/// If an engine was chosen for local prefill (prefill and decode on one engine),
/// that engine is selected. Otherwise a decoding engine is selected, preferably in
/// the failure domain of the engine that has prefilled the prompt, or of this instance
/// if no engine has.
fn plan_decode(
    state: &State,
    call: &Call,
    mut handle: Option<&mut PrefillHandle>,
    local_prefill: Option<PrefillChoice>,
    tried: &[Arc<str>],
) -> Option<DecodePlan> {
    if let Some(choice) = local_prefill {
        return Some(DecodePlan {
            start: StartWork::LocalPrefill {
                tokens: choice.queued_tokens + f64::from(choice.uncached_tokens),
            },
            target: choice.target,
            uncached_tokens: choice.uncached_tokens,
            fetch_from: choice.fetch_from,
            requests_in_flight: choice.requests,
            has_queued_prefills: choice.queued_tokens > 0.0,
            ticket: choice.ticket,
        });
    }
    let ticket = handle.as_mut().and_then(|handle| handle.ticket.take());
    let dispatched = handle
        .as_mut()
        .and_then(|handle| handle.decode_target.take());
    let failure_domain = match &handle {
        Some(handle) => &handle.target.failure_domain,
        None => &state.settings.failure_domain,
    };
    let dispatched = dispatched.and_then(|target| decode::accept(state, target, tried));
    let chosen = match dispatched {
        Some(chosen) => chosen,
        None => decode::choose_engine(state, call, failure_domain, tried)?,
    };
    let prompt_tokens = call
        .prompt
        .as_ref()
        .map_or(0, |prompt| prompt.prompt_tokens);
    let (start, uncached_tokens) = match handle {
        Some(_) => {
            let tokens = f64::from(prompt_tokens);
            (StartWork::KvFetch { tokens }, 0)
        }
        None => {
            let tokens = chosen.queued_tokens + f64::from(prompt_tokens);
            (StartWork::LocalPrefill { tokens }, prompt_tokens)
        }
    };
    Some(DecodePlan {
        target: chosen.target,
        start,
        uncached_tokens,
        fetch_from: None,
        requests_in_flight: chosen.requests,
        has_queued_prefills: chosen.queued_tokens > 0.0,
        ticket,
    })
}

/// Sends a call to the plan's engine and returns once the head of the engine's
/// answer has arrived. A successful answer without a signature is an error.
async fn send_to_engine(
    state: &Arc<State>,
    call: &Arc<Call>,
    plan: &DecodePlan,
    handle: Option<&PrefillHandle>,
    deadline: Instant,
) -> Result<Answer, AttemptError> {
    let head = AttemptHead {
        kv_source: handle.map(|handle| &handle.source),
        fetch_from: plan.fetch_from.as_ref().map(|source| source.address),
        resume_after: call.resume_after.as_deref(),
        ..AttemptHead::default()
    };
    let target = &plan.target;
    call.caller.enter(Step::Decode);
    let answer = attempt::send(state, call, target, head, deadline).await?;
    if answer.status.is_success() && !answer.head.is_signed {
        answer.mark_failed();
        let error = AttemptError::incomplete_answer("answer without signature");
        attempt::record_failure(state, call, target, &error).await;
        return Err(error);
    }
    Ok(answer)
}

/// Returns the deadline for the head of an engine's answer. The deadline is earlier
/// than that of the call if another attempt may follow.
fn start_deadline(call: &Call, history: &AttemptHistory) -> Instant {
    let may_retry = call.route.is_repeatable() && history.attempts + 1 < call.route.max_attempts;
    if !may_retry {
        return call.deadline;
    }
    let now = Instant::now();
    now + call.time_left(now) / START_TIME_DIVISOR
}

/// Discards the handle of a KV cache after a failed decode attempt, if the failed
/// engine may have fetched the KV cache or if a second engine refused the request.
///
/// A KV cache that may have been fetched is not released, because the failed engine
/// may still be using it. `refused` is true after the first refusal.
fn discard_handle(handle: &mut Option<PrefillHandle>, failure: Failure, refused: &mut bool) {
    if failure.is_not_written() || (failure.is_refused() && !std::mem::replace(refused, true)) {
        return;
    }
    if let Some(handle) = handle.take()
        && !failure.is_refused()
    {
        handle.mark_fetched();
    }
}

fn relay_response(
    state: &Arc<State>,
    call: &Arc<Call>,
    answer: Answer,
    in_flight: InFlightGuard,
    times: StreamTimes,
    history: AttemptHistory,
    memory: Option<HeldMemory>,
) -> Response<Body> {
    let status = answer.status;
    let headers = caller_headers(&answer.headers);
    let relay = Relay::new(
        state.clone(),
        call.clone(),
        EngineStream::new(answer, in_flight, times),
        history,
        memory,
    );
    let mut response = Response::new(stream_body(relay.into_stream()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
