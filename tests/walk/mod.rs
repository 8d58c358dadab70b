//! Random walks of instances that share a duty, in virtual time.
//!
//! The instances use the production code of the ledger, the lease rules and the
//! resolution of intents. The walk injects pauses at any point, drifting clocks,
//! lost, late and repeated appends, killed processes and disconnections.

mod instance;
mod log;
mod orders;
mod target;

use arbtest::arbitrary::{Result, Unstructured};
use lavenderwind::control::{LeaseTiming, Member};

pub(crate) use self::{instance::Instance, log::Log, target::Target};

/// Lease timing in the walk.
pub(crate) const TIMING: LeaseTiming = LeaseTiming {
    lease_ms: 3_000,
    drift_ms: 100,
    grace_ms: 500,
};

/// Time between two renewals, in milliseconds.
pub(crate) const RENEW_MS: u64 = 1_000;

/// Delay with which the live list drops a killed process, in milliseconds.
pub(crate) const LIST_LAG_MS: u64 = 800;

/// How often each state of interest was reached.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) takeovers: u32,
    pub(crate) refused_claims: u32,
    pub(crate) resignations: u32,
    pub(crate) duplicates: u32,
    /// Pauses of an instance that were longer than a lease.
    pub(crate) long_pauses: u32,
    pub(crate) pauses_before_write: u32,
    pub(crate) kills: u32,
    pub(crate) disconnections: u32,
    pub(crate) writes: u32,
    /// Accepted writes by a process whose lease had lapsed since its check.
    pub(crate) writes_after_lapse: u32,
    /// Writes that a target refused because of an old fencing token.
    pub(crate) fenced_writes: u32,
    /// Checks before a write that found the lease lapsed or the intent closed or
    /// adopted.
    pub(crate) lapsed_checks: u32,
    /// Writes of an order that the target had already accepted.
    pub(crate) repeats: u32,
    /// Open intents that were resolved from the target's state.
    pub(crate) resolved: u32,
    pub(crate) adoptions: u32,
    /// Open intents that were left open for the time being.
    pub(crate) waits: u32,
}

/// A killed process that the live list may still contain.
struct KilledMember {
    member: Member,
    killed_ms: u64,
}

/// State of a walk: instances, log and targets.
pub(crate) struct World {
    pub(crate) now_ms: u64,
    pub(crate) log: Log,
    pub(crate) targets: Vec<Target>,
    pub(crate) instances: Vec<Instance>,
    killed_members: Vec<KilledMember>,
}

impl World {
    pub(crate) fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut instances = Vec::new();
        for name in ["entry-1", "entry-2", "entry-3"] {
            instances.push(Instance::arbitrary(u, name, 1)?);
        }
        Ok(Self {
            now_ms: 0,
            log: Log::default(),
            targets: vec![
                Target::new("plain-1", false),
                Target::new("plain-2", false),
                Target::new("fencing-1", true),
            ],
            instances,
            killed_members: Vec::new(),
        })
    }

    pub(crate) fn step(&mut self, u: &mut Unstructured<'_>, counts: &mut Counts) -> Result<()> {
        self.now_ms += u.int_in_range(1..=60)?;
        self.log.deliver(self.now_ms, counts);
        let index = u.choose_index(self.instances.len())?;
        self.inject_fault(u, index, counts)?;
        let members = self.members();
        let instance = &mut self.instances[index];
        if !instance.is_paused(self.now_ms) {
            let mut environment = instance::Environment {
                now_ms: self.now_ms,
                log: &mut self.log,
                targets: &mut self.targets,
                members: &members,
            };
            instance.run(u, &mut environment, counts)?;
        }
        self.check_one_holder();
        Ok(())
    }

    /// Occasionally pauses, kills, disconnects or stops an instance.
    fn inject_fault(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        counts: &mut Counts,
    ) -> Result<()> {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        match u.int_in_range(0..=599)? {
            0..=7 => {
                let pause_ms = u.int_in_range(50..=9_000)?;
                counts.long_pauses += u32::from(pause_ms > TIMING.lease_ms);
                instance.pause_until(now_ms + pause_ms);
            }
            8 => {
                counts.kills += 1;
                let member = instance.member();
                self.killed_members.push(KilledMember {
                    member,
                    killed_ms: now_ms,
                });
                let name = instance.name().to_owned();
                let incarnation = instance.incarnation() + 1;
                *instance = Instance::arbitrary(u, &name, incarnation)?;
            }
            9 => {
                counts.disconnections += 1;
                let outage_ms = u.int_in_range(100..=6_000)?;
                instance.disconnect_until(now_ms + outage_ms);
            }
            10..=11 => instance.toggle_stopping(),
            _ => {}
        }
        Ok(())
    }

    /// Returns the live list. A killed process is dropped from the list after
    /// [`LIST_LAG_MS`], and a paused one is never dropped.
    fn members(&mut self) -> Vec<Member> {
        let now_ms = self.now_ms;
        self.killed_members
            .retain(|killed| now_ms < killed.killed_ms + LIST_LAG_MS);
        let mut members = Vec::new();
        for instance in &self.instances {
            members.push(instance.member());
        }
        for killed in &self.killed_members {
            members.push(killed.member.clone());
        }
        members
    }

    /// Checks that at most one process considers itself the holder of the duty.
    fn check_one_holder(&self) {
        let mut holders = Vec::new();
        for instance in &self.instances {
            if let Some(epoch) = instance.authority(self.now_ms) {
                holders.push(format!("{} at epoch {epoch}", instance.name()));
            }
        }
        assert!(
            holders.len() <= 1,
            "two holders at {}: {holders:?}",
            self.now_ms
        );
    }
}
