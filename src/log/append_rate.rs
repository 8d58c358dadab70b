//! Rate limit on append requests, each of which carries one batch of records.
//!
//! The limit applies to all live instances together and is divided equally among
//! them.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum burst, as the time in seconds for which unused appends accumulate.
const BURST_S: f64 = 0.1;

/// Token bucket that limits this instance's append requests to its share of the
/// common limit. One token permits one request.
#[derive(Clone, Debug)]
pub struct AppendBudget {
    appends_per_s: f64,
    live_instances: usize,
    tokens: f64,
    refilled_at: Instant,
}

impl AppendBudget {
    /// Creates a budget of `appends_per_s` requests per second for all live
    /// instances together. The number of live instances is 1 until
    /// [`Self::set_live_instances`] is called.
    pub fn new(appends_per_s: u32, now: Instant) -> Self {
        Self {
            appends_per_s: f64::from(appends_per_s.max(1)),
            live_instances: 1,
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Sets the number of live instances among which the budget is divided.
    pub fn set_live_instances(&mut self, live_instances: usize, now: Instant) {
        self.refill(now);
        self.live_instances = live_instances.max(1);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Returns this instance's share of the budget, in append requests per second.
    pub fn share_per_s(&self) -> f64 {
        self.appends_per_s / self.live_instances as f64
    }

    /// Returns the earliest time at which the next append request may be sent, which is
    /// `now` if a token is available.
    pub fn ready_at(&mut self, now: Instant) -> Instant {
        self.refill(now);
        if self.tokens >= 1.0 {
            return now;
        }
        // The extra microsecond prevents a timer from firing just before the token
        // is available.
        let wait_s = (1.0 - self.tokens) / self.share_per_s();
        now + Duration::from_secs_f64(wait_s) + Duration::from_micros(1)
    }

    /// Takes one token for an append request.
    pub fn spend(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refilled = self.tokens + elapsed.as_secs_f64() * self.share_per_s();
        self.tokens = refilled.min(self.burst());
    }

    /// Returns the maximum number of tokens that accumulate; at least one.
    fn burst(&self) -> f64 {
        (self.share_per_s() * BURST_S).max(1.0)
    }
}
