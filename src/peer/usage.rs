//! Copies of usage slices that their sources have not flushed to the log.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::log::records::UsageSlice;

/// One start of an instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Source {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Slices held for other instances, by source and number.
///
/// A source repeats a slice under the same number as it grows; the newest copy
/// counts.
#[derive(Debug, Default)]
pub struct UsageCopies {
    sources: IndexMap<Source, IndexMap<u64, UsageSlice>>,
}

impl UsageCopies {
    /// Slices that are held for one source.
    pub const MAX_SLICES: usize = 256;

    /// Keeps a copy; the oldest gives way where there are too many.
    pub fn insert(&mut self, source: Source, slice: UsageSlice) {
        let slices = self.sources.entry(source).or_default();
        slices.insert(slice.slice, slice);
        if slices.len() > Self::MAX_SLICES {
            slices.shift_remove_index(0);
        }
    }

    /// Drops copies up to a slice that the source has flushed.
    pub fn remove_flushed(&mut self, source: &Source, up_to_slice: u64) {
        let Some(slices) = self.sources.get_mut(source) else {
            return;
        };
        slices.retain(|&number, _| number > up_to_slice);
        if slices.is_empty() {
            self.sources.swap_remove(source);
        }
    }

    /// Takes the slices of those sources for which `is_gone` holds.
    pub fn take_orphans<F>(&mut self, is_gone: F) -> Vec<UsageSlice>
    where
        F: Fn(&Source) -> bool,
    {
        let mut orphans = Vec::new();
        self.sources.retain(|source, slices| {
            if !is_gone(source) {
                return true;
            }
            orphans.extend(std::mem::take(slices).into_values());
            false
        });
        orphans
    }
}
