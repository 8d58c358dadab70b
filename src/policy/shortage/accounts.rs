//! Fair shares of the client accounts in the admitted work of a priority.

use indexmap::IndexMap;

use super::{decay::DecayingSum, limits::PRIORITIES};
use crate::policy::share::{Claimant, divide};

/// Time in which the weight of admitted work falls to 1/e.
const DECAY_MS: f64 = 3_000.0;

/// Time for which a fair share is used before it is computed anew.
const REFRESH_MS: u64 = 100;

/// Maximum number of accounts whose work is known; an account counts once for each of its
/// priorities.
const MAX_ACCOUNTS: usize = 4_096;

/// Recent work of an account below which it is forgotten, in milliseconds.
const MIN_WORK_MS: f64 = 0.5;

/// Excess over the fair share that is tolerated, as a multiple of the share. A larger
/// one would allow a large account to take all of the small accounts' work.
const TOLERANCE: f64 = 1.01;

const US_PER_MS: f64 = 1_000.0;

/// Recent work of an account with one priority.
#[derive(Clone, Copy, Debug, Default)]
struct AccountWork {
    offered: DecayingSum,
    admitted: DecayingSum,
}

/// Admitted work of one priority.
#[derive(Clone, Copy, Debug)]
struct Division {
    admitted: DecayingSum,
    /// Largest part of the admitted work that an account gets if the work is divided by
    /// max-min fairness; infinite if each account's demand is met.
    fair_part: f64,
}

impl Default for Division {
    fn default() -> Self {
        Self {
            admitted: DecayingSum::default(),
            fair_part: f64::INFINITY,
        }
    }
}

/// Recent work of all accounts.
///
/// The priorities are divided separately: that a more urgent account gets more than a less
/// urgent one is not unfair.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountShares {
    work: IndexMap<(u64, usize), AccountWork>,
    divisions: [Division; PRIORITIES],
    refreshed_ms: u64,
}

impl AccountShares {
    /// Records the work of a request that an account sent.
    pub(super) fn record_offered(&mut self, sender: (u64, usize), work_ms: f64, now_ms: u64) {
        if now_ms >= self.refreshed_ms.saturating_add(REFRESH_MS) {
            self.refresh(now_ms);
        }
        if self.work.len() >= MAX_ACCOUNTS && !self.work.contains_key(&sender) {
            self.forget_smaller_half(now_ms);
        }
        let work = self.work.entry(sender).or_default();
        work.offered.add(work_ms, now_ms, DECAY_MS);
    }

    /// Records the work of an admitted request.
    pub(super) fn record_admitted(&mut self, sender: (u64, usize), work_ms: f64, now_ms: u64) {
        let division = &mut self.divisions[sender.1];
        division.admitted.add(work_ms, now_ms, DECAY_MS);
        if let Some(work) = self.work.get_mut(&sender) {
            work.admitted.add(work_ms, now_ms, DECAY_MS);
        }
    }

    /// Returns the part of the priority's admitted work that is fair for an account which
    /// had more than that; `None` for other accounts.
    pub(super) fn exceeded_part(&self, sender: (u64, usize), now_ms: u64) -> Option<f64> {
        let division = &self.divisions[sender.1];
        let admitted_ms = self.work.get(&sender)?.admitted.get(now_ms, DECAY_MS);
        let total_ms = division.admitted.get(now_ms, DECAY_MS);
        let is_over = admitted_ms > division.fair_part * TOLERANCE * total_ms;
        is_over.then_some(division.fair_part)
    }

    /// Returns the number of accounts whose work is known.
    pub(super) fn len(&self) -> usize {
        self.work.len()
    }

    fn refresh(&mut self, now_ms: u64) {
        self.refreshed_ms = now_ms;
        self.work
            .retain(|_, work| work.offered.get(now_ms, DECAY_MS) >= MIN_WORK_MS);
        let mut claimants: [Vec<Claimant>; PRIORITIES] = Default::default();
        let mut admitted_us = [0_u64; PRIORITIES];
        for ((_, priority), work) in &self.work {
            let demand_ms = work.offered.get(now_ms, DECAY_MS);
            let demand = (demand_ms * US_PER_MS) as u64;
            claimants[*priority].push(Claimant { weight: 1, demand });
            let used_us = (work.admitted.get(now_ms, DECAY_MS) * US_PER_MS) as u64;
            admitted_us[*priority] = admitted_us[*priority].saturating_add(used_us);
        }
        for (priority, claimants) in claimants.iter().enumerate() {
            self.divisions[priority].fair_part = fair_part(admitted_us[priority], claimants);
        }
    }

    fn forget_smaller_half(&mut self, now_ms: u64) {
        self.work.sort_by_cached_key(|_, work| {
            let work_us = work.offered.get(now_ms, DECAY_MS) * US_PER_MS;
            u64::MAX - work_us as u64
        });
        self.work.truncate(MAX_ACCOUNTS / 2);
    }
}

/// Returns the part of `total` that a claimant gets whose demand is not met; infinite if all
/// demands are met.
fn fair_part(total: u64, claimants: &[Claimant]) -> f64 {
    let mut fair: Option<u64> = None;
    for (part, claimant) in divide(total, claimants).into_iter().zip(claimants) {
        if part < claimant.demand {
            fair = fair.max(Some(part));
        }
    }
    match fair {
        Some(fair) => fair as f64 / total.max(1) as f64,
        None => f64::INFINITY,
    }
}
