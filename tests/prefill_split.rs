//! Requests whose prefill and decode run on different engines.

mod entry_support;

use entry_support::{
    MILL_KEY, MODEL, MemoryLog, Targets, caller, document, engine_options, expected_text,
    start_entry,
};
use lavenderwind::{
    standin::engine::EngineFaults,
    target::protocol::{BLOCK_TOKENS, EngineRole},
};
use serde_json::{Value, json};

async fn start_roles(roles: &[EngineRole]) -> Targets {
    let mut targets = Targets::default();
    for (index, role) in roles.iter().enumerate() {
        let mut options = engine_options(index);
        options.role = *role;
        targets.add_engine(options).await;
    }
    targets
}

async fn complete(entry: &entry_support::Entry, prompt: &str) -> Value {
    let request = caller().post(format!("{}/v1/completions", entry.url));
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 8});
    let response = request
        .bearer_auth(MILL_KEY)
        .json(&body)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200, "{:?}", response.text().await);
    response.json().await.unwrap()
}

#[tokio::test]
async fn kv_cache_moved() {
    let log = MemoryLog::new();
    let targets = start_roles(&[EngineRole::Prefill, EngineRole::Decode]).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let prompt = "catalogue of tool boxes ".repeat(100);
    let body = complete(&entry, &prompt).await;
    assert_eq!(body["choices"][0]["text"], expected_text(&prompt, 8));
    let usage = &body["usage"];
    let cached = usage["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .unwrap();
    let prompt_tokens = usage["prompt_tokens"].as_u64().unwrap();
    let partial_block = u64::from(BLOCK_TOKENS);
    assert!(cached + partial_block >= prompt_tokens, "{usage}");
}

/// The prefill answers of engine 0 carry the identifier of another request. The
/// entry must not use such a prefill, and must retry the request on the other
/// prefill engine.
#[tokio::test]
async fn mismatched_prefill_retried() {
    let log = MemoryLog::new();
    let roles = [EngineRole::Prefill, EngineRole::Prefill, EngineRole::Decode];
    let targets = start_roles(&roles).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    targets.engines[0].set_faults(EngineFaults {
        wrong_request: true,
        ..EngineFaults::default()
    });
    for index in 0..6 {
        let prompt = format!("{index} {}", "catalogue of tool boxes ".repeat(20));
        let body = complete(&entry, &prompt).await;
        assert_eq!(body["choices"][0]["text"], expected_text(&prompt, 8));
    }
}
