//! Exponential backoff between retries.

use std::time::Duration;

/// Retry delay that doubles with each failure and is reset by a success.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose delay doubles from `first` up to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            next: first,
        }
    }

    /// Returns the delay before the next retry, and doubles the delay for the retry
    /// after that one.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    /// Resets the delay to `first` after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
