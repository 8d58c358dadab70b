//! Tests of decoding and encoding the platform's HTTP headers.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use hyper::{HeaderMap, Method, Request, Response, header::HeaderName};
use lavenderwind::{
    call::Call,
    catalog::{Account, Route, RouteKind},
    platform::{
        AttemptHead, HeadError, KvSource, attempt_headers, caller_headers, read_answer_head,
        read_caller_head, refusal_headers,
    },
};
use tokio::time::Instant;

fn parts(headers: &[(&str, &str)]) -> hyper::http::request::Parts {
    let mut request = Request::post("/chat/1?x=2");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap().into_parts().0
}

const VALID_HEADERS: [(&str, &str); 3] = [
    ("host", "Desk.Example:8080"),
    ("request-id", "r-1"),
    ("deadline-ms", "5000"),
];

fn call(headers: HeaderMap) -> Call {
    let now = Instant::now();
    Call {
        id: "r-1".into(),
        route: Arc::new(Route {
            name: "chat".into(),
            host: "desk.example".into(),
            path_prefix: "/chat/".into(),
            kind: RouteKind::Stream { resumable: true },
            timeout: Duration::from_secs(5),
            latency_objective: Duration::from_millis(500),
            event_objective: None,
            max_attempts: 2,
            priority: 12,
            allows_anonymous: false,
            generates: true,
            shares: Vec::new(),
        }),
        service: "models".into(),
        account: Some(Arc::new(Account {
            name: "mill".into(),
            priority: None,
            quota: None,
        })),
        method: Method::POST,
        path: "/chat/1?x=2".parse().unwrap(),
        headers,
        body: Default::default(),
        prompt: Some(Default::default()),
        resume_after: None,
        priority: 12,
        received_at: now,
        deadline: now + Duration::from_secs(5),
        fingerprints: OnceLock::new(),
        caller: Default::default(),
    }
}

#[test]
fn invalid_heads_rejected() {
    let cases = [
        (&VALID_HEADERS[..1], HeadError::MissingId),
        (&VALID_HEADERS[1..], HeadError::MissingHost),
    ];
    for (headers, expected) in cases {
        assert_eq!(read_caller_head(&parts(headers)).unwrap_err(), expected);
    }
    for deadline in ["soon", "-1", "nan"] {
        let mut headers = VALID_HEADERS;
        headers[2].1 = deadline;
        let refused = read_caller_head(&parts(&headers)).unwrap_err();
        assert_eq!(refused, HeadError::InvalidDeadline, "{deadline}");
    }
}

#[test]
fn prompt_headers_decoded() {
    let mut headers = VALID_HEADERS.to_vec();
    headers.extend([
        ("model", "m"),
        ("token-count", "1460,80"),
        ("prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ("authorization", "Token key-1"),
        ("last-event-id", "12"),
    ]);
    let head = read_caller_head(&parts(&headers)).unwrap();
    assert_eq!(&*head.host, "desk.example");
    assert_eq!(head.key.as_deref(), Some("key-1"));
    assert_eq!(head.resume_after.as_deref(), Some("12"));
    assert_eq!(head.deadline, Some(Duration::from_secs(5)));
    let prompt = head.prompt.unwrap();
    assert_eq!((prompt.prompt_tokens, prompt.max_output_tokens), (1460, 80));
    assert_eq!(prompt.shared_parts().len(), 2);
    assert_eq!(prompt.parts[0].id, 0x5c1e_07a2);
}

/// Headers that only the gateway may set are dropped from requests of callers.
#[test]
fn reserved_headers_dropped() {
    let dropped = [
        "tenant",
        "expect-instance",
        "expect-version",
        "stage",
        "kv-source",
        "kv-hold",
        "pin-ms",
        "kv-backup",
        "kv-fetch",
        "request-priority",
        "authorization",
        "not-executed",
        "deadline-ms",
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "x-hop",
    ];
    let mut headers = vec![
        ("x-mine", "kept"),
        ("length-hint", "17"),
        ("connection", "x-hop"),
    ];
    headers.extend(dropped.map(|name| (name, "1")));
    headers.extend(&VALID_HEADERS[..2]);
    let head = read_caller_head(&parts(&headers)).unwrap();
    for name in dropped {
        let name = HeaderName::from_static(name);
        assert!(!head.headers.contains_key(&name), "{name}");
    }
    assert_eq!(head.headers["x-mine"], "kept");
    assert_eq!(head.headers["length-hint"], "17");
    assert_eq!(head.headers["request-id"], "r-1");
}

#[test]
fn attempt_headers_encoded() {
    let source = KvSource {
        address: "10.1.64.9:8080".parse().unwrap(),
        handle: "3fa0".into(),
    };
    let head = AttemptHead {
        target_id: "i-7",
        time_left: Duration::from_millis(1_234),
        kv_source: Some(&source),
        resume_after: Some("4"),
        fetch_from: Some("10.1.64.8:8080".parse().unwrap()),
        prefill_only: true,
    };
    let headers = attempt_headers(&call(HeaderMap::new()), &head);
    let expected = [
        ("expect-instance", "i-7"),
        ("deadline-ms", "1234"),
        ("tenant", "mill"),
        ("kv-source", "10.1.64.9:8080/3fa0"),
        ("kv-fetch", "10.1.64.8:8080"),
        ("last-event-id", "4"),
        ("stage", "prefill"),
        ("request-priority", "9"),
    ];
    for (name, value) in expected {
        assert_eq!(headers[name], value, "{name}");
    }
    let plain = attempt_headers(&call(HeaderMap::new()), &AttemptHead::default());
    for name in ["stage", "kv-source", "kv-fetch", "last-event-id"] {
        assert!(!plain.contains_key(name), "{name}");
    }
}

/// Status, headers, expected `is_signed` and expected `is_not_run`.
type AnswerCase = (u16, &'static [(&'static str, &'static str)], bool, bool);

#[test]
fn answer_heads_decoded() {
    let cases: [AnswerCase; 5] = [
        (200, &[("response-seal", "1.2")], true, false),
        (503, &[("not-executed", "1")], false, true),
        (503, &[], false, false),
        (421, &[("instance-id", "i-2")], false, true),
        (500, &[("response-seal", "1.2")], true, false),
    ];
    for (status, headers, signed, not_run) in cases {
        let mut response = Response::builder()
            .status(status)
            .header("keep-alive", "timeout=5, max=9");
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        let (parts, ()) = response.body(()).unwrap().into_parts();
        let head = read_answer_head(&parts);
        assert_eq!(
            (head.is_signed, head.is_not_run),
            (signed, not_run),
            "{status}"
        );
        assert_eq!(head.idle_timeout, Some(Duration::from_secs(5)));
        let relayed = caller_headers(&parts.headers);
        assert_eq!(relayed.contains_key("response-seal"), signed);
        assert!(!relayed.contains_key("keep-alive"));
    }
}

/// The header `retry-after` may have fractions of a second.
#[test]
fn fractional_retry_after() {
    let headers = refusal_headers(Some("r-1"), Some(Duration::from_millis(350)));
    assert_eq!(headers["retry-after"], "0.35");
    assert_eq!(headers["request-id"], "r-1");
}
