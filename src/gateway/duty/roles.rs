//! Changes engines' roles so that prefill and decode keep up with each other.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::tenure::Tenure;
use crate::{
    gateway::{engine_call, state::State},
    policy::role_split::{SplitEngine, plan_changes},
    roster::Target,
    target::protocol::EngineRole,
};

/// Time between two looks at the engines.
const PERIOD: Duration = Duration::from_millis(250);

/// Time after which an order that shows no effect is made again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Keeps the roles of all engines while this instance holds the duties, for
/// ever.
pub(in crate::gateway) async fn keep_roles(state: Arc<State>, tenure: Arc<Tenure>) {
    let mut pending: IndexMap<Arc<str>, Pending> = IndexMap::new();
    loop {
        sleep(PERIOD).await;
        if tenure.holder().is_none() {
            pending.clear();
            continue;
        }
        let Some(catalog) = state.catalog() else {
            continue;
        };
        for service in catalog.services() {
            if service.engine.is_some() {
                keep_service(&state, &tenure, &service.name, &mut pending).await;
            }
        }
    }
}

/// An order whose effect is awaited.
#[derive(Clone, Copy, Debug)]
struct Pending {
    role: EngineRole,
    ordered_at: Instant,
}

async fn keep_service(
    state: &Arc<State>,
    tenure: &Tenure,
    service: &str,
    pending: &mut IndexMap<Arc<str>, Pending>,
) {
    let targets = state.ready_targets(service);
    pending.retain(|id, order| {
        let target = targets.iter().find(|target| target.id == *id);
        let awaited = target.is_some_and(|target| target.role != Some(order.role));
        awaited && order.ordered_at.elapsed() < ORDER_TIMEOUT
    });
    let mut engines = Vec::with_capacity(targets.len());
    for target in &targets {
        let Some(role) = target.role else {
            continue;
        };
        engines.push(SplitEngine {
            role: pending.get(&target.id).map_or(role, |order| order.role),
            is_changing: pending.contains_key(&target.id),
            failure_domain: target.failure_domain.clone(),
            is_reclaimable: target.reclaimable,
            in_flight: state.loads().in_flight(&target.id).requests,
        });
    }
    if engines.len() != targets.len() {
        return;
    }
    let changes = plan_changes(&engines);
    let ordering = changes.iter().map(|change| {
        let target = &targets[change.index];
        order(state, tenure, target, change.role)
    });
    let ordered = join_all(ordering).await;
    for (change, ordered) in changes.iter().zip(ordered) {
        if !ordered {
            continue;
        }
        let order = Pending {
            role: change.role,
            ordered_at: Instant::now(),
        };
        pending.insert(targets[change.index].id.clone(), order);
    }
}

/// Orders a change of role; true if the engine may have taken the order.
async fn order(
    state: &Arc<State>,
    tenure: &Tenure,
    target: &Arc<Target>,
    role: EngineRole,
) -> bool {
    let report = match engine_call::load_report(state, target).await {
        Ok(report) => report,
        Err(error) => {
            tracing::info!(target = &*target.id, "roles: no report: {error}");
            return false;
        }
    };
    if report.busy || report.role() == Some(role) {
        return report.busy;
    }
    let Some(holder) = tenure.holder() else {
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
            tenure.give_up(holder.fence);
            false
        }
        Ok(_) => false,
        Err(error) => error.may_have_run(),
    }
}
