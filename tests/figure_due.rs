//! When the figure of a usage window is determined, with and without an outage of the store.

use lavenderwind::policy::{
    figure_due::{FigureDelays, FigureStep, FigureTimer, WindowProgress},
    store_outage::Recovery,
};

/// Delays for reports that are due 10 s after the end of a window.
const DELAYS: FigureDelays = FigureDelays {
    decision_ms: 6_500,
    latest_decision_ms: 9_850,
    retry_ms: 2_200,
};

const WINDOW: u64 = 12;

/// Returns the state of a window that lacks slices. `since_recovery_ms` is the time since the end
/// of the first outage of the store.
fn incomplete(since_end_ms: i64, since_recovery_ms: Option<u64>) -> WindowProgress {
    WindowProgress {
        window: WINDOW,
        since_end_ms,
        is_complete: false,
        recovery: since_recovery_ms.map(|since_ms| Recovery {
            number: 1,
            since_ms,
        }),
    }
}

/// Returns the first step for a window that lacks slices.
fn step_without_all(since_end_ms: i64, since_recovery_ms: Option<u64>) -> FigureStep {
    let progress = incomplete(since_end_ms, since_recovery_ms);
    FigureTimer::default().next_step(&DELAYS, &progress)
}

fn new_wait(left_ms: u64) -> FigureStep {
    FigureStep::WaitForRetries {
        left_ms,
        is_new: true,
    }
}

/// Guards against waits for slices that change the time of a figure without an outage, or long
/// after one.
#[test]
fn unchanged_without_outage() {
    for since_recovery_ms in [None, Some(2_200), Some(60_000)] {
        for since_end_ms in [-1, 0, 6_499] {
            let step = step_without_all(since_end_ms, since_recovery_ms);
            assert_eq!(step, FigureStep::Wait, "{since_end_ms}");
        }
        for since_end_ms in [6_500, 9_900, 20_000] {
            let step = step_without_all(since_end_ms, since_recovery_ms);
            assert_eq!(step, FigureStep::Determine, "{since_end_ms}");
        }
    }
}

/// Guards against figures that are determined before instances can have repeated the writes
/// that have failed in an outage.
#[test]
fn retries_awaited() {
    let step = step_without_all(6_800, Some(0));
    assert_eq!(step, new_wait(2_200));
    let step = step_without_all(8_999, Some(2_199));
    assert_eq!(step, new_wait(1));
    assert_eq!(step_without_all(9_000, Some(2_200)), FigureStep::Determine);
    // An outage that ends before the decision time does not shorten the regular wait.
    assert_eq!(step_without_all(6_000, Some(2_200)), FigureStep::Wait);
}

/// Guards against reports that are late because of the wait.
#[test]
fn wait_ends_in_time() {
    let step = step_without_all(8_400, Some(0));
    assert_eq!(step, new_wait(1_450));
    for since_end_ms in [9_850, 10_000, 30_000] {
        let step = step_without_all(since_end_ms, Some(0));
        assert_eq!(step, FigureStep::Determine, "{since_end_ms}");
    }
}

/// Guards against a wait for slices that are all there, and against a figure of a window that
/// has not ended.
#[test]
fn complete_at_once() {
    for since_recovery_ms in [None, Some(0)] {
        let step = |since_end_ms| {
            let progress = WindowProgress {
                is_complete: true,
                ..incomplete(since_end_ms, since_recovery_ms)
            };
            FigureTimer::default().next_step(&DELAYS, &progress)
        };
        assert_eq!(step(-1), FigureStep::Wait);
        assert_eq!(step(0), FigureStep::Determine);
        assert_eq!(step(7_000), FigureStep::Determine);
    }
}

/// Guards against figures that are deferred again and again by a store that fails repeatedly,
/// and against a later window that gets no wait because an earlier one had its own.
#[test]
fn one_wait_per_window() {
    let mut timer = FigureTimer::default();
    let step = timer.next_step(&DELAYS, &incomplete(6_700, Some(0)));
    assert_eq!(step, new_wait(2_200));
    let step = timer.next_step(&DELAYS, &incomplete(7_100, Some(400)));
    let same_wait = FigureStep::WaitForRetries {
        left_ms: 1_800,
        is_new: false,
    };
    assert_eq!(step, same_wait);
    let second = Recovery {
        number: 2,
        since_ms: 0,
    };
    let mut progress = incomplete(8_300, None);
    progress.recovery = Some(second);
    assert_eq!(
        timer.next_step(&DELAYS, &progress),
        FigureStep::Determine,
        "an outage during the wait ends it"
    );
    progress.window += 1;
    assert_eq!(timer.next_step(&DELAYS, &progress), new_wait(1_550));
}

/// Guards against figures of windows that have not ended, if reports are due so early that the
/// regular wait ends before the window.
#[test]
fn early_reports() {
    let delays = FigureDelays {
        decision_ms: -500,
        latest_decision_ms: 2_850,
        retry_ms: 2_200,
    };
    let step = |since_end_ms| {
        let progress = incomplete(since_end_ms, None);
        FigureTimer::default().next_step(&delays, &progress)
    };
    assert_eq!(step(-1), FigureStep::Wait);
    assert_eq!(step(0), FigureStep::Determine);
}
