//! Baseline policies that predicted routing is compared with.

use super::{Choice, RouteError, RouteRequest, RouteTable, RouteTarget, TargetRole};
use crate::{
    policy::{
        baseline::{RoundRobin, least_in_flight},
        load::Demand,
    },
    target::protocol::EngineRole,
};

impl RouteTable {
    /// Chooses the usable targets of a group in turn.
    pub(super) fn choose_round_robin(
        &self,
        request: &RouteRequest<'_>,
        group: &[usize],
    ) -> Result<Choice, RouteError> {
        let mut round_robin = RoundRobin::starting_at(self.dispatched % group.len());
        let chosen = round_robin.choose(group.len(), |index| {
            self.usable_for_prefill_and_decode(request, group[index])
                .is_some()
        });
        self.unpredicted(request, group, chosen)
    }

    /// Chooses the usable target with the fewest requests in flight from this
    /// instance.
    pub(super) fn choose_least_in_flight(
        &self,
        request: &RouteRequest<'_>,
        group: &[usize],
    ) -> Result<Choice, RouteError> {
        let mut in_flight = Vec::with_capacity(group.len());
        for &index in group {
            in_flight.push(self.targets[index].load.own().requests);
        }
        let chosen = least_in_flight(&in_flight, |index| {
            self.usable_for_prefill_and_decode(request, group[index])
                .is_some()
        });
        self.unpredicted(request, group, chosen)
    }

    /// Returns a usable target that can run both prefill and decode of a request.
    fn usable_for_prefill_and_decode(
        &self,
        request: &RouteRequest<'_>,
        index: usize,
    ) -> Option<&RouteTarget> {
        let (_, target) = self.usable(request, index)?;
        let runs_both = matches!(
            target.role,
            TargetRole::Plain | TargetRole::Engine(EngineRole::Mixed)
        );
        runs_both.then_some(target)
    }

    /// Builds the choice of a target, without a prediction.
    fn unpredicted(
        &self,
        request: &RouteRequest<'_>,
        group: &[usize],
        chosen: Option<usize>,
    ) -> Result<Choice, RouteError> {
        let found = chosen.and_then(|chosen| self.targets.get_index(group[chosen]));
        let Some((name, target)) = found else {
            return Err(self.no_target_error(request));
        };
        let mut demand = Demand::default();
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
