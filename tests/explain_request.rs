//! Tests of tracing a request by its identifier through the log lines of several
//! instances.

use lavenderwind::explain::trace_request;

/// Log lines as collected from several instances, out of order.
fn log_lines() -> Vec<String> {
    let line = |source: &str, second: f64, message: &str, fields: &str| {
        format!(
            "{source} {{\"timestamp\":\"2026-04-30T03:07:{second:09.6}Z\",\"level\":\"INFO\",\
             \"message\":\"{message}\"{fields}}}"
        )
    };
    vec![
        line(
            "entry-1",
            10.5,
            "gateway: request refused: targets refused the request without running it",
            ",\"request\":\"r-1\",\"status\":503,\"elapsed_ms\":500",
        ),
        "not a line of a log".to_owned(),
        line(
            "entry-1",
            10.1,
            "gateway: prompt prefilled",
            ",\"request\":\"r-1\",\"target\":\"i-a\",\"elapsed_ms\":90",
        ),
        line(
            "entry-1",
            10.4,
            "gateway: attempt failed: Refused: target answered 503",
            ",\"request\":\"r-1\",\"target\":\"i-b\",\"left_ms\":900",
        ),
        line(
            "entry-2",
            8.0,
            "roles: order to become Prefill answered 202 Accepted",
            ",\"target\":\"i-b\",\"fence\":3",
        ),
        line(
            "entry-2",
            8.0,
            "roles: order to become Prefill answered 202 Accepted",
            ",\"target\":\"i-z\",\"fence\":3",
        ),
        line(
            "entry-2",
            11.0,
            "gateway: request answered",
            ",\"request\":\"r-2\",\"status\":200,\"elapsed_ms\":20",
        ),
        line(
            "entry-1",
            11.5,
            "gateway: request is over the account's quota",
            ",\"request\":\"r-5\",\"account\":\"mill\",\"units\":9000,\"wait_ms\":400,\"level\":-120",
        ),
        line(
            "entry-1",
            11.5,
            "gateway: request refused: the account is over its quota; the request is accepted in 400 ms",
            ",\"request\":\"r-5\",\"status\":429,\"elapsed_ms\":2",
        ),
        line(
            "entry-3",
            12.0,
            "gateway: stream broken off: Cut: error reading a body",
            ",\"request\":\"r-3\",\"events\":7,\"attempts\":1",
        ),
        line(
            "entry-3",
            12.5,
            "gateway: request dropped, as its caller has left; outcome unknown",
            ",\"request\":\"r-4\",\"step\":\"prefill\",\"sends\":1,\"elapsed_ms\":180",
        ),
    ]
}

/// The trace of a refused request includes the role order that explains the refusal.
#[test]
fn refusal_traced() {
    let trace = trace_request("r-1", log_lines());
    assert_eq!(
        trace.outcome(),
        "refused with status 503: targets refused the request without running it"
    );
    let messages: Vec<_> = trace.lines().iter().map(|line| line.message()).collect();
    assert_eq!(messages.len(), 4, "{messages:?}");
    assert!(
        messages[0].starts_with("roles:"),
        "the line that explains the refusal comes first"
    );
    let (wait_ms, until) = trace.longest_wait_ms().unwrap();
    assert_eq!(wait_ms, 300);
    assert!(until.contains("attempt failed"));
}

#[test]
fn request_outcomes() {
    let cases = [
        ("r-2", "answered 200 after 20 ms"),
        ("r-3", "cut after 7 events: Cut: error reading a body"),
        (
            "r-4",
            "caller left after 180 ms, during prefill; outcome unknown",
        ),
        (
            "r-5",
            "refused with status 429: the account is over its quota; the request is accepted in 400 ms",
        ),
        (
            "r-9",
            "no log line names the request: it reached no instance, or lines were dropped",
        ),
    ];
    for (id, outcome) in cases {
        assert_eq!(trace_request(id, log_lines()).outcome(), outcome, "{id}");
    }
}

#[test]
fn malformed_lines_ignored() {
    for line in [
        "",
        "{",
        "{}",
        "{\"message\":1}",
        "entry {\"timestamp\":\"x\",\"message\":\"m\"}",
    ] {
        let trace = trace_request("r-1", [line.to_owned()]);
        assert!(trace.is_empty(), "{line}");
    }
}

/// An operator must see from the outcome which rule refused a request, and what its caller was
/// told.
#[test]
fn refusal_reasons() {
    let cases = [
        (
            "\"status\":429,\"reason\":\"OverQuota\",\"wait_ms\":120,\"retry_after_ms\":120",
            "429: busy (the account is over its quota; predicted wait 120 ms; \
             told to come back after 120 ms)",
        ),
        (
            "\"status\":503,\"reason\":\"Urgency\",\"wait_ms\":612.4,\"retry_after_ms\":850",
            "503: busy (engines are short, and more urgent requests come first; \
             predicted wait 612 ms; told to come back after 850 ms)",
        ),
        (
            "\"status\":503,\"reason\":\"Shortage\",\"wait_ms\":900",
            "503: busy (engines are short, also for the most urgent requests; \
             predicted wait 900 ms)",
        ),
        (
            "\"status\":503,\"reason\":\"AccountShare\"",
            "503: busy (engines are short, and the account had more than its fair share)",
        ),
        (
            "\"status\":503,\"reason\":\"Hopeless\"",
            "503: busy (the request would not be served before its caller leaves)",
        ),
        (
            "\"status\":503,\"reason\":\"NoRoom\"",
            "503: busy (reason NoRoom)",
        ),
        ("\"status\":503", "503: busy"),
    ];
    for (fields, outcome) in cases {
        let line = format!(
            "entry-1 {{\"timestamp\":\"2026-04-30T03:07:08.5Z\",\"level\":\"INFO\",\
             \"message\":\"gateway: request refused: busy\",\"request\":\"r-1\",{fields}}}"
        );
        let trace = trace_request("r-1", [line]);
        assert_eq!(trace.outcome(), format!("refused with status {outcome}"));
    }
}
