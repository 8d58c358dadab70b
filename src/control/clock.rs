//! Monotonic clock in milliseconds.

use tokio::time::Instant;

/// Monotonic clock that counts milliseconds from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock at 0 ms.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the current time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.ms(Instant::now())
    }

    /// Converts an instant to milliseconds; instants before the creation of the
    /// clock give 0.
    pub fn ms(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
