//! Targets that send bytes without end, in the head or the body of an answer, until the
//! gateway closes the connection.

mod platform_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, configuration, eventually};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Start of an answer to the request `r-1`, whose length is not announced.
const SIGNED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nresponse-seal: 1.2.3\r\nconnection: close\r\n\r\n";

/// Target that answers each request with `start`, and then `repeated` without end.
struct EndlessTarget {
    address: SocketAddr,
    /// Number of open connections on which a request has arrived.
    sending: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessTarget {
    async fn start(start: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sending = Arc::new(AtomicUsize::new(0));
        let counter = sending.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_endlessly(stream, start, repeated, counter.clone()));
            }
        });
        Self {
            address,
            sending,
            task,
        }
    }
}

async fn send_endlessly(
    mut stream: TcpStream,
    start: &str,
    repeated: &str,
    sending: Arc<AtomicUsize>,
) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.unwrap_or(0) == 0 {
        return;
    }
    sending.fetch_add(1, Ordering::SeqCst);
    let chunk = repeated.repeat(64);
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(chunk.as_bytes()).await;
    }
    sending.fetch_sub(1, Ordering::SeqCst);
}

async fn start_gateway(
    target: &EndlessTarget,
    service: &str,
    role: Option<&str>,
) -> (Store, Cloud, Gateway) {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let mut entry = json!({
        "service": service, "address": target.address.to_string(), "zone": "z1",
        "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
        "born": 1_700_000_000_000u64,
    });
    if let Some(role) = role {
        entry["stage"] = json!(role);
    }
    store.put("keyed.servers", "i-0", &entry);
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.wait_until_ready().await;
    (store, cloud, gateway)
}

async fn check_closed(target: &EndlessTarget, gateway: &Gateway, what: &str) {
    eventually(what, || target.sending.load(Ordering::SeqCst) == 0).await;
    assert!(gateway.is_ready().await, "{what}");
}

/// A whole answer without end is an error for its caller, and the connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_closed() {
    for (start, repeated, what) in [
        ("", "no answer at all ", "bytes without a line"),
        ("HTTP/1.1 200 OK\r\n", "name: value\r\n", "header lines"),
        ("HTTP/1.1 200 OK\r\nname: ", "value", "one header line"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n", "interim answers"),
        (SIGNED_HEAD, "body", "a body"),
    ] {
        let target = EndlessTarget::start(start, repeated).await;
        let (_store, _cloud, gateway) = start_gateway(&target, "desk", None).await;
        let request = gateway.request(Method::POST, "/order/", "r-1");
        let response = request.body("x").send().await.unwrap();
        let status = response.status().as_u16();
        assert!(matches!(status, 502 | 504), "{what}: {status}");
        check_closed(&target, &gateway, what).await;
    }
}

/// A stream without end of an event breaks off, and the connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_event_closed() {
    let target = EndlessTarget::start(SIGNED_HEAD, "data").await;
    let (_store, _cloud, gateway) = start_gateway(&target, "models", Some("decode")).await;
    let request = gateway
        .request(Method::POST, "/once/", "r-1")
        .header("model", "m")
        .header("token-count", "900,20")
        .header("prompt-prefix", "a1:600,b2:300");
    let response = request.body("prompt").send().await.unwrap();
    match response.status().as_u16() {
        200 => assert!(response.bytes().await.is_err(), "a cut stream looks whole"),
        status => assert!(matches!(status, 502 | 504), "{status}"),
    }
    check_closed(&target, &gateway, "an event without end").await;
}
