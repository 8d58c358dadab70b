//! Orders targets from the platform: as few and as cheap as the load and the
//! loss of any one failure domain's reclaimable targets allow.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::tenure::Tenure;
use crate::{
    catalog::{Scaling, Service},
    gateway::state::State,
    platform::{CloudClient, CloudError, TargetCount},
    policy::spending::{
        DomainSupply, NeedWindow, SpendingLimits, SpendingPrices, needed_targets, plan, release,
    },
    roster::Target,
    target::protocol::EngineRole,
};

/// Time between two looks at the targets.
const PERIOD: Duration = Duration::from_millis(500);

/// Utilization of prefilling engines up to which prompts hardly wait.
const UTILIZATION: f64 = 0.45;

/// Time for which a need is remembered, so that a lull releases nothing.
const NEED_WINDOW: Duration = Duration::from_secs(90);

/// Weight of the newest sample in an engine's mean number of requests.
const LOAD_GAIN: f64 = 0.25;

/// Time after a refusal for which a failure domain counts as sold out.
const SOLD_OUT: Duration = Duration::from_secs(5);

/// Time beyond a target's boot after which an order without effect is made
/// again.
const ORDER_SLACK: Duration = Duration::from_secs(4);

/// Parts of a price unit in which prices are compared.
const PRICE_UNITS: f64 = 1_000.0;

/// Keeps the number of targets while this instance holds the duties, for ever.
pub(in crate::gateway) async fn keep_targets(
    state: Arc<State>,
    tenure: Arc<Tenure>,
    cloud: CloudClient,
) {
    let mut fleets: IndexMap<Arc<str>, Fleet> = IndexMap::new();
    loop {
        sleep(PERIOD).await;
        if tenure.holder().is_none() {
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
            let fleet = fleets
                .entry(service.name.clone())
                .or_insert_with(Fleet::new);
            let orders = fleet.orders(&state, service, scaling);
            for order in orders {
                fleet.send(&tenure, &cloud, order).await;
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
    need: NeedWindow,
    loads: IndexMap<Arc<str>, f64>,
    ordered: IndexMap<Subject, Ordered>,
    sold_out: IndexMap<Subject, Instant>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            need: NeedWindow::new(NEED_WINDOW.as_millis() as u64),
            loads: IndexMap::new(),
            ordered: IndexMap::new(),
            sold_out: IndexMap::new(),
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
        let needed = self.needed(state, &targets, scaling);
        let supply = self.supply(&targets, scaling);
        let prices = SpendingPrices {
            reclaimable_milli_per_hour: (reclaimable_price * PRICE_UNITS) as u64,
            regular_milli_per_hour: PRICE_UNITS as u64,
        };
        let planned = plan(needed, &supply, &prices, &SpendingLimits::default());
        let mut regular_now = Vec::with_capacity(supply.len());
        for domain in &supply {
            regular_now.push(running(&targets, &domain.failure_domain, false));
        }
        let regular = release(&planned, needed, &regular_now, &supply);
        let mut orders = Vec::new();
        for (index, domain) in supply.iter().enumerate() {
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
    fn needed(&mut self, state: &State, targets: &[Arc<Target>], scaling: &Scaling) -> u32 {
        let mut load = 0.0;
        let mut decoding = 0;
        for target in targets {
            if target.role != Some(EngineRole::Prefill) {
                decoding += 1;
                continue;
            }
            let in_flight = state.loads().in_flight(&target.id).requests;
            let mean = self.loads.entry(target.id.clone()).or_insert(0.0);
            *mean += LOAD_GAIN * (f64::from(in_flight) - *mean);
            // Utilization of a queue with this mean number of requests.
            load += *mean / (1.0 + *mean);
        }
        self.loads
            .retain(|id, _| targets.iter().any(|target| target.id == *id));
        let by_load = needed_targets(load, UTILIZATION) + decoding;
        // Without a history of the load, no fewer survivors than now.
        let most = scaling.max_targets * scaling.domain_prices.len().max(1) as u32;
        let by_now = surviving(targets).min(most);
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        let needed = if self.started_at.elapsed() < NEED_WINDOW {
            by_load.max(by_now)
        } else {
            by_load
        };
        self.need.observe(needed, now_ms)
    }

    fn supply(&mut self, targets: &[Arc<Target>], scaling: &Scaling) -> Vec<DomainSupply> {
        self.sold_out.retain(|_, at| at.elapsed() < SOLD_OUT);
        let mut supply = Vec::with_capacity(scaling.domain_prices.len());
        for failure_domain in scaling.domain_prices.keys() {
            let subject = Subject {
                failure_domain: failure_domain.clone(),
                reclaimable: true,
            };
            let live = running(targets, failure_domain, true);
            let available = match self.sold_out.contains_key(&subject) {
                true => live,
                false => scaling.max_targets,
            };
            supply.push(DomainSupply {
                failure_domain: failure_domain.clone(),
                reclaimable: available,
                reclaimable_live: live,
                regular: scaling.max_targets,
            });
        }
        supply
    }

    /// Whether an order says something new, or the last one had no effect.
    fn is_due(&self, subject: &Subject, count: u32, runs: u32, scaling: &Scaling) -> bool {
        let Some(ordered) = self.ordered.get(subject) else {
            return count != runs;
        };
        if ordered.count != count {
            return true;
        }
        runs != count && ordered.at.elapsed() > scaling.boot + ORDER_SLACK
    }

    async fn send(&mut self, tenure: &Tenure, cloud: &CloudClient, order: TargetCount) {
        let Some(holder) = tenure.holder() else {
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
                self.sold_out.insert(subject, Instant::now());
            }
            Err(CloudError::Conflict(_)) => tenure.give_up(holder.fence),
            Err(_) => {}
        }
    }
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

/// Returns how many targets are left when the failure domain with most
/// reclaimable ones loses them.
fn surviving(targets: &[Arc<Target>]) -> u32 {
    let mut by_domain: IndexMap<&str, u32> = IndexMap::new();
    for target in targets.iter().filter(|target| target.reclaimable) {
        *by_domain.entry(&target.failure_domain).or_insert(0) += 1;
    }
    let lost = by_domain.values().copied().max().unwrap_or(0);
    (targets.len() as u32).saturating_sub(lost)
}
