//! Back-off of reads of a topic of the platform's store.

use std::time::Duration;

use crate::log::backoff::Backoff;

/// Delay after a first failed read.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Longest delay after a failed read. What an instance missed while it was cut
/// off must be known soon after it reaches the store again.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// Least part of a delay that is waited for, so that instances spread out.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// How a read ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// Records came, or none within the wait.
    Read,
    /// The store answered that the offset is no longer kept.
    Trimmed,
    /// The store did not answer, or refused.
    Failed,
}

/// Delays between reads of one topic.
///
/// ```
/// use lavenderwind::policy::read_backoff::{ReadBackoff, ReadOutcome};
///
/// let mut backoff = ReadBackoff::default();
/// assert!(backoff.delay_after(ReadOutcome::Read, 1.0).is_zero());
/// assert!(!backoff.delay_after(ReadOutcome::Failed, 1.0).is_zero());
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
    /// Returns the delay before the next read; `point`, uniform in 0 to 1,
    /// spreads instances.
    pub fn delay_after(&mut self, outcome: ReadOutcome, jitter: f64) -> Duration {
        if outcome == ReadOutcome::Failed {
            let factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * jitter;
            return self.backoff.next_delay().mul_f64(factor);
        }
        self.backoff.reset();
        Duration::ZERO
    }
}
