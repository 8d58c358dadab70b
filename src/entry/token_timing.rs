//! Measurement of token latencies against a route's deadlines.

use std::time::Duration;

use tokio::time::Instant;

use crate::service::Route;

/// Maximum percentage of the intervals between tokens that may be longer than the
/// route's `between_tokens_ms` if the answer is to count as good.
const MAX_LATE_GAPS_PERCENT: u32 = 5;

/// Arrival times of an answer's tokens.
#[derive(Clone, Debug)]
pub(super) struct TokenTiming {
    received_at: Instant,
    first_at: Option<Instant>,
    last_at: Instant,
    /// Longest time between two tokens that is not late.
    max_gap: Duration,
    /// Number of intervals between tokens.
    gaps: u32,
    /// Number of intervals longer than `max_gap`.
    late_gaps: u32,
}

impl TokenTiming {
    /// Starts measuring a request that was received at `received_at`.
    pub(super) fn new(received_at: Instant, route: &Route) -> Self {
        Self {
            received_at,
            first_at: None,
            last_at: received_at,
            max_gap: Duration::from_millis(route.between_tokens_ms),
            gaps: 0,
            late_gaps: 0,
        }
    }

    /// Records that a token has arrived.
    pub(super) fn record_token(&mut self) {
        let now = Instant::now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
            self.last_at = now;
            return;
        }
        self.gaps += 1;
        if now.saturating_duration_since(self.last_at) > self.max_gap {
            self.late_gaps += 1;
        }
        self.last_at = now;
    }

    /// Time from the receipt of the request to the first token. `None` before the
    /// first token.
    pub(super) fn first_token(&self) -> Option<Duration> {
        Some(self.first_at?.saturating_duration_since(self.received_at))
    }

    /// Whether the first token arrived within the route's `first_token_ms` and at
    /// most [`MAX_LATE_GAPS_PERCENT`] percent of the intervals between tokens were
    /// longer than the route's `between_tokens_ms`.
    pub(super) fn is_good(&self, route: &Route) -> bool {
        let first = self.first_token();
        let in_time = first.is_some_and(|t| t <= Duration::from_millis(route.first_token_ms));
        let late_percent = self.late_gaps.saturating_mul(100);
        in_time && late_percent <= self.gaps.saturating_mul(MAX_LATE_GAPS_PERCENT)
    }
}
