//! Choice among targets of different speeds, over real connections.

mod log_lines;
mod platform_support;

use std::{thread::sleep, time::Duration};

use hyper::Method;
use log_lines::Lines;
use platform_support::{Cloud, Gateway, Store, Worker, configuration, eventually, signed};

const SLOW_ANSWER: Duration = Duration::from_millis(40);

const SHARED: &str = "placement:\n  shared: true\n";

/// Starts a fast and a slow target of one service.
async fn start_workers(store: &Store) -> [Worker; 2] {
    let fast = Worker::start("i-fast", |arrival| Some(signed(arrival, 200, "x"))).await;
    let slow = Worker::start("i-slow", |arrival| {
        sleep(SLOW_ANSWER);
        Some(signed(arrival, 200, "x"))
    })
    .await;
    for worker in [&fast, &slow] {
        store.put("keyed.servers", &worker.id, &worker.entry("desk", None));
    }
    [fast, slow]
}

/// Sends requests one after the other to a service with a fast and a slow target, and
/// returns how many of the last half went to each.
async fn last_half(settings: &str, requests: usize) -> (usize, usize) {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let [fast, slow] = start_workers(&store).await;
    let gateway = Gateway::start_with("entry-1", &store, &cloud, settings).await;
    gateway.wait_until_ready().await;
    let mut first_half = (0, 0);
    for index in 0..requests {
        if index == requests / 2 {
            first_half = (fast.count(), slow.count());
        }
        let request = gateway.request(Method::GET, "/look/1", &format!("r-{index}"));
        assert_eq!(request.send().await.unwrap().status(), 200);
    }
    (fast.count() - first_half.0, slow.count() - first_half.1)
}

/// A slow target must get fewer requests than a fast one, also if both are idle, if speeds
/// are learned; without the setting the choice must be as before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_target_spared() {
    let (fast, slow) = last_half(SHARED, 160).await;
    assert!(fast > 3 * slow, "fast {fast}, slow {slow}");
    let (fast, slow) = last_half("", 80).await;
    assert!(slow > 4, "fast {fast}, slow {slow}");
}

/// Returns whether a gateway has logged a change of a target's speed.
fn has_change(log: &Lines, gateway: &str, target: &str) -> bool {
    let changes = log.with("target changed its speed");
    changes
        .iter()
        .any(|line| line.contains(gateway) && line.contains(target))
}

/// An instance that gets no requests must learn from another one which target is slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn speeds_reported() {
    let log = Lines::capture();
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let [_fast, slow] = start_workers(&store).await;
    let busy = Gateway::start_with("busy-entry", &store, &cloud, SHARED).await;
    let idle = Gateway::start_with("idle-entry", &store, &cloud, SHARED).await;
    busy.wait_until_ready().await;
    idle.wait_until_ready().await;
    let loading = async {
        for index in 0_u64.. {
            let request = busy.request(Method::GET, "/look/1", &format!("r-{index}"));
            assert_eq!(request.send().await.unwrap().status(), 200);
        }
    };
    let learned = eventually("the idle instance knows the slow target", || {
        has_change(&log, "idle-entry", &slow.id)
    });
    tokio::select! {
        () = loading => {}
        () = learned => {}
    }
}
