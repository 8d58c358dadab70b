//! Aggregates the target loads reported by peers.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{delta::TargetLoad, link::Link, state::link_kind_of, topology::LinkKind};

/// Loads by target name.
pub(super) type Loads = IndexMap<Arc<str>, TargetLoad>;

/// Loads of this instance, and cached sums of the loads received over its
/// links.
///
/// [`Self::invalidate`] must be called when a link has changed.
#[derive(Debug, Default)]
pub(super) struct LoadTotals {
    /// This instance's own loads.
    own: Loads,
    /// Sums of the loads received over all links.
    all_peers: Loads,
    /// Sums of the loads received from members of the group whose relay is this
    /// instance.
    group_members: Loads,
    /// Whether the sums include all changes of the links.
    up_to_date: bool,
}

impl LoadTotals {
    /// Sets this instance's own load on a target.
    pub(super) fn set_own(&mut self, target: &str, load: TargetLoad) {
        if load == TargetLoad::default() {
            self.own.swap_remove(target);
            return;
        }
        if let Some(own) = self.own.get_mut(target) {
            *own = load;
            return;
        }
        self.own.insert(target.into(), load);
    }

    /// Marks the sums as outdated.
    pub(super) fn invalidate(&mut self) {
        self.up_to_date = false;
    }

    /// Recomputes the sums if they are outdated.
    pub(super) fn refresh(
        &mut self,
        kinds: &IndexMap<Arc<str>, LinkKind>,
        links: &IndexMap<Arc<str>, Link>,
    ) {
        if self.up_to_date {
            return;
        }
        self.all_peers.clear();
        self.group_members.clear();
        for (name, link) in links {
            add_all(&mut self.all_peers, link.decoder.loads());
            if link_kind_of(kinds, name) == LinkKind::Member {
                add_all(&mut self.group_members, link.decoder.loads());
            }
        }
        self.up_to_date = true;
    }

    /// Returns the sum of the peers' loads on a target.
    pub(super) fn peer_total(&self, target: &str) -> TargetLoad {
        self.all_peers.get(target).copied().unwrap_or_default()
    }

    /// Returns the loads to send over `link`, according to the kind of the link.
    ///
    /// A member is sent all loads except those that it reported itself.
    pub(super) fn outgoing(&self, kind: LinkKind, link: &Link) -> Loads {
        match kind {
            LinkKind::Backup => Loads::new(),
            LinkKind::Relay => self.own.clone(),
            LinkKind::Peer => sum(&self.own, &self.group_members),
            LinkKind::Member => {
                let mut loads = sum(&self.own, &self.all_peers);
                for (target, load) in link.decoder.loads() {
                    if let Some(total) = loads.get_mut(target) {
                        total.subtract(load);
                    }
                }
                loads
            }
        }
    }
}

fn add_all(totals: &mut Loads, loads: &Loads) {
    for (target, load) in loads {
        if let Some(total) = totals.get_mut(target) {
            total.add(load);
            continue;
        }
        totals.insert(target.clone(), *load);
    }
}

fn sum(first: &Loads, second: &Loads) -> Loads {
    let mut total = first.clone();
    add_all(&mut total, second);
    total
}
