//! An instance learns from the engines' cache events which prefixes the requests of
//! another instance have left in the engines' caches.

mod entry_support;

use entry_support::{
    Entry, MILL_KEY, MODEL, MemoryLog, Targets, caller, document, start_entry, wait_until,
};
use lavenderwind::target::tokens::block_hashes;
use serde_json::{Value, json};

/// Number of prompts whose prefixes the second instance stores in the caches.
const PROMPTS: usize = 8;

/// Sends a prompt and returns how many of its tokens the engine had cached.
async fn cached_tokens(entry: &Entry, prompt: &str) -> u64 {
    let request = caller().post(format!("{}/v1/completions", entry.url));
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 2});
    let response = request
        .bearer_auth(MILL_KEY)
        .json(&body)
        .send()
        .await
        .unwrap();
    let body: Value = response.json().await.unwrap();
    body["usage"]["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .unwrap()
}

#[tokio::test]
async fn peer_prefix_found() {
    let log = MemoryLog::new();
    let targets = Targets::start(2, 0).await;
    let first = start_entry(&log, "entry-1", &targets).await;
    let second = start_entry(&log, "entry-2", &targets).await;
    log.publish(0, &document(false));
    let has_blocks_of_both = |entry: &Entry| {
        let names = ["engine-0", "engine-1"];
        names
            .iter()
            .all(|name| entry.context.cached_blocks(name) > 0)
    };
    // An instance requests the cache events only of engines to which it has sent
    // requests.
    let mut warm_ups = 0;
    while !has_blocks_of_both(&first) {
        cached_tokens(&first, &format!("{warm_ups} {}", "warm up ".repeat(20))).await;
        warm_ups += 1;
    }
    let cached_blocks = |entry: &Entry| {
        entry.context.cached_blocks("engine-0") + entry.context.cached_blocks("engine-1")
    };
    let before = cached_blocks(&first);
    let mut prompts = Vec::new();
    for index in 0..PROMPTS {
        prompts.push(format!("{index} {}", "listing of cosmetics ".repeat(100)));
    }
    for prompt in &prompts {
        assert_eq!(cached_tokens(&second, prompt).await, 0);
    }
    let stored: usize = prompts
        .iter()
        .map(|prompt| block_hashes(prompt).len())
        .sum();
    wait_until("the cache events arrive", || {
        cached_blocks(&first) >= before + stored
    })
    .await;
    for prompt in &prompts {
        assert!(cached_tokens(&first, prompt).await > 0);
    }
}
