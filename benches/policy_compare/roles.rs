//! Role changes while a noisy demand alternates between prefill-heavy and
//! decode-heavy.
//!
//! The planner's model of the engines is inaccurate: in the simulation, mixed engines
//! reach a smaller fraction of their speed than the planner assumes, and the speeds
//! of all engines deviate from the assumed ones by up to a fifth.

use lavenderwind::{
    policy::{
        baseline::threshold_role,
        roles::{RoleChange, RolePlanner, RoleSettings, RoleTarget, TokenDemand, served_fraction},
    },
    target::protocol::EngineRole,
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{print_row, routing::uniform};

const RUN_S: u64 = 960;
/// Time after which the demand changes between prefill-heavy and decode-heavy.
const SWING_S: u64 = 120;
/// Time for which an engine is unavailable during a role change.
const CHANGE_S: u64 = 5;
/// Fraction of its speed that a mixed engine reaches in the simulation.
const MIXED_EFFICIENCY: f64 = 0.75;
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
const DECODE_TOKENS_PER_S: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// No role changes.
    Static,
    /// Role changes when utilizations cross thresholds.
    Threshold,
    /// Role changes by the planner.
    Planner,
}

/// Result of one run.
struct RunResult {
    /// Served fraction of the demand.
    served: f64,
    /// Number of role changes per interval of [`SWING_S`].
    changes_per_swing: f64,
}

fn fleet(prefill: usize, decode: usize, mixed: usize) -> Vec<RoleTarget> {
    let mut targets = Vec::new();
    for (role, count) in [
        (EngineRole::Prefill, prefill),
        (EngineRole::Decode, decode),
        (EngineRole::Mixed, mixed),
    ] {
        for _ in 0..count {
            targets.push(RoleTarget {
                name: format!("engine-{}", targets.len()).into(),
                role,
                available: true,
                changing: false,
                prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
                decode_tokens_per_s: DECODE_TOKENS_PER_S,
            });
        }
    }
    targets
}

fn demand(second: u64, rng: &mut SmallRng) -> TokenDemand {
    let (prefill, decode) = match (second / SWING_S).is_multiple_of(2) {
        true => (46_000.0, 2_200.0),
        false => (14_000.0, 5_200.0),
    };
    TokenDemand {
        prefill_tokens_per_s: prefill * (0.8 + 0.4 * uniform(rng)),
        decode_tokens_per_s: decode * (0.8 + 0.4 * uniform(rng)),
    }
}

/// Runs one seed. `believed` are the engines with the speeds that the policy assumes.
fn run(policy: Policy, mut believed: Vec<RoleTarget>, seed: u64) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let factors: Vec<f64> = believed
        .iter()
        .map(|_| 0.8 + 0.4 * uniform(&mut rng))
        .collect();
    let mut planner = RolePlanner::new(RoleSettings::default());
    let mut unavailable_until_s: Vec<u64> = vec![0; believed.len()];
    let (mut served, mut changes) = (0.0, 0);
    for second in 0..RUN_S {
        let now_ms = second * 1_000;
        for (target, until_s) in believed.iter_mut().zip(&unavailable_until_s) {
            target.available = second >= *until_s;
            target.changing = !target.available;
        }
        let demand = demand(second, &mut rng);
        let mut real = believed.clone();
        for (target, factor) in real.iter_mut().zip(&factors) {
            target.prefill_tokens_per_s *= factor;
            target.decode_tokens_per_s *= factor;
        }
        served += served_fraction(&real, &demand, MIXED_EFFICIENCY).min(1.0);
        planner.observe(demand, now_ms);
        let change: Option<RoleChange> = match policy {
            Policy::Static => None,
            Policy::Threshold => threshold_role(&believed, &demand, 0.85, 0.6),
            Policy::Planner => planner.plan(&believed, now_ms),
        };
        let Some(change) = change else {
            continue;
        };
        planner.record_change(&change.target, now_ms);
        let index = believed
            .iter()
            .position(|target| target.name == change.target);
        let Some(index) = index else {
            continue;
        };
        believed[index].role = change.role;
        unavailable_until_s[index] = second + CHANGE_S;
        changes += 1;
    }
    RunResult {
        served: served / RUN_S as f64,
        changes_per_swing: f64::from(changes) * SWING_S as f64 / RUN_S as f64,
    }
}

/// Prints the results of each policy.
pub(crate) fn compare() {
    let policies = [
        ("static, all mixed", Policy::Static, [0, 0, 9]),
        ("static, five prefill", Policy::Static, [5, 4, 0]),
        ("static, three of each", Policy::Static, [3, 3, 3]),
        ("thresholds, five prefill", Policy::Threshold, [5, 4, 0]),
        ("thresholds, three of each", Policy::Threshold, [3, 3, 3]),
        ("planner, all mixed", Policy::Planner, [0, 0, 9]),
        ("planner, five prefill", Policy::Planner, [5, 4, 0]),
        ("planner, three of each", Policy::Planner, [3, 3, 3]),
    ];
    println!("roles: demand served through swings of {SWING_S} s, nine engines");
    for (name, policy, [prefill, decode, mixed]) in policies {
        let targets = fleet(prefill, decode, mixed);
        print_row(name, "of demand", |seed| {
            run(policy, targets.clone(), seed).served
        });
        print_row("", "changes per swing", |seed| {
            run(policy, targets.clone(), seed).changes_per_swing
        });
    }
}
