//! Plans how many targets to order from the platform for one service.

use std::sync::Arc;

use indexmap::IndexSet;

use super::{PlannedOrder, fleet_target};
use crate::{
    infra::protocol::{TargetList, TargetState},
    log::records::{FleetOrder, order_intent::Order},
    policy::{
        roles::TokenDemand,
        spending::{
            DomainSupply, NeedWindow, SpendingLimits, SpendingPrices, needed_targets, plan,
            regular_until_replaced,
        },
    },
    service::{Document, Spending, TargetKind},
};

/// Time, in milliseconds, for which targets are kept after the need for targets has
/// fallen.
const NEED_WINDOW_MS: u64 = 120_000;

/// Maximum fraction of the targets' capacity that is planned to be used.
const UTILIZATION: f64 = 0.7;

/// Prefill and decode speed of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Number of prompt tokens prefilled per second.
    pub prefill_tokens_per_s: f64,
    /// Number of tokens generated per second, over all concurrent streams.
    pub decode_tokens_per_s: f64,
}

/// Supply of targets and its current use.
#[derive(Clone, Copy, Debug)]
pub struct FleetSupply<'a> {
    /// Targets that the platform lists, and its standing orders: for each kind and
    /// failure domain, the last order that the platform accepted.
    pub list: &'a TargetList,
    /// Failure domains of the instances, in which targets can run too.
    pub failure_domains: &'a [Arc<str>],
    /// Mean speed of the engines. `None` if no engine has reported its state.
    pub speed: Option<EngineSpeed>,
}

/// Plans the number of targets of one service.
#[derive(Clone, Debug)]
pub struct SpendingPlanner {
    need: NeedWindow,
}

impl Default for SpendingPlanner {
    fn default() -> Self {
        Self {
            need: NeedWindow::new(NEED_WINDOW_MS),
        }
    }
}

/// Target kinds among which the spending is divided. The platform may reclaim
/// targets of a reclaimable kind at short notice, but not of a regular kind.
struct Kinds<'a> {
    reclaimable: Option<&'a TargetKind>,
    regular: Option<&'a TargetKind>,
}

impl SpendingPlanner {
    /// Plans an order for each kind and failure domain for which the planned number
    /// of targets differs from that in the standing order.
    pub fn plan(
        &mut self,
        document: &Document,
        supply: &FleetSupply<'_>,
        demand: TokenDemand,
        now_ms: u64,
    ) -> Vec<PlannedOrder> {
        if !document.spending.managed {
            return Vec::new();
        }
        let list = supply.list;
        let load = supply
            .speed
            .map_or(0.0, |speed| load_in_targets(demand, speed));
        let needed = needed_targets(load, UTILIZATION).max(document.spending.min_targets);
        let needed = self.need.observe(needed, now_ms);
        let kinds = choose_kinds(document);
        let supply = domain_supply(&kinds, supply, needed);
        let prices = SpendingPrices {
            reclaimable_milli_per_hour: cost_milli_per_hour(kinds.reclaimable),
            regular_milli_per_hour: cost_milli_per_hour(kinds.regular),
        };
        let planned = plan(
            needed,
            &supply,
            &prices,
            &spending_limits(&document.spending),
        );
        let live_regular = count_live_regular(&kinds, list, &supply);
        let regular = regular_until_replaced(&planned, needed, &live_regular, &supply);
        let mut orders = Vec::new();
        for (index, domain) in supply.iter().enumerate() {
            let name = &domain.failure_domain;
            let reclaimable = planned.reclaimable[index];
            orders.extend(changed_order(kinds.reclaimable, name, reclaimable, list));
            orders.extend(changed_order(kinds.regular, name, regular[index], list));
        }
        orders
    }
}

/// Returns the number of fully used targets that can serve a demand.
fn load_in_targets(demand: TokenDemand, speed: EngineSpeed) -> f64 {
    demand.prefill_tokens_per_s / speed.prefill_tokens_per_s.max(1.0)
        + demand.decode_tokens_per_s / speed.decode_tokens_per_s.max(1.0)
}

/// Returns the first reclaimable and the first regular kind of a service.
fn choose_kinds(document: &Document) -> Kinds<'_> {
    let mut kinds = document.target_kinds.iter();
    let reclaimable = kinds.clone().find(|kind| kind.reclaimable);
    let regular = kinds.find(|kind| !kind.reclaimable);
    Kinds {
        reclaimable,
        regular,
    }
}

fn cost_milli_per_hour(kind: Option<&TargetKind>) -> u64 {
    kind.map_or(0, |kind| kind.cost_milli_per_hour)
}

fn spending_limits(spending: &Spending) -> SpendingLimits {
    SpendingLimits {
        min_targets: spending.min_targets,
        max_targets: (spending.max_targets > 0).then_some(spending.max_targets),
        max_cost_milli_per_hour: (spending.max_cost_milli_per_hour > 0)
            .then_some(spending.max_cost_milli_per_hour),
    }
}

fn domain_supply(kinds: &Kinds<'_>, supply: &FleetSupply<'_>, needed: u32) -> Vec<DomainSupply> {
    let list = supply.list;
    let mut domains: IndexSet<Arc<str>> = supply.failure_domains.iter().cloned().collect();
    domains.extend(
        list.targets
            .iter()
            .map(|target| target.failure_domain.clone()),
    );
    domains.extend(list.orders.iter().map(|order| order.failure_domain.clone()));
    domains.sort();
    let mut supplies = Vec::with_capacity(domains.len());
    for domain in domains {
        supplies.push(DomainSupply {
            reclaimable: obtainable_targets(kinds.reclaimable, &domain, list, needed),
            reclaimable_live: count_live_targets(kinds.reclaimable, &domain, list),
            is_out_of_capacity: false,
            regular: obtainable_targets(kinds.regular, &domain, list, needed),
            failure_domain: domain,
        });
    }
    supplies
}

/// Returns how many targets of a kind can be obtained in a failure domain. The
/// number is `needed`, unless the platform could not fully meet a standing order.
fn obtainable_targets(
    kind: Option<&TargetKind>,
    domain: &str,
    list: &TargetList,
    needed: u32,
) -> u32 {
    let Some(kind) = kind else {
        return 0;
    };
    for order in &list.orders {
        if order.kind != kind.name || &*order.failure_domain != domain {
            continue;
        }
        if order.available < order.wanted {
            return order.available;
        }
    }
    needed
}

fn count_live_targets(kind: Option<&TargetKind>, domain: &str, list: &TargetList) -> u32 {
    let Some(kind) = kind else {
        return 0;
    };
    let mut live = 0;
    for target in &list.targets {
        let counts = target.kind == kind.name
            && &*target.failure_domain == domain
            && target.state == TargetState::Live;
        live += u32::from(counts);
    }
    live
}

fn count_live_regular(kinds: &Kinds<'_>, list: &TargetList, supply: &[DomainSupply]) -> Vec<u32> {
    let mut counts = Vec::with_capacity(supply.len());
    for domain in supply {
        counts.push(count_live_targets(
            kinds.regular,
            &domain.failure_domain,
            list,
        ));
    }
    counts
}

/// Returns an order for `count` targets unless the standing order is for the
/// same number.
fn changed_order(
    kind: Option<&TargetKind>,
    domain: &str,
    count: u32,
    list: &TargetList,
) -> Option<PlannedOrder> {
    let kind = kind?;
    let standing = list
        .orders
        .iter()
        .find(|order| order.kind == kind.name && &*order.failure_domain == domain);
    if standing.map_or(0, |order| order.wanted) == count {
        return None;
    }
    let order = FleetOrder {
        kind: kind.name.to_string(),
        failure_domain: domain.to_owned(),
        count,
    };
    Some(PlannedOrder {
        target: fleet_target(&kind.name, domain),
        order: Order::Fleet(order),
    })
}
