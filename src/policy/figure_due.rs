//! When the figure of a usage window is determined.
//!
//! The figure is the sum of the slices that the instances write to the store. It is determined
//! once all of them are written, or some time after the end of the window. After an outage of
//! the store, the instances first need time to repeat the writes that have failed.

use super::store_outage::Recovery;

/// Delays of the figures of a deployment's usage windows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FigureDelays {
    /// Time after the end of a window at which its figure is determined even if slices are
    /// missing.
    pub decision_ms: i64,
    /// The same just after an outage of the store.
    pub latest_decision_ms: i64,
    /// Time after an outage of the store in which the instances repeat failed writes of slices.
    pub retry_ms: u64,
}

/// What is known of a usage window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowProgress {
    /// Number of the window.
    pub window: u64,
    /// Time since the end of the window; negative before the end.
    pub since_end_ms: i64,
    /// Whether all live instances have closed their slices.
    pub is_complete: bool,
    /// Latest recovery of the store; `None` if there was no outage.
    pub recovery: Option<Recovery>,
}

/// Next step for the figure of a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FigureStep {
    /// Waits for the end of the window, or for slices in their regular time.
    Wait,
    /// Waits for slices whose writes have failed in an outage of the store.
    WaitForRetries {
        /// Time until the figure is determined in any case.
        left_ms: u64,
        /// Whether this wait has just begun.
        is_new: bool,
    },
    /// Determines the figure.
    Determine,
}

/// Decides when figures are determined.
///
/// ```
/// use lavenderwind::policy::{
///     figure_due::{FigureDelays, FigureStep, FigureTimer, WindowProgress},
///     store_outage::Recovery,
/// };
///
/// let delays = FigureDelays { decision_ms: 6_500, latest_decision_ms: 9_850, retry_ms: 2_200 };
/// let mut timer = FigureTimer::default();
/// let mut progress = WindowProgress {
///     window: 7,
///     since_end_ms: 7_000,
///     is_complete: false,
///     recovery: Some(Recovery { number: 1, since_ms: 300 }),
/// };
/// let step = timer.next_step(&delays, &progress);
/// assert_eq!(step, FigureStep::WaitForRetries { left_ms: 1_900, is_new: true });
/// progress.is_complete = true;
/// assert_eq!(timer.next_step(&delays, &progress), FigureStep::Determine);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct FigureTimer {
    last_wait: Option<RetryWait>,
}

/// Wait for the slices of a window after an outage of the store.
#[derive(Clone, Copy, Debug)]
struct RetryWait {
    window: u64,
    recovery_number: u64,
}

impl FigureTimer {
    /// Decides the next step for the figure of a window.
    ///
    /// An outage that begins during the wait for a window is not followed by another wait for
    /// that window.
    pub fn next_step(&mut self, delays: &FigureDelays, progress: &WindowProgress) -> FigureStep {
        let since_end_ms = progress.since_end_ms;
        if since_end_ms >= 0 && progress.is_complete {
            return FigureStep::Determine;
        }
        if since_end_ms < 0 || since_end_ms < delays.decision_ms {
            return FigureStep::Wait;
        }
        let Some(recovery) = progress.recovery else {
            return FigureStep::Determine;
        };
        let window = progress.window;
        let last_wait = self.last_wait.filter(|wait| wait.window == window);
        if last_wait.is_some_and(|wait| wait.recovery_number != recovery.number) {
            return FigureStep::Determine;
        }
        let until_retried_ms = delays.retry_ms.saturating_sub(recovery.since_ms);
        let until_latest_ms = (delays.latest_decision_ms - since_end_ms).max(0) as u64;
        let left_ms = until_retried_ms.min(until_latest_ms);
        if left_ms == 0 {
            return FigureStep::Determine;
        }
        self.last_wait = Some(RetryWait {
            window,
            recovery_number: recovery.number,
        });
        FigureStep::WaitForRetries {
            left_ms,
            is_new: last_wait.is_none(),
        }
    }
}
