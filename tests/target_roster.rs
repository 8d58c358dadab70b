//! Which targets take requests.

use std::time::Duration;

use lavenderwind::roster::{Roster, Target, TargetState};
use tokio::time::Instant;

fn target(started_ms: u64, state: TargetState) -> Target {
    Target {
        id: "i-1".into(),
        started_ms,
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

#[test]
fn draining_and_restarted() {
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
        "another start under the same name"
    );
}

/// Found by a hunt (scale-2 of Sanobato, seed 815179358655): a target that had
/// left during a cut got requests until the next read of the store ended.
#[test]
fn lapsed_in_an_outage() {
    let now = Instant::now();
    let expires_at = now + Duration::from_millis(1_700);
    let mut roster = Roster::default();
    let known = target(1, TargetState::Ready);
    roster.insert(known.clone());
    assert!(roster.expire_at("i-1", expires_at));
    assert!(!roster.expire_at("i-2", expires_at));
    assert!(roster.is_ready(&known, now));
    // No read is needed for the time to pass, and a later lapse adds none.
    assert!(!roster.is_ready(&known, expires_at));
    roster.expire_at("i-1", expires_at + Duration::from_secs(9));
    assert_eq!(roster.ready("desk", expires_at).count(), 0);
    // It registers again.
    roster.insert(known.clone());
    assert!(roster.is_ready(&known, expires_at));
    roster.expire_at("i-1", expires_at);
    assert_eq!(roster.remove_expired(expires_at).len(), 1);
    assert_eq!(roster.iter().count(), 0);
}
