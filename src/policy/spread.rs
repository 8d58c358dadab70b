//! Spreads requests over targets by the load in flight on each and by their speed.

/// Load that a request adds for itself on an idle target, as a share of the target's slots;
/// makes a slow target cost more than others also if it is idle.
const REQUEST_LOAD: f64 = 0.5;

/// Exponent with which the probability of a candidate falls as its cost rises. With 4, mean
/// loads that are known half a second late make a fleet at 70% of its capacity swing between
/// targets.
const COST_EXPONENT: f64 = 3.0;

/// Lower bound of a candidate's cost in [`choose_by_cost`].
const MIN_COST: f64 = -0.5;

/// A target to which a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadCandidate {
    /// Requests in flight on the target, plus other work expressed as a number of
    /// requests.
    pub in_flight: f64,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is in the failure domain that is reached fastest: that of
    /// the engine that prefilled the prompt or, without one, that of this instance.
    pub in_same_domain: bool,
    /// Share of the target's recent answers that were failures, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the target is so new that it may still be ordered to change its
    /// role.
    pub may_change_role: bool,
    /// Time that a request takes on the target with its present load, as a multiple of the
    /// usual time.
    pub slowness: f64,
}

impl SpreadCandidate {
    /// Returns the candidate's load plus the costs that apply of `weights`. The load is
    /// multiplied by the slowness, and with it a share for the request itself.
    #[must_use]
    pub fn cost(&self, weights: &SpreadWeights) -> f64 {
        let load = self.in_flight / f64::from(self.slots.max(1));
        let mut cost = load + (self.slowness - 1.0) * (load + REQUEST_LOAD);
        if !self.in_same_domain {
            cost += weights.other_domain;
        }
        if self.may_change_role {
            cost += weights.role_change;
        }
        cost + weights.failing * self.failure_rate
    }
}

/// Costs that are added to a target's load, which is the number of requests in
/// flight on the target divided by its slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadWeights {
    /// Cost of a target in another failure domain.
    pub other_domain: f64,
    /// Cost of a target whose recent answers were all failures. The cost is
    /// multiplied by the target's failure rate.
    pub failing: f64,
    /// Cost of a target that may be ordered to change its role.
    pub role_change: f64,
}

/// Returns the index of the candidate with the lowest cost, which is the
/// candidate's load plus the costs that apply of [`SpreadWeights`].
///
/// `point`, a random number uniform in 0 to 1, decides between candidates with
/// the same cost.
///
/// The load of a target that is slower or faster than usual counts as if it were larger or
/// smaller.
#[must_use]
pub fn choose_least_loaded(
    candidates: &[SpreadCandidate],
    weights: &SpreadWeights,
    point: f64,
) -> Option<usize> {
    let mut min_cost = f64::INFINITY;
    let mut ties = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = candidate.cost(weights);
        if cost < min_cost {
            min_cost = cost;
            ties.clear();
        }
        if cost == min_cost {
            ties.push(index);
        }
    }
    let chosen = (point * ties.len() as f64) as usize;
    ties.get(chosen).or(ties.last()).copied()
}

/// Returns the index of a candidate that is chosen at random by `point`, a random number
/// uniform in 0 to 1. The lower its cost, the more likely a candidate is chosen.
///
/// Instances that know loads and speeds only with a delay would all choose the same target
/// until they learn of its load, if each of them chose the one with the lowest cost.
#[must_use]
pub fn choose_by_cost(
    candidates: &[SpreadCandidate],
    weights: &SpreadWeights,
    point: f64,
) -> Option<usize> {
    let mut left = point;
    for (index, chance) in chances(candidates, weights).iter().enumerate() {
        left -= chance;
        if left < 0.0 {
            return Some(index);
        }
    }
    candidates.len().checked_sub(1)
}

/// Returns the probability with which [`choose_by_cost`] chooses each candidate.
#[must_use]
pub fn chances(candidates: &[SpreadCandidate], weights: &SpreadWeights) -> Vec<f64> {
    let mut chances = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let cost = candidate.cost(weights).max(MIN_COST);
        chances.push((1.0 + cost).powf(-COST_EXPONENT));
    }
    let total: f64 = chances.iter().sum();
    for chance in &mut chances {
        *chance /= total;
    }
    chances
}
