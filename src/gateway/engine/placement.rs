//! Selection of the engine that prefills a prompt.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use tokio::time::{Instant, timeout};

use crate::{
    call::{Call, Prompt},
    gateway::{
        caller::reply::Refusal,
        dispatch::{QueryOutcome, Ticket},
        engine::decode::role_settle_time,
        state::State,
        target::{
            engine_call,
            loads::{FleetLoad, Loads, Report},
        },
    },
    peer::MAX_MESH_INSTANCES,
    policy::{
        engine_profile::PromptSize,
        placement::{EngineCandidate, PlacementInput, choose_prefill_engine, compared_candidates},
    },
    roster::Target,
    target::protocol::EngineRole,
};

/// Share of prompts that are preferably sent to the engine with the second copy of
/// their shared parts instead of their home, the engine with the first copy. The
/// second copy thus stays cached in case the home is lost.
const COPY_SHARE: f64 = 0.15;

/// Share of an engine's KV memory that is assumed to hold cached prompt parts besides
/// the running requests.
pub(in crate::gateway) const CACHE_SHARE: f64 = 0.8;

/// Cost of an engine whose requests all fail, as a multiple of the latency
/// objective.
const FAILURE_COST_OBJECTIVES: f64 = 6.0;

/// Cost of an engine that is so new that its role may still change, as a multiple
/// of the latency objective.
const ROLE_CHANGE_COST_OBJECTIVES: f64 = 0.2;

/// Minimum predicted time to prefill a whole prompt, in milliseconds, for which engines
/// are queried for their loads before the placement.
const MIN_QUERIED_PREFILL_MS: f64 = 50.0;

/// Timeout of a load query before a placement.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(25);

/// Result of the choice of an engine.
#[derive(Debug)]
pub(in crate::gateway) enum Choice {
    /// An engine is selected.
    Engine(PrefillChoice),
    /// The dispatcher refuses the request.
    Refused(Refusal),
    /// No engine accepts the prompt.
    NoEngine,
}

/// The engine selected to prefill a prompt.
#[derive(Debug)]
pub(in crate::gateway) struct PrefillChoice {
    pub(in crate::gateway) target: Arc<Target>,
    /// Prompt tokens already waiting for prefill on `target`.
    pub(in crate::gateway) queued_tokens: f64,
    /// Requests in flight on `target`, from all instances.
    pub(in crate::gateway) requests: f64,
    /// Tokens of the prompt that `target` has to prefill.
    pub(in crate::gateway) uncached_tokens: u32,
    /// Engine from which `target` fetches the KV cache of the prompt's shared parts.
    pub(in crate::gateway) fetch_from: Option<Arc<Target>>,
    /// Whether `target` also decodes the answer.
    pub(in crate::gateway) is_local_prefill: bool,
    /// Predicted time to the first event, in milliseconds.
    pub(in crate::gateway) first_event_ms: f64,
    /// Part of `first_event_ms` that is spent waiting for other requests.
    pub(in crate::gateway) wait_ms: f64,
    /// Whether `wait_ms` alone exceeds the limit above which prompts are refused.
    pub(in crate::gateway) is_overloaded: bool,
    /// Engine that is to decode the answer, if the dispatcher has chosen one.
    pub(in crate::gateway) decode_target: Option<Arc<Target>>,
    /// Reports the progress of the placement to the dispatcher, if there is one.
    pub(in crate::gateway) ticket: Option<Ticket>,
}

/// Selects the engine that prefills a prompt; engines in `tried` are not selected.
///
/// The dispatcher of the service is asked if the settings say so and it answers in time.
/// `may_refuse` tells whether it may refuse the request.
pub(in crate::gateway) async fn choose_engine(
    state: &Arc<State>,
    call: &Call,
    prompt: &Prompt,
    tried: &[Arc<str>],
    may_refuse: bool,
) -> Choice {
    let Some(dispatch) = state.dispatch() else {
        let chosen = choose_alone(state, call, prompt, tried).await;
        return chosen.map_or(Choice::NoEngine, Choice::Engine);
    };
    let ticket = match dispatch.query(state, call, prompt, tried, may_refuse).await {
        QueryOutcome::Placed(choice) => return Choice::Engine(choice),
        QueryOutcome::Refused(refusal) => return Choice::Refused(refusal),
        QueryOutcome::Unanswered { ticket } => ticket,
    };
    let Some(mut choice) = choose_alone(state, call, prompt, tried).await else {
        return Choice::NoEngine;
    };
    dispatch.announce(state, call, prompt, &choice, &ticket);
    choice.ticket = Some(ticket);
    Choice::Engine(choice)
}

/// Selects the engine by what this instance knows.
///
/// In a large fleet, the candidates' loads may be queried first.
pub(in crate::gateway) async fn choose_alone(
    state: &Arc<State>,
    call: &Call,
    prompt: &Prompt,
    tried: &[Arc<str>],
) -> Option<PrefillChoice> {
    let targets = state.targets(&call.service);
    let sample_point = rand::random();
    if should_query_loads(state, call, prompt, &targets) {
        let candidates = engine_candidates(state, call, &targets, tried);
        let queried = with_placement_input(state, call, &candidates, sample_point, |input| {
            compared_candidates(prompt, &candidates, input)
        });
        let queries = queried
            .iter()
            .map(|&index| query_load(state, &targets[index]));
        join_all(queries).await;
    }
    let candidates = engine_candidates(state, call, &targets, tried);
    let placement = with_placement_input(state, call, &candidates, sample_point, |input| {
        choose_prefill_engine(prompt, &candidates, input)
    })?;
    let candidate = &candidates[placement.index];
    let objective_ms = call.route.latency_objective.as_secs_f64() * 1_000.0;
    Some(PrefillChoice {
        target: targets[placement.index].clone(),
        queued_tokens: candidate.queued_tokens,
        requests: candidate.requests,
        uncached_tokens: placement.uncached_tokens,
        fetch_from: placement.fetch_from.map(|index| targets[index].clone()),
        is_local_prefill: placement.is_local_prefill,
        first_event_ms: placement.first_event_ms,
        wait_ms: placement.wait_ms,
        is_overloaded: placement.is_overloaded(objective_ms),
        decode_target: None,
        ticket: None,
    })
}

/// Calls `decide` with all inputs of a placement other than the candidates.
fn with_placement_input<F, T>(
    state: &State,
    call: &Call,
    candidates: &[EngineCandidate],
    sample_point: u64,
    decide: F,
) -> T
where
    F: FnOnce(&PlacementInput<'_>) -> T,
{
    let profile = state.engines().profile(&call.service);
    let engine = state.engine(&call.service);
    let event_objective = call.route.event_objective;
    let event_objective = event_objective.unwrap_or(call.route.latency_objective);
    let prefill_share = prefill_share(state, call, candidates);
    let loads = state.loads();
    decide(&PlacementInput {
        profile: &profile,
        cached: &loads.chains,
        capacity_tokens: cache_capacity_tokens(state, &call.service),
        token_transfer_ms: engine.map_or(0.0, |engine| engine.transfer_ms(1)),
        event_objective_ms: event_objective.as_secs_f64() * 1_000.0,
        latency_objective_ms: call.route.latency_objective.as_secs_f64() * 1_000.0,
        prefers_copy: sample_point as f64 / u64::MAX as f64 <= COPY_SHARE,
        prefill_share,
        sample_point,
        fleet_cached: None,
    })
}

/// Returns whether engines are queried for their loads before a placement.
///
/// Engines are queried if the fleet is too large for peers to report each change of
/// load, the engines are busy and the prompt is long. A wrong choice then costs far
/// more time than the query.
fn should_query_loads(
    state: &State,
    call: &Call,
    prompt: &Prompt,
    targets: &[Arc<Target>],
) -> bool {
    if state.instances() <= MAX_MESH_INSTANCES {
        return false;
    }
    let is_prefilling = |target: &&Arc<Target>| target.role == Some(EngineRole::Prefill);
    let prefilling = targets.iter().filter(is_prefilling).count();
    let engines = state.engines();
    let prefill_ms_per_token = engines.profile(&call.service).remote_prefill_ms_per_token();
    f64::from(prompt.prompt_tokens) * prefill_ms_per_token >= MIN_QUERIED_PREFILL_MS
        && engines
            .load(&call.service)
            .is_busy(targets.len(), prefilling)
}

/// Queries the load of an engine, unless its last report is still fresh.
async fn query_load(state: &Arc<State>, target: &Arc<Target>) {
    let requested_at_ms = state.now_ms();
    if state.loads().has_fresh_report(&target.id, requested_at_ms) {
        return;
    }
    let query = engine_call::load_report(state, target);
    let Ok(Ok(report)) = timeout(LOAD_QUERY_TIMEOUT, query).await else {
        metrics::counter!("gateway_reports_missed_total").increment(1);
        return;
    };
    let report = Report {
        running: report.running,
        waiting: report.waiting,
        requested_at_ms,
    };
    state.loads().set_report(&target.id, report);
}

/// Returns the share of long prompts for which prefill engines have capacity.
///
/// Instances of a large fleet know only the total demand on all engines. Instances
/// of a small fleet know the queue of each engine and need no limit, so the share
/// is 1.
fn prefill_share(state: &State, call: &Call, candidates: &[EngineCandidate]) -> f64 {
    if state.instances() <= MAX_MESH_INSTANCES {
        return 1.0;
    }
    let prefilling = candidates.iter().filter(|candidate| candidate.prefills());
    let load = state.engines().load(&call.service);
    load.prefill_share(prefilling.count())
}

/// Adds the work of a prompt to the work requested from the service's engines.
pub(in crate::gateway) fn record_work(
    state: &State,
    call: &Call,
    prompt: &Prompt,
    uncached_tokens: u32,
) {
    let slots = state.engine(&call.service).map_or(1, |engine| engine.slots);
    let size = PromptSize {
        prompt_tokens: prompt.prompt_tokens,
        uncached_tokens,
        max_output_tokens: prompt.max_output_tokens,
    };
    state.engines().record_work(&call.service, &size, slots);
}

/// Records that an engine has a call's prompt in its cache.
pub(in crate::gateway) fn record_cached_prompt(state: &State, call: &Call, target: &Target) {
    let Some(prompt) = &call.prompt else {
        return;
    };
    let capacity_tokens = cache_capacity_tokens(state, &call.service);
    let mut loads = state.loads();
    loads
        .chains
        .insert(&target.id, &prompt.parts, capacity_tokens);
}

/// Returns the number of tokens that an engine keeps cached for prompts from this
/// instance, assuming that all instances send equally many prompts to the engine.
fn cache_capacity_tokens(state: &State, service: &str) -> u64 {
    let kv_tokens = state.engine(service).map_or(0, |engine| engine.kv_tokens);
    (CACHE_SHARE * kv_tokens as f64 / state.instances() as f64) as u64
}

/// Returns one candidate for each of `targets`, in the same order, with the loads that this
/// instance knows.
fn engine_candidates(
    state: &State,
    call: &Call,
    targets: &[Arc<Target>],
    tried: &[Arc<str>],
) -> Vec<EngineCandidate> {
    let now_ms = state.now_ms();
    let objective_ms = call.route.latency_objective.as_secs_f64() * 1_000.0;
    let is_tried = |id: &Arc<str>| tried.contains(id);
    candidates_with(state, targets, objective_ms, is_tried, |loads, target| {
        loads.in_flight(&target.id, now_ms)
    })
}

/// Returns one candidate for each of `targets`, which are engines of one service, in the same
/// order. `load_of` returns the load of an engine.
pub(in crate::gateway) fn candidates_with<T, L>(
    state: &State,
    targets: &[Arc<Target>],
    objective_ms: f64,
    is_tried: T,
    load_of: L,
) -> Vec<EngineCandidate>
where
    T: Fn(&Arc<str>) -> bool,
    L: Fn(&Loads, &Target) -> FleetLoad,
{
    let now_ms = state.now_ms();
    let now = Instant::now();
    let settle_time = targets.first().map_or(Duration::ZERO, |target| {
        role_settle_time(state, &target.service)
    });
    let loads = state.loads();
    let mut candidates = Vec::with_capacity(targets.len());
    for target in targets {
        let is_open = target.takes_requests(now) && !is_tried(&target.id) && state.admits(target);
        let in_flight = load_of(&loads, target);
        let is_allowed = loads.allows(&target.id, now_ms);
        let mut penalty = FAILURE_COST_OBJECTIVES * loads.failure_rate(&target.id);
        if target.first_seen_at.elapsed() < settle_time {
            penalty += ROLE_CHANGE_COST_OBJECTIVES;
        }
        candidates.push(EngineCandidate {
            id: target.id.clone(),
            failure_domain: target.failure_domain.clone(),
            role: target.role.unwrap_or(EngineRole::Mixed),
            is_excluded: !is_open || !is_allowed,
            is_unreachable: !loads.is_reachable(&target.id) && !is_allowed,
            queued_tokens: in_flight.queued_tokens,
            requests: in_flight.requests,
            slots: target.slots,
            penalty_ms: penalty * objective_ms,
            slowness: state.slowness(&target.id, in_flight.requests),
        });
    }
    candidates
}
