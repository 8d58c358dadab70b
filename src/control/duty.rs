//! Decides when an instance claims, renews and resigns a duty.

use std::sync::Arc;

use super::{LeaseTiming, TakeoverClock};
use crate::{
    ledger::DutyEntry,
    log::records::{Duty, DutyClaim, DutyRenewal, DutyResignation},
};

/// Leases for which another instance must be preferred before the holder
/// hands the duty over.
const HANDOVER_LEASES: u64 = 3;

/// Identity of one start of an instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation, new with each start.
    pub incarnation: u64,
}

/// What an instance does about a duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyStep {
    /// Nothing for now.
    Wait,
    /// Appends a claim.
    Claim(DutyClaim),
    /// Appends a renewal.
    Renew(DutyRenewal),
    /// Appends a resignation.
    Resign(DutyResignation),
}

/// What is known as a step is decided.
#[derive(Clone, Copy, Debug)]
pub struct DutyInput<'a> {
    /// The duty in the ledger.
    pub entry: Option<&'a DutyEntry>,
    /// Whether the instance reads the log and its ledger is complete.
    pub tail_live: bool,
    /// Place of this instance in the order of preference, from 0.
    pub rank: u64,
    /// Whether the instance is being stopped.
    pub stopping: bool,
    /// Whether no order of this instance is in progress.
    pub idle: bool,
    /// Monotonic time as of which `entry` is known, in milliseconds.
    pub known_at_ms: u64,
    /// Monotonic time, in milliseconds.
    pub now_ms: u64,
}

/// Rules by which one instance claims and keeps one duty.
#[derive(Clone, Debug)]
pub struct DutyRules {
    duty: Duty,
    identity: Identity,
    timing: LeaseTiming,
    renew_ms: u64,
    takeover: TakeoverClock,
    last_sent_ms: Option<u64>,
    unpreferred_since_ms: Option<u64>,
    /// Epoch of which a resignation may have been sent.
    resigned_epoch: u64,
}

impl DutyRules {
    /// Returns the rules of an instance that holds nothing.
    pub fn new(duty: Duty, identity: Identity, timing: LeaseTiming, renew_ms: u64) -> Self {
        Self {
            duty,
            identity,
            timing,
            renew_ms,
            takeover: TakeoverClock::new(),
            last_sent_ms: None,
            unpreferred_since_ms: None,
            resigned_epoch: 0,
        }
    }

    /// Whether the instance is about to give the duty up and starts no more
    /// orders.
    pub fn is_resigning(&self, stopping: bool, now_ms: u64) -> bool {
        let handover_ms = HANDOVER_LEASES * self.timing.lease_ms;
        let unpreferred = self
            .unpreferred_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= handover_ms);
        stopping || unpreferred
    }

    /// Decides the next step.
    pub fn step(&mut self, input: &DutyInput<'_>) -> DutyStep {
        let now_ms = input.now_ms;
        self.takeover.observe(input.entry, input.tail_live, now_ms);
        match input.entry {
            Some(entry) if self.is_holder(entry) => self.step_as_holder(entry, input),
            _ => self.step_as_candidate(input),
        }
    }

    fn is_holder(&self, entry: &DutyEntry) -> bool {
        entry.held_by(&self.identity.name, self.identity.incarnation)
    }

    /// Returns whether the last claim or renewal is long enough ago.
    fn is_due(&self, now_ms: u64) -> bool {
        self.last_sent_ms
            .is_none_or(|last_sent_ms| now_ms >= last_sent_ms + self.renew_ms)
    }

    fn step_as_holder(&mut self, entry: &DutyEntry, input: &DutyInput<'_>) -> DutyStep {
        let now_ms = input.now_ms;
        match input.rank {
            0 => self.unpreferred_since_ms = None,
            _ => self.unpreferred_since_ms = self.unpreferred_since_ms.or(Some(now_ms)),
        }
        let resigning = self.is_resigning(input.stopping, now_ms) && input.idle;
        if resigning || self.resigned_epoch == entry.epoch {
            self.resigned_epoch = entry.epoch;
            return DutyStep::Resign(DutyResignation {
                duty: self.duty.into(),
                epoch: entry.epoch,
            });
        }
        if !self.is_due(now_ms) {
            return DutyStep::Wait;
        }
        self.last_sent_ms = Some(now_ms);
        DutyStep::Renew(DutyRenewal {
            duty: self.duty.into(),
            epoch: entry.epoch,
        })
    }

    fn step_as_candidate(&mut self, input: &DutyInput<'_>) -> DutyStep {
        self.unpreferred_since_ms = None;
        if input.stopping || !input.tail_live {
            return DutyStep::Wait;
        }
        let held = input.entry.is_some_and(|entry| !entry.resigned);
        let lapse_ms = if held { self.timing.lapse_ms() } else { 0 };
        let rank_delay_ms = input.rank * self.timing.grace_ms;
        // A renewal since the last read is not known here.
        let unchanged_ms = self.takeover.unchanged_ms(input.known_at_ms);
        if unchanged_ms < lapse_ms + rank_delay_ms || !self.is_due(input.now_ms) {
            return DutyStep::Wait;
        }
        self.last_sent_ms = Some(input.now_ms);
        DutyStep::Claim(DutyClaim {
            duty: self.duty.into(),
            after_epoch: input.entry.map_or(0, |entry| entry.epoch),
            after_renewal: input.entry.map_or(0, |entry| entry.renewal),
        })
    }
}
