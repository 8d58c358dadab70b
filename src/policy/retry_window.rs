//! Budget of extra sends over a sliding window, divided between all instances.
//!
//! An extra send is any send of a request beyond its first one, such as a retry.
//! Each request allows the instance that received it a fraction (`ratio`) of an
//! extra send. In addition, a fixed number of extra sends per window (`slack`) is
//! divided equally between the instances.

use std::collections::VecDeque;

/// Fraction of an instance's budget that the instance uses. The unused fraction
/// covers the differences between the times at which instances count their requests.
const SAFETY_FACTOR: f64 = 0.7;

/// Bounds of the extra sends of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBounds {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Extra sends allowed in each window in addition to the ratio, over all
    /// instances.
    pub slack: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// Times of this instance's requests and extra sends of one service within the
/// window.
///
/// ```
/// use lavenderwind::policy::retry_window::{RetryWindow, WindowBounds};
///
/// let bounds = WindowBounds { ratio: 0.2, slack: 10.0, window_ms: 10_000 };
/// let mut window = RetryWindow::default();
/// assert!(window.withdraw(&bounds, 5, 0));
/// assert!(!window.withdraw(&bounds, 5, 0), "this instance's share of the slack is one send");
/// assert!(window.withdraw(&bounds, 5, 10_001));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: EventTimes,
    extra_sends: EventTimes,
}

/// Times of events, with one entry for each millisecond in which there were some. Their
/// number is thus bounded by the length of the window, whatever the load.
#[derive(Clone, Debug, Default)]
struct EventTimes {
    /// Time in milliseconds, and number of events.
    times: VecDeque<(u64, u64)>,
    count: u64,
}

impl EventTimes {
    fn record(&mut self, now_ms: u64) {
        self.count += 1;
        match self.times.back_mut() {
            Some((time_ms, events)) if *time_ms == now_ms => *events += 1,
            _ => self.times.push_back((now_ms, 1)),
        }
    }

    fn remove_expired(&mut self, window_ms: u64, now_ms: u64) {
        while let Some(&(time_ms, events)) = self.times.front() {
            if now_ms.saturating_sub(time_ms) <= window_ms {
                return;
            }
            self.count -= events;
            self.times.pop_front();
        }
    }
}

impl RetryWindow {
    /// Records a request, which allows a fraction of an extra send.
    pub fn record_request(&mut self, now_ms: u64) {
        self.requests.record(now_ms);
    }

    /// Records an extra send that was made without [`RetryWindow::withdraw`].
    pub fn record_extra_send(&mut self, now_ms: u64) {
        self.extra_sends.record(now_ms);
    }

    /// Takes one extra send from this instance's budget; returns `false` if none is
    /// left.
    ///
    /// `instances` is the number of instances between which the slack is divided,
    /// including this one.
    pub fn withdraw(&mut self, bounds: &WindowBounds, instances: usize, now_ms: u64) -> bool {
        self.remove_expired(bounds.window_ms, now_ms);
        let slack = bounds.slack / instances.max(1) as f64;
        let allowed = SAFETY_FACTOR * (bounds.ratio * self.requests.count as f64 + slack);
        if self.extra_sends.count as f64 + 1.0 > allowed {
            return false;
        }
        self.extra_sends.record(now_ms);
        true
    }

    /// Removes the times that are no longer within the window.
    pub fn remove_expired(&mut self, window_ms: u64, now_ms: u64) {
        self.requests.remove_expired(window_ms, now_ms);
        self.extra_sends.remove_expired(window_ms, now_ms);
    }
}
