//! Rate and concurrency limits of client accounts.

mod entry_support;

use entry_support::{
    MILL_KEY, MemoryLog, PRESS_KEY, Targets, document, error_code, outcome, send_chat, send_order,
    start_entry, wait_until,
};
use lavenderwind::standin::plain::PlainFaults;

const QUESTION: &str = "what does a sheet cost?";

/// Returns the service document with a limit for the account `mill`.
fn document_with_limit(limit: &str) -> String {
    document(false).replace("{name: mill,", &format!("{{name: mill, {limit},"))
}

struct Case {
    name: &'static str,
    limit: &'static str,
    /// Number of requests that the limit admits at once.
    admitted: usize,
}

/// A request over a rate limit is refused with `retry-after`; other accounts are not affected.
#[tokio::test]
async fn rate_excess_refused() {
    let cases = [
        Case {
            name: "requests",
            limit: "max_requests_per_s: 1",
            admitted: 1,
        },
        // The first request takes many times what the limit refills in a second, so that the
        // other one exceeds it, however late it arrives on a busy machine.
        Case {
            name: "tokens",
            limit: "max_tokens_per_s: 1",
            admitted: 1,
        },
    ];
    for case in cases {
        let log = MemoryLog::new();
        let targets = Targets::start(1, 0).await;
        let entry = start_entry(&log, "entry-1", &targets).await;
        log.publish(0, &document_with_limit(case.limit));
        let mut sends = Vec::new();
        for _ in 0..case.admitted + 1 {
            sends.push(send_chat(&entry, MILL_KEY, QUESTION, 20, false));
        }
        let mut refused = 0;
        for answer in futures_util::future::join_all(sends).await {
            if answer.status() == 200 {
                continue;
            }
            refused += 1;
            assert_eq!(answer.status(), 429, "{}", case.name);
            assert_eq!(outcome(&answer), "not-run", "{}", case.name);
            assert!(answer.headers().contains_key("retry-after"));
            assert_eq!(error_code(answer).await, "rate_limit_exceeded");
        }
        assert_eq!(refused, 1, "{}", case.name);
        let other = send_chat(&entry, PRESS_KEY, QUESTION, 20, false).await;
        assert_eq!(other.status(), 200, "{}", case.name);
    }
}

/// A request over the concurrency limit is refused without a claim and may be sent again.
#[tokio::test]
async fn concurrency_excess_refused() {
    let log = MemoryLog::new();
    let targets = Targets::start(0, 1).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document_with_limit("max_concurrent: 1"));
    targets.plains[0].set_faults(PlainFaults {
        latency_ms: 300,
        ..PlainFaults::default()
    });
    let first = send_order(&entry, "/orders", Some("k-1"), "3 sheets");
    let second = async {
        wait_until("the first request is claimed", || {
            entry
                .ledger
                .read(|ledger| ledger.claim("desk/mill", "k-1").is_some())
        })
        .await;
        send_order(&entry, "/orders", Some("k-2"), "3 sheets").await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.status(), 201);
    assert_eq!(second.status(), 429);
    assert_eq!(outcome(&second), "not-run");
    assert!(
        entry
            .ledger
            .read(|ledger| ledger.claim("desk/mill", "k-2").is_none())
    );
    let again = send_order(&entry, "/orders", Some("k-2"), "3 sheets").await;
    assert_eq!(again.status(), 201);
    assert_eq!(targets.plains[0].executions().len(), 2);
}
