//! Forwards requests whose answers are streams.

use std::{sync::Arc, time::Duration};

use hyper::Response;
use tokio::time::Instant;

use super::{
    admission::is_still_permitted,
    attempt::{self, Answer, AttemptError},
    decode,
    loads::InFlightGuard,
    placement::{PrefillChoice, record_cached_prompt},
    plain::{answered, is_retryable_failure},
    prefill::{PrefillHandle, PrefillOutcome, prefill},
    progress::Progress,
    relay::{Relay, Source},
    reply::{Body, Refusal, streamed},
    state::{BodyMemory, State},
    stream_times::{Start, StreamTimes},
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
    let mut local_prefill = None;
    loop {
        if let Some(prompt) = unread.take() {
            handle = match prefill(state, call, prompt, progress.is_unsent()).await {
                PrefillOutcome::Done(handle) => Some(handle),
                PrefillOutcome::Local(read) => {
                    local_prefill = Some(read);
                    None
                }
                PrefillOutcome::Skipped => None,
                PrefillOutcome::Overloaded { wait_ms } => {
                    return Err(Refusal::Overloaded { wait_ms });
                }
                PrefillOutcome::OverBudget => return Err(progress.refusal(last_error.as_ref())),
            };
        }
        let exhausted = call.time_left(Instant::now()) < MIN_ATTEMPT;
        if exhausted || !is_still_permitted(state, call, head) {
            break;
        }
        let read = local_prefill.take();
        let Some(way) = choose_way(state, call, handle.as_ref(), read, &progress.tried) else {
            break;
        };
        let target = way.target.clone();
        state.loads().record_send(&target.id, state.now_ms());
        let times = way.times(call);
        let in_flight = InFlightGuard::new(state, &target.id, u64::from(way.uncached_tokens));
        let by = begin_by(call, &progress);
        let result = begin(state, call, &way, handle.as_ref(), by).await;
        let failure = match result {
            Ok(answer) if answer.status.is_success() => {
                if let Some(handle) = handle.take() {
                    handle.mark_fetched();
                }
                record_cached_prompt(state, call, &target);
                return Ok(relayed(
                    state, call, answer, in_flight, times, progress, memory,
                ));
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

/// The engine that is to generate an answer, and what it has to do first.
#[derive(Debug)]
struct Way {
    target: Arc<Target>,
    start: Start,
    /// Tokens of the prompt that it has to read.
    uncached_tokens: u32,
    /// Engine that has the shared parts of the prompt.
    fetch_from: Option<Arc<Target>>,
    /// Requests that were in flight there.
    streams: f64,
    /// Whether prompts wait to be read there.
    reads_beside: bool,
}

impl Way {
    fn times(&self, call: &Call) -> StreamTimes {
        let output = call
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.max_output_tokens);
        let slots = self.target.slots;
        let objective = call.route.event_objective;
        StreamTimes::new(&call.service, self.start, self.streams, slots)
            .with_output(output)
            .with_pause_objective(objective.filter(|_| self.reads_beside))
    }
}

/// Chooses the engine that is to generate an answer: the one that reads the
/// prompt itself, or any that decodes, near the KV cache.
fn choose_way(
    state: &State,
    call: &Call,
    handle: Option<&PrefillHandle>,
    local_prefill: Option<PrefillChoice>,
    tried: &[Arc<str>],
) -> Option<Way> {
    if let Some(read) = local_prefill {
        return Some(Way {
            start: Start::LocalPrefill {
                tokens: read.queued_tokens + f64::from(read.uncached_tokens),
            },
            target: read.target,
            uncached_tokens: read.uncached_tokens,
            fetch_from: read.fetch_from,
            streams: read.requests,
            reads_beside: read.queued_tokens > 0.0,
        });
    }
    let near = handle.map_or(&state.settings.failure_domain, |handle| {
        &handle.target.failure_domain
    });
    let chosen = decode::choose(state, call, near, tried)?;
    let prompt_tokens = call
        .prompt
        .as_ref()
        .map_or(0, |prompt| prompt.prompt_tokens);
    let (start, uncached_tokens) = match handle {
        Some(_) => {
            let tokens = f64::from(prompt_tokens);
            (Start::Handover { tokens }, 0)
        }
        None => {
            let tokens = chosen.queued_tokens + f64::from(prompt_tokens);
            (Start::LocalPrefill { tokens }, prompt_tokens)
        }
    };
    Some(Way {
        target: chosen.target,
        start,
        uncached_tokens,
        fetch_from: None,
        streams: chosen.requests,
        reads_beside: chosen.queued_tokens > 0.0,
    })
}

/// Sends a call to the engine that is to generate the answer.
async fn begin(
    state: &Arc<State>,
    call: &Call,
    way: &Way,
    handle: Option<&PrefillHandle>,
    by: Instant,
) -> Result<Answer, AttemptError> {
    let head = AttemptHead {
        kv_source: handle.map(|handle| &handle.source),
        fetch_from: way.fetch_from.as_ref().map(|source| source.address),
        resume_after: call.resume_after.as_deref(),
        ..AttemptHead::default()
    };
    let target = &way.target;
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
        handle.mark_fetched();
    }
}

fn relayed(
    state: &Arc<State>,
    call: &Arc<Call>,
    answer: Answer,
    in_flight: InFlightGuard,
    times: StreamTimes,
    progress: Progress,
    memory: Option<BodyMemory>,
) -> Response<Body> {
    let status = answer.status;
    let headers = caller_headers(&answer.headers);
    let relay = Relay::new(
        state.clone(),
        call.clone(),
        Source::new(answer, in_flight, times),
        progress,
        memory,
    );
    let mut response = Response::new(streamed(relay.into_stream()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
