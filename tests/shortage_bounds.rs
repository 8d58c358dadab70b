//! Bounds that the decisions of admission control keep for any requests.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use lavenderwind::policy::shortage::{Admission, Decision, Offer, Reason, Request};

/// Length of the slots in which returning work is booked, in milliseconds.
const SLOT_MS: f64 = 50.0;

/// Number of engines in the tests with valid numbers.
const ENGINES: f64 = 20.0;

/// Returns a number of any kind, also one that no prediction should give.
fn any_number(u: &mut Unstructured<'_>) -> Result<f64> {
    Ok(match u.int_in_range(0..=9)? {
        0 => f64::NAN,
        1 => f64::INFINITY,
        2 => f64::NEG_INFINITY,
        3 => 0.0,
        4 => -1.0,
        5 => f64::MIN_POSITIVE,
        6 => f64::MAX,
        7 => u.arbitrary()?,
        _ => f64::from(u.int_in_range(0..=10_000_u32)?),
    })
}

fn any_request(u: &mut Unstructured<'_>) -> Result<(Request, Offer)> {
    let request = Request {
        priority: u.arbitrary()?,
        objective_ms: any_number(u)?,
        left_ms: any_number(u)?,
        account: u.int_in_range(0..=9)?,
        work_ms: any_number(u)?,
    };
    let offer = Offer {
        wait_ms: any_number(u)?,
        mean_wait_ms: any_number(u)?,
        own_ms: any_number(u)?,
        capacity: any_number(u)?,
    };
    Ok((request, offer))
}

/// Returns a valid request, and an offer with a wait that is long for most priorities.
fn valid_request(u: &mut Unstructured<'_>) -> Result<(Request, Offer)> {
    let priority = u.int_in_range(0..=2_u8)?;
    let index = usize::from(priority);
    let work_ms = f64::from(u.int_in_range(1..=600_u32)?);
    let request = Request {
        priority,
        objective_ms: [800.0, 1_500.0, 3_000.0][index],
        left_ms: f64::from(u.int_in_range(1..=30_000_u32)?),
        account: u.int_in_range(0..=5)?,
        work_ms,
    };
    let wait_ms = f64::from(u.int_in_range(0..=2_000_u32)?);
    let offer = Offer {
        wait_ms,
        mean_wait_ms: wait_ms,
        own_ms: work_ms,
        capacity: ENGINES,
    };
    Ok((request, offer))
}

/// Returns admission control after some valid requests, and the time.
fn used_admission(u: &mut Unstructured<'_>) -> Result<(Admission, u64)> {
    let mut admission = Admission::default();
    let mut now_ms = u64::from(u.arbitrary::<u32>()?);
    for _ in 0..u.int_in_range(0..=200)? {
        let (request, offer) = valid_request(u)?;
        admission.decide(&request, &offer, now_ms);
        now_ms += u.int_in_range(0..=40)?;
    }
    Ok((admission, now_ms))
}

fn retry_after_ms(decision: Decision) -> Option<u64> {
    match decision {
        Decision::Admit => None,
        Decision::Refuse { retry_after_ms, .. } => Some(retry_after_ms),
    }
}

/// Numbers that a faulty prediction gives, and times that go back, cause no panic.
#[test]
fn no_panics() {
    arbtest(|u| {
        let mut admission = Admission::default();
        for _ in 0..u.int_in_range(0..=50)? {
            let (request, offer) = any_request(u)?;
            let now_ms = match u.int_in_range(0..=3)? {
                0 => u.arbitrary()?,
                1 => u64::MAX,
                _ => u64::from(u.arbitrary::<u16>()?),
            };
            let decision = admission.decide(&request, &offer, now_ms);
            if let Some(retry_after_ms) = retry_after_ms(decision) {
                assert!(retry_after_ms <= 10_000);
            }
            assert!(admission.returning_work_ms().all(f64::is_finite));
        }
        Ok(())
    });
}

/// No caller is told a time over a third of its remaining time, which it wouldn't honour.
#[test]
fn times_capped() {
    arbtest(|u| {
        let (mut admission, now_ms) = used_admission(u)?;
        let (request, offer) = valid_request(u)?;
        let decision = admission.decide(&request, &offer, now_ms);
        if let Some(retry_after_ms) = retry_after_ms(decision) {
            assert!(retry_after_ms as f64 <= request.left_ms / 3.0);
        }
        Ok(())
    });
}

/// A longer wait leads to a refusal and a return time that is not earlier; otherwise callers
/// would come back while the queue is still too long.
#[test]
fn times_monotone() {
    arbtest(|u| {
        let (admission, now_ms) = used_admission(u)?;
        let (request, offer) = valid_request(u)?;
        let longer = Offer {
            wait_ms: offer.wait_ms + f64::from(u.int_in_range(0..=2_000_u32)?),
            ..offer
        };
        let shorter = admission.clone().decide(&request, &offer, now_ms);
        let longer = admission.clone().decide(&request, &longer, now_ms);
        // A shortage may begin or not end with the longer wait, which only refuses more.
        if let Some(shorter_ms) = retry_after_ms(shorter) {
            let longer_ms = retry_after_ms(longer);
            assert!(
                longer_ms >= Some(shorter_ms),
                "{longer:?} after {shorter:?}"
            );
        }
        Ok(())
    });
}

/// The work that callers were told to bring back never exceeds what the engines can do in the
/// same time.
#[test]
fn promises_bounded() {
    arbtest(|u| {
        let (admission, _) = used_admission(u)?;
        for work_ms in admission.returning_work_ms() {
            assert!(work_ms <= ENGINES * SLOT_MS * 1.001, "{work_ms}");
        }
        Ok(())
    });
}

/// A less urgent request is never admitted in a shortage where a more urgent one would be
/// refused, also if that one is larger or from an account over its share.
#[test]
fn urgent_first() {
    arbtest(|u| {
        let (mut admission, now_ms) = used_admission(u)?;
        let (request, offer) = valid_request(u)?;
        // All priorities are known, so that no objective is new in the comparison.
        for (priority, objective_ms) in [(0, 800.0), (1, 1_500.0), (2, 3_000.0)] {
            let known = Request {
                priority,
                objective_ms,
                ..request
            };
            let long = Offer {
                wait_ms: 900.0,
                mean_wait_ms: 900.0,
                ..offer
            };
            admission.decide(&known, &long, now_ms);
        }
        let (other, other_offer) = valid_request(u)?;
        if other.priority >= request.priority || !admission.state().is_short() {
            return Ok(());
        }
        let other_offer = Offer {
            wait_ms: offer.wait_ms,
            mean_wait_ms: offer.mean_wait_ms,
            ..other_offer
        };
        let less_urgent = admission.clone().decide(&request, &offer, now_ms);
        let more_urgent = admission.clone().decide(&other, &other_offer, now_ms);
        if less_urgent != Decision::Admit {
            return Ok(());
        }
        match more_urgent {
            Decision::Admit => {}
            // No urgency helps a caller that leaves before it is served.
            Decision::Refuse { reason, .. } => assert_eq!(reason, Reason::Hopeless),
        }
        Ok(())
    });
}

/// Engines without a wait refuse nothing but what is hopeless, during a shortage as well.
#[test]
fn no_wait_admitted() {
    arbtest(|u| {
        let (mut admission, now_ms) = used_admission(u)?;
        let (request, offer) = valid_request(u)?;
        let idle = Offer {
            wait_ms: 0.0,
            mean_wait_ms: 0.0,
            ..offer
        };
        if request.left_ms < idle.own_ms {
            return Ok(());
        }
        assert_eq!(admission.decide(&request, &idle, now_ms), Decision::Admit);
        Ok(())
    });
}

/// Very many accounts at once must not fill the memory, and recent ones stay known.
#[test]
fn accounts_bounded() {
    let mut admission = Admission::default();
    let request = |account| Request {
        priority: 1,
        objective_ms: 800.0,
        left_ms: 6_000.0,
        account,
        work_ms: 100.0,
    };
    let offer = Offer {
        wait_ms: 300.0,
        mean_wait_ms: 300.0,
        own_ms: 100.0,
        capacity: ENGINES,
    };
    for account in 0..20_000 {
        admission.decide(&request(account), &offer, account / 20);
        assert!(admission.known_accounts() <= 4_096);
    }
    admission.decide(&request(1), &offer, 60_000);
    assert_eq!(admission.known_accounts(), 1);
}

/// A caller that would leave before it is served is refused, also by calm engines, and one
/// that waits longer is admitted.
#[test]
fn hopeless_refused() {
    let offer = Offer {
        wait_ms: 300.0,
        mean_wait_ms: 300.0,
        own_ms: 1_000.0,
        capacity: ENGINES,
    };
    let request = |objective_ms, left_ms| Request {
        priority: 0,
        objective_ms,
        left_ms,
        account: 1,
        work_ms: 1_000.0,
    };
    let decide = |request, offer| Admission::default().decide(&request, &offer, 0);
    let is_hopeless = |decision| {
        matches!(
            decision,
            Decision::Refuse {
                reason: Reason::Hopeless,
                ..
            }
        )
    };
    assert!(is_hopeless(decide(request(800.0, 1_200.0), offer)));
    assert_eq!(decide(request(800.0, 1_400.0), offer), Decision::Admit);
    // Its patience is the longer of 2 s and four objectives.
    let large = Offer {
        own_ms: 2_300.0,
        ..offer
    };
    assert!(is_hopeless(decide(request(400.0, 60_000.0), large)));
    assert_eq!(decide(request(800.0, 60_000.0), large), Decision::Admit);
}

/// The reason names the rule that refused: an operator must not take the shares of accounts for
/// a lack of engines, or the other way round.
#[test]
fn reasons_told() {
    let mut admission = Admission::default();
    let request = |priority, account| Request {
        priority,
        objective_ms: [800.0, 1_500.0, 3_000.0][usize::from(priority)],
        left_ms: 6_000.0,
        account,
        work_ms: 50.0,
    };
    let offer = |wait_ms| Offer {
        wait_ms,
        mean_wait_ms: wait_ms,
        own_ms: 50.0,
        capacity: ENGINES,
    };
    let mut decide = |request, wait_ms, now_ms| {
        let decision = admission.decide(&request, &offer(wait_ms), now_ms);
        match decision {
            Decision::Admit => None,
            Decision::Refuse { reason, .. } => Some(reason),
        }
    };
    // Calm: nothing is refused, and account 1 takes the engines.
    for now_ms in 0..400 {
        assert_eq!(decide(request(2, 1), 300.0, now_ms), None);
        assert_eq!(decide(request(0, 3), 300.0, now_ms), None);
    }
    // A wait over the smallest objective begins a shortage at once.
    assert_eq!(decide(request(2, 2), 900.0, 500), Some(Reason::Shortage));
    for _ in 0..40 {
        assert_eq!(decide(request(2, 2), 540.0, 550), Some(Reason::Urgency));
    }
    assert_eq!(decide(request(0, 3), 540.0, 700), None);
    assert_eq!(decide(request(0, 3), 790.0, 700), Some(Reason::Shortage));
    // The range of priority 2 is 200 to 400 ms, as two priorities were seen.
    assert_eq!(
        decide(request(2, 1), 300.0, 700),
        Some(Reason::AccountShare)
    );
    assert_eq!(decide(request(2, 2), 300.0, 700), None);
    assert_eq!(decide(request(2, 1), 190.0, 700), None);
}

/// Each reason has a label of its own, by which log lines and metrics tell it.
#[test]
fn reason_labels() {
    let labels = [
        Reason::Hopeless,
        Reason::Shortage,
        Reason::Urgency,
        Reason::AccountShare,
    ]
    .map(Reason::label);
    assert_eq!(labels, ["Hopeless", "Shortage", "Urgency", "AccountShare"]);
}
