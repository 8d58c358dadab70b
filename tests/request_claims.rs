//! Ledger rules for claims on non-repeatable requests, and for the quarantine of
//! requests that crash targets.

mod records;

use lavenderwind::ledger::{ApplyResult, ClaimState, MAX_IDEMPOTENCY_KEY_BYTES, MAX_OUTCOME_BYTES};
use records::{
    Fold, Writer, claim_request, crash_suspect, release_claim, request_outcome, unknown_outcome,
};

const ACCOUNT: &str = "steel/nave";
const KEY: &str = "order-1";

/// Ledger with one claim.
struct ClaimFixture {
    fold: Fold,
    /// Instance that made the claim.
    claimant: Writer,
    /// Instance that did not make the claim.
    other: Writer,
    /// Log offset of the claim.
    offset: u64,
}

/// Claims the request with the idempotency key [`KEY`].
fn claim_order() -> ClaimFixture {
    let mut fold = Fold::default();
    let mut claimant = Writer::new("entry-1");
    let offset = fold.accept(&mut claimant, claim_request(ACCOUNT, KEY, &[1]));
    ClaimFixture {
        fold,
        claimant,
        other: Writer::new("entry-2"),
        offset,
    }
}

impl ClaimFixture {
    /// Returns the state of the claim on the key; `None` if there is no claim.
    fn state(&self) -> Option<&ClaimState> {
        self.fold
            .ledger
            .claim(ACCOUNT, KEY)
            .map(|entry| &entry.state)
    }
}

/// Only the first claim of an idempotency key within an account is accepted.
#[test]
fn first_claim_accepted() {
    let mut fixture = claim_order();
    let again = claim_request(ACCOUNT, KEY, &[1]);
    assert!(!fixture.fold.push(&mut fixture.other, again).is_accepted());
    let entry = fixture.fold.ledger.claim(ACCOUNT, KEY).unwrap();
    assert_eq!(&*entry.instance, "entry-1");
    // The same idempotency key under another account identifies another request.
    fixture
        .fold
        .accept(&mut fixture.other, claim_request("steel/norte", KEY, &[1]));
    assert_eq!(fixture.fold.ledger.claim_count(), 2);
}

/// Only the claimant releases a claim, and only its current one.
#[test]
fn claimant_releases_claim() {
    let mut fixture = claim_order();
    let offset = fixture.offset;
    let cases = [
        release_claim(ACCOUNT, KEY, offset + 1),
        release_claim(ACCOUNT, "order-2", offset),
        release_claim("steel/norte", KEY, offset),
    ];
    for case in cases {
        assert!(!fixture.fold.push(&mut fixture.claimant, case).is_accepted());
    }
    let foreign = release_claim(ACCOUNT, KEY, offset);
    assert!(
        !fixture
            .fold
            .push(&mut fixture.other, foreign.clone())
            .is_accepted()
    );
    fixture.fold.accept(&mut fixture.claimant, foreign);
    assert_eq!(fixture.state(), None);
    fixture
        .fold
        .accept(&mut fixture.other, claim_request(ACCOUNT, KEY, &[2]));
    // A delayed copy of the release contains the offset of the old claim and must not
    // release the new claim.
    let late = release_claim(ACCOUNT, KEY, offset);
    assert!(!fixture.fold.push(&mut fixture.claimant, late).is_accepted());
    assert_eq!(fixture.state(), Some(&ClaimState::Running));
}

#[test]
fn recorded_outcome_final() {
    let mut fixture = claim_order();
    let offset = fixture.offset;
    let forged = request_outcome(ACCOUNT, KEY, offset, "forged");
    assert!(!fixture.fold.push(&mut fixture.other, forged).is_accepted());
    fixture.fold.accept(
        &mut fixture.claimant,
        request_outcome(ACCOUNT, KEY, offset, "ten sheets"),
    );
    let finished = ClaimState::Finished {
        status: 200,
        content_type: "text/plain".into(),
        body: "ten sheets".into(),
    };
    let later = [
        request_outcome(ACCOUNT, KEY, offset, "other"),
        unknown_outcome(ACCOUNT, KEY, offset),
        release_claim(ACCOUNT, KEY, offset),
    ];
    for body in later {
        assert!(!fixture.fold.push(&mut fixture.claimant, body).is_accepted());
        assert_eq!(fixture.state(), Some(&finished));
    }
}

/// The claimant replaces an unknown outcome by the actual one.
#[test]
fn unknown_outcome_replaced() {
    let mut fixture = claim_order();
    let offset = fixture.offset;
    fixture
        .fold
        .accept(&mut fixture.other, unknown_outcome(ACCOUNT, KEY, offset));
    assert_eq!(fixture.state(), Some(&ClaimState::Unknown));
    let again = claim_request(ACCOUNT, KEY, &[1]);
    assert!(!fixture.fold.push(&mut fixture.other, again).is_accepted());
    fixture.fold.accept(
        &mut fixture.claimant,
        request_outcome(ACCOUNT, KEY, offset, "done"),
    );
    assert!(matches!(fixture.state(), Some(ClaimState::Finished { .. })));
}

/// Invalid claims and oversized outcomes are rejected.
#[test]
fn invalid_records_rejected() {
    let long = "k".repeat(MAX_IDEMPOTENCY_KEY_BYTES + 1);
    let cases = [
        claim_request("", KEY, &[1]),
        claim_request(ACCOUNT, "", &[1]),
        claim_request(ACCOUNT, &long, &[1]),
        claim_request(ACCOUNT, KEY, &[]),
        claim_request(ACCOUNT, KEY, &[0; 65]),
    ];
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    for case in cases {
        assert!(matches!(
            fold.push(&mut writer, case),
            ApplyResult::Rejected(_)
        ));
    }
    assert_eq!(fold.ledger.claim_count(), 0);
    let mut fixture = claim_order();
    let body = "x".repeat(MAX_OUTCOME_BYTES + 1);
    let long = request_outcome(ACCOUNT, KEY, fixture.offset, &body);
    assert!(!fixture.fold.push(&mut fixture.claimant, long).is_accepted());
    assert_eq!(fixture.state(), Some(&ClaimState::Running));
}

/// A request is quarantined after the crashes of two boots of a target.
#[test]
fn quarantine_after_crashes() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    let mut crash = |target, boot| {
        fold.accept(&mut writer, crash_suspect(ACCOUNT, &[7], target, boot));
        fold.ledger.is_quarantined(ACCOUNT, &[7])
    };
    assert!(!crash("engine-1", "boot-1"));
    // A second report of the same crash is not counted.
    assert!(!crash("engine-1", "boot-1"));
    assert!(crash("engine-1", "boot-2"));
    assert!(!fold.ledger.is_quarantined(ACCOUNT, &[8]));
    assert!(!fold.ledger.is_quarantined("steel/norte", &[7]));
    assert_eq!(fold.ledger.crash_count(ACCOUNT, &[7]), 2);
}
