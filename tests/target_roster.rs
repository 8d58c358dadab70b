//! Tests of which targets of the roster accept requests.

use std::time::Duration;

use lavenderwind::roster::{Roster, Target, TargetState};
use tokio::time::Instant;

fn target(started_at_unix_ms: u64, state: TargetState) -> Target {
    Target {
        id: "i-1".into(),
        started_at_unix_ms,
        service: "desk".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "d1".into(),
        slots: 6,
        state,
        cold_until: None,
        first_seen_at: Instant::now(),
        role: None,
        reclaimable: false,
        orders: 0,
        expires_at: None,
    }
}

/// A draining target is not ready, nor is a former start of a restarted target.
#[test]
fn draining_not_ready() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let first = target(1, TargetState::Ready);
    roster.insert(first.clone());
    assert!(roster.is_ready(&first, now));
    assert_eq!(roster.ready("desk", now).count(), 1);
    assert_eq!(roster.ready("other", now).count(), 0);
    roster.insert(target(1, TargetState::Draining));
    assert!(!roster.is_ready(&first, now));
    roster.insert(target(2, TargetState::Ready));
    assert!(
        !roster.is_ready(&first, now),
        "another start with the same identifier"
    );
}

/// Guards against requests to a target that left during a network partition. Such a
/// target got requests until the next read of the store returned. Found by fault
/// injection (scale-2 of Sanobato, seed 815179358655).
#[test]
fn missing_target_expires() {
    let now = Instant::now();
    let expires_at = now + Duration::from_millis(1_700);
    let mut roster = Roster::default();
    let known = target(1, TargetState::Ready);
    roster.insert(known.clone());
    assert!(roster.expire_at("i-1", expires_at));
    assert!(!roster.expire_at("i-2", expires_at));
    assert!(roster.is_ready(&known, now));
    // The target expires without a further read of the store, and a second call of
    // `expire_at` does not postpone the expiry.
    assert!(!roster.is_ready(&known, expires_at));
    roster.expire_at("i-1", expires_at + Duration::from_secs(9));
    assert_eq!(roster.ready("desk", expires_at).count(), 0);
    // The target registers again.
    roster.insert(known.clone());
    assert!(roster.is_ready(&known, expires_at));
    roster.expire_at("i-1", expires_at);
    assert_eq!(roster.remove_expired(expires_at).len(), 1);
    assert_eq!(roster.iter().count(), 0);
}
