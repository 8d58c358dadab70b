//! Circuit breaker that distinguishes crashes, overloads and slow targets.
//!
//! A closed breaker lets requests through, an open one refuses them. A crash opens
//! the breaker at once. Once the open time has passed, a single request is let
//! through as a probe. The open time doubles with each failed probe. An overload
//! lowers the capacity share, which is the fraction of the target's capacity that
//! requests may use. A slow target keeps its breaker closed; the measured slowdown
//! corrects the router's latency prediction.

use super::routing::Availability;

/// Factor by which each overload reduces the capacity share.
const OVERLOAD_CAPACITY_FACTOR: f64 = 0.5;
/// Increase of the capacity share at each success.
const CAPACITY_SHARE_STEP: f64 = 0.02;
/// Lower bound of the capacity share, as a fraction of the target's capacity, however
/// often the target is overloaded.
const MIN_CAPACITY_SHARE: f64 = 0.05;
/// Weight of the newest answer in the moving average of the slowdown, which is the
/// ratio of the measured to the predicted time to an answer.
const SLOWDOWN_GAIN: f64 = 0.1;
/// Upper bound of the slowdown taken from one answer.
const MAX_SLOWDOWN: f64 = 10.0;
/// Lower bound of the measured and of the predicted time when their ratio is
/// computed, in milliseconds. Shorter times would not give a meaningful ratio.
const MIN_LATENCY_MS: f64 = 5.0;
/// Time after which another probe is allowed if the last probe has no outcome, in
/// milliseconds.
const PROBE_TIMEOUT_MS: u64 = 3_000;

/// Durations and thresholds of a breaker.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Time for which a breaker stays open after a first crash, in milliseconds.
    pub open_ms: u64,
    /// Upper bound of the time for which a breaker stays open, in milliseconds,
    /// before jitter is added.
    pub max_open_ms: u64,
    /// Number of consecutive timeouts that open a breaker like a crash.
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

/// An event observed on a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A first token or a complete answer arrived.
    Success {
        /// Predicted time to the first token or answer, in milliseconds.
        predicted_ms: f64,
        /// Measured time to the first token or answer, in milliseconds.
        actual_ms: f64,
    },
    /// The connection was refused or broke, or the target's boot identifier changed,
    /// which means that the target has restarted.
    Crash,
    /// The target refused a request for lack of capacity.
    Overload,
    /// The target did not answer in time.
    Timeout,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Requests are allowed.
    Closed,
    /// Requests are refused until `until_ms`; then one is allowed as a probe.
    Open { until_ms: u64 },
    /// A probe has no outcome yet; at `until_ms`, another one is allowed.
    Probing { until_ms: u64 },
}

/// Circuit breaker of one target.
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
    /// Number of times that the breaker has opened since it was last closed.
    opens_since_closed: u32,
    /// Number of consecutive timeouts.
    consecutive_timeouts: u32,
    capacity_share: f64,
    /// Moving average of the ratio of the measured to the predicted time to an
    /// answer.
    slowdown: f64,
}

impl Breaker {
    /// Creates a closed breaker that allows the target's full capacity.
    #[must_use]
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            state: State::Closed,
            opens_since_closed: 0,
            consecutive_timeouts: 0,
            capacity_share: 1.0,
            slowdown: 1.0,
        }
    }

    /// Updates the breaker with an observation of its target.
    ///
    /// `jitter`, a random number from 0 to 1, lengthens the time for which the
    /// breaker stays open by up to 100 %, so that instances don't probe at the same
    /// time.
    pub fn record(&mut self, observation: Observation, now_ms: u64, jitter: f64) {
        match observation {
            Observation::Success {
                predicted_ms,
                actual_ms,
            } => self.record_success(predicted_ms, actual_ms),
            Observation::Crash => self.open(now_ms, jitter),
            Observation::Overload => self.record_overload(),
            Observation::Timeout => {
                self.consecutive_timeouts += 1;
                if self.is_probing() || self.consecutive_timeouts >= self.settings.max_timeouts {
                    self.open(now_ms, jitter);
                }
            }
        }
    }

    /// Returns whether a request may be sent now.
    ///
    /// After the open time, one request is allowed as a probe; further ones are
    /// refused until the probe ends or times out.
    pub fn allow(&mut self, now_ms: u64) -> bool {
        let allowed = self.would_allow(now_ms);
        if allowed && self.state != State::Closed {
            self.state = State::Probing {
                until_ms: now_ms + PROBE_TIMEOUT_MS,
            };
        }
        allowed
    }

    /// Returns the result that [`Breaker::allow`] would have, without starting a
    /// probe.
    #[must_use]
    pub fn would_allow(&self, now_ms: u64) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until_ms } | State::Probing { until_ms } => now_ms >= until_ms,
        }
    }

    /// Returns whether a probe was sent and has no outcome yet, even if the probe has
    /// timed out.
    #[must_use]
    pub fn is_probing(&self) -> bool {
        matches!(self.state, State::Probing { .. })
    }

    /// Returns the availability that the router assumes for the target.
    #[must_use]
    pub fn availability(&self) -> Availability {
        match self.state {
            State::Closed => Availability::Live,
            State::Open { .. } | State::Probing { .. } => Availability::Unhealthy,
        }
    }

    /// Returns the share of the target's capacity that may be used, from 0 to 1.
    #[must_use]
    pub fn capacity_share(&self) -> f64 {
        self.capacity_share
    }

    /// Returns the mean ratio of the measured to the predicted time to an
    /// answer, at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown.max(1.0)
    }

    fn record_success(&mut self, predicted_ms: f64, actual_ms: f64) {
        self.state = State::Closed;
        self.opens_since_closed = 0;
        self.consecutive_timeouts = 0;
        self.capacity_share = (self.capacity_share + CAPACITY_SHARE_STEP).min(1.0);
        let ratio = actual_ms.max(MIN_LATENCY_MS) / predicted_ms.max(MIN_LATENCY_MS);
        self.slowdown += SLOWDOWN_GAIN * (ratio.min(MAX_SLOWDOWN) - self.slowdown);
    }

    fn record_overload(&mut self) {
        // A refusal is an answer, so it ends a series of timeouts.
        self.consecutive_timeouts = 0;
        self.capacity_share =
            (self.capacity_share * OVERLOAD_CAPACITY_FACTOR).max(MIN_CAPACITY_SHARE);
        if self.is_probing() {
            self.state = State::Closed;
            self.opens_since_closed = 0;
        }
    }

    fn open(&mut self, now_ms: u64, jitter: f64) {
        // Every request in flight at a crash reports it; only the first report
        // opens the breaker.
        if matches!(self.state, State::Open { .. }) {
            return;
        }
        let doubled_ms = self.settings.open_ms << self.opens_since_closed.min(16);
        let open_ms = doubled_ms.min(self.settings.max_open_ms) as f64 * (1.0 + jitter);
        self.opens_since_closed += 1;
        self.consecutive_timeouts = 0;
        self.state = State::Open {
            until_ms: now_ms + open_ms as u64,
        };
    }
}
