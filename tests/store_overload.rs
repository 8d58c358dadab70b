//! Instances that all read the same from a store whose read rate is limited.

mod platform_support;

use std::time::Duration;

use platform_support::{Cloud, Gateway, Store, configuration, eventually};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

const INSTANCES: usize = 16;

/// Number of routes of the configuration, which decides its size.
const ROUTES: usize = 400;

/// Time in which the store delivers the configuration to all instances, in seconds.
const DELIVERY_S: f64 = 2.5;

/// Time after which a configuration that was not read again counts as outdated: the
/// default of the setting `freshness_ms`, and some more.
const FRESHNESS: Duration = Duration::from_millis(7_000);

fn large_configuration(version: u64) -> Value {
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    let template = routes[0].clone();
    for index in 0..ROUTES {
        let mut route = template.clone();
        route["name"] = json!(format!("route-{index}"));
        route["path_prefix"] = json!(format!("/route-{index}/"));
        routes.push(route);
    }
    configuration
}

/// Limits the rate of the store to [`DELIVERY_S`] for the configuration.
fn limit_reads(store: &Store, configuration: &Value) {
    let base64_bytes = configuration.to_string().len() as f64 * 4.0 / 3.0;
    store.state.lock().unwrap().read_rate = Some(INSTANCES as f64 * base64_bytes / DELIVERY_S);
}

async fn start_all(store: &Store, cloud: &Cloud) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for index in 0..INSTANCES {
        gateways.push(Gateway::start(&format!("entry-{index}"), store, cloud).await);
    }
    gateways
}

/// Waits until all instances are ready, and checks that they still are after
/// [`FRESHNESS`].
async fn check_recovery(gateways: Vec<Gateway>) {
    let mut recoveries = JoinSet::new();
    for gateway in gateways {
        recoveries.spawn(async move {
            gateway.wait_until_ready().await;
            sleep(FRESHNESS).await;
            assert!(gateway.is_ready().await, "unready again after it recovered");
        });
    }
    recoveries.join_all().await;
}

/// Guards against: all instances restart, their reads time out at the busy store, and
/// the retries keep it so busy that no instance recovers.
#[tokio::test(flavor = "multi_thread")]
async fn restart_of_all_recovers() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    let configuration = large_configuration(1);
    store.put("keyed.op", "config", &configuration);
    limit_reads(&store, &configuration);
    check_recovery(start_all(&store, &cloud).await).await;
}

/// Guards against: the store forgets its history, all instances read the configuration
/// anew, and their retries keep the store so busy that none can read it.
#[tokio::test(flavor = "multi_thread")]
async fn trimmed_history_recovers() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let gateways = start_all(&store, &cloud).await;
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    let configuration = large_configuration(2);
    limit_reads(&store, &configuration);
    {
        let mut state = store.state.lock().unwrap();
        let value = configuration.to_string().into_bytes();
        let offset = state.put("keyed.op", "config", &value);
        state.trim("keyed.op", offset + 1);
    }
    sleep(FRESHNESS).await;
    check_recovery(gateways).await;
}

/// Guards against: an instance reads a snapshot twice at its start, which a busy store
/// has to deliver twice for all of them.
#[tokio::test]
async fn snapshots_read_once() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let gateway = Gateway::start("entry-0", &store, &cloud).await;
    gateway.wait_until_ready().await;
    eventually("the instance follows its own announcement", || {
        let is_read = |call: &&String| call.starts_with("/log-read");
        let calls = calls_of(&store, "keyed.members");
        calls.iter().filter(is_read).count() > 1
    })
    .await;
    for topic in ["keyed.op", "keyed.servers", "keyed.members"] {
        let calls = calls_of(&store, topic);
        let snapshots = calls.iter().filter(|call| starts_snapshot(call));
        assert_eq!(snapshots.count(), 1, "{topic}");
    }
}

/// Guards against: an instance that starts while the store is silent waits long for an
/// answer that never comes, also after the store is back.
#[tokio::test]
async fn silent_store_probed() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    store.state.lock().unwrap().silent = true;
    let gateway = Gateway::start("entry-0", &store, &cloud).await;
    eventually("the configuration is asked for again", || {
        calls_of(&store, "keyed.op").len() > 2
    })
    .await;
    for topic in ["keyed.op", "keyed.servers", "keyed.members"] {
        let calls = calls_of(&store, topic);
        let snapshots = calls.iter().filter(|call| starts_snapshot(call));
        assert_eq!(snapshots.count(), 0, "{topic}");
    }
    store.state.lock().unwrap().silent = false;
    gateway.wait_until_ready().await;
}

/// Returns the calls that name a topic.
fn calls_of(store: &Store, topic: &str) -> Vec<String> {
    let state = store.state.lock().unwrap();
    let calls = state.calls.iter().filter(|call| call.contains(topic));
    calls.cloned().collect()
}

/// Returns whether a call reads the first page of a snapshot.
fn starts_snapshot(call: &str) -> bool {
    call.starts_with("/log-newest") && !call.contains("after")
}
