//! Tests of event streams through a gateway: prefill, decode and resumption.

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

const COMPLETE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const EVENTS_AFTER_FIRST: &str = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

struct Fixture {
    _store: Store,
    _cloud: Cloud,
    gateway: Gateway,
    prefill: Worker,
    decoders: Vec<Worker>,
}

type Handler = Arc<dyn Fn(&Arrival) -> WorkerAnswer + Send + Sync>;

fn prefilled(arrival: &Arrival) -> WorkerAnswer {
    Some(signed(
        arrival,
        200,
        r#"{"kv_handle":"h1","tokens":900,"version":1}"#,
    ))
}

/// Answers the first request with `first` and all later ones with a complete
/// stream, whichever engines they are sent to.
fn answer_first_with<F>(first: F) -> Handler
where
    F: Fn(&Arrival) -> WorkerAnswer + Send + Sync + 'static,
{
    let requests = AtomicUsize::new(0);
    Arc::new(
        move |arrival| match requests.fetch_add(1, Ordering::SeqCst) {
            0 => first(arrival),
            _ => Some(stream(arrival, vec![Ok(COMPLETE)])),
        },
    )
}

async fn start_fixture(prefill: Handler, decoders: Vec<Handler>) -> Fixture {
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
    gateway.wait_until_ready().await;
    Fixture {
        _store: store,
        _cloud: cloud,
        gateway,
        prefill,
        decoders: workers,
    }
}

impl Fixture {
    async fn send(&self, path: &str, id: &str) -> reqwest::Response {
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

/// Prefill and decode run on separate engines.
#[tokio::test]
async fn separate_prefill_engine() {
    let decode: Handler = Arc::new(|arrival| Some(stream(arrival, vec![Ok(COMPLETE)])));
    let fixture = start_fixture(Arc::new(prefilled), vec![decode]).await;
    let response = fixture.send("/chat/", "r-1").await;
    assert_eq!(response.headers()["response-seal"], "1.2.3");
    assert_eq!(response.text().await.unwrap(), COMPLETE);
    let first = fixture.prefill.arrivals.lock().unwrap()[0].clone();
    assert_eq!(first.header("stage"), Some("prefill"));
    assert_eq!(first.header("kv-source"), None);
    let second = fixture.decode_arrivals()[0].clone();
    assert_eq!(second.header("stage"), None);
    let source = format!("{}/h1", fixture.prefill.server.address);
    assert_eq!(second.header("kv-source"), Some(&*source));
}

/// If the prefill is refused, the decode engine prefills the prompt itself.
#[tokio::test]
async fn refused_prefill_fallback() {
    let refusing: Handler = Arc::new(|arrival| Some(not_run(arrival)));
    let decode: Handler = Arc::new(|arrival| Some(stream(arrival, vec![Ok(COMPLETE)])));
    let fixture = start_fixture(refusing, vec![decode]).await;
    let response = fixture.send("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), COMPLETE);
    assert_eq!(fixture.decode_arrivals()[0].header("kv-source"), None);
}

#[tokio::test]
async fn cut_stream_resumed() {
    // Each engine breaks the stream off within its second event, unless the
    // request resumes the stream after the first event.
    let decode: Handler = Arc::new(|arrival| match arrival.header("last-event-id") {
        None => Some(stream(
            arrival,
            vec![Ok("id: 1\ndata: a\n\nid: 2\nda"), Err(())],
        )),
        Some("1") => Some(stream(arrival, vec![Ok(EVENTS_AFTER_FIRST)])),
        Some(_) => None,
    });
    let fixture = start_fixture(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = fixture.send("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), COMPLETE);
    assert_eq!(fixture.decode_arrivals().len(), 2);
}

/// A KV cache that may be lost is prefilled again.
#[tokio::test]
async fn lost_cache_prefilled() {
    // The first engine closes the connection without an answer. The engine may have
    // fetched the KV cache, which therefore cannot be used again.
    let decode = answer_first_with(|_| None);
    let fixture = start_fixture(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = fixture.send("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), COMPLETE);
    assert_eq!(fixture.prefill.count(), 2);
    let arrivals = fixture.decode_arrivals();
    assert_eq!(arrivals.len(), 2);
    for arrival in arrivals {
        assert!(
            arrival.header("kv-source").is_some(),
            "no engine prefills the prompt itself"
        );
    }
}

/// A cut stream of an unrepeatable route is not resumed and does not look complete.
#[tokio::test]
async fn unrepeatable_not_resumed() {
    let decode: Handler =
        Arc::new(|arrival| Some(stream(arrival, vec![Ok("id: 1\ndata: a\n\n"), Err(())])));
    let fixture = start_fixture(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = fixture.send("/once/", "r-1").await;
    assert_eq!(response.status(), 200);
    assert!(
        response.text().await.is_err(),
        "a broken stream must not look complete"
    );
    assert_eq!(fixture.decode_arrivals().len(), 1);
}

/// A KV cache refused by one engine is offered to another one, without a second prefill.
#[tokio::test]
async fn refused_cache_reused() {
    // The first engine that gets the request refuses it.
    let decode = answer_first_with(|arrival| Some(not_run(arrival)));
    let fixture = start_fixture(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = fixture.send("/chat/", "r-1").await;
    assert_eq!(response.text().await.unwrap(), COMPLETE);
    let arrivals = fixture.decode_arrivals();
    assert_eq!(arrivals.len(), 2);
    assert!(
        arrivals
            .iter()
            .all(|arrival| arrival.header("kv-source").is_some())
    );
    assert_eq!(fixture.prefill.count(), 1);
}

#[tokio::test]
async fn unused_cache_released() {
    let decode: Handler = Arc::new(|arrival| Some(not_run(arrival)));
    let fixture = start_fixture(Arc::new(prefilled), vec![decode]).await;
    assert_eq!(fixture.send("/once/", "r-1").await.status(), 503);
    eventually("the cache is released", || {
        let arrivals = fixture.prefill.arrivals.lock().unwrap();
        arrivals
            .iter()
            .any(|arrival| arrival.method == Method::DELETE && arrival.path == "/kv-handle/h1")
    })
    .await;
}

/// Guards against a stream that broke off inside an event and looks complete.
#[tokio::test]
async fn end_inside_event_resumed() {
    let decode =
        answer_first_with(|arrival| Some(stream(arrival, vec![Ok("id: 1\ndata: a\n\nid: 2\nda")])));
    let fixture = start_fixture(Arc::new(prefilled), vec![decode.clone(), decode]).await;
    let response = fixture.send("/chat/", "r-1").await;
    let text = response.text().await.unwrap();
    assert!(text.starts_with("id: 1\ndata: a\n\nid: 1\n"), "{text}");
    assert!(text.ends_with(EVENTS_AFTER_FIRST), "{text}");
    let arrivals = fixture.decode_arrivals();
    assert_eq!(arrivals.len(), 2);
    let resumed: Vec<_> = arrivals
        .iter()
        .filter_map(|arrival| arrival.header("last-event-id"))
        .collect();
    assert_eq!(resumed, ["1"]);
}

/// Guards against a stream of an unrepeatable route that broke off inside an event and
/// looks complete.
#[tokio::test]
async fn end_inside_event_told() {
    let decode: Handler =
        Arc::new(|arrival| Some(stream(arrival, vec![Ok("id: 1\ndata: a\n\nid: 2\nda")])));
    let fixture = start_fixture(Arc::new(prefilled), vec![decode]).await;
    let response = fixture.send("/once/", "r-1").await;
    assert!(response.text().await.is_err());
}

/// Guards against the text of a target's error in the middle of a stream, and against a
/// stream that ends as if it were complete where the next target answers with an error.
#[tokio::test]
async fn error_after_break_hidden() {
    for error_code in [500, 503, 200] {
        let decode = {
            let requests = AtomicUsize::new(0);
            let answer: Handler = Arc::new(move |arrival| {
                if requests.fetch_add(1, Ordering::SeqCst) == 0 {
                    return Some(stream(arrival, vec![Ok("id: 1\ndata: a\n\n"), Err(())]));
                }
                let mut answer = signed(arrival, error_code, "HTTP/1.1 500 oops\n\n");
                // A success without a signature is no answer of a target.
                answer.headers_mut().remove("response-seal");
                Some(answer)
            });
            answer
        };
        let fixture = start_fixture(Arc::new(prefilled), vec![decode.clone(), decode]).await;
        let mut response = fixture.send("/chat/", "r-1").await;
        let mut text = String::new();
        let end = loop {
            match response.chunk().await {
                Ok(Some(chunk)) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
                end => break end,
            }
        };
        assert_eq!(text, "id: 1\ndata: a\n\n", "after {error_code}");
        assert!(end.is_err(), "looks complete after {error_code}");
    }
}
