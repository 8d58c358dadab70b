//! Split of a service's engines between prefill and decode.

use indexmap::IndexSet;
use lavenderwind::{
    policy::{
        role_split::{SplitEngine, plan_change, plan_changes, wanted_prefill_engines},
        work_meter::EngineLoad,
    },
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
fn split_follows_load() {
    struct Case {
        name: &'static str,
        load: EngineLoad,
        engines: usize,
        prefilling: std::ops::RangeInclusive<usize>,
    }
    let load = |remote_prefill: f64, local_prefill: f64, decode: f64| EngineLoad {
        remote_prefill,
        local_prefill,
        decode,
    };
    let cases = [
        Case {
            name: "long prompts, short answers",
            load: load(4.0, 0.1, 0.6),
            engines: 9,
            prefilling: 5..=7,
        },
        Case {
            name: "long answers",
            load: load(0.5, 0.2, 5.0),
            engines: 9,
            prefilling: 0..=1,
        },
        Case {
            name: "short prompts",
            load: load(0.2, 4.0, 4.0),
            engines: 12,
            prefilling: 0..=1,
        },
        Case {
            name: "an even mix",
            load: load(4.0, 1.0, 3.0),
            engines: 12,
            prefilling: 5..=7,
        },
        Case {
            name: "a large fleet",
            load: load(60.0, 2.0, 10.0),
            engines: 140,
            prefilling: 75..=110,
        },
    ];
    for case in cases {
        let wanted = wanted_prefill_engines(&case.load, case.engines, case.engines / 3);
        assert!(case.prefilling.contains(&wanted), "{}: {wanted}", case.name);
    }
}

/// At low utilization, the split stays as it is.
#[test]
fn low_utilization_unchanged() {
    let load = EngineLoad {
        remote_prefill: 1.0,
        local_prefill: 0.3,
        decode: 0.5,
    };
    for prefilling in 1..8 {
        assert_eq!(wanted_prefill_engines(&load, 12, prefilling), prefilling);
    }
    let wanted = wanted_prefill_engines(&load, 12, 12);
    assert!(
        (2..=10).contains(&wanted),
        "at least two engines must decode: {wanted}"
    );
}

/// The load alternates between long prompts and long answers. The split must change
/// once whenever the load changes, and not in between.
#[test]
fn change_per_swing() {
    let prompts = EngineLoad {
        remote_prefill: 5.5,
        local_prefill: 0.5,
        decode: 1.0,
    };
    let answers = EngineLoad {
        remote_prefill: 0.8,
        local_prefill: 1.0,
        decode: 6.5,
    };
    let mut prefilling = 4;
    let mut changes = 0;
    for load in [prompts, prompts, answers, answers, prompts, answers] {
        let wanted = wanted_prefill_engines(&load, 12, prefilling);
        changes += u32::from(wanted != prefilling);
        prefilling = wanted;
        assert!(load.utilization(12, prefilling) <= 0.8, "{load:?}");
    }
    assert_eq!(changes, 4, "one for each change of the load");
}

/// For random loads and numbers of engines, the utilization with the chosen split is
/// at most 50 %, or at most 20 % above that with the best split.
#[test]
fn split_near_optimal() {
    arbtest::arbtest(|u| {
        let engines = u.int_in_range(3..=60_usize)?;
        let mut fraction = || {
            u.int_in_range(0..=100_u32)
                .map(|percent| f64::from(percent) / 100.0)
        };
        let fleet = engines as f64;
        let load = EngineLoad {
            remote_prefill: fleet * fraction()?,
            local_prefill: fleet * fraction()? / 2.0,
            decode: fleet * fraction()? / 2.0,
        };
        let prefilling = u.int_in_range(0..=engines - 2)?;
        let wanted = wanted_prefill_engines(&load, engines, prefilling);
        let best = (0..=engines - 2)
            .map(|prefilling| load.utilization(engines, prefilling))
            .fold(f64::INFINITY, f64::min);
        let chosen = load.utilization(engines, wanted);
        assert!(
            chosen <= 0.5 || chosen <= best * 1.2,
            "{chosen} against {best}"
        );
        Ok(())
    });
}

/// Successive changes converge on the wanted split.
#[test]
fn changes_converge() {
    let mut engines: Vec<_> = (0..9)
        .map(|index| engine(EngineRole::Decode, index % 4))
        .collect();
    let mut changes = 0;
    while let Some(change) = plan_change(&engines, 7) {
        engines[change.index].role = change.role;
        changes += 1;
        assert!(changes < 20, "the plan must converge");
    }
    assert_eq!(changes, 7);
    let decoding: Vec<_> = engines
        .iter()
        .filter(|engine| engine.role == EngineRole::Decode)
        .collect();
    assert_ne!(decoding[0].failure_domain, decoding[1].failure_domain);
}

/// In a large fleet, several engines change at a time; in a small one, only one.
#[test]
fn large_fleet_batches() {
    // All engines start with the same role, as after the replacement of all
    // reclaimable engines.
    let mut engines: Vec<_> = (0..200)
        .map(|index| engine(EngineRole::Decode, index % 4))
        .collect();
    let mut rounds = 0;
    loop {
        let changes = plan_changes(&engines, 160);
        if changes.is_empty() {
            break;
        }
        assert!(
            changes.len() <= 13,
            "{} changes at the same time",
            changes.len()
        );
        for change in changes {
            engines[change.index].role = change.role;
        }
        rounds += 1;
    }
    assert_eq!(rounds, 13, "rounds for 160 changes");
    let small = vec![engine(EngineRole::Decode, 0); 9];
    assert_eq!(plan_changes(&small, 7).len(), 1, "one change at a time");
}

#[test]
fn loss_keeps_roles() {
    // A balanced service loses a prefill engine or a decode engine. The roles of the
    // other engines must not change, since the lost engine is replaced.
    let mut engines: Vec<_> = (0..15)
        .map(|index| engine(EngineRole::Prefill, index % 4))
        .collect();
    for engine in &mut engines[12..] {
        engine.role = EngineRole::Decode;
    }
    let load = EngineLoad {
        remote_prefill: 8.4,
        local_prefill: 0.5,
        decode: 1.5,
    };
    let wanted = wanted_prefill_engines(&load, 15, 12);
    assert_eq!(plan_change(&engines, wanted), None);
    let wanted = wanted_prefill_engines(&load, 14, 11);
    assert_eq!(plan_change(&engines[1..], wanted), None);
    let wanted = wanted_prefill_engines(&load, 14, 12);
    assert_eq!(plan_change(&engines[..14], wanted), None);
}

/// The platform may reclaim all engines of a failure domain at once, so the decode
/// engines must be in at least two domains.
#[test]
fn decoding_spans_domains() {
    let mut engines: Vec<_> = (0..12)
        .map(|index| engine(EngineRole::Prefill, index % 4))
        .collect();
    for index in [0, 4, 8] {
        engines[index].role = EngineRole::Decode;
    }
    let mut changes = 0;
    while let Some(change) = plan_change(&engines, 9) {
        engines[change.index].role = change.role;
        changes += 1;
        assert!(changes < 5, "the plan must converge");
    }
    let decoding = engines
        .iter()
        .filter(|engine| engine.role == EngineRole::Decode);
    let domains: IndexSet<_> = decoding.map(|engine| &engine.failure_domain).collect();
    assert!(domains.len() >= 2, "{domains:?}");
}

#[test]
fn crashed_decode_replaced() {
    // Both decode engines have crashed.
    let mut engines: Vec<_> = (0..9)
        .map(|index| engine(EngineRole::Prefill, index % 4))
        .collect();
    for engine in &mut engines[7..] {
        engine.role = EngineRole::Decode;
        engine.is_reachable = false;
    }
    let mut changes = Vec::new();
    while let Some(change) = plan_change(&engines, 7) {
        engines[change.index].role = change.role;
        changes.push(change.role);
    }
    assert_eq!(changes, [EngineRole::Decode; 2]);
}

#[test]
fn changing_engines_skipped() {
    let mut engines = vec![
        engine(EngineRole::Prefill, 0),
        engine(EngineRole::Prefill, 1),
    ];
    engines[0].is_changing = true;
    let change = plan_change(&engines, 1).unwrap();
    assert_eq!((change.index, change.role), (1, EngineRole::Decode));
    engines[1].is_changing = true;
    assert_eq!(plan_change(&engines, 1), None);
}

/// Idle engines that are not reclaimable are preferred for decode.
#[test]
fn idle_regular_preferred() {
    let mut engines = vec![engine(EngineRole::Prefill, 0); 3];
    engines[0].is_reclaimable = true;
    engines[1].in_flight = 9;
    let change = plan_change(&engines, 1).unwrap();
    assert_eq!((change.index, change.role), (2, EngineRole::Decode));
}
