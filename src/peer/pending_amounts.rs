//! Amounts that are not reported yet over a connection.

use std::sync::Arc;

use indexmap::IndexMap;

/// An amount that is not reported yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAmount {
    pub(super) amount: u64,
    /// Whether the amount may be sent in parts.
    pub(super) is_divisible: bool,
}

/// Amounts that are not reported yet, by name.
#[derive(Debug, Default)]
pub(super) struct PendingAmounts {
    by_name: IndexMap<Arc<str>, PendingAmount>,
}

impl PendingAmounts {
    /// Adds to the amount of a name. A sum is divisible if all that was added is.
    pub(super) fn add(&mut self, name: &Arc<str>, amount: u64, is_divisible: bool) {
        if let Some(pending) = self.by_name.get_mut(name) {
            pending.amount += amount;
            pending.is_divisible &= is_divisible;
            return;
        }
        let pending = PendingAmount {
            amount,
            is_divisible,
        };
        self.by_name.insert(name.clone(), pending);
    }

    /// Subtracts what is sent of the amount of a name.
    pub(super) fn subtract(&mut self, name: &Arc<str>, sent: u64) {
        let Some(pending) = self.by_name.get_mut(name) else {
            return;
        };
        pending.amount -= sent;
        if pending.amount == 0 {
            self.by_name.swap_remove(name);
        }
    }

    /// Returns the amounts and their names, largest first.
    pub(super) fn largest(&self) -> Vec<(PendingAmount, Arc<str>)> {
        let mut largest = Vec::with_capacity(self.by_name.len());
        for (name, pending) in &self.by_name {
            largest.push((*pending, name.clone()));
        }
        largest.sort_unstable_by(|a, b| (b.0.amount, &b.1).cmp(&(a.0.amount, &a.1)));
        largest
    }

    /// Returns the number of names with an amount.
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there is no amount.
    pub(super) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
