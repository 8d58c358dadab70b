//! Time limits of snapshot reads, and pauses after failed ones.
//!
//! After a restart of all instances, all of them read the same snapshots at once, and
//! the store may need seconds to deliver them. An instance that gives up early and asks
//! again makes the store work on an answer that nobody receives. If many do so, the
//! store has no time left for answers that arrive in time, and no instance ever gets
//! one.
//!
//! The time limit therefore grows until it suffices, and an instance pauses in
//! proportion to the time that it kept the store busy. Each attempt begins with a small
//! read, the probe, which fails soon if the store is silent or already has much to
//! deliver.

use std::time::Duration;

/// Time limit of the first attempt.
const FIRST_LIMIT: Duration = Duration::from_secs(3);

/// Largest time limit. A read that hangs is repeated only after this time.
const MAX_LIMIT: Duration = Duration::from_secs(12);

/// Bounds of the pause after a failed read, as fractions of the time that it took.
const PAUSE_FRACTIONS: [f64; 2] = [0.5, 1.0];

/// Pace of the reads of one snapshot.
///
/// ```
/// use lavenderwind::policy::snapshot_pace::SnapshotPace;
///
/// let mut pace = SnapshotPace::default();
/// let first = pace.time_limit();
/// let pause = pace.pause_after_failure(first, 0.0);
/// assert_eq!(pause, first / 2);
/// assert_eq!(pace.time_limit(), 2 * first);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SnapshotPace {
    time_limit: Duration,
}

impl Default for SnapshotPace {
    fn default() -> Self {
        Self {
            time_limit: FIRST_LIMIT,
        }
    }
}

impl SnapshotPace {
    /// Returns the time limit of the next read.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        self.time_limit
    }

    /// Returns the pause after a read that failed after `elapsed`, and doubles the time
    /// limit if the read had used it up.
    ///
    /// `jitter` is a uniformly distributed random number from 0 to 1, which keeps the
    /// instances from reading at the same time.
    pub fn pause_after_failure(&mut self, elapsed: Duration, jitter: f64) -> Duration {
        if elapsed >= self.time_limit {
            self.time_limit = (self.time_limit * 2).min(MAX_LIMIT);
        }
        let [min, max] = PAUSE_FRACTIONS;
        elapsed.mul_f64(min + (max - min) * jitter)
    }

    /// Resets the time limit after a successful read.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
