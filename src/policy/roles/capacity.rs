//! Fluid model of what a set of engines can serve.

use std::sync::Arc;

use crate::target::protocol::EngineRole;

/// Steps of the search for the served fraction.
const SEARCH_STEPS: u32 = 24;
/// Fractions above this are not told apart.
const MAX_FRACTION: f64 = 4.0;

/// Tokens a second that callers ask of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens that are not cached.
    pub prefill_tokens_per_s: f64,
    /// Generated tokens.
    pub decode_tokens_per_s: f64,
}

/// An engine that holds the model.
#[derive(Clone, Debug)]
pub struct RoleTarget {
    /// Target.
    pub name: Arc<str>,
    /// Role.
    pub role: EngineRole,
    /// Whether it takes new work.
    pub available: bool,
    /// Whether it changes its role or loads weights.
    pub changing: bool,
    /// Prompt tokens a second, if it does only prefill.
    pub prefill_tokens_per_s: f64,
    /// Generated tokens a second over its whole batch, if it does only decode.
    pub decode_tokens_per_s: f64,
}

/// Capacity of engines by role.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    prefill: f64,
    decode: f64,
    mixed_prefill: f64,
    mixed_decode: f64,
}

impl Capacity {
    fn of(targets: &[RoleTarget], mixed_efficiency: f64) -> Self {
        let mut capacity = Self::default();
        for target in targets {
            if !target.available {
                continue;
            }
            match target.role {
                EngineRole::Prefill => capacity.prefill += target.prefill_tokens_per_s,
                EngineRole::Decode => capacity.decode += target.decode_tokens_per_s,
                EngineRole::Mixed => {
                    capacity.mixed_prefill += target.prefill_tokens_per_s * mixed_efficiency;
                    capacity.mixed_decode += target.decode_tokens_per_s * mixed_efficiency;
                }
            }
        }
        capacity
    }

    /// Returns whether mixed engines can share their time so as to serve what
    /// the others leave.
    fn serves(&self, demand: &Demand, fraction: f64) -> bool {
        let prefill = (demand.prefill_tokens_per_s * fraction - self.prefill).max(0.0);
        let decode = (demand.decode_tokens_per_s * fraction - self.decode).max(0.0);
        time_share(prefill, self.mixed_prefill) + time_share(decode, self.mixed_decode) <= 1.0
    }
}

fn time_share(tokens_per_s: f64, capacity: f64) -> f64 {
    if tokens_per_s <= 0.0 {
        return 0.0;
    }
    if capacity <= 0.0 {
        return f64::INFINITY;
    }
    tokens_per_s / capacity
}

/// Returns the largest fraction of the demand that the available targets
/// serve; above 1 it is headroom.
///
/// `mixed_efficiency` is the part of its speed that an engine keeps while it
/// runs prefill and decode side by side.
#[must_use]
pub fn served_fraction(targets: &[RoleTarget], demand: &Demand, mixed_efficiency: f64) -> f64 {
    let capacity = Capacity::of(targets, mixed_efficiency);
    let (mut low, mut high) = (0.0, MAX_FRACTION);
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        if capacity.serves(demand, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
