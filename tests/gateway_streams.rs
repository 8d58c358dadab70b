//! Streams through a gateway: prefill, decode and resumption.

mod platform_support;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use hyper::Method;
use platform_support::{
    Arrival, Cloud, Gateway, Store, Worker, WorkerAnswer, configuration, eventually, not_run,
    signed, stream,
};

const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const TAIL: &str = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

struct Scene {
    _store: Store,
    _cloud: Cloud,
    gateway: Gateway,
    prefill: Worker,
    decoders: Vec<Worker>,
}

type Behaviour = Arc<dyn Fn(&Arrival) -> WorkerAnswer + Send + Sync>;

fn prefilled(arrival: &Arrival) -> WorkerAnswer {
    Some(signed(
        arrival,
        200,
        r#"{"kv_handle":"h1","tokens":900,"version":1}"#,
    ))
}

/// Lets whichever engine is asked first answer with `first`, and all later ones
/// with a whole stream.
fn first_asked<F>(first: F) -> Behaviour
where
    F: Fn(&Arrival) -> WorkerAnswer + Send + Sync + 'static,
{
    let asked = AtomicUsize::new(0);
    Arc::new(move |arrival| match asked.fetch_add(1, Ordering::SeqCst) {
        0 => first(arrival),
        _ => Some(stream(arrival, vec![Ok(WHOLE)])),
    })
}

async fn start(prefill: Behaviour, decoders: Vec<Behaviour>) -> Scene {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let prefill = Worker::start("i-p", move |arrival| prefill(arrival)).await;
    store.put(
        "keyed.servers",
        "i-p",
        &prefill.entry("models", Some("prefill")),
    );
    let mut workers = Vec::new();
    for (index, answer) in decoders.into_iter().enumerate() {
        let id = format!("i-d{index}");
        let worker = Worker::start(&id, move |arrival| answer(arrival)).await;
        store.put(
            "keyed.servers",
            &id,
            &worker.entry("models", Some("decode")),
        );
        workers.push(worker);
    }
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.ready().await;
    Scene {
        _store: store,
        _cloud: cloud,
        gateway,
        prefill,
        decoders: workers,
    }
}

impl Scene {
    async fn ask(&self, path: &str, id: &str) -> reqwest::Response {
        let request = self.gateway.request(Method::POST, path, id);
        let request = request
            .header("model", "m")
            .header("token-count", "900,20")
            .header("prompt-prefix", "a1:600,b2:300")
            .header("kv-source", "10.0.0.1:1/stolen");
        request.body("prompt").send().await.unwrap()
    }

    fn decode_arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for worker in &self.decoders {
            arrivals.extend(worker.arrivals.lock().unwrap().iter().cloned());
        }
        arrivals
    }
}

#[tokio::test]
async fn prefill_then_decode() {
    let decode: Behaviour = Arc::new(|arrival| Some(stream(arrival, vec![Ok(WHOLE)])));
    let scene = start(Arc::new(prefilled), vec![decode]).await;
    let response = scene.ask("/chat/", "r-1").await;
    assert_eq!(response.headers()["response-seal"], "1.2.3");
    assert_eq!(response.text().await.unwrap(), WHOLE);
    let first = scene.prefill.arrivals.lock().unwrap()[0].clone();
    assert_eq!(first.header("stage"), Some("prefill"));
    assert_eq!(first.header("kv-source"), None);
    let second = scene.decode_arrivals()[0].clone();
    assert_eq!(second.header("stage"), None);
    let source = format!("{}/h1", scene.prefill.served.address);
    assert_eq!(second.header("kv-source"), Some(&*source));
}

#[tokio::test]
async fn decode_reads_the_prompt_itself() {
    let refusing: Behaviour = Arc::new(|arrival| Some(not_run(arrival)));
    let decode: Behaviour = Arc::new(|arrival| Some(stream(arrival, vec![Ok(WHOLE)])));
    let scene = start(refusing, vec![decode]).await;
    let response = scene.ask("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), WHOLE);
    assert_eq!(scene.decode_arrivals()[0].header("kv-source"), None);
}

#[tokio::test]
async fn cut_stream_is_resumed() {
    // Each engine cuts the stream in the middle of its second event, unless it
    // is asked to go on after the first.
    let decode: Behaviour = Arc::new(|arrival| match arrival.header("last-event-id") {
        None => Some(stream(
            arrival,
            vec![Ok("id: 1\ndata: a\n\nid: 2\nda"), Err(())],
        )),
        Some("1") => Some(stream(arrival, vec![Ok(TAIL)])),
        Some(_) => None,
    });
    let scene = start(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = scene.ask("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), WHOLE);
    assert_eq!(scene.decode_arrivals().len(), 2);
}

#[tokio::test]
async fn lost_cache_is_prefilled_again() {
    // Whichever engine is asked first takes the cache and breaks off.
    let decode = first_asked(|_| None);
    let scene = start(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = scene.ask("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), WHOLE);
    assert_eq!(scene.prefill.count(), 2);
    let arrivals = scene.decode_arrivals();
    assert_eq!(arrivals.len(), 2);
    for arrival in arrivals {
        assert!(arrival.header("kv-source").is_some(), "no engine reads it");
    }
}

#[tokio::test]
async fn stream_that_may_not_be_resumed() {
    let decode: Behaviour =
        Arc::new(|arrival| Some(stream(arrival, vec![Ok("id: 1\ndata: a\n\n"), Err(())])));
    let scene = start(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = scene.ask("/once/", "r-1").await;
    assert_eq!(response.status(), 200);
    assert!(
        response.text().await.is_err(),
        "a cut stream must not look whole"
    );
    assert_eq!(scene.decode_arrivals().len(), 1);
}

#[tokio::test]
async fn refused_cache_is_tried_elsewhere() {
    // Whichever engine is asked first refuses.
    let decode = first_asked(|arrival| Some(not_run(arrival)));
    let scene = start(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = scene.ask("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), WHOLE);
    let arrivals = scene.decode_arrivals();
    assert_eq!(arrivals.len(), 2);
    assert!(
        arrivals
            .iter()
            .all(|arrival| arrival.header("kv-source").is_some())
    );
    assert_eq!(scene.prefill.count(), 1);
}

#[tokio::test]
async fn unused_cache_is_released() {
    let decode: Behaviour = Arc::new(|arrival| Some(not_run(arrival)));
    let scene = start(Arc::new(prefilled), vec![decode]).await;
    assert_eq!(scene.ask("/once/", "r-1").await.status(), 503);
    eventually("the cache is released", || {
        let arrivals = scene.prefill.arrivals.lock().unwrap();
        arrivals
            .iter()
            .any(|arrival| arrival.method == Method::DELETE && arrival.path == "/kv-handle/h1")
    })
    .await;
}
