//! Leases of duties, as their holder and its challengers count them.
//!
//! Times are milliseconds of a monotonic clock of the counting instance.

use crate::{ledger::DutyEntry, settings::Timing};

/// Times of a lease, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Length of the lease.
    pub lease_ms: u64,
    /// Largest difference between two clocks over one lease.
    pub drift_ms: u64,
    /// Wait beyond lease and drift before a duty is claimed.
    pub grace_ms: u64,
}

impl LeaseTiming {
    /// Time after the last renewal at which a lease has lapsed for everyone.
    pub fn lapse_ms(&self) -> u64 {
        self.lease_ms + self.drift_ms + self.grace_ms
    }
}

impl From<&Timing> for LeaseTiming {
    fn from(timing: &Timing) -> Self {
        Self {
            lease_ms: timing.lease_ms,
            drift_ms: timing.drift_ms,
            grace_ms: timing.grace_ms,
        }
    }
}

/// The lease as its holder counts it.
///
/// It starts at the instant before the claim or renewal was sent, and only
/// once that record has been folded as accepted.
///
/// ```
/// use lavenderwind::control::LeaseClock;
///
/// let mut lease = LeaseClock::new(3_000);
/// lease.confirm(17, 1_000);
/// assert_eq!(lease.epoch(3_999), Some(17));
/// assert_eq!(lease.epoch(4_000), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    lease_ms: u64,
    epoch: u64,
    valid_until_ms: u64,
    given_up_epoch: u64,
}

impl LeaseClock {
    /// Returns a clock without a lease.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            epoch: 0,
            valid_until_ms: 0,
            given_up_epoch: 0,
        }
    }

    /// Counts a claim or renewal that was folded as accepted and sent no
    /// earlier than `sent_ms`.
    pub fn confirm(&mut self, epoch: u64, sent_ms: u64) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.valid_until_ms = 0;
        }
        self.valid_until_ms = self.valid_until_ms.max(sent_ms + self.lease_ms);
    }

    /// Ends the lease of an epoch for good, before its resignation is sent.
    pub fn give_up(&mut self, epoch: u64) {
        self.given_up_epoch = self.given_up_epoch.max(epoch);
    }

    /// Returns the epoch of the lease if it has not lapsed.
    pub fn epoch(&self, now_ms: u64) -> Option<u64> {
        let valid = self.epoch > self.given_up_epoch && now_ms < self.valid_until_ms;
        valid.then_some(self.epoch)
    }
}

/// State of a duty that a challenger has seen for some time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Observation {
    epoch: u64,
    renewal: u64,
    resigned: bool,
}

/// The lease as another instance counts it.
///
/// It starts at the instant at which the instance folded the last renewal, and
/// counts only while the instance reads the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverClock {
    observation: Observation,
    since_ms: Option<u64>,
}

impl TakeoverClock {
    /// Returns a clock that has not seen the duty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the state of the duty in the ledger.
    pub fn observe(&mut self, entry: Option<&DutyEntry>, tail_live: bool, now_ms: u64) {
        let observation = entry.map_or_else(Observation::default, |entry| Observation {
            epoch: entry.epoch,
            renewal: entry.renewal,
            resigned: entry.resigned,
        });
        let changed = observation != self.observation;
        self.observation = observation;
        if !tail_live {
            self.since_ms = None;
            return;
        }
        if changed || self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
        }
    }

    /// Returns how long the duty has been in its state.
    pub fn unchanged_ms(&self, now_ms: u64) -> u64 {
        self.since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}
