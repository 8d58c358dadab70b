//! Tests of decoding configurations and target entries from the platform's
//! store.

mod platform_support;

use std::{sync::Arc, time::Duration};

use lavenderwind::{
    catalog::{Quota, QuotaUnit, RouteKind},
    platform::{read_catalog, read_target},
    target::protocol::EngineRole,
};
use platform_support::configuration;
use serde_json::{Value, json};
use tokio::time::Instant;

fn bytes(value: &Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

/// A route is selected by host and longest path prefix.
#[test]
fn route_selection() {
    let mut config = configuration(3);
    let mut deeper = config["routes"][0].clone();
    deeper["name"] = json!("deeper");
    deeper["path_prefix"] = json!("/order/deep/");
    config["routes"].as_array_mut().unwrap().push(deeper);
    let catalog = read_catalog(&bytes(&config)).unwrap();
    let cases = [
        ("desk.example", "/order/1", Some("order")),
        ("desk.example", "/order/deep/1", Some("deeper")),
        ("desk.example", "/order", None),
        ("desk.example", "/other/", None),
        ("other.example", "/order/1", None),
    ];
    for (host, path, expected) in cases {
        let found = catalog.route(host, path).map(|route| &*route.name);
        assert_eq!(found, expected, "{host}{path}");
    }
    assert_eq!(catalog.version(), 3);
    assert_eq!(catalog.limits().idle_timeout, Duration::from_secs(10));
}

/// The route kind decides whether requests are repeatable.
#[test]
fn route_kind_repeatability() {
    let cases = [
        ("safe", false, RouteKind::Idempotent, true),
        ("unsafe", false, RouteKind::Once, false),
        (
            "streaming",
            true,
            RouteKind::Stream { resumable: true },
            true,
        ),
        (
            "streaming",
            false,
            RouteKind::Stream { resumable: false },
            false,
        ),
        ("unheard-of", true, RouteKind::Once, false),
    ];
    for (kind, resumable, expected, repeatable) in cases {
        let mut config = configuration(1);
        config["routes"][0]["kind"] = json!(kind);
        config["routes"][0]["resumable"] = json!(resumable);
        let catalog = read_catalog(&bytes(&config)).unwrap();
        let route = catalog.route("desk.example", "/order/").unwrap();
        assert_eq!(
            (route.kind, route.is_repeatable()),
            (expected, repeatable),
            "{kind}"
        );
    }
}

/// A traffic split selects the service by weight.
#[test]
fn traffic_split_weights() {
    let mut config = configuration(1);
    config["routes"][0]["traffic_split"] = json!([
        {"service": "desk", "weight": 90}, {"service": "models", "weight": 10}, {"service": "gone", "weight": 0},
    ]);
    let catalog = read_catalog(&bytes(&config)).unwrap();
    let route = catalog.route("desk.example", "/order/").unwrap();
    for (point, expected) in [
        (0.0, "desk"),
        (0.89, "desk"),
        (0.91, "models"),
        (0.999, "models"),
    ] {
        assert_eq!(&**route.choose_service(point).unwrap(), expected, "{point}");
    }
    assert!(route.routes_to("models") && !route.routes_to("gone"));
}

#[test]
fn keys_identify_accounts() {
    let mut config = configuration(1);
    let catalog = read_catalog(&bytes(&config)).unwrap();
    assert_eq!(&*catalog.account("key-1").unwrap().name, "mill");
    assert!(catalog.account("key-2").is_none());
    let route = catalog.route("desk.example", "/order/").unwrap();
    assert!(catalog.needs_key(route));
    config["routes"][0]["anonymous"] = json!(true);
    let open = read_catalog(&bytes(&config)).unwrap();
    assert!(!open.needs_key(open.route("desk.example", "/order/").unwrap()));
    config.as_object_mut().unwrap().remove("tenants");
    let keyless = read_catalog(&bytes(&config)).unwrap();
    assert!(!keyless.needs_key(keyless.route("desk.example", "/look/").unwrap()));
}

#[test]
fn malformed_configuration_rejected() {
    for text in ["", "{", "[]", "{\"version\": \"new\"}"] {
        assert!(read_catalog(text.as_bytes()).is_err(), "{text}");
    }
}

/// Valid target entries are decoded, invalid ones rejected.
#[test]
fn target_entries_decoded() {
    let entry = json!({
        "service": "models", "address": "10.0.0.1:8080", "zone": "z1", "version": "v1",
        "slots": 64, "state": "draining", "cold_left_ms": 0, "stage": "prefill",
        "models": [], "seq": 4, "born": 1_700_000_000_000u64, "spot": true, "leaves_ms": 900,
    });
    let now = Instant::now();
    let target = read_target("i-1", &bytes(&entry), now).unwrap();
    assert_eq!(target.id, Arc::from("i-1"));
    assert_eq!(target.role, Some(EngineRole::Prefill));
    assert!(target.state.is_draining() && target.reclaimable);
    assert_eq!((target.orders, target.cold_until), (4, None));
    // Each change makes the entry invalid for a target, as entries of other
    // writers are.
    let changes = [
        ("service", Value::Null),
        ("address", json!("somewhere")),
        ("slots", json!("64")),
        ("state", json!("resting")),
        ("seq", json!(-1)),
        ("born", json!(1.5)),
        ("born", Value::Null),
        ("zone", json!(7)),
        ("stage", json!("asleep")),
    ];
    for (field, value) in changes {
        let mut foreign = entry.clone();
        foreign[field] = value;
        assert!(
            read_target("i-1", &bytes(&foreign), now).is_err(),
            "{field}"
        );
    }
    assert!(read_target("i-1", b"\xff\x00", now).is_err());
}

/// The quota of an account is not read, or limits an account that has none.
#[test]
fn account_quota() {
    let quota = |unit, rate_per_s, burst, plain_tokens| {
        Some(Quota {
            unit,
            rate_per_s,
            burst,
            plain_tokens,
        })
    };
    let cases = [
        (json!({}), None),
        (json!({"unit": "tokens", "rate_per_s": 0, "burst": 9}), None),
        (json!({"unit": "bytes", "rate_per_s": 5}), None),
        (
            json!({"rate_per_s": 5}),
            quota(QuotaUnit::Requests, 5, 0, 0),
        ),
        (
            json!({"unit": "tokens", "rate_per_s": 1_439_339, "burst": 7, "plain_tokens": 40}),
            quota(QuotaUnit::Tokens, 1_439_339, 7, 40),
        ),
    ];
    for (fields, expected) in cases {
        let mut config = configuration(1);
        let account = config["tenants"][0].as_object_mut().unwrap();
        account.extend(fields.as_object().unwrap().clone());
        let catalog = read_catalog(&bytes(&config)).unwrap();
        assert_eq!(
            catalog.account("key-1").unwrap().quota,
            expected,
            "{fields}"
        );
        assert_eq!(catalog.quota("mill").copied(), expected, "{fields}");
    }
}
