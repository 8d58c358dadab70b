//! The fleet duty, under which one instance at a time sends orders: to engines, to
//! load models or change their role, and to the platform, for targets.
//!
//! `demand` computes the demand for each service from the usage windows. From it,
//! `engines` plans the orders to engines and `spending` the number of targets.
//! `client` sends the orders.

mod client;
mod demand;
mod engines;
mod spending;

use std::{future::Future, sync::Arc, time::Duration};

use futures_util::future::join_all;
use indexmap::IndexMap;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

pub use self::{
    client::{FleetClient, fleet_target},
    demand::DemandMeter,
    engines::EnginePlanner,
    spending::{EngineSpeed, FleetSupply, SpendingPlanner},
};
use super::{Error, ObservedState, OrderSender, Result, SentOrder, WriteOutcome};
use crate::{
    ledger::{Ledger, LedgerHandle, ServiceEntry},
    log::records::order_intent::Order,
    policy::roles::WeightLoadBudget,
    settings::RoleControl,
    target::table::TargetView,
};

/// Interval between two plans.
const PLAN_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of model loads ordered in one burst.
const LOAD_BURST: u64 = 4;

/// An order that the planner decided to send.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedOrder {
    /// Name of the engine or, for an order to the platform, of the target group (see
    /// [`fleet_target`]).
    pub target: Arc<str>,
    /// The order.
    pub order: Order,
}

/// Plans orders for all services.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    roles: RoleControl,
    demand: DemandMeter,
    budget: WeightLoadBudget,
    /// Planners of the orders to engines, by service name.
    engines: IndexMap<Arc<str>, EnginePlanner>,
    /// Planners of the number of targets, by service name.
    spending: IndexMap<Arc<str>, SpendingPlanner>,
}

impl FleetPlanner {
    /// Returns a planner that has not observed any demand. The planner orders at most
    /// `weight_fetches_per_min` model loads per minute on average.
    pub fn new(weight_fetches_per_min: u32, roles: RoleControl) -> Self {
        Self {
            roles,
            demand: DemandMeter::new(),
            budget: WeightLoadBudget::new(u64::from(weight_fetches_per_min), LOAD_BURST),
            engines: IndexMap::new(),
            spending: IndexMap::new(),
        }
    }

    /// Plans orders from the states of the ledger, the targets and the platform.
    ///
    /// Plans at most one order per target, and none for a target with an open
    /// intent.
    pub fn plan(
        &mut self,
        ledger: &Ledger,
        views: &[TargetView],
        supply: &FleetSupply<'_>,
        now_ms: u64,
    ) -> Vec<PlannedOrder> {
        let demands = self.demand.observe(ledger, now_ms);
        let services: Vec<Arc<ServiceEntry>> = ledger.services().cloned().collect();
        let mut orders: Vec<PlannedOrder> = Vec::new();
        for entry in &services {
            let document = &entry.document;
            let name = &document.service;
            let demand = demands.get(name).copied().unwrap_or_default();
            let engines = self.engines.entry(name.clone());
            let engines = engines.or_insert_with(|| EnginePlanner::new(self.roles));
            let engine_orders = engines.plan(document, views, demand, &mut self.budget, now_ms);
            let spending = self.spending.entry(name.clone()).or_default();
            let fleet_orders = spending.plan(document, supply, demand, now_ms);
            for order in engine_orders.into_iter().chain(fleet_orders) {
                let has_intent = ledger.intent(&order.target).is_some();
                let is_planned = orders.iter().any(|other| other.target == order.target);
                if !has_intent && !is_planned {
                    orders.push(order);
                }
            }
        }
        orders
    }
}

/// Returns the mean speed of the engines that have reported their state, or `None`
/// if no engine has.
fn engine_speed(views: &[TargetView]) -> Option<EngineSpeed> {
    let mut engines = 0.0;
    let mut speed = EngineSpeed {
        prefill_tokens_per_s: 0.0,
        decode_tokens_per_s: 0.0,
    };
    for view in views {
        let Some(state) = &view.engine else {
            continue;
        };
        engines += 1.0;
        speed.prefill_tokens_per_s += f64::from(state.prefill_tokens_per_s);
        speed.decode_tokens_per_s += f64::from(state.decode_tokens_per_s) * engines::ENGINE_STREAMS;
    }
    if engines == 0.0 {
        return None;
    }
    speed.prefill_tokens_per_s /= engines;
    speed.decode_tokens_per_s /= engines;
    Some(speed)
}

/// Plans and sends orders while this instance holds the fleet duty.
#[derive(Debug)]
pub struct FleetRunner<W, R, D> {
    sender: Arc<OrderSender<W, R>>,
    ledger: LedgerHandle,
    client: FleetClient,
    planner: FleetPlanner,
    read_timeout: Duration,
    failure_domains: D,
}

impl<W, R, WF, RF, D> FleetRunner<W, R, D>
where
    W: Fn(SentOrder) -> WF,
    WF: Future<Output = WriteOutcome>,
    R: Fn(Arc<str>) -> RF,
    RF: Future<Output = ObservedState>,
    D: Fn() -> Vec<Arc<str>>,
{
    /// Returns a runner. `read_timeout` limits each read of a target's state.
    /// `failure_domains` returns the failure domains of the instances.
    pub fn new(
        sender: Arc<OrderSender<W, R>>,
        ledger: LedgerHandle,
        client: FleetClient,
        planner: FleetPlanner,
        read_timeout: Duration,
        failure_domains: D,
    ) -> Self {
        Self {
            sender,
            ledger,
            client,
            planner,
            read_timeout,
            failure_domains,
        }
    }

    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the appender has stopped.
    pub async fn run(mut self, stop: CancellationToken) -> Result<()> {
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                done = self.run_once() => done?,
            }
        }
    }

    async fn run_once(&mut self) -> Result<()> {
        tokio::time::sleep(PLAN_PERIOD).await;
        if self.sender.authority().epoch().is_none() {
            return Ok(());
        }
        let Ok(list) = self.client.platform.list().await else {
            return Ok(());
        };
        let now_ms = self.sender.authority().clock().now_ms();
        let views = self.client.table.snapshot();
        let supply = FleetSupply {
            list: &list,
            failure_domains: &(self.failure_domains)(),
            speed: engine_speed(&views),
        };
        let planner = &mut self.planner;
        let orders = self
            .ledger
            .read(|ledger| planner.plan(ledger, &views, &supply, now_ms));
        let mut sends = Vec::with_capacity(orders.len());
        for planned in &orders {
            sends.push(self.send(planned));
        }
        for sent in join_all(sends).await {
            match sent {
                Ok(()) | Err(Error::NotHolder | Error::Rejected(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Sends an order unless the target is busy. The state of the target is read
    /// again for this check, as the state on which the plan is based may be out of
    /// date.
    async fn send(&self, planned: &PlannedOrder) -> Result<()> {
        let target = &planned.target;
        let busy = timeout(self.read_timeout, self.client.is_busy(target)).await;
        if busy.unwrap_or(true) {
            return Ok(());
        }
        let outcome = self.sender.send(target, planned.order.clone()).await?;
        tracing::info!("control: order to {target}: {outcome:?}");
        Ok(())
    }
}
