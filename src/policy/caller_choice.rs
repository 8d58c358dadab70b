//! Choice of the caller that gives way when connections or memory run short.
//!
//! A process waits for a caller that has begun a request and does not go on, or that does
//! not read its answer. The one that is waited for longest gives way first. Connections that
//! are idle between two requests come after these, as callers reuse them.

/// Time after which the rate of a body counts, in milliseconds. An ordinary body has
/// mostly arrived by then.
const RATE_AFTER_MS: u64 = 1_000;

/// Rate below which a body counts as stalled since its start, in bytes per second. Callers on
/// a shared link of 10 Mbit/s are well above it.
const MIN_BODY_RATE: u64 = 16 << 10;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The head of a request is expected or arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request is in progress.
    Running,
    /// The last request is answered.
    Idle,
}

/// What is known of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Activity {
    /// What it does.
    pub phase: Phase,
    /// When it began with that.
    pub phase_at_ms: u64,
    /// Bytes that have arrived since.
    pub phase_bytes: u64,
    /// When bytes were last read or written.
    pub progress_at_ms: u64,
    /// Since when the caller reads nothing although an answer waits for it.
    pub blocked_at_ms: Option<u64>,
}

impl Activity {
    /// Returns how long the process has waited for the caller; `None` if it does not wait or
    /// if the connection is idle.
    #[must_use]
    pub fn waited_ms(&self, now_ms: u64) -> Option<u64> {
        if let Some(blocked_at_ms) = self.blocked_at_ms {
            return Some(now_ms.saturating_sub(blocked_at_ms));
        }
        let age_ms = now_ms.saturating_sub(self.phase_at_ms);
        let quiet_ms = now_ms.saturating_sub(self.progress_at_ms);
        match self.phase {
            Phase::Head => Some(age_ms),
            Phase::Body => {
                let is_slow = self.phase_bytes * 1_000 < MIN_BODY_RATE * age_ms;
                let is_stalled = age_ms >= RATE_AFTER_MS && is_slow;
                Some(if is_stalled { age_ms } else { quiet_ms })
            }
            Phase::Running | Phase::Idle => None,
        }
    }

    /// Returns how long the connection has been idle.
    fn idle_ms(&self, now_ms: u64) -> Option<u64> {
        let quiet_ms = now_ms.saturating_sub(self.progress_at_ms);
        (self.phase == Phase::Idle).then_some(quiet_ms)
    }
}

/// Returns the index of the connection that gives way to a new one, if one has made the
/// process wait, or has been idle, for at least `min_ms`.
///
/// ```
/// use lavenderwind::policy::caller_choice::{Activity, Phase, choose};
///
/// let new = Activity { phase: Phase::Head, phase_at_ms: 0, phase_bytes: 0,
///                      progress_at_ms: 0, blocked_at_ms: None };
/// let running = Activity { phase: Phase::Running, ..new };
/// let idle = Activity { phase: Phase::Idle, ..new };
/// assert_eq!(choose([running, idle, new], 500, 2_000), Some(2));
/// assert_eq!(choose([running, idle], 500, 2_000), Some(1));
/// assert_eq!(choose([running], 500, 2_000), None);
/// assert_eq!(choose([new, idle], 500, 400), None);
/// ```
#[must_use]
pub fn choose<I>(connections: I, min_ms: u64, now_ms: u64) -> Option<usize>
where
    I: IntoIterator<Item = Activity>,
{
    let (mut waiting, mut idle) = (None, None);
    for (index, connection) in connections.into_iter().enumerate() {
        let waited = connection.waited_ms(now_ms).map(|ms| (ms, index));
        let rested = connection.idle_ms(now_ms);
        waiting = waiting.max(waited.filter(|(ms, _)| *ms >= min_ms));
        idle = idle.max(rested.map(|ms| (ms, index)).filter(|(ms, _)| *ms >= min_ms));
    }
    waiting.or(idle).map(|(_, index)| index)
}
