//! Limits that targets name in their answers.

mod platform_support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::Method;
use platform_support::{Arrival, Cloud, Gateway, Store, Worker, configuration, signed};
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};

/// Limit that the target names, in requests per second.
const LIMIT_PER_S: f64 = 2.0;
/// Time within which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests above 1.5 times the limit that the users allow in a window.
const SLACK: f64 = 5.0;
/// Interval between two requests of callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(7);

/// Returns the largest number of arrivals in any window.
fn busiest_window(arrivals: &[Instant]) -> usize {
    let mut busiest = 0;
    for (index, start) in arrivals.iter().enumerate() {
        let in_window = arrivals[index..]
            .iter()
            .filter(|arrival| **arrival - *start < WINDOW);
        busiest = busiest.max(in_window.count());
    }
    busiest
}

/// Guards against a target that gets far more requests than the limit that it names, from
/// all instances together, while other targets have room.
#[tokio::test]
async fn limit_kept_by_all() {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let received = arrivals.clone();
    let limited = Worker::start("i-limited", move |arrival: &Arrival| {
        received.lock().unwrap().push(Instant::now());
        let mut answer = signed(arrival, 200, "ok");
        let limit = LIMIT_PER_S.to_string().parse().unwrap();
        answer.headers_mut().insert("server-limit", limit);
        Some(answer)
    })
    .await;
    let free = Worker::start("i-free", |arrival: &Arrival| {
        Some(signed(arrival, 200, "ok"))
    })
    .await;
    for worker in [&limited, &free] {
        store.put("keyed.servers", &worker.id, &worker.entry("desk", None));
    }
    let mut gateways = Vec::new();
    for index in 0..3 {
        let gateway = Gateway::start(&format!("entry-{index}"), &store, &cloud).await;
        gateway.wait_until_ready().await;
        gateways.push(gateway);
    }
    // Instances need a moment to find each other.
    sleep(Duration::from_secs(1)).await;
    let started_at = Instant::now();
    let mut requests = JoinSet::new();
    let mut ticks = interval(REQUEST_INTERVAL);
    for number in 0.. {
        ticks.tick().await;
        if started_at.elapsed() > LOAD_TIME {
            break;
        }
        let gateway = &gateways[number % gateways.len()];
        let request = gateway.request(Method::GET, "/look/", &format!("r-{number}"));
        requests.spawn(async move { request.send().await.unwrap().status().as_u16() });
    }
    while let Some(status) = requests.join_next().await {
        assert_eq!(status.unwrap(), 200);
    }
    // The first requests tell the instances of the limit.
    let told_at = started_at + Duration::from_secs(1);
    let mut after: Vec<Instant> = arrivals.lock().unwrap().clone();
    after.retain(|arrival| *arrival >= told_at);
    let busiest = busiest_window(&after);
    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + SLACK;
    assert!(
        busiest as f64 <= allowed,
        "{busiest} requests in 4 s, {allowed} allowed"
    );
    assert!(after.len() >= 4, "the target is used at {}", after.len());
}
