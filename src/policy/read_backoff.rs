//! Backoff between reads of a topic in the platform's store.

use std::time::Duration;

use tokio::time::Instant;

use crate::log::backoff::Backoff;

/// Delay after the first failed read.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of the delay after a failed read. The bound is short, so that an
/// instance that was disconnected from the store reads the missed records soon
/// after the connection is restored.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// The same while the topics of an instance share their retries. The first one that is
/// answered makes all others read at once, so that each may wait longer. With a timeout of
/// 700 ms of the call before, missed records are read within 2 s.
const MAX_SHARED_DELAY: Duration = Duration::from_millis(1_000);

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
    max_delay: Duration,
}

impl Default for ReadBackoff {
    fn default() -> Self {
        Self {
            backoff: Backoff::new(INITIAL_DELAY, MAX_SHARED_DELAY),
            max_delay: MAX_DELAY,
        }
    }
}

impl ReadBackoff {
    /// Sets whether the topic shares its retries with the other topics of the instance; see
    /// [`shared_retry_at`].
    pub fn share_retries(&mut self, shares: bool) {
        self.max_delay = match shares {
            true => MAX_SHARED_DELAY,
            false => MAX_DELAY,
        };
    }

    /// Returns the delay before the next read.
    ///
    /// After a failed read, the delay is multiplied by a factor from 0.5 (for a
    /// `jitter` of 0) to 1 (for a `jitter` of 1). The caller passes a uniformly
    /// distributed random number.
    pub fn delay_after(&mut self, outcome: ReadOutcome, jitter: f64) -> Duration {
        if outcome == ReadOutcome::Failed {
            let factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * jitter;
            let delay = self.backoff.next_delay().min(self.max_delay);
            return delay.mul_f64(factor);
        }
        self.backoff.reset();
        Duration::ZERO
    }
}

/// Returns when a topic is read again whose last read failed at `failed_at`, if the topics
/// of an instance share their retries.
///
/// While the store answers no topic, one failed call is enough to know that it is still
/// unavailable: each failed call of any topic, the last one at `any_failed_at`, postpones the
/// retry by `delay`. Once any call is answered, at `any_answered_at`, only the topic's own
/// delay counts.
pub fn shared_retry_at(
    failed_at: Instant,
    delay: Duration,
    any_failed_at: Option<Instant>,
    any_answered_at: Option<Instant>,
) -> Instant {
    let earliest = failed_at + delay;
    match any_failed_at {
        Some(any_failed_at) if any_answered_at <= Some(failed_at) => {
            earliest.max(any_failed_at + delay)
        }
        _ => earliest,
    }
}
