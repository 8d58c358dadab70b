//! Per-account state of the fair queue.

use std::collections::VecDeque;

/// Number of counter units per token at weight 1. Counters are integers; the small
/// unit keeps most of the fraction when tokens are divided by a weight.
const UNITS_PER_TOKEN: u64 = 1 << 10;

/// A queued request.
#[derive(Debug)]
pub(super) struct Queued<T> {
    pub(super) item: T,
    /// Number of the request in the order of arrival.
    pub(super) sequence: u64,
    pub(super) cost_tokens: u64,
    pub(super) queued_at_ms: u64,
    /// Latest instant at which a dispatch can still meet the request's deadline.
    pub(super) latest_start_ms: u64,
}

/// Counter and backlog of one account.
#[derive(Debug)]
pub(super) struct AccountQueue<T> {
    pub(super) weight: u32,
    /// Tokens served, divided by the weight, in counter units.
    pub(super) counter: u64,
    /// Estimated cost of the queued requests.
    pub(super) queued_tokens: u64,
    pub(super) requests: VecDeque<Queued<T>>,
}

impl<T> AccountQueue<T> {
    /// Converts tokens served to this account to counter units.
    pub(super) fn counter_units(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(self.weight)
    }

    /// Converts counter units to tokens served to this account.
    pub(super) fn tokens_for_units(&self, units: u64) -> u64 {
        units.saturating_mul(u64::from(self.weight)) / UNITS_PER_TOKEN
    }
}
