//! Choice of the caller that gives way when connections or memory run short.

use lavenderwind::policy::caller_choice::{Activity, Phase, choose};

const MIN_MS: u64 = 1_000;

fn since(phase: Phase, at_ms: u64) -> Activity {
    Activity {
        phase,
        phase_at_ms: at_ms,
        phase_bytes: 0,
        progress_at_ms: at_ms,
        blocked_at_ms: None,
    }
}

fn chosen(connections: &[Activity], now_ms: u64) -> Option<usize> {
    choose(connections.iter().copied(), MIN_MS, now_ms)
}

/// Guards against requests in progress that are closed because others need a place.
#[test]
fn running_kept() {
    let running = since(Phase::Running, 0);
    assert_eq!(chosen(&[running], 60_000), None);
}

/// Guards against idle connections of ordinary callers that close although a caller has
/// stopped half-way.
#[test]
fn idle_last() {
    let idle = since(Phase::Idle, 0);
    let half_way = since(Phase::Head, 8_000);
    assert_eq!(chosen(&[idle, half_way], 10_000), Some(1));
    assert_eq!(chosen(&[idle, half_way], 8_500), Some(0));
}

/// Guards against new callers that close before they could send anything.
#[test]
fn new_kept() {
    let new = since(Phase::Head, 10_000);
    assert_eq!(chosen(&[new, new], 10_999), None);
    assert_eq!(chosen(&[new, new], 11_000), Some(1));
}

/// Guards against bodies that are sent byte by byte, so that they never stall.
#[test]
fn slow_body() {
    let slow = Activity {
        phase_bytes: 500,
        progress_at_ms: 4_990,
        ..since(Phase::Body, 0)
    };
    let usual = Activity {
        phase_bytes: 2 << 20,
        ..slow
    };
    assert_eq!(chosen(&[usual, slow], 5_000), Some(1));
    assert_eq!(chosen(&[usual], 5_000), None);
}

/// Guards against answers that are kept for callers that never read them.
#[test]
fn blocked_first() {
    let blocked = Activity {
        blocked_at_ms: Some(2_000),
        ..since(Phase::Running, 0)
    };
    let half_way = since(Phase::Head, 4_000);
    assert_eq!(chosen(&[half_way, blocked], 6_000), Some(1));
}
