//! Tests when an instance is fresh enough to serve requests that need an API
//! key.

use std::time::Duration;

use lavenderwind::{
    log::Offset,
    peer::freshness::{Freshness, FreshnessInput, PeerLogPosition},
};
use tokio::time::Instant;

/// Maximum age of evidence, in milliseconds.
const MAX_AGE_MS: u64 = 2_500;

/// A log position reported by a peer.
struct Position {
    age_ms: u64,
    end_offset: u64,
    instances: usize,
}

struct Case {
    name: &'static str,
    complete: bool,
    read_age_ms: u64,
    known_age_ms: u64,
    applied_offset: u64,
    required_confirmations: Option<usize>,
    positions: &'static [Position],
    expected: Freshness,
}

/// An instance that cannot reach the log, with two listed peers.
const CUT_OFF: Case = Case {
    name: "",
    complete: true,
    read_age_ms: 60_000,
    known_age_ms: 60_000,
    applied_offset: 10,
    required_confirmations: Some(2),
    positions: &[],
    expected: Freshness::Stale,
};

const CASES: &[Case] = &[
    Case {
        name: "reads the log",
        read_age_ms: 100,
        known_age_ms: 100,
        expected: Freshness::ByLog,
        ..CUT_OFF
    },
    Case {
        name: "reads the log, exactly at the maximum age",
        read_age_ms: MAX_AGE_MS,
        known_age_ms: MAX_AGE_MS,
        expected: Freshness::ByLog,
        ..CUT_OFF
    },
    Case {
        name: "last read of the log just over the maximum age",
        read_age_ms: MAX_AGE_MS + 1,
        known_age_ms: MAX_AGE_MS + 1,
        ..CUT_OFF
    },
    Case {
        name: "reads the log, with a ledger that lacks expired records",
        complete: false,
        read_age_ms: 100,
        known_age_ms: 100,
        ..CUT_OFF
    },
    Case {
        name: "no access to the log, peers relay records",
        known_age_ms: 700,
        expected: Freshness::ByRelay,
        ..CUT_OFF
    },
    Case {
        name: "no access to the log, relayed records are too old",
        known_age_ms: 2_600,
        ..CUT_OFF
    },
    Case {
        name: "no access to the log, no peer reports",
        ..CUT_OFF
    },
    Case {
        name: "log outage: every listed instance confirms",
        positions: &[
            Position {
                age_ms: 300,
                end_offset: 10,
                instances: 1,
            },
            Position {
                age_ms: 600,
                end_offset: 8,
                instances: 1,
            },
        ],
        expected: Freshness::ByOutage,
        ..CUT_OFF
    },
    Case {
        name: "one listed instance does not report",
        positions: &[Position {
            age_ms: 300,
            end_offset: 10,
            instances: 1,
        }],
        ..CUT_OFF
    },
    Case {
        name: "one report is too old",
        positions: &[
            Position {
                age_ms: 300,
                end_offset: 10,
                instances: 1,
            },
            Position {
                age_ms: 2_600,
                end_offset: 10,
                instances: 1,
            },
        ],
        ..CUT_OFF
    },
    Case {
        name: "one instance knows a record beyond the applied offset",
        positions: &[
            Position {
                age_ms: 300,
                end_offset: 10,
                instances: 1,
            },
            Position {
                age_ms: 300,
                end_offset: 11,
                instances: 1,
            },
        ],
        ..CUT_OFF
    },
    Case {
        name: "more reports than required, one of them beyond the applied offset",
        required_confirmations: Some(1),
        positions: &[
            Position {
                age_ms: 300,
                end_offset: 10,
                instances: 1,
            },
            Position {
                age_ms: 300,
                end_offset: 11,
                instances: 1,
            },
        ],
        ..CUT_OFF
    },
    Case {
        name: "a relay covers its whole group",
        required_confirmations: Some(16),
        positions: &[Position {
            age_ms: 300,
            end_offset: 10,
            instances: 16,
        }],
        expected: Freshness::ByOutage,
        ..CUT_OFF
    },
    Case {
        name: "a relay covers a part of its group",
        required_confirmations: Some(16),
        positions: &[Position {
            age_ms: 300,
            end_offset: 10,
            instances: 15,
        }],
        ..CUT_OFF
    },
    Case {
        name: "the only instance, without peers to confirm the outage",
        required_confirmations: Some(0),
        ..CUT_OFF
    },
    Case {
        name: "the live list was never read",
        required_confirmations: None,
        positions: &[Position {
            age_ms: 300,
            end_offset: 10,
            instances: 1,
        }],
        ..CUT_OFF
    },
    Case {
        name: "log outage, with an incomplete ledger",
        complete: false,
        required_confirmations: Some(1),
        positions: &[Position {
            age_ms: 300,
            end_offset: 10,
            instances: 1,
        }],
        ..CUT_OFF
    },
];

#[test]
fn freshness_follows_evidence() {
    let start = Instant::now();
    let now = start + Duration::from_secs(120);
    for case in CASES {
        let ago = |age_ms| now - Duration::from_millis(age_ms);
        let mut positions = Vec::new();
        for position in case.positions {
            positions.push(PeerLogPosition {
                name: "b".into(),
                reported_after: ago(position.age_ms),
                end_offset: Offset(position.end_offset),
                instances: position.instances,
            });
        }
        let input = FreshnessInput {
            now,
            max_age: Duration::from_millis(MAX_AGE_MS),
            complete: case.complete,
            last_read_at: ago(case.read_age_ms),
            current_as_of: ago(case.known_age_ms),
            applied_offset: Offset(case.applied_offset),
            required_confirmations: case.required_confirmations,
            peer_positions: &positions,
        };
        let found = input.evaluate();
        assert_eq!(found, case.expected, "{}", case.name);
        let serves = case.expected != Freshness::Stale;
        assert_eq!(found.may_serve_keyed(), serves, "{}", case.name);
    }
}
