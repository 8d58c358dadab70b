//! Weighted max-min fair division of a total.
//!
//! The weighted part of a claimant is proportional to the claimant's weight. A
//! claimant that demands less than its weighted part gets its demand. The rest of
//! its weighted part is divided between the others in the same way.

/// An instance or account that demands a part of a total.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claimant {
    /// Weight relative to the other claimants; 0 counts as 1.
    pub weight: u32,
    /// Amount that the claimant can use.
    pub demand: u64,
}

/// Demand of a client account, at one instance and at all instances together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountDemand {
    /// Weight relative to the other accounts; 0 counts as 1.
    pub weight: u32,
    /// Demand of the requests that this instance received.
    pub own: u64,
    /// Demand of the requests that all instances received, including this one.
    pub all_instances: u64,
}

/// Divides `total` by weighted max-min fairness.
///
/// Each claimant gets at least the smaller of its demand and its weighted part. No
/// claimant gets more than it demands until all demands are met. If `total`
/// exceeds the sum of the demands, the excess is spread evenly over all claimants,
/// regardless of weight. The parts always add up to `total`, unless there are no
/// claimants.
#[must_use]
pub fn divide(total: u64, claimants: &[Claimant]) -> Vec<u64> {
    let mut parts = max_min_parts(total, claimants);
    let Some(count) = u64::try_from(claimants.len())
        .ok()
        .filter(|count| *count > 0)
    else {
        return parts;
    };
    let excess = total - parts.iter().sum::<u64>();
    let mut remainder = excess % count;
    for part in &mut parts {
        *part += excess / count + remainder.min(1);
        remainder = remainder.saturating_sub(1);
    }
    parts
}

/// Usage of a total that all instances share, as known to one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownUsage {
    /// Amount that this instance uses or could use now.
    pub own_demand: u64,
    /// Amount that all peers together use.
    pub peers_in_use: u64,
    /// Number of live instances, including this one.
    pub instances: u32,
    /// Amount by which the actual usage of each instance may exceed the known usage.
    pub burst: u64,
}

/// Estimates this instance's part of a total from the usage of its peers.
///
/// This function is for totals that are not divided by a
/// [`SharedQuota`](super::SharedQuota). The parts that the instances estimate add
/// up to the total only if all instances have the same information. An instance
/// whose demand is at least an even part of the total gets at least an even part.
#[must_use]
pub fn estimate_share(total: u64, known: &KnownUsage) -> u64 {
    let peers = u64::from(known.instances.max(1)) - 1;
    let mut claimants = vec![Claimant {
        weight: 1,
        demand: known.own_demand.saturating_add(known.burst),
    }];
    for _ in 0..peers {
        claimants.push(Claimant {
            weight: 1,
            demand: (known.peers_in_use / peers).saturating_add(known.burst),
        });
    }
    divide(total, &claimants)[0]
}

/// Returns the amount of `total` that this instance should demand for its
/// requests.
///
/// An account's part is its weighted max-min part of `total`. This instance
/// demands the fraction of the account's part that corresponds to the fraction of
/// the account's demand at this instance. If all instances do so, an account's
/// part does not depend on which instances receive its requests.
#[must_use]
pub fn fair_demand(total: u64, accounts: &[AccountDemand]) -> u64 {
    let mut claimants = Vec::with_capacity(accounts.len());
    for account in accounts {
        claimants.push(Claimant {
            weight: account.weight,
            demand: account.all_instances,
        });
    }
    let mut demand = 0;
    for (part, account) in max_min_parts(total, &claimants).into_iter().zip(accounts) {
        let own = u128::from(part) * u128::from(account.own);
        demand += own.div_ceil(u128::from(account.all_instances.max(1))) as u64;
    }
    demand
}

/// Returns the weighted max-min part of each claimant, limited to its demand.
fn max_min_parts(total: u64, claimants: &[Claimant]) -> Vec<u64> {
    let mut by_demand: Vec<usize> = (0..claimants.len()).collect();
    by_demand.sort_by_key(|&index| {
        let claimant = claimants[index];
        (claimant.demand / u64::from(claimant.weight.max(1)), index)
    });
    let mut weights: u64 = 0;
    for claimant in claimants {
        weights += u64::from(claimant.weight.max(1));
    }
    let mut remaining = total;
    let mut parts = vec![0; claimants.len()];
    for index in by_demand {
        let weight = u64::from(claimants[index].weight.max(1));
        let weighted_part = u128::from(remaining) * u128::from(weight) / u128::from(weights);
        parts[index] = claimants[index].demand.min(weighted_part as u64);
        remaining -= parts[index];
        weights -= weight;
    }
    parts
}
