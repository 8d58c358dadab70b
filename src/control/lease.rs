//! Lease clocks, one for the holder of a duty and one for the other instances.
//!
//! A duty is a task that one instance, the holder, performs at a time. The
//! holder's clock measures how long its lease is valid. The other instances'
//! clocks measure how long the holder has not renewed. All times are in
//! milliseconds on the local monotonic clock of each instance.

use crate::{ledger::DutyEntry, settings::Timing};

/// Durations of a lease, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Time from the sending of a claim or renewal to the end of the lease on the
    /// holder's clock.
    pub lease_ms: u64,
    /// Maximum drift between the clocks of two instances during one lease.
    pub drift_ms: u64,
    /// Time that another instance waits, after lease and drift have passed,
    /// before it claims the duty. An instance of rank `n` additionally waits `n`
    /// times this period, so that instances do not claim simultaneously.
    pub grace_ms: u64,
}

impl LeaseTiming {
    /// Returns the time since the last renewal, in milliseconds, after which the
    /// lease has lapsed on the clock of every instance.
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

/// Tracks whether this instance's lease on a duty is still valid.
///
/// The lease begins just before the claim or renewal record is sent, and is valid
/// only after the ledger has accepted that record.
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
    /// Returns a clock without a lease. Each lease lasts `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            epoch: 0,
            valid_until_ms: 0,
            invalidated_epoch: 0,
        }
    }

    /// Starts or extends the lease after the ledger accepted a claim or renewal.
    /// The lease is counted from `sent_ms`, which must not be later than the time
    /// at which the record was sent.
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

    /// Ends the lease of `epoch` and of all earlier epochs permanently. Must be
    /// called before the resignation is sent.
    pub fn invalidate(&mut self, epoch: u64) {
        self.invalidated_epoch = self.invalidated_epoch.max(epoch);
    }

    /// Returns the time until the lease lapses, in milliseconds; 0 if it has lapsed or was
    /// invalidated.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        match self.epoch(now_ms) {
            Some(_) => self.valid_until_ms - now_ms,
            None => 0,
        }
    }

    /// Returns the epoch of the lease, or `None` if the lease has lapsed or was
    /// invalidated.
    pub fn epoch(&self, now_ms: u64) -> Option<u64> {
        let valid = self.epoch > self.invalidated_epoch && now_ms < self.valid_until_ms;
        valid.then_some(self.epoch)
    }
}

/// State of a duty, as last read from this instance's ledger.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct DutyState {
    epoch: u64,
    last_renewal: u64,
    resigned: bool,
}

/// Measures for how long the ledger has shown no change to a duty, on an
/// instance that does not hold the duty.
///
/// The measurement starts when the instance observes a claim, renewal or
/// resignation in its ledger. The measurement restarts after the instance could
/// not read the log, as it may have missed renewals during that time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverClock {
    duty_state: DutyState,
    unchanged_since_ms: Option<u64>,
}

impl TakeoverClock {
    /// Returns a clock without an observation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the current state of the duty in the ledger. `is_tail_current` is false
    /// while the instance cannot read the log.
    pub fn observe(&mut self, entry: Option<&DutyEntry>, is_tail_current: bool, now_ms: u64) {
        let duty_state = entry.map_or_else(DutyState::default, |entry| DutyState {
            epoch: entry.epoch,
            last_renewal: entry.last_renewal,
            resigned: entry.resigned,
        });
        let changed = duty_state != self.duty_state;
        self.duty_state = duty_state;
        if !is_tail_current {
            self.unchanged_since_ms = None;
            return;
        }
        if changed || self.unchanged_since_ms.is_none() {
            self.unchanged_since_ms = Some(now_ms);
        }
    }

    /// Returns for how long the state of the duty has not changed, in
    /// milliseconds. Returns 0 while the log cannot be read.
    pub fn unchanged_ms(&self, now_ms: u64) -> u64 {
        self.unchanged_since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}
