//! Orders targets from the platform: as few and as cheap as the load and the
//! loss of any one failure domain's reclaimable targets allow.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::{duty_lease::DutyLease, kept_need};
use crate::{
    catalog::{Scaling, Service},
    gateway::state::State,
    platform::{CloudClient, CloudError, StoreClient, TargetCount},
    policy::spending::{
        DomainSupply, NeedWindow, Shortage, SpendingLimits, SpendingPrices, keep_regular, plan,
    },
    roster::Target,
};

/// Time between two looks at the targets.
const PERIOD: Duration = Duration::from_millis(500);

/// Utilization of engines up to which requests hardly wait.
const UTILIZATION: f64 = 0.7;

/// Reclaimable targets that do the work of one regular target.
const SPARE_FACTOR: f64 = 1.33;

/// Time in which the first holder counts the targets that were there before.
const FIRST_COUNT: Duration = Duration::from_millis(3_500);

/// Time beyond a change of role after which a new target carries its part.
const SETTLE_MARGIN: Duration = Duration::from_secs(1);

/// Time for which a need is remembered, so that a lull releases nothing.
const NEED_WINDOW: Duration = Duration::from_secs(90);

/// Time after a refusal for which a failure domain counts as out of capacity.
const OUT_OF_CAPACITY: Duration = Duration::from_secs(5);

/// Time beyond a target's boot after which an order without effect is made
/// again.
const ORDER_SLACK: Duration = Duration::from_secs(4);

/// Parts of a price unit in which prices are compared.
const PRICE_UNITS: f64 = 1_000.0;

/// Keeps the number of targets while this instance holds the duties, for ever.
pub(in crate::gateway) async fn keep_targets(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    cloud: CloudClient,
) {
    let mut fleets: IndexMap<Arc<str>, Fleet> = IndexMap::new();
    loop {
        sleep(PERIOD).await;
        if lease.holder().is_none() {
            fleets.clear();
            continue;
        }
        let Some(catalog) = state.catalog() else {
            continue;
        };
        for service in catalog.services() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let name = &service.name;
            if !fleets.contains_key(name) {
                let Some(kept) = kept_need::read(&store, name).await else {
                    continue;
                };
                fleets.insert(name.clone(), Fleet::new(kept.needed));
            }
            let Some(fleet) = fleets.get_mut(name) else {
                continue;
            };
            let kept = fleet.kept;
            let orders = fleet.orders(&state, service, scaling);
            if fleet.kept != kept && !kept_need::write(&store, name, fleet.kept).await {
                fleet.kept = kept;
                continue;
            }
            for order in orders {
                fleet.send(&lease, &cloud, order).await;
            }
        }
    }
}

/// A failure domain and a kind of target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Subject {
    failure_domain: Arc<str>,
    reclaimable: bool,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at: Instant,
}

/// The targets of one service.
#[derive(Debug)]
struct Fleet {
    started_at: Instant,
    /// Need of the last orders, which later holders go on from.
    kept: Option<u32>,
    need: NeedWindow,
    ordered: IndexMap<Subject, Ordered>,
    out_of_capacity: IndexMap<Subject, Instant>,
    shortage: Shortage,
}

impl Fleet {
    fn new(kept: Option<u32>) -> Self {
        Self {
            started_at: Instant::now(),
            kept,
            need: NeedWindow::new(NEED_WINDOW.as_millis() as u64),
            ordered: IndexMap::new(),
            out_of_capacity: IndexMap::new(),
            shortage: Shortage::default(),
        }
    }

    /// Returns the orders that are due.
    fn orders(&mut self, state: &State, service: &Service, scaling: &Scaling) -> Vec<TargetCount> {
        let Some(reclaimable_price) = scaling.reclaimable_price else {
            return Vec::new();
        };
        let targets = state.ready_targets(&service.name);
        if targets.is_empty() {
            return Vec::new();
        }
        let needed = self.needed(state, &service.name, &targets, scaling);
        let settle = service
            .engine
            .as_ref()
            .map_or(Duration::ZERO, |engine| engine.role_change);
        let mut supply = self.supply(&targets, scaling, settle + SETTLE_MARGIN);
        let is_short = self.shortage.observe(needed, &supply);
        let prices = SpendingPrices {
            reclaimable_milli_per_hour: (reclaimable_price * PRICE_UNITS) as u64,
            regular_milli_per_hour: PRICE_UNITS as u64,
        };
        let planned = plan(needed, &supply, &prices, &SpendingLimits::default());
        let mut regular_now = Vec::with_capacity(supply.len());
        for (domain, wanted) in supply.iter_mut().zip(&planned.reclaimable) {
            domain.is_out_of_capacity |= is_short && domain.reclaimable_live < *wanted;
            let running = running(&targets, &domain.failure_domain, false);
            regular_now.push(running.max(self.booting(&domain.failure_domain, scaling)));
        }
        let mut regular =
            keep_regular(&planned, needed, scaling.max_targets, &regular_now, &supply);
        let mut orders = Vec::new();
        for (index, domain) in supply.iter().enumerate() {
            // Nothing that runs is given back to make room.
            let reclaimable_now = running(&targets, &domain.failure_domain, true);
            let room = scaling.max_targets.saturating_sub(reclaimable_now);
            regular[index] = regular[index].min(room);
            let reclaimable =
                planned.reclaimable[index].min(scaling.max_targets.saturating_sub(regular[index]));
            let least_regular = scaling.min_targets.saturating_sub(reclaimable);
            let wanted = [
                (true, reclaimable),
                (false, regular[index].max(least_regular)),
            ];
            for (is_reclaimable, count) in wanted {
                let subject = Subject {
                    failure_domain: domain.failure_domain.clone(),
                    reclaimable: is_reclaimable,
                };
                let runs = running(&targets, &domain.failure_domain, is_reclaimable);
                if self.is_due(&subject, count, runs, scaling) {
                    orders.push(TargetCount {
                        service: service.name.clone(),
                        failure_domain: subject.failure_domain,
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
                "ordering: plan {:?} reclaimable, {:?} regular",
                planned.reclaimable,
                regular
            );
        }
        orders
    }

    /// Returns how many targets must be left when any one failure domain
    /// loses its reclaimable ones.
    fn needed(
        &mut self,
        state: &State,
        service: &str,
        targets: &[Arc<Target>],
        scaling: &Scaling,
    ) -> u32 {
        let load = state.engines().load(service);
        // More than reclaimable targets alone can leave would be regular ones.
        let other_domains = scaling.domain_prices.len().saturating_sub(1).max(1) as u32;
        let most = scaling.max_targets * other_domains;
        let by_load = load.needed_engines(UTILIZATION, most as usize) as u32;
        let elapsed = self.started_at.elapsed();
        let needed = match self.kept {
            // Without a history of the load, no fewer survivors than before.
            Some(kept) if elapsed < NEED_WINDOW => by_load.max(kept),
            Some(_) => by_load,
            None => by_load.max(spare(regular(targets))),
        };
        let now_ms = elapsed.as_millis() as u64;
        let needed = self.need.observe(needed.min(most), now_ms);
        if self.kept.is_some() || elapsed >= FIRST_COUNT {
            self.kept = Some(needed);
        }
        needed
    }

    fn supply(
        &mut self,
        targets: &[Arc<Target>],
        scaling: &Scaling,
        settle: Duration,
    ) -> Vec<DomainSupply> {
        let settled = settled(targets, settle);
        self.out_of_capacity
            .retain(|_, at| at.elapsed() < OUT_OF_CAPACITY);
        let mut supply = Vec::with_capacity(scaling.domain_prices.len());
        for failure_domain in scaling.domain_prices.keys() {
            let subject = Subject {
                failure_domain: failure_domain.clone(),
                reclaimable: true,
            };
            let live = running(targets, failure_domain, true);
            // What was ordered before is not given back, so that it returns.
            let ordered = self.ordered.get(&subject);
            let available = match self.out_of_capacity.contains_key(&subject) {
                true => ordered.map_or(live, |ordered| ordered.count.max(live)),
                false => scaling.max_targets,
            };
            supply.push(DomainSupply {
                failure_domain: failure_domain.clone(),
                reclaimable: available,
                reclaimable_live: running(&settled, failure_domain, true),
                is_out_of_capacity: self.out_of_capacity.contains_key(&subject),
                regular: scaling.max_targets,
            });
        }
        supply
    }

    /// Returns the regular targets of a domain that were ordered so lately that
    /// they may not run yet.
    fn booting(&self, failure_domain: &Arc<str>, scaling: &Scaling) -> u32 {
        let subject = Subject {
            failure_domain: failure_domain.clone(),
            reclaimable: false,
        };
        let ordered = self.ordered.get(&subject);
        ordered.map_or(0, |ordered| {
            match ordered.at.elapsed() < scaling.boot + ORDER_SLACK {
                true => ordered.count,
                false => 0,
            }
        })
    }

    /// Whether an order says something new, or the last one had no effect.
    fn is_due(&self, subject: &Subject, count: u32, runs: u32, scaling: &Scaling) -> bool {
        if self.out_of_capacity.contains_key(subject) {
            return false;
        }
        let Some(ordered) = self.ordered.get(subject) else {
            return count != runs;
        };
        if ordered.count != count {
            return true;
        }
        runs != count && ordered.at.elapsed() > scaling.boot + ORDER_SLACK
    }

    async fn send(&mut self, lease: &DutyLease, cloud: &CloudClient, order: TargetCount) {
        let Some(holder) = lease.holder() else {
            return;
        };
        let subject = Subject {
            failure_domain: order.failure_domain.clone(),
            reclaimable: order.reclaimable,
        };
        let result = cloud.order_targets(&holder, &order).await;
        let outcome = match &result {
            Ok(()) => "taken".to_owned(),
            Err(error) => error.to_string(),
        };
        tracing::info!(
            service = &*order.service,
            domain = &*order.failure_domain,
            reclaimable = order.reclaimable,
            count = order.count,
            fence = holder.fence,
            "ordering: order {outcome}"
        );
        match result {
            Ok(()) => {
                let ordered = Ordered {
                    count: order.count,
                    at: Instant::now(),
                };
                self.ordered.insert(subject, ordered);
            }
            Err(CloudError::Conflict(_)) if order.reclaimable => {
                self.out_of_capacity.insert(subject, Instant::now());
                self.shortage.note_refusal();
            }
            Err(CloudError::Conflict(_)) => lease.give_up(holder.fence),
            Err(_) => {}
        }
    }
}

/// Returns the targets that have run long enough to have their role.
fn settled(targets: &[Arc<Target>], settle: Duration) -> Vec<Arc<Target>> {
    let mut settled = Vec::with_capacity(targets.len());
    for target in targets {
        if target.first_seen_at.elapsed() >= settle {
            settled.push(target.clone());
        }
    }
    settled
}

/// Counts the running targets of a failure domain.
fn running(targets: &[Arc<Target>], failure_domain: &str, reclaimable: bool) -> u32 {
    let mut count = 0;
    for target in targets {
        let counts = *target.failure_domain == *failure_domain && target.reclaimable == reclaimable;
        count += u32::from(counts);
    }
    count
}

/// Counts the running targets that cannot be reclaimed.
fn regular(targets: &[Arc<Target>]) -> u32 {
    targets.iter().filter(|target| !target.reclaimable).count() as u32
}

/// Returns how many reclaimable targets do the work of `regular` ones: they
/// lose their caches now and then.
fn spare(regular: u32) -> u32 {
    (SPARE_FACTOR * f64::from(regular)).ceil() as u32
}
