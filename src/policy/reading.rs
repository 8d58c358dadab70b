//! Whether a prompt is read by the engine that generates the answer.
//!
//! Engines that decode also read prompts, slower and beside their streams, but
//! without a hand-over and without the queue of the engines that prefill.

/// Time that an engine that decodes takes to read a token, in times that one
/// that prefills takes.
const DECODE_READ_FACTOR: f64 = 2.5;

/// Cost of handing a KV cache over, in tokens that are read meanwhile.
const HANDOVER_TOKENS: f64 = 1_000.0;

/// Longest prompt that is read beside streams, in tokens.
const MAX_DIRECT_TOKENS: u32 = 8_000;

/// What waits where a prompt may be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingQueues {
    /// Tokens that wait at the engine that would prefill.
    pub prefill_queued_tokens: f64,
    /// Tokens of the prompt that are not cached there.
    pub prefill_uncached_tokens: u32,
    /// Tokens that wait at the engine that decodes.
    pub decode_queued_tokens: f64,
    /// Tokens of the whole prompt, none of which are counted as cached where
    /// it is decoded.
    pub prompt_tokens: u32,
}

/// Returns whether the engine that decodes reads a prompt sooner.
#[must_use]
pub fn reads_at_decode(queues: &ReadingQueues) -> bool {
    if queues.prompt_tokens > MAX_DIRECT_TOKENS {
        return false;
    }
    let prefill =
        queues.prefill_queued_tokens + f64::from(queues.prefill_uncached_tokens) + HANDOVER_TOKENS;
    let direct = queues.decode_queued_tokens + f64::from(queues.prompt_tokens);
    direct * DECODE_READ_FACTOR < prefill
}
