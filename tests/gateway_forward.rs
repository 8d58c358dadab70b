//! Forwarding of requests with whole answers, over real connections.

mod platform_support;

use std::sync::Arc;

use hyper::Method;
use platform_support::{
    Arrival, Cloud, Gateway, Store, Worker, WorkerAnswer, configuration, eventually, not_run,
    signed,
};
use serde_json::Value;

struct Scene {
    store: Store,
    gateway: Gateway,
    workers: Vec<Worker>,
    _cloud: Cloud,
}

type Behaviour = Arc<dyn Fn(&Arrival) -> WorkerAnswer + Send + Sync>;

fn behaviour<F>(answer: F) -> Behaviour
where
    F: Fn(&Arrival) -> WorkerAnswer + Send + Sync + 'static,
{
    Arc::new(answer)
}

async fn start(behaviours: Vec<Behaviour>) -> Scene {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let mut workers = Vec::new();
    for (index, answer) in behaviours.into_iter().enumerate() {
        let worker = Worker::start(&format!("i-{index}"), move |arrival| answer(arrival)).await;
        store.put("keyed.servers", &worker.id, &worker.entry("desk", None));
        workers.push(worker);
    }
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.ready().await;
    Scene {
        store,
        gateway,
        workers,
        _cloud: cloud,
    }
}

impl Scene {
    fn arrivals(&self) -> usize {
        self.workers.iter().map(Worker::count).sum()
    }
}

#[tokio::test]
async fn order_is_forwarded() {
    let scene = start(vec![behaviour(|arrival| {
        Some(signed(arrival, 200, "steel"))
    })])
    .await;
    let request = scene.gateway.request(Method::POST, "/order/7?x=1", "r-1");
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
    let arrival = scene.workers[0].arrivals.lock().unwrap()[0].clone();
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

#[tokio::test]
async fn order_runs_at_most_once() {
    // What the first worker does, and what the caller gets for an order.
    let cut = behaviour(|_| None);
    let failure = behaviour(|arrival| Some(signed(arrival, 500, "no steel")));
    let crossed = behaviour(|arrival| {
        let mut answer = signed(arrival, 200, "other");
        answer
            .headers_mut()
            .insert("request-id", "r-other".parse().unwrap());
        Some(answer)
    });
    let unsigned = behaviour(|arrival| {
        let mut answer = signed(arrival, 200, "forged");
        answer.headers_mut().remove("response-seal");
        Some(answer)
    });
    let refusing = behaviour(|arrival| Some(not_run(arrival)));
    for (answer, status, sends) in [
        (cut, 502, 1),
        (failure, 500, 1),
        (crossed, 502, 1),
        (unsigned, 502, 1),
        (refusing, 503, 2),
    ] {
        let scene = start(vec![answer.clone(), answer]).await;
        let sent = scene
            .gateway
            .request(Method::POST, "/order/", "r-1")
            .body("x")
            .send();
        let response = sent.await.unwrap();
        assert_eq!(response.status(), status);
        assert_eq!(scene.arrivals(), sends, "{status}");
        assert_eq!(
            response.headers().contains_key("retry-after"),
            status == 503
        );
    }
}

#[tokio::test]
async fn lookup_is_retried() {
    let cut = behaviour(|_| None);
    let failing = behaviour(|arrival| Some(signed(arrival, 500, "")));
    let good = behaviour(|arrival| Some(signed(arrival, 200, "status")));
    for bad in [cut, failing] {
        let scene = start(vec![bad, good.clone()]).await;
        for index in 0..6 {
            let request = scene
                .gateway
                .request(Method::GET, "/look/1", &format!("r-{index}"));
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 200);
            assert_eq!(response.text().await.unwrap(), "status");
        }
    }
}

#[tokio::test]
async fn refused_at_once() {
    let scene = start(vec![behaviour(|arrival| Some(signed(arrival, 200, "")))]).await;
    let gateway = &scene.gateway;
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
    assert_eq!(scene.arrivals(), 0);
}

#[tokio::test]
async fn revoked_key_stops() {
    let scene = start(vec![behaviour(|arrival| Some(signed(arrival, 200, "")))]).await;
    let ask = async |id: &str| {
        let request = scene.gateway.request(Method::GET, "/look/", id);
        request.send().await.unwrap().status().as_u16()
    };
    assert_eq!(ask("r-1").await, 200);
    let mut config = configuration(2);
    config["tenants"][0]["api_keys"] = serde_json::json!([]);
    scene.store.put("keyed.op", "config", &config);
    while ask("r-2").await != 401 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    // An older configuration that arrives late does not bring it back.
    scene.store.put("keyed.op", "config", &configuration(1));
    scene.store.put("keyed.op", "other", &Value::from("unused"));
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(ask("r-3").await, 401);
}

#[tokio::test]
async fn draining_worker_gets_nothing() {
    let answer = behaviour(|arrival| Some(signed(arrival, 200, "")));
    let scene = start(vec![answer.clone(), answer]).await;
    let mut entry = scene.workers[0].entry("desk", None);
    entry["state"] = "draining".into();
    scene.store.put("keyed.servers", "i-0", &entry);
    scene
        .store
        .put("keyed.servers", "i-ghost", &Value::from("no entry"));
    let ask = async |id: String| {
        let request = scene.gateway.request(Method::GET, "/look/", &id);
        assert_eq!(request.send().await.unwrap().status(), 200);
    };
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let before = scene.workers[0].count();
    for index in 0..10 {
        ask(format!("r-{index}")).await;
    }
    assert_eq!(scene.workers[0].count(), before);
    scene.store.put("keyed.servers", "i-1", &Value::Null);
    let gone = async {
        loop {
            let request = scene.gateway.request(Method::GET, "/look/", "r-last");
            if request.send().await.unwrap().status() == 503 {
                return;
            }
        }
    };
    tokio::time::timeout(platform_support::DEADLINE, gone)
        .await
        .unwrap();
}

#[tokio::test]
async fn stop_answers_what_was_read() {
    let slow = behaviour(|arrival| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        Some(signed(arrival, 200, "late"))
    });
    let mut scene = start(vec![slow]).await;
    let sending = scene
        .gateway
        .request(Method::POST, "/order/", "r-1")
        .body("x")
        .send();
    let sending = tokio::spawn(sending);
    eventually("the order reaches the worker", || scene.arrivals() == 1).await;
    scene.gateway.stop();
    assert_eq!(sending.await.unwrap().unwrap().status(), 200);
    let ready = reqwest::get(&scene.gateway.readiness_url).await.unwrap();
    assert_eq!(ready.status(), 503);
    let late = scene
        .gateway
        .request(Method::POST, "/order/", "r-2")
        .body("x")
        .send()
        .await;
    let late = late.unwrap();
    assert_eq!(late.status(), 200, "the balancer has not noticed yet");
    assert_eq!(late.headers()["connection"], "close");
    (&mut scene.gateway.task).await.unwrap().unwrap();
}
