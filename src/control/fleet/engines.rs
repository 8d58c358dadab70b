//! Plans model loads and role changes of the engines of one service.

use std::sync::Arc;

use crate::{
    infra::protocol::TargetState,
    log::records::{
        EngineOrder, EngineRole as RecordRole, LoadModel, SetRole, engine_order::Action,
        order_intent::Order,
    },
    policy::roles::{
        RolePlanner, RoleSettings, RoleTarget, TokenDemand, WeightLoadBudget, WeightLoadCandidate,
        choose_weight_load,
    },
    service::{Document, TargetKind},
    settings::RoleControl,
    target::{
        protocol::{EngineRole, EngineState, LoadedModel},
        table::TargetView,
    },
};

use super::PlannedOrder;

/// Assumed number of streams that an engine decodes concurrently.
pub(super) const ENGINE_STREAMS: f64 = 32.0;

/// Time within which the backlog of waiting prompts should be prefilled, in
/// seconds.
const BACKLOG_S: f64 = 5.0;

/// Plans orders to the engines of one service.
#[derive(Clone, Debug)]
pub struct EnginePlanner {
    control: RoleControl,
    roles: RolePlanner,
}

impl EnginePlanner {
    /// Returns a planner that has not observed any demand.
    pub fn new(control: RoleControl) -> Self {
        Self {
            control,
            roles: RolePlanner::new(RoleSettings::default()),
        }
    }

    /// Plans at most one model load and one role change, never both for one
    /// engine.
    pub fn plan(
        &mut self,
        service_document: &Document,
        views: &[TargetView],
        demand: TokenDemand,
        budget: &mut WeightLoadBudget,
        now_ms: u64,
    ) -> Vec<PlannedOrder> {
        let engines = engines_of(service_document, views);
        let mut orders = Vec::new();
        let load = plan_load(service_document, &engines);
        orders.extend(load.filter(|_| budget.withdraw(now_ms)));
        let role = self.plan_role(&engines, demand, now_ms);
        let has_load = |order: &PlannedOrder| orders.iter().any(|load| load.target == order.target);
        let role = role.filter(|order| !has_load(order));
        if let Some(order) = &role {
            self.roles.record_change(&order.target, now_ms);
        }
        orders.extend(role);
        orders
    }

    fn plan_role(
        &mut self,
        engines: &[Engine<'_>],
        demand: TokenDemand,
        now_ms: u64,
    ) -> Option<PlannedOrder> {
        if self.control == RoleControl::Fixed {
            return None;
        }
        let mut backlog_tokens = 0.0;
        let mut targets = Vec::with_capacity(engines.len());
        for engine in engines {
            backlog_tokens += engine.state.waiting_prefill_tokens as f64;
            targets.push(engine.role_target());
        }
        let demand = TokenDemand {
            prefill_tokens_per_s: demand.prefill_tokens_per_s + backlog_tokens / BACKLOG_S,
            ..demand
        };
        self.roles.observe(demand, now_ms);
        let change = self.roles.plan(&targets, now_ms)?;
        let role = SetRole {
            role: to_record_role(change.role).into(),
        };
        Some(PlannedOrder {
            target: change.target,
            order: engine_order(Action::SetRole(role)),
        })
    }
}

/// An engine with its last reported state.
struct Engine<'a> {
    view: &'a TargetView,
    state: &'a EngineState,
}

impl Engine<'_> {
    fn role_target(&self) -> RoleTarget {
        let streams = ENGINE_STREAMS;
        RoleTarget {
            name: self.view.name.clone(),
            role: self.state.role,
            available: self.view.is_available(),
            changing: self.state.changing,
            prefill_tokens_per_s: f64::from(self.state.prefill_tokens_per_s),
            decode_tokens_per_s: f64::from(self.state.decode_tokens_per_s) * streams,
        }
    }

    /// Returns a sort key for how much a model load would disrupt the engine: the
    /// number of its loaded models, then the number of its streams, which a load
    /// interrupts.
    fn load_disruption(&self) -> (usize, u32) {
        let streams = self.state.running + self.state.waiting;
        (self.state.models.len(), streams)
    }

    fn find_model(&self, model: &str, version: &str) -> Option<&LoadedModel> {
        let mut models = self.state.models.iter();
        models.find(|loaded| &*loaded.model == model && &*loaded.version == version)
    }

    fn has_loaded(&self, candidate: &WeightLoadCandidate) -> bool {
        let Some(loaded) = self.find_model(&candidate.model, &candidate.version) else {
            return false;
        };
        candidate.adapter.is_empty() || loaded.adapters.contains(&candidate.adapter)
    }
}

/// Returns the live engines of a service that have reported their state.
fn engines_of<'a>(service_document: &Document, views: &'a [TargetView]) -> Vec<Engine<'a>> {
    let mut engines = Vec::new();
    for view in views {
        let runs_service = service_document
            .kind(&view.kind)
            .is_some_and(TargetKind::is_engine);
        let Some(state) = &view.engine else {
            continue;
        };
        if runs_service && view.state == TargetState::Live {
            engines.push(Engine { view, state });
        }
    }
    engines
}

/// Chooses the most needed model load, and for it the engine with the fewest
/// models and, among equals, the fewest streams.
fn plan_load(service_document: &Document, engines: &[Engine<'_>]) -> Option<PlannedOrder> {
    let candidates = load_candidates(service_document, engines);
    let candidate = choose_weight_load(&candidates)?;
    let mut chosen: Option<&Engine<'_>> = None;
    for engine in engines {
        let has_model = engine
            .find_model(&candidate.model, &candidate.version)
            .is_some();
        let can_load = candidate.adapter.is_empty() || has_model;
        if !engine.view.is_available() || engine.has_loaded(candidate) || !can_load {
            continue;
        }
        if chosen.is_none_or(|other| engine.load_disruption() < other.load_disruption()) {
            chosen = Some(engine);
        }
    }
    let load = LoadModel {
        model: candidate.model.to_string(),
        version: candidate.version.to_string(),
        adapter: candidate.adapter.to_string(),
    };
    Some(PlannedOrder {
        target: chosen?.view.name.clone(),
        order: engine_order(Action::LoadModel(load)),
    })
}

/// Returns the models of a service, each alone and with each of its adapters, as
/// candidates for a load. Each candidate is wanted on an equal share of the
/// available engines, and on at least one.
fn load_candidates(
    service_document: &Document,
    engines: &[Engine<'_>],
) -> Vec<WeightLoadCandidate> {
    let available = engines.iter().filter(|engine| engine.view.is_available());
    let available = u32::try_from(available.count()).unwrap_or(u32::MAX);
    let models = u32::try_from(service_document.models.len()).unwrap_or(u32::MAX);
    let wanted = (available / models.max(1)).clamp(1, available.max(1));
    let mut candidates = Vec::new();
    for model in &service_document.models {
        let without_adapter = std::iter::once(Arc::<str>::default());
        for adapter in without_adapter.chain(model.adapters.iter().cloned()) {
            let mut candidate = WeightLoadCandidate {
                model: model.name.clone(),
                version: model.version.clone(),
                adapter,
                loaded_on: 0,
                wanted,
                unserved_per_s: 0.0,
            };
            for engine in engines {
                let has_loaded = engine.view.is_available() && engine.has_loaded(&candidate);
                candidate.loaded_on += u32::from(has_loaded);
            }
            candidates.push(candidate);
        }
    }
    candidates
}

fn engine_order(action: Action) -> Order {
    Order::Engine(EngineOrder {
        action: Some(action),
    })
}

fn to_record_role(role: EngineRole) -> RecordRole {
    match role {
        EngineRole::Mixed => RecordRole::Mixed,
        EngineRole::Prefill => RecordRole::Prefill,
        EngineRole::Decode => RecordRole::Decode,
    }
}
