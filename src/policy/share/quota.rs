//! A quota held in parts by several instances (a bounded counter).
//!
//! Each instance publishes how much it has given to each other member. These
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
const DEMAND_FADE: u64 = 8;

/// What an instance publishes about another member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Member.
    pub to: Arc<str>,
    /// All that was given to it since the giver's last restart.
    pub total: u64,
    /// The member's number of restarts, as the giver knows it.
    pub restarts: u64,
}

/// What an instance publishes of its part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShareReport {
    /// Digest of the members and the total that the report is about.
    pub generation: u64,
    /// How often the instance changed its members or total.
    pub restarts: u64,
    /// How much the instance could use.
    pub demand: u64,
    /// One entry for each other member.
    pub grants: Vec<Grant>,
}

#[derive(Clone, Debug, Default)]
struct Member {
    generation: u64,
    restarts: u64,
    // Own restarts, as the member knows them.
    acknowledged: u64,
    demand: u64,
    given: IndexMap<Arc<str>, u64>,
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
    in_use: u64,
    withheld: u64,
    settled: bool,
    held_before: u64,
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
            in_use: 0,
            withheld: 0,
            settled: false,
            held_before: 0,
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
        self.held_before = self.held();
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
        self.held_before = self.held();
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
        if let Some(own) = self.members.get_mut(&self.own) {
            let faded = own.demand - own.demand.div_ceil(DEMAND_FADE);
            own.demand = demand.max(in_use).max(faded);
        }
    }

    /// Takes in a member's report.
    pub fn observe(&mut self, from: &str, report: &ShareReport) {
        if *from == *self.own {
            return;
        }
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        if member.restarts != report.restarts {
            member.given.clear();
        }
        member.restarts = report.restarts;
        member.generation = report.generation;
        member.demand = report.demand;
        for grant in &report.grants {
            if grant.to == self.own {
                member.acknowledged = grant.restarts;
            }
            let total = member.given.entry(Arc::clone(&grant.to)).or_default();
            *total = grant.total.max(*total);
        }
        self.settle();
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
        let held = self.held_by(&self.own);
        if self.settled {
            held
        } else {
            held.min(self.held_before)
        }
    }

    /// Returns what to publish to the other members.
    #[must_use]
    pub fn report(&self) -> ShareReport {
        let mut report = ShareReport {
            generation: self.generation,
            restarts: self.restarts,
            ..ShareReport::default()
        };
        let Some(own) = self.members.get(&self.own) else {
            return report;
        };
        report.demand = own.demand;
        for (name, member) in &self.members {
            if *name == self.own {
                continue;
            }
            report.grants.push(Grant {
                to: Arc::clone(name),
                total: own.given.get(name).copied().unwrap_or(0),
                restarts: member.restarts,
            });
        }
        report
    }

    /// Gives what this instance holds above its fair part to those below.
    pub fn rebalance(&mut self) {
        if !self.settled {
            return;
        }
        let mut claimants = Vec::with_capacity(self.members.len());
        for member in self.members.values() {
            claimants.push(Claimant {
                weight: 1,
                demand: member.demand,
            });
        }
        let parts = divide(self.total, &claimants);
        let mut surplus = 0;
        let mut own_surplus = 0;
        let mut deficit = 0;
        let mut deficits = Vec::with_capacity(parts.len());
        for (name, part) in self.members.keys().zip(parts) {
            let held = self.held_by(name);
            deficits.push(part.saturating_sub(held));
            deficit += part.saturating_sub(held);
            surplus += held.saturating_sub(part);
            if *name == self.own {
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
        let names: Vec<Arc<str>> = self.members.keys().cloned().collect();
        let Some(own) = self.members.get_mut(&self.own) else {
            return;
        };
        let mut left = own_surplus;
        for (name, deficit) in names.into_iter().zip(deficits) {
            let covered = u128::from(*deficit) * u128::from(own_surplus);
            let given = (covered.div_ceil(u128::from(surplus.max(1))) as u64).min(left);
            if given == 0 {
                continue;
            }
            left -= given;
            *own.given.entry(name).or_default() += given;
        }
    }

    /// Returns what a member holds by the reports taken in.
    fn held_by(&self, name: &str) -> u64 {
        let Some((rank, _, member)) = self.members.get_full(name) else {
            return 0;
        };
        let count = self.members.len() as u64;
        let base = self.total / count + u64::from((rank as u64) < self.total % count);
        let mut received = 0;
        for giver in self.members.values() {
            if giver.generation == self.generation {
                received += giver.given.get(name).copied().unwrap_or(0);
            }
        }
        let given = match member.generation == self.generation {
            true => member.given.values().sum(),
            false => 0,
        };
        // A member's own grants can be known before those that it passed on.
        (base + received).saturating_sub(given)
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
        if let Some(own) = self.members.get_mut(&self.own) {
            own.generation = self.generation;
            own.given.clear();
        }
        self.settle();
    }

    fn settle(&mut self) {
        for (name, member) in &self.members {
            if *name == self.own {
                continue;
            }
            if member.generation != self.generation || member.acknowledged != self.restarts {
                return;
            }
        }
        self.settled = true;
    }
}
