//! The cheapest set of targets that survives a reclaim.

use std::{cmp::Reverse, sync::Arc};

/// Targets that can be had in a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSupply {
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Reclaimable targets that run or can be had now.
    pub reclaimable: u32,
    /// Reclaimable targets that run and take work.
    pub reclaimable_live: u32,
    /// Whether the platform refused to give more reclaimable ones just now.
    pub is_out_of_capacity: bool,
    /// Other targets that run or can be had now.
    pub regular: u32,
}

/// Cost of one target, in thousandths of the currency unit an hour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendingPrices {
    /// Reclaimable kind.
    pub reclaimable_milli_per_hour: u64,
    /// Other kind.
    pub regular_milli_per_hour: u64,
}

/// Bounds of a service document; `None` is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpendingLimits {
    /// Fewest targets.
    pub min_targets: u32,
    /// Most targets.
    pub max_targets: Option<u32>,
    /// Most cost, in thousandths of the currency unit an hour.
    pub max_cost_milli_per_hour: Option<u64>,
}

/// Targets wanted in each failure domain, in the order of the supply.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SpendingPlan {
    /// Reclaimable targets.
    pub reclaimable: Vec<u32>,
    /// Other targets.
    pub regular: Vec<u32>,
    /// Targets that are left when the reclaimable ones of any one domain go.
    pub surviving: u32,
    /// Cost, in thousandths of the currency unit an hour.
    pub cost_milli_per_hour: u64,
}

impl SpendingPlan {
    fn targets(&self) -> u32 {
        self.reclaimable.iter().sum::<u32>() + self.regular.iter().sum::<u32>()
    }
}

/// Returns the cheapest plan of which `needed` targets survive, or, where the
/// supply or the limits don't allow that, the one of which most survive.
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
            // Fewer regular targets only leave fewer survivors.
            break;
        }
    }
    best.unwrap_or_else(|| build_plan(vec![0; supply.len()], 0, supply, prices))
}

/// Keeps regular targets until the reclaimable ones that replace them run.
#[must_use]
pub fn release(
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

/// Returns the regular targets to keep in each domain until the reclaimable
/// ones that replace them run.
///
/// A domain takes at most `max_targets` of both kinds, so that its regular
/// targets go once all the reclaimable ones run for which they leave room.
/// While a domain's reclaimable targets are away, those of the others carry
/// the load: the loss is what they were spread for, and no regular target is
/// ordered for it as long as `needed` targets can be expected at all. As long
/// as the platform refuses some, those stay that make up for what is
/// missing: what was to replace them may not be had either.
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
    // What is missing is spread evenly over the domains that have room.
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

/// Spreads the fewest reclaimable targets over the domains of which `needed`
/// survive, as far as the supply goes.
fn spread_reclaimable(needed: u32, supply: &[DomainSupply]) -> Vec<u32> {
    let mut counts = vec![0; supply.len()];
    loop {
        if surviving_reclaimable(&counts) >= needed {
            return counts;
        }
        // The emptiest domain with supply left.
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

/// Returns the running reclaimable targets to count on: half of the largest
/// failure domain is held against its loss.
fn dependable_reclaimable(supply: &[DomainSupply]) -> u32 {
    let live = supply.iter().map(|domain| domain.reclaimable_live);
    live.clone().sum::<u32>() - live.max().unwrap_or(0) / 2
}

/// Whether the platform has had too few reclaimable targets to give.
///
/// It lasts from a refusal until enough of them run again, since the platform
/// does not tell when it has some.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    active: bool,
}

impl Shortage {
    /// Notes that the platform refused reclaimable targets.
    pub fn note_refusal(&mut self) {
        self.active = true;
    }

    /// Returns whether there is a shortage, given the running targets.
    pub fn observe(&mut self, needed: u32, supply: &[DomainSupply]) -> bool {
        self.active &= dependable_reclaimable(supply) < needed;
        self.active
    }
}

fn surviving_reclaimable(counts: &[u32]) -> u32 {
    counts.iter().sum::<u32>() - counts.iter().copied().max().unwrap_or(0)
}

/// Spreads regular targets over the domains with the fewest targets.
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

/// Orders plans: most survivors up to the need, then least cost, then most
/// targets.
fn rank(plan: &SpendingPlan, needed: u32) -> (u32, Reverse<u64>, u32) {
    (
        plan.surviving.min(needed),
        Reverse(plan.cost_milli_per_hour),
        plan.targets(),
    )
}
