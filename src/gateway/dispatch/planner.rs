//! Places the prompts of all instances on the engines of a service.

use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;

use super::{
    datagram::decode_prompt,
    frames::{Declined, Failure, Notice, Placed, Prefilled, Query, datagram::Body},
    service_plan::ServicePlan,
};
use crate::{
    call::Prompt,
    catalog::Catalog,
    gateway::{
        engine::{
            decode::{MIN_SLOT_TIME_MS, WEIGHTS},
            placement::{CACHE_SHARE, candidates_with},
        },
        state::State,
        target::loads::AttemptOutcome,
    },
    policy::{
        dispatch::{OutstandingPlacement, PlacementKey},
        engine_profile::EngineProfile,
        placement::{EngineCandidate, Placement, PlacementInput, choose_prefill_engine},
        spread::{SpreadCandidate, choose_least_loaded},
    },
    roster::Target,
    sync,
};

/// Places prompts for all instances. Does nothing until it is queried.
#[derive(Debug, Default)]
pub(super) struct Planner {
    services: Mutex<ServicePlans>,
}

/// Plans of the configured services.
#[derive(Debug, Default)]
struct ServicePlans {
    plans: IndexMap<Arc<str>, ServicePlan>,
    /// Version of the configuration that has all services of `plans`.
    version: u64,
}

impl ServicePlans {
    /// Returns the plan of a service; `None` if the configuration does not have the service.
    /// Datagrams may name any service, and plans of all of them would need unbounded memory.
    fn configured(&mut self, service: &str, catalog: &Catalog) -> Option<&mut ServicePlan> {
        if self.version != catalog.version() {
            self.plans.retain(|name, _| catalog.service(name).is_some());
            self.version = catalog.version();
        }
        let name = &catalog.service(service)?.name;
        Some(self.plans.entry(name.clone()).or_default())
    }
}

impl Planner {
    /// Places a prompt and returns the answer to the query.
    pub(super) fn place(&self, state: &State, key: PlacementKey, query: &Query) -> Body {
        let declined = Body::Declined(Declined {
            number: query.number,
        });
        let Some(prompt) = query.prompt.as_ref().map(decode_prompt) else {
            return declined;
        };
        let service: Arc<str> = query.service.as_str().into();
        let mut services = self.lock();
        let Some(plan) = configured_plan(&mut services, state, &service, key) else {
            return declined;
        };
        let targets = state.targets(&service);
        plan.update_engines(&targets);
        let boots = &plan.boots;
        plan.ledger
            .expire(state.now_ms(), |engine| boots.contains_key(engine));
        let is_tried = |id: &Arc<str>| query.tried.iter().any(|tried| **tried == **id);
        let objective_ms = f64::from(query.objective_ms);
        let mut candidates =
            candidates_with(state, &targets, objective_ms, is_tried, |_, target| {
                plan.load(target)
            });
        let now_ms = state.now_ms();
        for candidate in &mut candidates {
            let load = candidate.requests;
            candidate.slowness = plan.speeds.slowness(&candidate.id, load, now_ms);
        }
        let profile = state.engines().profile(&service);
        let chosen = choose(state, plan, query, &prompt, &candidates, &profile);
        let Some(placement) = chosen else {
            return declined;
        };
        if query.may_refuse
            && let Some(refused) = plan.refuse(query, &placement, &candidates, &profile, now_ms)
        {
            return Body::Refused(refused);
        }
        let target = &targets[placement.index];
        let decode_target = match placement.is_local_prefill {
            true => None,
            false => choose_decoder(plan, &candidates, &placement, &prompt, &profile),
        };
        let decode_target = decode_target.map(|index| &targets[index]);
        let load = plan.load(target);
        insert(
            state,
            plan,
            key,
            OutstandingPlacement {
                engine: target.id.clone(),
                decode_engine: decode_target.map(|target| target.id.clone()),
                is_local_prefill: placement.is_local_prefill,
                parts: prompt.parts,
                uncached_tokens: placement.uncached_tokens,
                tokens_ahead: load.queued_tokens,
                requests_ahead: load.requests,
                left_ms: query.left_ms.into(),
            },
            &service,
        );
        let mut loads = state.loads();
        loads.record_send(&target.id, state.now_ms());
        drop(loads);
        let id_of = |target: &Arc<Target>| target.id.to_string();
        let fetch_from = placement.fetch_from.map(|index| &targets[index]);
        Body::Placed(Placed {
            number: query.number,
            target: id_of(target),
            fetch_from: fetch_from.map_or_else(String::new, id_of),
            decode_target: decode_target.map_or_else(String::new, id_of),
            local_prefill: placement.is_local_prefill,
            uncached_tokens: placement.uncached_tokens,
            queued_tokens: load.queued_tokens as u32,
            requests: load.requests as u32,
            first_event_ms: placement.first_event_ms as u32,
            wait_ms: placement.wait_ms as u32,
        })
    }

    /// Adds a placement that was decided on elsewhere.
    pub(super) fn note(&self, state: &State, key: PlacementKey, notice: Notice) {
        let service: Arc<str> = notice.service.as_str().into();
        let prompt = notice.prompt.as_ref().map(decode_prompt);
        let mut services = self.lock();
        let Some(plan) = configured_plan(&mut services, state, &service, key) else {
            return;
        };
        let backlog = plan.ledger.backlog(&notice.target);
        let decode_engine = (!notice.decode_target.is_empty()).then_some(notice.decode_target);
        let placement = OutstandingPlacement {
            engine: notice.target.into(),
            decode_engine: decode_engine.map(Arc::from),
            is_local_prefill: notice.local_prefill,
            parts: prompt.map_or_else(Vec::new, |prompt| prompt.parts),
            uncached_tokens: notice.uncached_tokens,
            tokens_ahead: backlog.queued_tokens as f64,
            requests_ahead: backlog.requests.into(),
            left_ms: notice.left_ms.into(),
        };
        insert(state, plan, key, placement, &service);
        if notice.prefilled {
            plan.ledger.record_prefilled(key);
        }
    }

    /// Records that the prompt of a placement is prefilled. `is_own` tells whether this
    /// instance received the request.
    pub(super) fn record_prefilled(
        &self,
        state: &State,
        key: PlacementKey,
        report: &Prefilled,
        is_own: bool,
    ) {
        let mut services = self.lock();
        let Some(plan) = services.plans.get_mut(&*report.service) else {
            return;
        };
        let Some(prefilled) = plan.ledger.record_prefilled(key) else {
            return;
        };
        let capacity_tokens = cache_capacity_tokens(state, &report.service);
        let engines = [Some(&prefilled.engine), prefilled.decode_engine.as_ref()];
        for engine in engines.into_iter().flatten() {
            plan.cached
                .insert(engine, &prefilled.parts, capacity_tokens);
        }
        let elapsed_ms = f64::from(report.elapsed_ms);
        let profile = state.engines().profile(&report.service);
        let expected_ms = match prefilled.is_local_prefill {
            true => profile.learned_local_prefill_ms(prefilled.tokens),
            false => profile.learned_remote_prefill_ms(prefilled.tokens),
        };
        if let Some(expected_ms) = expected_ms {
            plan.speeds.observe(
                &prefilled.engine,
                prefilled.requests_ahead,
                expected_ms,
                elapsed_ms,
                state.now_ms(),
            );
        }
        if is_own {
            // The answer and its time have been observed.
            return;
        }
        let now_ms = state.now_ms();
        state
            .loads()
            .observe(&prefilled.engine, AttemptOutcome::Answered, now_ms);
        state.engines().update_profile(&report.service, |profile| {
            match prefilled.is_local_prefill {
                true => profile.observe_local_prefill(prefilled.tokens, elapsed_ms),
                false => profile.observe_remote_prefill(prefilled.tokens, elapsed_ms),
            }
        });
    }

    /// Removes a placement that has ended.
    pub(super) fn end(&self, service: &str, key: PlacementKey) {
        if let Some(plan) = self.lock().plans.get_mut(service) {
            plan.ledger.remove(key);
        }
    }

    /// Counts a failed attempt of another instance against the target.
    pub(super) fn record_failure(&self, state: &State, failure: &Failure) {
        let target = state.with_roster(|roster| roster.get(&failure.target).cloned());
        let Some(target) = target else {
            return;
        };
        let outcome = match failure.refused {
            true => AttemptOutcome::Refused,
            false => AttemptOutcome::Unreachable,
        };
        let now_ms = state.now_ms();
        state.loads().observe(&target.id, outcome, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, ServicePlans> {
        sync::lock(&self.services)
    }
}

/// Returns the plan of a service to which a datagram refers. Counts the datagram as ignored if
/// the configuration does not have the service or is not read yet.
fn configured_plan<'a>(
    services: &'a mut ServicePlans,
    state: &State,
    service: &str,
    key: PlacementKey,
) -> Option<&'a mut ServicePlan> {
    let catalog = state.catalog();
    let plan = catalog.and_then(|catalog| services.configured(service, &catalog));
    if plan.is_none() {
        metrics::counter!("dispatch_datagrams_ignored_total", "cause" => "service").increment(1);
        tracing::debug!(
            service,
            instance = %key.instance,
            number = key.number,
            "dispatch: placement of an unknown service ignored"
        );
    }
    plan
}

/// Adds a placement to the ledger, and its parts to those that the engine will have cached.
fn insert(
    state: &State,
    plan: &mut ServicePlan,
    key: PlacementKey,
    placement: OutstandingPlacement,
    service: &str,
) {
    let capacity_tokens = cache_capacity_tokens(state, service);
    plan.planned
        .insert(&placement.engine, &placement.parts, capacity_tokens);
    plan.ledger.insert(key, placement, state.now_ms());
}

fn choose(
    state: &State,
    plan: &ServicePlan,
    query: &Query,
    prompt: &Prompt,
    candidates: &[EngineCandidate],
    profile: &EngineProfile,
) -> Option<Placement> {
    let engine = state.engine(&query.service);
    let input = PlacementInput {
        profile,
        cached: &plan.planned,
        capacity_tokens: cache_capacity_tokens(state, &query.service),
        token_transfer_ms: engine.map_or(0.0, |engine| engine.transfer_ms(1)),
        event_objective_ms: query.event_objective_ms.into(),
        latency_objective_ms: query.objective_ms.into(),
        prefers_copy: false,
        prefill_share: 1.0,
        sample_point: 0,
        fleet_cached: Some(&plan.cached),
    };
    choose_prefill_engine(prompt, candidates, &input)
}

/// Returns the index of the engine that is to decode an answer after a remote prefill.
fn choose_decoder(
    plan: &ServicePlan,
    candidates: &[EngineCandidate],
    placement: &Placement,
    prompt: &Prompt,
    profile: &EngineProfile,
) -> Option<usize> {
    let domain = &candidates[placement.index].failure_domain;
    let slot_time_ms = profile
        .slot_time_ms(prompt.max_output_tokens)
        .max(MIN_SLOT_TIME_MS);
    let mut decoders = Vec::new();
    let mut indices = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.prefills() || candidate.is_excluded || candidate.is_unreachable {
            continue;
        }
        let backlog = plan.ledger.backlog(&candidate.id);
        let queued_ms = backlog.queued_tokens as f64 * profile.local_prefill_ms_per_token();
        // Local prefill stalls the streams in all slots of the engine.
        let occupied_slots = queued_ms * f64::from(candidate.slots) / slot_time_ms;
        decoders.push(SpreadCandidate {
            in_flight: f64::from(backlog.requests) + occupied_slots,
            slots: candidate.slots,
            in_same_domain: candidate.failure_domain == *domain,
            failure_rate: 0.0,
            may_change_role: false,
            slowness: candidate.slowness,
        });
        indices.push(index);
    }
    let point = rand::random();
    choose_least_loaded(&decoders, &WEIGHTS, point).map(|chosen| indices[chosen])
}

/// Returns the number of tokens that an engine keeps cached for the prompts of all instances.
fn cache_capacity_tokens(state: &State, service: &str) -> u64 {
    let kv_tokens = state.engine(service).map_or(0, |engine| engine.kv_tokens);
    (CACHE_SHARE * kv_tokens as f64) as u64
}
