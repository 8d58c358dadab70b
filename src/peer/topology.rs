//! Computes which instances are connected.
//!
//! Up to [`MAX_MESH_INSTANCES`] instances form a full mesh. Above that, the
//! instances of each failure domain are divided into groups, and rendezvous
//! hashing selects a relay and a backup in each group. Members connect to the relay
//! and the backup of their group, and relays also connect to all other relays. Of
//! `n` instances, each therefore has at most about `2 * sqrt(n)` links.
//!
//! An instance that does not respond stays in its group, so that all instances agree on
//! the groups, but is neither relay nor backup while another instance can be.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sha2::{Digest, Sha256};

/// Maximum number of instances in a full mesh.
pub const MAX_MESH_INSTANCES: usize = 16;

/// Target number of instances in a group.
pub const GROUP_INSTANCES: usize = 16;

/// An instance in the topology.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Whether the instance does not respond, as far as is known.
    pub is_unreachable: bool,
}

/// Role of the other end of a link, as seen by this instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LinkKind {
    /// Another instance of the mesh, or the relay of another group.
    Peer,
    /// The relay of this instance's group.
    Relay,
    /// A member of the group whose relay is this instance.
    Member,
    /// The backup of this instance's group. If this instance is the backup, a member
    /// of the group. Heartbeats over such a link carry no loads or amounts.
    Backup,
}

impl LinkKind {
    /// Returns whether data received over a link of this kind is forwarded over
    /// links of the kind `other`.
    ///
    /// Data from members is forwarded to peers and to other members. Data from peers is
    /// forwarded to members. The caller must exclude the link over which the data was
    /// received.
    pub fn forwards_to(self, other: Self) -> bool {
        match (self, other) {
            (Self::Member, Self::Peer | Self::Member) => true,
            (Self::Peer, Self::Member) => true,
            (Self::Peer | Self::Relay | Self::Backup, _) => false,
            (Self::Member, Self::Relay | Self::Backup) => false,
        }
    }
}

/// Links between all instances.
///
/// ```
/// use lavenderwind::peer::topology::{LinkKind, Node, Topology};
///
/// let nodes = ["a", "b"].map(|name| Node {
///     name: name.into(),
///     failure_domain: "d1".into(),
///     is_unreachable: false,
/// });
/// let links = Topology::new(&nodes).links("a");
/// assert_eq!(links["b"], LinkKind::Peer);
/// ```
#[derive(Debug)]
pub struct Topology {
    /// Names of all nodes if they form a mesh, otherwise empty.
    mesh: Vec<Arc<str>>,
    groups: Vec<Group>,
}

impl Topology {
    /// Computes the mesh or the groups for `nodes`.
    pub fn new(nodes: &[Node]) -> Self {
        if nodes.len() > MAX_MESH_INSTANCES {
            return Self {
                mesh: Vec::new(),
                groups: divide_into_groups(nodes),
            };
        }
        Self {
            mesh: nodes.iter().map(|node| node.name.clone()).collect(),
            groups: Vec::new(),
        }
    }

    /// Returns the links of the instance called `name`.
    ///
    /// Links are symmetric if both ends compute them from the same nodes.
    pub fn links(&self, name: &str) -> IndexMap<Arc<str>, LinkKind> {
        let mut links = IndexMap::new();
        for other in &self.mesh {
            if **other != *name {
                links.insert(other.clone(), LinkKind::Peer);
            }
        }
        for group in &self.groups {
            if group.contains(name) {
                group.add_links(name, &mut links);
            }
        }
        let is_relay = self.groups.iter().any(|group| *group.relay == *name);
        if !is_relay {
            return links;
        }
        for group in &self.groups {
            if *group.relay != *name {
                links.insert(group.relay.clone(), LinkKind::Peer);
            }
        }
        links
    }
}

/// Sorts `candidates` by their rendezvous hash for `key`, highest first.
pub fn rendezvous_order<'a, I>(key: &str, candidates: I) -> Vec<&'a Arc<str>>
where
    I: IntoIterator<Item = &'a Arc<str>>,
{
    let mut ordered = Vec::new();
    for candidate in candidates {
        ordered.push((rendezvous_hash(key, candidate), candidate));
    }
    ordered.sort_unstable_by(|a, b| b.cmp(a));
    ordered
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// A group of instances in one failure domain.
#[derive(Debug)]
struct Group {
    relay: Arc<str>,
    backup: Option<Arc<str>>,
    members: Vec<Arc<str>>,
}

impl Group {
    fn new(key: &str, nodes: &[&Node]) -> Self {
        let members: Vec<Arc<str>> = nodes.iter().map(|node| node.name.clone()).collect();
        let mut order = rendezvous_order(key, &members);
        let unreachable: IndexSet<&Arc<str>> = nodes
            .iter()
            .filter(|node| node.is_unreachable)
            .map(|node| &node.name)
            .collect();
        // The sort is stable and thus keeps the rendezvous order otherwise.
        order.sort_by_key(|name| unreachable.contains(name));
        Self {
            relay: order[0].clone(),
            backup: order.get(1).map(|&backup| backup.clone()),
            members,
        }
    }

    fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| **member == *name)
    }

    fn add_links(&self, name: &str, links: &mut IndexMap<Arc<str>, LinkKind>) {
        if *self.relay == *name {
            for member in &self.members {
                if **member != *name {
                    links.insert(member.clone(), LinkKind::Member);
                }
            }
            return;
        }
        links.insert(self.relay.clone(), LinkKind::Relay);
        let Some(backup) = &self.backup else {
            return;
        };
        if **backup != *name {
            links.insert(backup.clone(), LinkKind::Backup);
            return;
        }
        for member in &self.members {
            if **member != *name && *member != self.relay {
                links.insert(member.clone(), LinkKind::Backup);
            }
        }
    }
}

/// Divides the nodes into groups, each within one failure domain.
fn divide_into_groups(nodes: &[Node]) -> Vec<Group> {
    let mut domains: IndexMap<&Arc<str>, Vec<&Node>> = IndexMap::new();
    for node in nodes {
        domains.entry(&node.failure_domain).or_default().push(node);
    }
    let mut groups = Vec::new();
    for (domain, nodes) in domains {
        let keys = group_keys(domain, nodes.len());
        let mut members: IndexMap<&Arc<str>, Vec<&Node>> = IndexMap::new();
        for node in nodes {
            let key = rendezvous_order(&node.name, &keys)[0];
            members.entry(key).or_default().push(node);
        }
        for (key, members) in members {
            groups.push(Group::new(key, &members));
        }
    }
    groups
}

/// Returns one key for each group of a failure domain with this number of instances.
fn group_keys(domain: &str, instances: usize) -> Vec<Arc<str>> {
    let mut keys = Vec::new();
    for index in 0..instances.div_ceil(GROUP_INSTANCES) {
        keys.push(format!("{domain}/{index}").into());
    }
    keys
}

fn rendezvous_hash(key: &str, candidate: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update((key.len() as u64).to_be_bytes());
    hasher.update(key);
    hasher.update(candidate);
    hasher.finalize().into()
}
