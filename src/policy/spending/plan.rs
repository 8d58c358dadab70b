//! Cheapest set of targets that tolerates the loss of all reclaimable targets of
//! one failure domain.
//!
//! The platform may reclaim a reclaimable target at any time. Regular targets
//! cannot be reclaimed, but usually cost more.

use std::{cmp::Reverse, sync::Arc};

/// Targets that run or can be ordered in a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSupply {
    /// Name of the failure domain.
    pub failure_domain: Arc<str>,
    /// Reclaimable targets that run or can be ordered now.
    pub reclaimable: u32,
    /// Reclaimable targets that run and accept requests.
    pub reclaimable_live: u32,
    /// Whether the platform recently refused to start more reclaimable targets.
    pub is_out_of_capacity: bool,
    /// Regular (not reclaimable) targets that run or can be ordered now.
    pub regular: u32,
}

/// Prices of one target, in thousandths of the currency unit per hour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendingPrices {
    /// Price of a reclaimable target.
    pub reclaimable_milli_per_hour: u64,
    /// Price of a regular target.
    pub regular_milli_per_hour: u64,
}

/// Limits set by a service document; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpendingLimits {
    /// Minimum number of targets.
    pub min_targets: u32,
    /// Maximum number of targets.
    pub max_targets: Option<u32>,
    /// Maximum cost, in thousandths of the currency unit per hour.
    pub max_cost_milli_per_hour: Option<u64>,
}

/// Number of targets to run in each failure domain, in the order of the
/// [`DomainSupply`] entries from which the plan was made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SpendingPlan {
    /// Reclaimable targets by failure domain.
    pub reclaimable: Vec<u32>,
    /// Regular targets by failure domain.
    pub regular: Vec<u32>,
    /// Number of targets that remain if the domain with the most reclaimable
    /// targets loses all of them.
    pub surviving: u32,
    /// Cost, in thousandths of the currency unit per hour.
    pub cost_milli_per_hour: u64,
}

impl SpendingPlan {
    /// Returns the total number of targets.
    fn targets(&self) -> u32 {
        self.reclaimable.iter().sum::<u32>() + self.regular.iter().sum::<u32>()
    }
}

/// Returns the cheapest plan with at least `needed` surviving targets (see
/// [`SpendingPlan::surviving`]). If the supply or the limits don't allow such a
/// plan, returns the plan with the most surviving targets.
#[must_use]
pub fn plan(
    needed: u32,
    supply: &[DomainSupply],
    prices: &SpendingPrices,
    limits: &SpendingLimits,
) -> SpendingPlan {
    let needed = needed.max(limits.min_targets);
    let mut best: Option<SpendingPlan> = None;
    for survivors in 0..=needed {
        let reclaimable = spread_reclaimable(survivors, supply);
        let survivors = surviving_reclaimable(&reclaimable);
        for regular in (0..=needed.saturating_sub(survivors)).rev() {
            let candidate = build_plan(reclaimable.clone(), regular, supply, prices);
            if !is_within_limits(&candidate, limits) {
                continue;
            }
            if best
                .as_ref()
                .is_none_or(|best| rank(&candidate, needed) > rank(best, needed))
            {
                best = Some(candidate);
            }
            // Plans with fewer regular targets have fewer survivors.
            break;
        }
    }
    best.unwrap_or_else(|| build_plan(vec![0; supply.len()], 0, supply, prices))
}

/// Returns the number of regular targets to run in each domain, so that `needed`
/// targets (or fewer, if the plan has fewer survivors) survive the loss of one
/// domain's reclaimable targets during the change to the plan.
///
/// The result contains the planned regular targets. Until enough of the planned
/// reclaimable targets run, it also contains regular targets that run now
/// (`regular_now`). In contrast to [`keep_regular`], this function never adds
/// regular targets that are neither planned nor running.
#[must_use]
pub fn regular_until_replaced(
    planned: &SpendingPlan,
    needed: u32,
    regular_now: &[u32],
    supply: &[DomainSupply],
) -> Vec<u32> {
    let mut live = Vec::with_capacity(supply.len());
    for (domain, wanted) in supply.iter().zip(&planned.reclaimable) {
        live.push(domain.reclaimable_live.min(*wanted));
    }
    let mut missing = needed
        .min(planned.surviving)
        .saturating_sub(surviving_reclaimable(&live));
    missing = missing.saturating_sub(planned.regular.iter().sum());
    let mut kept = planned.regular.clone();
    for (kept, now) in kept.iter_mut().zip(regular_now) {
        let extra = now.saturating_sub(*kept).min(missing);
        *kept += extra;
        missing -= extra;
    }
    kept
}

/// Returns the number of regular targets to run in each domain, so that about
/// `needed` targets of both kinds run.
///
/// In contrast to [`regular_until_replaced`], this function ignores the planned
/// regular targets, limits the size of each domain, and may add regular targets
/// in place of reclaimable ones that are not expected to run.
///
/// - A domain runs at most `max_targets` of both kinds. The regular targets that
///   run now (`regular_now`) may leave too little room for all planned
///   reclaimable targets. The regular targets are released once the domain runs
///   all planned reclaimable targets, or as many as fit beside the regular ones.
/// - The planned reclaimable targets are expected to run, except in a domain in
///   which the platform recently refused to start some. In such a domain, only the
///   running reclaimable targets are expected to run. Regular targets are added
///   only if the expected reclaimable targets and the kept regular ones are fewer
///   than `needed`. The loss of a domain's reclaimable targets alone does not add
///   regular targets, since the plan spreads the reclaimable targets such that the
///   other domains serve the load.
/// - After a refusal in any domain, running regular targets are kept only as far
///   as the running reclaimable targets, minus a reserve, are fewer than `needed`.
///   The platform may refuse reclaimable replacements of these regular targets as
///   well.
#[must_use]
pub fn keep_regular(
    planned: &SpendingPlan,
    needed: u32,
    max_targets: u32,
    regular_now: &[u32],
    supply: &[DomainSupply],
) -> Vec<u32> {
    let mut expected = 0;
    for (domain, wanted) in supply.iter().zip(&planned.reclaimable) {
        expected += match domain.is_out_of_capacity {
            true => domain.reclaimable_live.min(*wanted),
            false => *wanted,
        };
    }
    let mut shortfall = needed.saturating_sub(expected);
    let has_refusal = supply.iter().any(|domain| domain.is_out_of_capacity);
    let mut regular_to_keep = needed.saturating_sub(dependable_reclaimable(supply));
    let mut kept = Vec::with_capacity(supply.len());
    for (index, domain) in supply.iter().enumerate() {
        let now = regular_now[index];
        let reclaimable_room = max_targets.saturating_sub(now);
        let is_replaced =
            domain.reclaimable_live >= planned.reclaimable[index].min(reclaimable_room);
        let kept_here = match has_refusal {
            true => now.min(regular_to_keep),
            false if is_replaced => 0,
            false => now,
        };
        regular_to_keep = regular_to_keep.saturating_sub(kept_here);
        shortfall = shortfall.saturating_sub(kept_here);
        kept.push(kept_here);
    }
    // Spread the shortfall evenly over the domains that have room.
    let mut has_added = true;
    while shortfall > 0 && has_added {
        has_added = false;
        for (index, domain) in supply.iter().enumerate() {
            let has_room = kept[index] + domain.reclaimable_live < max_targets;
            if shortfall == 0 || !has_room {
                continue;
            }
            kept[index] += 1;
            shortfall -= 1;
            has_added = true;
        }
    }
    kept
}

/// Spreads reclaimable targets evenly over the domains, and returns their number
/// in each domain.
///
/// The number of targets is the smallest of which `needed` remain after the loss of
/// one domain. If the supply is too small for that, all available targets are used.
fn spread_reclaimable(needed: u32, supply: &[DomainSupply]) -> Vec<u32> {
    let mut counts = vec![0; supply.len()];
    loop {
        if surviving_reclaimable(&counts) >= needed {
            return counts;
        }
        // Find the domain with the fewest targets among those with supply left.
        let mut emptiest: Option<usize> = None;
        for (index, domain) in supply.iter().enumerate() {
            if counts[index] >= domain.reclaimable {
                continue;
            }
            if emptiest.is_none_or(|other| counts[index] < counts[other]) {
                emptiest = Some(index);
            }
        }
        let Some(index) = emptiest else {
            return counts;
        };
        counts[index] += 1;
    }
}

/// Returns the number of running reclaimable targets, minus a reserve for the loss
/// of a domain.
///
/// The reserve is half of the targets in the domain with the most running
/// reclaimable targets.
fn dependable_reclaimable(supply: &[DomainSupply]) -> u32 {
    let live = supply.iter().map(|domain| domain.reclaimable_live);
    live.clone().sum::<u32>() - live.max().unwrap_or(0) / 2
}

/// Tracks whether the platform has too few reclaimable targets.
///
/// The platform refuses orders when it lacks capacity, but does not report when it
/// has capacity again. A shortage is therefore assumed to last from a refusal
/// until enough reclaimable targets run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    is_active: bool,
}

impl Shortage {
    /// Records that the platform refused reclaimable targets.
    pub fn record_refusal(&mut self) {
        self.is_active = true;
    }

    /// Returns `true` if the shortage continues, given the running targets in
    /// `supply`. The shortage ends once the running reclaimable targets, minus a
    /// reserve for the loss of a domain, are at least `needed`.
    pub fn observe(&mut self, needed: u32, supply: &[DomainSupply]) -> bool {
        self.is_active &= dependable_reclaimable(supply) < needed;
        self.is_active
    }
}

/// Returns the number of reclaimable targets that remain after the loss of the domain
/// with the most of them, given their number in each domain.
fn surviving_reclaimable(counts: &[u32]) -> u32 {
    counts.iter().sum::<u32>() - counts.iter().copied().max().unwrap_or(0)
}

/// Builds a plan from the reclaimable targets by domain and a number of regular
/// targets. Each regular target is placed in the domain with the fewest targets
/// among those with regular supply left.
fn build_plan(
    reclaimable: Vec<u32>,
    regular: u32,
    supply: &[DomainSupply],
    prices: &SpendingPrices,
) -> SpendingPlan {
    let mut counts = vec![0; supply.len()];
    for _ in 0..regular {
        let mut emptiest: Option<usize> = None;
        for (index, domain) in supply.iter().enumerate() {
            if counts[index] >= domain.regular {
                continue;
            }
            let total = counts[index] + reclaimable[index];
            if emptiest.is_none_or(|other| total < counts[other] + reclaimable[other]) {
                emptiest = Some(index);
            }
        }
        let Some(index) = emptiest else {
            break;
        };
        counts[index] += 1;
    }
    let regular_count: u32 = counts.iter().sum();
    let reclaimable_count: u32 = reclaimable.iter().sum();
    SpendingPlan {
        surviving: surviving_reclaimable(&reclaimable) + regular_count,
        cost_milli_per_hour: u64::from(reclaimable_count) * prices.reclaimable_milli_per_hour
            + u64::from(regular_count) * prices.regular_milli_per_hour,
        reclaimable,
        regular: counts,
    }
}

fn is_within_limits(plan: &SpendingPlan, limits: &SpendingLimits) -> bool {
    limits.max_targets.is_none_or(|most| plan.targets() <= most)
        && limits
            .max_cost_milli_per_hour
            .is_none_or(|most| plan.cost_milli_per_hour <= most)
}

/// Returns the sort key of a plan: more survivors (up to `needed`) are better,
/// then a lower cost, then more targets.
fn rank(plan: &SpendingPlan, needed: u32) -> (u32, Reverse<u64>, u32) {
    (
        plan.surviving.min(needed),
        Reverse(plan.cost_milli_per_hour),
        plan.targets(),
    )
}
