//! Tests of the client for plain services against the simulated service.

use lavenderwind::{
    standin::{
        loopback,
        plain::{PlainAnswer, PlainFaults, PlainService},
    },
    target::{Error, PlainClient, PlainRequest, http_client},
};
use reqwest::{Method, header::HeaderMap};

fn client() -> PlainClient {
    PlainClient::new(http_client().expect("client"))
}

fn order_request(method: Method, id: &str, key: &str) -> PlainRequest {
    PlainRequest {
        method,
        path_and_query: "/orders?sheet=steel".into(),
        headers: HeaderMap::new(),
        request_id: id.into(),
        idempotency_key: key.into(),
        body: "two sheets".into(),
    }
}

#[tokio::test]
async fn complete_answer_returned() {
    let service = PlainService::start(loopback(), PlainFaults::default())
        .await
        .expect("service");
    let address = service.addr().to_string();
    let posted = client()
        .call(&address, order_request(Method::POST, "r1", "k1"))
        .await;
    let posted = posted.expect("answer");
    assert_eq!(posted.status, 201);
    let answer: PlainAnswer = serde_json::from_slice(&posted.body).expect("json");
    assert_eq!(answer.execution, 1);
    assert_eq!(&*answer.body, "two sheets");
    let read = client()
        .call(&address, order_request(Method::GET, "r2", ""))
        .await;
    assert_eq!(read.expect("answer").status, 200);
    let executions = service.executions();
    assert_eq!(executions.len(), 1);
    assert_eq!(&*executions[0].idempotency_key, "k1");
    assert_eq!(&*executions[0].request_id, "r1");
}

#[tokio::test]
async fn credentials_not_forwarded() {
    let service = PlainService::start(loopback(), PlainFaults::default())
        .await
        .expect("service");
    let mut request = order_request(Method::POST, "r1", "k1");
    for name in [
        "authorization",
        "x-api-key",
        "cookie",
        "proxy-authorization",
    ] {
        request
            .headers
            .insert(name, "secret".parse().expect("value"));
    }
    request
        .headers
        .insert("accept", "text/plain".parse().expect("value"));
    let address = service.addr().to_string();
    client().call(&address, request).await.expect("answer");
    let seen = service.header_names();
    assert!(seen.contains(&"accept".to_owned()));
    for name in [
        "authorization",
        "x-api-key",
        "cookie",
        "proxy-authorization",
    ] {
        assert!(
            !seen.contains(&name.to_owned()),
            "{name} reached the target"
        );
    }
}

/// After a fault of the service, the request is reported as one that may have been sent.
#[tokio::test]
async fn faults_reported_sent() {
    struct Case {
        name: &'static str,
        faults: PlainFaults,
        executions: usize,
        wrong_request: bool,
    }
    let none = PlainFaults::default();
    let cases = [
        Case {
            name: "outage",
            faults: PlainFaults {
                outage: true,
                ..none.clone()
            },
            executions: 0,
            wrong_request: false,
        },
        Case {
            name: "connection cut before execution",
            faults: PlainFaults {
                cut_before: 1,
                ..none.clone()
            },
            executions: 0,
            wrong_request: false,
        },
        Case {
            name: "connection cut after execution",
            faults: PlainFaults {
                cut_after: 1,
                ..none.clone()
            },
            executions: 1,
            wrong_request: false,
        },
        Case {
            name: "answer to another request",
            faults: PlainFaults {
                wrong_request: true,
                ..none
            },
            executions: 1,
            wrong_request: true,
        },
    ];
    for case in cases {
        let service = PlainService::start(loopback(), case.faults)
            .await
            .expect("service");
        let address = service.addr().to_string();
        let outcome = client()
            .call(&address, order_request(Method::POST, "r1", "k1"))
            .await;
        let error = outcome.expect_err(case.name);
        assert!(error.may_have_been_sent(), "{}: {error}", case.name);
        assert_eq!(
            matches!(error, Error::WrongRequest { .. }),
            case.wrong_request,
            "{}",
            case.name
        );
        assert_eq!(service.executions().len(), case.executions, "{}", case.name);
    }
}

/// If a pooled connection closes during a request, the client must neither send the
/// request a second time nor report that the request was not sent.
#[tokio::test]
async fn calls_not_repeated() {
    let service = PlainService::start(loopback(), PlainFaults::default())
        .await
        .expect("service");
    let address = service.addr().to_string();
    let client = client();
    for round in 0..20 {
        let warm = client
            .call(&address, order_request(Method::GET, "warm", ""))
            .await;
        warm.expect("answer");
        service.set_faults(PlainFaults {
            cut_after: 1,
            ..PlainFaults::default()
        });
        let outcome = client
            .call(&address, order_request(Method::POST, "r1", ""))
            .await;
        let error = outcome.expect_err("connection is cut");
        assert!(error.may_have_been_sent(), "{error}");
        assert_eq!(service.executions().len(), round + 1);
    }
}

/// A service that deduplicates runs two requests with the same idempotency key once.
#[tokio::test]
async fn duplicates_run_once() {
    let service = PlainService::start(
        loopback(),
        PlainFaults {
            deduplicates: true,
            ..PlainFaults::default()
        },
    )
    .await
    .expect("service");
    let address = service.addr().to_string();
    for _ in 0..2 {
        let outcome = client()
            .call(&address, order_request(Method::POST, "r1", "k1"))
            .await;
        outcome.expect("answer");
    }
    assert_eq!(service.executions().len(), 1);
}
