//! Simulated targets that check that no late order takes effect.

use lavenderwind::ledger::Ledger;

use super::Counts;

/// A simulated target that accepts orders.
pub(crate) struct Target {
    pub(crate) name: &'static str,
    pub(crate) checks_fencing: bool,
    pub(crate) last_order_id: u64,
    /// Highest fencing token accepted so far.
    epoch: u64,
}

impl Target {
    pub(crate) fn new(name: &'static str, checks_fencing: bool) -> Self {
        Self {
            name,
            checks_fencing,
            last_order_id: 0,
            epoch: 0,
        }
    }

    /// Applies a write; returns false if the target refuses it for its old fencing
    /// token.
    ///
    /// Panics if the intent of an accepted order is not open. Once the intent is
    /// closed, a successor may have sent a different order, which a late write would
    /// override.
    pub(crate) fn write(
        &mut self,
        order_id: u64,
        epoch: u64,
        ledger: &Ledger,
        lapsed: bool,
        counts: &mut Counts,
    ) -> bool {
        if self.checks_fencing && epoch < self.epoch {
            counts.fenced_writes += 1;
            return false;
        }
        counts.repeats += u32::from(order_id == self.last_order_id);
        counts.writes += 1;
        counts.writes_after_lapse += u32::from(lapsed);
        let open = ledger.intent(self.name).map(|intent| intent.offset.0);
        assert_eq!(open, Some(order_id), "late order to {}", self.name);
        self.epoch = self.epoch.max(epoch);
        self.last_order_id = order_id;
        true
    }
}
