//! Forwarding of requests whose answers are buffered, over real connections.

mod platform_support;

use std::sync::Arc;

use hyper::Method;
use platform_support::{
    Arrival, Cloud, Gateway, Store, Worker, WorkerAnswer, configuration, eventually, not_run,
    signed,
};
use serde_json::Value;

struct Fixture {
    store: Store,
    gateway: Gateway,
    workers: Vec<Worker>,
    _cloud: Cloud,
}

type Handler = Arc<dyn Fn(&Arrival) -> WorkerAnswer + Send + Sync>;

fn handler<F>(answer: F) -> Handler
where
    F: Fn(&Arrival) -> WorkerAnswer + Send + Sync + 'static,
{
    Arc::new(answer)
}

async fn start_fixture(handlers: Vec<Handler>) -> Fixture {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let mut workers = Vec::new();
    for (index, answer) in handlers.into_iter().enumerate() {
        let worker = Worker::start(&format!("i-{index}"), move |arrival| answer(arrival)).await;
        store.put("keyed.servers", &worker.id, &worker.entry("desk", None));
        workers.push(worker);
    }
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.wait_until_ready().await;
    Fixture {
        store,
        gateway,
        workers,
        _cloud: cloud,
    }
}

impl Fixture {
    fn arrivals(&self) -> usize {
        self.workers.iter().map(Worker::count).sum()
    }
}

/// Requests and answers are forwarded without credentials and with the gateway's own headers.
#[tokio::test]
async fn request_forwarded() {
    let fixture = start_fixture(vec![handler(|arrival| Some(signed(arrival, 200, "steel")))]).await;
    let request = fixture.gateway.request(Method::POST, "/order/7?x=1", "r-1");
    let response = request
        .header("stage", "prefill")
        .body("sheet")
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["response-seal"], "1.2.3");
    assert_eq!(response.headers()["request-id"], "r-1");
    assert_eq!(response.text().await.unwrap(), "steel");
    let arrival = fixture.workers[0].arrivals.lock().unwrap()[0].clone();
    assert_eq!(
        (arrival.method.clone(), &*arrival.path),
        (Method::POST, "/order/7?x=1")
    );
    assert_eq!(&arrival.body[..], b"sheet");
    assert_eq!(arrival.header("tenant"), Some("mill"));
    assert_eq!(arrival.header("expect-instance"), Some("i-0"));
    assert_eq!(arrival.header("authorization"), None);
    assert_eq!(arrival.header("stage"), None);
    let left: u64 = arrival.header("deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 3_000, "{left}");
}

/// An unrepeatable request runs at most once.
#[tokio::test]
async fn unrepeatable_runs_once() {
    let cut = handler(|_| None);
    let failure = handler(|arrival| Some(signed(arrival, 500, "no steel")));
    let wrong_request_id = handler(|arrival| {
        let mut answer = signed(arrival, 200, "other");
        answer
            .headers_mut()
            .insert("request-id", "r-other".parse().unwrap());
        Some(answer)
    });
    let unsigned = handler(|arrival| {
        let mut answer = signed(arrival, 200, "forged");
        answer.headers_mut().remove("response-seal");
        Some(answer)
    });
    let refusing = handler(|arrival| Some(not_run(arrival)));
    // Behaviour of both workers, expected status for the caller, and expected number of
    // requests that reach a worker.
    for (answer, status, sends) in [
        (cut, 502, 1),
        (failure, 500, 1),
        (wrong_request_id, 502, 1),
        (unsigned, 502, 1),
        (refusing, 503, 2),
    ] {
        let fixture = start_fixture(vec![answer.clone(), answer]).await;
        let sent = fixture
            .gateway
            .request(Method::POST, "/order/", "r-1")
            .body("x")
            .send();
        let response = sent.await.unwrap();
        assert_eq!(response.status(), status);
        assert_eq!(fixture.arrivals(), sends, "{status}");
        assert_eq!(
            response.headers().contains_key("retry-after"),
            status == 503
        );
    }
}

#[tokio::test]
async fn idempotent_request_retried() {
    let cut = handler(|_| None);
    let failing = handler(|arrival| Some(signed(arrival, 500, "")));
    let good = handler(|arrival| Some(signed(arrival, 200, "status")));
    for bad in [cut, failing] {
        let fixture = start_fixture(vec![bad, good.clone()]).await;
        for index in 0..6 {
            let request = fixture
                .gateway
                .request(Method::GET, "/look/1", &format!("r-{index}"));
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 200);
            assert_eq!(response.text().await.unwrap(), "status");
        }
    }
}

/// A request that the gateway refuses reaches no target.
#[tokio::test]
async fn refused_before_target() {
    let fixture = start_fixture(vec![handler(|arrival| Some(signed(arrival, 200, "")))]).await;
    let gateway = &fixture.gateway;
    let large = "x".repeat(70_000);
    let cases = [
        (gateway.request(Method::GET, "/nowhere/", "r-1"), 404),
        (
            gateway
                .request(Method::GET, "/look/", "r-2")
                .header("x-large", "x".repeat(5_000)),
            431,
        ),
        (
            gateway.request(Method::POST, "/order/", "r-3").body(large),
            413,
        ),
        (gateway.request(Method::POST, "/chat/", "r-4"), 503),
    ];
    for (request, status) in cases {
        assert_eq!(request.send().await.unwrap().status(), status);
    }
    let unknown = reqwest::Client::new()
        .get(format!("{}/look/", gateway.url))
        .header("host", "desk.example")
        .header("request-id", "r-5")
        .header("authorization", "Token stolen");
    assert_eq!(unknown.send().await.unwrap().status(), 401);
    assert_eq!(fixture.arrivals(), 0);
}

#[tokio::test]
async fn revoked_key_rejected() {
    let fixture = start_fixture(vec![handler(|arrival| Some(signed(arrival, 200, "")))]).await;
    let send = async |id: &str| {
        let request = fixture.gateway.request(Method::GET, "/look/", id);
        request.send().await.unwrap().status().as_u16()
    };
    assert_eq!(send("r-1").await, 200);
    let mut config = configuration(2);
    config["tenants"][0]["api_keys"] = serde_json::json!([]);
    fixture.store.put("keyed.op", "config", &config);
    while send("r-2").await != 401 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    // An older configuration that arrives late must not restore the key.
    fixture.store.put("keyed.op", "config", &configuration(1));
    fixture
        .store
        .put("keyed.op", "other", &Value::from("unused"));
    fixture.store.wait_until_applied("keyed.op").await;
    assert_eq!(send("r-3").await, 401);
}

#[tokio::test]
async fn draining_target_skipped() {
    let answer = handler(|arrival| Some(signed(arrival, 200, "")));
    let fixture = start_fixture(vec![answer.clone(), answer]).await;
    let mut entry = fixture.workers[0].entry("desk", None);
    entry["state"] = "draining".into();
    fixture.store.put("keyed.servers", "i-0", &entry);
    fixture
        .store
        .put("keyed.servers", "i-ghost", &Value::from("no entry"));
    let send = async |id: String| {
        let request = fixture.gateway.request(Method::GET, "/look/", &id);
        assert_eq!(request.send().await.unwrap().status(), 200);
    };
    fixture.store.wait_until_applied("keyed.servers").await;
    let before = fixture.workers[0].count();
    for index in 0..10 {
        send(format!("r-{index}")).await;
    }
    assert_eq!(fixture.workers[0].count(), before);
    fixture.store.put("keyed.servers", "i-1", &Value::Null);
    let all_targets_gone = async {
        loop {
            let request = fixture.gateway.request(Method::GET, "/look/", "r-last");
            if request.send().await.unwrap().status() == 503 {
                return;
            }
        }
    };
    tokio::time::timeout(platform_support::DEADLINE, all_targets_gone)
        .await
        .unwrap();
}

/// Requests are answered until a graceful stop ends, and readiness is 503 meanwhile.
#[tokio::test]
async fn answered_during_stop() {
    let slow = handler(|arrival| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        Some(signed(arrival, 200, "late"))
    });
    let mut fixture = start_fixture(vec![slow]).await;
    let sending = fixture
        .gateway
        .request(Method::POST, "/order/", "r-1")
        .body("x")
        .send();
    let sending = tokio::spawn(sending);
    eventually("the order reaches the worker", || fixture.arrivals() == 1).await;
    fixture.gateway.stop().await;
    assert_eq!(sending.await.unwrap().unwrap().status(), 200);
    let ready = reqwest::get(&fixture.gateway.readiness_url).await.unwrap();
    assert_eq!(ready.status(), 503);
    let late = fixture
        .gateway
        .request(Method::POST, "/order/", "r-2")
        .body("x")
        .send()
        .await;
    let late = late.unwrap();
    assert_eq!(
        late.status(),
        200,
        "a load balancer may still send requests until it sees the 503"
    );
    assert_eq!(late.headers()["connection"], "close");
    (&mut fixture.gateway.task).await.unwrap().unwrap();
}
