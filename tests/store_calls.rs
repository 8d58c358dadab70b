//! Calls of a large fleet to the store.

mod platform_support;

use std::time::Duration;

use hyper::Method;
use indexmap::IndexMap;
use platform_support::{Cloud, Gateway, Store, configuration};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Number of instances, so that some are not linked to all others.
const INSTANCES: usize = 20;

/// Time in which calls are counted.
const COUNTED: Duration = Duration::from_secs(8);

/// Time for the instances to learn of each other.
const SETTLED: Duration = Duration::from_secs(8);

/// Interval between two entries of targets: 60 targets write one each 1.2 s.
const ENTRY_PERIOD: Duration = Duration::from_millis(20);

fn target_entry(number: usize) -> Value {
    json!({
        "service": "desk", "address": format!("127.0.0.1:{}", 2_000 + number), "zone": "z1",
        "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
        "born": 1_700_000_000_000u64,
    })
}

async fn start_fleet(store: &Store, cloud: &Cloud, settings: &str) -> Vec<Gateway> {
    store.put("keyed.op", "config", &configuration(1));
    let mut fleet = Vec::new();
    for number in 0..INSTANCES {
        let name = format!("entry-{number}");
        fleet.push(Gateway::start_with(&name, store, cloud, settings).await);
    }
    for gateway in &fleet {
        gateway.wait_until_ready().await;
    }
    sleep(SETTLED).await;
    fleet
}

/// Returns the number of calls for each topic in [`COUNTED`].
async fn count_calls(store: &Store) -> IndexMap<String, usize> {
    let writer = store.clone();
    let heartbeats = tokio::spawn(async move {
        for number in (0..60).cycle() {
            writer.put(
                "keyed.servers",
                &format!("i-{number}"),
                &target_entry(number),
            );
            sleep(ENTRY_PERIOD).await;
        }
    });
    sleep(Duration::from_secs(3)).await;
    store.state.lock().unwrap().calls.clear();
    sleep(COUNTED).await;
    let calls = std::mem::take(&mut store.state.lock().unwrap().calls);
    heartbeats.abort();
    let mut counts = IndexMap::new();
    for call in calls {
        let topic = call.split("\"topic\": \"").nth(1).unwrap_or("");
        let topic = topic.split('"').next().unwrap_or("").to_owned();
        *counts.entry(topic).or_insert(0) += 1;
    }
    for (topic, count) in &counts {
        let rate = *count as f64 / COUNTED.as_secs_f64() / INSTANCES as f64;
        println!("{topic}: {rate:.3} calls per second and instance");
    }
    counts
}

/// Returns the configuration with a route that version 1 does not have.
fn later_configuration() -> Value {
    let mut configuration = configuration(2);
    let mut route = configuration["routes"][0].clone();
    route["name"] = json!("late");
    route["path_prefix"] = json!("/late/");
    configuration["routes"].as_array_mut().unwrap().push(route);
    configuration
}

/// Waits until a gateway has a configuration in force that has the later route or lacks it.
async fn wait_for_route(gateway: &Gateway, exists: bool) {
    let polling = async {
        loop {
            let request = gateway.request(Method::POST, "/late/", "r-1").body("x");
            if (request.send().await.unwrap().status() != 404) == exists {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let waiting = tokio::time::timeout(platform_support::DEADLINE, polling);
    waiting.await.expect("the configuration is not in force");
}

/// Guards against reads that return nothing new, and against a configuration that is missed
/// because an instance relied on others: on its relay, or on instances that are gone.
#[tokio::test(flavor = "multi_thread")]
async fn shared_reads() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    let mut fleet = start_fleet(&store, &cloud, "placement: {shared: true}").await;
    let counts = count_calls(&store).await;
    // Each instance would read about every 2 s.
    let alone = COUNTED.as_secs() as usize * INSTANCES / 2;
    assert!(counts["keyed.op"] < alone / 2, "{counts:?}");
    // Without confirmations, each instance would read about every 1.4 s.
    let unconfirmed = COUNTED.as_millis() as usize * INSTANCES / 1_400;
    assert!(counts["keyed.servers"] < unconfirmed / 2, "{counts:?}");
    let written_at = Instant::now();
    store.put("keyed.op", "config", &later_configuration());
    for gateway in &fleet {
        wait_for_route(gateway, true).await;
    }
    println!(
        "in force everywhere after {} ms",
        written_at.elapsed().as_millis()
    );

    store.put("keyed.op", "config", &configuration(3));
    let last = fleet.pop().unwrap();
    wait_for_route(&last, false).await;
    fleet.clear();
    let mut later = later_configuration();
    later["version"] = json!(4);
    let written_at = Instant::now();
    store.put("keyed.op", "config", &later);
    wait_for_route(&last, true).await;
    println!(
        "in force without peers after {} ms",
        written_at.elapsed().as_millis()
    );
}

/// Guards against other intervals in fleets without shared placement.
#[tokio::test(flavor = "multi_thread")]
async fn own_reads() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    let _fleet = start_fleet(&store, &cloud, "").await;
    let counts = count_calls(&store).await;
    let expected = COUNTED.as_secs() as usize * INSTANCES / 2;
    assert!(counts["keyed.op"] > expected / 2, "{counts:?}");
    // A read each 0.6 x `drain_ms`.
    assert!(counts["keyed.servers"] > expected, "{counts:?}");
}

/// Guards against an outage in which each topic of each instance retries on its own, so that
/// all instances together make several times the calls of normal operation.
#[tokio::test(flavor = "multi_thread")]
async fn retries_in_outage() {
    /// Topics that all instances read.
    const TOPICS: usize = 3;
    const OUTAGE: Duration = Duration::from_secs(8);
    /// Longest delay between two reads of a topic that retries on its own.
    const OWN_DELAY: Duration = Duration::from_millis(600);
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    let fleet = start_fleet(&store, &cloud, "placement: {shared: true}").await;
    {
        let mut state = store.state.lock().unwrap();
        state.unavailable = true;
        state.calls.clear();
    }
    sleep(OUTAGE).await;
    let calls = {
        let mut state = store.state.lock().unwrap();
        state.unavailable = false;
        std::mem::take(&mut state.calls)
    };
    let reads = calls.iter().filter(|call| !call.contains("append")).count();
    println!("{reads} reads in the outage");
    let alone = OUTAGE.div_duration_f64(OWN_DELAY) * (INSTANCES * TOPICS) as f64;
    assert!(
        (reads as f64) < alone / 2.0,
        "{reads} reads, {alone} by each topic alone"
    );
    store.put("keyed.op", "config", &later_configuration());
    for gateway in &fleet {
        wait_for_route(gateway, true).await;
    }
}
