//! Reports between the instances of a fleet that is divided into groups, when the relay of
//! a group is lost.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use lavenderwind::{
    infra::protocol::{LiveInstance, LiveState},
    log::{Offset, RecentEntries, TailStatus},
    peer::{
        PeerHandle, PeerLog, PeerOptions, Peers, Quorum, SentFingerprint, TargetNotice,
        spawn_without_live_list,
        topology::{LinkKind, MAX_MESH_INSTANCES, Node, Topology},
    },
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Time limit of waits, so that a failing test does not hang.
const DEADLINE: Duration = Duration::from_secs(30);
/// Enough instances for groups with a relay each.
const INSTANCES: usize = MAX_MESH_INSTANCES + 2;
const DOMAIN: &str = "d1";
const HEARTBEAT: Duration = Duration::from_millis(50);

async fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let poll = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        timeout(DEADLINE, poll).await.is_ok(),
        "timed out waiting until {what}"
    );
}

/// Returns the access to a log that is never read.
fn unread_log() -> PeerLog {
    let now = Instant::now();
    let (_, status) = watch::channel(TailStatus {
        live: false,
        last_read_at: now,
        current_as_of: now,
        end_offset: Offset(0),
        caught_up: false,
        rebuilding: false,
    });
    let (relayed, _) = mpsc::channel(1);
    PeerLog {
        status,
        relayed,
        recent: RecentEntries::new(1),
        applied: Box::new(|| Offset(0)),
        appender: None,
    }
}

/// A running instance.
struct Instance {
    entry: LiveInstance,
    peers: Peers,
}

impl Instance {
    async fn start(name: &str, incarnation: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: Arc<str> = listener.local_addr().unwrap().to_string().into();
        let entry = LiveInstance {
            name: name.into(),
            incarnation,
            failure_domain: DOMAIN.into(),
            peer_address: address.clone(),
            admin_address: address,
            state: LiveState::Live,
        };
        let options = PeerOptions {
            name: name.into(),
            incarnation,
            failure_domain: DOMAIN.into(),
            max_age: Duration::from_secs(10),
            min_heartbeat_interval: HEARTBEAT,
            quorum: Quorum::Majority,
        };
        let (live, _) = watch::channel(1);
        let stop = CancellationToken::new();
        let peers = spawn_without_live_list(options, unread_log(), listener, live, &stop);
        Self { entry, peers }
    }

    fn handle(&self) -> &PeerHandle {
        &self.peers.handle
    }
}

/// A fleet with groups, all in one failure domain.
struct Fleet {
    instances: IndexMap<Arc<str>, Instance>,
}

impl Fleet {
    async fn start() -> Self {
        let mut instances = IndexMap::new();
        for index in 0..INSTANCES {
            let instance = Instance::start(&format!("entry-{index:02}"), 1).await;
            instances.insert(instance.entry.name.clone(), instance);
        }
        let fleet = Self { instances };
        fleet.publish_list(&fleet.list());
        for (name, links) in fleet.links() {
            let handle = fleet.instances[&name].handle();
            eventually("all links are open", || {
                links.keys().all(|peer| handle.connected().contains(peer))
            })
            .await;
        }
        fleet
    }

    fn list(&self) -> Vec<LiveInstance> {
        let instances = self.instances.values();
        instances.map(|instance| instance.entry.clone()).collect()
    }

    /// Passes a list of instances to all instances.
    fn publish_list(&self, list: &[LiveInstance]) {
        for instance in self.instances.values() {
            instance.handle().apply_list(list);
        }
    }

    /// Returns the links of each instance if all respond.
    fn links(&self) -> IndexMap<Arc<str>, IndexMap<Arc<str>, LinkKind>> {
        let mut nodes = Vec::new();
        for name in self.instances.keys() {
            nodes.push(Node {
                name: name.clone(),
                failure_domain: DOMAIN.into(),
                is_unreachable: false,
            });
        }
        let topology = Topology::new(&nodes);
        let names = self.instances.keys();
        names
            .map(|name| (name.clone(), topology.links(name)))
            .collect()
    }

    /// Returns the relay of the first group, and a member of that group.
    fn relay_and_member(&self) -> (Arc<str>, Arc<str>) {
        for (name, links) in self.links() {
            let mut kinds = links.into_iter();
            if let Some((relay, _)) = kinds.find(|(_, kind)| *kind == LinkKind::Relay) {
                return (relay, name);
            }
        }
        panic!("no group with a relay and a member");
    }

    /// Ends an instance without a word to the others. The list still contains it.
    async fn kill(&mut self, name: &str) {
        let mut killed = self.instances.swap_remove(name).unwrap();
        killed.peers.tasks.shutdown().await;
    }

    fn report_crash(&self, at: &str, crash: u64) {
        self.report_fingerprints(at, crash, [crash]);
    }

    fn report_fingerprints<I>(&self, at: &str, crash: u64, fingerprints: I)
    where
        I: IntoIterator<Item = u64>,
    {
        let boot = format!("boot-{crash}").into();
        let mut in_flight = Vec::new();
        for fingerprint in fingerprints {
            in_flight.push(SentFingerprint {
                fingerprint,
                age_ms: 0,
            });
        }
        self.instances[at].handle().report_crash(&boot, &in_flight);
    }

    fn all_have_suspects(&self) -> bool {
        let mut instances = self.instances.values();
        instances.all(|instance| instance.handle().has_suspects())
    }
}

/// Guards against crashes of targets that only the instance that saw them knows of, because
/// an instance that is gone stays the relay of its group.
#[tokio::test]
async fn group_gets_new_relay() {
    let mut fleet = Fleet::start().await;
    let (relay, member) = fleet.relay_and_member();
    fleet.kill(&relay).await;
    let mut crash = 0;
    eventually("a crash is known to all that remain", || {
        crash += 1;
        fleet.report_crash(&member, crash);
        fleet.all_have_suspects()
    })
    .await;
}

/// An instance that starts again after it was given up is used as the relay again, and its
/// group stays connected all the while.
#[tokio::test]
async fn restarted_relay_used() {
    let mut fleet = Fleet::start().await;
    let (relay, member) = fleet.relay_and_member();
    fleet.kill(&relay).await;
    let handle = fleet.instances[&member].handle().clone();
    eventually("the relay is given up", || {
        !handle.reachable().iter().any(|peer| peer.name == relay)
    })
    .await;
    let restarted = Instance::start(&relay, 2).await;
    fleet.instances.insert(relay.clone(), restarted);
    fleet.publish_list(&fleet.list());
    let restarted = fleet.instances[&relay].handle().clone();
    let links = fleet.links().swap_remove(&relay).unwrap();
    eventually("all links of the relay are open", || {
        links
            .keys()
            .all(|peer| restarted.connected().contains(peer))
    })
    .await;
    fleet.report_crash(&member, 1);
    eventually("the crash is known to all", || fleet.all_have_suspects()).await;
}

/// Guards against reports that are lost for good because their relay was gone when they were
/// made, before its group has noticed.
#[tokio::test]
async fn reports_survive_loss() {
    let mut fleet = Fleet::start().await;
    let (relay, member) = fleet.relay_and_member();
    fleet.kill(&relay).await;
    fleet.report_crash(&member, 1);
    eventually("the crash is known to all that remain", || {
        fleet.all_have_suspects()
    })
    .await;
}

/// Guards against reports that a peer never gets, because more of them were made than the
/// queue of its link takes.
#[tokio::test]
async fn many_reports_arrive() {
    const TARGETS: usize = 2_000;
    let fleet = Fleet::start().await;
    let (_, member) = fleet.relay_and_member();
    for target in 0..TARGETS {
        fleet.instances[&member]
            .handle()
            .report_notice(TargetNotice {
                target: format!("t-{target}"),
                started_at_unix_ms: 1,
                limit_milli_per_s: None,
                leaving: true,
            });
    }
    for (name, instance) in &fleet.instances {
        if *name == member {
            continue;
        }
        let mut arrived = 0;
        eventually("all notices have arrived", || {
            arrived += instance.handle().take_notices().len();
            arrived == TARGETS
        })
        .await;
    }
}

/// Guards against a fingerprint that no peer hears of, because too many others were in flight
/// at the same crash.
#[tokio::test]
async fn large_reports_arrive() {
    const CAUSE: u64 = 7;
    const OTHERS: u64 = 20_000;
    let fleet = Fleet::start().await;
    let names: Vec<&Arc<str>> = fleet.instances.keys().collect();
    for crash in 1..=3 {
        let first = crash * OTHERS;
        let fingerprints = (first..first + OTHERS).chain([CAUSE]);
        fleet.report_fingerprints(names[crash as usize], crash, fingerprints);
        // A crash counts only for requests that were sent after the one before.
        sleep(Duration::from_millis(50)).await;
    }
    for instance in fleet.instances.values() {
        eventually("the cause is known", || {
            instance.handle().quarantine_left(&[CAUSE]).is_some()
        })
        .await;
    }
}
