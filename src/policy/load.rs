//! Estimate of a target's load from a delayed report and the requests sent since.
//!
//! A report describes the target's load at an earlier time. The estimate assumes
//! that the prefill queue has shrunk since then at the target's prefill speed. It
//! adds the requests that this instance and its peers have sent since then, each
//! at the time at which it was sent.

use std::collections::VecDeque;

use crate::target::protocol::EngineState;

/// Maximum number of load changes that are kept, to be applied again to the next
/// report. If there are more changes, the report is assumed to include the oldest
/// ones.
const MAX_CHANGES: usize = 512;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Resources of a target that one request needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestDemand {
    /// Prompt tokens that the target has not cached.
    pub prefill_tokens: u64,
    /// KV cache blocks for the prompt and the answer.
    pub blocks: u32,
}

/// Requests that one or more instances have in flight on a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlight {
    /// Number of requests.
    pub requests: u32,
    /// Uncached prompt tokens of all requests, whether they are prefilled already or
    /// not.
    pub prefill_tokens: u64,
    /// KV cache blocks of all requests.
    pub blocks: u32,
}

/// A change of the load that a later report may not include yet.
#[derive(Clone, Copy, Debug)]
struct LoadChange {
    at_ms: u64,
    /// Prompt tokens added to the prefill queue.
    prefill_tokens: u64,
    /// KV cache blocks added, or removed if negative.
    blocks: i64,
}

/// Load of one target as estimated by this instance.
#[derive(Clone, Debug)]
pub struct TargetLoadEstimate {
    /// Prefill speed of the target.
    prefill_tokens_per_s: f64,
    /// Prompt tokens that waited for prefill at `queue_estimated_at_ms`.
    queued_tokens: f64,
    queue_estimated_at_ms: u64,
    /// KV cache blocks in use: those of the last report, plus all later changes.
    used_blocks: i64,
    total_blocks: u32,
    reported_at_ms: u64,
    /// Changes that the last report may not include, the oldest one first.
    changes: VecDeque<LoadChange>,
    /// Requests that this instance has in flight on the target.
    own: InFlight,
    /// Requests that the peers have in flight on the target.
    peers: InFlight,
}

impl TargetLoadEstimate {
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

    /// Applies a report that was received at `received_at_ms`.
    ///
    /// A report that describes an earlier time than the last one is ignored.
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
            self.apply_change(self.changes[index]);
        }
    }

    /// Adds a request that this instance sends to the target.
    pub fn dispatched(&mut self, demand: RequestDemand, now_ms: u64) {
        self.own.requests += 1;
        self.own.blocks += demand.blocks;
        self.own.prefill_tokens += demand.prefill_tokens;
        self.record_change(now_ms, demand.prefill_tokens, i64::from(demand.blocks));
    }

    /// Removes a request of this instance that has ended.
    pub fn finished(&mut self, demand: RequestDemand, now_ms: u64) {
        self.own.requests = self.own.requests.saturating_sub(1);
        self.own.blocks = self.own.blocks.saturating_sub(demand.blocks);
        self.own.prefill_tokens = self
            .own
            .prefill_tokens
            .saturating_sub(demand.prefill_tokens);
        self.record_change(now_ms, 0, -i64::from(demand.blocks));
    }

    /// Updates the requests that peers have in flight on the target, from the last
    /// message of each peer.
    ///
    /// An increase counts as requests sent at `now_ms`, since the target's last
    /// report may not include them.
    pub fn observe_peers(&mut self, peers: InFlight, now_ms: u64) {
        let prefill_tokens = peers
            .prefill_tokens
            .saturating_sub(self.peers.prefill_tokens);
        let blocks = i64::from(peers.blocks) - i64::from(self.peers.blocks);
        self.peers = peers;
        if prefill_tokens != 0 || blocks != 0 {
            self.record_change(now_ms, prefill_tokens, blocks);
        }
    }

    /// Returns the requests that this instance has in flight on the target.
    #[must_use]
    pub fn own(&self) -> InFlight {
        self.own
    }

    /// Returns the number of requests that all instances have in flight on the
    /// target.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.own.requests + self.peers.requests
    }

    /// Returns the uncached prompt tokens of the requests that all instances have
    /// in flight on the target.
    #[must_use]
    pub fn prefill_tokens(&self) -> u64 {
        self.own.prefill_tokens + self.peers.prefill_tokens
    }

    /// Estimates the number of prompt tokens that wait for prefill.
    #[must_use]
    pub fn queued_tokens(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.queue_estimated_at_ms) as f64;
        (self.queued_tokens - elapsed_ms * self.prefill_tokens_per_s / MS_PER_S).max(0.0)
    }

    /// Estimates the time until the prefill of a new prompt starts, in milliseconds.
    #[must_use]
    pub fn queue_ms(&self, now_ms: u64) -> f64 {
        self.queued_tokens(now_ms) * MS_PER_S / self.prefill_tokens_per_s
    }

    /// Estimates the time that the prefill of `tokens` tokens takes, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * MS_PER_S / self.prefill_tokens_per_s
    }

    /// Returns the total number of KV cache blocks.
    #[must_use]
    pub fn total_blocks(&self) -> u32 {
        self.total_blocks
    }

    /// Estimates the number of free KV cache blocks.
    #[must_use]
    pub fn free_blocks(&self) -> u32 {
        let in_flight = i64::from(self.own.blocks) + i64::from(self.peers.blocks);
        let used = self.used_blocks.max(in_flight).max(0);
        u32::try_from(i64::from(self.total_blocks) - used).unwrap_or(0)
    }

    /// Applies a change and keeps it, to be applied again to the next report.
    fn record_change(&mut self, at_ms: u64, prefill_tokens: u64, blocks: i64) {
        let change = LoadChange {
            at_ms,
            prefill_tokens,
            blocks,
        };
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.apply_change(change);
    }

    fn apply_change(&mut self, change: LoadChange) {
        let at_ms = change.at_ms.max(self.queue_estimated_at_ms);
        self.queued_tokens = self.queued_tokens(at_ms) + change.prefill_tokens as f64;
        self.queue_estimated_at_ms = at_ms;
        self.used_blocks += change.blocks;
    }
}
