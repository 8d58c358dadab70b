//! Assigns roles to engines so that prefill and decode capacity match the load.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::duty_lease::DutyLease;
use crate::{
    gateway::{state::State, target::engine_call},
    policy::role_split::{SplitEngine, plan_changes, wanted_prefill_engines},
    roster::Target,
    target::protocol::EngineRole,
};

/// Interval between two evaluations of the roles.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time after which an order without visible effect is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before an engine that did not accept an order gets another one.
const FAILED_ORDER_DELAY: Duration = Duration::from_millis(1_500);

/// Assigns the roles of all engines while this instance holds the lease. Never
/// returns.
pub(in crate::gateway) async fn maintain_roles(state: Arc<State>, lease: Arc<DutyLease>) {
    let mut orders: IndexMap<Arc<str>, LastOrder> = IndexMap::new();
    loop {
        sleep(CHECK_PERIOD).await;
        if lease.holder().is_none() {
            orders.clear();
            continue;
        }
        let Some(catalog) = state.catalog() else {
            continue;
        };
        for service in catalog.services() {
            if service.engine.is_some() {
                balance_service_roles(&state, &lease, &service.name, &mut orders).await;
            }
        }
    }
}

/// Outcome of the last order to an engine.
#[derive(Clone, Copy, Debug)]
enum LastOrder {
    /// The engine may have accepted the order; the list of targets does not show the
    /// new role yet.
    Pending { role: EngineRole, at: Instant },
    /// The engine did not accept the order.
    Failed { at: Instant },
}

impl LastOrder {
    /// Returns whether this order still affects planning, given the engine's
    /// current `role`.
    fn is_current(&self, role: Option<EngineRole>) -> bool {
        match self {
            Self::Pending { role: ordered, at } => {
                role != Some(*ordered) && at.elapsed() < ORDER_TIMEOUT
            }
            Self::Failed { at } => at.elapsed() < FAILED_ORDER_DELAY,
        }
    }
}

/// Plans and orders the role changes of one service's engines. Does nothing while the
/// role of any engine is unknown.
async fn balance_service_roles(
    state: &Arc<State>,
    lease: &DutyLease,
    service: &str,
    orders: &mut IndexMap<Arc<str>, LastOrder>,
) {
    let targets = state.ready_targets(service);
    if targets.iter().any(|target| target.role.is_none()) {
        return;
    }
    orders.retain(|id, order| {
        let target = targets.iter().find(|target| target.id == *id);
        target.is_some_and(|target| order.is_current(target.role))
    });
    let mut engines = Vec::with_capacity(targets.len());
    for target in &targets {
        let (ordered, failed) = match orders.get(&target.id) {
            Some(LastOrder::Pending { role, .. }) => (Some(*role), false),
            Some(LastOrder::Failed { .. }) => (None, true),
            None => (None, false),
        };
        let Some(role) = ordered.or(target.role) else {
            continue;
        };
        engines.push(SplitEngine {
            role,
            is_changing: ordered.is_some(),
            is_reachable: !failed && state.loads().is_reachable(&target.id),
            failure_domain: target.failure_domain.clone(),
            is_reclaimable: target.reclaimable,
            in_flight: state.loads().in_flight(&target.id, state.now_ms()).requests as u32,
        });
    }
    let load = state.engines().load(service);
    let is_prefilling = |engine: &&SplitEngine| engine.role == EngineRole::Prefill;
    let prefilling = engines.iter().filter(is_prefilling).count();
    let wanted = wanted_prefill_engines(&load, engines.len(), prefilling);
    let changes = plan_changes(&engines, wanted);
    if !changes.is_empty() {
        tracing::info!(
            service,
            engines = engines.len(),
            prefilling,
            wanted,
            "roles: changes planned for load {load:.2?}"
        );
    }
    let role_orders = changes.iter().map(|change| {
        let target = &targets[change.index];
        order_role_change(state, lease, target, change.role)
    });
    let may_have_accepted = join_all(role_orders).await;
    for (change, may_have_accepted) in changes.iter().zip(may_have_accepted) {
        let at = Instant::now();
        let role = change.role;
        let order = match may_have_accepted {
            true => LastOrder::Pending { role, at },
            false => LastOrder::Failed { at },
        };
        orders.insert(targets[change.index].id.clone(), order);
    }
}

/// Orders a role change; returns true if the engine may have accepted the
/// order.
async fn order_role_change(
    state: &Arc<State>,
    lease: &DutyLease,
    target: &Arc<Target>,
    role: EngineRole,
) -> bool {
    let report = match engine_call::load_report(state, target).await {
        Ok(report) => report,
        Err(error) => {
            tracing::info!(
                target = &*target.id,
                "roles: cannot read load report: {error}"
            );
            return false;
        }
    };
    if report.busy || report.role() == Some(role) {
        // The engine is changing its role or has the ordered role. The list of
        // targets will show the role.
        return true;
    }
    let Some(holder) = lease.holder() else {
        return false;
    };
    let ordered = engine_call::order_role(state, target, role, &holder, report.orders).await;
    let outcome = match &ordered {
        Ok(status) => format!("answered {status}"),
        Err(error) => format!("failed: {error}"),
    };
    tracing::info!(
        target = &*target.id,
        fence = holder.fence,
        orders = report.orders,
        "roles: order to become {role:?} {outcome}"
    );
    match ordered {
        Ok(status) if status.is_success() => true,
        Ok(hyper::StatusCode::PRECONDITION_FAILED) => {
            lease.invalidate(holder.fence);
            false
        }
        Ok(_) => false,
        Err(error) => error.may_have_run(),
    }
}
