//! Backoff between reads of a topic in the platform's store.

use std::time::Duration;

use crate::log::backoff::Backoff;

/// Delay after the first failed read.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of the delay after a failed read. The bound is short, so that an
/// instance that was disconnected from the store reads the missed records soon
/// after the connection is restored.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// Lower bound of the random factor by which a delay is multiplied. The factor
/// keeps the instances from reading at the same time.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Result of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The read returned records, or its wait time passed without new records.
    Read,
    /// The store has already deleted the records at the requested offset.
    Trimmed,
    /// The store did not answer, or answered with an error.
    Failed,
}

/// Exponential backoff with jitter between reads of one topic.
///
/// ```
/// use lavenderwind::policy::read_backoff::{ReadBackoff, ReadOutcome};
///
/// let mut backoff = ReadBackoff::default();
/// let jitter = 1.0;
/// assert!(backoff.delay_after(ReadOutcome::Read, jitter).is_zero());
/// assert!(!backoff.delay_after(ReadOutcome::Failed, jitter).is_zero());
/// ```
#[derive(Debug)]
pub struct ReadBackoff {
    backoff: Backoff,
}

impl Default for ReadBackoff {
    fn default() -> Self {
        Self {
            backoff: Backoff::new(INITIAL_DELAY, MAX_DELAY),
        }
    }
}

impl ReadBackoff {
    /// Returns the delay before the next read.
    ///
    /// After a failed read, the delay is multiplied by a factor from 0.5 (for a
    /// `jitter` of 0) to 1 (for a `jitter` of 1). The caller passes a uniformly
    /// distributed random number.
    pub fn delay_after(&mut self, outcome: ReadOutcome, jitter: f64) -> Duration {
        if outcome == ReadOutcome::Failed {
            let factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * jitter;
            return self.backoff.next_delay().mul_f64(factor);
        }
        self.backoff.reset();
        Duration::ZERO
    }
}
