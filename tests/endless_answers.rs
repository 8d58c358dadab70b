//! Targets that send bytes without end, in the head or the body of an answer, until the
//! gateway closes the connection.

mod endless_support;
mod platform_support;

use endless_support::{EndlessTarget, SIGNED_HEAD, check_closed, start_gateway};
use hyper::Method;

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
