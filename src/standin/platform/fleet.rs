//! Target ordering: a pool of registered targets, and the order in force for
//! each kind and failure domain.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::infra::protocol::{
    PlatformTarget, TargetList, TargetOrder, TargetOrderStatus, TargetState,
};

/// Targets of one kind in one failure domain; each order is for one group.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
}

/// An order that the platform received.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReceivedOrder {
    /// The order.
    pub order: TargetOrder,
    /// Whether the order was accepted.
    pub accepted: bool,
}

/// Lifecycle phase of a target in the pool. `Starting` and `Leaving` contain the
/// instant at which they end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Idle,
    Starting(Instant),
    Live,
    Leaving(Instant),
}

#[derive(Debug)]
struct PooledTarget {
    target: PlatformTarget,
    phase: Phase,
}

/// Instruction to switch a target on or off, as returned by [`Fleet::step`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PowerChange {
    pub(crate) address: Arc<str>,
    pub(crate) on: bool,
}

/// Pool of targets and the orders for them.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// Targets by name.
    pool: IndexMap<Arc<str>, PooledTarget>,
    /// Order in force for each group.
    orders: IndexMap<Group, TargetOrder>,
    reclaimed: Vec<Group>,
    received: Vec<ReceivedOrder>,
}

impl Fleet {
    /// Adds a target to the pool.
    ///
    /// A target registered as starting is idle until an order starts it; any other
    /// is live at once, and stays so while its group has no order.
    pub(crate) fn register(&mut self, target: PlatformTarget) {
        let phase = match target.state {
            TargetState::Starting => Phase::Idle,
            TargetState::Live | TargetState::Leaving => Phase::Live,
        };
        let name = Arc::clone(&target.name);
        self.pool.insert(name, PooledTarget { target, phase });
    }

    /// Removes a target from the pool.
    pub(crate) fn remove(&mut self, name: &str) {
        self.pool.shift_remove(name);
    }

    /// Records an order and puts it in force for its group.
    ///
    /// Returns `false` if the order is rejected: `check_epoch` is set and an
    /// order with a higher fencing token is in force for any group.
    pub(crate) fn receive_order(&mut self, order: TargetOrder, check_epoch: bool) -> bool {
        let newest_epoch = self.orders.values().map(|known| known.epoch).max();
        let accepted = !check_epoch || newest_epoch.is_none_or(|epoch| order.epoch >= epoch);
        self.received.push(ReceivedOrder {
            order: order.clone(),
            accepted,
        });
        if accepted {
            self.orders.insert(group_of_order(&order), order);
        }
        accepted
    }

    /// Returns all orders received so far, including rejected ones.
    pub(crate) fn received_orders(&self) -> &[ReceivedOrder] {
        &self.received
    }

    /// Switches off a group's starting and running targets once the time `notice`
    /// has passed; none can be started until the group is restored.
    pub(crate) fn reclaim(&mut self, group: &Group, notice: Duration) {
        let ends_at = Instant::now() + notice;
        for pooled in self.pool.values_mut() {
            if group_of_target(&pooled.target) != *group || pooled.phase == Phase::Idle {
                continue;
            }
            pooled.phase = Phase::Leaving(ends_at);
        }
        self.reclaimed.push(group.clone());
    }

    /// Makes the targets of a reclaimed group startable again.
    pub(crate) fn restore(&mut self, group: &Group) {
        self.reclaimed.retain(|reclaimed| reclaimed != group);
    }

    /// Starts and releases targets to match the orders, and returns the targets to
    /// switch on or off now. A start takes `start_time`; a released target is
    /// switched off after `notice`.
    pub(crate) fn step(
        &mut self,
        unavailable_kinds: &[Arc<str>],
        start_time: Duration,
        notice: Duration,
    ) -> Vec<PowerChange> {
        let mut changes = Vec::new();
        let now = Instant::now();
        let mut counts: IndexMap<Group, u32> = IndexMap::new();
        for pooled in self.pool.values_mut() {
            finish_transition(pooled, now, &mut changes);
            let group = group_of_target(&pooled.target);
            let Some(order) = self.orders.get(&group) else {
                continue;
            };
            let count = counts.entry(group.clone()).or_default();
            let startable = is_startable(&group, &self.reclaimed, unavailable_kinds);
            match pooled.phase {
                Phase::Live | Phase::Starting(_) if *count < order.count => *count += 1,
                Phase::Live => pooled.phase = Phase::Leaving(now + notice),
                Phase::Starting(_) => pooled.phase = Phase::Leaving(now),
                Phase::Idle if *count < order.count && startable => {
                    *count += 1;
                    pooled.phase = Phase::Starting(now + start_time);
                }
                Phase::Idle | Phase::Leaving(_) => {}
            }
        }
        changes
    }

    /// Returns the response to `GET /targets`.
    pub(crate) fn list(&self, unavailable_kinds: &[Arc<str>]) -> TargetList {
        let now = Instant::now();
        let targets = self
            .pool
            .values()
            .filter_map(|pooled| listed_target(pooled, now));
        let orders = self.orders.iter();
        TargetList {
            targets: targets.collect(),
            orders: orders
                .map(|(group, order)| self.order_status(group, order, unavailable_kinds))
                .collect(),
        }
    }

    fn order_status(
        &self,
        group: &Group,
        order: &TargetOrder,
        unavailable_kinds: &[Arc<str>],
    ) -> TargetOrderStatus {
        let startable = !self.reclaimed.contains(group) && !unavailable_kinds.contains(&group.kind);
        let mut available = 0;
        for pooled in self.pool.values() {
            if group_of_target(&pooled.target) != *group {
                continue;
            }
            let running = matches!(pooled.phase, Phase::Live | Phase::Starting(_));
            available += u32::from(running || startable);
        }
        TargetOrderStatus {
            last_order_id: order.order_id,
            last_epoch: order.epoch,
            kind: Arc::clone(&group.kind),
            failure_domain: Arc::clone(&group.failure_domain),
            wanted: order.count,
            available: available.min(order.count),
        }
    }
}

/// Ends a start or a notice period that is over by `now`, and adds the resulting
/// instruction to `changes`.
fn finish_transition(pooled: &mut PooledTarget, now: Instant, changes: &mut Vec<PowerChange>) {
    let on = match pooled.phase {
        Phase::Starting(ends_at) if ends_at <= now => true,
        Phase::Leaving(ends_at) if ends_at <= now => false,
        _ => return,
    };
    pooled.phase = if on { Phase::Live } else { Phase::Idle };
    changes.push(PowerChange {
        address: Arc::clone(&pooled.target.address),
        on,
    });
}

/// Returns a target as listed by `GET /targets`; `None` if it is idle.
fn listed_target(pooled: &PooledTarget, now: Instant) -> Option<PlatformTarget> {
    let mut target = pooled.target.clone();
    target.leaves_in_ms = None;
    match pooled.phase {
        Phase::Idle => return None,
        Phase::Starting(_) => target.state = TargetState::Starting,
        Phase::Live => target.state = TargetState::Live,
        Phase::Leaving(ends_at) => {
            let left = ends_at.saturating_duration_since(now);
            target.state = TargetState::Leaving;
            target.leaves_in_ms = Some(left.as_millis() as u64);
        }
    }
    Some(target)
}

fn is_startable(group: &Group, reclaimed: &[Group], unavailable_kinds: &[Arc<str>]) -> bool {
    !reclaimed.contains(group) && !unavailable_kinds.contains(&group.kind)
}

fn group_of_target(target: &PlatformTarget) -> Group {
    Group {
        kind: Arc::clone(&target.kind),
        failure_domain: Arc::clone(&target.failure_domain),
    }
}

fn group_of_order(order: &TargetOrder) -> Group {
    Group {
        kind: Arc::clone(&order.kind),
        failure_domain: Arc::clone(&order.failure_domain),
    }
}
