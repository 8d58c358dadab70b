//! Targets and platforms that answer with a status that is none.

mod platform_support;
mod raw_target;

use std::time::Duration;

use hyper::Method;
use lavenderwind::{
    platform::{CloudClient, CloudError, Holder, Position, StoreClient, TargetCount, Topic},
    target::{EngineClient, PlainClient, PlainRequest, http_client},
};
use platform_support::{Cloud, Gateway, Store, configuration, eventually};
use raw_target::{End, RawTarget, WRONG_STATUSES, with_prompt};
use reqwest::header::HeaderMap;
use serde_json::json;

/// Time limit of calls.
const LIMIT: Duration = Duration::from_secs(2);

fn answer_with(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Answer\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends requests to a gateway whose target answers with each of [`WRONG_STATUSES`].
async fn check_gateway(service: &str, role: Option<&str>, path: &str, prompt: bool) {
    let target = RawTarget::start("", End::Keep);
    let (_store, _cloud, gateway) = target.start_gateway(service, role).await;
    for status in WRONG_STATUSES {
        target.set_answer(&answer_with(status, "id: 1\ndata: a\n\n"));
        let arrived = target.count();
        let mut request = gateway.request(Method::POST, path, "r-1").body("x");
        if prompt {
            request = with_prompt(request);
        }
        let response = request.send().await.unwrap();
        let code = response.status().as_u16();
        assert!(matches!(code, 502 | 504), "{path}, {status}: {code}");
        assert!(target.count() > arrived, "{path}, {status}: not sent");
    }
}

/// Guards against a target's status that reaches a caller although it is none.
#[tokio::test(flavor = "multi_thread")]
async fn plain_call() {
    check_gateway("desk", None, "/order/", false).await;
}

/// The same for a call that is retried.
#[tokio::test(flavor = "multi_thread")]
async fn retried_call() {
    check_gateway("desk", None, "/look/", false).await;
}

/// The same for a stream.
#[tokio::test(flavor = "multi_thread")]
async fn decode() {
    check_gateway("models", Some("decode"), "/once/", true).await;
}

/// The same for a stream that may be resumed.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_decode() {
    check_gateway("models", Some("decode"), "/chat/", true).await;
}

/// Guards against a status that is none and reaches a caller of `serve`.
#[tokio::test]
async fn plain_client() {
    let target = RawTarget::start("", End::Keep);
    let client = PlainClient::new(http_client().unwrap());
    for status in WRONG_STATUSES {
        target.set_answer(&answer_with(status, "whole"));
        let request = PlainRequest {
            method: Method::POST,
            path_and_query: "/orders".into(),
            headers: HeaderMap::new(),
            request_id: "r-1".into(),
            idempotency_key: "".into(),
            body: "x".into(),
        };
        let answer = client.call(&target.address.to_string(), request).await;
        let status_of = answer.as_ref().map(|answer| answer.status);
        assert!(answer.is_err(), "{status}: {status_of:?}");
        assert!(answer.unwrap_err().may_have_been_sent(), "{status}");
    }
}

/// The same for an engine's state.
#[tokio::test]
async fn engine_client() {
    let target = RawTarget::start("", End::Keep);
    let client = EngineClient::new(http_client().unwrap());
    for status in WRONG_STATUSES {
        target.set_answer(&answer_with(status, "{}"));
        let answer = client.state(&target.address.to_string()).await;
        assert!(answer.is_err(), "{status}");
    }
}

/// Guards against a duty's call that counts as taken although the platform's status is none,
/// or its answer breaks off.
#[tokio::test]
async fn duty_call() {
    let holder = Holder {
        name: "entry-1".into(),
        fence: 7,
    };
    let order = TargetCount {
        service: "desk".into(),
        failure_domain: "z1".into(),
        reclaimable: false,
        count: 3,
    };
    let platform = RawTarget::start("", End::Keep);
    let client = CloudClient::new(platform.address, LIMIT, LIMIT);
    for status in WRONG_STATUSES {
        platform.set_answer(&answer_with(status, "{}"));
        let result = client.order_targets(&holder, &order, || LIMIT).await;
        let is_right = matches!(result, Err(CloudError::Unknown(_) | CloudError::Status(_)));
        assert!(is_right, "{status}: {result:?}");
    }
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\npart";
    let platform = RawTarget::start(cut, End::Reset(Duration::ZERO));
    let client = CloudClient::new(platform.address, LIMIT, LIMIT);
    let result = client.order_targets(&holder, &order, || LIMIT).await;
    assert!(matches!(result, Err(CloudError::Unknown(_))), "{result:?}");
}

/// Guards against a store's answer that counts although its status is none.
#[tokio::test]
async fn store_call() {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let store = RawTarget::start("", End::Keep);
    let client = StoreClient::new(http, store.address, Duration::from_secs(2));
    let topic = Topic("keyed.test");
    let start = Position { era: 0, offset: 0 };
    for status in WRONG_STATUSES {
        let body = json!({"offset": 0, "end_offset": 1, "items": [], "more": false}).to_string();
        store.set_answer(&answer_with(status, &body));
        let appended = client.append(topic, "a", b"1", Some(start)).await;
        let error = appended.expect_err(status);
        assert!(error.may_be_executed(), "{status}: {error}");
        assert!(client.newest(topic).await.is_err(), "{status}");
        let read = client.read(topic, start, Duration::ZERO).await;
        assert!(
            matches!(&read, Err(error) if error.may_be_executed()),
            "{status}: {read:?}"
        );
    }
}

/// Guards against a prefill that counts as done although the engine's status is none.
#[tokio::test(flavor = "multi_thread")]
async fn prefill_call() {
    let handle = json!({"handle": "h-1"}).to_string();
    let prefilling = RawTarget::start(&answer_with("999", &handle), End::Keep);
    let decoding = RawTarget::start(&answer_with("200", "id: 1\ndata: a\n\n"), End::Keep);
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    for (id, target, role) in [
        ("i-0", &prefilling, "prefill"),
        ("i-1", &decoding, "decode"),
    ] {
        store.put("keyed.servers", id, &target.entry("models", Some(role)));
    }
    let gateway = Gateway::start("entry-1", &store, &cloud).await;
    gateway.wait_until_ready().await;
    let request = gateway
        .request(Method::POST, "/once/", "r-1")
        .header("model", "m")
        .header("token-count", "9000,20")
        .header("prompt-prefix", "a1:6000,b2:3000");
    let response = request.body("prompt").send().await.unwrap();
    assert_eq!(
        response.status(),
        200,
        "the decoding engine prefills itself"
    );
    let prefills = prefilling.count();
    eventually("the prefill was tried", || prefills > 0).await;
}
