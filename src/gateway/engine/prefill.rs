//! Prefill of a prompt by one engine, from which another engine fetches the KV
//! cache.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    call::{Call, Prompt, Step},
    gateway::{
        caller::reply::Refusal,
        dispatch::Ticket,
        engine::{
            decode,
            placement::{Choice, PrefillChoice, choose_engine, record_cached_prompt, record_work},
        },
        state::State,
        target::{
            attempt::{self, AttemptError},
            engine_call,
            in_flight::InFlightGuard,
            loads::AttemptOutcome,
        },
    },
    platform::{AttemptHead, KvSource, Prefilled},
    policy::cache_locality::chain_hash,
    roster::Target,
};

/// Maximum number of prefill requests for one prompt, counting only requests that
/// may have reached an engine.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

/// Maximum number of engines tried for one prompt, including unreachable ones.
const MAX_PREFILL_TARGETS: usize = 6;

/// Time before the call's deadline that is reserved for the decode: the prefill must
/// end earlier.
const MIN_DECODE_TIME: Duration = Duration::from_millis(200);

/// Handle of a KV cache that an engine keeps until another engine fetches the cache
/// to decode the answer. Dropping the handle releases the cache, unless the handle
/// is marked as fetched.
#[derive(Debug)]
pub(in crate::gateway) struct PrefillHandle {
    pub(in crate::gateway) source: KvSource,
    pub(in crate::gateway) target: Arc<Target>,
    /// Engine that is to decode the answer, if the dispatcher has chosen one.
    pub(in crate::gateway) decode_target: Option<Arc<Target>>,
    /// Reports the progress of the placement to the dispatcher, if there is one.
    pub(in crate::gateway) ticket: Option<Ticket>,
    state: Arc<State>,
    is_fetched: bool,
}

impl PrefillHandle {
    /// Records that an engine has fetched the KV cache or may have done so. The KV
    /// cache is then not released.
    pub(in crate::gateway) fn mark_fetched(mut self) {
        self.is_fetched = true;
    }
}

impl Drop for PrefillHandle {
    fn drop(&mut self) {
        if self.is_fetched {
            return;
        }
        let releasing = engine_call::release_kv(
            self.state.clone(),
            self.target.clone(),
            self.source.handle.clone(),
        );
        tokio::spawn(releasing);
    }
}

/// Outcome of the prefill of a prompt.
#[derive(Debug)]
pub(in crate::gateway) enum PrefillOutcome {
    /// An engine has prefilled the prompt and keeps the KV cache.
    Done(PrefillHandle),
    /// The chosen engine is to prefill the prompt and decode the answer; nothing was sent
    /// to the engine yet.
    Local(PrefillChoice),
    /// No engine prefilled the prompt; the decoding engine may prefill it.
    Skipped,
    /// All engines are so busy that the first event would be late.
    Overloaded {
        /// Predicted wait for an engine, in milliseconds.
        wait_ms: u32,
    },
    /// The dispatcher refuses the request.
    Refused(Refusal),
    /// A prefill request failed, and the retry budget allows no further request.
    OverBudget,
}

/// Prefills the prompt of a call.
///
/// `may_refuse` is true if nothing has been sent for the call yet. The call may then
/// be refused if the engines are overloaded.
///
/// After a prefill request that an engine refused or did not finish, the next
/// request of the call counts against the retry budget.
pub(in crate::gateway) async fn prefill(
    state: &Arc<State>,
    call: &Arc<Call>,
    prompt: &Prompt,
    may_refuse: bool,
) -> PrefillOutcome {
    if !decode::has_engine(state, &call.service) {
        return PrefillOutcome::Skipped;
    }
    let mut tried = Vec::new();
    let mut attempts = 0;
    while attempts < MAX_PREFILL_ATTEMPTS && tried.len() < MAX_PREFILL_TARGETS {
        call.caller.enter(Step::Placement);
        let may_refuse = may_refuse && tried.is_empty();
        let chosen = match choose_engine(state, call, prompt, &tried, may_refuse).await {
            Choice::Engine(chosen) => Some(chosen),
            Choice::Refused(refusal) => return PrefillOutcome::Refused(refusal),
            Choice::NoEngine => None,
        };
        if tried.is_empty() {
            let uncached = chosen.as_ref().map(|chosen| chosen.uncached_tokens);
            record_work(
                state,
                call,
                prompt,
                uncached.unwrap_or(prompt.unshared_tokens()),
            );
        }
        let Some(chosen) = chosen else {
            break;
        };
        if may_refuse && chosen.is_overloaded {
            let wait_ms = chosen.wait_ms as u32;
            return PrefillOutcome::Overloaded { wait_ms };
        }
        if chosen.is_local_prefill {
            return PrefillOutcome::Local(chosen);
        }
        tried.push(chosen.target.id.clone());
        match attempt_once(state, call, prompt, chosen).await {
            Ok(handle) => return PrefillOutcome::Done(handle),
            Err(error) if error.failure.is_not_written() => {}
            Err(_) => {
                attempts += 1;
                if !state.withdraw_retry(&call.service) {
                    return PrefillOutcome::OverBudget;
                }
            }
        }
    }
    PrefillOutcome::Skipped
}

async fn attempt_once(
    state: &Arc<State>,
    call: &Arc<Call>,
    prompt: &Prompt,
    chosen: PrefillChoice,
) -> Result<PrefillHandle, AttemptError> {
    let target = &chosen.target;
    let uncached_tokens = chosen.uncached_tokens;
    let queued_tokens = chosen.queued_tokens as u64;
    state.loads().record_send(&target.id, state.now_ms());
    let _in_flight = InFlightGuard::new(state, &target.id, u64::from(uncached_tokens));
    let started_at = Instant::now();
    call.caller.enter(Step::Prefill);
    let deadline = started_at + call.time_left(started_at).saturating_sub(MIN_DECODE_TIME);
    let head = AttemptHead {
        prefill_only: true,
        fetch_from: chosen.fetch_from.as_ref().map(|source| source.address),
        ..AttemptHead::default()
    };
    let answer = attempt::send(state, call, target, head, deadline).await?;
    let answer = answer.collect(state, call, deadline).await?;
    let now_ms = state.now_ms();
    let prefilled = match (answer.status.is_success(), Prefilled::read(&answer.bytes)) {
        (true, Ok(prefilled)) => prefilled,
        (_, read) => {
            let cause = read.err().map_or_else(
                || format!("prefill answered {}", answer.status),
                |error| format!("prefill answered {}: {error}", answer.status),
            );
            let error = AttemptError::incomplete_answer(cause);
            attempt::record_failure(state, call, target, &error).await;
            return Err(error);
        }
    };
    state
        .loads()
        .observe(&target.id, AttemptOutcome::Answered, now_ms);
    record_cached_prompt(state, call, target);
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    let tokens_ahead = chosen.queued_tokens + f64::from(uncached_tokens);
    let mut expected_ms = None;
    state.engines().update_profile(&call.service, |profile| {
        expected_ms = profile.learned_remote_prefill_ms(tokens_ahead);
        profile.observe_remote_prefill(tokens_ahead, elapsed_ms);
    });
    if let Some(ticket) = &chosen.ticket {
        ticket.record_prefilled();
    }
    state.observe_speed(&target.id, chosen.requests, expected_ms, elapsed_ms);
    metrics::histogram!("gateway_prefill_ms").record(elapsed_ms);
    tracing::info!(
        request = &*call.id,
        target = &*target.id,
        prompt_tokens = prompt.prompt_tokens,
        uncached_tokens,
        queued_tokens,
        chain = format!("{:016x}", chain_hash(prompt.shared_parts())),
        fetch_from = chosen.fetch_from.as_ref().map_or("-", |source| &source.id),
        predicted_ms = chosen.first_event_ms as u64,
        elapsed_ms = elapsed_ms as u64,
        "gateway: prompt prefilled"
    );
    Ok(PrefillHandle {
        source: KvSource {
            address: target.address,
            handle: prefilled.handle,
        },
        target: target.clone(),
        decode_target: chosen.decode_target,
        ticket: chosen.ticket,
        state: state.clone(),
        is_fetched: false,
    })
}
