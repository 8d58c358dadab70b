//! Simple routing methods, with which benchmarks compare the choice by predicted
//! time.
//!
//! A group contains the live targets of the kind, model and version that a request
//! asks for. `target_indices` are the indices of the group's targets in
//! [`RouteTable::targets`], and `position` is a position in `target_indices`.

use super::{Choice, RouteError, RouteRequest, RouteTable, RouteTarget, TargetRole};
use crate::{
    policy::{
        baseline::{RoundRobin, least_in_flight},
        load::RequestDemand,
    },
    target::protocol::EngineRole,
};

impl RouteTable {
    /// Chooses the next usable target of the group in turn.
    pub(super) fn choose_round_robin(
        &self,
        request: &RouteRequest<'_>,
        target_indices: &[usize],
    ) -> Result<Choice, RouteError> {
        let mut round_robin = RoundRobin::starting_at(self.dispatched % target_indices.len());
        let position = round_robin.choose(target_indices.len(), |position| {
            self.usable_for_prefill_and_decode(request, target_indices[position])
                .is_some()
        });
        self.unpredicted_choice(request, target_indices, position)
    }

    /// Chooses the usable target of the group with the fewest requests in flight
    /// from this instance.
    pub(super) fn choose_least_in_flight(
        &self,
        request: &RouteRequest<'_>,
        target_indices: &[usize],
    ) -> Result<Choice, RouteError> {
        let mut in_flight = Vec::with_capacity(target_indices.len());
        for &index in target_indices {
            in_flight.push(self.targets[index].load.own().requests);
        }
        let position = least_in_flight(&in_flight, |position| {
            self.usable_for_prefill_and_decode(request, target_indices[position])
                .is_some()
        });
        self.unpredicted_choice(request, target_indices, position)
    }

    /// Returns the target with an index, if the target is usable and can run both the
    /// prefill and the decode of a request.
    fn usable_for_prefill_and_decode(
        &self,
        request: &RouteRequest<'_>,
        index: usize,
    ) -> Option<&RouteTarget> {
        let (_, target) = self.usable_target(request, index)?;
        let runs_both = matches!(
            target.role,
            TargetRole::Plain | TargetRole::Engine(EngineRole::Mixed)
        );
        runs_both.then_some(target)
    }

    /// Builds the choice of the target at `position`, without a predicted time.
    ///
    /// # Errors
    ///
    /// Fails if `position` is `None`, since no target is usable.
    fn unpredicted_choice(
        &self,
        request: &RouteRequest<'_>,
        target_indices: &[usize],
        position: Option<usize>,
    ) -> Result<Choice, RouteError> {
        let chosen = position.and_then(|position| self.targets.get_index(target_indices[position]));
        let Some((name, target)) = chosen else {
            return Err(self.no_target_error(request));
        };
        let mut demand = RequestDemand::default();
        if target.role != TargetRole::Plain {
            demand.prefill_tokens = u64::from(request.prompt_tokens);
            demand.blocks = request.blocks();
        }
        Ok(Choice {
            target: name.clone(),
            demand,
            prefill: None,
            cached_tokens: 0,
            first_token_ms: 0.0,
        })
    }
}
