//! Tests revoked API keys, a stale configuration and leaving targets, also while requests
//! are queued or in flight.

mod entry_support;

use std::sync::atomic::Ordering;

use entry_support::{
    MILL_KEY, MemoryLog, PRESS_KEY, Targets, caller, chat_prompt, document, engine_options,
    error_code, expected_text, outcome, role_of, send_chat, send_order, start_entry, wait_until,
};
use lavenderwind::{infra::protocol::TargetState, standin::engine::EngineFaults};

const QUESTION: &str = "is the quote still valid?";

#[tokio::test]
async fn all_instances_refuse() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 1).await;
    let first = start_entry(&log, "entry-1", &targets).await;
    let second = start_entry(&log, "entry-2", &targets).await;
    log.publish(0, &document(false));
    assert_eq!(
        send_chat(&first, MILL_KEY, QUESTION, 2, false)
            .await
            .status(),
        200
    );
    log.publish(1, &document(true));
    for entry in [&first, &second] {
        let answer = send_chat(entry, MILL_KEY, QUESTION, 2, false).await;
        assert_eq!(answer.status(), 401);
        assert_eq!(outcome(&answer), "not-run");
        assert_eq!(error_code(answer).await, "invalid_api_key");
        let answer = send_order(entry, "/orders", Some("k-1"), "3 sheets").await;
        assert_eq!(answer.status(), 401);
        assert_eq!(
            send_chat(entry, PRESS_KEY, QUESTION, 2, false)
                .await
                .status(),
            200
        );
    }
    assert!(targets.plains[0].executions().is_empty());
}

/// A queued request whose key is revoked meanwhile is not run.
#[tokio::test]
async fn queued_request_refused() {
    let log = MemoryLog::new();
    let mut targets = Targets::default();
    let mut options = engine_options(0);
    options.total_blocks = 6;
    targets.add_engine(options).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let engine = &targets.engines[0];
    engine.set_faults(EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    let (running, queued, ()) = tokio::join!(
        send_chat(&entry, PRESS_KEY, QUESTION, 64, false),
        async {
            let client = lavenderwind::target::EngineClient::new(reqwest::Client::new());
            let address = engine.addr().to_string();
            loop {
                let state = client.state(&address).await.unwrap();
                if state.running + state.waiting > 0 {
                    break;
                }
                tokio::task::yield_now().await;
            }
            send_chat(&entry, MILL_KEY, QUESTION, 64, false).await
        },
        async {
            wait_until("a request is queued", || entry.context.queued() == 1).await;
            log.publish(1, &document(true));
            engine.set_faults(EngineFaults::default());
        },
    );
    assert_eq!(running.status(), 200);
    assert_eq!(queued.status(), 401);
    assert_eq!(outcome(&queued), "not-run");
    assert_eq!(error_code(queued).await, "invalid_api_key");
    wait_until("usage is recorded", || {
        !entry.usage.lock().unwrap().is_empty()
    })
    .await;
    let recorded = entry.usage.lock().unwrap().clone();
    assert_eq!(recorded.len(), 1);
    assert_eq!(&*recorded[0].account, "press");
}

/// An instance with a stale configuration refuses only requests that need a key.
#[tokio::test]
async fn stale_configuration_refused() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 1).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    entry.may_serve_keyed.store(false, Ordering::SeqCst);
    let answer = send_chat(&entry, MILL_KEY, QUESTION, 2, false).await;
    assert_eq!(answer.status(), 503);
    assert_eq!(outcome(&answer), "not-run");
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(error_code(answer).await, "configuration_stale");
    let open = caller().get(format!("{}/hours", entry.url)).send().await;
    assert_eq!(open.unwrap().status(), 200);
    entry.may_serve_keyed.store(true, Ordering::SeqCst);
    let answer = send_chat(&entry, MILL_KEY, QUESTION, 2, false).await;
    assert_eq!(answer.status(), 200);
}

/// A leaving target finishes its requests and gets no new ones.
#[tokio::test]
async fn leaving_target_drained() {
    let log = MemoryLog::new();
    let targets = Targets::start(2, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let streaming = send_chat(&entry, MILL_KEY, QUESTION, 100, true).await;
    let mut listed = targets.listed();
    listed[0].state = TargetState::Leaving;
    listed[0].leaves_in_ms = Some(60_000);
    entry.targets.observe_list(listed, role_of);
    let cut_after_first_token = EngineFaults {
        cut_after_tokens: 1,
        ..EngineFaults::default()
    };
    let streamed = entry_support::Streamed::read(streaming).await;
    assert!(streamed.is_done());
    assert_eq!(streamed.text(), expected_text(&chat_prompt(QUESTION), 100));
    targets.engines[0].set_faults(cut_after_first_token);
    for index in 0..12 {
        let question = format!("{QUESTION} {index}");
        let answer = send_chat(&entry, MILL_KEY, &question, 4, false).await;
        assert_eq!(answer.status(), 200);
    }
    // The leaving engine would have cut each response after one token, and these
    // failures would have changed its health.
    let snapshot = entry.targets.snapshot();
    let leaving = snapshot
        .iter()
        .find(|target| &*target.name == "engine-0")
        .unwrap();
    assert_eq!(leaving.health, lavenderwind::target::table::Health::Healthy);
}
