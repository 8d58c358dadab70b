//! Quotas of client accounts at real gateway instances.

mod platform_support;

use std::time::Duration;

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, Worker, configuration, signed};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

fn limited(version: u64, quota: &Value) -> Value {
    let mut config = configuration(version);
    let account = config["tenants"][0].as_object_mut().unwrap();
    account.extend(quota.as_object().unwrap().clone());
    config
}

async fn start(config: &Value, names: &[&str]) -> (Store, Cloud, Worker, Vec<Gateway>) {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", config);
    let worker = Worker::start("i-1", |arrival| Some(signed(arrival, 200, "steel"))).await;
    store.put("keyed.servers", &worker.id, &worker.entry("desk", None));
    let mut gateways = Vec::new();
    for name in names {
        gateways.push(Gateway::start(name, &store, &cloud).await);
    }
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    (store, cloud, worker, gateways)
}

/// Sends a request, and returns the status and the `Retry-After` of the answer.
async fn send(gateway: &Gateway, path: &str, tokens: &str) -> (u16, Option<f64>) {
    let request = gateway.request(Method::POST, path, "r-1");
    let response = request.header("token-count", tokens).send().await.unwrap();
    let retry_after = response.headers().get("retry-after");
    let retry_after_s = retry_after.map(|value| value.to_str().unwrap().parse().unwrap());
    (response.status().as_u16(), retry_after_s)
}

async fn wait_until_accepted(gateway: &Gateway, tokens: &str) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while send(gateway, "/order/1", tokens).await.0 != 200 {
        assert!(Instant::now() < deadline, "no request is accepted");
        sleep(Duration::from_millis(50)).await;
    }
}

/// A request over the quota runs, or is accepted at another time than the refusal says.
#[tokio::test]
async fn over_quota() {
    let quota = json!({"unit": "tokens", "rate_per_s": 1000, "burst": 1000});
    let (_store, _cloud, worker, gateways) = start(&limited(1, &quota), &["entry-1"]).await;
    wait_until_accepted(&gateways[0], "600,400").await;
    let runs = worker.count();
    let (status, retry_after_s) = send(&gateways[0], "/order/1", "600,400").await;
    let retry_after_s = retry_after_s.unwrap();
    assert_eq!((status, worker.count()), (429, runs));
    assert!((0.5..=1.0).contains(&retry_after_s), "{retry_after_s}");
    sleep(Duration::from_secs_f64(retry_after_s)).await;
    assert_eq!(send(&gateways[0], "/order/1", "600,400").await.0, 200);
}

/// A refused request that has not run is charged.
#[tokio::test]
async fn refused_uncharged() {
    let quota = json!({"unit": "tokens", "rate_per_s": 1000, "burst": 2000});
    let (_store, _cloud, _worker, gateways) = start(&limited(1, &quota), &["entry-1"]).await;
    wait_until_accepted(&gateways[0], "200,100").await;
    sleep(Duration::from_millis(500)).await;
    for _ in 0..20 {
        // No target of this service exists.
        let (status, _) = send(&gateways[0], "/once/1", "300,100").await;
        assert_eq!(status, 503);
        assert_eq!(send(&gateways[0], "/none/1", "300,100").await.0, 404);
    }
    assert_eq!(send(&gateways[0], "/order/1", "300,100").await.0, 200);
}

/// An instance does not count what ran at another one.
#[tokio::test]
async fn shared_quota() {
    let quota = json!({"unit": "tokens", "rate_per_s": 300, "burst": 3000, "plain_tokens": 5});
    let (_store, _cloud, _worker, gateways) =
        start(&limited(1, &quota), &["entry-1", "entry-2"]).await;
    wait_until_accepted(&gateways[0], "600,0").await;
    wait_until_accepted(&gateways[1], "600,0").await;
    // Uses the rest at the first instance.
    while send(&gateways[0], "/order/1", "50,0").await.0 == 200 {}
    sleep(Duration::from_secs(1)).await;
    let (status, retry_after_s) = send(&gateways[1], "/order/1", "1000,0").await;
    assert_eq!(status, 429);
    assert!(retry_after_s.unwrap() > 1.0, "{retry_after_s:?}");
}

/// The quota of a removed limit is still enforced, or one by requests counts tokens.
#[tokio::test]
async fn changed_quota() {
    let quota = json!({"rate_per_s": 2, "burst": 2});
    let (store, _cloud, _worker, gateways) = start(&limited(1, &quota), &["entry-1"]).await;
    wait_until_accepted(&gateways[0], "9000,0").await;
    while send(&gateways[0], "/order/1", "9000,0").await.0 == 200 {}
    store.put("keyed.op", "config", &limited(2, &json!({"rate_per_s": 0})));
    let mut accepted = 0;
    let deadline = Instant::now() + Duration::from_secs(10);
    while accepted < 10 {
        let (status, _) = send(&gateways[0], "/order/1", "9000,0").await;
        accepted = if status == 200 { accepted + 1 } else { 0 };
        assert!(Instant::now() < deadline, "requests are still refused");
    }
}
