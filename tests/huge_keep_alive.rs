//! Targets that announce an idle timeout of any length.

mod platform_support;
mod raw_target;

use hyper::Method;
use raw_target::{End, RawTarget};

/// Guards against a panic of the connection pool, which ends the caller's connection without
/// an answer.
#[tokio::test(flavor = "multi_thread")]
async fn huge_timeout() {
    for timeout in [
        "18446744073709551615",
        "9223372036854775807",
        "99999999999999999999",
        "-1",
    ] {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
             keep-alive: timeout={timeout}\r\ncontent-length: 2\r\n\r\nok"
        );
        let target = RawTarget::start(&answer, End::Keep);
        let (_store, _cloud, gateway) = target.start_gateway("desk", None).await;
        for id in ["r-1", "r-2"] {
            let request = gateway.request(Method::POST, "/order/", id).body("x");
            let response = request.send().await;
            assert_eq!(response.unwrap().status(), 200, "{timeout}, {id}");
        }
    }
}
