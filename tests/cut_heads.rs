//! Targets that close the connection in the middle of an answer's head.

mod platform_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, configuration};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Target that sends the first bytes of an answer, and closes the connection.
struct CuttingTarget {
    address: SocketAddr,
    /// Number of bytes to send.
    sent_bytes: Arc<AtomicUsize>,
    /// Number of requests that have arrived.
    arrivals: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for CuttingTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CuttingTarget {
    /// Starts a target that answers with `answer`, in which `ID` stands for the request's
    /// identifier.
    async fn start(answer: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent_bytes: Arc<AtomicUsize> = Arc::default();
        let arrivals: Arc<AtomicUsize> = Arc::default();
        let (bytes, counter) = (sent_bytes.clone(), arrivals.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_start(stream, answer, bytes.clone(), counter.clone()));
            }
        });
        Self {
            address,
            sent_bytes,
            arrivals,
            task,
        }
    }
}

async fn send_start(
    mut stream: TcpStream,
    answer: &str,
    bytes: Arc<AtomicUsize>,
    arrivals: Arc<AtomicUsize>,
) {
    let mut request = [0; 4_096];
    let read = stream.read(&mut request).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&request[..read]).to_lowercase();
    let Some(id) = head.split("request-id: ").nth(1) else {
        return;
    };
    arrivals.fetch_add(1, Ordering::SeqCst);
    let id = id.lines().next().unwrap();
    let answer = answer.replace("ID", id);
    let sent = answer.len().min(bytes.load(Ordering::SeqCst));
    let _ = stream.write_all(&answer.as_bytes()[..sent]).await;
    let _ = stream.shutdown().await;
}

/// Checks that no cut of the head of `answer` reaches a caller of `path` as a success, and
/// that the whole answer does. `headers` are those of the request.
async fn check_cuts(
    answer: &'static str,
    service: &str,
    role: Option<&str>,
    path: &str,
    headers: &[(&str, &str)],
) {
    let target = CuttingTarget::start(answer).await;
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
    let id = "r-00";
    // The answer's identifier is two bytes longer than the text that stands for it.
    let head_bytes = answer.find("\r\n\r\n").unwrap() + 4 + id.len() - "ID".len();
    for bytes in 0..=head_bytes {
        target.sent_bytes.store(bytes, Ordering::SeqCst);
        let arrived = target.arrivals.load(Ordering::SeqCst);
        let mut request = gateway.request(Method::POST, path, id).body("x");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.send().await.unwrap();
        let status = response.status().as_u16();
        let body = response.bytes().await;
        let is_success = status == 200 && body.is_ok();
        assert!(!is_success, "{path} cut after {bytes} bytes: {body:?}");
        if bytes < head_bytes {
            assert!(matches!(status, 502 | 504), "{path}, {bytes}: {status}");
        }
        assert!(target.arrivals.load(Ordering::SeqCst) > arrived, "not sent");
    }
    target.sent_bytes.store(usize::MAX, Ordering::SeqCst);
    let mut request = gateway.request(Method::POST, path, id).body("x");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200, "{path}: the whole answer");
    assert!(!response.bytes().await.unwrap().is_empty());
}

/// Guards against a head that was cut and is relayed as a success with an empty or short
/// body. In `content-length: 12`, also the end of a number may be missing.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_fails() {
    let answer = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
                  content-length: 12\r\n\r\ntwelve bytes";
    check_cuts(answer, "desk", None, "/order/", &[]).await;
    check_cuts(answer, "desk", None, "/look/", &[]).await;
}

/// The same for an answer in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn cut_chunks_fail() {
    let answer = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
                  transfer-encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n";
    check_cuts(answer, "desk", None, "/order/", &[]).await;
}

/// The same for a stream.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_fails() {
    let answer = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
                  transfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: all\n\n\r\n0\r\n\r\n";
    let headers = [
        ("model", "m"),
        ("token-count", "900,20"),
        ("prompt-prefix", "a1:600,b2:300"),
    ];
    check_cuts(answer, "models", Some("decode"), "/once/", &headers).await;
}
