//! Invalid requests get a specific error code and the outcome `not-run`, and no
//! target runs them. Valid requests with the usual fields are accepted.

mod entry_support;

use entry_support::{
    Entry, MILL_KEY, MODEL, MemoryLog, Targets, caller, document, error_code, outcome, start_entry,
};
use reqwest::Method;
use serde_json::{Value, json};

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: Option<&'static str>,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, path: &'static str, status: u16, code: &'static str) -> Case {
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

fn chat(name: &'static str, status: u16, code: &'static str, change: Value) -> Case {
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
        ..case(name, "/v1/chat/completions", status, code)
    }
}

fn text(name: &'static str, status: u16, code: &'static str, body: Value) -> Case {
    Case {
        body: body.to_string().into_bytes(),
        ..case(name, "/v1/completions", status, code)
    }
}

fn cases() -> Vec<Case> {
    let field = "invalid_value";
    vec![
        case("unknown path", "/v2/chat", 404, "unknown_url"),
        case("unknown interface", "/v1/embeddings", 404, "unknown_url"),
        case("prefix is not a segment", "/ordersx", 404, "unknown_url"),
        Case {
            key: None,
            ..case("no key", "/v1/chat/completions", 401, "missing_api_key")
        },
        Case {
            key: Some("sk-wrong"),
            ..case("wrong key", "/v1/chat/completions", 401, "invalid_api_key")
        },
        Case {
            method: Method::GET,
            ..case(
                "wrong method on an order",
                "/orders",
                405,
                "method_not_allowed",
            )
        },
        Case {
            method: Method::GET,
            ..case(
                "wrong method on chat",
                "/v1/chat/completions",
                405,
                "method_not_allowed",
            )
        },
        Case {
            method: Method::DELETE,
            ..case(
                "wrong method on models",
                "/v1/models",
                405,
                "method_not_allowed",
            )
        },
        Case {
            method: Method::GET,
            key: None,
            ..case("models without a key", "/v1/models", 401, "missing_api_key")
        },
        Case {
            method: Method::GET,
            ..case("unknown model", "/v1/models/none", 404, "model_not_found")
        },
        Case {
            body: b"{\"model\": }".to_vec(),
            ..case("bad JSON", "/v1/chat/completions", 400, "invalid_json")
        },
        Case {
            body: b"{\"model\": \"adviser\"".to_vec(),
            ..case("cut JSON", "/v1/chat/completions", 400, "invalid_json")
        },
        Case {
            body: b"[1, 2]".to_vec(),
            ..case("JSON array", "/v1/chat/completions", 400, "invalid_json")
        },
        Case {
            body: vec![0xff, 0xfe],
            ..case("not UTF-8", "/v1/chat/completions", 400, "invalid_json")
        },
        case("empty body", "/v1/chat/completions", 400, "invalid_json"),
        Case {
            body: vec![b'x'; 5_000],
            ..case("large order", "/orders", 413, "body_too_large")
        },
        chat("model of a wrong type", 400, field, json!({"model": 7})),
        chat("no model", 400, field, json!({"model": null})),
        chat(
            "unknown model",
            404,
            "model_not_found",
            json!({"model": "none"}),
        ),
        chat(
            "unknown adapter",
            404,
            "model_not_found",
            json!({"model": "adviser:none"}),
        ),
        chat("no messages", 400, field, json!({"messages": null})),
        chat("empty messages", 400, field, json!({"messages": []})),
        chat(
            "messages of a wrong type",
            400,
            field,
            json!({"messages": "hi"}),
        ),
        chat(
            "message of a wrong type",
            400,
            field,
            json!({"messages": ["hi"]}),
        ),
        chat(
            "message without role",
            400,
            field,
            json!({"messages": [{"content": "hi"}]}),
        ),
        chat(
            "unknown role",
            400,
            field,
            json!({"messages": [{"role": "x", "content": "hi"}]}),
        ),
        chat(
            "content of a wrong type",
            400,
            field,
            json!({"messages": [{"role": "user", "content": 1}]}),
        ),
        chat(
            "image part",
            400,
            field,
            json!({"messages": [{"role": "user", "content": [{"type": "image_url"}]}]}),
        ),
        chat(
            "max_tokens of a wrong type",
            400,
            field,
            json!({"max_tokens": "ten"}),
        ),
        chat("max_tokens of zero", 400, field, json!({"max_tokens": 0})),
        chat(
            "fractional max_tokens",
            400,
            field,
            json!({"max_tokens": 1.5}),
        ),
        chat("several choices", 400, field, json!({"n": 2})),
        chat(
            "temperature too high",
            400,
            field,
            json!({"temperature": 2.5}),
        ),
        chat("top_p of a wrong type", 400, field, json!({"top_p": "x"})),
        chat("seed of a wrong type", 400, field, json!({"seed": 1.5})),
        chat(
            "stream of a wrong type",
            400,
            field,
            json!({"stream": "yes"}),
        ),
        chat(
            "stream options without stream",
            400,
            field,
            json!({"stream_options": {}}),
        ),
        chat("stop of a wrong type", 400, field, json!({"stop": 1})),
        chat(
            "five stop sequences",
            400,
            field,
            json!({"stop": ["a", "b", "c", "d", "e"]}),
        ),
        chat("empty stop sequence", 400, field, json!({"stop": [""]})),
        chat(
            "tools",
            400,
            field,
            json!({"tools": [{"type": "function"}]}),
        ),
        chat("logprobs", 400, field, json!({"logprobs": true})),
        chat(
            "JSON mode",
            400,
            field,
            json!({"response_format": {"type": "json_object"}}),
        ),
        chat("user of a wrong type", 400, field, json!({"user": 7})),
        text("no prompt", 400, field, json!({"model": MODEL})),
        text(
            "two prompts",
            400,
            field,
            json!({"model": MODEL, "prompt": ["a", "b"]}),
        ),
        text(
            "prompt of tokens",
            400,
            field,
            json!({"model": MODEL, "prompt": [7]}),
        ),
        text(
            "echo",
            400,
            field,
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
async fn bad_input_is_refused() {
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

#[tokio::test]
async fn json_errors_give_the_position() {
    let log = MemoryLog::new();
    let targets = Targets::start(1, 0).await;
    let entry = start_entry(&log, "entry-1", &targets).await;
    log.publish(0, &document(false));
    let case = Case {
        body: b"{\n  \"model\": \"adviser\",\n  \"messages\": oops\n}".to_vec(),
        ..case("bad JSON", "/v1/chat/completions", 400, "invalid_json")
    };
    let body: Value = send(&entry, &case).await.json().await.unwrap();
    let message = body["error"]["message"].as_str().unwrap();
    assert!(message.contains("line 3 column 15"), "{message}");
}

#[tokio::test]
async fn usual_fields_are_accepted() {
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
        let case = chat("usual fields", 200, "", change.clone());
        let response = send(&entry, &case).await;
        assert_eq!(response.status(), 200, "{change}");
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["usage"]["completion_tokens"], 2, "{change}");
    }
}

#[tokio::test]
async fn models_are_listed() {
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
