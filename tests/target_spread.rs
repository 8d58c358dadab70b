//! Spreading of requests over targets, and the budget of extra sends, which are the
//! sends of a request beyond its first one.

use lavenderwind::policy::{
    retry_window::{RetryWindow, WindowBounds},
    spread::{SpreadCandidate, SpreadWeights, choose_by_cost, choose_least_loaded},
};

const WEIGHTS: SpreadWeights = SpreadWeights {
    other_domain: 0.35,
    failing: 3.0,
    role_change: 0.4,
};

fn candidate(in_flight: u32) -> SpreadCandidate {
    SpreadCandidate {
        in_flight: f64::from(in_flight),
        slots: 6,
        in_same_domain: true,
        failure_rate: 0.0,
        may_change_role: false,
        slowness: 1.0,
    }
}

#[test]
fn least_cost_chosen() {
    let other_domain = SpreadCandidate {
        in_same_domain: false,
        ..candidate(0)
    };
    let failing = SpreadCandidate {
        failure_rate: 0.5,
        ..candidate(0)
    };
    // An engine so new that it may still be ordered to change its role.
    let may_change = SpreadCandidate {
        may_change_role: true,
        ..candidate(0)
    };
    let cases = [
        (vec![candidate(2), candidate(1)], Some(1)),
        (vec![candidate(1), other_domain], Some(0)),
        (vec![candidate(4), other_domain], Some(1)),
        (vec![candidate(6), failing], Some(0)),
        (vec![candidate(2), may_change], Some(0)),
        (vec![candidate(5), may_change], Some(1)),
        (vec![], None),
    ];
    for (candidates, expected) in cases {
        assert_eq!(
            choose_least_loaded(&candidates, &WEIGHTS, 0.0),
            expected,
            "{candidates:?}"
        );
    }
}

/// A slow target is used less than others, also if it is idle, but is used if the others
/// are much busier.
#[test]
fn slow_target_costs() {
    let slow = |in_flight| SpreadCandidate {
        slowness: 1.7,
        ..candidate(in_flight)
    };
    let fast = |in_flight| SpreadCandidate {
        slowness: 0.6,
        ..candidate(in_flight)
    };
    let cases = [
        (vec![candidate(1), slow(0)], 0),
        (vec![candidate(6), slow(0)], 1),
        (vec![candidate(5), slow(5)], 0),
        (vec![candidate(0), fast(1)], 1),
        (vec![candidate(1), fast(6)], 0),
    ];
    for (candidates, expected) in cases {
        assert_eq!(
            choose_least_loaded(&candidates, &WEIGHTS, 0.0),
            Some(expected),
            "{candidates:?}"
        );
    }
}

/// Instances with the same knowledge must not all choose the same target, and each target
/// must still be tried.
#[test]
fn shares_follow_cost() {
    let slow = SpreadCandidate {
        slowness: 1.7,
        ..candidate(0)
    };
    let candidates = [candidate(0), candidate(2), slow, candidate(24)];
    let mut chosen = [0_u32; 4];
    for step in 0..1_000 {
        let point = f64::from(step) / 1_000.0;
        let index = choose_by_cost(&candidates, &WEIGHTS, point).unwrap();
        chosen[index] += 1;
    }
    assert!(chosen[0] > chosen[1] && chosen[0] < 800, "{chosen:?}");
    assert!(chosen[2] > 20 && chosen[2] < chosen[0] / 2, "{chosen:?}");
    assert!(chosen[3] < 5, "{chosen:?}");
    assert_eq!(choose_by_cost(&[], &WEIGHTS, 0.5), None);
    assert_eq!(choose_by_cost(&candidates[..1], &WEIGHTS, 1.0), Some(0));
}

/// The random point decides between targets of equal cost.
#[test]
fn equal_cost_point() {
    let candidates = [candidate(1), candidate(1), candidate(1)];
    for (point, expected) in [(0.0, 0), (0.4, 1), (0.99, 2)] {
        assert_eq!(
            choose_least_loaded(&candidates, &WEIGHTS, point),
            Some(expected)
        );
    }
}

/// Extra sends stay within the budget in any window.
#[test]
fn extra_sends_bounded() {
    let bounds = WindowBounds {
        ratio: 0.2,
        slack: 56.0,
        window_ms: 10_000,
    };
    let instances = 8;
    let mut windows = vec![RetryWindow::default(); instances];
    let mut requests = Vec::new();
    let mut extra = Vec::new();
    // All engines fail, so that each of about 60 requests per second has to be sent
    // again.
    for now_ms in (0..40_000).step_by(17) {
        let window = &mut windows[now_ms as usize % instances];
        window.record_request(now_ms);
        requests.push(now_ms);
        if window.withdraw(&bounds, instances, now_ms) {
            extra.push(now_ms);
        }
    }
    for end_ms in (10_000..40_000).step_by(500) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|&&time| time <= end_ms && time + 10_000 > end_ms)
                .count() as f64
        };
        let allowed = bounds.ratio * within(&requests) + bounds.slack;
        assert!(
            within(&extra) <= allowed,
            "window ending at {end_ms} ms: {} extra sends, {allowed} allowed",
            within(&extra)
        );
    }
    assert!(
        extra.len() > 100,
        "the budget must be used: {} extra sends",
        extra.len()
    );
}
