//! Buffer of the usage that this instance has measured and that is not yet in the
//! ledger.
//!
//! Usage is billed by window, a numbered interval common to all instances. An
//! instance, in its role as a source of usage, appends its usage of a window to
//! the log in one or more numbered slices.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Identity;
use crate::{
    ledger::{AccountCounts, UsageCounts},
    log::records::{UsageLine, UsageSlice},
};

/// Buffer of measured usage, divided into numbered slices of one window each.
///
/// The source assigns usage to the open window of the ledger until this window has
/// been open for its full length. From then on, the source assigns usage to the
/// next window.
#[derive(Debug)]
pub struct SliceBuffer {
    source: Identity,
    window_ms: u64,
    /// Number of the lowest open usage window of the ledger.
    open_window: u64,
    /// Time at which this instance first saw `open_window`.
    window_opened_ms: u64,
    /// Number of the usage window of the current slice.
    current_window: u64,
    /// Number of the current slice.
    next_slice: u64,
    /// Usage in the current slice, by service and account.
    current_counts: IndexMap<Arc<str>, AccountCounts>,
    /// Completed slices that are not yet in the log, by number.
    unflushed: IndexMap<u64, UsageSlice>,
}

impl SliceBuffer {
    /// Returns an empty buffer for windows of `window_ms`.
    pub fn new(source: Identity, window_ms: u64) -> Self {
        Self {
            source,
            window_ms,
            open_window: 0,
            window_opened_ms: 0,
            current_window: 0,
            next_slice: 1,
            current_counts: IndexMap::new(),
            unflushed: IndexMap::new(),
        }
    }

    /// Adds to the counts of an account in the current slice.
    pub fn add(&mut self, service: &Arc<str>, account: &Arc<str>, counts: UsageCounts) {
        let accounts = self.current_counts.entry(service.clone()).or_default();
        let total = accounts.entry(account.clone()).or_default();
        total.requests = total.requests.saturating_add(counts.requests);
        total.prompt_tokens = total.prompt_tokens.saturating_add(counts.prompt_tokens);
        total.output_tokens = total.output_tokens.saturating_add(counts.output_tokens);
    }

    /// Updates the lowest open window of the ledger. Once this window has been open
    /// for its full length, completes the current slice and assigns further usage to
    /// the next window.
    pub fn advance(&mut self, open_window: u64, now_ms: u64) {
        if open_window > self.open_window {
            self.open_window = open_window;
            self.window_opened_ms = now_ms;
        }
        let has_lasted_its_length = now_ms.saturating_sub(self.window_opened_ms) >= self.window_ms;
        let window = if has_lasted_its_length {
            self.open_window + 1
        } else {
            self.open_window
        };
        if window <= self.current_window {
            return;
        }
        if self.current_window > 0 {
            self.complete_slice();
        }
        self.current_window = window;
    }

    /// Completes the current slice and starts the next one.
    pub fn complete_slice(&mut self) {
        let Some(slice) = self.current_slice() else {
            return;
        };
        self.next_slice += 1;
        self.current_counts.clear();
        self.unflushed.insert(slice.slice, slice);
    }

    /// Returns a copy of the current slice. Returns `None` if the slice is empty.
    pub fn current_slice(&self) -> Option<UsageSlice> {
        if self.current_counts.is_empty() {
            return None;
        }
        let mut lines = Vec::new();
        for (service, accounts) in &self.current_counts {
            for (account, counts) in accounts {
                lines.push(UsageLine {
                    service: service.to_string(),
                    account: account.to_string(),
                    requests: counts.requests,
                    prompt_tokens: counts.prompt_tokens,
                    output_tokens: counts.output_tokens,
                });
            }
        }
        Some(UsageSlice {
            source: self.source.name.to_string(),
            source_incarnation: self.source.incarnation,
            slice: self.next_slice,
            window: self.current_window,
            lines,
        })
    }

    /// Returns the completed slices that have not been marked as flushed to the
    /// ledger, oldest first.
    pub fn unflushed(&self) -> Vec<UsageSlice> {
        self.unflushed.values().cloned().collect()
    }

    /// Removes a slice that is in the ledger.
    pub fn mark_flushed(&mut self, slice: u64) {
        self.unflushed.shift_remove(&slice);
    }

    /// Returns the watermark, the last window for which no further usage of this
    /// source follows once the slices of [`SliceBuffer::unflushed`] are in the log.
    pub fn watermark(&self) -> u64 {
        self.current_window.saturating_sub(1)
    }
}
