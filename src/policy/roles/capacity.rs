//! Model of the throughput of a set of engines, which treats prefill and decode as
//! continuous flows of tokens.

use std::sync::Arc;

use crate::target::protocol::EngineRole;

/// Number of steps of the binary search for the served fraction.
const SEARCH_STEPS: u32 = 24;
/// Upper bound of the served fraction, which is the largest fraction of the demand
/// that the engines can serve.
const MAX_FRACTION: f64 = 4.0;

/// Demand of the requests for one model or service, in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenDemand {
    /// Prompt tokens per second that are not cached.
    pub prefill_tokens_per_s: f64,
    /// Generated tokens per second.
    pub decode_tokens_per_s: f64,
}

/// An engine with the model loaded.
#[derive(Clone, Debug)]
pub struct RoleTarget {
    /// Name of the target.
    pub name: Arc<str>,
    /// Current role.
    pub role: EngineRole,
    /// Whether the engine accepts new requests.
    pub available: bool,
    /// Whether the engine is changing its role or loading weights.
    pub changing: bool,
    /// Prompt tokens per second that the engine reaches if it only prefills.
    pub prefill_tokens_per_s: f64,
    /// Generated tokens per second, over the whole batch, that the engine reaches if
    /// it only decodes.
    pub decode_tokens_per_s: f64,
}

/// Capacity of engines by role, in tokens per second.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    prefill: f64,
    decode: f64,
    mixed_prefill: f64,
    mixed_decode: f64,
}

impl Capacity {
    fn of_targets(targets: &[RoleTarget], mixed_efficiency: f64) -> Self {
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

    /// Returns `true` if the engines can serve a fraction of the demand.
    ///
    /// Mixed engines serve the prefill and the decode that exceed the capacity of
    /// the other engines, and divide their time between both.
    fn serves(&self, demand: &TokenDemand, fraction: f64) -> bool {
        let prefill = (demand.prefill_tokens_per_s * fraction - self.prefill).max(0.0);
        let decode = (demand.decode_tokens_per_s * fraction - self.decode).max(0.0);
        busy_fraction(prefill, self.mixed_prefill) + busy_fraction(decode, self.mixed_decode) <= 1.0
    }
}

/// Returns the fraction of time for which engines of the given capacity, in tokens
/// per second, are busy with a demand; infinite if they lack any capacity for it.
fn busy_fraction(tokens_per_s: f64, capacity: f64) -> f64 {
    if tokens_per_s <= 0.0 {
        return 0.0;
    }
    if capacity <= 0.0 {
        return f64::INFINITY;
    }
    tokens_per_s / capacity
}

/// Returns the largest fraction of the demand that the available targets can
/// serve, at most 4. A fraction above 1 means spare capacity.
///
/// `mixed_efficiency` is the fraction of its speed that an engine reaches while
/// it runs prefill and decode concurrently.
#[must_use]
pub fn served_fraction(targets: &[RoleTarget], demand: &TokenDemand, mixed_efficiency: f64) -> f64 {
    let capacity = Capacity::of_targets(targets, mixed_efficiency);
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
