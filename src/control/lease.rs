//! Lease clocks of a duty's holder and of the other instances.
//!
//! Times are in milliseconds on the local monotonic clock of each instance.

use crate::{ledger::DutyEntry, settings::Timing};

/// Durations of a lease, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Length of the lease.
    pub lease_ms: u64,
    /// Largest drift between two clocks over one lease.
    pub drift_ms: u64,
    /// Wait beyond lease and drift before another instance claims the duty, and
    /// the further wait per rank.
    pub grace_ms: u64,
}

impl LeaseTiming {
    /// Returns the time after the last renewal at which the lease has lapsed on
    /// every instance's clock.
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

/// Lease clock of the holder of a duty.
///
/// The lease runs from the time just before the claim or renewal was sent, but
/// is valid only once the ledger has accepted that record.
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
    invalidated_epoch: u64,
}

impl LeaseClock {
    /// Returns a clock without a lease; each lease lasts `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            epoch: 0,
            valid_until_ms: 0,
            invalidated_epoch: 0,
        }
    }

    /// Starts or extends the lease for a claim or renewal that the ledger
    /// accepted and that was sent no earlier than `sent_ms`.
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

    /// Ends the lease of an epoch permanently; to be called before the
    /// resignation is sent.
    pub fn invalidate(&mut self, epoch: u64) {
        self.invalidated_epoch = self.invalidated_epoch.max(epoch);
    }

    /// Returns the epoch of the lease, or `None` if it has lapsed or was
    /// invalidated.
    pub fn epoch(&self, now_ms: u64) -> Option<u64> {
        let valid = self.epoch > self.invalidated_epoch && now_ms < self.valid_until_ms;
        valid.then_some(self.epoch)
    }
}

/// State of a duty as another instance last read it from its ledger.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Observation {
    epoch: u64,
    last_renewal: u64,
    resigned: bool,
}

/// Measures for how long a duty has gone without a renewal, on an instance that
/// does not hold it.
///
/// The time runs from when the instance applied the last claim, renewal or
/// resignation to its ledger. It restarts when the instance cannot read the log,
/// since renewals may then go unseen.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverClock {
    observation: Observation,
    since_ms: Option<u64>,
}

impl TakeoverClock {
    /// Returns a clock without an observation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the state of the duty in the ledger; `tail_live` is false while
    /// the instance cannot read the log.
    pub fn observe(&mut self, entry: Option<&DutyEntry>, tail_live: bool, now_ms: u64) {
        let observation = entry.map_or_else(Observation::default, |entry| Observation {
            epoch: entry.epoch,
            last_renewal: entry.last_renewal,
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

    /// Returns for how long the state has not changed, in milliseconds; 0 while
    /// the log cannot be read.
    pub fn unchanged_ms(&self, now_ms: u64) -> u64 {
        self.since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}
