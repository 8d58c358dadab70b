//! Health of one target, from the results of requests and state polls.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failed requests after which a target gets no new work.
const MAX_FAILURES: u32 = 3;
/// Consecutive failed state polls after which a target gets no new work.
const MAX_POLL_FAILURES: u32 = 2;
/// First pause of new work, in milliseconds.
const FIRST_PAUSE_MS: u64 = 500;
/// Longest pause of new work, in milliseconds.
const MAX_PAUSE_MS: u64 = 8_000;

/// Whether a target may get new work, as far as its answers show.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Health {
    /// Answers.
    #[default]
    Healthy,
    /// Failed several times in a row; gets no new work for a while.
    Suspect,
    /// Crashed; gets no new work until it has booted again.
    Crashed,
}

/// Counts results and decides the health.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthTracker {
    health: Health,
    failures: u32,
    poll_failures: u32,
    pauses: u32,
    paused_until: Option<Instant>,
}

impl HealthTracker {
    /// Returns the health.
    pub(super) fn health(&self) -> Health {
        self.health
    }

    /// Counts a successful request and returns whether the health changed.
    pub(super) fn record_success(&mut self) -> bool {
        let changed = self.health != Health::Healthy;
        *self = Self::default();
        changed
    }

    /// Counts a failed request and returns whether the health changed.
    pub(super) fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.health != Health::Healthy || self.failures < MAX_FAILURES {
            return false;
        }
        self.pause(Health::Suspect, now);
        true
    }

    /// Notes a crash and returns whether the health changed.
    pub(super) fn record_crash(&mut self, now: Instant) -> bool {
        if self.health == Health::Crashed {
            return false;
        }
        self.pause(Health::Crashed, now);
        true
    }

    /// Counts a state poll that was answered, by a new boot or the known one.
    pub(super) fn record_poll_success(&mut self, rebooted: bool) -> bool {
        let paused_by_polls = self.poll_failures >= MAX_POLL_FAILURES;
        self.poll_failures = 0;
        let recovered = match self.health {
            Health::Healthy => false,
            Health::Suspect => paused_by_polls || rebooted,
            Health::Crashed => rebooted,
        };
        if recovered {
            self.resume();
        }
        recovered
    }

    /// Counts a state poll that was not answered.
    pub(super) fn record_poll_failure(&mut self, now: Instant) -> bool {
        self.poll_failures += 1;
        if self.health != Health::Healthy || self.poll_failures < MAX_POLL_FAILURES {
            return false;
        }
        self.pause(Health::Suspect, now);
        true
    }

    /// Ends a pause that is over; the next failure begins a longer one.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let over = self.paused_until.is_some_and(|until| until <= now);
        if over && self.poll_failures < MAX_POLL_FAILURES {
            self.resume();
            return true;
        }
        false
    }

    fn pause(&mut self, health: Health, now: Instant) {
        let pause_ms = FIRST_PAUSE_MS << self.pauses.min(8);
        let pause = Duration::from_millis(pause_ms.min(MAX_PAUSE_MS));
        self.health = health;
        self.pauses += 1;
        self.paused_until = Some(now + pause);
    }

    fn resume(&mut self) {
        self.health = Health::Healthy;
        self.failures = MAX_FAILURES - 1;
        self.paused_until = None;
    }
}
