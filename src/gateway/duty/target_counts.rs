//! Counts of the targets that run, by kind and failure domain.

use std::{sync::Arc, time::Duration};

use crate::roster::Target;

/// Number of reclaimable targets that replace one regular target. It is above 1
/// because reclaimable targets lose their caches when the platform reclaims them.
const RECLAIMABLE_PER_REGULAR: f64 = 1.33;

/// Returns the targets first seen at least `settle_time` ago. By then a new target
/// has taken on its role.
pub(super) fn settled_targets(targets: &[Arc<Target>], settle_time: Duration) -> Vec<Arc<Target>> {
    let mut settled = Vec::with_capacity(targets.len());
    for target in targets {
        if target.first_seen_at.elapsed() >= settle_time {
            settled.push(target.clone());
        }
    }
    settled
}

/// Counts the running reclaimable or regular targets of a failure domain.
pub(super) fn count_running(
    targets: &[Arc<Target>],
    failure_domain: &str,
    reclaimable: bool,
) -> u32 {
    let mut count = 0;
    for target in targets {
        let counts = *target.failure_domain == *failure_domain && target.reclaimable == reclaimable;
        count += u32::from(counts);
    }
    count
}

/// Counts the running regular targets.
pub(super) fn count_regular(targets: &[Arc<Target>]) -> u32 {
    targets.iter().filter(|target| !target.reclaimable).count() as u32
}

/// Returns the number of reclaimable targets that replace `regular` regular
/// ones.
pub(super) fn reclaimable_equivalent(regular: u32) -> u32 {
    (RECLAIMABLE_PER_REGULAR * f64::from(regular)).ceil() as u32
}
