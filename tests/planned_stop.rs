//! The end of a planned stop: requests that come late, or take longer than the stop.

mod platform_support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, TestServer, configuration, eventually, serve};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Time after the begin of a stop at which no new connections are accepted.
const CLOSED_AFTER: Duration = Duration::from_millis(2_800);

/// Time after the begin of a stop at which a request is sent that its target does not
/// answer before the end of the stop. The stop takes up to 4 s in these tests.
const LATE_REQUEST: Duration = Duration::from_millis(1_500);

const ORDER: &str = "POST /order/ HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r-late\r\n\
                     deadline-ms: 3000\r\nauthorization: Token key-1\r\ncontent-length: 1\r\n\r\nx";

struct Fixture {
    _store: Store,
    _cloud: Cloud,
    _target: TestServer,
    gateway: Gateway,
    /// Number of requests that have arrived at the target.
    arrivals: Arc<AtomicUsize>,
}

impl Fixture {
    /// Starts a gateway and a target that never answers.
    async fn start() -> Self {
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", &configuration(1));
        let arrivals: Arc<AtomicUsize> = Arc::default();
        let counter = arrivals.clone();
        let target = serve(move |_| {
            counter.fetch_add(1, Ordering::SeqCst);
            std::future::pending()
        })
        .await;
        let entry = json!({
            "service": "desk", "address": target.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
            "born": 1_700_000_000_000u64,
        });
        store.put("keyed.servers", "i-0", &entry);
        let gateway = Gateway::start("entry-1", &store, &cloud).await;
        gateway.wait_until_ready().await;
        Self {
            _store: store,
            _cloud: cloud,
            _target: target,
            gateway,
            arrivals,
        }
    }

    async fn connect(&self) -> TcpStream {
        let address = self.gateway.url.strip_prefix("http://").unwrap();
        TcpStream::connect(address).await.unwrap()
    }

    /// Waits until the gateway has stopped, and ends all that it has left running, as the
    /// end of its process does.
    async fn finish(mut self) {
        (&mut self.gateway.task).await.unwrap().unwrap();
        self.gateway.kill();
    }
}

/// Reads an answer until the connection closes, and returns it.
async fn read_all(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a request that comes late in a stop on an open connection, is passed on,
/// and is cut without an answer at the end of the stop.
#[tokio::test]
async fn late_request_refused() {
    let mut fixture = Fixture::start().await;
    let mut stream = fixture.connect().await;
    fixture.gateway.stop().await;
    sleep(CLOSED_AFTER).await;
    let sent = stream.write_all(ORDER.as_bytes()).await;
    let reading = tokio::spawn(read_all(stream));
    let arrivals = fixture.arrivals.clone();
    fixture.finish().await;
    let answer = reading.await.unwrap();
    // A connection that was closed before the request is read is as good.
    let is_closed = sent.is_err() || answer.is_empty();
    assert!(is_closed || answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(arrivals.load(Ordering::SeqCst), 0, "passed on");
}

/// Guards against a request that is still in progress at the end of a stop and is cut
/// without an answer.
#[tokio::test]
async fn end_of_stop_answered() {
    let mut fixture = Fixture::start().await;
    let mut stream = fixture.connect().await;
    fixture.gateway.stop().await;
    sleep(LATE_REQUEST).await;
    stream.write_all(ORDER.as_bytes()).await.unwrap();
    let arrivals = fixture.arrivals.clone();
    eventually("the request is passed on", || {
        arrivals.load(Ordering::SeqCst) == 1
    })
    .await;
    let reading = tokio::spawn(read_all(stream));
    fixture.finish().await;
    let answer = reading.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer:?}");
}

/// The same for a request whose body arrives only in part: it has not run, and is told so.
#[tokio::test]
async fn unread_request_refused() {
    let mut fixture = Fixture::start().await;
    let mut stream = fixture.connect().await;
    fixture.gateway.stop().await;
    sleep(LATE_REQUEST).await;
    let (head, _) = ORDER.split_at(ORDER.len() - 1);
    stream.write_all(head.as_bytes()).await.unwrap();
    let reading = tokio::spawn(read_all(stream));
    fixture.finish().await;
    let answer = reading.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
}

/// Requests just after the begin of a stop are still passed on, since load balancers send
/// some until they notice.
#[tokio::test]
async fn early_request_passed() {
    let mut fixture = Fixture::start().await;
    fixture.gateway.stop().await;
    let request = fixture.gateway.request(Method::POST, "/order/", "r-early");
    let sending = tokio::spawn(request.body("x").send());
    let arrivals = fixture.arrivals.clone();
    eventually("the request is passed on", || {
        arrivals.load(Ordering::SeqCst) == 1
    })
    .await;
    fixture.finish().await;
    let response = sending.await.unwrap().unwrap();
    assert_eq!(response.status(), 504);
}
