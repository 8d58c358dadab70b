//! Bounded counter: a quota divided between several instances, which are called its
//! members.
//!
//! A grant moves a part of the granting instance's share to another member. Each
//! instance reports to each other member the sum of its grants to that member.
//! The sums only grow, and a grant is deducted from the granting instance before
//! the receiving instance learns of the grant. The shares therefore never add up
//! to more than the total, no matter how late reports arrive.
//!
//! When the members or the total change, an instance restarts the division: it
//! starts again from an even share and resets the sums of its grants to 0. Until
//! every member reports the same members and total and has acknowledged the restart,
//! the instance uses no more than the amount that it held before the restart.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use indexmap::IndexMap;

use super::{Claimant, divide};

/// At each update, a demand falls by at most the demand divided by this number.
const DEMAND_DECAY_DIVISOR: u64 = 8;

/// Report of an instance's share to another member.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareReport {
    /// Hash of the members and the total that the report refers to.
    pub division_hash: u64,
    /// Number of times that the sender has restarted the division.
    pub restarts: u64,
    /// Number of restarts of the receiver that the sender knows of and thereby
    /// acknowledges.
    pub acknowledged: u64,
    /// Amount that the sender could use.
    pub demand: u64,
    /// Amount that the sender holds.
    pub held: u64,
    /// Sum of the sender's grants to the receiver since the sender's last restart.
    pub granted: u64,
}

/// State of a member. The entry of this instance itself keeps the default values.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    /// Last report of the member.
    report: ShareReport,
    /// Sum of this instance's grants to the member since this instance's last restart.
    granted: u64,
}

/// This instance's share of a total that is divided between members.
///
/// ```
/// use lavenderwind::policy::share::SharedQuota;
///
/// let mut quota = SharedQuota::new("a".into(), 100);
/// assert_eq!(quota.share(), 0);
/// quota.set_members(&["a".into()]);
/// assert_eq!(quota.share(), 100);
/// quota.set_members(&["a".into(), "b".into()]);
/// assert_eq!(quota.share(), 50);
/// ```
#[derive(Clone, Debug)]
pub struct SharedQuota {
    /// Name of this instance.
    own_name: Arc<str>,
    total: u64,
    /// Hash of the members and the total.
    division_hash: u64,
    /// Number of times that this instance has restarted the division.
    restarts: u64,
    /// Amount that this instance could use, with falling values smoothed.
    demand: u64,
    in_use: u64,
    /// Amount in use that is to be granted to others once it is free.
    withheld: u64,
    /// Whether all members report the same members and total as this instance, and
    /// have acknowledged its last restart.
    is_acknowledged: bool,
    /// Amount that this instance held before its last restart.
    held_before_restart: u64,
    /// Members, this instance included, by name with incarnation.
    members: IndexMap<Arc<str>, Member>,
}

impl SharedQuota {
    /// Creates an empty share, for the instance `own_name`, which knows no members yet.
    #[must_use]
    pub fn new(own_name: Arc<str>, total: u64) -> Self {
        Self {
            own_name,
            total,
            division_hash: 0,
            restarts: 0,
            demand: 0,
            in_use: 0,
            withheld: 0,
            is_acknowledged: false,
            held_before_restart: 0,
            members: IndexMap::new(),
        }
    }

    /// Sets the members, to which this instance always belongs; a change restarts the
    /// division. Each name must contain the member's incarnation.
    pub fn set_members(&mut self, members: &[Arc<str>]) {
        let mut sorted = members.to_vec();
        sorted.push(Arc::clone(&self.own_name));
        sorted.sort_unstable();
        sorted.dedup();
        if sorted.iter().eq(self.members.keys()) {
            return;
        }
        self.held_before_restart = self.held();
        let mut known = std::mem::take(&mut self.members);
        for name in sorted {
            let member = known.swap_remove(&name).unwrap_or_default();
            self.members.insert(name, member);
        }
        self.restart();
    }

    /// Sets the total; a change restarts the division.
    pub fn set_total(&mut self, total: u64) {
        if total == self.total {
            return;
        }
        self.held_before_restart = self.held();
        self.total = total;
        self.restart();
    }

    /// Sets the amount that this instance could use now (`demand`), and the amount
    /// that is in use and therefore can't be granted to others yet (`in_use`).
    ///
    /// A falling demand decays by an eighth per call, so that the instance does not
    /// lose its share when its demand is low for a short time.
    pub fn set_demand(&mut self, demand: u64, in_use: u64) {
        self.in_use = in_use;
        let decayed = self.demand - self.demand.div_ceil(DEMAND_DECAY_DIVISOR);
        self.demand = demand.max(in_use).max(decayed);
    }

    /// Updates the state of a member from its report. Reports from non-members
    /// and from before a member's last restart are ignored.
    pub fn observe(&mut self, from: &str, report: &ShareReport) {
        if *from == *self.own_name {
            return;
        }
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        if report.restarts < member.report.restarts {
            return;
        }
        member.report = *report;
        self.update_acknowledged();
    }

    /// Returns the amount that this instance may use.
    ///
    /// If this amount is less than the amount in use, no new use may start.
    #[must_use]
    pub fn share(&self) -> u64 {
        self.held().saturating_sub(self.withheld)
    }

    /// Returns the amount that this instance holds, including the amount that it
    /// grants to others as soon as it is no longer in use.
    #[must_use]
    pub fn held(&self) -> u64 {
        let balance = self.balance();
        if self.is_acknowledged {
            balance
        } else {
            balance.min(self.held_before_restart)
        }
    }

    /// Returns the report to send to another member.
    #[must_use]
    pub fn report_for(&self, to: &str) -> ShareReport {
        let member = self.members.get(to).copied().unwrap_or_default();
        ShareReport {
            division_hash: self.division_hash,
            restarts: self.restarts,
            acknowledged: member.report.restarts,
            demand: self.demand,
            held: self.held(),
            granted: member.granted,
        }
    }

    /// Grants the amount that this instance holds above its fair share to members
    /// that hold less than their fair share.
    pub fn rebalance(&mut self) {
        if !self.is_acknowledged {
            return;
        }
        let mut claimants = Vec::with_capacity(self.members.len());
        for (name, member) in &self.members {
            let is_own = *name == self.own_name;
            claimants.push(Claimant {
                weight: 1,
                demand: if is_own {
                    self.demand
                } else {
                    member.report.demand
                },
            });
        }
        let parts = divide(self.total, &claimants);
        let mut surplus = 0;
        let mut own_surplus = 0;
        let mut deficit = 0;
        let mut deficits = Vec::with_capacity(parts.len());
        for ((name, member), part) in self.members.iter().zip(parts) {
            let is_own = *name == self.own_name;
            let held = if is_own {
                self.held()
            } else {
                member.report.held
            };
            deficits.push(part.saturating_sub(held));
            deficit += part.saturating_sub(held);
            surplus += held.saturating_sub(part);
            if is_own {
                own_surplus = held.saturating_sub(part);
            }
        }
        // Surplus that is in use is withheld from new requests, and granted once it is
        // no longer in use.
        let free = self.held().saturating_sub(self.in_use);
        let granted = own_surplus.min(free);
        if granted > 0 {
            self.grant(granted, surplus, &deficits);
        }
        self.withheld = (own_surplus - granted).min(deficit);
    }

    /// Grants `own_surplus` to members with deficits, covering the same fraction of
    /// each deficit as this instance has of the total surplus.
    fn grant(&mut self, own_surplus: u64, surplus: u64, deficits: &[u64]) {
        let mut remaining = own_surplus;
        for (member, deficit) in self.members.values_mut().zip(deficits) {
            let covered = u128::from(*deficit) * u128::from(own_surplus);
            let granted = (covered.div_ceil(u128::from(surplus.max(1))) as u64).min(remaining);
            remaining -= granted;
            member.granted += granted;
        }
    }

    /// Returns the even share, plus the grants received and minus the grants issued
    /// since the last restart.
    fn balance(&self) -> u64 {
        let count = self.members.len() as u64;
        let Some(rank) = self.members.get_index_of(&self.own_name) else {
            return 0;
        };
        let mut held = self.total / count + u64::from((rank as u64) < self.total % count);
        let mut granted = 0;
        for member in self.members.values() {
            granted += member.granted;
            held += member.report.granted;
        }
        // The received grants of a member that has restarted count as 0. The grants
        // issued may therefore exceed the amount held.
        held.saturating_sub(granted)
    }

    /// Restarts the division from an even share after a change of the members or the
    /// total.
    fn restart(&mut self) {
        let mut hasher = DefaultHasher::new();
        self.total.hash(&mut hasher);
        for name in self.members.keys() {
            name.hash(&mut hasher);
        }
        self.division_hash = hasher.finish();
        self.restarts += 1;
        self.is_acknowledged = false;
        self.withheld = 0;
        for member in self.members.values_mut() {
            member.granted = 0;
        }
        self.update_acknowledged();
    }

    /// Marks the restart as acknowledged once all members report the same members and
    /// total and have acknowledged the restart.
    fn update_acknowledged(&mut self) {
        for (name, member) in &self.members {
            if *name == self.own_name {
                continue;
            }
            let report = &member.report;
            if report.division_hash != self.division_hash || report.acknowledged != self.restarts {
                return;
            }
        }
        self.is_acknowledged = true;
    }
}
