//! Slices and the newest figure of usage windows, as known to the reporter.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::slices::Slice;
use crate::{
    gateway::usage::Counts,
    platform::{KeyedRecord, Position},
};

/// Final request counts of a window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Figure {
    /// Number of the usage window, as in the slices.
    pub(super) window: u64,
    /// `None` if this window and all earlier ones are skipped.
    pub(super) counts: Option<Counts>,
    /// Era of the store in which the figure was stored.
    #[serde(default)]
    pub(super) era: u64,
}

/// Slices and the newest figure, as read from the store.
#[derive(Debug, Default)]
pub(super) struct UsageRecords {
    /// The newest state of each slice, by its record key in the store.
    slices: IndexMap<Arc<str>, Slice>,
    pub(super) figure: Option<Figure>,
    /// Known end of the topic of the figures.
    pub(super) end: Option<Position>,
}

impl UsageRecords {
    /// Applies a slice, unless a newer state of it is known: a restored store may have
    /// older slices.
    pub(super) fn apply_slice(&mut self, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            self.slices.swap_remove(&record.key);
            return;
        };
        let slice: Slice = match serde_json::from_slice(value) {
            Ok(slice) => slice,
            Err(error) => {
                tracing::warn!("usage: cannot decode slice {}: {error}", record.key);
                return;
            }
        };
        let known = self.slices.get(&record.key);
        if known.is_none_or(|known| known.revision() <= slice.revision()) {
            self.slices.insert(record.key.clone(), slice);
        }
    }

    /// Forgets the slices of the windows before `window`.
    pub(super) fn forget_before(&mut self, window: u64) {
        self.slices.retain(|_, slice| slice.window >= window);
    }

    /// Returns the window whose figure is determined next; `None` if there are
    /// neither figures nor slices.
    pub(super) fn next_window(&self) -> Option<u64> {
        match &self.figure {
            Some(figure) => Some(figure.window + 1),
            None => self.slices.values().map(|slice| slice.window).min(),
        }
    }

    pub(super) fn closed_slices(&self, window: u64) -> usize {
        self.slices
            .values()
            .filter(|slice| slice.window == window && slice.closed)
            .count()
    }

    /// Returns the sum of the slices of a window. Accounts without requests are left
    /// out.
    pub(super) fn counts_of(&self, window: u64, accounts: &[Arc<str>]) -> Counts {
        let mut counts = Counts::new();
        for account in accounts {
            counts.insert(account.clone(), 0);
        }
        for slice in self.slices.values().filter(|slice| slice.window == window) {
            for (account, count) in &slice.counts {
                *counts.entry(account.clone()).or_insert(0) += count;
            }
        }
        counts.retain(|_, count| *count > 0);
        counts
    }
}
