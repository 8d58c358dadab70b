//! Orders targets from the platform.
//!
//! The platform may take reclaimable targets away at short notice; the other
//! targets are called regular. The plan is the cheapest set of targets that still
//! carries the load if any one failure domain loses its reclaimable targets.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::{
    duty_lease::DutyLease,
    required_capacity,
    target_counts::{count_regular, count_running, reclaimable_equivalent, settled_targets},
};
use crate::{
    catalog::{Scaling, Service},
    gateway::state::State,
    platform::{CloudClient, CloudError, StoreClient, TargetCount},
    policy::spending::{
        DomainSupply, NeedWindow, Shortage, SpendingLimits, SpendingPrices, keep_regular, plan,
    },
    roster::Target,
};

/// Interval between two evaluations of the plan.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Engine utilization up to which requests are queued only briefly.
const MAX_UTILIZATION: f64 = 0.7;

/// Time for which the first holder of the duty lease counts the existing targets
/// before it stores the required capacity.
const INITIAL_COUNT_PERIOD: Duration = Duration::from_millis(3_500);

/// Time after a new target's role change until the target carries its share of the
/// load.
const SETTLE_MARGIN: Duration = Duration::from_secs(1);

/// Time over which the maximum of the required capacity is used, so that no targets
/// are released when the load is low for a short time.
const NEED_WINDOW: Duration = Duration::from_secs(90);

/// Time after a rejected order for which a failure domain counts as out of
/// capacity.
const OUT_OF_CAPACITY_PERIOD: Duration = Duration::from_secs(5);

/// Time beyond a target's boot after which an order without effect is sent
/// again.
const REORDER_MARGIN: Duration = Duration::from_secs(4);

/// Price of a regular target in the plan, in thousandths of a price unit per hour. The
/// configuration gives the price of a reclaimable target as a fraction of this price.
const REGULAR_PRICE_MILLI_PER_HOUR: f64 = 1_000.0;

/// Orders targets while this instance holds the lease. Never returns.
pub(in crate::gateway) async fn maintain_targets(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    cloud: CloudClient,
) {
    let mut fleets: IndexMap<Arc<str>, ServiceFleet> = IndexMap::new();
    // Fencing token of the lease under which `fleets` were last used.
    let mut fence = 0;
    loop {
        sleep(CHECK_PERIOD).await;
        let Some(holder) = lease.holder() else {
            continue;
        };
        if fence < lease.unbroken_since() {
            // Another instance may have ordered since.
            fleets.clear();
        }
        fence = holder.fence;
        let Some(catalog) = state.catalog() else {
            continue;
        };
        for service in catalog.services() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let name = &service.name;
            if !fleets.contains_key(name) {
                let Some(stored) = required_capacity::read(&store, name).await else {
                    continue;
                };
                let fleet = ServiceFleet::new(stored.needed, store.era().number);
                fleets.insert(name.clone(), fleet);
            }
            let Some(fleet) = fleets.get_mut(name) else {
                continue;
            };
            let previous = fleet.stored_needed;
            let orders = fleet.due_orders(&state, service, scaling);
            let era = store.era().number;
            let is_lost = fleet.stored_needed.is_some() && fleet.stored_era < era;
            if fleet.stored_needed != previous || is_lost {
                let written_era = required_capacity::write(&store, name, fleet.stored_needed).await;
                let Some(written_era) = written_era else {
                    fleet.stored_needed = previous;
                    continue;
                };
                fleet.stored_era = written_era;
            }
            for order in orders {
                fleet.send_order(&lease, &cloud, order).await;
            }
        }
    }
}

/// The reclaimable or the regular targets of one failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct TargetGroup {
    failure_domain: Arc<str>,
    reclaimable: bool,
}

/// The last order that the platform accepted for a group.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    count: u32,
    accepted_at: Instant,
}

/// Ordering state of one service.
#[derive(Debug)]
struct ServiceFleet {
    started_at: Instant,
    /// Required capacity, in targets, on which the last orders were based, as stored
    /// for later holders of the lease; `None` if none is stored.
    stored_needed: Option<u32>,
    /// Era of the store in which `stored_needed` was read or written.
    stored_era: u64,
    /// Maximum of the required capacity over [`NEED_WINDOW`].
    need: NeedWindow,
    accepted_orders: IndexMap<TargetGroup, AcceptedOrder>,
    /// Groups that are out of capacity, with the time at which the platform rejected an
    /// order.
    out_of_capacity: IndexMap<TargetGroup, Instant>,
    shortage: Shortage,
}

impl ServiceFleet {
    fn new(stored_needed: Option<u32>, stored_era: u64) -> Self {
        Self {
            started_at: Instant::now(),
            stored_needed,
            stored_era,
            need: NeedWindow::new(NEED_WINDOW.as_millis() as u64),
            accepted_orders: IndexMap::new(),
            out_of_capacity: IndexMap::new(),
            shortage: Shortage::default(),
        }
    }

    /// Returns the orders to send now.
    fn due_orders(
        &mut self,
        state: &State,
        service: &Service,
        scaling: &Scaling,
    ) -> Vec<TargetCount> {
        let Some(reclaimable_price) = scaling.reclaimable_price else {
            return Vec::new();
        };
        let targets = state.ready_targets(&service.name);
        if targets.is_empty() {
            return Vec::new();
        }
        let needed = self.needed_targets(state, &service.name, &targets, scaling);
        let role_change = service
            .engine
            .as_ref()
            .map_or(Duration::ZERO, |engine| engine.role_change);
        let mut supply = self.domain_supply(&targets, scaling, role_change + SETTLE_MARGIN);
        let is_short = self.shortage.observe(needed, &supply);
        let prices = SpendingPrices {
            reclaimable_milli_per_hour: (reclaimable_price * REGULAR_PRICE_MILLI_PER_HOUR) as u64,
            regular_milli_per_hour: REGULAR_PRICE_MILLI_PER_HOUR as u64,
        };
        let planned = plan(needed, &supply, &prices, &SpendingLimits::default());
        let mut regular_now = Vec::with_capacity(supply.len());
        for (domain, wanted) in supply.iter_mut().zip(&planned.reclaimable) {
            domain.is_out_of_capacity |= is_short && domain.reclaimable_live < *wanted;
            let running = count_running(&targets, &domain.failure_domain, false);
            regular_now.push(running.max(self.booting_regular(&domain.failure_domain, scaling)));
        }
        let mut regular =
            keep_regular(&planned, needed, scaling.max_targets, &regular_now, &supply);
        let mut orders = Vec::new();
        for (index, domain) in supply.iter().enumerate() {
            // Running targets are not released to make room for others.
            let reclaimable_now = count_running(&targets, &domain.failure_domain, true);
            let max_regular = scaling.max_targets.saturating_sub(reclaimable_now);
            regular[index] = regular[index].min(max_regular);
            let reclaimable =
                planned.reclaimable[index].min(scaling.max_targets.saturating_sub(regular[index]));
            let min_regular = scaling.min_targets.saturating_sub(reclaimable);
            let wanted = [
                (true, reclaimable),
                (false, regular[index].max(min_regular)),
            ];
            for (is_reclaimable, count) in wanted {
                let group = TargetGroup {
                    failure_domain: domain.failure_domain.clone(),
                    reclaimable: is_reclaimable,
                };
                let running = count_running(&targets, &domain.failure_domain, is_reclaimable);
                if self.is_due(&group, count, running, scaling) {
                    orders.push(TargetCount {
                        service: service.name.clone(),
                        failure_domain: group.failure_domain,
                        reclaimable: is_reclaimable,
                        count,
                    });
                }
            }
        }
        if !orders.is_empty() {
            tracing::info!(
                service = &*service.name,
                needed,
                running = targets.len(),
                "ordering: planned targets by failure domain: {:?} reclaimable, {:?} regular",
                planned.reclaimable,
                regular
            );
        }
        orders
    }

    /// Returns the number of targets that must remain when any one failure
    /// domain loses its reclaimable targets.
    fn needed_targets(
        &mut self,
        state: &State,
        service: &str,
        targets: &[Arc<Target>],
        scaling: &Scaling,
    ) -> u32 {
        let load = state.engines().load(service);
        // The number of targets that remain if all targets are reclaimable and one
        // domain loses its targets. A higher need would require regular targets.
        let other_domains = scaling.domain_prices.len().saturating_sub(1).max(1) as u32;
        let max_needed = scaling.max_targets * other_domains;
        let by_load = load.needed_engines(MAX_UTILIZATION, max_needed as usize) as u32;
        let elapsed = self.started_at.elapsed();
        let needed = match self.stored_needed {
            // Until this holder has a full window of load history, the stored
            // capacity is the minimum.
            Some(stored) if elapsed < NEED_WINDOW => by_load.max(stored),
            Some(_) => by_load,
            None => by_load.max(reclaimable_equivalent(count_regular(targets))),
        };
        let now_ms = elapsed.as_millis() as u64;
        let needed = self.need.observe(needed.min(max_needed), now_ms);
        if self.stored_needed.is_some() || elapsed >= INITIAL_COUNT_PERIOD {
            self.stored_needed = Some(needed);
        }
        needed
    }

    /// Returns the targets that each failure domain can provide.
    fn domain_supply(
        &mut self,
        targets: &[Arc<Target>],
        scaling: &Scaling,
        settle_time: Duration,
    ) -> Vec<DomainSupply> {
        let settled = settled_targets(targets, settle_time);
        self.out_of_capacity
            .retain(|_, at| at.elapsed() < OUT_OF_CAPACITY_PERIOD);
        let mut supply = Vec::with_capacity(scaling.domain_prices.len());
        for failure_domain in scaling.domain_prices.keys() {
            let group = TargetGroup {
                failure_domain: failure_domain.clone(),
                reclaimable: true,
            };
            let live = count_running(targets, failure_domain, true);
            // An accepted order stays in place in a domain without capacity, so
            // that its targets start once capacity is available again.
            let ordered = self.accepted_orders.get(&group);
            let available = match self.out_of_capacity.contains_key(&group) {
                true => ordered.map_or(live, |ordered| ordered.count.max(live)),
                false => scaling.max_targets,
            };
            supply.push(DomainSupply {
                failure_domain: failure_domain.clone(),
                reclaimable: available,
                reclaimable_live: count_running(&settled, failure_domain, true),
                is_out_of_capacity: self.out_of_capacity.contains_key(&group),
                regular: scaling.max_targets,
            });
        }
        supply
    }

    /// Returns the number of regular targets of a failure domain whose order is
    /// so recent that they may still be booting.
    fn booting_regular(&self, failure_domain: &Arc<str>, scaling: &Scaling) -> u32 {
        let group = TargetGroup {
            failure_domain: failure_domain.clone(),
            reclaimable: false,
        };
        let ordered = self.accepted_orders.get(&group);
        ordered.map_or(0, |ordered| {
            match ordered.accepted_at.elapsed() < scaling.boot_time + REORDER_MARGIN {
                true => ordered.count,
                false => 0,
            }
        })
    }

    /// Returns whether an order of `count` targets is to be sent for a group of which
    /// `running` targets run.
    ///
    /// An order is sent if it differs from the last accepted order, or if the last
    /// accepted order has had no effect in time. No order is sent for a group that is
    /// out of capacity.
    fn is_due(&self, group: &TargetGroup, count: u32, running: u32, scaling: &Scaling) -> bool {
        if self.out_of_capacity.contains_key(group) {
            return false;
        }
        let Some(ordered) = self.accepted_orders.get(group) else {
            return count != running;
        };
        if ordered.count != count {
            return true;
        }
        running != count && ordered.accepted_at.elapsed() > scaling.boot_time + REORDER_MARGIN
    }

    /// Sends an order to the platform and records the result.
    ///
    /// A conflict on an order of reclaimable targets is taken to mean that the failure
    /// domain is out of capacity. One on an order of regular targets may also mean that
    /// another instance holds the lease, which is then claimed again.
    async fn send_order(
        &mut self,
        lease: &Arc<DutyLease>,
        cloud: &CloudClient,
        order: TargetCount,
    ) {
        let Some(holder) = lease.holder() else {
            return;
        };
        let group = TargetGroup {
            failure_domain: order.failure_domain.clone(),
            reclaimable: order.reclaimable,
        };
        let (called_lease, fence) = (lease.clone(), holder.fence);
        let time_left = move || called_lease.call_time(fence);
        let result = cloud.order_targets(&holder, &order, time_left).await;
        let outcome = match &result {
            Ok(()) => "accepted".to_owned(),
            Err(error) => error.to_string(),
        };
        tracing::info!(
            service = &*order.service,
            domain = &*order.failure_domain,
            reclaimable = order.reclaimable,
            count = order.count,
            fence = holder.fence,
            "ordering: order result: {outcome}"
        );
        match result {
            Ok(()) => {
                let ordered = AcceptedOrder {
                    count: order.count,
                    accepted_at: Instant::now(),
                };
                self.accepted_orders.insert(group, ordered);
            }
            Err(CloudError::Conflict(_)) if order.reclaimable => {
                self.out_of_capacity.insert(group, Instant::now());
                self.shortage.record_refusal();
            }
            Err(CloudError::Conflict(_)) => {
                self.out_of_capacity.insert(group, Instant::now());
                lease.invalidate(holder.fence);
            }
            Err(_) => {}
        }
    }
}
