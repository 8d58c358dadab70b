//! Exchanges target loads and served tokens with the other instances.

use std::sync::Arc;

use crate::{
    entry::{context::EntryContext, peers::PeerCallbacks, router::ServiceIndex},
    peer::TargetLoad,
    policy::load::InFlight,
};

/// Reports this instance's load on each target to the peers, and applies the loads
/// and the served tokens that the peers reported.
///
/// Also updates how the mixed engines, which can both prefill and decode, are
/// divided between the two tasks.
pub(super) fn exchange_with_peers(context: &EntryContext) {
    context.partition().update(context);
    let peers = context.peers();
    metrics::gauge!("entry_queued_requests").set(context.queued() as f64);
    for view in context.targets().snapshot().iter() {
        exchange_load(context, peers, &view.name);
    }
    let served_by_peers = (peers.take_served)();
    if served_by_peers.is_empty() {
        return;
    }
    let index = context.router().index(context.ledger());
    for served in served_by_peers {
        let weight = account_weight(&index, &served.name);
        let (account, tokens) = (&served.name, served.amount);
        context
            .scheduler()
            .charge_for_peers(account, weight, tokens);
    }
}

fn exchange_load(context: &EntryContext, peers: &PeerCallbacks, target: &Arc<str>) {
    let load = (peers.peer_load)(target);
    let peers_in_flight = InFlight {
        requests: load.requests,
        prefill_tokens: load.tokens,
        blocks: u32::try_from(load.blocks).unwrap_or(u32::MAX),
    };
    let instances = (peers.live_instances)();
    let scheduler = context.scheduler();
    let own_load = scheduler.exchange_load(target, peers_in_flight, instances);
    let own_load = TargetLoad {
        requests: own_load.requests,
        tokens: own_load.prefill_tokens,
        blocks: u64::from(own_load.blocks),
    };
    (peers.report_load)(target, own_load);
}

fn account_weight(index: &ServiceIndex, account: &str) -> u32 {
    let entry = account
        .split_once('/')
        .and_then(|(service, name)| index.account(service, name));
    entry.map_or(1, |entry| entry.account.weight)
}
