//! Log lines about connections to targets that close during a request.
//!
//! A file of its own, as it reads the log lines of its process.

mod log_lines;
mod platform_support;
mod raw_target;

use std::time::Duration;

use hyper::Method;
use log_lines::Lines;
use platform_support::{Gateway, eventually};
use raw_target::{End, RawTarget, with_prompt};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

const CLOSED: &str = "connection to a target closed during a request";

/// Time in which a connection that was dropped is closed.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Targets with which an attempt fails: service, path, answer, what follows it, and the status
/// that the caller gets.
const FAILURES: [(&str, &str, &str, End, u16); 6] = [
    (
        "desk",
        "/order/",
        "HTTP/1.1 503 Busy\r\nrequest-id: ID\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n",
        End::Keep,
        503,
    ),
    ("desk", "/order/", "HTTP/1.1 200 OK\r\nreq", End::Close, 502),
    (
        "desk",
        "/order/",
        "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
         content-length: 20\r\n\r\npart",
        End::Reset(Duration::from_millis(20)),
        502,
    ),
    (
        "desk",
        "/order/",
        "HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 2\r\n\r\nok",
        End::Keep,
        502,
    ),
    ("desk", "/order/", "", End::Keep, 504),
    (
        "models",
        "/once/",
        "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\r\n\
         id: 1\ndata: a\n\nid: 2",
        End::HalfClose(Duration::ZERO),
        200,
    ),
];

/// Sends a request, and leaves once it has arrived at the target.
async fn leave(gateway: &Gateway, target: &RawTarget, id: &str) {
    let address = gateway.url.strip_prefix("http://").unwrap();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /order/ HTTP/1.1\r\nhost: desk.example\r\nrequest-id: {id}\r\n\
         deadline-ms: 60000\r\nauthorization: Token key-1\r\ncontent-length: 1\r\n\r\nx"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    eventually("the request arrives", || target.count() > 0).await;
}

/// Guards against the line for a connection that is dropped after a refusal or a failed
/// attempt. It tells from when on a target can know that a request was given up, and is only
/// of use if it is written for these requests alone.
#[tokio::test(flavor = "multi_thread")]
async fn given_up_requests_logged() {
    let lines = Lines::capture();
    for (index, (service, path, answer, end, expected)) in FAILURES.into_iter().enumerate() {
        let target = RawTarget::start(answer, end);
        let role = (service == "models").then_some("decode");
        let (_store, _cloud, gateway) = target.start_gateway(service, role).await;
        let request = gateway.request(Method::POST, path, &format!("r-{index}"));
        let response = with_prompt(request).body("x").send().await.unwrap();
        let status = response.status().as_u16();
        let body = response.bytes().await;
        assert_eq!(status, expected, "{index}");
        assert!(
            status != 200 || body.is_err(),
            "{index}: part taken as answer"
        );
        assert!(target.count() > 0, "{index}: not sent");
        sleep(SETTLE_TIME).await;
        assert_eq!(lines.with(CLOSED), Vec::<String>::new(), "{index}");
    }
    let target = RawTarget::start("", End::Keep);
    let (_store, _cloud, gateway) = target.start_gateway("desk", None).await;
    leave(&gateway, &target, "r-left").await;
    eventually("the line is written", || !lines.with(CLOSED).is_empty()).await;
    sleep(SETTLE_TIME).await;
    let closed = lines.with(CLOSED);
    assert_eq!(closed.len(), 1, "{closed:?}");
    assert!(closed[0].contains("r-left"), "{closed:?}");
}
