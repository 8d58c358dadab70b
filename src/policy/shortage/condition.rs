//! Whether engines are short, with hysteresis.

use super::limits::LOWEST_LIMIT;
use displaydoc::Display;

/// Wait above which a shortage may begin, as a fraction of the smallest objective.
const BEGIN_WAIT: f64 = 0.5;

/// Time for which waits must be over [`BEGIN_WAIT`] until a shortage begins.
const BEGIN_MS: u64 = 500;

/// Wait with which a shortage begins at once, as a fraction of the smallest objective.
/// From there on each admitted request with this objective would be late.
const BEGIN_AT_ONCE_WAIT: f64 = 1.0;

/// Time for which waits must be under [`LOWEST_LIMIT`] until a shortage ends.
const END_MS: u64 = 2_000;

/// Pause between two requests after which the first tells nothing about the second.
const MAX_GAP_MS: u64 = 1_000;

/// Whether the engines of a service can take all requests in time.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ShortageState {
    /// Calm
    Calm {
        /// Time at which the state began, in milliseconds.
        since_ms: u64,
    },
    /// Short
    Short {
        /// Time at which the state began, in milliseconds.
        since_ms: u64,
    },
}

impl Default for ShortageState {
    fn default() -> Self {
        Self::Calm { since_ms: 0 }
    }
}

impl ShortageState {
    /// Returns `true` during a shortage.
    #[must_use]
    pub fn is_short(self) -> bool {
        matches!(self, Self::Short { .. })
    }

    /// Returns the time at which the state began, in milliseconds.
    #[must_use]
    pub fn since_ms(self) -> u64 {
        match self {
            Self::Calm { since_ms } | Self::Short { since_ms } => since_ms,
        }
    }
}

/// Detects shortages from the waits that requests are offered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShortageCondition {
    state: ShortageState,
    /// Time since which the waits speak for a change of the state.
    changing_since_ms: Option<u64>,
    last_wait_at_ms: u64,
}

impl ShortageCondition {
    pub(super) fn state(&self) -> ShortageState {
        self.state
    }

    /// Records a wait that a request is offered.
    pub(super) fn observe(&mut self, wait_ms: f64, smallest_objective_ms: f64, now_ms: u64) {
        let is_after_gap = now_ms.saturating_sub(self.last_wait_at_ms) > MAX_GAP_MS;
        self.last_wait_at_ms = now_ms;
        let fraction = wait_ms / smallest_objective_ms;
        let is_short = self.state.is_short();
        let (speaks_for_change, period_ms) = match is_short {
            true => (fraction < LOWEST_LIMIT, END_MS),
            false => (fraction > BEGIN_WAIT, BEGIN_MS),
        };
        if !speaks_for_change {
            self.changing_since_ms = None;
            return;
        }
        if is_after_gap && !is_short {
            self.changing_since_ms = None;
        }
        let since_ms = *self.changing_since_ms.get_or_insert(now_ms);
        let is_over = now_ms.saturating_sub(since_ms) >= period_ms;
        if !is_over && (is_short || fraction <= BEGIN_AT_ONCE_WAIT) {
            return;
        }
        self.changing_since_ms = None;
        self.state = match is_short {
            true => ShortageState::Calm { since_ms: now_ms },
            false => ShortageState::Short { since_ms: now_ms },
        };
    }
}
