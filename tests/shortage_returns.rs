//! Callers that were told by admission control when to come back.

use lavenderwind::policy::shortage::{Admission, Decision, Offer, Request};

const DEADLINE_MS: f64 = 6_000.0;

/// Wait with which a new request of 100 ms is refused, but which is under the upper end of the
/// range of the only priority, 600 ms.
const HIGH_WAIT_MS: f64 = 580.0;

fn request(left_ms: f64) -> Request {
    Request {
        priority: 0,
        objective_ms: 800.0,
        left_ms,
        account: 1,
        work_ms: 100.0,
    }
}

fn offer(wait_ms: f64, capacity: f64) -> Offer {
    Offer {
        wait_ms,
        mean_wait_ms: wait_ms,
        own_ms: 100.0,
        capacity,
    }
}

/// Refuses a number of requests at once, and returns the times that their callers were told.
fn refuse(admission: &mut Admission, count: usize, capacity: f64, now_ms: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for _ in 0..count {
        match admission.decide(&request(DEADLINE_MS), &offer(900.0, capacity), now_ms) {
            Decision::Refuse { retry_after_ms, .. } => times.push(retry_after_ms),
            Decision::Admit => panic!("admitted with a wait over the objective"),
        }
    }
    times
}

/// A caller that comes back when it was told to is admitted where a new request is refused, and
/// only once: its time would not be truthful otherwise.
#[test]
fn promise_kept() {
    let mut admission = Admission::default();
    let told_ms = refuse(&mut admission, 1, 20.0, 1_000)[0];
    let now_ms = 1_000 + told_ms;
    let offer = offer(HIGH_WAIT_MS, 20.0);
    let new = request(DEADLINE_MS);
    let returning = request(DEADLINE_MS - told_ms as f64);
    let is_admitted = |decision| decision == Decision::Admit;
    assert!(!is_admitted(admission.decide(&new, &offer, now_ms)));
    assert!(is_admitted(admission.decide(&returning, &offer, now_ms)));
    assert!(!is_admitted(admission.decide(&returning, &offer, now_ms)));
}

/// A caller that comes back too early has no claim, or callers would learn to ignore the time.
#[test]
fn early_refused() {
    let mut admission = Admission::default();
    let told_ms = refuse(&mut admission, 1, 20.0, 1_000)[0];
    let early_ms = told_ms / 2;
    let returning = request(DEADLINE_MS - early_ms as f64);
    let offer = offer(HIGH_WAIT_MS, 20.0);
    let decision = admission.decide(&returning, &offer, 1_000 + early_ms);
    assert_ne!(decision, Decision::Admit);
}

/// The time is at least the predicted one until the wait is under the limit: callers that come
/// back sooner are refused again, and don't try a third time.
#[test]
fn not_before_room() {
    let mut admission = Admission::default();
    let told_ms = refuse(&mut admission, 1, 20.0, 1_000)[0];
    // 900 ms less the limit, which is 720 ms less the request's own 100 ms.
    assert!(told_ms >= 280, "{told_ms}");
}

/// Many callers that are refused at once get times over the whole span that they accept,
/// with no more booked work in any slot than the engines can do.
#[test]
fn times_spread() {
    const ENGINES: f64 = 4.0;
    const SLOT_MS: f64 = 50.0;
    let mut admission = Admission::default();
    let times = refuse(&mut admission, 400, ENGINES, 1_000);
    let latest_ms = (DEADLINE_MS / 3.0) as u64;
    assert!(times.iter().all(|told_ms| *told_ms <= latest_ms));
    let in_range = |from_ms: u64| {
        let range = from_ms..from_ms + 200;
        times
            .iter()
            .filter(|told_ms| range.contains(told_ms))
            .count()
    };
    let most = (0..latest_ms).step_by(200).map(in_range).max();
    assert!(most <= Some(120), "{most:?} of 400 within 200 ms");
    for work_ms in admission.returning_work_ms() {
        assert!(work_ms <= ENGINES * SLOT_MS * 1.001, "{work_ms}");
    }
    assert!(admission.returning_work_ms().sum::<f64>() > 0.0);
}

/// Without any engine there is no time with room; the callers are told late, different times.
#[test]
fn no_engines() {
    let mut admission = Admission::default();
    let times = refuse(&mut admission, 50, 0.0, 1_000);
    assert!(
        times
            .iter()
            .all(|told_ms| (1_000..=2_000).contains(told_ms))
    );
    let mut distinct = times.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 40, "{times:?}");
}
