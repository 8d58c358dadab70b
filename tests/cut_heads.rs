//! Targets that close the connection in the middle of an answer's head.

mod platform_support;
mod raw_target;

use hyper::Method;
use raw_target::{End, RawTarget, with_prompt};

/// Checks that no cut of the head of `answer` reaches a caller of `path` as a success, and
/// that the whole answer does.
async fn check_cuts(answer: &str, service: &str, role: Option<&str>, path: &str, prompt: bool) {
    let target = RawTarget::start(answer, End::Close);
    let (_store, _cloud, gateway) = target.start_gateway(service, role).await;
    let id = "r-00";
    // The answer's identifier is two bytes longer than the text that stands for it.
    let head_bytes = answer.find("\r\n\r\n").unwrap() + 4 + id.len() - "ID".len();
    for bytes in 0..=head_bytes {
        target.set_max_bytes(bytes);
        let arrived = target.count();
        let mut request = gateway.request(Method::POST, path, id).body("x");
        if prompt {
            request = with_prompt(request);
        }
        let response = request.send().await.unwrap();
        let status = response.status().as_u16();
        let body = response.bytes().await;
        let is_success = status == 200 && body.is_ok();
        assert!(!is_success, "{path} cut after {bytes} bytes: {body:?}");
        if bytes < head_bytes {
            assert!(matches!(status, 502 | 504), "{path}, {bytes}: {status}");
        }
        assert!(target.count() > arrived, "not sent");
    }
    target.set_max_bytes(usize::MAX);
    let mut request = gateway.request(Method::POST, path, id).body("x");
    if prompt {
        request = with_prompt(request);
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
    check_cuts(answer, "desk", None, "/order/", false).await;
    check_cuts(answer, "desk", None, "/look/", false).await;
}

/// The same for an answer in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn cut_chunks_fail() {
    let answer = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
                  transfer-encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n";
    check_cuts(answer, "desk", None, "/order/", false).await;
}

/// The same for a stream.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_fails() {
    let answer = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-seal: 1.2.3\r\n\
                  transfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: all\n\n\r\n0\r\n\r\n";
    check_cuts(answer, "models", Some("decode"), "/once/", true).await;
}
