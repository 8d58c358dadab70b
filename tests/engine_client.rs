//! Tests of the engine client against the simulated engine.

use std::sync::Arc;

use lavenderwind::{
    standin::{
        engine::{Answer, Engine, EngineFaults, EngineOptions},
        loopback,
    },
    target::{
        EngineClient, Error, http_client,
        protocol::{GenerateEvent, GenerateRequest},
    },
};

const MODEL: &str = "adviser";

fn engine_options() -> EngineOptions {
    EngineOptions::default()
        .with_model(MODEL, "1")
        .with_time_scale(100.0)
        .with_crash_marker("crash-me")
}

fn client() -> EngineClient {
    EngineClient::new(http_client().expect("client"))
}

fn request(id: &str, prompt: &str, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        request_id: id.into(),
        attempt: 1,
        model: MODEL.into(),
        adapter: "".into(),
        prompt: prompt.into(),
        resume_text: String::new(),
        resume_tokens: 0,
        max_tokens,
        priority: 0,
        prefix_blocks: Vec::new(),
        prefill_only: false,
        sampling: lavenderwind::target::protocol::Sampling::default(),
    }
}

/// What the client has received of one answer.
struct StreamResult {
    text: String,
    tokens: u32,
    /// Whether `Done` was received.
    complete: bool,
    cached_tokens: u32,
    /// Error of the client.
    error: Option<Error>,
    /// Value of `not_run` in the `Failed` event, if one was received.
    failed_not_run: Option<bool>,
}

/// Sends a request and reads its stream until it ends or fails.
async fn read_stream(engine: &Engine, request: &GenerateRequest) -> StreamResult {
    let mut result = StreamResult {
        text: String::new(),
        tokens: 0,
        complete: false,
        cached_tokens: 0,
        error: None,
        failed_not_run: None,
    };
    let address: Arc<str> = engine.addr().to_string().into();
    let mut stream = match client().generate(&address, request).await {
        Ok(stream) => stream,
        Err(error) => {
            result.error = Some(error);
            return result;
        }
    };
    loop {
        match stream.next().await {
            Ok(Some(GenerateEvent::Accepted { .. })) => {}
            Ok(Some(GenerateEvent::Token { text, .. })) => {
                result.text.push_str(&text);
                result.tokens += 1;
            }
            Ok(Some(GenerateEvent::Done { cached_tokens, .. })) => {
                result.complete = true;
                result.cached_tokens = cached_tokens;
            }
            Ok(Some(GenerateEvent::Failed { not_run, .. })) => {
                result.failed_not_run = Some(not_run)
            }
            Ok(None) => return result,
            Err(error) => {
                result.error = Some(error);
                return result;
            }
        }
    }
}

#[tokio::test]
async fn complete_answer_read() {
    let engine = Engine::start(loopback(), engine_options())
        .await
        .expect("engine");
    let prompt = "what does norm 12 say?".repeat(20);
    let result = read_stream(&engine, &request("r1", &prompt, 50)).await;
    assert!(result.complete);
    assert_eq!(result.text, Answer::new(&prompt).text(50));
}

/// A resumed answer continues after the tokens given in the request.
#[tokio::test]
async fn answer_resumed() {
    let engine = Engine::start(loopback(), engine_options())
        .await
        .expect("engine");
    let mut resumed = request("r1", "a prompt", 30);
    let answer = Answer::new("a prompt");
    resumed.attempt = 2;
    resumed.resume_text = answer.text(12);
    resumed.resume_tokens = 12;
    let result = read_stream(&engine, &resumed).await;
    assert!(result.complete);
    assert_eq!(resumed.resume_text + &result.text, answer.text(30));
}

/// Expected result of a request to a faulty engine.
enum Expected {
    /// Error of the client, with the given [`Error::may_have_been_sent`].
    Error { may_have_been_sent: bool },
    /// `Failed` event with `not_run`.
    FailedNotRun,
}

struct FaultCase {
    name: &'static str,
    faults: EngineFaults,
    request: GenerateRequest,
    expected: Expected,
}

fn fault_cases() -> Vec<FaultCase> {
    let none = EngineFaults::default();
    let mut outage = none;
    outage.http.outage = true;
    let mut other_model = request("r1", "a prompt", 10);
    other_model.model = "other".into();
    let mut other_adapter = request("r1", "a prompt", 10);
    other_adapter.adapter = "other".into();
    vec![
        FaultCase {
            name: "stream cut after some tokens",
            faults: EngineFaults {
                cut_after_tokens: 3,
                ..none
            },
            request: request("r1", "a prompt", 10),
            expected: Expected::Error {
                may_have_been_sent: true,
            },
        },
        FaultCase {
            name: "answer to another request",
            faults: EngineFaults {
                wrong_request: true,
                ..none
            },
            request: request("r1", "a prompt", 10),
            expected: Expected::Error {
                may_have_been_sent: true,
            },
        },
        FaultCase {
            name: "connection closed during the request",
            faults: outage,
            request: request("r1", "a prompt", 10),
            expected: Expected::Error {
                may_have_been_sent: true,
            },
        },
        FaultCase {
            name: "engine crashes on the prompt",
            faults: none,
            request: request("r1", "please crash-me now", 10),
            expected: Expected::Error {
                may_have_been_sent: true,
            },
        },
        FaultCase {
            name: "model not loaded",
            faults: none,
            request: other_model,
            expected: Expected::FailedNotRun,
        },
        FaultCase {
            name: "adapter not loaded",
            faults: none,
            request: other_adapter,
            expected: Expected::FailedNotRun,
        },
        FaultCase {
            name: "more tokens than KV memory",
            faults: none,
            request: request("r1", "a prompt", 2_000 * 16),
            expected: Expected::FailedNotRun,
        },
    ]
}

#[tokio::test]
async fn engine_faults_reported() {
    for case in fault_cases() {
        let engine = Engine::start(loopback(), engine_options())
            .await
            .expect("engine");
        engine.set_faults(case.faults);
        let result = read_stream(&engine, &case.request).await;
        assert!(!result.complete, "{}", case.name);
        match case.expected {
            Expected::Error { may_have_been_sent } => {
                let error = result.error.expect(case.name);
                assert_eq!(
                    error.may_have_been_sent(),
                    may_have_been_sent,
                    "{}: {error}",
                    case.name
                );
            }
            Expected::FailedNotRun => {
                assert_eq!(result.failed_not_run, Some(true), "{}", case.name)
            }
        }
    }
}

/// A request counts as not sent if the connection is refused.
#[tokio::test]
async fn refused_not_sent() {
    let engine = Engine::start(loopback(), engine_options())
        .await
        .expect("engine");
    let address = engine.addr().to_string();
    engine.stop().await;
    let error = client()
        .generate(&address, &request("r1", "a prompt", 10))
        .await
        .expect_err("connection is refused");
    assert!(!error.may_have_been_sent(), "{error}");
}
