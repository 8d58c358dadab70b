//! One account's counter and backlog.

use std::collections::VecDeque;

/// Counter units of one token at weight 1.
const TOKEN_UNITS: u64 = 1 << 10;

/// A queued request.
#[derive(Debug)]
pub(super) struct Queued<T> {
    pub(super) item: T,
    pub(super) sequence: u64,
    pub(super) cost_tokens: u64,
    pub(super) queued_at_ms: u64,
    pub(super) latest_start_ms: u64,
}

/// One account's counter and backlog.
#[derive(Debug)]
pub(super) struct AccountQueue<T> {
    pub(super) weight: u32,
    pub(super) counter: u64,
    pub(super) queued_tokens: u64,
    pub(super) requests: VecDeque<Queued<T>>,
}

impl<T> AccountQueue<T> {
    pub(super) fn units(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(TOKEN_UNITS) / u64::from(self.weight)
    }

    pub(super) fn tokens(&self, units: u64) -> u64 {
        units.saturating_mul(u64::from(self.weight)) / TOKEN_UNITS
    }
}
