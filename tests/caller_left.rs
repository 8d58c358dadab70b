//! Callers that leave before their answers are complete, and callers that only look as if
//! they had left.

mod platform_support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, body::Frame, body::Incoming};
use platform_support::{
    AnswerBody, Arrival, Cloud, Gateway, Store, TestServer, configuration, eventually, serve,
    signed,
};
use serde_json::{Value, json};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep},
};

/// Time limit of requests. It is far above the time limit of waits, so that no work ends by
/// itself.
const TIMEOUT_MS: u64 = 120_000;

/// Time for which an instance is kept busy. A caller gives up a request that is not read
/// after one second.
const BUSY_TIME: Duration = Duration::from_millis(1_200);

/// Time in which a request would arrive at its target, if it were sent.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Size of an answer that does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 12 << 20;

/// Time for which a target is examined after it has broken off an answer.
const EXAMINATION_TIME: Duration = Duration::from_millis(500);

/// Size of a request that fits into the buffers of a connection, but not into that of its
/// receiver alone.
const UNDELIVERED_BYTES: usize = 1 << 20;

/// Time for which a target reads nothing. It is shorter than the time after which the
/// connection is given up.
const UNREAD_TIME: Duration = Duration::from_millis(200);

/// Number of bytes that an instance leaves unread behind a request.
const MANY_BYTES: usize = 40 << 10;

const PREFILLED: &str = r#"{"kv_handle":"h1","tokens":900,"version":1}"#;
const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";
const LAST_EVENT: &str = "id: 2\ndata: b\n\n";

/// What a target does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reaction {
    /// Works without an answer until it is released, and then answers.
    Hold,
    /// Answers a prefill at once.
    Prefilled,
    /// Sends the first event, and the last one when it is released.
    HoldStream,
    /// Sends the first event and breaks the stream off.
    BreakStream,
    /// Answers with a server error.
    Fail,
    /// Answers at once with [`LARGE_BYTES`].
    Large,
}

/// Counts a request as worked on until it is dropped.
struct Work(Arc<AtomicUsize>);

impl Work {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter.clone())
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Requests at all targets of a fixture.
#[derive(Clone, Default)]
struct Targets {
    /// Number of requests that have arrived.
    arrivals: Arc<AtomicUsize>,
    /// Number of requests that are worked on without an end.
    held: Arc<AtomicUsize>,
    /// Whether held requests are answered.
    released: watch::Sender<bool>,
}

impl Targets {
    async fn answer(self, request: Request<Incoming>, reaction: Reaction) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let arrival = Arrival {
            method: parts.method,
            path: parts.uri.to_string(),
            headers: parts.headers,
            body: body
                .collect()
                .await
                .map_or_else(|_| Bytes::new(), |body| body.to_bytes()),
        };
        if arrival.header("request-id").is_some() {
            self.arrivals.fetch_add(1, Ordering::SeqCst);
        }
        match reaction {
            Reaction::Prefilled => signed(&arrival, 200, PREFILLED),
            Reaction::Fail => signed(&arrival, 500, ""),
            Reaction::Hold => {
                let _work = Work::new(&self.held);
                self.wait_for_release().await;
                match arrival.header("stage") {
                    Some(_) => signed(&arrival, 200, PREFILLED),
                    None => signed(&arrival, 200, "done"),
                }
            }
            Reaction::Large => signed(&arrival, 200, &"x".repeat(LARGE_BYTES)),
            Reaction::HoldStream => self.stream(&arrival, Ok(LAST_EVENT)),
            Reaction::BreakStream => self.stream(&arrival, Err(())),
        }
    }

    /// Returns a stream of two events. The second one follows on release, or at once if it
    /// breaks the stream off.
    fn stream(self, arrival: &Arrival, last: Result<&'static str, ()>) -> Response<AnswerBody> {
        let first = async { Ok(Frame::data(Bytes::from_static(FIRST_EVENT.as_bytes()))) };
        let second = async move {
            sleep(Duration::from_millis(5)).await;
            let Ok(last) = last else {
                return Err(std::io::Error::other("stream broken off"));
            };
            let _work = Work::new(&self.held);
            self.wait_for_release().await;
            Ok(Frame::data(Bytes::from_static(last.as_bytes())))
        };
        let frames = futures_util::stream::once(first).chain(futures_util::stream::once(second));
        let mut response = signed(arrival, 200, "");
        *response.body_mut() = StreamBody::new(frames).boxed_unsync();
        response
    }

    async fn wait_for_release(&self) {
        let mut released = self.released.subscribe();
        released.wait_for(|released| *released).await.unwrap();
    }

    fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }
}

struct Fixture {
    _store: Store,
    _cloud: Cloud,
    _servers: Vec<TestServer>,
    gateway: Gateway,
    targets: Targets,
}

impl Fixture {
    /// Starts a gateway and one target for each service, role and reaction.
    async fn start(reactions: &[Plan]) -> Self {
        let store = Store::start().await;
        let cloud = Cloud::start().await;
        store.put("keyed.op", "config", &patient_configuration());
        let targets = Targets::default();
        let mut servers = Vec::new();
        for (index, &(service, role, reaction)) in reactions.iter().enumerate() {
            let answering = targets.clone();
            let server = serve(move |request| {
                let answer = answering.clone().answer(request, reaction);
                async move { Some(answer.await) }
            })
            .await;
            let entry = target_entry(&server.address.to_string(), service, role);
            store.put("keyed.servers", &format!("i-{index}"), &entry);
            servers.push(server);
        }
        let gateway = Gateway::start("entry-1", &store, &cloud).await;
        gateway.wait_until_ready().await;
        Self {
            _store: store,
            _cloud: cloud,
            _servers: servers,
            gateway,
            targets,
        }
    }

    async fn start_plain() -> Self {
        Self::start(&[("desk", None, Reaction::Hold)]).await
    }

    async fn connect(&self) -> TcpStream {
        connect(&self.gateway).await
    }

    /// Sends a request on a new connection, and waits until a target holds it.
    async fn send(&self, path: &str, more: &str) -> TcpStream {
        let mut stream = self.connect().await;
        let request = request(path, "x");
        stream.write_all(request.as_bytes()).await.unwrap();
        stream.write_all(more.as_bytes()).await.unwrap();
        self.wait_until_held(1).await;
        stream
    }

    /// Closes the sending side of a caller, and checks that the work for it goes on.
    async fn close_sending_side(&self, stream: &mut TcpStream) {
        stream.shutdown().await.unwrap();
        sleep(SETTLE_TIME).await;
        assert_eq!(self.targets.held(), 1, "work has ended");
    }

    async fn wait_until_held(&self, count: usize) {
        eventually("targets hold the requests", || self.targets.held() == count).await;
    }
}

/// Returns the configuration of the tests, with time limits that no test reaches.
fn patient_configuration() -> Value {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(TIMEOUT_MS);
        route["target_latency_ms"] = json!(TIMEOUT_MS);
    }
    configuration["limits"]["max_body_bytes"] = json!(16 << 20);
    configuration
}

fn target_entry(address: &str, service: &str, role: Option<&str>) -> Value {
    let mut entry = json!({
        "service": service, "address": address, "zone": "z1", "version": "v1", "slots": 6,
        "state": "ready", "cold_left_ms": 0, "seq": 0, "born": 1_700_000_000_000u64,
    });
    if let Some(role) = role {
        entry["stage"] = json!(role);
    }
    entry
}

async fn connect(gateway: &Gateway) -> TcpStream {
    let address = gateway.url.strip_prefix("http://").unwrap();
    TcpStream::connect(address).await.unwrap()
}

fn request(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r-1\r\n\
         deadline-ms: {TIMEOUT_MS}\r\nauthorization: Token key-1\r\nmodel: m\r\n\
         token-count: 900,20\r\nprompt-prefix: a1:600,b2:300\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads an answer until the connection closes, and returns it.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Reads an answer until it contains a text.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains(text) {
        let mut buffer = [0; 4_096];
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "connection ended before {text}");
        answer.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// Service and role of a target, and what it does with requests.
type Plan = (&'static str, Option<&'static str>, Reaction);

/// Targets, and the path of a request, that lead to work in each step of a request.
fn steps() -> [(&'static str, Vec<Plan>); 7] {
    use Reaction::{BreakStream, Fail, Hold, HoldStream, Prefilled};
    let (prefill, decode) = (Some("prefill"), Some("decode"));
    [
        ("/look/", vec![("desk", None, Hold)]),
        ("/order/", vec![("desk", None, Hold)]),
        (
            "/chat/",
            vec![("models", prefill, Hold), ("models", decode, Hold)],
        ),
        (
            "/chat/",
            vec![("models", prefill, Prefilled), ("models", decode, Hold)],
        ),
        (
            "/chat/",
            vec![
                ("models", prefill, Prefilled),
                ("models", decode, HoldStream),
            ],
        ),
        // Retry at the second target.
        ("/look/", vec![("desk", None, Fail), ("desk", None, Hold)]),
        // Resumption at the second engine.
        (
            "/chat/",
            vec![
                ("models", prefill, Prefilled),
                ("models", decode, BreakStream),
                ("models", decode, Hold),
            ],
        ),
    ]
}

/// A target for each kind of route.
const ALL_KINDS: [Plan; 3] = [
    ("desk", None, Reaction::Hold),
    ("models", Some("prefill"), Reaction::Hold),
    ("models", Some("decode"), Reaction::Hold),
];

/// Starts a gateway and a target that accepts connections and leaves the rest to the test.
async fn start_with_slow_target() -> (Gateway, TcpListener, (Store, Cloud)) {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &patient_configuration());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    store.put(
        "keyed.servers",
        "i-0",
        &target_entry(&address, "desk", None),
    );
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.wait_until_ready().await;
    (gateway, listener, (store, cloud))
}

/// Guards against work that goes on for callers that have closed their connections, in each
/// step of a request.
#[tokio::test]
async fn work_ends_everywhere() {
    for (path, reactions) in steps() {
        let fixture = Fixture::start(&reactions).await;
        drop(fixture.send(path, "").await);
        fixture.wait_until_held(0).await;
        reset(fixture.send(path, "").await);
        fixture.wait_until_held(0).await;
    }
}

/// Guards against work that goes on for a caller that has sent bytes behind its request and
/// has left.
#[tokio::test]
async fn bytes_behind_request() {
    let fixture = Fixture::start_plain().await;
    drop(fixture.send("/look/", &request("/look/", "y")).await);
    fixture.wait_until_held(0).await;
    let sent = fixture.targets.arrivals();
    drop(fixture.send("/look/", "\r\n").await);
    fixture.wait_until_held(0).await;
    let long = "y".repeat(MANY_BYTES);
    drop(fixture.send("/look/", &long).await);
    fixture.wait_until_held(0).await;
    assert_eq!(fixture.targets.arrivals(), sent + 2);
}

/// Guards against work for a caller that has left while its instance was too busy to read
/// the request.
#[tokio::test]
async fn left_while_busy() {
    for path in ["/look/", "/order/", "/chat/"] {
        let fixture = Fixture::start(&ALL_KINDS).await;
        for ends_with_reset in [false, true] {
            fixture.gateway.keep_busy(BUSY_TIME).await;
            let mut stream = fixture.connect().await;
            stream
                .write_all(request(path, "x").as_bytes())
                .await
                .unwrap();
            match ends_with_reset {
                true => reset(stream),
                false => drop(stream),
            }
            sleep(BUSY_TIME + SETTLE_TIME).await;
            assert_eq!(fixture.targets.arrivals(), 0, "{path} {ends_with_reset}");
        }
    }
}

/// Guards against a request that still arrives at its target after its caller has left,
/// because the instance had written it to a connection that delivers slowly.
#[tokio::test]
async fn undelivered_request_discarded() {
    for path in ["/look/", "/order/"] {
        let (gateway, listener, _platform) = start_with_slow_target().await;
        let body = "x".repeat(UNDELIVERED_BYTES);
        let mut caller = connect(&gateway).await;
        let request = request(path, &body);
        caller.write_all(request.as_bytes()).await.unwrap();
        // Nothing is read, so that the end of the request waits in the instance's kernel.
        let (mut target, _) = listener.accept().await.unwrap();
        sleep(UNREAD_TIME).await;
        drop(caller);
        sleep(UNREAD_TIME).await;
        let mut received = Vec::new();
        let end = target.read_to_end(&mut received).await;
        let is_whole = received.ends_with(b"xx") && received.len() > body.len();
        assert!(
            end.is_err() && !is_whole,
            "{path}: {} bytes",
            received.len()
        );
    }
}

/// Guards against an order that is sent again, because its caller has left.
#[tokio::test]
async fn left_order_once() {
    let fixture = Fixture::start(&[("desk", None, Reaction::Hold); 2]).await;
    drop(fixture.send("/order/", "").await);
    fixture.wait_until_held(0).await;
    sleep(SETTLE_TIME).await;
    assert_eq!(fixture.targets.arrivals(), 1);
}

/// Guards against a caller that only closes its sending side and is taken for one that has
/// left.
#[tokio::test]
async fn half_close_answered() {
    for (path, reactions) in steps() {
        let fixture = Fixture::start(&reactions).await;
        let mut stream = fixture.send(path, "").await;
        fixture.close_sending_side(&mut stream).await;
        fixture.targets.released.send_replace(true);
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        let is_stream = reactions
            .iter()
            .any(|entry| entry.2 == Reaction::HoldStream);
        assert!(
            !is_stream || answer.ends_with("\r\n00\r\n\r\n") || answer.ends_with("\r\n0\r\n\r\n"),
            "{answer}"
        );
    }
}

/// Guards against a busy instance that takes a caller for one that has left, because the
/// sending side is already closed when the request is read.
#[tokio::test]
async fn half_close_while_busy() {
    for path in ["/look/", "/order/", "/chat/"] {
        let fixture = Fixture::start(&ALL_KINDS).await;
        fixture.targets.released.send_replace(true);
        fixture.gateway.keep_busy(BUSY_TIME).await;
        let mut stream = fixture.connect().await;
        stream
            .write_all(request(path, "x").as_bytes())
            .await
            .unwrap();
        stream.shutdown().await.unwrap();
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    }
}

/// Guards against work that goes on for a caller that leaves on a connection that has carried
/// a stream before.
#[tokio::test]
async fn left_kept_connection() {
    let fixture = Fixture::start(&[
        ("desk", None, Reaction::Hold),
        ("models", Some("decode"), Reaction::HoldStream),
    ])
    .await;
    for path in ["/look/", "/chat/"] {
        for is_half_closed in [false, true] {
            fixture.targets.released.send_replace(true);
            let mut stream = fixture.connect().await;
            let first = request("/chat/", "x");
            stream.write_all(first.as_bytes()).await.unwrap();
            read_until(&mut stream, "\r\n0\r\n\r\n").await;
            fixture.targets.released.send_replace(false);
            let second = request(path, "x");
            stream.write_all(second.as_bytes()).await.unwrap();
            fixture.wait_until_held(1).await;
            if is_half_closed {
                fixture.close_sending_side(&mut stream).await;
            }
            drop(stream);
            fixture.wait_until_held(0).await;
        }
    }
}

/// Guards against answers that run into each other, if a caller sends several requests at once
/// and then closes its sending side.
#[tokio::test]
async fn half_close_after_several() {
    let fixture = Fixture::start(&[
        ("desk", None, Reaction::Hold),
        ("models", Some("decode"), Reaction::HoldStream),
    ])
    .await;
    let requests = ["/look/", "/chat/", "/look/"].map(|path| request(path, "x"));
    let mut stream = fixture.send("/look/", &requests.concat()).await;
    fixture.close_sending_side(&mut stream).await;
    fixture.targets.released.send_replace(true);
    let answer = read_all(&mut stream).await;
    assert_eq!(answer.matches("HTTP/1.1 200 OK\r\n").count(), 4, "{answer}");
    assert_eq!(answer.matches("\r\n\r\ndone").count(), 3, "{answer}");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(
        answer.contains("id: 2\ndata: b\n\n") && answer.ends_with("done"),
        "{answer}"
    );
}

/// Guards against work that goes on for a caller that has first closed its sending side, and
/// has left later.
#[tokio::test]
async fn left_after_half_close() {
    for (path, reactions) in steps() {
        let fixture = Fixture::start(&reactions).await;
        let mut stream = fixture.send(path, "").await;
        fixture.close_sending_side(&mut stream).await;
        drop(stream);
        fixture.wait_until_held(0).await;
    }
}

/// Guards against a connection that stays open after its end, because a call that is still
/// examined holds it.
#[tokio::test]
async fn broken_stream_closes() {
    let reactions = [("models", Some("decode"), Reaction::BreakStream)];
    let fixture = Fixture::start(&reactions).await;
    let mut quickest = Duration::MAX;
    for _ in 0..5 {
        let mut stream = fixture.connect().await;
        let request = request("/once/", "x");
        stream.write_all(request.as_bytes()).await.unwrap();
        read_until(&mut stream, FIRST_EVENT).await;
        let event_at = Instant::now();
        read_all(&mut stream).await;
        quickest = quickest.min(event_at.elapsed());
    }
    assert!(quickest < EXAMINATION_TIME, "{quickest:?}");
}

/// Guards against a caller that reads slowly and is taken for one that has left.
#[tokio::test]
async fn slow_caller_served() {
    let fixture = Fixture::start(&[("desk", None, Reaction::Large)]).await;
    for closes_sending_side in [false, true] {
        let mut stream = fixture.connect().await;
        stream
            .write_all(request("/look/", "x").as_bytes())
            .await
            .unwrap();
        if closes_sending_side {
            stream.shutdown().await.unwrap();
        }
        let head = read_until(&mut stream, "\r\n\r\n").await;
        let mut left = LARGE_BYTES + head.find("\r\n\r\n").unwrap() + 4 - head.len();
        let mut buffer = vec![0; 1 << 20];
        while left > 0 {
            sleep(Duration::from_millis(50)).await;
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "{left} bytes missing");
            left -= count;
        }
    }
}
