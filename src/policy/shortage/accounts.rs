//! Fair shares of the client accounts in the admitted work.

use indexmap::IndexMap;

use super::decay::DecayingSum;
use crate::policy::share::{Claimant, divide};

/// Time in which the weight of admitted work falls to 1/e.
const DECAY_MS: f64 = 3_000.0;

/// Time for which a fair share is used before it is computed anew.
const REFRESH_MS: u64 = 100;

/// Maximum number of accounts whose work is known.
pub(super) const MAX_ACCOUNTS: usize = 4_096;

/// Recent work of an account below which it is forgotten, in milliseconds.
const MIN_WORK_MS: f64 = 0.5;

/// Excess over the fair share that is tolerated, as a multiple of the share. A larger
/// one would allow a large account to take all of the small accounts' work.
const TOLERANCE: f64 = 1.01;

const US_PER_MS: f64 = 1_000.0;

/// Recent work of an account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountWork {
    offered: DecayingSum,
    admitted: DecayingSum,
}

/// Recent work of all accounts.
#[derive(Clone, Debug)]
pub(super) struct AccountShares {
    work: IndexMap<u64, AccountWork>,
    admitted: DecayingSum,
    /// Largest part of the admitted work that an account gets if the work is divided by
    /// max-min fairness; infinite if each account's demand is met.
    fair_part: f64,
    refreshed_ms: u64,
}

impl Default for AccountShares {
    fn default() -> Self {
        Self {
            work: IndexMap::new(),
            admitted: DecayingSum::default(),
            fair_part: f64::INFINITY,
            refreshed_ms: 0,
        }
    }
}

impl AccountShares {
    /// Records the work of a request that an account sent.
    pub(super) fn record_offered(&mut self, account: u64, work_ms: f64, now_ms: u64) {
        if now_ms >= self.refreshed_ms.saturating_add(REFRESH_MS) {
            self.refresh(now_ms);
        }
        if self.work.len() >= MAX_ACCOUNTS && !self.work.contains_key(&account) {
            self.forget_smaller_half(now_ms);
        }
        let work = self.work.entry(account).or_default();
        work.offered.add(work_ms, now_ms, DECAY_MS);
    }

    /// Records the work of an admitted request.
    pub(super) fn record_admitted(&mut self, account: u64, work_ms: f64, now_ms: u64) {
        self.admitted.add(work_ms, now_ms, DECAY_MS);
        if let Some(work) = self.work.get_mut(&account) {
            work.admitted.add(work_ms, now_ms, DECAY_MS);
        }
    }

    /// Returns the part of the admitted work that is fair for an account which had more
    /// than that; `None` for other accounts.
    pub(super) fn exceeded_part(&self, account: u64, now_ms: u64) -> Option<f64> {
        let admitted_ms = self.work.get(&account)?.admitted.get(now_ms, DECAY_MS);
        let total_ms = self.admitted.get(now_ms, DECAY_MS);
        let is_over = admitted_ms > self.fair_part * TOLERANCE * total_ms;
        is_over.then_some(self.fair_part)
    }

    /// Returns the number of accounts whose work is known.
    pub(super) fn len(&self) -> usize {
        self.work.len()
    }

    fn refresh(&mut self, now_ms: u64) {
        self.refreshed_ms = now_ms;
        self.work
            .retain(|_, work| work.offered.get(now_ms, DECAY_MS) >= MIN_WORK_MS);
        let mut claimants = Vec::with_capacity(self.work.len());
        let mut admitted_us = 0_u64;
        for work in self.work.values() {
            let demand_ms = work.offered.get(now_ms, DECAY_MS);
            let demand = (demand_ms * US_PER_MS) as u64;
            claimants.push(Claimant { weight: 1, demand });
            let used_ms = work.admitted.get(now_ms, DECAY_MS);
            admitted_us = admitted_us.saturating_add((used_ms * US_PER_MS) as u64);
        }
        let mut fair_us: Option<u64> = None;
        let parts = divide(admitted_us, &claimants);
        for (part, claimant) in parts.into_iter().zip(&claimants) {
            if part < claimant.demand {
                fair_us = fair_us.max(Some(part));
            }
        }
        self.fair_part = match fair_us {
            Some(fair_us) => fair_us as f64 / admitted_us.max(1) as f64,
            None => f64::INFINITY,
        };
    }

    fn forget_smaller_half(&mut self, now_ms: u64) {
        self.work.sort_by_cached_key(|_, work| {
            let work_us = work.offered.get(now_ms, DECAY_MS) * US_PER_MS;
            u64::MAX - work_us as u64
        });
        self.work.truncate(MAX_ACCOUNTS / 2);
    }
}
