//! Estimate of a target's load from a lagged report and later dispatches.
//!
//! A report stands for an instant in the past. Its prefill queue decays by the
//! target's speed from that instant on; what this instance and its peers sent
//! since counts in full, from when it was sent.

use std::collections::VecDeque;

use crate::target::protocol::EngineState;

/// Most changes kept for the next report; older ones are taken as reported.
const MAX_CHANGES: usize = 512;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// What one request takes on a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Prompt tokens that are not cached there.
    pub prefill_tokens: u64,
    /// Blocks of KV cache for prompt and answer.
    pub blocks: u32,
}

/// Requests that instances have in flight on a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlight {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that are not yet known to be processed.
    pub prefill_tokens: u64,
    /// Blocks of KV cache.
    pub blocks: u32,
}

#[derive(Clone, Copy, Debug)]
struct LoadChange {
    at_ms: u64,
    prefill_tokens: u64,
    blocks: i64,
}

/// One target's load as this instance knows it.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    prefill_tokens_per_s: f64,
    queued_tokens: f64,
    queue_estimated_at_ms: u64,
    used_blocks: i64,
    total_blocks: u32,
    reported_at_ms: u64,
    changes: VecDeque<LoadChange>,
    own: InFlight,
    peers: InFlight,
}

impl TargetLoad {
    /// Creates the load of a target that has not reported yet.
    #[must_use]
    pub fn new(prefill_tokens_per_s: u32, total_blocks: u32) -> Self {
        Self {
            prefill_tokens_per_s: f64::from(prefill_tokens_per_s.max(1)),
            queued_tokens: 0.0,
            queue_estimated_at_ms: 0,
            used_blocks: 0,
            total_blocks,
            reported_at_ms: 0,
            changes: VecDeque::new(),
            own: InFlight::default(),
            peers: InFlight::default(),
        }
    }

    /// Takes in a report that was received at `received_at_ms`.
    ///
    /// A report older than the last one is ignored.
    pub fn observe_report(&mut self, state: &EngineState, received_at_ms: u64) {
        let reported_at_ms = received_at_ms.saturating_sub(state.report_age_ms);
        if reported_at_ms < self.reported_at_ms {
            return;
        }
        self.reported_at_ms = reported_at_ms;
        self.prefill_tokens_per_s = f64::from(state.prefill_tokens_per_s.max(1));
        self.total_blocks = state.total_blocks;
        self.queued_tokens = state.waiting_prefill_tokens as f64;
        self.used_blocks = i64::from(state.used_blocks);
        self.queue_estimated_at_ms = reported_at_ms;
        while self
            .changes
            .front()
            .is_some_and(|change| change.at_ms <= reported_at_ms)
        {
            self.changes.pop_front();
        }
        for index in 0..self.changes.len() {
            self.apply(self.changes[index]);
        }
    }

    /// Counts a request that this instance sends to the target.
    pub fn dispatched(&mut self, demand: Demand, now_ms: u64) {
        self.own.requests += 1;
        self.own.blocks += demand.blocks;
        self.own.prefill_tokens += demand.prefill_tokens;
        self.record(now_ms, demand.prefill_tokens, i64::from(demand.blocks));
    }

    /// Counts the end of a request that this instance sent to the target.
    pub fn finished(&mut self, demand: Demand, now_ms: u64) {
        self.own.requests = self.own.requests.saturating_sub(1);
        self.own.blocks = self.own.blocks.saturating_sub(demand.blocks);
        self.own.prefill_tokens = self
            .own
            .prefill_tokens
            .saturating_sub(demand.prefill_tokens);
        self.record(now_ms, 0, -i64::from(demand.blocks));
    }

    /// Takes in what peers have in flight on the target by their last frames.
    ///
    /// A rise counts as sent now, since the report may not show it.
    pub fn observe_peers(&mut self, peers: InFlight, now_ms: u64) {
        let prefill_tokens = peers
            .prefill_tokens
            .saturating_sub(self.peers.prefill_tokens);
        let blocks = i64::from(peers.blocks) - i64::from(self.peers.blocks);
        self.peers = peers;
        if prefill_tokens != 0 || blocks != 0 {
            self.record(now_ms, prefill_tokens, blocks);
        }
    }

    /// Returns what this instance has in flight there.
    #[must_use]
    pub fn own(&self) -> InFlight {
        self.own
    }

    /// Returns the requests in flight there from all instances.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.own.requests + self.peers.requests
    }

    /// Returns the prompt tokens in flight there from all instances.
    #[must_use]
    pub fn prefill_tokens(&self) -> u64 {
        self.own.prefill_tokens + self.peers.prefill_tokens
    }

    /// Estimates the prompt tokens that wait for prefill.
    #[must_use]
    pub fn queued_tokens(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.queue_estimated_at_ms) as f64;
        (self.queued_tokens - elapsed_ms * self.prefill_tokens_per_s / MS_PER_S).max(0.0)
    }

    /// Estimates the wait before a new prompt's prefill starts.
    #[must_use]
    pub fn queue_ms(&self, now_ms: u64) -> f64 {
        self.queued_tokens(now_ms) * MS_PER_S / self.prefill_tokens_per_s
    }

    /// Returns the time for the prefill of `tokens`.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * MS_PER_S / self.prefill_tokens_per_s
    }

    /// Returns the blocks of KV cache in all.
    #[must_use]
    pub fn total_blocks(&self) -> u32 {
        self.total_blocks
    }

    /// Estimates the free blocks of KV cache.
    #[must_use]
    pub fn free_blocks(&self) -> u32 {
        let in_flight = i64::from(self.own.blocks) + i64::from(self.peers.blocks);
        let used = self.used_blocks.max(in_flight).max(0);
        u32::try_from(i64::from(self.total_blocks) - used).unwrap_or(0)
    }

    fn record(&mut self, at_ms: u64, prefill_tokens: u64, blocks: i64) {
        let change = LoadChange {
            at_ms,
            prefill_tokens,
            blocks,
        };
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.apply(change);
    }

    fn apply(&mut self, change: LoadChange) {
        let at_ms = change.at_ms.max(self.queue_estimated_at_ms);
        self.queued_tokens = self.queued_tokens(at_ms) + change.prefill_tokens as f64;
        self.queue_estimated_at_ms = at_ms;
        self.used_blocks += change.blocks;
    }
}
