//! Monotonic milliseconds.

use tokio::time::Instant;

/// Monotonic clock of one process, in milliseconds since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time now.
    pub fn now_ms(&self) -> u64 {
        self.ms(Instant::now())
    }

    /// Returns the time of an instant; 0 if it is before the start.
    pub fn ms(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
