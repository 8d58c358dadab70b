//! Division of a target's limit between instances.

use std::sync::Arc;

use lavenderwind::{
    peer::rendezvous_order,
    policy::target_notices::{SenderRank, TargetNotices, instance_rate_milli_per_s},
};

/// Time within which the users count requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Requests above 1.5 times the limit that the users allow in a window.
const SLACK: f64 = 5.0;
const STEP_MS: u64 = 10;

fn names(instances: usize) -> Vec<Arc<str>> {
    (0..instances)
        .map(|index| format!("entry-{index}").into())
        .collect()
}

fn rank(own: &Arc<str>, target: &str, names: &[Arc<str>]) -> SenderRank {
    let order = rendezvous_order(target, names);
    SenderRank {
        rank: order.iter().position(|name| *name == own).unwrap(),
        instances: names.len(),
    }
}

/// Returns when requests are sent to one target by instances that always have one to
/// send, after `idle_ms` without any.
fn sends(instances: usize, limit_per_s: f64, idle_ms: u64, until_ms: u64) -> Vec<u64> {
    let names = names(instances);
    let mut notices = vec![TargetNotices::default(); instances];
    for (own, noted) in names.iter().zip(&mut notices) {
        noted.set_limit(Some(limit_per_s), rank(own, "i-1", &names), 0);
    }
    let mut sent = Vec::new();
    for now_ms in (idle_ms..until_ms).step_by(STEP_MS as usize) {
        for noted in &mut notices {
            if noted.admits(now_ms) && noted.take(now_ms) {
                sent.push(now_ms);
            }
        }
    }
    sent
}

fn busiest_window(sent: &[u64]) -> usize {
    let mut busiest = 0;
    for (index, start) in sent.iter().enumerate() {
        let in_window = sent[index..].iter().filter(|at| **at - *start < WINDOW_MS);
        busiest = busiest.max(in_window.count());
    }
    busiest
}

/// Guards against a limit that a fleet exceeds because each instance may send a little.
#[test]
fn limit_kept_at_size() {
    for instances in [1, 3, 8, 66, 320] {
        for limit_per_s in [0.2, 1.0, 2.2, 7.5, 60.0, 400.0] {
            let sent = sends(instances, limit_per_s, 30_000, 60_000);
            let allowed = 1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + SLACK;
            let busiest = busiest_window(&sent);
            assert!(
                busiest as f64 <= allowed,
                "{instances} instances, limit {limit_per_s}: {busiest} of {allowed}"
            );
        }
    }
}

/// Guards against a limit of a few requests that is divided until nobody may send.
#[test]
fn limit_is_used() {
    for instances in [1, 8, 320] {
        for limit_per_s in [1.0, 2.2, 60.0] {
            let sent = sends(instances, limit_per_s, 0, 40_000).len() as f64;
            let share = sent / (limit_per_s * 40.0);
            assert!(
                share >= 0.75,
                "{instances} instances, limit {limit_per_s}: {share} used"
            );
        }
    }
}

/// A limit of 0 leaves one request now and then, whose answer tells that it has ended.
#[test]
fn zero_limit_probed() {
    let sent = sends(8, 0.0, 0, 60_000).len();
    assert!((1..=6).contains(&sent), "{sent} requests in a minute");
}

/// Two instances that see the same fleet agree on who sends.
#[test]
fn few_instances_send() {
    let names = names(320);
    for target in ["i-1", "i-2", "i-3"] {
        let senders = names
            .iter()
            .filter(|own| instance_rate_milli_per_s(2.0, rank(own, target, &names)) > 0);
        assert_eq!(senders.count(), 4, "{target}");
    }
}

#[test]
fn small_changes_not_reported() {
    let only = SenderRank {
        rank: 0,
        instances: 1,
    };
    let mut notices = TargetNotices::default();
    assert!(notices.set_limit(Some(2.0), only, 0));
    assert!(!notices.set_limit(Some(2.01), only, 1));
    assert!(notices.set_limit(Some(3.0), only, 2));
    assert!(notices.set_limit(None, only, 3));
    assert!(!notices.set_limit(None, only, 4));
    assert!(notices.admits(4));
}
