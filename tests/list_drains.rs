//! Draining and removed targets in a large fleet whose instances save reads of the list of
//! targets.

mod platform_support;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use lavenderwind::peer::topology::{LinkKind, Node, Topology};
use platform_support::{Cloud, Gateway, Store, Worker, configuration, signed};
use serde_json::{Value, json};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Number of instances, so that some are not linked to all others, also after two are gone.
const INSTANCES: usize = 20;

/// `drain_ms` of the tests, within which a draining target must be known.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for the instances to learn of each other.
const SETTLED: Duration = Duration::from_secs(8);

/// Time for the instances to learn of a target that is ready again.
const READY: Duration = Duration::from_millis(2_500);

/// Time for which relays are frozen. Shorter than the silence after which other instances
/// become relays.
const FROZEN: Duration = Duration::from_millis(2_600);

/// Number of times that relays are frozen, at different times since their last reads.
const FREEZES: usize = 3;

/// Time for which the answers are watched after a target has begun to drain.
const WATCHED: Duration = Duration::from_millis(2_500);

/// Interval between two requests to each instance.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);

/// Number of idle targets. The stand-in returns two records in each page of a snapshot, so
/// that a snapshot of more targets takes seconds for all instances together.
const IDLE_TARGETS: usize = 6;

/// Interval between two entries of idle targets.
const ENTRY_PERIOD: Duration = Duration::from_millis(20);

/// Forwards connections to the store. Those that are open can be made silent: they stay open,
/// and nothing is forwarded.
struct StoreProxy {
    address: SocketAddr,
    generation: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl StoreProxy {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let generation = Arc::new(AtomicUsize::new(0));
        let current = generation.clone();
        let task = tokio::spawn(async move {
            loop {
                let (inbound, _) = listener.accept().await.unwrap();
                tokio::spawn(forward(inbound, to, current.clone()));
            }
        });
        Self {
            address,
            generation,
            task,
        }
    }

    fn silence_open(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for StoreProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(mut inbound: TcpStream, to: SocketAddr, generation: Arc<AtomicUsize>) {
    let own = generation.load(Ordering::SeqCst);
    // Fails when the store ends before the instances.
    let Ok(mut outbound) = TcpStream::connect(to).await else {
        return;
    };
    let silenced = async {
        while generation.load(Ordering::SeqCst) == own {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        _ = copy_bidirectional(&mut inbound, &mut outbound) => return,
        () = silenced => {}
    }
    // Holds both sockets, so that the connection stays open.
    std::future::pending::<()>().await;
}

struct Fleet {
    store: Store,
    _cloud: Cloud,
    /// Target that drains in the tests.
    leaving: Worker,
    staying: Worker,
    gateways: HashMap<String, Gateway>,
    /// Proxy of the instance called `entry-0`.
    proxy: StoreProxy,
    heartbeats: JoinHandle<()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

impl Fleet {
    async fn start() -> Self {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", &configuration(1));
        let answer = |name: &'static str| {
            move |arrival: &platform_support::Arrival| Some(signed(arrival, 200, name))
        };
        let leaving = Worker::start("leaving", answer("leaving")).await;
        let staying = Worker::start("staying", answer("staying")).await;
        for worker in [&leaving, &staying] {
            store.put("keyed.servers", &worker.id, &worker.entry("desk", None));
        }
        let writer = store.clone();
        let heartbeats = tokio::spawn(async move {
            for number in (0..IDLE_TARGETS).cycle() {
                let entry = idle_entry(number);
                writer.put("keyed.servers", &format!("i-{number}"), &entry);
                sleep(ENTRY_PERIOD).await;
            }
        });
        let proxy = StoreProxy::start(store.address()).await;
        let mut gateways = HashMap::new();
        for number in 0..INSTANCES {
            let name = format!("entry-{number}");
            let store_address = match number {
                0 => proxy.address,
                _ => store.address(),
            };
            let more = "placement: {shared: true}";
            let gateway = Gateway::start_at(&name, store_address, cloud.server.address, more).await;
            gateways.insert(name, gateway);
        }
        for gateway in gateways.values() {
            gateway.wait_until_ready().await;
        }
        sleep(SETTLED).await;
        Self {
            store,
            _cloud: cloud,
            leaving,
            staying,
            gateways,
            proxy,
            heartbeats,
        }
    }

    fn put_entry(&self, state: &str) {
        let mut entry = self.leaving.entry("desk", None);
        entry["state"] = json!(state);
        self.store.put("keyed.servers", "leaving", &entry);
    }

    /// Makes the target ready, and waits until all instances send requests to it.
    async fn make_ready(&self) {
        self.put_entry("ready");
        sleep(READY).await;
        let before = self.leaving.count();
        let watching = self.watch(Instant::now(), Duration::from_secs(1));
        let last = watching.await;
        for (name, last) in &last {
            assert!(last.is_some(), "{name} does not use the target");
        }
        assert!(self.leaving.count() > before);
    }

    /// Sends requests to all instances for `time`. Returns when each instance last got an
    /// answer of the leaving target, counted from `since`.
    async fn watch(&self, since: Instant, time: Duration) -> HashMap<String, Option<Duration>> {
        let mut watches = Vec::new();
        for (name, gateway) in &self.gateways {
            watches.push(async move {
                let client = reqwest::Client::new();
                let mut last = None;
                while since.elapsed() < time {
                    let asked_at = since.elapsed();
                    let request = client
                        .get(format!("{}/look/", gateway.url))
                        .header("host", "desk.example")
                        .header("request-id", "r-watch")
                        .header("deadline-ms", "1000")
                        .header("authorization", "Token key-1")
                        .timeout(Duration::from_secs(8));
                    let response = request.send().await.unwrap();
                    if response.text().await.unwrap() == "leaving" {
                        last = Some(asked_at);
                    }
                    sleep(REQUEST_PERIOD).await;
                }
                (name.clone(), last)
            });
        }
        futures_util::future::join_all(watches)
            .await
            .into_iter()
            .collect()
    }

    /// Panics unless all instances stop to use the target within [`DRAIN`] after `written_at`.
    /// Each request of an instance in `ignored` may wait.
    async fn assert_known(&self, failure: &str, written_at: Instant, ignored: &[String]) {
        let last = self.watch(written_at, WATCHED).await;
        let mut latest = Duration::ZERO;
        for (name, last) in &last {
            if !ignored.contains(name) {
                latest = latest.max(last.unwrap_or_default());
            }
        }
        println!("{failure}: known after {} ms", latest.as_millis());
        assert!(latest < DRAIN, "{failure}: {last:?}");
    }

    /// Returns the relays of all groups.
    fn relays(&self) -> Vec<String> {
        let mut nodes = Vec::new();
        for name in self.gateways.keys() {
            nodes.push(Node {
                name: name.as_str().into(),
                failure_domain: "z1".into(),
                is_unreachable: false,
            });
        }
        let topology = Topology::new(&nodes);
        let mut relays = Vec::new();
        for name in self.gateways.keys() {
            let links = topology.links(name);
            if links.values().any(|kind| *kind == LinkKind::Member) {
                relays.push(name.clone());
            }
        }
        relays
    }
}

/// Entry of a target of a service that gets no requests.
fn idle_entry(number: usize) -> Value {
    json!({
        "service": "idle", "address": format!("127.0.0.1:{}", 2_000 + number), "zone": "z1",
        "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
        "born": 1_700_000_000_000u64,
    })
}

/// Guards against a target that is used for too long because an instance relied on its peers:
/// without a failure, while its own connection to the store is silent, while the store is
/// restored, while the relays are frozen or gone, and without peers at a silent connection.
#[tokio::test(flavor = "multi_thread")]
async fn targets_leave() {
    let mut fleet = Fleet::start().await;
    fleet.make_ready().await;
    let written_at = Instant::now();
    fleet.put_entry("draining");
    fleet.assert_known("no failure", written_at, &[]).await;

    fleet.make_ready().await;
    let written_at = Instant::now();
    fleet.store.put("keyed.servers", "leaving", &Value::Null);
    fleet.assert_known("removed", written_at, &[]).await;

    fleet.make_ready().await;
    fleet.proxy.silence_open();
    let written_at = Instant::now();
    fleet.put_entry("draining");
    fleet
        .assert_known("silent connection", written_at, &[])
        .await;

    fleet.make_ready().await;
    let copy = fleet.store.copy();
    sleep(Duration::from_secs(2)).await;
    fleet.store.restore(&copy);
    let written_at = Instant::now();
    fleet.put_entry("draining");
    fleet.assert_known("restored store", written_at, &[]).await;

    let relays = fleet.relays();
    assert!(!relays.is_empty());
    for _ in 0..FREEZES {
        fleet.make_ready().await;
        for relay in &relays {
            fleet.gateways[relay].keep_busy(FROZEN).await;
        }
        let written_at = Instant::now();
        fleet.put_entry("draining");
        fleet
            .assert_known("frozen relays", written_at, &relays)
            .await;
    }

    fleet.make_ready().await;
    for relay in &fleet.relays() {
        fleet.gateways.remove(relay).unwrap().kill();
    }
    let written_at = Instant::now();
    fleet.put_entry("draining");
    fleet.assert_known("relays gone", written_at, &[]).await;

    fleet.make_ready().await;
    fleet.proxy.silence_open();
    fleet.gateways.retain(|name, _| name == "entry-0");
    let written_at = Instant::now();
    fleet.put_entry("draining");
    fleet
        .assert_known("cut off and silent", written_at, &[])
        .await;
    assert!(fleet.staying.count() > 0);
}
