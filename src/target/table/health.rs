//! Health of one target, derived from the results of requests and of state polls.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Number of consecutive failed requests after which a target is paused, so
/// that it gets no new work.
const MAX_REQUEST_FAILURES: u32 = 3;
/// Number of consecutive failed state polls after which a target is paused.
const MAX_POLL_FAILURES: u32 = 2;
/// Duration of the first pause, in milliseconds; each further pause is twice as
/// long until a request succeeds.
const FIRST_PAUSE_MS: u64 = 500;
/// Maximum duration of a pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 8_000;

/// Health of a target; only healthy targets get new work.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Health {
    /// Responds normally.
    #[default]
    Healthy,
    /// Failed several requests or state polls in a row; gets no new work until the
    /// pause ends. Log lines and the instance status name this health `Suspect`, which
    /// is unrelated to requests that may have caused a crash.
    #[display("Suspect")]
    Failing,
    /// Crashed; gets no new work until it restarts, a request succeeds or the
    /// pause ends.
    Crashed,
}

/// Records the results of one target's requests and state polls, and derives the
/// target's health.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthTracker {
    health: Health,
    /// Consecutive failed requests.
    request_failures: u32,
    /// Consecutive failed state polls.
    poll_failures: u32,
    /// Pauses since the last successful request.
    pauses: u32,
    paused_until: Option<Instant>,
}

impl HealthTracker {
    pub(super) fn health(&self) -> Health {
        self.health
    }

    /// Records a successful request and returns whether the health changed.
    pub(super) fn record_success(&mut self) -> bool {
        let changed = self.health != Health::Healthy;
        *self = Self::default();
        changed
    }

    /// Records a failed request and returns whether the health changed.
    pub(super) fn record_failure(&mut self, now: Instant) -> bool {
        self.request_failures += 1;
        if self.health != Health::Healthy || self.request_failures < MAX_REQUEST_FAILURES {
            return false;
        }
        self.pause(Health::Failing, now);
        true
    }

    /// Records a crash and returns whether the health changed.
    pub(super) fn record_crash(&mut self, now: Instant) -> bool {
        if self.health == Health::Crashed {
            return false;
        }
        self.pause(Health::Crashed, now);
        true
    }

    /// Records a successful state poll and returns whether the target recovered.
    /// `rebooted` tells whether the boot identifier changed.
    ///
    /// A successful poll ends the pause of a crashed target only after a reboot. The
    /// poll ends the pause of a failing target after a reboot, or if at least the
    /// last [`MAX_POLL_FAILURES`] polls failed.
    pub(super) fn record_poll_success(&mut self, rebooted: bool) -> bool {
        let paused_by_polls = self.poll_failures >= MAX_POLL_FAILURES;
        self.poll_failures = 0;
        let recovered = match self.health {
            Health::Healthy => false,
            Health::Failing => paused_by_polls || rebooted,
            Health::Crashed => rebooted,
        };
        if recovered {
            self.resume();
        }
        recovered
    }

    /// Records a failed state poll and returns whether the health changed.
    pub(super) fn record_poll_failure(&mut self, now: Instant) -> bool {
        self.poll_failures += 1;
        if self.health != Health::Healthy || self.poll_failures < MAX_POLL_FAILURES {
            return false;
        }
        self.pause(Health::Failing, now);
        true
    }

    /// Ends the pause if its time has passed and fewer than [`MAX_POLL_FAILURES`]
    /// consecutive state polls have failed. Returns whether the pause ended. The next
    /// failed request starts a longer pause.
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

    /// Ends the pause. The next failed request starts another one, as it is counted
    /// as the last of [`MAX_REQUEST_FAILURES`].
    fn resume(&mut self) {
        self.health = Health::Healthy;
        self.request_failures = MAX_REQUEST_FAILURES - 1;
        self.paused_until = None;
    }
}
