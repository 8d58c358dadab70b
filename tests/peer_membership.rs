//! Tests the membership computed from the live list and from heartbeats.

use std::{sync::Arc, time::Duration};

use lavenderwind::{
    infra::protocol::{LiveInstance, LiveState},
    log::Offset,
    peer::{
        freshness::Quorum,
        membership::{Membership, PeerIdentity},
    },
};
use tokio::time::Instant;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// An event that the instance `a` observes about the instance `b`.
enum Step {
    /// The live list contains these incarnations of `b`.
    List(&'static [(u64, LiveState)]),
    /// A heartbeat of this incarnation of `b` arrives and is expected to be
    /// accepted or ignored.
    Heartbeat { incarnation: u64, accepted: bool },
    /// A heartbeat of this incarnation arrives and states that `b` shuts down.
    Leaving { incarnation: u64 },
    /// Time passes, in milliseconds.
    Wait(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Expected incarnation and leaving flag of `b`; `None` if it is not
    /// running.
    live: Option<(u64, bool)>,
}

use LiveState::{Leaving, Live};
use Step::{Heartbeat, List, Wait};

const CASES: &[Case] = &[
    Case {
        name: "listed, without any heartbeat",
        steps: &[List(&[(1, Live)])],
        live: Some((1, false)),
    },
    Case {
        name: "heartbeat before the list contains it",
        steps: &[
            List(&[]),
            Heartbeat {
                incarnation: 1,
                accepted: true,
            },
        ],
        live: Some((1, false)),
    },
    Case {
        name: "heartbeat, then silence, and not listed",
        steps: &[
            Heartbeat {
                incarnation: 1,
                accepted: true,
            },
            Wait(1_500),
        ],
        live: None,
    },
    Case {
        name: "silent but listed",
        steps: &[
            List(&[(1, Live)]),
            Heartbeat {
                incarnation: 1,
                accepted: true,
            },
            Wait(60_000),
        ],
        live: Some((1, false)),
    },
    Case {
        name: "heartbeat after removal from the list",
        steps: &[
            List(&[(1, Live)]),
            List(&[]),
            Heartbeat {
                incarnation: 1,
                accepted: true,
            },
            Wait(500),
        ],
        live: Some((1, false)),
    },
    Case {
        name: "removed from the list and silent",
        steps: &[
            List(&[(1, Live)]),
            Heartbeat {
                incarnation: 1,
                accepted: true,
            },
            List(&[]),
            Wait(1_500),
        ],
        live: None,
    },
    Case {
        name: "an old incarnation's heartbeat after the list contains a new one",
        steps: &[
            List(&[(2, Live)]),
            Heartbeat {
                incarnation: 1,
                accepted: false,
            },
        ],
        live: Some((2, false)),
    },
    Case {
        name: "an old incarnation's heartbeat after a newer heartbeat",
        steps: &[
            Heartbeat {
                incarnation: 2,
                accepted: true,
            },
            Heartbeat {
                incarnation: 1,
                accepted: false,
            },
        ],
        live: Some((2, false)),
    },
    Case {
        name: "a list that lags behind a restart",
        steps: &[
            Heartbeat {
                incarnation: 2,
                accepted: true,
            },
            List(&[(1, Leaving)]),
        ],
        live: Some((2, false)),
    },
    Case {
        name: "a lagging list does not keep a silent newer incarnation alive",
        steps: &[
            Heartbeat {
                incarnation: 2,
                accepted: true,
            },
            List(&[(1, Live)]),
            Wait(1_500),
        ],
        live: None,
    },
    Case {
        name: "leaving according to the list",
        steps: &[List(&[(1, Leaving)])],
        live: Some((1, true)),
    },
    Case {
        name: "leaving according to its heartbeat, while the list lags",
        steps: &[
            List(&[(1, Live)]),
            Step::Leaving { incarnation: 1 },
            List(&[(1, Live)]),
        ],
        live: Some((1, true)),
    },
    Case {
        name: "a newer incarnation does not inherit the leaving flag",
        steps: &[
            Step::Leaving { incarnation: 1 },
            Heartbeat {
                incarnation: 2,
                accepted: true,
            },
        ],
        live: Some((2, false)),
    },
];

fn entry(incarnation: u64, state: LiveState) -> LiveInstance {
    LiveInstance {
        name: "b".into(),
        incarnation,
        failure_domain: "d2".into(),
        peer_address: "127.0.0.1:1".into(),
        admin_address: "127.0.0.1:2".into(),
        state,
    }
}

fn sender(name: &str, incarnation: u64) -> PeerIdentity {
    PeerIdentity {
        name: name.into(),
        incarnation,
        failure_domain: "d2".into(),
    }
}

/// The live list, heartbeats and silence decide whether an instance is a live member.
#[test]
fn membership_after_events() {
    for case in CASES {
        let mut now = Instant::now();
        let mut membership = Membership::new("a".into(), SILENCE_TIMEOUT);
        for step in case.steps {
            match *step {
                List(entries) => {
                    let list: Vec<_> = entries
                        .iter()
                        .map(|&(incarnation, state)| entry(incarnation, state))
                        .collect();
                    membership.apply_list(&list);
                }
                Heartbeat {
                    incarnation,
                    accepted: expected,
                } => {
                    let accepted = membership.apply_heartbeat(
                        &sender("b", incarnation),
                        Offset(5),
                        false,
                        now,
                    );
                    assert_eq!(accepted, expected, "{}", case.name);
                }
                Step::Leaving { incarnation } => {
                    let sender = sender("b", incarnation);
                    membership.apply_heartbeat(&sender, Offset(5), true, now);
                }
                Wait(ms) => now += Duration::from_millis(ms),
            }
        }
        let live = membership.live(now);
        let found = live.first().map(|peer| (peer.incarnation, peer.leaving));
        assert_eq!(found, case.live, "{}", case.name);
        let terminated = membership.expire(now);
        assert_eq!(membership.live(now), live, "{}", case.name);
        assert_eq!(terminated.is_empty(), case.live.is_some(), "{}", case.name);
    }
}

/// Guards against a quorum that cannot be reached during restarts: while the
/// store is unavailable and half of the instances shut down, the remaining ones
/// must be able to confirm the outage among themselves.
#[test]
fn quorum_excludes_leaving() {
    let now = Instant::now();
    let mut membership = Membership::new("a".into(), Duration::from_secs(3));
    let mut list = Vec::new();
    for name in ["b", "c", "d", "e", "f"] {
        let mut listed = entry(1, LiveState::Live);
        listed.name = name.into();
        list.push(listed);
    }
    membership.apply_list(&list);
    assert_eq!(Quorum::Majority.required(membership.count_active()), 3);
    for name in ["d", "e", "f"] {
        assert!(membership.apply_heartbeat(&sender(name, 1), Offset(0), true, now));
    }
    assert_eq!(membership.listed().count(), 5);
    assert_eq!(Quorum::Majority.required(membership.count_active()), 1);
    // A restarted instance is counted again.
    assert!(membership.observe_frame(&sender("d", 2), now));
    assert_eq!(membership.count_active(), 3);
}

#[test]
fn own_name_ignored() {
    let now = Instant::now();
    let mut membership = Membership::new("b".into(), SILENCE_TIMEOUT);
    membership.apply_list(&[entry(1, Live)]);
    assert!(!membership.observe_frame(&sender("b", 9), now));
    assert!(membership.live(now).is_empty());
    assert!(membership.has_live_list());
}

#[test]
fn restart_resets_offset() {
    let now = Instant::now();
    let mut membership = Membership::new("a".into(), SILENCE_TIMEOUT);
    membership.apply_heartbeat(&sender("b", 1), Offset(9), false, now);
    let name: Arc<str> = "b".into();
    assert_eq!(membership.get(&name).unwrap().applied_offset, Offset(9));
    membership.apply_list(&[entry(2, Live)]);
    assert_eq!(membership.get(&name).unwrap().applied_offset, Offset(0));
}

/// Guards against an instance that is taken for gone because its first record in the log
/// arrives before the live list contains it and before its first heartbeat.
#[test]
fn unknown_may_run() {
    let name: Arc<str> = "b".into();
    let mut now = Instant::now();
    let mut membership = Membership::new("a".into(), SILENCE_TIMEOUT);
    membership.apply_list(&[]);
    assert!(membership.may_run(&name, 2, now));
    now += SILENCE_TIMEOUT / 2;
    assert!(membership.may_run(&name, 2, now));
    assert!(!membership.may_run(&name, 1, now));
    membership.apply_list(&[entry(2, Live)]);
    now += SILENCE_TIMEOUT;
    assert!(membership.may_run(&name, 2, now));
    assert!(!membership.may_run(&name, 1, now));
    // The list lags behind a restart.
    assert!(membership.may_run(&name, 3, now));
}

/// Guards against callers that wait for an instance that has terminated.
#[test]
fn terminated_not_running() {
    let name: Arc<str> = "b".into();
    let mut now = Instant::now();
    let mut membership = Membership::new("a".into(), SILENCE_TIMEOUT);
    membership.apply_list(&[entry(2, Live)]);
    assert!(membership.may_run(&name, 2, now));
    membership.apply_list(&[]);
    assert!(!membership.may_run(&name, 2, now));
    assert_eq!(membership.expire(now).len(), 1);
    assert!(!membership.may_run(&name, 2, now));
    assert!(!membership.may_run(&name, 1, now));
    // An instance that is never seen counts as terminated once it has been unknown for
    // the silence timeout, and is not waited for again.
    assert!(membership.may_run(&name, 3, now));
    now += SILENCE_TIMEOUT;
    assert!(!membership.may_run(&name, 3, now));
    now += SILENCE_TIMEOUT;
    assert!(!membership.may_run(&name, 3, now));
}
