//! Counts the requests that began to run, by usage window and client account.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use indexmap::IndexMap;

/// Requests by client account.
pub(crate) type Counts = IndexMap<Arc<str>, u64>;

/// Requests that began to run and are not yet handed on.
#[derive(Debug)]
pub(crate) struct UsageCounter {
    window_ms: u64,
    windows: IndexMap<u64, Counts>,
}

impl UsageCounter {
    pub(super) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            windows: IndexMap::new(),
        }
    }

    /// Counts a request of an account that began to run now.
    pub(super) fn record(&mut self, account: &Arc<str>) {
        let window = self.current_window();
        let counts = self.windows.entry(window).or_default();
        *counts.entry(account.clone()).or_insert(0) += 1;
    }

    /// Returns the window of this moment.
    pub(crate) fn current_window(&self) -> u64 {
        now_ms() / self.window_ms
    }

    /// Returns the time since the end of a window, in milliseconds.
    pub(crate) fn ms_since_end(&self, window: u64) -> u64 {
        now_ms().saturating_sub((window + 1) * self.window_ms)
    }

    /// Takes the counts of a window out.
    pub(crate) fn take(&mut self, window: u64) -> Option<Counts> {
        self.windows.swap_remove(&window)
    }

    /// Returns the oldest window with counts.
    pub(crate) fn oldest(&self) -> Option<u64> {
        self.windows.keys().min().copied()
    }
}

/// Unix time, in milliseconds.
fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
