//! Measured drain rate of a queue.

/// Shortest time over which one sample of the drain rate is taken, in
/// milliseconds.
const RATE_SAMPLE_MS: u64 = 500;
pub(super) const MS_PER_S: u64 = 1_000;

/// Moving average of the rate at which a backlogged queue drains.
#[derive(Debug)]
pub(super) struct DrainRate {
    /// Moving average of the drain rate.
    pub(super) tokens_per_s: u64,
    /// Tokens dispatched since the current sample started.
    sampled_tokens: u64,
    sample_started_at_ms: Option<u64>,
}

impl DrainRate {
    pub(super) fn new(initial_tokens_per_s: u64) -> Self {
        Self {
            tokens_per_s: initial_tokens_per_s.max(1),
            sampled_tokens: 0,
            sample_started_at_ms: None,
        }
    }

    /// Counts dispatched tokens.
    pub(super) fn record_dispatch(&mut self, tokens: u64, now_ms: u64) {
        let Some(sample_started_at_ms) = self.sample_started_at_ms else {
            return;
        };
        self.sampled_tokens += tokens;
        let elapsed_ms = now_ms.saturating_sub(sample_started_at_ms);
        if elapsed_ms < RATE_SAMPLE_MS {
            return;
        }
        let sample_tokens_per_s = self.sampled_tokens * MS_PER_S / elapsed_ms;
        self.tokens_per_s = ((self.tokens_per_s + sample_tokens_per_s) / 2).max(1);
        self.restart_sample(now_ms);
    }

    /// Starts a new sample at `now_ms`. The queue calls this method when it gets a
    /// request while it is empty, so that samples don't include the time for which the
    /// queue was empty.
    pub(super) fn restart_sample(&mut self, now_ms: u64) {
        self.sample_started_at_ms = Some(now_ms);
        self.sampled_tokens = 0;
    }

    /// Returns the time to drain `tokens`, in milliseconds.
    pub(super) fn duration_ms(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(MS_PER_S) / self.tokens_per_s
    }
}
