//! Fencing tokens of the calls that the platform gets, if it does not check them.

mod platform_support;

use std::{net::SocketAddr, time::Duration};

use platform_support::{
    Cloud, DutyCall, Gateway, Store, Worker, configuration, eventually, signed,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// Lease of the gateways under test.
const LEASE: Duration = Duration::from_millis(900);

/// Network path that can be held: bytes then wait, and are delivered later, unless their
/// sender has reset the connection by then.
struct Path {
    address: SocketAddr,
    held: watch::Sender<bool>,
    /// Number of connections so far.
    connections: watch::Receiver<usize>,
    task: JoinHandle<()>,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Path {
    async fn start(destination: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (held, receiver) = watch::channel(false);
        let (count, connections) = watch::channel(0);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.send_modify(|count| *count += 1);
                tokio::spawn(forward(stream, destination, receiver.clone()));
            }
        });
        Self {
            address,
            held,
            connections,
            task,
        }
    }

    fn hold(&self, held: bool) {
        self.held.send_replace(held);
    }
}

async fn forward(client: TcpStream, destination: SocketAddr, held: watch::Receiver<bool>) {
    let Ok(server) = TcpStream::connect(destination).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, held.clone()),
        copy(server_read, client_write, held),
    );
}

/// Copies bytes until the sender closes or resets its connection.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut held: watch::Receiver<bool>) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        if from.readable().await.is_err() {
            return;
        }
        if held.wait_for(|held| !held).await.is_err() {
            return;
        }
        let was_reset = from
            .as_ref()
            .take_error()
            .is_ok_and(|error| error.is_some());
        if was_reset {
            let _ = to.as_ref().set_zero_linger();
            return;
        }
        let read = from.read(&mut bytes).await.unwrap_or(0);
        if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
            // The receiver drops a call whose connection ends before it has executed it.
            sleep(Duration::from_millis(200)).await;
            let _ = to.shutdown().await;
            return;
        }
    }
}

/// Returns the calls that have arrived, in this order.
fn calls(cloud: &Cloud) -> Vec<DutyCall> {
    cloud.calls.lock().unwrap().clone()
}

async fn wait_for_call(cloud: &Cloud, holder: &str, after: usize) {
    eventually(&format!("{holder} makes a call"), || {
        calls(cloud)
            .iter()
            .skip(after)
            .any(|call| call.holder == holder)
    })
    .await;
}

/// Checks that no token is lower than the one before, and that no holder acts again within
/// a lease after it made way for another one.
fn check_order(cloud: &Cloud) {
    let calls = calls(cloud);
    for pair in calls.windows(2) {
        assert!(
            pair[0].fence <= pair[1].fence,
            "{} under {} after {} under {}",
            pair[1].holder,
            pair[1].fence,
            pair[0].holder,
            pair[0].fence
        );
    }
    for (index, first) in calls.iter().enumerate() {
        let is_other = |call: &DutyCall| call.holder != first.holder;
        let Some(other) = calls[index..].iter().position(is_other) else {
            continue;
        };
        let returned = calls[index + other..]
            .iter()
            .find(|call| call.holder == first.holder && call.at - first.at < LEASE);
        assert!(returned.is_none(), "{} acted again", first.holder);
    }
}

fn start_platform(store: &Store) {
    store.put("keyed.op", "config", &configuration(1));
}

/// Guards against a call that arrives after one of the next holder, because it was held up in
/// the network for longer than the lease.
#[tokio::test(flavor = "multi_thread")]
async fn delayed_call() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    start_platform(&store);
    let store_path = Path::start(store.address()).await;
    let cloud_path = Path::start(cloud.server.address).await;
    let _first = Gateway::start_at("entry-1", store_path.address, cloud_path.address, "").await;
    wait_for_call(&cloud, "entry-1", 0).await;
    let second = Gateway::start("entry-2", &store, &cloud).await;
    second.wait_until_ready().await;
    cloud_path.hold(true);
    // A call that is under way when the first holder is cut off from the store.
    let before = *cloud_path.connections.borrow();
    eventually("a call is held", || {
        *cloud_path.connections.borrow() > before
    })
    .await;
    store_path.hold(true);
    wait_for_call(&cloud, "entry-2", 0).await;
    cloud_path.hold(false);
    sleep(Duration::from_millis(500)).await;
    check_order(&cloud);
    store_path.hold(false);
    sleep(2 * LEASE).await;
    check_order(&cloud);
}

/// Guards against calls of a holder that is cut off from the store only.
#[tokio::test(flavor = "multi_thread")]
async fn holder_without_store() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    start_platform(&store);
    let store_path = Path::start(store.address()).await;
    let _first = Gateway::start_at("entry-1", store_path.address, cloud.server.address, "").await;
    wait_for_call(&cloud, "entry-1", 0).await;
    let second = Gateway::start("entry-2", &store, &cloud).await;
    second.wait_until_ready().await;
    store_path.hold(true);
    wait_for_call(&cloud, "entry-2", 0).await;
    store_path.hold(false);
    sleep(3 * LEASE).await;
    check_order(&cloud);
}

/// Guards against calls that a holder makes after a pause, when another one has the lease.
/// The pause also meets calls whose connection is just being opened.
#[tokio::test(flavor = "multi_thread")]
async fn paused_holder() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    start_platform(&store);
    let first = Gateway::start("entry-1", &store, &cloud).await;
    wait_for_call(&cloud, "entry-1", 0).await;
    let second = Gateway::start("entry-2", &store, &cloud).await;
    second.wait_until_ready().await;
    for (paused, other) in [(&first, "entry-2"), (&second, "entry-1")] {
        let before = calls(&cloud).len();
        paused.keep_busy(4 * LEASE).await;
        wait_for_call(&cloud, other, before).await;
        sleep(4 * LEASE).await;
        check_order(&cloud);
    }
}

/// Guards against duties that end for good after one call was rejected with a conflict, which
/// may cost one new claim.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_call() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    start_platform(&store);
    let _gateway = Gateway::start("entry-1", &store, &cloud).await;
    wait_for_call(&cloud, "entry-1", 0).await;
    let first_fence = calls(&cloud)[0].fence;
    *cloud.answer_code.lock().unwrap() = 409;
    let before = calls(&cloud).len();
    wait_for_call(&cloud, "entry-1", before).await;
    *cloud.answer_code.lock().unwrap() = 200;
    eventually("a later window is reported", || {
        let calls = calls(&cloud);
        let rejected = calls[before].body["window"].as_u64();
        let mut later = calls.iter().skip(before);
        later.any(|call| call.fence > first_fence && call.body["window"].as_u64() > rejected)
    })
    .await;
    let fences: Vec<u64> = calls(&cloud).iter().map(|call| call.fence).collect();
    let mut different = fences.clone();
    different.dedup();
    assert_eq!(different.len(), 2, "one new claim: {fences:?}");
    check_order(&cloud);
}

/// Guards against duties that end for good after one order of regular targets was rejected.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_order() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    let mut configuration = configuration(1);
    configuration["services"][0]["scaling"] = json!({
        "min": 2, "max": 6, "boot_s": 1.0, "spot_price": 0.3,
        "zone_prices": {"z1": 1.0, "z2": 1.0, "z3": 1.0},
    });
    store.put("keyed.op", "config", &configuration);
    let worker = Worker::start("i-0", |arrival| Some(signed(arrival, 200, ""))).await;
    store.put("keyed.servers", "i-0", &worker.entry("desk", None));
    *cloud.answer_code.lock().unwrap() = 409;
    let _gateway = Gateway::start_with("entry-1", &store, &cloud, "duties: {ordering: true}").await;
    let is_regular = |call: &DutyCall| call.path == "/scale" && call.body["spot"].is_null();
    eventually("an order of regular targets is rejected", || {
        calls(&cloud).iter().any(is_regular)
    })
    .await;
    *cloud.answer_code.lock().unwrap() = 200;
    let before = calls(&cloud).len();
    let first_fence = calls(&cloud)[0].fence;
    eventually("a later order is sent", || {
        let calls = calls(&cloud);
        let mut later = calls.iter().skip(before);
        later.any(|call| is_regular(call) && call.fence > first_fence)
    })
    .await;
    let mut fences: Vec<u64> = calls(&cloud).iter().map(|call| call.fence).collect();
    fences.dedup();
    assert_eq!(fences.len(), 2, "one new claim: {fences:?}");
}

/// Guards against claims without end if the platform rejects each call.
#[tokio::test(flavor = "multi_thread")]
async fn all_calls_rejected() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    start_platform(&store);
    *cloud.answer_code.lock().unwrap() = 409;
    let _gateway = Gateway::start("entry-1", &store, &cloud).await;
    eventually("several windows are rejected", || {
        let calls = calls(&cloud);
        let first = calls.first().map(|call| call.body["window"].as_u64());
        let last = calls.last().map(|call| call.body["window"].as_u64());
        first
            .flatten()
            .zip(last.flatten())
            .is_some_and(|(first, last)| last >= first + 3)
    })
    .await;
    let mut fences: Vec<u64> = calls(&cloud).iter().map(|call| call.fence).collect();
    fences.dedup();
    assert_eq!(fences.len(), 2, "one new claim: {fences:?}");
}
