//! An instance's share of the appends that all instances may make.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which unused appends add up to a burst, in seconds.
const BURST_S: f64 = 0.1;

/// Token bucket over this instance's share of the append budget.
#[derive(Clone, Debug)]
pub struct AppendBudget {
    appends_per_s: f64,
    live_instances: usize,
    tokens: f64,
    refilled_at: Instant,
}

impl AppendBudget {
    /// Makes a budget of `appends_per_s` for all live instances together.
    pub fn new(appends_per_s: u32, now: Instant) -> Self {
        Self {
            appends_per_s: f64::from(appends_per_s.max(1)),
            live_instances: 1,
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Divides the budget by another number of live instances from now on.
    pub fn set_live_instances(&mut self, live_instances: usize, now: Instant) {
        self.refill(now);
        self.live_instances = live_instances.max(1);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Returns this instance's share, in appends a second.
    pub fn share_per_s(&self) -> f64 {
        self.appends_per_s / self.live_instances as f64
    }

    /// Returns when the next append may be made; `now` if at once.
    pub fn ready_at(&mut self, now: Instant) -> Instant {
        self.refill(now);
        if self.tokens >= 1.0 {
            return now;
        }
        // Rounded up, so that a timer never fires just before the token is due.
        let wait_s = (1.0 - self.tokens) / self.share_per_s();
        now + Duration::from_secs_f64(wait_s) + Duration::from_micros(1)
    }

    /// Spends one append.
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

    fn burst(&self) -> f64 {
        (self.share_per_s() * BURST_S).max(1.0)
    }
}
