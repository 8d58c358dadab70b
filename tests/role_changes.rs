//! Role changes of engines and loading of model weights.

use arbtest::arbtest;
use lavenderwind::{
    policy::{
        baseline::threshold_role,
        roles::{
            RolePlanner, RoleSettings, RoleTarget, TokenDemand, WeightLoadBudget,
            WeightLoadCandidate, choose_weight_load, served_fraction,
        },
    },
    target::protocol::EngineRole,
};

const SEEDS: [u64; 6] = [
    0x5eed_0041_0000_4000,
    0x5eed_0042_0000_4000,
    0x5eed_0043_0000_4000,
    0x5eed_0044_0000_4000,
    0x5eed_0045_0000_4000,
    0x5eed_0046_0000_4000,
];
const STEP_MS: u64 = 1_000;
const CHANGE_MS: u64 = 5_000;

/// Returns engines, given the number in each role.
fn targets(prefill: usize, decode: usize, mixed: usize) -> Vec<RoleTarget> {
    let mut targets = Vec::new();
    for index in 0..prefill + decode + mixed {
        let role = match index {
            index if index < prefill => EngineRole::Prefill,
            index if index < prefill + decode => EngineRole::Decode,
            _ => EngineRole::Mixed,
        };
        targets.push(RoleTarget {
            name: format!("engine-{index}").into(),
            role,
            available: true,
            changing: false,
            prefill_tokens_per_s: 8_000.0,
            decode_tokens_per_s: 1_000.0,
        });
    }
    targets
}

fn demand(prefill: f64, decode: f64) -> TokenDemand {
    TokenDemand {
        prefill_tokens_per_s: prefill,
        decode_tokens_per_s: decode,
    }
}

/// Runs a planner with the demand of each second, and returns the seconds in which
/// it changed roles.
fn run_planner<F>(targets: &mut [RoleTarget], seconds: u64, mut demand_at: F) -> Vec<u64>
where
    F: FnMut(u64) -> TokenDemand,
{
    let mut planner = RolePlanner::new(RoleSettings::default());
    let mut changes = Vec::new();
    let mut changing: Option<(usize, u64)> = None;
    for second in 0..seconds {
        let now_ms = second * STEP_MS;
        if let Some((index, until_ms)) = changing
            && now_ms >= until_ms
        {
            targets[index].available = true;
            targets[index].changing = false;
            changing = None;
        }
        planner.observe(demand_at(second), now_ms);
        let Some(change) = planner.plan(targets, now_ms) else {
            continue;
        };
        assert!(changing.is_none(), "two changes at a time");
        planner.record_change(&change.target, now_ms);
        let index = targets
            .iter()
            .position(|target| target.name == change.target)
            .unwrap();
        targets[index].available = false;
        targets[index].changing = true;
        targets[index].role = change.role;
        changing = Some((index, now_ms + CHANGE_MS));
        changes.push(second);
    }
    changes
}

#[test]
fn served_fraction_values() {
    let cases = [
        // Engines, demand and expected served fraction.
        (targets(1, 1, 0), demand(8_000.0, 1_000.0), 1.0),
        (targets(1, 1, 0), demand(4_000.0, 2_000.0), 0.5),
        (targets(0, 0, 2), demand(8_000.0, 1_000.0), 0.85),
        (targets(0, 2, 0), demand(8_000.0, 1_000.0), 0.0),
        (targets(1, 0, 1), demand(8_000.0, 850.0), 1.0),
        (targets(1, 1, 0), demand(0.0, 500.0), 2.0),
    ];
    for (targets, demand, expected) in cases {
        let fraction = served_fraction(&targets, &demand, 0.85);
        assert!((fraction - expected).abs() < 1e-3, "{fraction} {expected}");
    }
}

/// Noise in the demand changes at most one role.
#[test]
fn noise_changes_bounded() {
    let mut threshold_changes = 0;
    for seed in SEEDS {
        arbtest(|u| {
            let mut noise = Vec::new();
            for _ in 0..600 {
                noise.push([u.int_in_range(60..=140)?, u.int_in_range(60..=140)?]);
            }
            let demand_at = |second: u64| {
                let [prefill, decode] = noise[second as usize].map(f64::from);
                demand(240.0 * prefill, 30.0 * decode)
            };
            let changes = run_planner(&mut targets(4, 4, 1), 600, demand_at);
            assert!(changes.len() <= 1, "{changes:?}");

            let mut fleet = targets(4, 4, 1);
            for second in 0..600 {
                if let Some(change) = threshold_role(&fleet, &demand_at(second), 0.85, 0.6) {
                    let target = fleet.iter_mut().find(|target| target.name == change.target);
                    target.unwrap().role = change.role;
                    threshold_changes += 1;
                }
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
    // With the same noise, the policy by thresholds does change roles.
    assert!(threshold_changes > 10 * SEEDS.len(), "{threshold_changes}");
}

/// The planner changes roles after a lasting change of the demand.
#[test]
fn lasting_change_followed() {
    let demand_at = |second: u64| match second / 120 % 2 {
        0 => demand(30_000.0, 1_500.0),
        _ => demand(10_000.0, 5_500.0),
    };
    let mut fleet = targets(5, 4, 0);
    let before = served_fraction(&fleet, &demand_at(0), 0.85);
    let changes = run_planner(&mut fleet, 120, demand_at);
    assert!(before >= 1.0 && changes.is_empty(), "{before} {changes:?}");
    let before = served_fraction(&fleet, &demand_at(120), 0.85);
    let changes = run_planner(&mut fleet, 120, |second| demand_at(second + 120));
    let after = served_fraction(&fleet, &demand_at(120), 0.85);
    assert!(
        !changes.is_empty() && after > before + 0.1,
        "{changes:?} {before} {after}"
    );
}

/// Only one role changes at a time; unavailable targets do not block others.
#[test]
fn concurrent_changes_prevented() {
    let mut planner = RolePlanner::new(RoleSettings::default());
    planner.observe(demand(10_000.0, 5_500.0), 0);
    let mut fleet = targets(5, 4, 0);
    assert!(planner.plan(&fleet, 0).is_some());
    // The planner did not record this running change, which may have been ordered by
    // a former holder of the duty.
    fleet[0].changing = true;
    assert_eq!(planner.plan(&fleet, 0), None);
    // An unavailable target, such as a crashed one, does not block changes of other
    // targets and is not changed itself.
    fleet[0].changing = false;
    for target in &mut fleet[..3] {
        target.available = false;
    }
    let change = planner.plan(&fleet, 0).unwrap();
    assert_eq!(&*change.target, "engine-3");
    planner.record_change(&change.target, 0);
    assert_eq!(planner.plan(&fleet, 19_999), None);
    assert!(planner.plan(&fleet, 60_000).is_some());
}

/// A change that costs more than it gains within the horizon is not proposed.
#[test]
fn costly_change_omitted() {
    let settings = RoleSettings {
        horizon_ms: 20_000,
        ..RoleSettings::default()
    };
    for (change_ms, changes) in [(19_000, false), (1_000, true)] {
        let mut planner = RolePlanner::new(RoleSettings {
            change_ms,
            ..settings
        });
        planner.observe(demand(20_000.0, 5_000.0), 0);
        let change = planner.plan(&targets(4, 4, 1), 0);
        assert_eq!(change.is_some(), changes, "{change_ms} {change:?}");
    }
}

/// Model loads keep to the rate limit, and the most urgent model is loaded first.
#[test]
fn load_rate_limited() {
    let mut budget = WeightLoadBudget::new(30, 2);
    let mut loads = 0;
    for now_ms in 0..60_000 {
        loads += u32::from(budget.withdraw(now_ms));
    }
    assert!((30..=32).contains(&loads), "{loads}");
    let candidate = |model: &str, loaded_on, wanted, unserved_per_s| WeightLoadCandidate {
        model: model.into(),
        version: "1".into(),
        adapter: "".into(),
        loaded_on,
        wanted,
        unserved_per_s,
    };
    let candidates = [
        candidate("full", 3, 3, 9.0),
        candidate("short", 1, 3, 2.0),
        candidate("missing", 0, 1, 0.0),
    ];
    assert_eq!(&*choose_weight_load(&candidates).unwrap().model, "missing");
    assert_eq!(
        &*choose_weight_load(&candidates[..2]).unwrap().model,
        "short"
    );
    assert_eq!(choose_weight_load(&candidates[..1]), None);
}
