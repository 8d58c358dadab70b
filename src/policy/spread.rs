//! Spreads requests over targets by what is in flight on each.

/// A target that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadCandidate {
    /// Requests in flight on it, or other work in as many requests.
    pub in_flight: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the failure domain from which it is reached best.
    pub in_same_domain: bool,
    /// Part of its newest answers that were failures.
    pub failure_rate: f64,
    /// Whether it is so new that it may be given another role.
    pub may_change_role: bool,
}

/// Weights of a choice, in shares of a target's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadWeights {
    /// Cost of a target in another failure domain.
    pub other_domain: f64,
    /// Cost of a target all of whose answers are failures.
    pub failing: f64,
    /// Cost of a target that may be given another role.
    pub role_change: f64,
}

/// Returns the index of the candidate with the least cost; `point`, uniform in
/// 0 to 1, decides between equals.
#[must_use]
pub fn choose_least_loaded(
    candidates: &[SpreadCandidate],
    weights: &SpreadWeights,
    point: f64,
) -> Option<usize> {
    let mut least = f64::INFINITY;
    let mut equals = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = cost(candidate, weights);
        if cost < least {
            least = cost;
            equals.clear();
        }
        if cost == least {
            equals.push(index);
        }
    }
    let chosen = (point * equals.len() as f64) as usize;
    equals.get(chosen).or(equals.last()).copied()
}

fn cost(candidate: &SpreadCandidate, weights: &SpreadWeights) -> f64 {
    let mut cost = candidate.in_flight / f64::from(candidate.slots.max(1));
    if !candidate.in_same_domain {
        cost += weights.other_domain;
    }
    if candidate.may_change_role {
        cost += weights.role_change;
    }
    cost + weights.failing * candidate.failure_rate
}
