//! Sends orders to engines and to the platform, and reads which orders were
//! accepted.

use std::sync::Arc;

use super::super::{ObservedState, SentOrder, WriteOutcome};
use crate::{
    infra::{
        self, TargetsClient,
        protocol::{TargetList, TargetOrder},
    },
    ledger::LedgerHandle,
    log::records::{
        EngineRole as RecordRole, FleetOrder, engine_order::Action, order_intent::Order,
    },
    target::{
        self, EngineClient,
        protocol::{EngineAction, EngineOrderRequest, EngineRole},
        table::TargetTable,
    },
};

/// Prefix of the names of target groups. A target group comprises the targets of
/// one kind in one failure domain and is ordered from the platform.
const PLATFORM_PREFIX: &str = "platform/";

/// HTTP status of an order that was refused because of an old fencing token.
const CONFLICT: u16 = 409;

/// Returns the name of the target group of a kind and failure domain, which the
/// intents of orders to the platform contain as their target.
pub fn fleet_target(kind: &str, failure_domain: &str) -> Arc<str> {
    format!("{PLATFORM_PREFIX}{kind}/{failure_domain}").into()
}

/// Client for fleet orders to engines and to the platform; cheap to clone.
#[derive(Clone, Debug)]
pub struct FleetClient {
    /// Table of known targets.
    pub table: TargetTable,
    /// Client for engines.
    pub engines: EngineClient,
    /// Client for ordering targets from the platform.
    pub platform: TargetsClient,
}

impl FleetClient {
    /// Writes an order once, without retries.
    pub async fn write(&self, sent: SentOrder) -> WriteOutcome {
        match &sent.order {
            Order::Engine(order) => match &order.action {
                Some(action) => self.write_engine(&sent, action).await,
                None => WriteOutcome::Refused,
            },
            Order::Fleet(order) => self.write_fleet(&sent, order).await,
            Order::Usage(_) => WriteOutcome::Refused,
        }
    }

    async fn write_engine(&self, sent: &SentOrder, action: &Action) -> WriteOutcome {
        let Some(address) = self.target_address(&sent.target) else {
            return WriteOutcome::Refused;
        };
        let request = EngineOrderRequest {
            order_id: sent.order_id,
            epoch: sent.epoch,
            action: engine_action(action),
        };
        match self.engines.order(&address, &request).await {
            Ok(()) => WriteOutcome::Applied,
            Err(target::Error::Status { status, .. }) if status == CONFLICT => {
                WriteOutcome::Refused
            }
            Err(error) if !error.may_have_been_sent() => WriteOutcome::Refused,
            Err(error) => {
                let target = &sent.target;
                tracing::warn!(
                    "control: order {} to {target}: outcome unknown: {error}",
                    sent.order_id
                );
                WriteOutcome::Unknown
            }
        }
    }

    async fn write_fleet(&self, sent: &SentOrder, order: &FleetOrder) -> WriteOutcome {
        let request = TargetOrder {
            order_id: sent.order_id,
            epoch: sent.epoch,
            kind: order.kind.as_str().into(),
            failure_domain: order.failure_domain.as_str().into(),
            count: order.count,
        };
        match self.platform.order(&request).await {
            Ok(()) => WriteOutcome::Applied,
            Err(infra::Error::OldEpoch { .. }) => WriteOutcome::Refused,
            Err(error) if !error.may_have_been_sent() => WriteOutcome::Refused,
            Err(error) => {
                tracing::warn!(
                    "control: order {} to the platform: outcome unknown: {error}",
                    sent.order_id
                );
                WriteOutcome::Unknown
            }
        }
    }

    /// Reads which order was last accepted by an engine or, for a target group, by the
    /// platform.
    pub async fn observe(&self, target: Arc<str>) -> ObservedState {
        if target.starts_with(PLATFORM_PREFIX) {
            let list = self.platform.list().await;
            return list.map_or(ObservedState::Unreachable, |list| {
                ObservedState::LastOrder(last_fleet_order_id(&list, &target))
            });
        }
        let Some(address) = self.target_address(&target) else {
            return self.observe_unlisted(&target).await;
        };
        let state = self.engines.state(&address).await;
        state.map_or(ObservedState::Unreachable, |state| {
            ObservedState::LastOrder(state.last_order_id)
        })
    }

    /// Observes a target that the target table does not contain. If the platform does
    /// not list the target either, the target is gone.
    async fn observe_unlisted(&self, target: &str) -> ObservedState {
        let Ok(list) = self.platform.list().await else {
            return ObservedState::Unreachable;
        };
        let listed = list.targets.iter().any(|known| &*known.name == target);
        if listed {
            ObservedState::Unreachable
        } else {
            ObservedState::Gone
        }
    }

    /// Returns whether an engine should not be sent an order at the moment. This is
    /// the case if the engine is executing an order, if its state cannot be read, or
    /// if no other engine of the same kind could resume its streams. Target groups
    /// of the platform accept orders at any time.
    pub async fn is_busy(&self, target: &str) -> bool {
        if target.starts_with(PLATFORM_PREFIX) {
            return false;
        }
        let Some(address) = self.target_address(target) else {
            return true;
        };
        let Ok(state) = self.engines.state(&address).await else {
            return true;
        };
        let has_streams = state.running + state.waiting > 0;
        state.changing || (has_streams && !self.has_substitute(target))
    }

    /// Returns whether another available engine has the same target kind.
    fn has_substitute(&self, target: &str) -> bool {
        let views = self.table.snapshot();
        let Some(own) = views.iter().find(|view| &*view.name == target) else {
            return false;
        };
        views
            .iter()
            .any(|view| view.kind == own.kind && view.name != own.name && view.is_available())
    }

    /// Returns whether a target refuses orders with an old fencing token,
    /// according to the service documents.
    pub fn checks_fencing(&self, ledger: &LedgerHandle, target: &str) -> bool {
        let views = self.table.snapshot();
        let Some(view) = views.iter().find(|view| &*view.name == target) else {
            return false;
        };
        ledger.read(|ledger| {
            let mut services = ledger.services();
            services.any(|entry| {
                let kind = entry.document.kind(&view.kind);
                kind.is_some_and(|kind| kind.checks_fencing)
            })
        })
    }

    fn target_address(&self, target: &str) -> Option<Arc<str>> {
        let views = self.table.snapshot();
        let view = views.iter().find(|view| &*view.name == target);
        view.map(|view| view.address.clone())
    }
}

/// Returns the identifier of the last order that the platform accepted for a
/// target group, or 0 if there was none.
fn last_fleet_order_id(list: &TargetList, target: &str) -> u64 {
    for order in &list.orders {
        if *fleet_target(&order.kind, &order.failure_domain) == *target {
            return order.last_order_id;
        }
    }
    0
}

fn engine_action(action: &Action) -> EngineAction {
    match action {
        Action::LoadModel(load) => EngineAction::LoadModel {
            model: load.model.as_str().into(),
            version: load.version.as_str().into(),
            adapter: load.adapter.as_str().into(),
        },
        Action::UnloadModel(unload) => EngineAction::UnloadModel {
            model: unload.model.as_str().into(),
        },
        Action::SetRole(set_role) => EngineAction::SetRole {
            role: match set_role.role() {
                RecordRole::Unspecified | RecordRole::Mixed => EngineRole::Mixed,
                RecordRole::Prefill => EngineRole::Prefill,
                RecordRole::Decode => EngineRole::Decode,
            },
        },
    }
}
