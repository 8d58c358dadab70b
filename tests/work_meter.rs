//! Measured demand for engine time, and the engines needed for it.

use lavenderwind::policy::{
    engine_profile::EngineWork,
    work_meter::{EngineLoad, WorkMeter},
};

const SECOND_MS: f64 = 1_000.0;

fn work(remote_prefill_ms: f64, decode_ms: f64) -> EngineWork {
    EngineWork {
        remote_prefill_ms,
        local_prefill_ms: 0.0,
        decode_ms,
    }
}

/// The load follows a lasting change of the measured work.
#[test]
fn change_followed() {
    let mut meter = WorkMeter::new(6.0 * SECOND_MS);
    assert_eq!(meter.load(), EngineLoad::default());
    meter.observe(work(3_000.0, 1_000.0), SECOND_MS);
    let first = meter.load();
    assert!((first.remote_prefill - 3.0).abs() < 0.01, "{first:?}");
    for _ in 0..30 {
        meter.observe(work(500.0, 4_000.0), SECOND_MS);
    }
    let later = meter.load();
    assert!((later.remote_prefill - 0.5).abs() < 0.1, "{later:?}");
    assert!((later.decode - 4.0).abs() < 0.1, "{later:?}");
}

/// A load that alternates faster than engines can change roles must change the
/// average only slightly.
#[test]
fn fast_swings_smoothed() {
    let mut meter = WorkMeter::new(6.0 * SECOND_MS);
    for step in 0..120 {
        let is_high = step / 3 % 2 == 0;
        let remote_prefill_ms = if is_high { 6_000.0 } else { 2_000.0 };
        meter.observe(work(remote_prefill_ms, 1_000.0), SECOND_MS);
        if step > 30 {
            let remote_prefill = meter.load().remote_prefill;
            assert!(
                (3.0..=5.0).contains(&remote_prefill),
                "{step}: {remote_prefill}"
            );
        }
    }
}

/// The needed engines are the fewest that keep to the utilization.
#[test]
fn needed_engines_utilization() {
    let load = EngineLoad {
        remote_prefill: 2.0,
        local_prefill: 1.0,
        decode: 3.0,
    };
    let needed = load.needed_engines(0.7, 40);
    let prefilling = load.best_prefill_engines(needed);
    assert!(load.utilization(needed, prefilling) <= 0.7);
    let fewer = needed - 1;
    assert!(load.utilization(fewer, load.best_prefill_engines(fewer)) > 0.7);
    assert_eq!(load.needed_engines(0.7, 5), 5, "at most max_engines");
    assert_eq!(EngineLoad::default().needed_engines(0.7, 40), 1);
}

#[test]
fn busy_engines_detected() {
    let load = EngineLoad {
        remote_prefill: 2.0,
        local_prefill: 1.0,
        decode: 3.0,
    };
    assert!(!load.is_busy(40, 10), "idle engines");
    assert!(load.is_busy(10, 4), "decode engines are busy");
    assert!(load.is_busy(40, 2), "prefill engines are busy");
}

#[test]
fn prefill_share_bounded() {
    let load = EngineLoad {
        remote_prefill: 7.0,
        local_prefill: 1.0,
        decode: 1.0,
    };
    assert_eq!(load.prefill_share(20), 1.0);
    assert!((load.prefill_share(5) - 0.5).abs() < 1e-9);
    assert_eq!(load.prefill_share(0), 0.0);
    assert_eq!(EngineLoad::default().prefill_share(0), 1.0);
}
