//! A budget of extra sends over a sliding window, shared by all instances.
//!
//! Every instance may make the extra sends that its own requests earn, and an
//! equal part of the slack.

use std::collections::VecDeque;

/// Part of the budget that is used, since instances count at different times.
const SAFETY_FACTOR: f64 = 0.7;

/// Bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBounds {
    /// Extra sends that each request earns.
    pub ratio: f64,
    /// Extra sends of all instances in a window beyond the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// Requests and extra sends of one service within the window.
///
/// ```
/// use lavenderwind::policy::retry_window::{RetryWindow, WindowBounds};
///
/// let bounds = WindowBounds { ratio: 0.2, slack: 10.0, window_ms: 10_000 };
/// let mut window = RetryWindow::default();
/// assert!(window.withdraw(&bounds, 5, 0));
/// assert!(!window.withdraw(&bounds, 5, 0), "a fifth of the safe slack is one send");
/// assert!(window.withdraw(&bounds, 5, 10_001));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    request_times_ms: VecDeque<u64>,
    extra_send_times_ms: VecDeque<u64>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.request_times_ms.push_back(now_ms);
    }

    /// Counts an extra send that the budget was not asked for.
    pub fn record_extra_send(&mut self, now_ms: u64) {
        self.extra_send_times_ms.push_back(now_ms);
    }

    /// Takes one extra send out; false if none is left for this instance, one
    /// of `instances`.
    pub fn withdraw(&mut self, bounds: &WindowBounds, instances: usize, now_ms: u64) -> bool {
        self.expire(bounds.window_ms, now_ms);
        let slack = bounds.slack / instances.max(1) as f64;
        let allowed = SAFETY_FACTOR * (bounds.ratio * self.request_times_ms.len() as f64 + slack);
        if self.extra_send_times_ms.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.extra_send_times_ms.push_back(now_ms);
        true
    }

    fn expire(&mut self, window_ms: u64, now_ms: u64) {
        for times in [&mut self.request_times_ms, &mut self.extra_send_times_ms] {
            while times
                .front()
                .is_some_and(|&time_ms| now_ms.saturating_sub(time_ms) > window_ms)
            {
                times.pop_front();
            }
        }
    }
}
