//! Choice among targets of different speeds, over real connections.

mod platform_support;

use std::{thread::sleep, time::Duration};

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, Worker, configuration, signed};

const SLOW_ANSWER: Duration = Duration::from_millis(40);

/// Sends requests one after the other to a service with a fast and a slow target, and
/// returns how many of the last half went to each.
async fn last_half(settings: &str, requests: usize) -> (usize, usize) {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let fast = Worker::start("i-fast", |arrival| Some(signed(arrival, 200, "x"))).await;
    let slow = Worker::start("i-slow", |arrival| {
        sleep(SLOW_ANSWER);
        Some(signed(arrival, 200, "x"))
    })
    .await;
    for worker in [&fast, &slow] {
        store.put("keyed.servers", &worker.id, &worker.entry("desk", None));
    }
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
    let (fast, slow) = last_half("placement:\n  shared: true\n", 160).await;
    assert!(fast > 3 * slow, "fast {fast}, slow {slow}");
    let (fast, slow) = last_half("", 80).await;
    assert!(slow > 4, "fast {fast}, slow {slow}");
}
