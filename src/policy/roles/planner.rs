//! Planner of role changes, at most one at a time per model.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{RoleTarget, TokenDemand, served_fraction};
use crate::target::protocol::EngineRole;

/// Roles that an engine can change to.
const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];

/// Settings of the planner.
#[derive(Clone, Copy, Debug)]
pub struct RoleSettings {
    /// Time within which the gain of a change must exceed its loss, in
    /// milliseconds.
    pub horizon_ms: u64,
    /// Time for which an engine is unavailable during a change, in milliseconds.
    pub change_ms: u64,
    /// Minimum time between two changes of one engine, in milliseconds.
    pub target_dwell_ms: u64,
    /// Minimum time between two changes of engines with the same model, in
    /// milliseconds.
    pub model_dwell_ms: u64,
    /// Time constant of the moving average of the demand, in milliseconds.
    pub demand_time_constant_ms: u64,
    /// Ratio of capacity to demand that suffices for bursts. Capacity beyond this
    /// ratio counts as no gain.
    pub headroom: f64,
    /// Minimum net gain of a change, as a fraction of the demand over the horizon.
    pub min_gain: f64,
    /// Fraction of its speed that an engine reaches while it runs prefill and decode
    /// concurrently.
    pub mixed_efficiency: f64,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            horizon_ms: 60_000,
            change_ms: 5_000,
            target_dwell_ms: 60_000,
            model_dwell_ms: 20_000,
            demand_time_constant_ms: 5_000,
            headroom: 1.2,
            min_gain: 0.03,
            mixed_efficiency: 0.85,
        }
    }
}

/// A change of an engine's role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChange {
    /// Name of the target.
    pub target: Arc<str>,
    /// New role.
    pub role: EngineRole,
    /// Net gain, as a fraction of the demand over the horizon.
    pub gain: f64,
}

/// Plans the role changes of the engines with one model.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    settings: RoleSettings,
    demand: TokenDemand,
    observed_at_ms: Option<u64>,
    changed_at_ms: Option<u64>,
    /// Time of the last change of each target, by target name.
    targets_changed_at_ms: IndexMap<Arc<str>, u64>,
}

impl RolePlanner {
    /// Creates a planner without observations.
    #[must_use]
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            demand: TokenDemand::default(),
            observed_at_ms: None,
            changed_at_ms: None,
            targets_changed_at_ms: IndexMap::new(),
        }
    }

    /// Adds `demand`, the mean since the last observation, to the moving average.
    pub fn observe(&mut self, demand: TokenDemand, now_ms: u64) {
        let Some(observed_at_ms) = self.observed_at_ms.replace(now_ms) else {
            self.demand = demand;
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(observed_at_ms) as f64;
        let gain = 1.0 - (-elapsed_ms / self.settings.demand_time_constant_ms.max(1) as f64).exp();
        let average = &mut self.demand;
        average.prefill_tokens_per_s +=
            gain * (demand.prefill_tokens_per_s - average.prefill_tokens_per_s);
        average.decode_tokens_per_s +=
            gain * (demand.decode_tokens_per_s - average.decode_tokens_per_s);
    }

    /// Returns the moving average of the demand.
    #[must_use]
    pub fn demand(&self) -> TokenDemand {
        self.demand
    }

    /// Returns the change with the largest net gain, if any reaches `min_gain`.
    ///
    /// Returns `None` while a target with the model is changing, and within
    /// `model_dwell_ms` of the last change of any such target. A target is left out
    /// within `target_dwell_ms` of its own last change.
    #[must_use]
    pub fn plan(&self, targets: &[RoleTarget], now_ms: u64) -> Option<RoleChange> {
        if is_within_dwell(self.changed_at_ms, self.settings.model_dwell_ms, now_ms) {
            return None;
        }
        if targets.iter().any(|target| target.changing) {
            return None;
        }
        let current_share = self.served_share(targets);
        let mut best: Option<RoleChange> = None;
        for (index, target) in targets.iter().enumerate() {
            let changed_at_ms = self.targets_changed_at_ms.get(&target.name).copied();
            if !target.available
                || is_within_dwell(changed_at_ms, self.settings.target_dwell_ms, now_ms)
            {
                continue;
            }
            for role in ROLES {
                if role == target.role {
                    continue;
                }
                let gain = self.net_gain(targets, index, role, current_share);
                if gain < self.settings.min_gain
                    || best.as_ref().is_some_and(|best| best.gain >= gain)
                {
                    continue;
                }
                best = Some(RoleChange {
                    target: Arc::clone(&target.name),
                    role,
                    gain,
                });
            }
        }
        best
    }

    /// Records that a change was ordered.
    pub fn record_change(&mut self, target: &Arc<str>, now_ms: u64) {
        self.changed_at_ms = Some(now_ms);
        self.targets_changed_at_ms
            .insert(Arc::clone(target), now_ms);
    }

    /// Returns the gain of a change over the horizon, minus the loss while the
    /// target is unavailable, as a fraction of the demand over the horizon.
    fn net_gain(
        &self,
        targets: &[RoleTarget],
        index: usize,
        role: EngineRole,
        current_share: f64,
    ) -> f64 {
        let mut changed = targets.to_vec();
        changed[index].available = false;
        let share_during_change = self.served_share(&changed);
        changed[index].available = true;
        changed[index].role = role;
        let share_after_change = self.served_share(&changed);
        let change_fraction =
            self.settings.change_ms as f64 / self.settings.horizon_ms.max(1) as f64;
        (share_after_change - current_share) * (1.0 - change_fraction)
            - (current_share - share_during_change) * change_fraction
    }

    /// Returns the fraction of the demand, increased by the headroom for bursts, that
    /// the available targets can serve; at most 1.
    fn served_share(&self, targets: &[RoleTarget]) -> f64 {
        let fraction = served_fraction(targets, &self.demand, self.settings.mixed_efficiency);
        (fraction / self.settings.headroom).min(1.0)
    }
}

fn is_within_dwell(since_ms: Option<u64>, dwell_ms: u64, now_ms: u64) -> bool {
    since_ms.is_some_and(|since_ms| now_ms < since_ms + dwell_ms)
}
