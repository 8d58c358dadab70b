//! Circuit breaker that tells a crash, an overload and a slow target apart.
//!
//! A crash opens it at once, for a time that doubles with each failed probe.
//! An overload lowers the room that the target is given. A slow target stays
//! closed, and its slowdown goes into the router's prediction.

use super::routing::Availability;

/// Factor of the room at each overload.
const OVERLOAD_CAPACITY_FACTOR: f64 = 0.5;
/// Room regained at each success.
const CAPACITY_SHARE_STEP: f64 = 0.02;
/// Least room that an overloaded target is given.
const MIN_CAPACITY_SHARE: f64 = 0.05;
/// Weight of the newest answer in the slowdown.
const SLOWDOWN_GAIN: f64 = 0.1;
/// Largest slowdown that one answer counts as.
const MAX_SLOWDOWN: f64 = 10.0;
/// Predictions below this are too short to tell a slowdown by.
const MIN_PREDICTION_MS: f64 = 5.0;
/// Time after which a probe without an outcome no longer keeps others back.
const PROBE_TIMEOUT_MS: u64 = 3_000;

/// Times of a breaker.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Time that it stays open after a first crash.
    pub open_ms: u64,
    /// Longest time that it stays open.
    pub max_open_ms: u64,
    /// Timeouts in a row that count as a crash.
    pub max_timeouts: u32,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            open_ms: 500,
            max_open_ms: 15_000,
            max_timeouts: 3,
        }
    }
}

/// What was seen of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A first token or answer arrived.
    Success {
        /// Predicted time to it.
        predicted_ms: f64,
        /// Time that it took.
        actual_ms: f64,
    },
    /// The connection was refused or broke, or the boot identifier changed.
    Crash,
    /// The target refused a request for want of room.
    Overload,
    /// The target did not answer in time.
    Timeout,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Open { until_ms: u64 },
    Probing { until_ms: u64 },
}

/// One target's breaker.
///
/// ```
/// use lavenderwind::policy::breaker::{Breaker, BreakerSettings, Observation};
///
/// let mut breaker = Breaker::new(BreakerSettings::default());
/// breaker.record(Observation::Crash, 0, 0.0);
/// assert!(!breaker.allow(100));
/// assert!(breaker.allow(500));
/// assert!(!breaker.allow(500), "one probe at a time");
/// ```
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    state: State,
    failed_probes: u32,
    timeouts: u32,
    capacity_share: f64,
    slowdown: f64,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            state: State::Closed,
            failed_probes: 0,
            timeouts: 0,
            capacity_share: 1.0,
            slowdown: 1.0,
        }
    }

    /// Takes in what was seen of the target.
    ///
    /// `jitter` from 0 to 1 lengthens the time that the breaker stays open, so
    /// that instances don't probe at the same instant.
    pub fn record(&mut self, observation: Observation, now_ms: u64, jitter: f64) {
        match observation {
            Observation::Success {
                predicted_ms,
                actual_ms,
            } => self.record_success(predicted_ms, actual_ms),
            Observation::Crash => self.open(now_ms, jitter),
            Observation::Overload => self.record_overload(),
            Observation::Timeout => {
                self.timeouts += 1;
                if self.is_probing() || self.timeouts >= self.settings.max_timeouts {
                    self.open(now_ms, jitter);
                }
            }
        }
    }

    /// Returns whether a request may be sent; once open for long enough, this
    /// allows a single probe.
    pub fn allow(&mut self, now_ms: u64) -> bool {
        let allowed = self.would_allow(now_ms);
        if allowed && self.state != State::Closed {
            self.state = State::Probing {
                until_ms: now_ms + PROBE_TIMEOUT_MS,
            };
        }
        allowed
    }

    /// Returns what [`Breaker::allow`] would, without taking the probe.
    #[must_use]
    pub fn would_allow(&self, now_ms: u64) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until_ms } | State::Probing { until_ms } => now_ms >= until_ms,
        }
    }

    /// Returns whether the outcome of a probe is awaited.
    #[must_use]
    pub fn is_probing(&self) -> bool {
        matches!(self.state, State::Probing { .. })
    }

    /// Returns whether the router may choose the target.
    #[must_use]
    pub fn availability(&self) -> Availability {
        match self.state {
            State::Closed => Availability::Live,
            State::Open { .. } | State::Probing { .. } => Availability::Suspect,
        }
    }

    /// Returns the part of its room that the target is given, from 0 to 1.
    #[must_use]
    pub fn capacity_share(&self) -> f64 {
        self.capacity_share
    }

    /// Returns how much slower than predicted the target answers, at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown.max(1.0)
    }

    fn record_success(&mut self, predicted_ms: f64, actual_ms: f64) {
        self.state = State::Closed;
        self.failed_probes = 0;
        self.timeouts = 0;
        self.capacity_share = (self.capacity_share + CAPACITY_SHARE_STEP).min(1.0);
        let ratio = actual_ms.max(MIN_PREDICTION_MS) / predicted_ms.max(MIN_PREDICTION_MS);
        self.slowdown += SLOWDOWN_GAIN * (ratio.min(MAX_SLOWDOWN) - self.slowdown);
    }

    fn record_overload(&mut self) {
        // The target answered: it has not crashed.
        self.timeouts = 0;
        self.capacity_share =
            (self.capacity_share * OVERLOAD_CAPACITY_FACTOR).max(MIN_CAPACITY_SHARE);
        if self.is_probing() {
            self.state = State::Closed;
            self.failed_probes = 0;
        }
    }

    fn open(&mut self, now_ms: u64, jitter: f64) {
        // Requests that were in flight at one crash count once.
        if matches!(self.state, State::Open { .. }) {
            return;
        }
        let doubled_ms = self.settings.open_ms << self.failed_probes.min(16);
        let open_ms = doubled_ms.min(self.settings.max_open_ms) as f64 * (1.0 + jitter);
        self.failed_probes += 1;
        self.timeouts = 0;
        self.state = State::Open {
            until_ms: now_ms + open_ms as u64,
        };
    }
}
