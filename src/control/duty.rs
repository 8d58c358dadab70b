//! Decides when an instance claims, renews and resigns a duty.
//!
//! A duty is a task that one instance, the holder, performs at a time under a
//! lease. Other instances claim the duty after the lease has lapsed or the
//! holder has resigned, in the order of their ranks.

use std::sync::Arc;

use super::{LeaseTiming, TakeoverClock};
use crate::{
    ledger::DutyEntry,
    log::records::{Duty, DutyClaim, DutyRenewal, DutyResignation},
};

/// Time, as a multiple of the lease length, after which the holder resigns if
/// it has not ranked first at any time during that period.
const HANDOVER_LEASES: u64 = 3;

/// Identity of one process of an instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation, which changes with each start of the instance.
    pub incarnation: u64,
}

/// Next action of an instance for a duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyStep {
    /// Appends nothing.
    Wait,
    /// Appends a claim.
    Claim(DutyClaim),
    /// Appends a renewal.
    Renew(DutyRenewal),
    /// Appends a resignation.
    Resign(DutyResignation),
}

/// Input to [`DutyRules::step`].
#[derive(Clone, Copy, Debug)]
pub struct DutyInput<'a> {
    /// Ledger entry of the duty; `None` if it was never claimed.
    pub entry: Option<&'a DutyEntry>,
    /// Whether the instance can read the log and has caught up with it.
    pub is_tail_current: bool,
    /// Rank of this instance for the duty; 0 is the most preferred.
    pub rank: u64,
    /// Whether this instance must give up the duty because of a shutdown or a
    /// handover request.
    pub stopping: bool,
    /// Whether this instance has no order in progress under the duty. The duty is
    /// resigned only while idle.
    pub idle: bool,
    /// Monotonic time at which `entry` was last read, in milliseconds.
    pub last_read_ms: u64,
    /// Current monotonic time, in milliseconds.
    pub now_ms: u64,
}

/// Rules by which one instance claims, renews and resigns one duty.
#[derive(Clone, Debug)]
pub struct DutyRules {
    duty: Duty,
    identity: Identity,
    timing: LeaseTiming,
    renew_ms: u64,
    takeover: TakeoverClock,
    /// Time of the last claim or renewal, in milliseconds.
    last_sent_ms: Option<u64>,
    /// Time since which this instance, as holder, has not ranked first.
    unpreferred_since_ms: Option<u64>,
    /// Last epoch for which this instance decided to resign. The resignation may
    /// already have been sent.
    resigned_epoch: u64,
}

impl DutyRules {
    /// Returns the rules of an instance that does not hold the duty. A renewal is
    /// due every `renew_ms`.
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

    /// Returns whether the instance is giving up the duty and must not start
    /// further orders.
    pub fn is_resigning(&self, stopping: bool, now_ms: u64) -> bool {
        let handover_ms = HANDOVER_LEASES * self.timing.lease_ms;
        let unpreferred = self
            .unpreferred_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= handover_ms);
        stopping || unpreferred
    }

    /// Decides the next step. The caller must carry out the returned step, as
    /// later decisions assume that the record was sent.
    pub fn step(&mut self, input: &DutyInput<'_>) -> DutyStep {
        let now_ms = input.now_ms;
        self.takeover
            .observe(input.entry, input.is_tail_current, now_ms);
        match input.entry {
            Some(entry) if self.is_holder(entry) => self.step_as_holder(entry, input),
            _ => self.step_as_candidate(input),
        }
    }

    fn is_holder(&self, entry: &DutyEntry) -> bool {
        entry.held_by(&self.identity.name, self.identity.incarnation)
    }

    /// Returns whether a renewal period has passed since the last claim or
    /// renewal.
    fn is_send_due(&self, now_ms: u64) -> bool {
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
        if !self.is_send_due(now_ms) {
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
        if input.stopping || !input.is_tail_current {
            return DutyStep::Wait;
        }
        let held = input.entry.is_some_and(|entry| !entry.resigned);
        let lapse_ms = if held { self.timing.lapse_ms() } else { 0 };
        let rank_delay_ms = input.rank * self.timing.grace_ms;
        // The time is counted only up to the last read of the entry. The holder
        // may have renewed since, and a claim must not override that renewal.
        let unchanged_ms = self.takeover.unchanged_ms(input.last_read_ms);
        if unchanged_ms < lapse_ms + rank_delay_ms || !self.is_send_due(input.now_ms) {
            return DutyStep::Wait;
        }
        self.last_sent_ms = Some(input.now_ms);
        DutyStep::Claim(DutyClaim {
            duty: self.duty.into(),
            after_epoch: input.entry.map_or(0, |entry| entry.epoch),
            after_renewal: input.entry.map_or(0, |entry| entry.last_renewal),
        })
    }
}
