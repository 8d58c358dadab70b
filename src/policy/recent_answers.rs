//! When requests with a fingerprint were last answered completely.

use std::hash::Hash;

use indexmap::IndexMap;

/// Time for which answers are remembered, in milliseconds. Longer than most requests are in
/// flight.
pub const ANSWER_PERIOD_MS: u64 = 60_000;

/// Maximum number of fingerprints whose answers are remembered.
pub const MAX_ANSWERED: usize = 100_000;

/// Time of the last complete answer for each fingerprint, in milliseconds.
#[derive(Clone, Debug)]
pub struct RecentAnswers<F> {
    answered_ms: IndexMap<F, u64>,
}

impl<F> Default for RecentAnswers<F> {
    fn default() -> Self {
        Self {
            answered_ms: IndexMap::new(),
        }
    }
}

impl<F> RecentAnswers<F>
where
    F: Clone + Eq + Hash,
{
    /// Records that requests with these fingerprints were answered at `at_ms`.
    pub fn record(&mut self, fingerprints: &[F], at_ms: u64) {
        for fingerprint in fingerprints {
            let answered_ms = self.answered_ms.entry(fingerprint.clone()).or_default();
            *answered_ms = at_ms.max(*answered_ms);
        }
        if self.answered_ms.len() > MAX_ANSWERED {
            self.forget_older_half();
        }
    }

    /// Returns when a request with a fingerprint was last answered.
    #[must_use]
    pub fn last_ms(&self, fingerprint: &F) -> Option<u64> {
        self.answered_ms.get(fingerprint).copied()
    }

    /// Forgets answers that are old.
    pub fn expire(&mut self, now_ms: u64) {
        self.answered_ms
            .retain(|_, answered_ms| *answered_ms + ANSWER_PERIOD_MS > now_ms);
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<u64> = self.answered_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, &mut median_ms, _) = times.select_nth_unstable(middle);
        let mut excess = middle;
        self.answered_ms.retain(|_, answered_ms| {
            let is_forgotten = excess > 0 && *answered_ms <= median_ms;
            excess -= usize::from(is_forgotten);
            !is_forgotten
        });
    }
}
