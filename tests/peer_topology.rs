//! Tests the links between instances and the delivery of data over them.

use std::{collections::HashSet, sync::Arc};

use indexmap::IndexMap;
use lavenderwind::peer::topology::{
    LinkKind, MAX_MESH_INSTANCES, Node, Topology, rendezvous_order,
};

fn nodes(instances: usize, domains: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for index in 0..instances {
        nodes.push(Node {
            name: format!("entry-{index}").into(),
            failure_domain: format!("domain-{}", index % domains).into(),
            is_unreachable: false,
        });
    }
    nodes
}

/// Links of every instance, by instance name.
type Links = IndexMap<Arc<str>, IndexMap<Arc<str>, LinkKind>>;

fn all_links(nodes: &[Node]) -> Links {
    let topology = Topology::new(nodes);
    let mut all = IndexMap::new();
    for node in nodes {
        all.insert(node.name.clone(), topology.links(&node.name));
    }
    all
}

/// Returns the kind that the other end gives to a link of this kind.
fn mirrored(kind: LinkKind) -> LinkKind {
    match kind {
        LinkKind::Relay => LinkKind::Member,
        LinkKind::Member => LinkKind::Relay,
        LinkKind::Peer | LinkKind::Backup => kind,
    }
}

fn check_symmetric(all: &Links) {
    for (name, links) in all {
        for (other, &kind) in links {
            assert_ne!(name, other);
            let back = all[other].get(name).copied();
            assert_eq!(back, Some(mirrored(kind)), "{name} to {other}");
        }
    }
}

/// Simulates the forwarding of a report from `origin` and returns how often
/// each instance receives it.
fn deliveries(all: &Links, origin: &Arc<str>) -> IndexMap<Arc<str>, usize> {
    let mut received = IndexMap::new();
    let mut pending = Vec::new();
    for (to, kind) in &all[origin] {
        if *kind != LinkKind::Backup {
            pending.push((origin.clone(), to.clone()));
        }
    }
    while let Some((from, at)) = pending.pop() {
        *received.entry(at.clone()).or_insert(0) += 1;
        assert!(received[&at] < 10, "forwarding loop at {at}");
        let incoming_kind = all[&at][&from];
        for (to, &kind) in &all[&at] {
            if *to != from && incoming_kind.forwards_to(kind) {
                pending.push((at.clone(), to.clone()));
            }
        }
    }
    received
}

struct Case {
    instances: usize,
    domains: usize,
    max_links: usize,
}

/// A report reaches each instance once, over a bounded number of links per instance.
#[test]
fn report_delivered_once() {
    let cases = [
        Case {
            instances: 1,
            domains: 1,
            max_links: 0,
        },
        Case {
            instances: 8,
            domains: 4,
            max_links: 7,
        },
        Case {
            instances: MAX_MESH_INSTANCES,
            domains: 4,
            max_links: 15,
        },
        Case {
            instances: MAX_MESH_INSTANCES + 1,
            domains: 4,
            max_links: 9,
        },
        Case {
            instances: 64,
            domains: 4,
            max_links: 27,
        },
        Case {
            instances: 320,
            domains: 6,
            max_links: 52,
        },
        Case {
            instances: 320,
            domains: 1,
            max_links: 52,
        },
    ];
    for case in cases {
        let label = format!("{} in {}", case.instances, case.domains);
        let nodes = nodes(case.instances, case.domains);
        let all = all_links(&nodes);
        check_symmetric(&all);
        for links in all.values() {
            assert!(links.len() <= case.max_links, "{label}: {}", links.len());
        }
        for node in nodes.iter().take(40) {
            let received = deliveries(&all, &node.name);
            assert_eq!(received.len(), case.instances - 1, "{label}: {}", node.name);
            let once = received.values().all(|&count| count == 1);
            assert!(once, "{label}: {received:?}");
        }
    }
}

/// A report reaches all remaining instances after the loss of any one.
#[test]
fn delivery_after_loss() {
    let nodes = nodes(64, 4);
    for node in &nodes {
        let mut remaining = nodes.clone();
        remaining.retain(|other| other.name != node.name);
        let all = all_links(&remaining);
        check_symmetric(&all);
        let received = deliveries(&all, &remaining[0].name);
        assert_eq!(received.len(), 62, "without {}", node.name);
    }
}

/// The removal of an instance leaves most links of the others as they are.
#[test]
fn removal_keeps_links() {
    let before = nodes(320, 6);
    let mut after = before.clone();
    after.pop();
    let old = all_links(&before);
    let new = all_links(&after);
    let mut changed = 0;
    let mut total = 0;
    for (name, links) in &new {
        let old: HashSet<_> = old[name].iter().collect();
        total += links.len();
        for link in links {
            changed += usize::from(!old.contains(&link));
        }
    }
    assert!(changed * 10 < total, "{changed} of {total} links changed");
}

#[test]
fn rendezvous_order_stable() {
    let names: Vec<Arc<str>> = ["a", "b", "c", "d"].map(Arc::from).to_vec();
    let order = rendezvous_order("usage", &names);
    let without_last: Vec<Arc<str>> = order[..3].iter().map(|&name| name.clone()).collect();
    assert_eq!(rendezvous_order("usage", &without_last), order[..3]);
    assert_eq!(order.len(), 4);
}
