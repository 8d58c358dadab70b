//! Targets that send bytes without end, in the head or the body of an answer, until the
//! gateway closes the connection.

mod platform_support;
mod raw_target;

use hyper::Method;
use raw_target::{End, RawTarget, SIGNED_HEAD, with_prompt};

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
        let target = RawTarget::start(start, End::Repeat(repeated));
        let (_store, _cloud, gateway) = target.start_gateway("desk", None).await;
        let request = gateway.request(Method::POST, "/order/", "r-1");
        let response = request.body("x").send().await.unwrap();
        let status = response.status().as_u16();
        assert!(matches!(status, 502 | 504), "{what}: {status}");
        target.check_closed(&gateway, what).await;
    }
}

/// A stream without end of an event breaks off, and the connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_event_closed() {
    let target = RawTarget::start(SIGNED_HEAD, End::Repeat("data"));
    let (_store, _cloud, gateway) = target.start_gateway("models", Some("decode")).await;
    let request = with_prompt(gateway.request(Method::POST, "/once/", "r-1"));
    let response = request.body("prompt").send().await.unwrap();
    match response.status().as_u16() {
        200 => assert!(response.bytes().await.is_err(), "a cut stream looks whole"),
        status => assert!(matches!(status, 502 | 504), "{status}"),
    }
    target.check_closed(&gateway, "an event without end").await;
}
