//! Copies of other instances' usage slices that are not yet flushed to the log.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::log::records::UsageSlice;

/// An incarnation of an instance that measures usage.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Source {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

/// Copies of usage slices, by source and slice number.
///
/// A source sends its current slice repeatedly under the same number while the
/// slice grows. The newest copy replaces earlier ones.
#[derive(Debug, Default)]
pub struct UsageCopies {
    sources: IndexMap<Source, IndexMap<u64, UsageSlice>>,
}

impl UsageCopies {
    /// Maximum number of slices held per source.
    pub const MAX_SLICES: usize = 256;

    /// Stores a copy. Above the limit, the oldest copy of the source is
    /// removed.
    pub fn insert(&mut self, source: Source, slice: UsageSlice) {
        let slices = self.sources.entry(source).or_default();
        slices.insert(slice.slice, slice);
        if slices.len() > Self::MAX_SLICES {
            slices.shift_remove_index(0);
        }
    }

    /// Removes the copies of a source's slices up to and including number
    /// `up_to_slice`, which the source has flushed.
    pub fn remove_flushed(&mut self, source: &Source, up_to_slice: u64) {
        let Some(slices) = self.sources.get_mut(source) else {
            return;
        };
        slices.retain(|&number, _| number > up_to_slice);
        if slices.is_empty() {
            self.sources.swap_remove(source);
        }
    }

    /// Removes and returns the slices of all sources for which `is_terminated`
    /// returns true.
    pub fn take_orphans<F>(&mut self, is_terminated: F) -> Vec<UsageSlice>
    where
        F: Fn(&Source) -> bool,
    {
        let mut orphans = Vec::new();
        self.sources.retain(|source, slices| {
            if !is_terminated(source) {
                return true;
            }
            orphans.extend(std::mem::take(slices).into_values());
            false
        });
        orphans
    }
}
