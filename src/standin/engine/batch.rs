//! Continuous batching: each step prefills and decodes several streams.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;

use super::{
    answer::Answer,
    cache::BlockCache,
    options::{EngineFaults, EngineOptions},
};
use crate::target::{
    protocol::{BLOCK_TOKENS, EngineRole, FinishReason, GenerateEvent, GenerateRequest},
    tokens::{block_hashes, estimate_tokens},
};

/// Maximum prefill tokens in one step of a mixed engine.
const MIXED_CHUNK_TOKENS: u32 = 512;
/// Maximum prefill tokens in one step of a prefill engine.
const PREFILL_CHUNK_TOKENS: u32 = 2_048;
/// Maximum prefill tokens in one step of a decode engine.
const DECODE_CHUNK_TOKENS: u32 = 64;
/// Factor by which decoding is slower on a prefill engine.
const PREFILL_ROLE_DECODE_FACTOR: f64 = 4.0;

/// Maximum duration of one step, in seconds.
const MAX_STEP_S: f64 = 60.0;

/// One chunk of a response body; an error aborts the connection.
pub(super) type BodyItem = Result<Bytes, std::io::Error>;

/// A request that waits or runs in the engine.
#[derive(Debug)]
pub(super) struct Stream {
    request: GenerateRequest,
    sender: UnboundedSender<BodyItem>,
    /// Request identifier in events; another one under the fault `wrong_request`.
    reported_request_id: Arc<str>,
    answer: Answer,
    prompt_tokens: u32,
    /// Hashes of the prompt's full blocks; streams with the same prefix share these
    /// blocks.
    prefix: Vec<u64>,
    /// Number of further blocks for the rest of the prompt and the output.
    private_blocks: u32,
    cached_tokens: u32,
    remaining_prefill_tokens: u32,
    /// Number of tokens that the planned step prefills.
    step_prefill_tokens: u32,
    /// Whether the planned step generates a token.
    decodes_in_step: bool,
    /// Number of generated tokens, including those of earlier attempts.
    generated_tokens: u32,
    /// Number of tokens sent in this attempt.
    sent_tokens: u32,
}

impl Stream {
    /// Creates a stream whose prompt has not been prefilled yet.
    pub(super) fn new(
        request: GenerateRequest,
        sender: UnboundedSender<BodyItem>,
        reported_request_id: Arc<str>,
    ) -> Self {
        let prompt_tokens = estimate_tokens(&request.prompt).max(1);
        let full_blocks = (prompt_tokens / BLOCK_TOKENS) as usize;
        let mut prefix = request.prefix_blocks.clone();
        if prefix.is_empty() {
            prefix = block_hashes(&request.prompt);
        }
        prefix.truncate(full_blocks);
        let output_tokens = if request.prefill_only {
            0
        } else {
            request.max_tokens
        };
        let tokens = prompt_tokens.saturating_add(output_tokens);
        let blocks = tokens.div_ceil(BLOCK_TOKENS);
        Self {
            answer: Answer::new(&request.prompt),
            private_blocks: blocks - prefix.len() as u32,
            remaining_prefill_tokens: prompt_tokens.saturating_add(request.resume_tokens),
            generated_tokens: request.resume_tokens,
            request,
            sender,
            reported_request_id,
            prompt_tokens,
            prefix,
            cached_tokens: 0,
            step_prefill_tokens: 0,
            decodes_in_step: false,
            sent_tokens: 0,
        }
    }

    /// Returns the number of KV blocks that the stream needs for its prompt and
    /// output.
    pub(super) fn needed_blocks(&self) -> u32 {
        self.prefix.len() as u32 + self.private_blocks
    }

    /// Whether the stream serves the given attempt of a request.
    pub(super) fn is_attempt(&self, request_id: &str, attempt: u32) -> bool {
        &*self.request.request_id == request_id && self.request.attempt == attempt
    }

    /// Whether `text` is not empty and the prompt contains it.
    pub(super) fn prompt_contains(&self, text: &str) -> bool {
        !text.is_empty() && self.request.prompt.contains(text)
    }

    /// Sends one event to the caller.
    pub(super) fn send(&self, event: &GenerateEvent) {
        let _ = self.sender.send(Ok(encode_event(event)));
    }

    /// Aborts the connection.
    pub(super) fn abort(&self) {
        let _ = self
            .sender
            .send(Err(std::io::Error::other("stream aborted by the stand-in")));
    }

    fn finish(&self) {
        let finish_reason = FinishReason::Length;
        self.send(&GenerateEvent::Done {
            request_id: Arc::clone(&self.reported_request_id),
            attempt: self.request.attempt,
            finish_reason,
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            output_tokens: self.generated_tokens,
        });
    }
}

/// Waiting streams, and those in the running batch.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) waiting: Vec<Stream>,
    pub(super) running: Vec<Stream>,
}

impl Batch {
    /// Adds a stream to the queue, behind those of the same or higher priority.
    pub(super) fn enqueue(&mut self, stream: Stream) {
        let priority = stream.request.priority;
        let index = self
            .waiting
            .partition_point(|other| other.request.priority >= priority);
        self.waiting.insert(index, stream);
    }

    /// Removes the stream of one attempt and releases its blocks.
    pub(super) fn cancel(&mut self, cache: &mut BlockCache, request_id: &str, attempt: u32) {
        self.waiting
            .retain(|stream| !stream.is_attempt(request_id, attempt));
        self.remove_running(cache, |stream| stream.is_attempt(request_id, attempt));
    }

    /// Returns the number of tokens still to be prefilled.
    pub(super) fn waiting_prefill_tokens(&self) -> u64 {
        let streams = self.waiting.iter().chain(&self.running);
        streams
            .map(|stream| u64::from(stream.remaining_prefill_tokens))
            .sum()
    }

    /// Plans the next step and returns its duration, or `None` if no stream can
    /// run.
    pub(super) fn plan_step(
        &mut self,
        cache: &mut BlockCache,
        options: &EngineOptions,
        faults: &EngineFaults,
        role: EngineRole,
    ) -> Option<Duration> {
        self.drop_closed(cache);
        self.admit(cache, options.max_running as usize);
        if self.running.is_empty() {
            return None;
        }
        let mut chunk = chunk_tokens(role);
        let mut prefill_tokens = 0;
        let mut decoding = 0;
        for stream in &mut self.running {
            stream.decodes_in_step = stream.remaining_prefill_tokens == 0;
            decoding += u32::from(stream.decodes_in_step);
            stream.step_prefill_tokens = stream.remaining_prefill_tokens.min(chunk);
            chunk -= stream.step_prefill_tokens;
            prefill_tokens += stream.step_prefill_tokens;
        }
        let prefill_s = f64::from(prefill_tokens) / f64::from(options.prefill_tokens_per_s);
        let mut decode_s = 0.0;
        if decoding > 0 {
            let batch_factor = 1.0 + options.decode_batch_slope * f64::from(decoding - 1);
            decode_s = batch_factor / f64::from(options.decode_tokens_per_s);
        }
        if role == EngineRole::Prefill {
            decode_s *= PREFILL_ROLE_DECODE_FACTOR;
        }
        let step_s = (prefill_s + decode_s) * faults.slow_factor / options.time_scale;
        Some(Duration::from_secs_f64(step_s.clamp(0.0, MAX_STEP_S)))
    }

    /// Applies the planned step: advances prefill, and generates one token for
    /// each decoding stream.
    pub(super) fn apply_step(&mut self, cache: &mut BlockCache, faults: &EngineFaults) {
        for stream in &mut self.running {
            stream.remaining_prefill_tokens -= stream.step_prefill_tokens;
            stream.step_prefill_tokens = 0;
            if !stream.decodes_in_step || stream.generated_tokens >= stream.request.max_tokens {
                continue;
            }
            let index = stream.generated_tokens;
            stream.send(&GenerateEvent::Token {
                index,
                text: stream.answer.token(index),
            });
            stream.generated_tokens += 1;
            stream.sent_tokens += 1;
        }
        let cut_after = faults.cut_after_tokens;
        self.remove_running(cache, |stream| {
            if cut_after > 0 && stream.sent_tokens >= cut_after {
                stream.abort();
                return true;
            }
            let prefilled = stream.remaining_prefill_tokens == 0;
            let complete = stream.generated_tokens >= stream.request.max_tokens;
            let done = prefilled && (stream.request.prefill_only || complete);
            if done {
                stream.finish();
            }
            done
        });
    }

    /// Removes the streams whose callers have closed their connections.
    fn drop_closed(&mut self, cache: &mut BlockCache) {
        self.waiting.retain(|stream| !stream.sender.is_closed());
        self.remove_running(cache, |stream| stream.sender.is_closed());
    }

    /// Moves waiting streams into the running batch, in order, as long as their
    /// blocks can be allocated.
    fn admit(&mut self, cache: &mut BlockCache, max_running: usize) {
        while self.running.len() < max_running {
            let Some(stream) = self.waiting.first() else {
                return;
            };
            let Some(cached) = cache.allocate(&stream.prefix, stream.private_blocks) else {
                return;
            };
            let mut stream = self.waiting.remove(0);
            let cached_tokens = cached as u32 * BLOCK_TOKENS;
            // Even if all blocks are cached, at least one token is prefilled.
            stream.cached_tokens = cached_tokens.min(stream.prompt_tokens - 1);
            stream.remaining_prefill_tokens -= stream.cached_tokens;
            self.running.push(stream);
        }
    }

    fn remove_running<F>(&mut self, cache: &mut BlockCache, mut remove: F)
    where
        F: FnMut(&Stream) -> bool,
    {
        self.running.retain(|stream| {
            let removed = remove(stream);
            if removed {
                cache.release(&stream.prefix, stream.private_blocks);
            }
            !removed
        });
    }
}

/// Encodes an event as a server-sent event.
pub(super) fn encode_event(event: &GenerateEvent) -> Bytes {
    let mut data = b"data: ".to_vec();
    let _ = serde_json::to_writer(&mut data, event);
    data.extend_from_slice(b"\n\n");
    Bytes::from(data)
}

/// Returns the maximum prefill tokens in one step of an engine.
fn chunk_tokens(role: EngineRole) -> u32 {
    match role {
        EngineRole::Mixed => MIXED_CHUNK_TOKENS,
        EngineRole::Prefill => PREFILL_CHUNK_TOKENS,
        EngineRole::Decode => DECODE_CHUNK_TOKENS,
    }
}
