//! Usage of the last seconds, by time.

/// Length of the slots in which usage is added up, in milliseconds.
const SLOT_MS: u64 = 100;

/// Amounts of the last seconds, added up in slots.
#[derive(Clone, Debug)]
pub(super) struct UsageWindow {
    slots: Box<[u64]>,
    /// Number of the newest slot, counted from time 0.
    newest: u64,
}

impl UsageWindow {
    /// Creates a window of `window_ms` in which `rate_per_s` was used all the time.
    pub(super) fn filled(rate_per_s: u64, window_ms: u64, now_ms: u64) -> Self {
        let slots = window_ms / SLOT_MS + 3;
        Self {
            slots: vec![rate_per_s.saturating_mul(SLOT_MS) / 1_000; slots as usize].into(),
            newest: now_ms / SLOT_MS,
        }
    }

    /// Adds an amount that is used now.
    pub(super) fn add(&mut self, amount: u64, now_ms: u64) {
        self.advance(now_ms);
        let slot = self.slot_mut(self.newest);
        *slot = slot.saturating_add(amount);
    }

    /// Takes back an amount, the newest usage first.
    pub(super) fn remove(&mut self, amount: u64) {
        let mut left = amount;
        for age in 0..self.slots.len() as u64 {
            let Some(number) = self.newest.checked_sub(age) else {
                return;
            };
            let slot = self.slot_mut(number);
            let removed = left.min(*slot);
            *slot -= removed;
            left -= removed;
        }
    }

    /// Returns the usage between the ages `from_ms` (exclusive) and `to_ms` (inclusive).
    ///
    /// A slot that lies partly within the period counts if its older end does.
    pub(super) fn sum(&self, from_ms: u64, to_ms: u64, now_ms: u64) -> u64 {
        let oldest = now_ms.saturating_sub(to_ms) / SLOT_MS;
        let end = now_ms.saturating_sub(from_ms) / SLOT_MS;
        let first_kept = self.first_kept();
        let mut sum: u64 = 0;
        for number in oldest.max(first_kept)..=end.min(self.newest) {
            if from_ms > 0 && number == end {
                continue;
            }
            sum = sum.saturating_add(self.slots[self.index(number)]);
        }
        sum
    }

    /// Returns the usage of the slots that ended after `from_ms` and up to `to_ms`.
    pub(super) fn sum_between(&self, from_ms: u64, to_ms: u64) -> u64 {
        let first_kept = self.first_kept();
        let mut sum: u64 = 0;
        for number in (from_ms / SLOT_MS).max(first_kept)..(to_ms / SLOT_MS).min(self.newest + 1) {
            sum = sum.saturating_add(self.slots[self.index(number)]);
        }
        sum
    }

    /// Starts new slots up to the one of `now_ms`.
    fn advance(&mut self, now_ms: u64) {
        let number = now_ms / SLOT_MS;
        if number.saturating_sub(self.newest) >= self.slots.len() as u64 {
            self.slots.fill(0);
            self.newest = number;
        }
        while self.newest < number {
            self.newest += 1;
            *self.slot_mut(self.newest) = 0;
        }
    }

    fn first_kept(&self) -> u64 {
        (self.newest + 1).saturating_sub(self.slots.len() as u64)
    }

    fn index(&self, number: u64) -> usize {
        (number % self.slots.len() as u64) as usize
    }

    fn slot_mut(&mut self, number: u64) -> &mut u64 {
        let index = self.index(number);
        &mut self.slots[index]
    }
}
