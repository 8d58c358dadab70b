//! Loading of model weights within the rate limit of the weight store.

use std::sync::Arc;

const MS_PER_MINUTE: u64 = 60_000;

/// Token bucket that limits the rate at which model weights are loaded from the
/// weight store.
///
/// ```
/// use lavenderwind::policy::roles::WeightLoadBudget;
///
/// let mut budget = WeightLoadBudget::new(6, 1);
/// assert!(budget.withdraw(0));
/// assert!(!budget.withdraw(9_999));
/// assert!(budget.withdraw(10_000));
/// ```
#[derive(Clone, Debug)]
pub struct WeightLoadBudget {
    loads_per_minute: u64,
    /// Capacity of the bucket, in loads.
    burst: u64,
    /// Available loads, in units of 1/60,000 load.
    level: u64,
    refilled_at_ms: u64,
}

impl WeightLoadBudget {
    /// Creates a full bucket of `burst` loads.
    #[must_use]
    pub fn new(loads_per_minute: u64, burst: u64) -> Self {
        Self {
            loads_per_minute,
            burst,
            level: burst * MS_PER_MINUTE,
            refilled_at_ms: 0,
        }
    }

    /// Withdraws one load; returns `false` if the rate limit is reached.
    pub fn withdraw(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms.max(self.refilled_at_ms);
        let refilled = elapsed_ms.saturating_mul(self.loads_per_minute);
        self.level = self
            .level
            .saturating_add(refilled)
            .min(self.burst * MS_PER_MINUTE);
        let Some(level) = self.level.checked_sub(MS_PER_MINUTE) else {
            return false;
        };
        self.level = level;
        true
    }
}

/// A version of a model, with or without an adapter, that may have to be loaded on
/// more targets.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightLoadCandidate {
    /// Model name.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Adapter name; empty for none.
    pub adapter: Arc<str>,
    /// Number of targets that have the candidate loaded and accept new requests.
    pub loaded_on: u32,
    /// Number of targets that should have the candidate loaded.
    pub wanted: u32,
    /// Requests per second for the candidate that found no target with room.
    pub unserved_per_s: f64,
}

/// Returns the candidate to load next; `None` if each one is loaded on as many
/// targets as wanted.
///
/// Candidates that no target has loaded come first, then those with the highest
/// rate of unserved requests, then those with the most missing targets.
#[must_use]
pub fn choose_weight_load(candidates: &[WeightLoadCandidate]) -> Option<&WeightLoadCandidate> {
    let mut best: Option<&WeightLoadCandidate> = None;
    for candidate in candidates {
        if candidate.loaded_on >= candidate.wanted {
            continue;
        }
        if best.is_none_or(|best| urgency(candidate) > urgency(best)) {
            best = Some(candidate);
        }
    }
    best
}

fn urgency(candidate: &WeightLoadCandidate) -> (bool, u64, u32) {
    let unserved_milli = (candidate.unserved_per_s * 1_000.0) as u64;
    (
        candidate.loaded_on == 0,
        unserved_milli,
        candidate.wanted - candidate.loaded_on,
    )
}
