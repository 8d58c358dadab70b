//! Streamed answers: format, resumption after a failed engine, and cancellation.
//!
//! An engine that cuts its stream, stalls or answers another request must not
//! cause lost, repeated or wrong tokens, and an incomplete answer must not look
//! like a complete one.

mod entry_support;

use std::time::Duration;

use entry_support::{
    Entry, MILL_KEY, MODEL, MemoryLog, Streamed, Targets, caller, chat_prompt, document,
    engine_options, error_code, expected_text, outcome, send_chat, start_entry, wait_until,
};
use lavenderwind::{
    standin::{engine::EngineFaults, faults::InterfaceFaults},
    target::{EngineClient, http_client},
};
use serde_json::json;

const QUESTION: &str = "which norm holds for tool boxes?";

/// Starts an instance with the given number of engines.
async fn start(engines: usize) -> (Targets, Entry) {
    let log = MemoryLog::new();
    let targets = Targets::start(engines, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    (targets, entry)
}

/// Returns faults that cut each stream after the given number of tokens.
fn cut_after(tokens: u32) -> EngineFaults {
    EngineFaults {
        cut_after_tokens: tokens,
        ..EngineFaults::default()
    }
}

/// An uninterrupted stream has each token once and no usage event.
#[tokio::test]
async fn tokens_sent_once() {
    let (_targets, entry) = start(1).await;
    let response = send_chat(&entry, MILL_KEY, QUESTION, 20, true).await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let streamed = Streamed::read(response).await;
    assert!(streamed.ended_without_error);
    assert!(streamed.is_done());
    assert_eq!(streamed.text(), expected_text(&chat_prompt(QUESTION), 20));
    let bodies = streamed.bodies();
    assert_eq!(bodies[0]["choices"][0]["delta"]["role"], "assistant");
    let last = bodies.last().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "length");
    assert!(last.get("usage").is_none());
}

/// The usage event comes last, if it is requested.
#[tokio::test]
async fn usage_event_last() {
    let (_targets, entry) = start(1).await;
    let request = caller().post(format!("{}/v1/completions", entry.url));
    let body = json!({
        "model": MODEL,
        "prompt": QUESTION,
        "max_tokens": 5,
        "stream": true,
        "stream_options": {"include_usage": true},
    });
    let response = request
        .bearer_auth(MILL_KEY)
        .json(&body)
        .send()
        .await
        .unwrap();
    let streamed = Streamed::read(response).await;
    assert!(streamed.is_done());
    assert_eq!(streamed.text(), expected_text(QUESTION, 5));
    let bodies = streamed.bodies();
    let last = bodies.last().unwrap();
    assert_eq!(last["choices"], json!([]));
    assert_eq!(last["usage"]["completion_tokens"], 5);
    assert_eq!(last["object"], "text_completion");
}

/// A stop sequence ends the answer, streamed or not.
#[tokio::test]
async fn stop_sequence_applied() {
    let (_targets, entry) = start(1).await;
    let full_text = expected_text(&chat_prompt(QUESTION), 20);
    let stop = &full_text[26..31];
    let expected = &full_text[..full_text.find(stop).unwrap()];
    for stream in [false, true] {
        let request = caller().post(format!("{}/v1/chat/completions", entry.url));
        let body = json!({
            "model": MODEL,
            "messages": [{"role": "user", "content": QUESTION}],
            "max_tokens": 20,
            "stop": stop,
            "stream": stream,
        });
        let response = request
            .bearer_auth(MILL_KEY)
            .json(&body)
            .send()
            .await
            .unwrap();
        if stream {
            let streamed = Streamed::read(response).await;
            assert_eq!(streamed.text(), expected);
            assert!(streamed.is_done());
            continue;
        }
        let body: serde_json::Value = response.json().await.unwrap();
        assert_eq!(body["choices"][0]["message"]["content"], expected);
        assert_eq!(body["choices"][0]["finish_reason"], "stop");
    }
}

/// A cut stream is resumed with each token once.
#[tokio::test]
async fn cut_stream_resumed() {
    let (targets, entry) = start(4).await;
    for engine in &targets.engines {
        engine.set_faults(cut_after(5));
    }
    let response = send_chat(&entry, MILL_KEY, QUESTION, 18, true).await;
    let streamed = Streamed::read(response).await;
    assert!(streamed.is_done());
    assert_eq!(streamed.text(), expected_text(&chat_prompt(QUESTION), 18));
    // 18 token events, the opening event and the finish event.
    assert_eq!(streamed.bodies().len(), 20);

    let response = send_chat(&entry, MILL_KEY, QUESTION, 18, false).await;
    let body: serde_json::Value = response.json().await.unwrap();
    let content = &body["choices"][0]["message"]["content"];
    assert_eq!(content, &expected_text(&chat_prompt(QUESTION), 18));
    assert_eq!(body["usage"]["completion_tokens"], 18);
    wait_until("usage is recorded", || {
        entry.usage.lock().unwrap().len() == 2
    })
    .await;
    for usage in entry.usage.lock().unwrap().iter() {
        assert_eq!((usage.requests, usage.output_tokens), (1, 18));
    }
}

/// An unfinished stream ends with an error event and a broken connection.
#[tokio::test]
async fn unfinished_stream_fails() {
    let (targets, entry) = start(4).await;
    for engine in &targets.engines {
        engine.set_faults(cut_after(2));
    }
    let response = send_chat(&entry, MILL_KEY, QUESTION, 50, true).await;
    assert_eq!(response.status(), 200);
    let streamed = Streamed::read(response).await;
    assert!(!streamed.ended_without_error);
    assert!(!streamed.is_done());
    let bodies = streamed.bodies();
    let error = &bodies.last().unwrap()["error"];
    assert_eq!(error["outcome"], "ran");
    let full_text = expected_text(&chat_prompt(QUESTION), 50);
    let text = streamed.text();
    assert!(!text.is_empty() && full_text.starts_with(&text));

    let response = send_chat(&entry, MILL_KEY, QUESTION, 50, false).await;
    assert_eq!(response.status(), 502);
    assert_eq!(outcome(&response), "ran");
    assert_eq!(error_code(response).await, "target_failed");
}

/// Answers to another request are discarded.
#[tokio::test]
async fn mismatched_answers_discarded() {
    let (targets, entry) = start(2).await;
    targets.engines[0].set_faults(EngineFaults {
        wrong_request: true,
        ..EngineFaults::default()
    });
    for index in 0..8 {
        let question = format!("{QUESTION} {index}");
        let response = send_chat(&entry, MILL_KEY, &question, 6, true).await;
        assert_eq!(response.status(), 200);
        let streamed = Streamed::read(response).await;
        assert!(streamed.is_done());
        assert_eq!(streamed.text(), expected_text(&chat_prompt(&question), 6));
    }
}

/// Requests are answered despite the outage of an engine.
#[tokio::test]
async fn engine_outage_tolerated() {
    let (targets, entry) = start(2).await;
    targets.engines[0].set_faults(EngineFaults {
        http: InterfaceFaults {
            outage: true,
            ..InterfaceFaults::default()
        },
        ..EngineFaults::default()
    });
    for index in 0..8 {
        let question = format!("{QUESTION} {index}");
        let response = send_chat(&entry, MILL_KEY, &question, 6, false).await;
        assert_eq!(response.status(), 200, "{:?}", response.text().await);
    }
}

/// If the caller disconnects, the stream of the engine is cancelled.
#[tokio::test]
async fn disconnect_cancels_stream() {
    let log = MemoryLog::new();
    let mut targets = Targets::default();
    targets
        .add_engine(engine_options(0).with_time_scale(1.0))
        .await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let max_tokens = 20_000;
    let mut response = send_chat(&entry, MILL_KEY, QUESTION, max_tokens, true).await;
    assert!(response.chunk().await.unwrap().is_some());
    let client = EngineClient::new(http_client().unwrap());
    let address = targets.engines[0].addr().to_string();
    assert_eq!(client.state(&address).await.unwrap().running, 1);
    drop(response);
    let cancelled = async {
        while client.state(&address).await.unwrap().running > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), cancelled)
        .await
        .unwrap();
    wait_until("usage is recorded", || {
        !entry.usage.lock().unwrap().is_empty()
    })
    .await;
    let usage = entry.usage.lock().unwrap()[0].clone();
    assert_eq!(usage.requests, 1);
    assert!(
        (1..u64::from(max_tokens)).contains(&usage.output_tokens),
        "{usage:?}"
    );
    assert_eq!(entry.context.burn().counts()[0].cancelled, 1);
}

/// A stalled stream is resumed on another engine.
#[tokio::test]
async fn stalled_stream_resumed() {
    let (targets, entry) = start(2).await;
    let response = send_chat(&entry, MILL_KEY, QUESTION, 300, true).await;
    assert_eq!(response.status(), 200);
    let client = EngineClient::new(http_client().unwrap());
    for engine in &targets.engines {
        let state = client.state(&engine.addr().to_string()).await.unwrap();
        if state.running > 0 {
            engine.set_faults(EngineFaults {
                hang: true,
                ..EngineFaults::default()
            });
        }
    }
    let streamed = Streamed::read(response).await;
    assert!(streamed.is_done());
    assert_eq!(streamed.text(), expected_text(&chat_prompt(QUESTION), 300));
}
