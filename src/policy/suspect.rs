//! The crashes of targets at which one fingerprint was in flight.

use std::sync::Arc;

/// Number of crashes after which requests are quarantined by what they share with others.
/// Requests that share a frequent part may be in flight at two crashes by chance.
pub const MAX_SHARED_CRASHES: usize = 3;

/// Time after the last crash at which a quarantine ends, in milliseconds. One further
/// crash within the same time after that restores it.
pub const QUARANTINE_MS: u64 = 600_000;

/// Crashes at which a fingerprint was in flight and since which no request that carries
/// it was answered completely.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Crashes of different boots. Each boot crashes at most once.
    pub(super) crashes: Vec<Crash>,
    /// When the last crash was counted.
    pub(super) last_crash_ms: u64,
}

/// Crash of a target, as remembered for one fingerprint.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Boot of the target.
    pub(super) boot: Arc<str>,
    /// When the last request with the fingerprint was sent to the target.
    pub(super) sent_ms: u64,
}

impl Suspect {
    /// Returns whether there were enough crashes for a quarantine.
    pub(super) fn is_quarantinable(&self) -> bool {
        self.crashes.len() >= MAX_SHARED_CRASHES
    }

    /// Returns the time until the quarantine ends, if there is one.
    pub(super) fn quarantine_left_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.is_quarantinable() {
            return None;
        }
        let ends_ms = self.last_crash_ms + QUARANTINE_MS;
        ends_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)
    }

    /// Returns whether this suspect was in flight at all crashes of another one.
    pub(super) fn was_at_all(&self, other: &Self) -> bool {
        let mut others = other.crashes.iter();
        self.crashes.len() >= other.crashes.len() && others.all(|crash| self.knows(&crash.boot))
    }

    /// Returns whether this suspect was in flight at the same crashes as another one.
    pub(super) fn is_alike(&self, other: &Self) -> bool {
        self.crashes.len() == other.crashes.len() && self.was_at_all(other)
    }

    /// Returns whether the crash of a boot was counted.
    pub(super) fn knows(&self, boot: &str) -> bool {
        self.crashes.iter().any(|crash| *crash.boot == *boot)
    }

    /// Forgets the crashes if the last one is old. All but one of those that
    /// led to a quarantine count for the same time again.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while !self.crashes.is_empty() && now_ms >= self.last_crash_ms + QUARANTINE_MS {
            let kept = match self.is_quarantinable() {
                true => MAX_SHARED_CRASHES - 1,
                false => 0,
            };
            self.crashes.truncate(kept);
            self.last_crash_ms += QUARANTINE_MS;
        }
    }
}
