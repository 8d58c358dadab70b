//! Has a prompt prefilled at an engine, whose KV cache another engine takes.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    attempt::{self, AttemptError},
    decode, engine_call,
    loads::{InFlightGuard, Outcome},
    state::State,
};
use crate::{
    call::{Call, Prompt},
    platform::{AttemptHead, KvSource, Prefilled},
    policy::{
        homes::{PrefillCandidate, chain_hash, choose_prefill},
        reading::{ReadingQueues, reads_at_decode},
    },
    roster::Target,
    target::protocol::EngineRole,
};

/// Engines that are asked to prefill one prompt.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

/// Engines that are tried for one prompt, with those that cannot be reached.
const MAX_PREFILL_TARGETS: usize = 6;

/// Part of the prompts that go to the copy of their shared parts, so that it
/// is there when their home is lost.
const COPY_SHARE: f64 = 0.15;

/// Time kept for the decode after the prefill.
const DECODE_TIME: Duration = Duration::from_millis(200);

/// Tokens as which a failing engine counts, at a failure rate of one.
const FAILING_TOKENS: f64 = 200_000.0;

/// A KV cache that an engine holds for a decode, released unless taken.
#[derive(Debug)]
pub(super) struct PrefillHandle {
    pub(super) source: KvSource,
    pub(super) target: Arc<Target>,
    state: Arc<State>,
    taken: bool,
}

impl PrefillHandle {
    /// Notes that an engine has taken the KV cache, or may have.
    pub(super) fn take(mut self) {
        self.taken = true;
    }
}

impl Drop for PrefillHandle {
    fn drop(&mut self) {
        if self.taken {
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

/// What came of the prefill of a prompt.
#[derive(Debug)]
pub(super) enum Prefill {
    /// An engine holds the KV cache.
    Done(PrefillHandle),
    /// No engine did it; the prompt may be read where it is decoded.
    Skipped,
    /// Engines failed, and no further request may be sent.
    OverBudget,
}

/// Has the prompt of a call prefilled.
///
/// A request that an engine refused or did not finish counts as a send, so
/// that whatever is sent after it is taken out of the budget.
pub(super) async fn prefill(state: &Arc<State>, call: &Arc<Call>, prompt: &Prompt) -> Prefill {
    let mut tried = Vec::new();
    let mut attempts = 0;
    while attempts < MAX_PREFILL_ATTEMPTS && tried.len() < MAX_PREFILL_TARGETS {
        let Some(chosen) = choose(state, call, prompt, &tried) else {
            break;
        };
        if tried.is_empty() && is_read_faster(state, call, prompt, &chosen) {
            return Prefill::Skipped;
        }
        tried.push(chosen.target.id.clone());
        match attempt_once(state, call, prompt, &chosen).await {
            Ok(handle) => return Prefill::Done(handle),
            Err(error) if error.failure.is_not_written() => {}
            Err(_) => {
                attempts += 1;
                if !state.withdraw_retry(&call.service) {
                    return Prefill::OverBudget;
                }
            }
        }
    }
    Prefill::Skipped
}

/// The engine that was chosen for a prefill.
#[derive(Debug)]
struct Chosen {
    target: Arc<Target>,
    /// Tokens that wait there for their prefill.
    queued_tokens: f64,
    uncached_tokens: u32,
    /// Engine that has the shared parts of the prompt.
    fetch_from: Option<Arc<Target>>,
}

async fn attempt_once(
    state: &Arc<State>,
    call: &Arc<Call>,
    prompt: &Prompt,
    chosen: &Chosen,
) -> Result<PrefillHandle, AttemptError> {
    let Chosen {
        target,
        uncached_tokens,
        ..
    } = chosen;
    let uncached_tokens = *uncached_tokens;
    let queued_tokens = chosen.queued_tokens as u64;
    state.loads().note_try(&target.id, state.now_ms());
    let _in_flight = InFlightGuard::new(state, &target.id, u64::from(uncached_tokens));
    let started_at = Instant::now();
    let by = started_at + call.time_left(started_at).saturating_sub(DECODE_TIME);
    let head = AttemptHead {
        prefill_only: true,
        fetch_from: chosen.fetch_from.as_ref().map(|source| source.address),
        ..AttemptHead::default()
    };
    let answer = attempt::send(state, call, target, head, by).await?;
    let answer = answer.collect(state, call, by).await?;
    let now_ms = state.now_ms();
    let prefilled = match (answer.status.is_success(), Prefilled::read(&answer.bytes)) {
        (true, Ok(prefilled)) => prefilled,
        (_, read) => {
            let cause = read.err().map_or_else(
                || format!("prefill answered {}", answer.status),
                |error| format!("prefill answered {}: {error}", answer.status),
            );
            let error = AttemptError::cut(cause);
            attempt::record_failure(state, call, target, &error);
            return Err(error);
        }
    };
    let mut loads = state.loads();
    loads.observe(&target.id, Outcome::Answered, now_ms);
    loads.chains.insert(&target.id, &prompt.parts, now_ms);
    drop(loads);
    metrics::histogram!("gateway_prefill_ms").record(started_at.elapsed().as_secs_f64() * 1_000.0);
    tracing::info!(
        request = &*call.id,
        target = &*target.id,
        prompt_tokens = prompt.prompt_tokens,
        uncached_tokens,
        queued_tokens,
        chain = format!("{:016x}", chain_hash(prompt.shared_parts())),
        fetch_from = chosen.fetch_from.as_ref().map_or("-", |source| &source.id),
        elapsed_ms = started_at.elapsed().as_millis() as u64,
        "gateway: prompt prefilled"
    );
    Ok(PrefillHandle {
        source: KvSource {
            address: target.address,
            handle: prefilled.handle,
        },
        target: target.clone(),
        state: state.clone(),
        taken: false,
    })
}

/// Returns whether the engine that decodes reads the prompt sooner than the
/// one that was chosen for its prefill.
fn is_read_faster(state: &State, call: &Call, prompt: &Prompt, chosen: &Chosen) -> bool {
    let Some(decode_queued_tokens) = decode::least_queued_tokens(state, call) else {
        return false;
    };
    reads_at_decode(&ReadingQueues {
        prefill_queued_tokens: chosen.queued_tokens,
        prefill_uncached_tokens: chosen.uncached_tokens,
        decode_queued_tokens,
        prompt_tokens: prompt.prompt_tokens,
    })
}

fn choose(state: &State, call: &Call, prompt: &Prompt, tried: &[Arc<str>]) -> Option<Chosen> {
    let now_ms = state.now_ms();
    let mut targets = state.targets(&call.service);
    targets.retain(|target| target.role == Some(EngineRole::Prefill));
    let loads = state.loads();
    let mut candidates = Vec::with_capacity(targets.len());
    for target in &targets {
        let is_open = target.takes_requests(Instant::now()) && !tried.contains(&target.id);
        candidates.push(PrefillCandidate {
            id: target.id.clone(),
            failure_domain: target.failure_domain.clone(),
            is_leaving: !is_open || !loads.allows(&target.id, now_ms),
            is_unreachable: !loads.is_reachable(&target.id) && !loads.allows(&target.id, now_ms),
            queued_tokens: loads.in_flight(&target.id).prefill_tokens as f64,
            penalty_tokens: FAILING_TOKENS * loads.failure_rate(&target.id),
        });
    }
    let keeps_copy = rand::random_bool(COPY_SHARE);
    let choice = choose_prefill(prompt, &candidates, &loads.chains, keeps_copy, now_ms)?;
    Some(Chosen {
        target: targets[choice.index].clone(),
        queued_tokens: candidates[choice.index].queued_tokens,
        uncached_tokens: choice.uncached_tokens,
        fetch_from: choice.fetch_from.map(|index| targets[index].clone()),
    })
}
