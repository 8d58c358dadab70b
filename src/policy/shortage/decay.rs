//! Sums that decay with time.

/// Sum of amounts, each of which decays exponentially from the time it was added.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    /// Adds an amount; `decay_ms` is the time in which an amount falls to 1/e.
    pub(super) fn add(&mut self, amount: f64, now_ms: u64, decay_ms: f64) {
        self.sum = self.get(now_ms, decay_ms) + amount;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Returns the decayed sum.
    pub(super) fn get(&self, now_ms: u64, decay_ms: f64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / decay_ms).exp()
    }
}
