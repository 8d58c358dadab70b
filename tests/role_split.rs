//! How engines are divided between prefill and decode by orders.

use indexmap::IndexSet;
use lavenderwind::{
    policy::role_split::{SplitEngine, plan_change, plan_changes, prefill_engines},
    target::protocol::EngineRole,
};

fn engine(role: EngineRole, domain: usize) -> SplitEngine {
    SplitEngine {
        role,
        is_changing: false,
        is_reachable: true,
        failure_domain: format!("domain-{domain}").into(),
        is_reclaimable: false,
        in_flight: 0,
    }
}

#[test]
fn parts_of_a_fleet() {
    let cases = [
        (0, 0),
        (1, 0),
        (2, 1),
        (3, 1),
        (4, 2),
        (9, 7),
        (12, 10),
        (16, 13),
        (140, 112),
    ];
    for (engines, prefilling) in cases {
        assert_eq!(prefill_engines(engines), prefilling, "{engines}");
    }
}

#[test]
fn changes_lead_to_the_split() {
    let mut engines: Vec<_> = (0..9)
        .map(|index| engine(EngineRole::Decode, index % 4))
        .collect();
    let mut changes = 0;
    while let Some(change) = plan_change(&engines) {
        engines[change.index].role = change.role;
        changes += 1;
        assert!(changes < 20, "the plan must settle");
    }
    assert_eq!(changes, 7);
    let decoding: Vec<_> = engines
        .iter()
        .filter(|engine| engine.role == EngineRole::Decode)
        .collect();
    assert_ne!(decoding[0].failure_domain, decoding[1].failure_domain);
}

#[test]
fn large_fleets_change_together() {
    // A fleet whose reclaimable engines have all just been replaced.
    let mut engines: Vec<_> = (0..200)
        .map(|index| engine(EngineRole::Decode, index % 4))
        .collect();
    let mut rounds = 0;
    loop {
        let changes = plan_changes(&engines);
        if changes.is_empty() {
            break;
        }
        assert!(changes.len() <= 13, "{} at once", changes.len());
        for change in changes {
            engines[change.index].role = change.role;
        }
        rounds += 1;
    }
    assert_eq!(rounds, 13, "rounds of 160 changes");
    let small = vec![engine(EngineRole::Decode, 0); 9];
    assert_eq!(plan_changes(&small).len(), 1, "one at a time");
}

#[test]
fn one_engine_changes_nothing() {
    // A balanced fleet loses an engine, and gets it back.
    let mut engines: Vec<_> = (0..15)
        .map(|index| engine(EngineRole::Prefill, index % 4))
        .collect();
    for engine in &mut engines[12..] {
        engine.role = EngineRole::Decode;
    }
    assert_eq!(plan_change(&engines), None);
    assert_eq!(plan_change(&engines[1..]), None);
    assert_eq!(plan_change(&engines[..14]), None);
}

/// A reclaim of one failure domain must not take all engines that decode.
#[test]
fn decoding_spans_domains() {
    let mut engines: Vec<_> = (0..12)
        .map(|index| engine(EngineRole::Prefill, index % 4))
        .collect();
    for index in [0, 4, 8] {
        engines[index].role = EngineRole::Decode;
    }
    let mut changes = 0;
    while let Some(change) = plan_change(&engines) {
        engines[change.index].role = change.role;
        changes += 1;
        assert!(changes < 5, "the plan must settle");
    }
    let decoding = engines
        .iter()
        .filter(|engine| engine.role == EngineRole::Decode);
    let domains: IndexSet<_> = decoding.map(|engine| &engine.failure_domain).collect();
    assert!(domains.len() >= 2, "{domains:?}");
}

#[test]
fn crashed_engines_are_replaced() {
    // Both engines that decode have crashed.
    let mut engines: Vec<_> = (0..9)
        .map(|index| engine(EngineRole::Prefill, index % 4))
        .collect();
    for engine in &mut engines[7..] {
        engine.role = EngineRole::Decode;
        engine.is_reachable = false;
    }
    let mut changes = Vec::new();
    while let Some(change) = plan_change(&engines) {
        engines[change.index].role = change.role;
        changes.push(change.role);
    }
    assert_eq!(changes, [EngineRole::Decode; 2]);
}

#[test]
fn changing_engines_are_left() {
    let mut engines = vec![
        engine(EngineRole::Prefill, 0),
        engine(EngineRole::Prefill, 1),
    ];
    engines[0].is_changing = true;
    let change = plan_change(&engines).unwrap();
    assert_eq!((change.index, change.role), (1, EngineRole::Decode));
    engines[1].is_changing = true;
    assert_eq!(plan_change(&engines), None);
}

#[test]
fn idle_regular_engines_decode() {
    let mut engines = vec![engine(EngineRole::Prefill, 0); 3];
    engines[0].is_reclaimable = true;
    engines[1].in_flight = 9;
    let change = plan_change(&engines).unwrap();
    assert_eq!((change.index, change.role), (2, EngineRole::Decode));
}
