//! Sums that decay with time, and rates.

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

/// Shortest time over which a rate is measured, in milliseconds.
const MIN_PERIOD_MS: f64 = 500.0;

/// Rate at which amounts come, per millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    sum: DecayingSum,
    first_ms: Option<u64>,
}

impl Rate {
    /// Adds an amount; `decay_ms` is the time in which its weight falls to 1/e.
    pub(super) fn add(&mut self, amount: f64, now_ms: u64, decay_ms: f64) {
        self.first_ms.get_or_insert(now_ms);
        self.sum.add(amount, now_ms, decay_ms);
    }

    /// Returns the rate, in which recent amounts have more weight.
    pub(super) fn get(&self, now_ms: u64, decay_ms: f64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.first_ms.unwrap_or(now_ms)) as f64;
        let age_ms = age_ms.max(MIN_PERIOD_MS);
        self.sum.get(now_ms, decay_ms) / (decay_ms * (1.0 - (-age_ms / decay_ms).exp()))
    }
}
