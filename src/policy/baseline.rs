//! Simple baseline policies with which the other policies are compared.

use std::{collections::VecDeque, sync::Arc};

use super::roles::{RoleChange, RoleTarget, TokenDemand};
use crate::target::protocol::EngineRole;

/// Round-robin choice of targets.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Creates a round robin whose first choice is the target at `index`.
    pub fn starting_at(index: usize) -> Self {
        Self { next: index }
    }

    /// Returns the index of the next usable target of `count`; `None` if none is
    /// usable.
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

/// Returns the index of the usable target with the fewest requests in flight
/// from this instance; `None` if none is usable.
///
/// `in_flight` contains the number of requests in flight on each target.
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

/// First-in, first-out queue of requests.
#[derive(Clone, Debug)]
pub struct FifoQueue<T> {
    requests: VecDeque<T>,
}

impl<T> Default for FifoQueue<T> {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
        }
    }
}

impl<T> FifoQueue<T> {
    /// Appends a request to the queue.
    pub fn push(&mut self, request: T) {
        self.requests.push_back(request);
    }

    /// Removes and returns the oldest request.
    pub fn pop(&mut self) -> Option<T> {
        self.requests.pop_front()
    }
}

/// Returns a change of one engine to the prefill or the decode role if the
/// utilization of that role's engines is above `high` and that of the other role's
/// engines is below `low`; otherwise `None`.
///
/// A mixed engine counts as half a prefill engine and half a decode engine.
#[must_use]
pub fn threshold_role(
    targets: &[RoleTarget],
    demand: &TokenDemand,
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

/// Returns the change of the first available target from one role to another.
fn change_role(targets: &[RoleTarget], from: EngineRole, to: EngineRole) -> Option<RoleChange> {
    let target = targets
        .iter()
        .find(|target| target.available && target.role == from)?;
    Some(RoleChange {
        target: Arc::clone(&target.name),
        role: to,
        gain: 0.0,
    })
}
