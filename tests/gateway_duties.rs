//! Tests that each fencing token has one holder, and that each usage window is always
//! reported with the same counts (its figure).

mod platform_support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::Method;
use indexmap::{IndexMap, IndexSet};
use platform_support::{Cloud, Gateway, Store, Worker, configuration, eventually, signed};

/// Number of instances that start at once.
const INSTANCES: usize = 6;

#[tokio::test]
async fn window_counts_consistent() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let worker = Worker::start("i-0", |arrival| Some(signed(arrival, 200, ""))).await;
    store.put("keyed.servers", "i-0", &worker.entry("desk", None));
    let mut first = Gateway::start("entry-1", &store, &cloud).await;
    let mut second = Gateway::start("entry-2", &store, &cloud).await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    for index in 0..20 {
        let gateway = if index % 2 == 0 { &first } else { &second };
        let request = gateway.request(Method::GET, "/look/", &format!("r-{index}"));
        assert_eq!(request.send().await.unwrap().status(), 200);
    }
    let calls = cloud.calls.clone();
    let total = |calls: &[platform_support::DutyCall]| -> u64 {
        let mut figures = IndexMap::new();
        for call in calls.iter().filter(|call| call.path == "/usage") {
            let count = call.body["counts"]["mill"].as_u64().unwrap_or(0);
            figures.insert(call.body["window"].as_u64().unwrap(), count);
        }
        figures.values().sum()
    };
    eventually("all requests are reported", || {
        total(&calls.lock().unwrap()) == 20
    })
    .await;
    // Stops the instance that holds the lease, so that the other one claims it.
    let holder = calls.lock().unwrap().last().unwrap().holder.clone();
    match &*holder {
        "entry-1" => first.stop().await,
        _ => second.stop().await,
    }
    eventually("another holder reports", || {
        calls
            .lock()
            .unwrap()
            .iter()
            .any(|call| call.holder != holder)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let calls = calls.lock().unwrap();
    let mut figures = IndexMap::new();
    let mut fences: IndexMap<u64, IndexSet<String>> = IndexMap::new();
    let mut highest = 0;
    for call in calls.iter() {
        assert!(call.fence >= highest, "fencing tokens never decrease");
        highest = call.fence;
        fences
            .entry(call.fence)
            .or_default()
            .insert(call.holder.clone());
        let window = call.body["window"].as_u64().unwrap();
        let counts = call.body["counts"].clone();
        let known = figures.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(*known, counts, "window {window}");
    }
    assert!(
        fences.values().all(|holders| holders.len() == 1),
        "{fences:?}"
    );
}

/// Guards against the figure of a window that lacks the requests of an instance which has
/// just started, so that the holder does not know it yet.
#[tokio::test]
async fn starting_instances_counted() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let worker = Worker::start("i-0", |arrival| Some(signed(arrival, 200, ""))).await;
    store.put("keyed.servers", "i-0", &worker.entry("desk", None));
    // The window ends before the instances are connected with each other.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let into_window_ms = since_epoch.as_millis() as u64 % 1_000;
    tokio::time::sleep(Duration::from_millis(1_600 - into_window_ms)).await;
    let mut gateways = Vec::new();
    for index in 0..INSTANCES {
        gateways.push(Gateway::start(&format!("entry-{index}"), &store, &cloud).await);
    }
    for gateway in &gateways {
        gateway.wait_until_served().await;
    }
    let served = worker.count() as u64;
    let calls = cloud.calls.clone();
    eventually("all requests are reported", || {
        let calls = calls.lock().unwrap();
        let mut figures = IndexMap::new();
        for call in calls.iter().filter(|call| call.path == "/usage") {
            let count = call.body["counts"]["mill"].as_u64().unwrap_or(0);
            figures.insert(call.body["window"].as_u64().unwrap(), count);
        }
        figures.values().sum::<u64>() == served
    })
    .await;
}
