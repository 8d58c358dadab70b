//! Callers get the complete answers of engines and plain services over HTTP.

mod entry_support;

use entry_support::{
    MILL_KEY, MODEL, MemoryLog, Targets, caller, chat_prompt, document, expected_text, start_entry,
};
use serde_json::{Value, json};

#[tokio::test]
async fn chat_answer_returned() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let response = caller()
        .post(format!("{}/v1/chat/completions", entry.url))
        .bearer_auth(MILL_KEY)
        .json(&json!({
            "model": MODEL,
            "messages": [{"role": "user", "content": "price of sheet steel?"}],
            "max_tokens": 12,
        }))
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert!(response.headers().contains_key("x-request-id"));
    let body: Value = response.json().await.unwrap();
    let text = expected_text(&chat_prompt("price of sheet steel?"), 12);
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["choices"][0]["message"]["content"], text);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
    assert_eq!(body["usage"]["completion_tokens"], 12);
}

/// The answer of a plain service is returned; the caller's credentials are not forwarded.
#[tokio::test]
async fn plain_answer_returned() {
    let log = MemoryLog::new();
    let targets = Targets::start(0, 1).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let response = caller()
        .get(format!("{}/status/7?full=1", entry.url))
        .bearer_auth(MILL_KEY)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["path"], "/status/7");
    let names = targets.plains[0].header_names();
    assert!(
        !names.iter().any(|name| name == "authorization"),
        "{names:?}"
    );
}
