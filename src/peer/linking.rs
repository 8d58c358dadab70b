//! Changes of the known instances, and of the links to them that follow.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::time::Instant;

use super::{
    membership::PeerState,
    state::{State, link_kind_of},
    topology::{LinkKind, Node, Topology},
};
use crate::infra::protocol::LiveInstance;

impl State {
    /// Replaces the live list and recomputes the topology.
    pub(super) fn apply_list(&mut self, list: &[LiveInstance], now: Instant) {
        self.membership.apply_list(list);
        self.update_topology(now);
    }

    /// Returns the running instances, except linked instances from which no frame
    /// arrived recently. Unlinked instances send no frames to this instance and are
    /// always included.
    pub(super) fn reachable(&self, now: Instant) -> Vec<PeerState> {
        let mut reachable = self.membership.live(now);
        reachable.retain(|peer| {
            // An instance that does not respond may no longer be linked.
            if self.reachability.is_unreachable(&peer.name) {
                return false;
            }
            let is_linked = self.link_kinds.contains_key(&peer.name);
            !is_linked || self.membership.is_recently_seen(&peer.name, now)
        });
        reachable
    }

    /// Removes and returns the instances that are no longer running. Instances that do not
    /// respond are no longer used as relays.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<PeerState> {
        let terminated = self.membership.expire(now);
        let lost = self.reachability.check(now);
        for name in &lost {
            tracing::info!(instance = &**name, "peer: instance does not respond");
        }
        if !terminated.is_empty() || !lost.is_empty() {
            self.update_topology(now);
        }
        terminated
    }

    /// Computes the links anew, after the known instances have changed or whether they
    /// respond.
    pub(super) fn update_topology(&mut self, now: Instant) {
        self.reachability.forget_ended(&self.membership);
        let mut nodes = vec![Node {
            name: self.own.name.clone(),
            failure_domain: self.own.failure_domain.clone(),
            is_unreachable: false,
        }];
        for peer in self.membership.live(now) {
            nodes.push(Node {
                is_unreachable: self.reachability.is_unreachable(&peer.name),
                name: peer.name,
                failure_domain: peer.failure_domain,
            });
        }
        self.set_link_kinds(Topology::new(&nodes).links(&self.own.name));
        self.reachability
            .expect(self.link_kinds.keys(), &self.membership, now);
        self.loads.invalidate();
    }

    /// Replaces the kinds of the links. All that is known is sent over a link whose kind
    /// has changed, since not all earlier reports were sent over it.
    fn set_link_kinds(&mut self, link_kinds: IndexMap<Arc<str>, LinkKind>) {
        if link_kinds == self.link_kinds {
            return;
        }
        log_links(&link_kinds);
        for (name, link) in &mut self.links {
            if link_kind_of(&link_kinds, name) != link_kind_of(&self.link_kinds, name) {
                link.next_report = None;
            }
        }
        self.link_kinds = link_kinds;
        self.reports.wake_links();
    }
}

/// Logs over which links this instance sends reports.
fn log_links(link_kinds: &IndexMap<Arc<str>, LinkKind>) {
    let named = |wanted| {
        let links = link_kinds.iter().filter(move |(_, kind)| **kind == wanted);
        links.map(|(name, _)| &**name)
    };
    tracing::info!(
        relay = named(LinkKind::Relay).next().unwrap_or("-"),
        peers = named(LinkKind::Peer).count(),
        members = named(LinkKind::Member).count(),
        backups = named(LinkKind::Backup).count(),
        "peer: links changed"
    );
}
