//! Divides the mixed engines of each model between long prefills and decoding,
//! according to the demand recorded in the ledger.
//!
//! A mixed engine is one that can both prefill and decode.

use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::{
    control::fleet::DemandMeter,
    entry::{context::EntryContext, waiting::QueueKey},
    infra::protocol::TargetState,
    ledger::ServiceEntry,
    policy::{
        roles::TokenDemand,
        routing::{PartitionDemand, PartitionEngines},
    },
    service::{Document, KindRole, Model},
    sync,
    target::{
        protocol::{EngineRole, EngineState},
        table::TargetView,
    },
};

/// Minimum time between two divisions, in milliseconds.
const DIVISION_PERIOD_MS: u64 = 1_000;

/// Time constant of the exponential average of the demand, in seconds.
const AVERAGE_TIME_CONSTANT_S: f64 = 4.0;

/// Lower bound of the share of prompt tokens that belong to long prompts, as a
/// fraction. The bound keeps the quotient of output tokens and long prompt tokens
/// finite if there are few long prompts.
const MIN_LONG_SHARE: f64 = 0.01;

/// Averages the demand on each model and divides the model's mixed engines
/// accordingly.
#[derive(Debug)]
pub(super) struct PartitionUpdater {
    started_at: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    meter: DemandMeter,
    /// Time of the last update, in milliseconds since `started_at`.
    updated_at_ms: u64,
    averages: IndexMap<QueueKey, AverageDemand>,
}

/// Average demand on the engines of one model.
#[derive(Clone, Copy, Debug, Default)]
struct AverageDemand {
    prefill_tokens_per_s: f64,
    decode_tokens_per_s: f64,
}

impl PartitionUpdater {
    /// Creates an updater that has not observed any demand.
    pub(super) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Divides the engines of each model by the average demand; does nothing
    /// within [`DIVISION_PERIOD_MS`] of the last update.
    pub(super) fn update(&self, context: &EntryContext) {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        let mut state = sync::lock(&self.state);
        let elapsed_ms = now_ms - state.updated_at_ms;
        if elapsed_ms < DIVISION_PERIOD_MS {
            return;
        }
        state.updated_at_ms = now_ms;
        let smoothing = 1.0 - (-(elapsed_ms as f64) / 1_000.0 / AVERAGE_TIME_CONSTANT_S).exp();
        let (demands, services) = context.ledger().read(|ledger| {
            let demands = state.meter.observe(ledger, now_ms);
            let services: Vec<_> = ledger.services().cloned().collect();
            (demands, services)
        });
        for (key, model_demand) in model_demands(&services, &demands) {
            let average = state.averages.entry(key.clone()).or_default();
            average.observe(model_demand.demand, smoothing);
            divide_engines(context, &key, &model_demand.model, *average);
        }
    }
}

/// Demand on a model, summed over the services that use it.
#[derive(Debug)]
struct ModelDemand {
    model: Model,
    demand: TokenDemand,
}

/// Sums the demand on each model over all services.
///
/// The ledger records demand by service only, so it is split evenly between
/// the models of a service.
fn model_demands(
    services: &[Arc<ServiceEntry>],
    demands: &IndexMap<Arc<str>, TokenDemand>,
) -> IndexMap<QueueKey, ModelDemand> {
    let mut by_model: IndexMap<QueueKey, ModelDemand> = IndexMap::new();
    for entry in services {
        let document = &entry.document;
        let demand = demands.get(&document.service);
        let demand = demand.copied().unwrap_or_default();
        let share = 1.0 / document.models.len().max(1) as f64;
        for model in &document.models {
            let Some(key) = queue_key(document, model) else {
                continue;
            };
            let model_demand = by_model.entry(key).or_insert_with(|| ModelDemand {
                model: model.clone(),
                demand: TokenDemand::default(),
            });
            model_demand.demand.prefill_tokens_per_s += demand.prefill_tokens_per_s * share;
            model_demand.demand.decode_tokens_per_s += demand.decode_tokens_per_s * share;
        }
    }
    by_model
}

impl AverageDemand {
    /// Updates the exponential average with the demand since the last update, which
    /// is weighted by `smoothing`, from 0 to 1.
    fn observe(&mut self, demand: TokenDemand, smoothing: f64) {
        self.prefill_tokens_per_s +=
            smoothing * (demand.prefill_tokens_per_s - self.prefill_tokens_per_s);
        self.decode_tokens_per_s +=
            smoothing * (demand.decode_tokens_per_s - self.decode_tokens_per_s);
    }
}

/// Returns the key of the queue in which a model's requests wait. Returns `None` if
/// no route of the service leads to engines.
fn queue_key(document: &Document, model: &Model) -> Option<QueueKey> {
    let route = document.routes.iter().find(|route| {
        let kinds = &document.target_kinds;
        let kind = kinds.iter().find(|kind| kind.name == route.target_kind);
        kind.is_some_and(|kind| kind.role == KindRole::Engine)
    })?;
    Some(QueueKey {
        kind: route.target_kind.clone(),
        model: model.name.clone(),
    })
}

/// Divides the live mixed engines of a model by the average demand.
fn divide_engines(context: &EntryContext, key: &QueueKey, model: &Model, average: AverageDemand) {
    let engines = mixed_engines(&context.targets().snapshot(), key, model);
    let scheduler = context.scheduler();
    let mix = scheduler.request_mix(key);
    let demand = PartitionDemand {
        prefill_tokens_per_s: average.prefill_tokens_per_s * mix.long_share,
        waiting_tokens: scheduler.waiting_tokens(key, &model.version) * mix.long_share,
        decode_tokens_per_s: average.decode_tokens_per_s,
        decode_tokens_per_prefill_token: mix.output_tokens_per_prompt_token
            / mix.long_share.max(MIN_LONG_SHARE),
        blocks_per_request: mix.blocks_per_request,
    };
    scheduler.divide_engines(key, &model.version, &engines, &demand);
}

/// Returns the number and mean capacity of the live mixed engines that have a model
/// loaded.
fn mixed_engines(views: &[TargetView], key: &QueueKey, model: &Model) -> PartitionEngines {
    let mut engines = PartitionEngines::default();
    for view in views {
        let Some(state) = &view.engine else {
            continue;
        };
        let usable = view.kind == key.kind && view.state == TargetState::Live && !state.changing;
        if !usable || state.role != EngineRole::Mixed || !has_model(state, model) {
            continue;
        }
        engines.count += 1;
        engines.prefill_tokens_per_s += f64::from(state.prefill_tokens_per_s);
        engines.decode_tokens_per_s += f64::from(state.decode_tokens_per_s);
        engines.total_blocks += f64::from(state.total_blocks);
    }
    let count = engines.count.max(1) as f64;
    engines.prefill_tokens_per_s /= count;
    engines.decode_tokens_per_s /= count;
    engines.total_blocks /= count;
    engines
}

fn has_model(state: &EngineState, model: &Model) -> bool {
    let mut loaded = state.models.iter();
    loaded.any(|loaded| loaded.model == model.name && loaded.version == model.version)
}
