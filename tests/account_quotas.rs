//! Quotas of client accounts over a fleet of instances, without a network.

mod quota_fleet;

use lavenderwind::policy::share::{FleetLimit, Reach};
use quota_fleet::{CUT_OFF, Fleet, INSTANCES, STEP_MS, even, limit, uneven};

const RATE: u64 = 1_439_339;

/// Requests within the limit are refused because the callers are spread unevenly over the
/// instances.
#[test]
fn uneven_callers() {
    let mut fleet = Fleet::new(limit(RATE));
    fleet.run(30, uneven(RATE as f64 * 0.5));
    fleet.run(30, uneven(RATE as f64 * 0.5));
    assert!(
        fleet.refused_fraction() < 0.002,
        "{}",
        fleet.refused_fraction()
    );
    fleet.run(30, uneven(RATE as f64 * 0.8));
    assert_eq!(fleet.refused_by_one, 0);
    assert!(
        fleet.refused_fraction() < 0.06,
        "{}",
        fleet.refused_fraction()
    );
}

/// Instances that get all requests of an account can't use the parts of the others within
/// two seconds.
#[test]
fn shifted_demand() {
    let mut fleet = Fleet::new(limit(RATE));
    fleet.run(30, even(RATE as f64 * 0.3));
    let few = |index: usize| {
        if index.is_multiple_of(4) {
            RATE as f64 * 0.5 / 21.0
        } else {
            0.0
        }
    };
    fleet.run(2, few);
    fleet.run(10, few);
    assert!(
        fleet.refused_fraction() < 0.01,
        "{}",
        fleet.refused_fraction()
    );
}

/// An account that suddenly sends many times its usual load runs more than its limit, or far
/// less than it.
#[test]
fn hot_account() {
    for rate in [RATE, 400_000, 150_000, 50_000] {
        for usual in [0.3, 0.6, 0.9] {
            let mut fleet = Fleet::new(limit(rate));
            fleet.run(20, uneven(rate as f64 * usual));
            fleet.run(30, even(rate as f64 * 6.0));
            let worst = fleet.worst_window();
            assert!(worst <= 1.0, "{rate} {usual}: {worst}");
            let steps = 20 * 1_000 / STEP_MS as usize;
            let used: u64 = fleet.used[fleet.used.len() - steps..].iter().sum();
            let mean = used as f64 / 20.0 / rate as f64;
            assert!(mean > 0.7, "{rate} {usual}: {mean}");
        }
    }
}

/// Both sides of a partition use the whole limit, whenever the load rises.
#[test]
fn partition() {
    for rate in [RATE, 400_000, 150_000] {
        for usual in [0.3, 0.6, 0.9, 6.0] {
            for hot_after_s in [0, 2, 4, 12] {
                let mut fleet = Fleet::new(limit(rate));
                fleet.run(20, uneven(rate as f64 * usual));
                fleet.is_split = true;
                fleet.run(hot_after_s, uneven(rate as f64 * usual));
                fleet.run(12 - hot_after_s, even(rate as f64 * 6.0));
                fleet.is_split = false;
                fleet.run(12, even(rate as f64 * 6.0));
                let worst = fleet.worst_window();
                assert!(worst <= 1.0, "{rate} {usual} {hot_after_s}: {worst}");
            }
        }
    }
}

/// The load moves to the smaller side of a partition, and back to all instances at its end.
#[test]
fn partition_shift() {
    let mut fleet = Fleet::new(limit(RATE));
    fleet.run(20, even(RATE as f64 * 0.6));
    fleet.is_split = true;
    let cut = |index: usize| {
        if index < CUT_OFF {
            RATE as f64 * 6.0 / CUT_OFF as f64
        } else {
            0.0
        }
    };
    fleet.run(12, cut);
    fleet.is_split = false;
    fleet.run(12, even(RATE as f64 * 6.0));
    assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
}

/// Instances whose relay has ended refuse requests for long, or run too much.
#[test]
fn lost_relay() {
    let mut fleet = Fleet::new(limit(RATE));
    fleet.run(30, even(RATE as f64 * 0.5));
    fleet.alone = 16;
    fleet.run(3, even(RATE as f64 * 0.5));
    fleet.alone = 0;
    fleet.run(10, even(RATE as f64 * 0.5));
    let refused = fleet.refused_fraction();
    assert!(refused < 0.05, "{refused}");
    fleet.alone = 16;
    fleet.run(3, even(RATE as f64 * 6.0));
    fleet.alone = 0;
    fleet.run(10, even(RATE as f64 * 6.0));
    assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
}

/// Each start of an instance grants a new burst.
#[test]
fn restarts() {
    let mut fleet = Fleet::new(limit(RATE));
    fleet.run(20, even(RATE as f64 * 0.9));
    fleet.run(2, even(RATE as f64 * 6.0));
    for _ in 0..3 {
        for index in 0..INSTANCES {
            fleet.restart(index);
        }
        fleet.run(4, even(RATE as f64 * 6.0));
    }
    for index in 0..INSTANCES {
        fleet.restart(index);
        if index.is_multiple_of(4) {
            fleet.run(1, even(RATE as f64 * 6.0));
        }
    }
    assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
}

/// Instances that were frozen go on with what they knew before.
#[test]
fn frozen_instances() {
    let mut fleet = Fleet::new(limit(RATE));
    fleet.run(20, even(RATE as f64 * 0.9));
    for pause_s in [1, 3, 9] {
        for index in 0..CUT_OFF {
            fleet.instances[index].frozen = true;
        }
        fleet.run(pause_s, even(RATE as f64 * 6.0));
        for index in 0..CUT_OFF {
            // A pause of more than 1.5 s is noticed by the clock that counts suspension.
            if pause_s > 1 {
                fleet.restart(index);
            }
            fleet.instances[index].frozen = false;
        }
        fleet.run(6, even(RATE as f64 * 6.0));
    }
    assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
}

/// A lowered limit is not enforced one window after it has reached all instances.
#[test]
fn lowered_limit() {
    let mut fleet = Fleet::new(limit(RATE));
    fleet.run(20, even(RATE as f64 * 3.0));
    fleet.limit = limit(RATE / 3);
    for index in 0..INSTANCES {
        let now_ms = fleet.now_ms;
        fleet.instances[index].limit.set_limit(fleet.limit, now_ms);
        if index.is_multiple_of(INSTANCES / 2) {
            fleet.run(1, even(RATE as f64 * 3.0));
        }
    }
    fleet.used.clear();
    fleet.run(20, even(RATE as f64 * 3.0));
    fleet.used.drain(..(8_000 / STEP_MS) as usize);
    assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
}

/// An instance that hears nobody uses more than an even part.
#[test]
fn lone_instance() {
    let bounds = limit(RATE);
    let reach = Reach {
        instances: INSTANCES as u32,
        fraction: 1.0 / INSTANCES as f64,
        recent_presence_ms: 1_000.0,
        report_delay_ms: 1_400,
    };
    let mut lone = FleetLimit::unknown(bounds, 0);
    let mut used = 0;
    for now_ms in (0..60_000).step_by(10) {
        if now_ms % 100 == 0 {
            lone.take_report(reach, now_ms);
        }
        if lone.charge(5_500, reach, now_ms).is_ok() {
            used += 5_500;
        }
    }
    let even_part = RATE as f64 / INSTANCES as f64;
    assert!(used as f64 / 60.0 <= even_part * 1.05, "{used}");
    assert!(used as f64 / 60.0 >= even_part * 0.8, "{used}");
}

/// The time in a refusal is not the time after which the request is accepted.
#[test]
fn exact_wait() {
    let reach = Reach {
        instances: 1,
        fraction: 1.0,
        recent_presence_ms: 1_000.0,
        report_delay_ms: 1_400,
    };
    let mut limit = FleetLimit::idle(limit(100_000), 0);
    limit.charge(90_000, reach, 0).unwrap();
    let wait_ms = limit.charge(60_000, reach, 100).unwrap_err().wait_ms;
    assert_eq!(wait_ms, 400);
    limit.charge(60_000, reach, 100 + wait_ms - 1).unwrap_err();
    limit.charge(60_000, reach, 100 + wait_ms).unwrap();
}

/// Usage that is reported seconds late, because heartbeats carry few accounts, counts as used
/// all at once, so that requests of an account within its limit are refused.
#[test]
fn late_reports() {
    let reach = Reach {
        instances: INSTANCES as u32,
        fraction: 1.0,
        recent_presence_ms: INSTANCES as f64 * 1_000.0,
        report_delay_ms: 1_400,
    };
    // Parts of a second of the limit's rate, of which 65,536 are the whole.
    let parts_per_s = 65_536 * 6 / 10;
    let mut limit = FleetLimit::idle(limit(RATE), 0);
    for now_s in 1..60 {
        for now_ms in (now_s * 1_000..(now_s + 1) * 1_000).step_by(100) {
            limit.take_report(reach, now_ms);
        }
        if now_s % 5 == 0 {
            limit.hear(5 * parts_per_s, reach, now_s * 1_000);
        }
        let charged = limit.charge(5_500, reach, now_s * 1_000 + 500);
        assert!(charged.is_ok(), "after {now_s} s: {charged:?}");
    }
}

/// A refunded request still counts.
#[test]
fn refund() {
    let reach = Reach {
        instances: 1,
        fraction: 1.0,
        recent_presence_ms: 1_000.0,
        report_delay_ms: 1_400,
    };
    let mut limit = FleetLimit::idle(limit(100_000), 0);
    limit.charge(90_000, reach, 0).unwrap();
    limit.refund(90_000);
    limit.charge(95_000, reach, 0).unwrap();
    // 95,000 of 100,000 units, in parts of 65,536.
    assert_eq!(limit.take_report(reach, 250), 62_259);
}
