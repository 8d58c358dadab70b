//! Non-repeatable requests run at most once, even if they are sent again, an answer
//! is lost or the log is unavailable.

mod entry_support;

use std::{net::TcpListener, time::Duration};

use entry_support::{
    Entry, MILL_KEY, MODEL, MemoryLog, Targets, any_address, caller, document, error_code, outcome,
    send_order, start_entry, wait_until,
};
use lavenderwind::{
    ledger::ClaimState,
    standin::{engine::EngineFaults, plain::PlainFaults},
};

struct Fixture {
    log: MemoryLog,
    targets: Targets,
    first: Entry,
    second: Entry,
}

impl Fixture {
    async fn start(targets: Targets) -> Self {
        let log = MemoryLog::new();
        let first = start_entry(&log, "entry-1", &targets).await;
        let second = start_entry(&log, "entry-2", &targets).await;
        log.publish(0, &document(false));
        Self {
            log,
            targets,
            first,
            second,
        }
    }

    fn executions(&self) -> usize {
        self.targets
            .plains
            .iter()
            .map(|p| p.executions().len())
            .sum()
    }

    fn set_faults(&self, faults: PlainFaults) {
        for plain in &self.targets.plains {
            plain.set_faults(faults.clone());
        }
    }

    fn has_claim(&self, key: &str) -> bool {
        let ledger = &self.first.ledger;
        ledger.read(|ledger| ledger.claim("desk/mill", key).is_some())
    }
}

/// Returns an address that refuses connections: its listener is closed.
fn refusing_address() -> std::net::SocketAddr {
    let listener = TcpListener::bind(any_address()).unwrap();
    listener.local_addr().unwrap()
}

/// A request that is sent again gets the recorded answer on every instance.
#[tokio::test]
async fn resend_replayed() {
    let fixture = Fixture::start(Targets::start(0, 2).await).await;
    let answer = send_order(&fixture.first, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 201);
    assert!(!answer.headers().contains_key("lavenderwind-replayed"));
    let body = answer.text().await.unwrap();
    for entry in [&fixture.first, &fixture.second] {
        let again = send_order(entry, "/orders", Some("k-1"), "3 sheets").await;
        assert_eq!(again.status(), 201);
        assert_eq!(again.headers()["lavenderwind-replayed"], "true");
        assert_eq!(outcome(&again), "ran");
        assert_eq!(again.headers()["content-type"], "application/json");
        assert_eq!(again.text().await.unwrap(), body);
    }
    assert_eq!(fixture.executions(), 1);
}

/// The same idempotency key with another body is refused.
#[tokio::test]
async fn other_body_refused() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    let answer = send_order(&fixture.first, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 201);
    for entry in [&fixture.first, &fixture.second] {
        let other = send_order(entry, "/orders", Some("k-1"), "4 sheets").await;
        assert_eq!(other.status(), 422);
        assert_eq!(outcome(&other), "not-run");
        assert_eq!(error_code(other).await, "idempotency_key_reused");
    }
    assert_eq!(fixture.executions(), 1);
}

/// After a lost answer, the outcome is unknown and a resend does not run.
#[tokio::test]
async fn lost_answer_unknown() {
    let fixture = Fixture::start(Targets::start(0, 2).await).await;
    fixture.set_faults(PlainFaults {
        cut_after: 1,
        ..PlainFaults::default()
    });
    let answer = send_order(&fixture.first, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(outcome(&answer), "unknown");
    assert_eq!(fixture.executions(), 1);
    for entry in [&fixture.first, &fixture.second] {
        let again = send_order(entry, "/orders", Some("k-1"), "3 sheets").await;
        assert_eq!(again.status(), 502);
        assert_eq!(outcome(&again), "unknown");
    }
    assert_eq!(fixture.executions(), 1);
}

/// Without an idempotency key, a request whose answer is lost is not retried.
#[tokio::test]
async fn keyless_not_retried() {
    let fixture = Fixture::start(Targets::start(0, 2).await).await;
    fixture.set_faults(PlainFaults {
        cut_after: 1,
        ..PlainFaults::default()
    });
    let answer = send_order(&fixture.first, "/orders", None, "3 sheets").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(outcome(&answer), "unknown");
    assert_eq!(fixture.executions(), 1);
}

/// If the target answers another request, the outcome is unknown.
#[tokio::test]
async fn mismatched_answer_unknown() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    fixture.set_faults(PlainFaults {
        wrong_request: true,
        ..PlainFaults::default()
    });
    let answer = send_order(&fixture.first, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(outcome(&answer), "unknown");
    assert_eq!(fixture.executions(), 1);
}

/// If all targets refuse connections, the request is not run and its claim is released.
#[tokio::test]
async fn refusal_releases_claim() {
    let targets = Targets {
        others: vec![("desk", refusing_address())],
        ..Targets::default()
    };
    let fixture = Fixture::start(targets).await;
    let short_deadline = document(false).replace("first_token_ms: 20000", "first_token_ms: 300");
    fixture.log.publish(1, &short_deadline);
    let answer = send_order(&fixture.first, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 503);
    assert_eq!(outcome(&answer), "not-run");
    assert!(answer.headers().contains_key("retry-after"));
    wait_until("the claim is released", || !fixture.has_claim("k-1")).await;
}

/// A request whose connection is refused is sent to another target.
#[tokio::test]
async fn refused_connection_retried() {
    let mut targets = Targets::start(0, 1).await;
    for _ in 0..3 {
        targets.others.push(("desk", refusing_address()));
    }
    let fixture = Fixture::start(targets).await;
    for index in 0..8 {
        let key = format!("k-{index}");
        let answer = send_order(&fixture.first, "/orders", Some(&key), "3 sheets").await;
        assert_eq!(answer.status(), 201, "{}", answer.text().await.unwrap());
    }
    assert_eq!(fixture.executions(), 8);
}

/// In a log outage, requests are refused unless the target deduplicates them.
#[tokio::test]
async fn outage_refuses_orders() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    fixture.log.set_available(false);
    let answer = send_order(&fixture.first, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 503);
    assert_eq!(outcome(&answer), "not-run");
    assert_eq!(error_code(answer).await, "log_unavailable");
    assert_eq!(fixture.executions(), 0);

    let answer = send_order(&fixture.first, "/swaps", Some("k-2"), "2 items").await;
    assert_eq!(answer.status(), 201);
    assert_eq!(fixture.executions(), 1);

    fixture.log.set_available(true);
    wait_until(
        "a document, two claims and two releases are in the log",
        || fixture.log.records().len() == 5,
    )
    .await;
    assert!(!fixture.has_claim("k-1") && !fixture.has_claim("k-2"));
    let answer = send_order(&fixture.second, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 201);
    assert_eq!(fixture.executions(), 2);
}

/// Of concurrent requests with the same key, one runs and the others get its answer.
#[tokio::test]
async fn concurrent_resends_replayed() {
    let fixture = Fixture::start(Targets::start(0, 2).await).await;
    fixture.set_faults(PlainFaults {
        latency_ms: 30,
        ..PlainFaults::default()
    });
    let mut sends = Vec::new();
    for index in 0..20 {
        let entry = if index % 2 == 0 {
            &fixture.first
        } else {
            &fixture.second
        };
        sends.push(send_order(entry, "/orders", Some("k-1"), "3 sheets"));
    }
    let answers = futures_util::future::join_all(sends).await;
    let mut replayed = 0;
    for answer in answers {
        assert_eq!(answer.status(), 201);
        replayed += usize::from(answer.headers().contains_key("lavenderwind-replayed"));
    }
    assert_eq!(replayed, 19);
    assert_eq!(fixture.executions(), 1);
}

/// An order continues after its caller disconnects.
#[tokio::test]
async fn caller_disconnect_ignored() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    fixture.set_faults(PlainFaults {
        latency_ms: 200,
        ..PlainFaults::default()
    });
    let request = caller()
        .post(format!("{}/orders", fixture.first.url))
        .bearer_auth(MILL_KEY)
        .header("idempotency-key", "k-1")
        .body("3 sheets");
    let sending = tokio::spawn(request.send());
    wait_until("the order is claimed", || fixture.has_claim("k-1")).await;
    sending.abort();
    let finished = fixture.first.ledger.wait_for(|ledger| {
        let claim = ledger.claim("desk/mill", "k-1")?;
        matches!(claim.state, ClaimState::Finished { .. }).then_some(())
    });
    tokio::time::timeout(Duration::from_secs(30), finished)
        .await
        .unwrap();
    let again = send_order(&fixture.second, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(again.status(), 201);
    assert_eq!(again.headers()["lavenderwind-replayed"], "true");
    assert_eq!(fixture.executions(), 1);
}

/// The outcome of a request claimed by a lost instance is unknown.
#[tokio::test]
async fn lost_instance_unknown() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    fixture.set_faults(PlainFaults {
        latency_ms: 600_000,
        ..PlainFaults::default()
    });
    let request = caller()
        .post(format!("{}/orders", fixture.first.url))
        .bearer_auth(MILL_KEY)
        .header("idempotency-key", "k-1")
        .body("3 sheets");
    let sending = tokio::spawn(request.send());
    wait_until("the order is claimed", || fixture.has_claim("k-1")).await;
    fixture
        .second
        .peers_live
        .store(false, std::sync::atomic::Ordering::SeqCst);
    let again = send_order(&fixture.second, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(again.status(), 502);
    assert_eq!(outcome(&again), "unknown");
    sending.abort();
}

/// Guards against callers that wait on after the claimant has terminated: the outcome is
/// then reported as unknown, and not as in progress after the longest wait.
#[tokio::test]
async fn claimant_lost_meanwhile() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    fixture.set_faults(PlainFaults {
        latency_ms: 600_000,
        ..PlainFaults::default()
    });
    let order = |entry: &Entry| {
        let request = caller()
            .post(format!("{}/orders", entry.url))
            .bearer_auth(MILL_KEY)
            .header("idempotency-key", "k-1")
            .body("3 sheets");
        tokio::spawn(request.send())
    };
    let sending = order(&fixture.first);
    wait_until("the order is claimed", || fixture.has_claim("k-1")).await;
    let again = order(&fixture.second);
    // Long enough for the request to arrive and to wait for the outcome.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!again.is_finished());
    fixture
        .second
        .peers_live
        .store(false, std::sync::atomic::Ordering::SeqCst);
    let again = again.await.unwrap().unwrap();
    assert_eq!(again.status(), 502);
    assert_eq!(outcome(&again), "unknown");
    sending.abort();
}

/// A large answer is not recorded, but a resend does not run.
#[tokio::test]
async fn large_answer_unrecorded() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    let body = "x".repeat(300 << 10);
    let answer = send_order(&fixture.first, "/swaps", Some("k-1"), &body).await;
    assert_eq!(answer.status(), 201);
    assert!(answer.bytes().await.unwrap().len() > 256 << 10);
    let again = send_order(&fixture.second, "/swaps", Some("k-1"), &body).await;
    assert_eq!(again.status(), 410);
    assert_eq!(outcome(&again), "ran");
    assert_eq!(error_code(again).await, "outcome_not_recorded");
    assert_eq!(fixture.executions(), 1);
}

/// On a non-repeatable route, a completion is recorded, and a cut one has an unknown outcome.
#[tokio::test]
async fn completion_replayed() {
    let fixture = Fixture::start(Targets::start(1, 0).await).await;
    let body = serde_json::json!({"model": MODEL, "prompt": "confirm swap 7", "max_tokens": 6});
    let body = body.to_string();
    let answer = send_order(&fixture.first, "/once/v1/completions", Some("k-1"), &body).await;
    assert_eq!(answer.status(), 200);
    let text = answer.text().await.unwrap();
    let again = send_order(&fixture.second, "/once/v1/completions", Some("k-1"), &body).await;
    assert_eq!(again.status(), 200);
    assert_eq!(again.headers()["lavenderwind-replayed"], "true");
    assert_eq!(again.text().await.unwrap(), text);

    fixture.targets.engines[0].set_faults(EngineFaults {
        cut_after_tokens: 2,
        ..EngineFaults::default()
    });
    let cut = send_order(&fixture.first, "/once/v1/completions", Some("k-2"), &body).await;
    assert_eq!(cut.status(), 502);
    assert_ne!(outcome(&cut), "not-run");
    fixture.targets.engines[0].set_faults(EngineFaults::default());
    let again = send_order(&fixture.second, "/once/v1/completions", Some("k-2"), &body).await;
    assert_eq!(again.status(), 502);
    assert_eq!(outcome(&again), "unknown");
}

/// An answer that arrives after the deadline is recorded for a resend.
#[tokio::test]
async fn late_answer_replayed() {
    let fixture = Fixture::start(Targets::start(0, 1).await).await;
    let short_deadline = document(false).replace("max_body_bytes: 4096", "deadline_ms: 400");
    let short_deadline = short_deadline.replace("first_token_ms: 20000", "first_token_ms: 300");
    fixture.log.publish(1, &short_deadline);
    fixture.set_faults(PlainFaults {
        latency_ms: 1_000,
        ..PlainFaults::default()
    });
    let answer = send_order(&fixture.first, "/orders", Some("k-1"), "3 sheets").await;
    assert_eq!(answer.status(), 504);
    assert_eq!(outcome(&answer), "unknown");
    let again = loop {
        let again = send_order(&fixture.second, "/orders", Some("k-1"), "3 sheets").await;
        if again.status() != 409 {
            break again;
        }
        assert_eq!(outcome(&again), "unknown");
    };
    assert_eq!(again.status(), 201);
    assert_eq!(again.headers()["lavenderwind-replayed"], "true");
    assert_eq!(fixture.executions(), 1);
}
