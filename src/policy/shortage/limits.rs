//! Wait limits of the priorities, from the objectives of recent requests.

/// Number of priorities that are told apart; all less urgent ones count as the last.
pub(super) const PRIORITIES: usize = 8;

/// Wait that is accepted from every request, as a fraction of the objective.
pub(super) const LOWEST_LIMIT: f64 = 0.25;

/// Wait limit of the most urgent requests, including their own time, as a fraction of the
/// objective. The rest covers errors of the predicted times.
const HIGHEST_LIMIT: f64 = 0.75;

/// Time for which an objective is remembered, in slices.
const SLICES: usize = 6;

const SLICE_MS: u64 = 10_000;

/// Smallest value of the last 60 s, to a precision of one slice.
#[derive(Clone, Copy, Debug)]
struct RecentMinimum {
    minima: [f64; SLICES],
    slice: u64,
}

impl Default for RecentMinimum {
    fn default() -> Self {
        Self {
            minima: [f64::INFINITY; SLICES],
            slice: 0,
        }
    }
}

impl RecentMinimum {
    fn advance(&mut self, now_ms: u64) {
        let slice = now_ms / SLICE_MS;
        let passed = slice.saturating_sub(self.slice).min(SLICES as u64);
        for back in 0..passed {
            self.minima[((slice - back) % SLICES as u64) as usize] = f64::INFINITY;
        }
        self.slice = self.slice.max(slice);
    }

    fn observe(&mut self, value: f64) {
        let minimum = &mut self.minima[(self.slice % SLICES as u64) as usize];
        *minimum = minimum.min(value);
    }

    fn get(&self) -> f64 {
        self.minima.into_iter().fold(f64::INFINITY, f64::min)
    }
}

/// Range of the wait limits of one priority, in milliseconds.
///
/// The range of a less urgent priority ends where that of the next more urgent one
/// begins, or below. A request of any size and account therefore precedes all less
/// urgent ones; size and account only matter within the range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LimitRange {
    /// Limit of the requests that are refused first.
    pub(super) low_ms: f64,
    /// Limit of the requests that are refused last.
    pub(super) high_ms: f64,
}

impl LimitRange {
    /// Returns the limit with which a request that takes `own_ms` itself meets the
    /// range's upper end, and at least the lower end.
    pub(super) fn for_size(&self, own_ms: f64) -> f64 {
        (self.high_ms - own_ms).max(self.low_ms)
    }
}

/// Smallest recent objectives of all priorities.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgencyLimits {
    objectives: [RecentMinimum; PRIORITIES],
}

impl UrgencyLimits {
    /// Records the objective of a request.
    pub(super) fn observe(&mut self, priority: usize, objective_ms: f64, now_ms: u64) {
        for objective in &mut self.objectives {
            objective.advance(now_ms);
        }
        self.objectives[priority].observe(objective_ms);
    }

    /// Returns the smallest recent objective of all priorities, in milliseconds.
    pub(super) fn smallest_ms(&self) -> f64 {
        let minima = self.objectives.iter().map(RecentMinimum::get);
        minima.fold(f64::INFINITY, f64::min)
    }

    /// Returns the most urgent priority that was recently seen.
    pub(super) fn most_urgent(&self) -> usize {
        let mut objectives = self.objectives.iter();
        let found = objectives.position(|objective| objective.get().is_finite());
        found.unwrap_or_default()
    }

    /// Returns the range of the wait limits of a priority that was recently seen.
    ///
    /// The ranges of the priorities divide the span from [`LOWEST_LIMIT`] to
    /// [`HIGHEST_LIMIT`] of the smallest objective of the priority and all more urgent ones
    /// evenly.
    pub(super) fn range(&self, priority: usize) -> LimitRange {
        let mut basis_ms = f64::INFINITY;
        let (mut seen, mut rank) = (0_u32, 0_u32);
        for (index, objective) in self.objectives.iter().enumerate() {
            let objective_ms = objective.get();
            if objective_ms.is_infinite() {
                continue;
            }
            seen += 1;
            if index <= priority {
                basis_ms = basis_ms.min(objective_ms);
            }
            if index < priority {
                rank += 1;
            }
        }
        let step = (HIGHEST_LIMIT - LOWEST_LIMIT) / f64::from(seen.max(1));
        let factor = HIGHEST_LIMIT - step * f64::from(rank);
        LimitRange {
            low_ms: basis_ms * (factor - step).max(LOWEST_LIMIT),
            high_ms: basis_ms * factor,
        }
    }
}
