//! Forwards requests whose answers are streams.

use std::{sync::Arc, time::Duration};

use hyper::Response;
use tokio::time::Instant;

use super::{
    admission::is_still_permitted,
    attempt::{self, Answer, AttemptError},
    decode,
    loads::InFlightGuard,
    plain::{answered, is_retryable_failure},
    prefill::{Prefill, PrefillHandle, prefill},
    progress::Progress,
    relay::{Relay, Source},
    reply::{Body, Refusal, streamed},
    state::{BodyMemory, State},
};
use crate::{
    call::Call,
    platform::{AttemptHead, CallerHead, caller_headers},
    policy::retry::{Failure, RetryDecision},
    roster::Target,
};

/// Least time left in which another attempt is worth while.
const MIN_ATTEMPT: Duration = Duration::from_millis(50);

/// Part of the time left that an engine may take to begin, if another may be
/// tried.
const BEGIN_TIME_SHARE: u32 = 2;

/// Forwards a call and returns the stream of its answer.
///
/// # Errors
///
/// Fails if no engine began to answer.
pub(super) async fn forward(
    state: &Arc<State>,
    call: &Arc<Call>,
    head: &CallerHead,
    memory: Option<BodyMemory>,
) -> Result<Response<Body>, Refusal> {
    let mut progress = Progress::default();
    let mut last_error = None;
    let mut handle = None;
    let mut unread = call.prompt.as_ref();
    let mut refused_handle = false;
    loop {
        if let Some(prompt) = unread.take() {
            handle = match prefill(state, call, prompt).await {
                Prefill::Done(handle) => Some(handle),
                Prefill::Skipped => None,
                Prefill::OverBudget => return Err(progress.refusal(last_error.as_ref())),
            };
        }
        let exhausted = call.time_left(Instant::now()) < MIN_ATTEMPT;
        if exhausted || !is_still_permitted(state, call, head) {
            break;
        }
        let near = handle
            .as_ref()
            .map_or(&state.settings.failure_domain, |handle| {
                &handle.target.failure_domain
            });
        let Some(target) = decode::choose(state, call, near, &progress.tried) else {
            break;
        };
        let to_read = match (&handle, &call.prompt) {
            (None, Some(prompt)) => prompt.prompt_tokens,
            _ => 0,
        };
        let in_flight = InFlightGuard::new(state, &target.id, u64::from(to_read));
        let by = begin_by(call, &progress);
        let result = begin(state, call, &target, handle.as_ref(), by).await;
        let failure = match result {
            Ok(answer) if answer.status.is_success() => {
                if let Some(handle) = handle.take() {
                    handle.take();
                }
                return Ok(relayed(state, call, answer, in_flight, progress, memory));
            }
            Ok(answer) => {
                let answer = answer.collect(state, call, call.answer_by).await;
                match answer {
                    Ok(answer) if !is_retryable_failure(call, &answer) => {
                        return Ok(answered(answer));
                    }
                    Ok(_) => Failure::Cut,
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
        give_up_handle(&mut handle, failure, &mut refused_handle);
        progress.tried.push(target.id.clone());
        if progress.fail(state, call, failure) != RetryDecision::Retry {
            break;
        }
        // The prompt's parts are cached where it was prefilled.
        if had_handle && handle.is_none() && state.withdraw_retry(&call.service) {
            unread = call.prompt.as_ref();
        }
    }
    Err(progress.refusal(last_error.as_ref()))
}

/// Sends a call to the engine that is to generate the answer.
async fn begin(
    state: &Arc<State>,
    call: &Call,
    target: &Arc<Target>,
    handle: Option<&PrefillHandle>,
    by: Instant,
) -> Result<Answer, AttemptError> {
    let head = AttemptHead {
        kv_source: handle.map(|handle| &handle.source),
        resume_after: call.resume_after.as_deref(),
        ..AttemptHead::default()
    };
    let answer = attempt::send(state, call, target, head, by).await?;
    if answer.status.is_success() && !answer.head.is_signed {
        let error = AttemptError::cut("answer without signature");
        attempt::record_failure(state, call, target, &error);
        return Err(error);
    }
    Ok(answer)
}

/// Returns until when an engine may take to begin.
fn begin_by(call: &Call, progress: &Progress) -> Instant {
    let may_retry = call.route.is_repeatable() && progress.attempts + 1 < call.route.max_attempts;
    if !may_retry {
        return call.answer_by;
    }
    let now = Instant::now();
    now + call.time_left(now) / BEGIN_TIME_SHARE
}

/// Gives a KV cache up that an engine may have taken, or that two engines
/// could not fetch.
fn give_up_handle(handle: &mut Option<PrefillHandle>, failure: Failure, refused: &mut bool) {
    if failure.is_not_written() || (failure.is_refused() && !std::mem::replace(refused, true)) {
        return;
    }
    if let Some(handle) = handle.take()
        && !failure.is_refused()
    {
        handle.take();
    }
}

fn relayed(
    state: &Arc<State>,
    call: &Arc<Call>,
    answer: Answer,
    in_flight: InFlightGuard,
    progress: Progress,
    memory: Option<BodyMemory>,
) -> Response<Body> {
    let status = answer.status;
    let headers = caller_headers(&answer.headers);
    let relay = Relay::new(
        state.clone(),
        call.clone(),
        Source::new(answer, in_flight),
        progress,
        memory,
    );
    let mut response = Response::new(streamed(relay.into_stream()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
