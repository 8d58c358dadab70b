use lavenderwind::ledger::Ledger;

use super::Counts;

/// A target that takes orders.
pub(crate) struct Target {
    pub(crate) name: &'static str,
    pub(crate) checks_fencing: bool,
    pub(crate) last_order_id: u64,
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

    /// Takes a write; returns false if its fencing number is old.
    ///
    /// An order may only take effect while its intent is the open one for the
    /// target: later, the successor may have ordered something else.
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
