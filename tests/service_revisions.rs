//! Acceptance and refusal of service revisions, and their history.

mod records;

use lavenderwind::{
    ledger::{ApplyResult, Rejection},
    log::Offset,
};
use records::{Fold, KeySpec, Writer, document, key_digest, revise_service};

fn valid_key(secret: u8) -> KeySpec {
    KeySpec {
        id: secret,
        secret,
        revoked: false,
    }
}

fn revoked(secret: u8) -> KeySpec {
    KeySpec {
        revoked: true,
        ..valid_key(secret)
    }
}

fn refusal(apply_result: ApplyResult) -> String {
    match apply_result {
        ApplyResult::Rejected(rejection) => rejection.to_string(),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn racing_operators() {
    let mut fold = Fold::default();
    let mut first = Writer::new("operator-1");
    let mut second = Writer::new("operator-2");
    fold.accept(
        &mut first,
        revise_service("swaps", 0, &document("swaps", &[])),
    );
    fold.accept(
        &mut first,
        revise_service("swaps", 1, &document("swaps", &[valid_key(1)])),
    );
    let apply_result = fold.push(
        &mut second,
        revise_service("swaps", 1, &document("swaps", &[])),
    );
    let conflict = Rejection::RevisionConflict {
        base: 1,
        current: 2,
    };
    assert_eq!(apply_result, ApplyResult::Rejected(conflict));
    assert!(fold.ledger.key(&key_digest(1)).is_some());
    assert_eq!(fold.ledger.configured_offset(), Offset(2));
    let history = fold.ledger.history("swaps");
    let revisions: Vec<_> = history.iter().map(|entry| entry.revision).collect();
    assert_eq!(revisions, [Some(1), Some(2), None]);
    assert_eq!(&*history[2].writer, "operator-2");
    assert_eq!(
        &*history[2].refusal,
        "the document revises revision 1, but revision 2 is current"
    );
}

#[test]
fn revoked_key() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("operator-1");
    fold.accept(
        &mut writer,
        revise_service("swaps", 0, &document("swaps", &[valid_key(1)])),
    );
    fold.accept(
        &mut writer,
        revise_service("swaps", 1, &document("swaps", &[revoked(1)])),
    );
    assert_eq!(fold.ledger.key(&key_digest(1)), None);
    // The key stays revoked after a revision without it, under another identifier
    // and in another service.
    fold.accept(
        &mut writer,
        revise_service("swaps", 2, &document("swaps", &[])),
    );
    let renamed = KeySpec {
        id: 9,
        ..valid_key(1)
    };
    let cases = [
        revise_service("swaps", 3, &document("swaps", &[valid_key(1)])),
        revise_service("swaps", 3, &document("swaps", &[renamed])),
        revise_service("steel", 0, &document("steel", &[valid_key(1)])),
    ];
    for case in cases {
        let reason = refusal(fold.push(&mut writer, case));
        assert!(reason.contains("was revoked"), "{reason}");
        assert_eq!(fold.ledger.key(&key_digest(1)), None);
    }
    assert!(fold.ledger.key_revoked(&key_digest(1)));
    assert!(fold.ledger.service("steel").is_none());
}

#[test]
fn service_conflicts_refused() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        reason: &'static str,
    }
    let cases = [
        Case {
            name: "path",
            from: "path: /steel",
            to: "path: /swaps",
            reason: "path `/swaps` also belongs to service `swaps`",
        },
        Case {
            name: "kind",
            from: "role: plain",
            to: "role: plain\n  checks_fencing: true",
            reason: "target kind `app` is described differently by service `swaps`",
        },
        Case {
            name: "key",
            from: "0202020202020202020202020202020202020202020202020202020202020202",
            to: "0101010101010101010101010101010101010101010101010101010101010101",
            reason: "key `key-2` is also a key of service `swaps`",
        },
        Case {
            name: "name",
            from: "service: steel",
            to: "service: other",
            reason: "the document describes service `other`",
        },
    ];
    let mut fold = Fold::default();
    let mut writer = Writer::new("operator-1");
    fold.accept(
        &mut writer,
        revise_service("swaps", 0, &document("swaps", &[valid_key(1)])),
    );
    let valid = document("steel", &[valid_key(2)]);
    for case in cases {
        assert!(valid.contains(case.from), "{}", case.name);
        let text = valid.replacen(case.from, case.to, 1);
        let reason = refusal(fold.push(&mut writer, revise_service("steel", 0, &text)));
        assert!(reason.starts_with(case.reason), "{}: {reason}", case.name);
    }
    fold.accept(&mut writer, revise_service("steel", 0, &valid));
    assert_eq!(fold.ledger.services().count(), 2);
}

#[test]
fn history_bounded() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("operator-1");
    fold.accept(
        &mut writer,
        revise_service("swaps", 0, &document("swaps", &[])),
    );
    for number in 0..200 {
        refusal(fold.push(&mut writer, revise_service("swaps", 0, "")));
        let name = format!("typo-{number}");
        refusal(fold.push(&mut writer, revise_service(&name, 0, "")));
    }
    assert_eq!(fold.ledger.history("swaps").len(), 32);
    assert!(fold.ledger.history("typo-0").is_empty());
    assert_eq!(fold.ledger.history("typo-199").len(), 1);
    assert!(fold.ledger.encode().len() < 64 << 10);
}
