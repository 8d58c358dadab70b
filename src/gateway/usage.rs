//! Counts of started requests, by usage window and client account.
//!
//! A usage window is a fixed interval of time. Its number is the Unix time of its start
//! divided by its length.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::gateway::clock::WallClock;

/// Number of started requests by client account.
pub(super) type Counts = IndexMap<Arc<str>, u64>;

/// Counter of the requests that this instance has started to run.
#[derive(Debug)]
pub(super) struct UsageCounter {
    clock: WallClock,
    window_ms: u64,
    /// Number of latest windows whose counts are kept.
    max_windows: usize,
    /// Counts by window number.
    windows: IndexMap<u64, Counts>,
}

impl UsageCounter {
    pub(super) fn new(window_ms: u64, max_windows: usize) -> Self {
        Self {
            clock: WallClock::new(),
            window_ms,
            max_windows,
            windows: IndexMap::new(),
        }
    }

    /// Counts a request of `account` in the current window.
    pub(super) fn record(&mut self, account: &Arc<str>) {
        let window = self.current_window();
        let counts = self.windows.entry(window).or_default();
        *counts.entry(account.clone()).or_insert(0) += 1;
        while self.windows.len() > self.max_windows {
            self.windows.shift_remove_index(0);
        }
    }

    /// Returns the number of the current window.
    pub(super) fn current_window(&self) -> u64 {
        self.clock.now_ms() / self.window_ms
    }

    /// Returns the number of the window that was current this long ago.
    pub(super) fn window_before(&self, age: Duration) -> u64 {
        let age_ms = age.as_millis() as u64;
        self.clock.now_ms().saturating_sub(age_ms) / self.window_ms
    }

    /// Returns the time since the end of a window, in milliseconds; negative
    /// before the end.
    pub(super) fn ms_since_end(&self, window: u64) -> i64 {
        self.clock.now_ms() as i64 - ((window + 1) * self.window_ms) as i64
    }

    /// Returns the counts of a window; empty if the window is no longer kept or has no
    /// requests.
    pub(super) fn counts(&self, window: u64) -> Counts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}
