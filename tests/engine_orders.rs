//! Contract between an engine and its clients, except for generation: orders, KV
//! cache, cancellation, priorities and state reports.

use std::{sync::Arc, time::Duration};

use lavenderwind::{
    standin::{
        engine::{Engine, EngineFaults, EngineOptions},
        loopback,
    },
    target::{
        EngineClient, Error, EventStream, http_client,
        protocol::{
            CacheAction, EngineAction, EngineOrderRequest, EngineRole, EngineState, GenerateEvent,
            GenerateRequest, KvTransfer,
        },
    },
};
use tokio::time::timeout;

/// Time after which a test that hangs fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    engine: Engine,
    client: EngineClient,
    address: Arc<str>,
}

impl Fixture {
    async fn start(options: EngineOptions) -> Self {
        let options = options.with_model("adviser", "1");
        let engine = Engine::start(loopback(), options).await.expect("engine");
        Self {
            address: engine.addr().to_string().into(),
            client: EngineClient::new(http_client().expect("client")),
            engine,
        }
    }

    async fn generate(&self, request: &GenerateRequest) -> EventStream {
        let stream = self.client.generate(&self.address, request).await;
        stream.expect("stream")
    }

    async fn state(&self) -> EngineState {
        self.client.state(&self.address).await.expect("state")
    }

    async fn wait_for<F>(&self, name: &str, condition: F) -> EngineState
    where
        F: Fn(&EngineState) -> bool,
    {
        let wait = async {
            loop {
                let state = self.state().await;
                if condition(&state) {
                    return state;
                }
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, wait).await.expect(name)
    }
}

fn fast_engine() -> EngineOptions {
    EngineOptions {
        role_change_ms: 100,
        load_ms: 100,
        ..EngineOptions::default().with_time_scale(100.0)
    }
}

fn request(id: &str, prompt: &str, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        request_id: id.into(),
        attempt: 1,
        model: "adviser".into(),
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

fn set_role(order_id: u64, epoch: u64) -> EngineOrderRequest {
    EngineOrderRequest {
        order_id,
        epoch,
        action: EngineAction::SetRole {
            role: EngineRole::Prefill,
        },
    }
}

async fn last_event(mut stream: EventStream) -> Result<GenerateEvent, Error> {
    let mut last = None;
    while let Some(event) = stream.next().await? {
        last = Some(event);
    }
    Ok(last.expect("an event"))
}

#[tokio::test]
async fn role_changed() {
    let fixture = Fixture::start(fast_engine()).await;
    let order = fixture
        .client
        .order(&fixture.address, &set_role(5, 2))
        .await;
    order.expect("accepted");
    let state = fixture.wait_for("changed", |state| !state.changing).await;
    assert_eq!(state.role, EngineRole::Prefill);
    assert_eq!(state.last_order_id, 5);
    assert!(!fixture.engine.orders()[0].during_change);
}

#[tokio::test]
async fn requests_during_change() {
    let mut options = fast_engine();
    options.role_change_ms = 6_000_000;
    let fixture = Fixture::start(options).await;
    let mut running = fixture.generate(&request("r1", "a prompt", 30_000)).await;
    let accepted = running.next().await.expect("event");
    assert!(matches!(accepted, Some(GenerateEvent::Accepted { .. })));
    let token = running.next().await.expect("event");
    assert!(matches!(token, Some(GenerateEvent::Token { .. })));
    let order = fixture
        .client
        .order(&fixture.address, &set_role(5, 2))
        .await;
    order.expect("accepted");
    let interrupted = last_event(running).await.expect("event");
    assert!(matches!(
        interrupted,
        GenerateEvent::Failed { not_run: false, .. }
    ));
    let refused = fixture.generate(&request("r2", "a prompt", 30)).await;
    let refused = last_event(refused).await.expect("event");
    assert!(matches!(
        refused,
        GenerateEvent::Failed { not_run: true, .. }
    ));
    let order = fixture
        .client
        .order(&fixture.address, &set_role(6, 2))
        .await;
    order.expect("accepted");
    assert!(fixture.engine.orders()[1].during_change);
}

/// An engine that checks fencing tokens refuses an order with an older token.
#[tokio::test]
async fn old_token_refused() {
    struct Case {
        name: &'static str,
        checks_fencing: bool,
        epochs: [u64; 2],
        second_accepted: bool,
    }
    let cases = [
        Case {
            name: "checked, newer token",
            checks_fencing: true,
            epochs: [4, 5],
            second_accepted: true,
        },
        Case {
            name: "checked, same token",
            checks_fencing: true,
            epochs: [4, 4],
            second_accepted: true,
        },
        Case {
            name: "checked, older token",
            checks_fencing: true,
            epochs: [5, 4],
            second_accepted: false,
        },
        Case {
            name: "not checked, older token",
            checks_fencing: false,
            epochs: [5, 4],
            second_accepted: true,
        },
    ];
    for case in cases {
        let fixture = Fixture::start(fast_engine().with_check_epoch(case.checks_fencing)).await;
        let [first, second] = case.epochs;
        let order = fixture
            .client
            .order(&fixture.address, &set_role(1, first))
            .await;
        order.expect(case.name);
        let outcome = fixture
            .client
            .order(&fixture.address, &set_role(2, second))
            .await;
        assert_eq!(outcome.is_ok(), case.second_accepted, "{}", case.name);
        if let Err(error) = outcome {
            assert!(
                matches!(error, Error::Status { status: 409, .. }),
                "{}: {error}",
                case.name
            );
        }
        let orders = fixture.engine.orders();
        assert_eq!(orders[1].accepted, case.second_accepted, "{}", case.name);
    }
}

/// An order takes effect although its answer is lost.
#[tokio::test]
async fn order_answer_lost() {
    let fixture = Fixture::start(fast_engine()).await;
    let mut faults = EngineFaults::default();
    faults.http.lose_answers = 1;
    fixture.engine.set_faults(faults);
    let outcome = fixture
        .client
        .order(&fixture.address, &set_role(5, 2))
        .await;
    assert!(outcome.expect_err("lost").may_have_been_sent());
    assert_eq!(fixture.state().await.last_order_id, 5);
}

/// A stream that is dropped or cancelled frees its KV cache blocks.
#[tokio::test]
async fn cancelled_frees_blocks() {
    for by_drop in [true, false] {
        let fixture = Fixture::start(fast_engine()).await;
        let mut stream = fixture.generate(&request("r1", "a prompt", 30_000)).await;
        stream.next().await.expect("event");
        fixture.wait_for("runs", |state| state.running == 1).await;
        if by_drop {
            drop(stream);
        } else {
            let cancelled = fixture.client.cancel(&fixture.address, "r1", 1).await;
            cancelled.expect("cancelled");
        }
        let state = fixture.wait_for("ends", |state| state.running == 0).await;
        assert_eq!(state.used_blocks, 0);
    }
}

#[tokio::test]
async fn higher_priority_first() {
    let mut options = fast_engine();
    options.max_running = 1;
    let fixture = Fixture::start(options).await;
    fixture.engine.set_faults(EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    let low = fixture.generate(&request("low", "a prompt", 2_000)).await;
    let mut urgent = request("high", "a prompt", 2);
    urgent.priority = 5;
    let high = fixture.generate(&urgent).await;
    fixture
        .wait_for("both wait", |state| state.waiting == 2)
        .await;
    fixture.engine.set_faults(EngineFaults::default());
    let mut low = Box::pin(last_event(low));
    tokio::select! {
        done = last_event(high) => { done.expect("finished stream"); }
        _ = &mut low => panic!("the request of lower priority finished first"),
    }
}

#[tokio::test]
async fn prefix_cache_hit() {
    let fixture = Fixture::start(fast_engine()).await;
    let prompt = "norms and catalogues of steel. ".repeat(40);
    let mut cached = Vec::new();
    for id in ["r1", "r2"] {
        let done = last_event(fixture.generate(&request(id, &prompt, 2)).await).await;
        if let Ok(GenerateEvent::Done { cached_tokens, .. }) = done {
            cached.push(cached_tokens);
        }
    }
    assert_eq!(cached[0], 0);
    assert_eq!(cached[1], prompt.len() as u32 / 64 * 16);
    let events = fixture.client.cache_events(&fixture.address, 0).await;
    let events = events.expect("events").events;
    assert_eq!(events.len(), prompt.len() / 64);
    for (index, event) in events.iter().enumerate() {
        assert_eq!(event.sequence, index as u64 + 1);
        assert_eq!(event.action, CacheAction::Stored);
    }
}

/// The lag and gap faults of the simulated engine withhold cache events.
#[tokio::test]
async fn cache_events_withheld() {
    let prompt = "norms and catalogues of steel. ".repeat(40);
    for (lag_ms, gap_probability) in [(600_000, 0.0), (0, 1.0)] {
        let fixture = Fixture::start(fast_engine()).await;
        fixture.engine.set_faults(EngineFaults {
            event_lag_ms: lag_ms,
            event_gap_probability: gap_probability,
            ..EngineFaults::default()
        });
        let done = last_event(fixture.generate(&request("r1", &prompt, 2)).await).await;
        done.expect("finished stream");
        let events = fixture.client.cache_events(&fixture.address, 0).await;
        assert!(events.expect("events").events.is_empty());
    }
}

#[tokio::test]
async fn lagging_report() {
    let fixture = Fixture::start(fast_engine()).await;
    fixture.engine.set_faults(EngineFaults {
        state_lag_ms: 600_000,
        ..EngineFaults::default()
    });
    fixture.state().await;
    let mut stream = fixture.generate(&request("r1", "a prompt", 30_000)).await;
    for _ in 0..3 {
        stream.next().await.expect("event");
    }
    let lagging = fixture.state().await;
    assert_eq!(lagging.running, 0);
    assert_eq!(lagging.report_age_ms, 600_000);
    fixture.engine.set_faults(EngineFaults::default());
    fixture
        .wait_for("current", |state| state.running == 1)
        .await;
}

/// The KV cache moves to another engine; unknown blocks are answered with 404.
#[tokio::test]
async fn kv_cache_moved() {
    let prompt = "norms and catalogues of steel. ".repeat(40);
    let source = Fixture::start(fast_engine()).await;
    let sink = Fixture::start(fast_engine()).await;
    let mut prefill = request("r1", &prompt, 10);
    prefill.prefill_only = true;
    prefill.prefix_blocks = lavenderwind::target::tokens::block_hashes(&prompt);
    let done = last_event(source.generate(&prefill).await).await;
    assert!(matches!(
        done,
        Ok(GenerateEvent::Done {
            output_tokens: 0,
            ..
        })
    ));
    let mut transfer = KvTransfer {
        request_id: "r1".into(),
        blocks: prefill.prefix_blocks.clone(),
        source_address: Arc::clone(&source.address),
    };
    let moved = sink.client.kv_import(&sink.address, &transfer).await;
    assert_eq!(moved.expect("moved").blocks, transfer.blocks);
    let done = last_event(sink.generate(&request("r1", &prompt, 2)).await).await;
    let Ok(GenerateEvent::Done { cached_tokens, .. }) = done else {
        panic!("stream did not finish: {done:?}");
    };
    assert_eq!(cached_tokens, transfer.blocks.len() as u32 * 16);
    transfer.blocks = vec![1, 2, 3];
    let unknown = source.client.kv_export(&source.address, &transfer).await;
    assert!(matches!(unknown, Err(Error::Status { status: 404, .. })));
    let unknown = sink.client.kv_import(&sink.address, &transfer).await;
    assert!(matches!(unknown, Err(Error::Status { status: 404, .. })));
}
