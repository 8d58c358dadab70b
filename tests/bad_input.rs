//! Invalid requests get a specific error code and the outcome `not-run`, and no
//! target runs them. Valid requests with common optional fields are accepted.

mod entry_support;

use entry_support::{
    Entry, MILL_KEY, MODEL, MemoryLog, Targets, caller, document, error_code, outcome, start_entry,
};
use reqwest::Method;
use serde_json::{Value, json};

/// A request, and the status and error code that it must get.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    /// API key; `None` to send none.
    key: Option<&'static str>,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

/// Returns the case of a `POST` request with the key of `mill` and an empty body.
fn request_case(name: &'static str, path: &'static str, status: u16, code: &'static str) -> Case {
    Case {
        name,
        method: Method::POST,
        path,
        key: Some(MILL_KEY),
        body: Vec::new(),
        status,
        code,
    }
}

/// Returns the case of a valid chat request in which the fields of `change` are
/// replaced or added.
fn chat_case(name: &'static str, status: u16, code: &'static str, change: Value) -> Case {
    let mut body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 2,
    });
    for (field, value) in change.as_object().unwrap() {
        body[field] = value.clone();
    }
    Case {
        body: body.to_string().into_bytes(),
        ..request_case(name, "/v1/chat/completions", status, code)
    }
}

/// Returns the case of a text completion request with the given body.
fn text_case(name: &'static str, status: u16, code: &'static str, body: Value) -> Case {
    Case {
        body: body.to_string().into_bytes(),
        ..request_case(name, "/v1/completions", status, code)
    }
}

fn cases() -> Vec<Case> {
    let invalid = "invalid_value";
    vec![
        request_case("unknown path", "/v2/chat", 404, "unknown_url"),
        request_case("unknown interface", "/v1/embeddings", 404, "unknown_url"),
        request_case(
            "path extends the last segment of a route",
            "/ordersx",
            404,
            "unknown_url",
        ),
        Case {
            key: None,
            ..request_case("no key", "/v1/chat/completions", 401, "missing_api_key")
        },
        Case {
            key: Some("sk-wrong"),
            ..request_case("wrong key", "/v1/chat/completions", 401, "invalid_api_key")
        },
        Case {
            method: Method::GET,
            ..request_case(
                "wrong method for orders",
                "/orders",
                405,
                "method_not_allowed",
            )
        },
        Case {
            method: Method::GET,
            ..request_case(
                "wrong method for chat",
                "/v1/chat/completions",
                405,
                "method_not_allowed",
            )
        },
        Case {
            method: Method::DELETE,
            ..request_case(
                "wrong method for models",
                "/v1/models",
                405,
                "method_not_allowed",
            )
        },
        Case {
            method: Method::GET,
            key: None,
            ..request_case("models without a key", "/v1/models", 401, "missing_api_key")
        },
        Case {
            method: Method::GET,
            ..request_case("unknown model", "/v1/models/none", 404, "model_not_found")
        },
        Case {
            body: b"{\"model\": }".to_vec(),
            ..request_case("bad JSON", "/v1/chat/completions", 400, "invalid_json")
        },
        Case {
            body: b"{\"model\": \"adviser\"".to_vec(),
            ..request_case(
                "truncated JSON",
                "/v1/chat/completions",
                400,
                "invalid_json",
            )
        },
        Case {
            body: b"[1, 2]".to_vec(),
            ..request_case("JSON array", "/v1/chat/completions", 400, "invalid_json")
        },
        Case {
            body: vec![0xff, 0xfe],
            ..request_case("not UTF-8", "/v1/chat/completions", 400, "invalid_json")
        },
        request_case("empty body", "/v1/chat/completions", 400, "invalid_json"),
        Case {
            body: vec![b'x'; 5_000],
            ..request_case("large order", "/orders", 413, "body_too_large")
        },
        chat_case("model of a wrong type", 400, invalid, json!({"model": 7})),
        chat_case("no model", 400, invalid, json!({"model": null})),
        chat_case(
            "unknown model",
            404,
            "model_not_found",
            json!({"model": "none"}),
        ),
        chat_case(
            "unknown adapter",
            404,
            "model_not_found",
            json!({"model": "adviser:none"}),
        ),
        chat_case("no messages", 400, invalid, json!({"messages": null})),
        chat_case("empty messages", 400, invalid, json!({"messages": []})),
        chat_case(
            "messages of a wrong type",
            400,
            invalid,
            json!({"messages": "hi"}),
        ),
        chat_case(
            "message of a wrong type",
            400,
            invalid,
            json!({"messages": ["hi"]}),
        ),
        chat_case(
            "message without role",
            400,
            invalid,
            json!({"messages": [{"content": "hi"}]}),
        ),
        chat_case(
            "unknown role",
            400,
            invalid,
            json!({"messages": [{"role": "x", "content": "hi"}]}),
        ),
        chat_case(
            "content of a wrong type",
            400,
            invalid,
            json!({"messages": [{"role": "user", "content": 1}]}),
        ),
        chat_case(
            "image part",
            400,
            invalid,
            json!({"messages": [{"role": "user", "content": [{"type": "image_url"}]}]}),
        ),
        chat_case(
            "max_tokens of a wrong type",
            400,
            invalid,
            json!({"max_tokens": "ten"}),
        ),
        chat_case("max_tokens of zero", 400, invalid, json!({"max_tokens": 0})),
        chat_case(
            "fractional max_tokens",
            400,
            invalid,
            json!({"max_tokens": 1.5}),
        ),
        chat_case("several choices", 400, invalid, json!({"n": 2})),
        chat_case(
            "temperature too high",
            400,
            invalid,
            json!({"temperature": 2.5}),
        ),
        chat_case("top_p of a wrong type", 400, invalid, json!({"top_p": "x"})),
        chat_case("seed of a wrong type", 400, invalid, json!({"seed": 1.5})),
        chat_case(
            "stream of a wrong type",
            400,
            invalid,
            json!({"stream": "yes"}),
        ),
        chat_case(
            "stream options without stream",
            400,
            invalid,
            json!({"stream_options": {}}),
        ),
        chat_case("stop of a wrong type", 400, invalid, json!({"stop": 1})),
        chat_case(
            "five stop sequences",
            400,
            invalid,
            json!({"stop": ["a", "b", "c", "d", "e"]}),
        ),
        chat_case("empty stop sequence", 400, invalid, json!({"stop": [""]})),
        chat_case(
            "tools",
            400,
            invalid,
            json!({"tools": [{"type": "function"}]}),
        ),
        chat_case("logprobs", 400, invalid, json!({"logprobs": true})),
        chat_case(
            "JSON mode",
            400,
            invalid,
            json!({"response_format": {"type": "json_object"}}),
        ),
        chat_case("user of a wrong type", 400, invalid, json!({"user": 7})),
        text_case("no prompt", 400, invalid, json!({"model": MODEL})),
        text_case(
            "two prompts",
            400,
            invalid,
            json!({"model": MODEL, "prompt": ["a", "b"]}),
        ),
        text_case(
            "prompt of tokens",
            400,
            invalid,
            json!({"model": MODEL, "prompt": [7]}),
        ),
        text_case(
            "echo",
            400,
            invalid,
            json!({"model": MODEL, "prompt": "a", "echo": true}),
        ),
    ]
}

async fn send(entry: &Entry, case: &Case) -> reqwest::Response {
    let url = format!("{}{}", entry.url, case.path);
    let mut request = caller().request(case.method.clone(), url);
    if let Some(key) = case.key {
        request = request.bearer_auth(key);
    }
    request.body(case.body.clone()).send().await.unwrap()
}

#[tokio::test]
async fn invalid_requests_refused() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 1).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    for case in cases() {
        let response = send(&entry, &case).await;
        assert_eq!(response.status(), case.status, "{}", case.name);
        assert_eq!(outcome(&response), "not-run", "{}", case.name);
        assert!(response.headers().contains_key("x-request-id"));
        assert_eq!(error_code(response).await, case.code, "{}", case.name);
    }
    assert!(targets.plains[0].executions().is_empty());
    assert!(entry.usage.lock().unwrap().is_empty());
}

/// The message of a JSON syntax error names the line and column.
#[tokio::test]
async fn json_error_position() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let case = Case {
        body: b"{\n  \"model\": \"adviser\",\n  \"messages\": oops\n}".to_vec(),
        ..request_case("bad JSON", "/v1/chat/completions", 400, "invalid_json")
    };
    let body: Value = send(&entry, &case).await.json().await.unwrap();
    let message = body["error"]["message"].as_str().unwrap();
    assert!(message.contains("line 3 column 15"), "{message}");
}

#[tokio::test]
async fn optional_fields_accepted() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let changes = [
        json!({"temperature": 0.2, "top_p": 1, "seed": 7, "user": "u", "n": 1}),
        json!({"max_completion_tokens": 2, "presence_penalty": 0, "frequency_penalty": 0.5}),
        json!({"tools": [], "logprobs": false, "logit_bias": {}, "stop": null}),
        json!({"response_format": {"type": "text"}, "metadata": {"a": 1}, "unheard_of": [1]}),
        json!({"messages": [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]},
            {"role": "assistant", "content": null},
            {"role": "user", "content": "go on", "name": "x"},
        ]}),
        json!({"stop": ["never there", "nor this"]}),
    ];
    for change in changes {
        let case = chat_case("common optional fields", 200, "", change.clone());
        let response = send(&entry, &case).await;
        assert_eq!(response.status(), 200, "{change}");
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["usage"]["completion_tokens"], 2, "{change}");
    }
}

/// The list of models includes adapters.
#[tokio::test]
async fn models_listed() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let list = caller().get(format!("{}/v1/models", entry.url));
    let body: Value = list
        .bearer_auth(MILL_KEY)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_eq!(body["object"], "list");
    assert_eq!(body["data"][0]["id"], MODEL);
    assert_eq!(body["data"][1]["id"], "adviser:norms");
    let one = caller().get(format!("{}/v1/models/{MODEL}", entry.url));
    let body: Value = one
        .bearer_auth(MILL_KEY)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_eq!(body["object"], "model");
}
