//! Targets that announce an idle timeout of any length.

mod platform_support;
mod raw_target;

use hyper::Method;
use platform_support::{Cloud, Gateway, Store, configuration};
use raw_target::{End, RawTarget};
use serde_json::json;

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
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        store.put("keyed.op", "config", &configuration(1));
        let entry = json!({
            "service": "desk", "address": target.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
            "born": 1_700_000_000_000u64,
        });
        store.put("keyed.servers", "i-0", &entry);
        let gateway = Gateway::start("entry-1", &store, &cloud).await;
        gateway.wait_until_ready().await;
        for id in ["r-1", "r-2"] {
            let request = gateway.request(Method::POST, "/order/", id).body("x");
            let response = request.send().await;
            assert_eq!(response.unwrap().status(), 200, "{timeout}, {id}");
        }
    }
}
