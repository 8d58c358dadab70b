//! Requests, settings and results of the fair queue.

use std::sync::Arc;

use displaydoc::Display;

/// Cost of a generated token relative to a prompt token.
const OUTPUT_TOKEN_COST: u64 = 2;

/// Returns the cost of a request in tokens, where each generated token counts
/// as two prompt tokens.
#[must_use]
pub fn cost_tokens(prompt_tokens: u64, output_tokens: u64) -> u64 {
    prompt_tokens + OUTPUT_TOKEN_COST * output_tokens
}

/// Settings of a fair queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Maximum number of queued requests of all accounts.
    pub max_requests: usize,
    /// Maximum number of queued requests of one account.
    pub max_account_requests: usize,
    /// Drain rate assumed until one is measured, in tokens per second.
    pub initial_tokens_per_s: u64,
    /// Longest delay, in milliseconds, that an account's requests can get in this
    /// queue because of tokens that peers served to the account.
    pub max_lead_ms: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_requests: 4_096,
            max_account_requests: 1_024,
            initial_tokens_per_s: 10_000,
            max_lead_ms: 10_000,
        }
    }
}

/// A request to queue.
#[derive(Clone, Debug)]
pub struct QueueRequest<T> {
    pub(super) account: Arc<str>,
    pub(super) item: T,
    pub(super) weight: u32,
    pub(super) cost_tokens: u64,
    pub(super) service_ms: u64,
    pub(super) deadline_ms: u64,
}

impl<T> QueueRequest<T> {
    /// Creates a request with weight 1, a cost of 1 token and no deadline.
    #[must_use]
    pub fn new(account: Arc<str>, item: T) -> Self {
        Self {
            account,
            item,
            weight: 1,
            cost_tokens: 1,
            service_ms: 0,
            deadline_ms: u64::MAX,
        }
    }

    /// Sets the account's weight; 0 counts as 1.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> Self {
        self.weight = weight.max(1);
        self
    }

    /// Sets the estimated cost, in tokens (see [`cost_tokens()`]); 0 counts as 1.
    #[must_use]
    pub fn cost_tokens(mut self, tokens: u64) -> Self {
        self.cost_tokens = tokens.max(1);
        self
    }

    /// Sets the service time: the shortest time from dispatch to the first token, in
    /// milliseconds.
    #[must_use]
    pub fn service_ms(mut self, service_ms: u64) -> Self {
        self.service_ms = service_ms;
        self
    }

    /// Sets the instant by which the first token is due, in milliseconds.
    #[must_use]
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }
}

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    /// Index of the account in the queue.
    pub(super) account: usize,
    /// Number of the request in the order of arrival.
    pub(super) sequence: u64,
}

/// Error of a request that was refused without being run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum QueueError {
    /// the queue is full
    Full,
    /// the account has too many queued requests
    AccountFull,
    /// predicted start in {wait_ms} ms is too late for the deadline
    TooLate {
        /// Predicted wait before dispatch, in milliseconds.
        wait_ms: u64,
    },
}

impl std::error::Error for QueueError {}

/// A request removed from the queue.
#[derive(Debug)]
pub struct DequeuedRequest<T> {
    /// Client account that queued the request.
    pub account: Arc<str>,
    /// Item passed to [`QueueRequest::new`].
    pub item: T,
    /// Estimated cost charged to the account; 0 unless the request was removed
    /// by [`FairQueue::pop`](super::FairQueue::pop).
    pub charged_tokens: u64,
    /// Time spent in the queue, in milliseconds.
    pub waited_ms: u64,
}
