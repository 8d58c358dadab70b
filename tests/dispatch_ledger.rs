//! Outstanding placements at the dispatcher, and the choice of the dispatcher to query.

use std::net::SocketAddr;

use lavenderwind::policy::dispatch::{
    Backlog, Ledger, OutstandingPlacement, PlacementKey, Preference,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn key(instance: u16, number: u64) -> PlacementKey {
    PlacementKey {
        instance: address(instance),
        number,
    }
}

fn remote(tokens: u32) -> OutstandingPlacement {
    OutstandingPlacement {
        engine: "prefill".into(),
        decode_engine: Some("decode".into()),
        is_local_prefill: false,
        parts: Vec::new(),
        uncached_tokens: tokens,
        tokens_ahead: 0.0,
        requests_ahead: 0.0,
        left_ms: 2_000,
    }
}

/// Prompts of different instances that meet on one engine must add up, or each instance's
/// prompts are placed as if the engine were free.
#[test]
fn instances_add_up() {
    let mut ledger = Ledger::default();
    for instance in 1..=60 {
        ledger.insert(key(instance, 7), remote(1_000), 0);
    }
    assert_eq!(ledger.backlog("prefill").queued_tokens, 60_000);
    assert_eq!(ledger.backlog("decode").requests, 60);
    for instance in 1..=60 {
        ledger.record_prefilled(key(instance, 7));
    }
    assert_eq!(ledger.backlog("prefill"), Backlog::default());
    assert_eq!(ledger.backlog("decode").requests, 60);
}

/// Datagrams are repeated when another instance becomes dispatcher; a placement that counts
/// twice would make its engine look busy for good.
#[test]
fn repeats_count_once() {
    let mut ledger = Ledger::default();
    ledger.insert(key(1, 1), remote(500), 0);
    ledger.insert(key(1, 1), remote(500), 10);
    assert_eq!(ledger.backlog("prefill").queued_tokens, 500);
    assert!(ledger.record_prefilled(key(1, 1)).is_some());
    assert!(ledger.record_prefilled(key(1, 1)).is_none());
    ledger.remove(key(1, 1));
    ledger.remove(key(1, 1));
    assert_eq!(ledger.backlog("prefill"), Backlog::default());
    assert_eq!(ledger.backlog("decode"), Backlog::default());
    assert!(ledger.is_empty());
}

/// The end of a placement may never be reported: its instance was killed, or the datagram was
/// lost. The engine must not stay busy for it.
#[test]
fn lost_ends_expire() {
    let mut ledger = Ledger::default();
    ledger.insert(key(1, 1), remote(500), 0);
    ledger.expire(2_500, |_| true);
    assert_eq!(ledger.len(), 1, "the deadline has just passed");
    ledger.expire(3_600, |_| true);
    assert!(ledger.is_empty());
    assert_eq!(ledger.backlog("prefill"), Backlog::default());
}

/// Placements on an engine that is gone must not count when its identifier returns.
#[test]
fn gone_engines_forgotten() {
    let mut ledger = Ledger::default();
    ledger.insert(key(1, 1), remote(500), 0);
    ledger.expire(10, |engine| engine != "prefill");
    assert!(ledger.is_empty());
    assert_eq!(ledger.backlog("decode"), Backlog::default());
}

/// A frozen dispatcher must not cost each request the time limit of a query; it must be
/// queried again once it answers.
#[test]
fn silent_dispatcher_passed() {
    let order = [address(1), address(2), address(3), address(4)];
    let mut preference = Preference::default();
    preference.record_miss(order[0], 0);
    assert_eq!(preference.choose(&order, 1), Some(order[0]), "one loss");
    preference.record_miss(order[0], 1);
    assert_eq!(preference.choose(&order, 2), Some(order[1]));
    assert_eq!(preference.choose(&order, 5_000), Some(order[0]));
    preference.record_miss(order[0], 5_000);
    assert_eq!(preference.choose(&order, 5_001), Some(order[1]));
    preference.record_answer(order[0]);
    assert_eq!(preference.choose(&order, 5_002), Some(order[0]));
}

/// If the first instances in order are silent, the requests of an instance that is cut off
/// must not try all others one after the other.
#[test]
fn isolated_instance_decides() {
    let order = [address(1), address(2), address(3), address(4)];
    let mut preference = Preference::default();
    for instance in &order[..3] {
        preference.record_miss(*instance, 0);
        preference.record_miss(*instance, 0);
    }
    assert_eq!(preference.choose(&order, 1), None);
    assert_eq!(preference.choose(&[], 1), None);
}
