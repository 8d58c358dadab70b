//! Retries, circuit breakers and the quarantine of requests that crash targets.

use std::sync::Arc;

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use indexmap::IndexSet;
use lavenderwind::{
    policy::{
        breaker::{Breaker, BreakerSettings, Observation},
        retry::{
            FailedAttempt, Failure, GiveUpOutcome, MAX_ATTEMPTS, RetryBudget, RetryDecision,
            decide_retry, should_hedge,
        },
        routing::Availability,
        suspects::{Fingerprint, SuspectTracker, assigned_targets},
    },
    service::Repeat,
};

const SEEDS: [u64; 4] = [
    0x5eed_0031_0000_4000,
    0x5eed_0032_0000_4000,
    0x5eed_0033_0000_4000,
    0x5eed_0034_0000_4000,
];

fn check_seeds<F>(mut property: F)
where
    F: FnMut(&mut Unstructured<'_>) -> Result<()>,
{
    for seed in SEEDS {
        arbtest(&mut property).seed(seed).run();
    }
}

#[test]
fn failed_attempt_decisions() {
    use Failure::{IncompleteAnswer, NotWritten, Refused, Timeout};
    use Repeat::{Idempotent, Once, OnceByTarget};
    let not_run = RetryDecision::GiveUp(GiveUpOutcome::NotRun);
    let unknown = RetryDecision::GiveUp(GiveUpOutcome::Unknown);
    let cases = [
        // Failure, repeat rule, attempts made, whether an earlier one may have run,
        // and the expected decision.
        (NotWritten, Idempotent, 1, false, RetryDecision::Retry),
        (Refused, Idempotent, 2, false, RetryDecision::Retry),
        (IncompleteAnswer, Idempotent, 2, true, RetryDecision::Retry),
        (Timeout, Idempotent, 1, true, RetryDecision::Retry),
        (NotWritten, Idempotent, 3, false, not_run),
        (NotWritten, Idempotent, 3, true, unknown),
        (IncompleteAnswer, Idempotent, 3, false, unknown),
        (NotWritten, Once, 1, false, RetryDecision::Retry),
        (Refused, Once, 1, false, RetryDecision::Retry),
        (IncompleteAnswer, Once, 1, false, unknown),
        (Timeout, Once, 1, false, unknown),
        (NotWritten, Once, 2, true, unknown),
        (IncompleteAnswer, OnceByTarget, 1, false, unknown),
        (NotWritten, OnceByTarget, 3, false, not_run),
    ];
    for (failure, repeat, attempts, may_have_run, expected) in cases {
        let attempt = FailedAttempt {
            failure,
            repeat,
            attempts,
            max_attempts: MAX_ATTEMPTS,
            may_have_run,
        };
        let decision = decide_retry(&attempt, || RetryBudget::new(100, 10).withdraw());
        assert_eq!(decision, expected, "{attempt:?}");
    }
}

/// The budget limits retries to a share of the successful requests.
#[test]
fn retry_budget_share() {
    let mut budget = RetryBudget::new(100, 20);
    let attempt = FailedAttempt {
        failure: Failure::IncompleteAnswer,
        repeat: Repeat::Idempotent,
        attempts: 1,
        max_attempts: MAX_ATTEMPTS,
        may_have_run: true,
    };
    let mut sent = [0; 2];
    for (phase, failing) in [(0, true), (1, false)] {
        for _ in 0..1_000 {
            if !failing {
                budget.record_success();
            }
            sent[phase] +=
                usize::from(decide_retry(&attempt, || budget.withdraw()) == RetryDecision::Retry);
        }
    }
    // While all requests fail, the initial budget is spent. Afterwards, the retries
    // are a tenth of the successes.
    assert_eq!(sent, [20, 100]);
}

/// Only idempotent requests are hedged, after a delay and within the budget.
#[test]
fn idempotent_requests_hedged() {
    let mut budget = RetryBudget::new(100, 1);
    assert!(!should_hedge(Repeat::Once, 10_000, 100.0, &mut budget));
    assert!(!should_hedge(
        Repeat::OnceByTarget,
        10_000,
        100.0,
        &mut budget
    ));
    assert!(!should_hedge(Repeat::Idempotent, 299, 100.0, &mut budget));
    assert!(should_hedge(Repeat::Idempotent, 300, 100.0, &mut budget));
    assert!(!should_hedge(Repeat::Idempotent, 300, 100.0, &mut budget));
}

#[test]
fn breaker_distinguishes_failures() {
    let slow = Observation::Success {
        predicted_ms: 100.0,
        actual_ms: 400.0,
    };
    let cases = [
        // Observation, how often it is made, and the expected availability, capacity
        // share and slowdown.
        (Observation::Crash, 1, Availability::Unhealthy, 1.0, 1.0),
        (Observation::Overload, 2, Availability::Live, 0.25, 1.0),
        (Observation::Timeout, 2, Availability::Live, 1.0, 1.0),
        (Observation::Timeout, 3, Availability::Unhealthy, 1.0, 1.0),
        (slow, 100, Availability::Live, 1.0, 4.0),
    ];
    for (observation, times, availability, capacity_share, slowdown) in cases {
        let mut breaker = Breaker::new(BreakerSettings::default());
        for _ in 0..times {
            breaker.record(observation, 0, 0.0);
        }
        assert_eq!(breaker.availability(), availability, "{observation:?}");
        assert_eq!(breaker.capacity_share(), capacity_share, "{observation:?}");
        assert!(
            (breaker.slowdown() - slowdown).abs() < 0.01,
            "{observation:?}"
        );
    }
}

/// The breaker stays open longer after each crash, up to a maximum.
#[test]
fn breaker_open_time() {
    let mut breaker = Breaker::new(BreakerSettings::default());
    let mut now_ms = 0;
    let mut waits = Vec::new();
    for _ in 0..7 {
        breaker.record(Observation::Crash, now_ms, 0.0);
        breaker.record(Observation::Crash, now_ms, 0.0);
        let opened_at_ms = now_ms;
        while !breaker.allow(now_ms) {
            now_ms += 100;
        }
        waits.push(now_ms - opened_at_ms);
        assert!(!breaker.allow(now_ms));
    }
    assert_eq!(waits, [500, 1_000, 2_000, 4_000, 8_000, 15_000, 15_000]);
    breaker.record(
        Observation::Success {
            predicted_ms: 10.0,
            actual_ms: 10.0,
        },
        now_ms,
        0.0,
    );
    assert_eq!(breaker.availability(), Availability::Live);
}

fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint {
        account: "swaps/app".into(),
        body_digest: [number; 32],
    }
}

/// Sends a request to the first target on which it may run, starting at the index
/// `attempt`, and returns the target's index. Another call with the same `number`
/// repeats the request as a caller would.
fn send(
    tracker: &mut SuspectTracker,
    number: u8,
    attempt: usize,
    targets: &[Arc<str>],
) -> Option<usize> {
    for offset in 0..targets.len() {
        let index = (attempt + offset) % targets.len();
        if tracker.may_run(&fingerprint(number), &targets[index], true) {
            let request_id = format!("request-{number}-{attempt}").into();
            tracker.record_start(&request_id, fingerprint(number), &targets[index]);
            return Some(index);
        }
    }
    None
}

/// One request crashes at most two targets before it is quarantined.
#[test]
fn crashes_per_request() {
    const CULPRIT: u8 = 0;
    let mut quarantined = 0;
    check_seeds(|u| {
        let mut targets: Vec<Arc<str>> = Vec::new();
        for index in 0..13 {
            targets.push(format!("engine-{index}").into());
        }
        let mut tracker = SuspectTracker::default();
        for number in 1..=60 {
            send(&mut tracker, number, u.choose_index(13)?, &targets);
        }
        let mut crashes = 0;
        for attempt in 0..20 {
            let Some(index) = send(
                &mut tracker,
                CULPRIT,
                attempt + u.choose_index(13)?,
                &targets,
            ) else {
                break;
            };
            crashes += 1;
            let suspected = tracker.record_crash(&targets[index]);
            for request in suspected {
                let number = request.fingerprint.body_digest[0];
                assert!(
                    number == CULPRIT || !request.is_quarantined,
                    "request {number}"
                );
                if number != CULPRIT {
                    // Other suspects are retried where they may run, and finish
                    // without a crash.
                    let retry = attempt + 100 * usize::from(number);
                    if send(&mut tracker, number, retry, &targets).is_some() {
                        tracker.record_finish(&format!("request-{number}-{retry}"));
                    }
                }
            }
        }
        assert_eq!(crashes, 2);
        quarantined += usize::from(tracker.is_quarantined(&fingerprint(CULPRIT)));
        Ok(())
    });
    assert_eq!(quarantined, SEEDS.len());
}

#[test]
fn suspects_run_separately() {
    let targets: [Arc<str>; 3] = ["a".into(), "b".into(), "c".into()];
    let mut tracker = SuspectTracker::default();
    for number in 1..=3 {
        tracker.record_start(
            &format!("request-{number}").into(),
            fingerprint(number),
            &targets[0],
        );
    }
    assert_eq!(tracker.record_crash("a").len(), 3);
    let placed: IndexSet<usize> = (1..=2)
        .filter_map(|number| send(&mut tracker, number, 1, &targets[1..]))
        .collect();
    assert_eq!(placed.len(), 2);
    assert!(!tracker.may_run(&fingerprint(3), "b", true));
    assert!(!tracker.may_run(&fingerprint(3), "a", false));
    assert!(tracker.may_run(&fingerprint(4), "b", false));
    tracker.record_finish("request-1-1");
    assert!(!tracker.is_suspect(&fingerprint(1)));
}

/// Each instance has its own targets for suspects, disjoint from those of the others.
#[test]
fn suspect_targets_disjoint() {
    let instances: Vec<Arc<str>> = (0..8)
        .map(|index| format!("entry-{index}").into())
        .collect();
    let targets: Vec<Arc<str>> = (0..13)
        .map(|index| format!("engine-{index}").into())
        .collect();
    let mut seen = IndexSet::new();
    for instance in &instances {
        let assigned = assigned_targets(instance, &instances, &targets);
        assert!(!assigned.is_empty());
        for target in assigned {
            assert!(seen.insert(target));
        }
    }
    assert_eq!(seen.len(), 13);
    assert!(assigned_targets("entry-9", &instances, &targets).is_empty());
}

/// A router checks the breakers of all targets but sends the request to only one of
/// them, so a check must not use up the probe.
#[test]
fn check_without_probe() {
    let mut breaker = Breaker::new(BreakerSettings::default());
    breaker.record(Observation::Crash, 0, 0.0);
    for now_ms in 500..600 {
        assert!(breaker.would_allow(now_ms));
    }
    assert!(breaker.allow(600));
    assert!(!breaker.would_allow(700), "one probe at a time");
    // A probe without an outcome blocks further ones only for 3 s.
    assert!(breaker.would_allow(3_600));
    breaker.record(
        Observation::Success {
            predicted_ms: 0.0,
            actual_ms: 0.0,
        },
        3_700,
        0.0,
    );
    assert!(!breaker.is_probing());
}
