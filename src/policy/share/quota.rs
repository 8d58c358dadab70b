//! A quota held in parts by several instances (a bounded counter).
//!
//! Each instance tells each other member how much it has given to it. These
//! figures only rise, and a giver counts a grant before the receiver can see
//! it, so that the parts never add up to more than the total, however late
//! reports arrive. When the members or the total change, an instance restarts
//! from an even part, and its part only shrinks until every member reports the
//! same members and total and acknowledges the restart.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use indexmap::IndexMap;

use super::{Claimant, divide};

/// Part by which a falling demand fades at each update.
const DEMAND_DECAY_DIVISOR: u64 = 8;

/// What an instance tells another member of its part.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareReport {
    /// Digest of the members and the total that the report is about.
    pub generation: u64,
    /// How often the sender changed its members or total.
    pub restarts: u64,
    /// How often the receiver did so, as the sender knows it.
    pub acknowledged: u64,
    /// How much the sender could use.
    pub demand: u64,
    /// How much the sender holds.
    pub held: u64,
    /// All that the sender gave to the receiver since its last restart.
    pub given: u64,
}

/// What is known of a member; nothing of this instance itself.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    report: ShareReport,
    // What this instance gave to the member since its own last restart.
    given: u64,
}

/// This instance's part of a common total.
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
    own: Arc<str>,
    total: u64,
    generation: u64,
    restarts: u64,
    demand: u64,
    in_use: u64,
    withheld: u64,
    settled: bool,
    held_before_restart: u64,
    members: IndexMap<Arc<str>, Member>,
}

impl SharedQuota {
    /// Creates the part of an instance that knows no members yet: nothing.
    #[must_use]
    pub fn new(own: Arc<str>, total: u64) -> Self {
        Self {
            own,
            total,
            generation: 0,
            restarts: 0,
            demand: 0,
            in_use: 0,
            withheld: 0,
            settled: false,
            held_before_restart: 0,
            members: IndexMap::new(),
        }
    }

    /// Sets the members, this instance included, each named with its
    /// incarnation.
    pub fn set_members(&mut self, members: &[Arc<str>]) {
        let mut sorted = members.to_vec();
        sorted.push(Arc::clone(&self.own));
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

    /// Sets the total.
    pub fn set_total(&mut self, total: u64) {
        if total == self.total {
            return;
        }
        self.held_before_restart = self.held();
        self.total = total;
        self.restart();
    }

    /// Sets what this instance could use now, and what of it is in use and
    /// can't be given away yet.
    ///
    /// A demand that falls counts as falling by an eighth at a time, so that a
    /// short lull gives nothing away.
    pub fn set_demand(&mut self, demand: u64, in_use: u64) {
        self.in_use = in_use;
        let decayed = self.demand - self.demand.div_ceil(DEMAND_DECAY_DIVISOR);
        self.demand = demand.max(in_use).max(decayed);
    }

    /// Takes in a member's report.
    pub fn observe(&mut self, from: &str, report: &ShareReport) {
        if *from == *self.own {
            return;
        }
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        if report.restarts < member.report.restarts {
            return;
        }
        member.report = *report;
        self.update_settled();
    }

    /// Returns the part that this instance may use.
    ///
    /// It can be less than what is in use: then nothing new may start.
    #[must_use]
    pub fn share(&self) -> u64 {
        self.held().saturating_sub(self.withheld)
    }

    /// Returns what this instance holds, including what it gives away as soon
    /// as it is no longer in use.
    #[must_use]
    pub fn held(&self) -> u64 {
        let balance = self.balance();
        if self.settled {
            balance
        } else {
            balance.min(self.held_before_restart)
        }
    }

    /// Returns what to tell another member.
    #[must_use]
    pub fn report_for(&self, to: &str) -> ShareReport {
        let member = self.members.get(to).copied().unwrap_or_default();
        ShareReport {
            generation: self.generation,
            restarts: self.restarts,
            acknowledged: member.report.restarts,
            demand: self.demand,
            held: self.held(),
            given: member.given,
        }
    }

    /// Gives what this instance holds above its fair part to those below.
    pub fn rebalance(&mut self) {
        if !self.settled {
            return;
        }
        let mut claimants = Vec::with_capacity(self.members.len());
        for (name, member) in &self.members {
            let own = *name == self.own;
            claimants.push(Claimant {
                weight: 1,
                demand: if own {
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
            let own = *name == self.own;
            let held = if own { self.held() } else { member.report.held };
            deficits.push(part.saturating_sub(held));
            deficit += part.saturating_sub(held);
            surplus += held.saturating_sub(part);
            if own {
                own_surplus = held.saturating_sub(part);
            }
        }
        // What is in use is withheld from new work, and given when it is free.
        let free = self.held().saturating_sub(self.in_use);
        let given = own_surplus.min(free);
        if given > 0 {
            self.give(given, surplus, &deficits);
        }
        self.withheld = (own_surplus - given).min(deficit);
    }

    /// Covers this instance's part of the deficits, by its part of the surplus.
    fn give(&mut self, own_surplus: u64, surplus: u64, deficits: &[u64]) {
        let mut left = own_surplus;
        for (member, deficit) in self.members.values_mut().zip(deficits) {
            let covered = u128::from(*deficit) * u128::from(own_surplus);
            let given = (covered.div_ceil(u128::from(surplus.max(1))) as u64).min(left);
            left -= given;
            member.given += given;
        }
    }

    /// Returns the even part, with what was given and received since.
    fn balance(&self) -> u64 {
        let count = self.members.len() as u64;
        let Some(rank) = self.members.get_index_of(&self.own) else {
            return 0;
        };
        let mut held = self.total / count + u64::from((rank as u64) < self.total % count);
        let mut given = 0;
        for member in self.members.values() {
            given += member.given;
            held += member.report.given;
        }
        // What a member gave is gone if it has restarted since.
        held.saturating_sub(given)
    }

    fn restart(&mut self) {
        let mut hasher = DefaultHasher::new();
        self.total.hash(&mut hasher);
        for name in self.members.keys() {
            name.hash(&mut hasher);
        }
        self.generation = hasher.finish();
        self.restarts += 1;
        self.settled = false;
        self.withheld = 0;
        for member in self.members.values_mut() {
            member.given = 0;
        }
        self.update_settled();
    }

    fn update_settled(&mut self) {
        for (name, member) in &self.members {
            if *name == self.own {
                continue;
            }
            let report = &member.report;
            if report.generation != self.generation || report.acknowledged != self.restarts {
                return;
            }
        }
        self.settled = true;
    }
}
