//! Plain policies that the decisions are measured against.

use std::{collections::VecDeque, sync::Arc};

use super::roles::{Demand, RoleChange, RoleTarget};
use crate::target::protocol::EngineRole;

/// Takes targets in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Starts with the target of an index.
    pub fn starting_at(index: usize) -> Self {
        Self { next: index }
    }

    /// Returns the next usable target of `count`.
    pub fn choose<F>(&mut self, count: usize, mut usable: F) -> Option<usize>
    where
        F: FnMut(usize) -> bool,
    {
        for _ in 0..count {
            let index = self.next % count;
            self.next = index + 1;
            if usable(index) {
                return Some(index);
            }
        }
        None
    }
}

/// Returns the usable target with the fewest requests of this instance's own.
pub fn least_in_flight<F>(in_flight: &[u32], mut usable: F) -> Option<usize>
where
    F: FnMut(usize) -> bool,
{
    let mut least_loaded: Option<usize> = None;
    for index in 0..in_flight.len() {
        if !usable(index) {
            continue;
        }
        if least_loaded.is_none_or(|other| in_flight[index] < in_flight[other]) {
            least_loaded = Some(index);
        }
    }
    least_loaded
}

/// First come, first served.
#[derive(Clone, Debug)]
pub struct FirstCome<T> {
    requests: VecDeque<T>,
}

impl<T> Default for FirstCome<T> {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
        }
    }
}

impl<T> FirstCome<T> {
    /// Queues a request.
    pub fn push(&mut self, request: T) {
        self.requests.push_back(request);
    }

    /// Takes the oldest request.
    pub fn pop(&mut self) -> Option<T> {
        self.requests.pop_front()
    }
}

/// Changes a role whenever prefill or decode is busier than `high` while the
/// other is idler than `low`.
#[must_use]
pub fn threshold_role(
    targets: &[RoleTarget],
    demand: &Demand,
    high: f64,
    low: f64,
) -> Option<RoleChange> {
    let mut prefill = 0.0;
    let mut decode = 0.0;
    for target in targets {
        match target.role {
            EngineRole::Prefill => prefill += target.prefill_tokens_per_s,
            EngineRole::Decode => decode += target.decode_tokens_per_s,
            EngineRole::Mixed => {
                prefill += target.prefill_tokens_per_s / 2.0;
                decode += target.decode_tokens_per_s / 2.0;
            }
        }
    }
    let prefill_utilization = demand.prefill_tokens_per_s / prefill.max(1.0);
    let decode_utilization = demand.decode_tokens_per_s / decode.max(1.0);
    if prefill_utilization > high && decode_utilization < low {
        return change_role(targets, EngineRole::Decode, EngineRole::Prefill);
    }
    if decode_utilization > high && prefill_utilization < low {
        return change_role(targets, EngineRole::Prefill, EngineRole::Decode);
    }
    None
}

fn change_role(targets: &[RoleTarget], from: EngineRole, role: EngineRole) -> Option<RoleChange> {
    let target = targets
        .iter()
        .find(|target| target.available && target.role == from)?;
    Some(RoleChange {
        target: Arc::clone(&target.name),
        role,
        gain: 0.0,
    })
}
