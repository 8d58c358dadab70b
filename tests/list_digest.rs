//! Digest of the list of targets.

use std::time::Duration;

use lavenderwind::{platform::read_target, roster::Roster};
use serde_json::{Value, json};
use tokio::time::Instant;

fn entry() -> Value {
    json!({
        "service": "desk", "address": "127.0.0.1:2000", "zone": "z1", "version": "v1",
        "slots": 6, "state": "ready", "cold_left_ms": 900, "seq": 0,
        "born": 1_700_000_000_000u64, "stage": "both", "spot": false,
    })
}

fn roster(entries: &[(&str, &Value)]) -> Roster {
    let mut roster = Roster::default();
    for (id, entry) in entries {
        let bytes = entry.to_string().into_bytes();
        roster.insert(read_target(id, &bytes, Instant::now()).unwrap());
    }
    roster
}

/// Guards against a change that other instances don't see as one, and against reads because
/// of values that change with each entry.
#[test]
fn relevant_fields() {
    let digest = roster(&[("a", &entry())]).digest(0);
    for (field, value) in [
        ("service", json!("models")),
        ("address", json!("127.0.0.1:2001")),
        ("zone", json!("z2")),
        ("slots", json!(7)),
        ("state", json!("draining")),
        ("born", json!(1_700_000_000_001u64)),
        ("stage", json!("decode")),
        ("stage", Value::Null),
        ("spot", json!(true)),
    ] {
        let mut changed = entry();
        changed[field] = value;
        assert_ne!(roster(&[("a", &changed)]).digest(0), digest, "{field}");
    }
    for (field, value) in [
        ("version", json!("v2")),
        ("seq", json!(5)),
        ("cold_left_ms", json!(0)),
    ] {
        let mut changed = entry();
        changed[field] = value;
        assert_eq!(roster(&[("a", &changed)]).digest(0), digest, "{field}");
    }
    assert_ne!(roster(&[("b", &entry())]).digest(0), digest);
    assert_ne!(roster(&[]).digest(0), digest);
}

/// Guards against confirmations between instances that know different eras of the store.
#[test]
fn eras_differ() {
    let roster = roster(&[("a", &entry())]);
    assert_ne!(roster.digest(0), roster.digest(1));
}

/// Guards against digests that depend on the order of the entries, or on a target whose entry
/// is missing.
#[test]
fn same_content() {
    let (first, mut second) = (entry(), entry());
    second["address"] = json!("127.0.0.1:2001");
    let digest = roster(&[("a", &first), ("b", &second)]).digest(0);
    let mut other = roster(&[("c", &first), ("b", &second), ("a", &first)]);
    other.expire_at("c", Instant::now() + Duration::from_secs(9));
    assert_eq!(other.digest(0), digest);
}

/// Guards against a digest that differs from that of other versions of the program, so that
/// instances confirm nothing to each other during an upgrade.
#[test]
fn stable_digest() {
    let digest = roster(&[("a", &entry())]).digest(0);
    assert_eq!(digest, 0xd36c_fa9c_0c94_4110);
}
