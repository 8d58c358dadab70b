//! Cheapest set of targets that tolerates the loss of one failure domain's
//! reclaimable targets.

use std::{cmp::Reverse, sync::Arc};

/// Targets available in a failure domain.
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

/// Number of targets to run in each failure domain, in the order of the supply.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SpendingPlan {
    /// Reclaimable targets by failure domain.
    pub reclaimable: Vec<u32>,
    /// Regular targets by failure domain.
    pub regular: Vec<u32>,
    /// Targets that remain if the largest number of reclaimable targets in one
    /// domain is lost.
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

/// Returns the cheapest plan with at least `needed` surviving targets. If the
/// supply or the limits don't allow that, returns the one with the most
/// surviving targets.
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

/// Returns the regular targets to keep in each domain: the planned ones, and as
/// many of the running ones as are needed until the planned reclaimable
/// targets that replace them run.
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

/// Returns the regular targets to run in each domain until the reclaimable
/// targets that replace them run.
///
/// A domain runs at most `max_targets` of both kinds. Its regular targets are
/// therefore released once the reclaimable targets fill the room that they
/// leave.
///
/// If a domain loses its reclaimable targets, those of the other domains serve
/// the load; the plan spreads them for this case. No regular targets are
/// ordered instead as long as the planned reclaimable ones, where they can be
/// expected to run, add up to `needed`.
///
/// While the platform refuses reclaimable targets, as many regular ones stay as
/// make up for the missing ones, since the platform may refuse their
/// replacements as well.
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
    let is_short = supply.iter().any(|domain| domain.is_out_of_capacity);
    let mut spare = needed.saturating_sub(dependable_reclaimable(supply));
    let mut kept = Vec::with_capacity(supply.len());
    for (index, domain) in supply.iter().enumerate() {
        let now = regular_now[index];
        let room = max_targets.saturating_sub(now);
        let replaced = domain.reclaimable_live >= planned.reclaimable[index].min(room);
        let stays = match is_short {
            true => now.min(spare),
            false if replaced => 0,
            false => now,
        };
        spare = spare.saturating_sub(stays);
        shortfall = shortfall.saturating_sub(stays);
        kept.push(stays);
    }
    // The shortfall is spread evenly over the domains that have room.
    let mut added = true;
    while shortfall > 0 && added {
        added = false;
        for (index, domain) in supply.iter().enumerate() {
            let has_room = kept[index] + domain.reclaimable_live < max_targets;
            if shortfall == 0 || !has_room {
                continue;
            }
            kept[index] += 1;
            shortfall -= 1;
            added = true;
        }
    }
    kept
}

/// Spreads as few reclaimable targets over the domains as leave `needed` of them
/// after the loss of one domain, or all available ones if these are too few.
fn spread_reclaimable(needed: u32, supply: &[DomainSupply]) -> Vec<u32> {
    let mut counts = vec![0; supply.len()];
    loop {
        if surviving_reclaimable(&counts) >= needed {
            return counts;
        }
        // The domain with the fewest targets among those with supply left.
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

/// Returns the number of running reclaimable targets to rely on: all except half
/// of those in the largest failure domain, as a reserve for the loss of a domain.
fn dependable_reclaimable(supply: &[DomainSupply]) -> u32 {
    let live = supply.iter().map(|domain| domain.reclaimable_live);
    live.clone().sum::<u32>() - live.max().unwrap_or(0) / 2
}

/// Tracks whether the platform has too few reclaimable targets.
///
/// A shortage lasts from a refusal until enough reclaimable targets run again,
/// since the platform does not report when it has capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    active: bool,
}

impl Shortage {
    /// Records that the platform refused reclaimable targets.
    pub fn note_refusal(&mut self) {
        self.active = true;
    }

    /// Returns `true` if the shortage lasts, given the running targets in `supply`.
    pub fn observe(&mut self, needed: u32, supply: &[DomainSupply]) -> bool {
        self.active &= dependable_reclaimable(supply) < needed;
        self.active
    }
}

/// Returns the reclaimable targets that remain after the loss of the domain with
/// the most of them.
fn surviving_reclaimable(counts: &[u32]) -> u32 {
    counts.iter().sum::<u32>() - counts.iter().copied().max().unwrap_or(0)
}

/// Builds a plan from the reclaimable targets by domain and a number of regular
/// targets, which are placed in the domains with the fewest targets.
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
    let placed: u32 = counts.iter().sum();
    let reclaimable_count: u32 = reclaimable.iter().sum();
    SpendingPlan {
        surviving: surviving_reclaimable(&reclaimable) + placed,
        cost_milli_per_hour: u64::from(reclaimable_count) * prices.reclaimable_milli_per_hour
            + u64::from(placed) * prices.regular_milli_per_hour,
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
