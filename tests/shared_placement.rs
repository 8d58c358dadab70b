//! Placement of the prompts of all instances by one of them, over real connections.

mod platform_support;

use std::time::Duration;

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, Worker, configuration, eventually, signed, stream};
use tokio::{sync::Mutex, time::sleep};

const SHARED: &str = "placement:\n  shared: true\n";

const COMPLETE: &str = "id: 1\ndata: a\n\nid: 2\nevent: end\ndata: b\n\n";

/// Held by each test, as all count queries in the metrics of this process.
static METRICS: Mutex<()> = Mutex::const_new(());

/// Store, engines and instances with shared placement.
struct Fleet {
    _store: Store,
    _cloud: Cloud,
    _workers: Vec<Worker>,
    gateways: Vec<Gateway>,
}

async fn start_fleet(instances: usize) -> Fleet {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let mut workers = Vec::new();
    for index in 0..2 {
        let (prefill_id, decode_id) = (format!("i-p{index}"), format!("i-d{index}"));
        let prefill = Worker::start(&prefill_id, |arrival| {
            let body = r#"{"kv_handle":"h1","tokens":900,"version":1}"#;
            Some(signed(arrival, 200, body))
        });
        let prefill = prefill.await;
        store.put(
            "keyed.servers",
            &prefill.id,
            &prefill.entry("models", Some("prefill")),
        );
        let decode = Worker::start(&decode_id, |arrival| {
            Some(stream(arrival, vec![Ok(COMPLETE)]))
        });
        let decode = decode.await;
        store.put(
            "keyed.servers",
            &decode.id,
            &decode.entry("models", Some("decode")),
        );
        workers.extend([prefill, decode]);
    }
    let mut gateways = Vec::new();
    for index in 0..instances {
        let name = format!("entry-{index}");
        let gateway = Gateway::start_with(&name, &store, &cloud, SHARED).await;
        gateway.wait_until_ready().await;
        gateways.push(gateway);
    }
    Fleet {
        _store: store,
        _cloud: cloud,
        _workers: workers,
        gateways,
    }
}

/// Sends a prompt and returns whether it was answered completely.
async fn is_answered(gateway: &Gateway, id: &str) -> bool {
    let request = gateway
        .request(Method::POST, "/chat/1", id)
        .header("model", "m")
        .header("token-count", "9000,20")
        .header("prompt-prefix", "a1:6000,b2:3000");
    let response = request.body("prompt").send().await.unwrap();
    let is_success = response.status() == 200;
    is_success && response.text().await.is_ok_and(|text| text == COMPLETE)
}

/// Returns the number of queries of all instances in this process with an outcome.
async fn queries(gateway: &Gateway, outcome: &str) -> f64 {
    let url = format!("http://{}/metrics", gateway.metrics_address);
    let text = reqwest::get(url).await.unwrap().text().await.unwrap();
    let line = format!("dispatch_queries_total{{outcome=\"{outcome}\"}} ");
    let mut counts = text.lines().filter_map(|text| text.strip_prefix(&line));
    counts.next().map_or(0.0, |count| count.parse().unwrap())
}

/// Each instance must ask the dispatcher and use its answer; with a setting that has no effect,
/// instances would go on placing prompts blindly.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dispatcher_asked() {
    let _metrics = METRICS.lock().await;
    let fleet = start_fleet(3).await;
    let first = &fleet.gateways[0];
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let before = queries(first, "placed").await;
        let mut sent = 0;
        while queries(first, "placed").await < before + 3.0 {
            sent += 1;
            assert!(sent < 200, "entry-{index} gets no placements");
            assert!(is_answered(gateway, &format!("r-{index}-{sent}")).await);
        }
    }
}

/// Requests must be answered while instances, the dispatcher among them, are killed one after
/// the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dispatcher_killed() {
    let _metrics = METRICS.lock().await;
    let mut fleet = start_fleet(3).await;
    let mut number = 0;
    while fleet.gateways.len() > 1 {
        for gateway in &fleet.gateways {
            for _ in 0..5 {
                number += 1;
                assert!(is_answered(gateway, &format!("k-{number}")).await);
            }
        }
        fleet.gateways.remove(0).kill();
    }
    for _ in 0..20 {
        number += 1;
        assert!(is_answered(&fleet.gateways[0], &format!("k-{number}")).await);
        sleep(Duration::from_millis(20)).await;
    }
    // The last instance becomes its own dispatcher.
    let mut before = queries(&fleet.gateways[0], "placed").await;
    for _ in 0..300 {
        number += 1;
        assert!(is_answered(&fleet.gateways[0], &format!("k-{number}")).await);
        let placed = queries(&fleet.gateways[0], "placed").await;
        if placed > before {
            return;
        }
        before = placed;
        sleep(Duration::from_millis(50)).await;
    }
    panic!("no placements after the other instances were killed");
}

/// Without the setting no instance may be asked, as earlier deployments are served as before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn off_by_default() {
    let _metrics = METRICS.lock().await;
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let worker = Worker::start("i-d9", |arrival| Some(stream(arrival, vec![Ok(COMPLETE)]))).await;
    let entry = worker.entry("models", Some("decode"));
    store.put("keyed.servers", &worker.id, &entry);
    let gateway = Gateway::start("entry-9", &store, &cloud).await;
    gateway.wait_until_ready().await;
    let before = queries(&gateway, "placed").await + queries(&gateway, "unanswered").await;
    assert!(is_answered(&gateway, "d-1").await);
    eventually("the request arrives", || worker.count() > 0).await;
    let after = queries(&gateway, "placed").await + queries(&gateway, "unanswered").await;
    assert_eq!(before, after);
}
