//! Instances of the program's HTTP entry, with an in-memory log and simulated
//! targets, for tests.
#![allow(dead_code, reason = "each test uses only some of the helpers")]

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lavenderwind::{
    Settings,
    entry::{Appended, EntryBuilder, EntryContext, LogWriter, PeerCallbacks, UsageEntry, serve},
    infra::protocol::{PlatformTarget, TargetState},
    ledger::{Ledger, LedgerHandle},
    log::{
        Offset,
        records::{Record, ServiceRevision, record::Body},
    },
    service::KindRole,
    standin::{
        engine::{Engine, EngineOptions},
        plain::{PlainFaults, PlainService},
    },
    target::{EngineClient, http_client, table::TargetTable},
};
use sha2::{Digest, Sha256};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tokio_util::sync::CancellationToken;

/// API key of the account `mill`.
pub(crate) const MILL_KEY: &str = "sk-mill-0001";
/// API key of the account `press`.
pub(crate) const PRESS_KEY: &str = "sk-press-0002";
/// Name of the service's model.
pub(crate) const MODEL: &str = "adviser";

/// Time after which a test fails if an awaited condition has not become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the loopback address with port 0, for which the system picks a free
/// port.
pub(crate) fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the service document; `mill_revoked` revokes the key of `mill`.
pub(crate) fn document(mill_revoked: bool) -> String {
    format!(
        "service: desk
team: advisers
routes:
  - {{path: /v1, access: keyed, repeat: idempotent, target_kind: engine, first_token_ms: 20000}}
  - {{path: /once/v1, access: keyed, repeat: once, target_kind: engine, first_token_ms: 20000}}
  - {{path: /status, methods: [GET], access: keyed, repeat: idempotent, target_kind: desk, first_token_ms: 20000}}
  - {{path: /orders, methods: [POST], access: keyed, repeat: once, target_kind: desk, first_token_ms: 20000, max_body_bytes: 4096}}
  - {{path: /swaps, access: keyed, repeat: once-by-target, target_kind: desk, first_token_ms: 20000}}
  - {{path: /hours, access: open, repeat: idempotent, target_kind: desk}}
models:
  - {{name: {MODEL}, version: '1', adapters: [norms]}}
accounts:
  - {{name: mill, keys: [{{id: m1, sha256: {}, revoked: {mill_revoked}}}]}}
  - {{name: press, weight: 2, keys: [{{id: p1, sha256: {}}}]}}
target_kinds:
  - {{name: engine, role: engine}}
  - {{name: desk, role: plain}}
",
        digest(MILL_KEY),
        digest(PRESS_KEY),
    )
}

fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// An in-memory, append-only log. Each appended record is applied to the ledgers of
/// all instances immediately.
#[derive(Clone)]
pub(crate) struct MemoryLog {
    state: Arc<Mutex<LogState>>,
    available: watch::Sender<bool>,
}

struct LogState {
    records: Vec<Record>,
    ledgers: Vec<LedgerHandle>,
}

impl MemoryLog {
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::new(Mutex::new(LogState {
                records: Vec::new(),
                ledgers: Vec::new(),
            })),
            available: watch::Sender::new(true),
        }
    }

    /// Returns a ledger to which all past and future records are applied.
    pub(crate) fn follow(&self) -> LedgerHandle {
        let mut state = self.state.lock().unwrap();
        let ledger = LedgerHandle::new(Ledger::new());
        for (index, record) in state.records.iter().enumerate() {
            ledger.apply(Offset(index as u64 + 1), record);
        }
        state.ledgers.push(ledger.clone());
        ledger
    }

    /// Sets whether the log is available. While the log is unavailable, appends by
    /// instances wait.
    pub(crate) fn set_available(&self, available: bool) {
        self.available.send_replace(available);
    }

    /// Returns the bodies of all records, in the order of the log.
    pub(crate) fn records(&self) -> Vec<Body> {
        let state = self.state.lock().unwrap();
        state
            .records
            .iter()
            .filter_map(|r| r.body.clone())
            .collect()
    }

    /// Appends a record, even while the log is unavailable.
    pub(crate) fn append_now(&self, writer: &str, incarnation: u64, body: Body) -> Appended {
        let mut state = self.state.lock().unwrap();
        let offset = Offset(state.records.len() as u64 + 1);
        let record = Record {
            writer: writer.to_owned(),
            incarnation,
            sequence: offset.0,
            body: Some(body),
        };
        state.records.push(record.clone());
        let mut apply_result = None;
        for ledger in &state.ledgers {
            apply_result = Some(ledger.apply(offset, &record));
        }
        Appended {
            offset,
            apply_result: apply_result.expect("an instance follows the log"),
        }
    }

    /// Appends a revision of the service document, based on the given revision.
    pub(crate) fn publish(&self, base_revision: u64, document: &str) {
        let appended = self.append_now(
            "operator",
            1,
            Body::ServiceRevision(ServiceRevision {
                service: "desk".to_owned(),
                base_revision,
                document: document.to_owned(),
            }),
        );
        assert!(
            appended.apply_result.is_accepted(),
            "{:?}",
            appended.apply_result
        );
    }

    /// Returns a log writer for an instance, which waits while the log is unavailable.
    fn writer(&self, name: &str, incarnation: u64) -> LogWriter {
        let log = self.clone();
        let writer: Arc<str> = name.into();
        LogWriter::new(Arc::clone(&writer), incarnation, move |body| {
            let log = log.clone();
            let writer = Arc::clone(&writer);
            Box::pin(async move {
                let mut available = log.available.subscribe();
                let _ = available.wait_for(|available| *available).await;
                Ok(log.append_now(&writer, incarnation, body))
            })
        })
    }
}

/// An entry instance in this process.
pub(crate) struct Entry {
    pub(crate) url: String,
    pub(crate) context: EntryContext,
    pub(crate) ledger: LedgerHandle,
    pub(crate) targets: TargetTable,
    /// Usage that the instance has recorded.
    pub(crate) usage: Arc<Mutex<Vec<UsageEntry>>>,
    /// Whether the instance knows the newest API keys, so that it may serve keyed
    /// requests.
    pub(crate) may_serve_keyed: Arc<AtomicBool>,
    /// Whether the instance considers its peers live.
    pub(crate) peers_live: Arc<AtomicBool>,
    pub(crate) stop: CancellationToken,
    pub(crate) serving: Option<JoinHandle<std::io::Result<()>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        if let Some(serving) = &self.serving {
            serving.abort();
        }
    }
}

/// Simulated targets, shared by the instances of a test.
#[derive(Default)]
pub(crate) struct Targets {
    pub(crate) engines: Vec<Engine>,
    pub(crate) plains: Vec<PlainService>,
    /// Kind and address of further targets, which the test itself runs.
    pub(crate) others: Vec<(&'static str, SocketAddr)>,
}

impl Targets {
    /// Starts the given numbers of engines and plain services.
    pub(crate) async fn start(engines: usize, plains: usize) -> Self {
        let mut targets = Self::default();
        for index in 0..engines {
            targets.add_engine(engine_options(index)).await;
        }
        for _ in 0..plains {
            let plain = PlainService::start(any_address(), PlainFaults::default());
            targets.plains.push(plain.await.unwrap());
        }
        targets
    }

    pub(crate) async fn add_engine(&mut self, options: EngineOptions) {
        let engine = Engine::start(any_address(), options).await.unwrap();
        self.engines.push(engine);
    }

    /// Returns the targets as the platform would list them.
    pub(crate) fn listed(&self) -> Vec<PlatformTarget> {
        let mut listed = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            listed.push(listed_target(
                format!("engine-{index}"),
                "engine",
                engine.addr(),
            ));
        }
        for (index, plain) in self.plains.iter().enumerate() {
            listed.push(listed_target(format!("desk-{index}"), "desk", plain.addr()));
        }
        for (index, (kind, address)) in self.others.iter().enumerate() {
            listed.push(listed_target(
                format!("{kind}-other-{index}"),
                kind,
                *address,
            ));
        }
        listed
    }
}

/// Returns the options of the engine `engine-INDEX`, which has loaded [`MODEL`] and
/// runs ten times as fast as real time.
pub(crate) fn engine_options(index: usize) -> EngineOptions {
    EngineOptions::default()
        .with_name(&format!("engine-{index}"))
        .with_model(MODEL, "1")
        .with_time_scale(10.0)
}

pub(crate) fn listed_target(name: String, kind: &str, address: SocketAddr) -> PlatformTarget {
    PlatformTarget {
        name: name.into(),
        kind: kind.into(),
        failure_domain: "a".into(),
        address: address.to_string().into(),
        state: TargetState::Live,
        leaves_in_ms: None,
    }
}

pub(crate) fn role_of(kind: &str) -> Option<KindRole> {
    match kind {
        "engine" => Some(KindRole::Engine),
        _ => Some(KindRole::Plain),
    }
}

/// Returns the settings of an instance. `extra` is appended to the YAML text.
pub(crate) fn settings(name: &str, extra: &str) -> Settings {
    let text = format!(
        "name: {name}
failure_domain: a
entry_address: 127.0.0.1:1001
peer_address: 127.0.0.1:1002
admin_address: 127.0.0.1:1003
platform:
  log_url: http://127.0.0.1:1
  live_url: http://127.0.0.1:1
  targets_url: http://127.0.0.1:1
  usage_url: http://127.0.0.1:1
{extra}"
    );
    Settings::parse(&text, std::path::Path::new("entry.yaml")).unwrap()
}

/// Starts an instance with the given log and targets, and default settings.
pub(crate) async fn start_entry(log: &MemoryLog, name: &str, targets: &Targets) -> Entry {
    start_entry_with(log, settings(name, ""), targets).await
}

/// Starts an instance with the given log, settings and targets.
pub(crate) async fn start_entry_with(
    log: &MemoryLog,
    settings: Settings,
    targets: &Targets,
) -> Entry {
    let ledger = log.follow();
    let table = TargetTable::new();
    table.observe_list(targets.listed(), role_of);
    let http = http_client().unwrap();
    let client = EngineClient::new(http.clone());
    for target in targets.listed() {
        if &*target.kind == "engine"
            && let Ok(state) = client.state(&target.address).await
        {
            table.observe_state(&target.name, state);
        }
    }
    let poll = tokio::spawn(poll_engines(table.clone(), client, targets.listed()));
    let usage = Arc::new(Mutex::new(Vec::new()));
    let may_serve_keyed = Arc::new(AtomicBool::new(true));
    let peers_live = Arc::new(AtomicBool::new(true));
    let mut peers = PeerCallbacks::none();
    peers.may_serve_keyed = Arc::new({
        let may_serve_keyed = Arc::clone(&may_serve_keyed);
        move || may_serve_keyed.load(Ordering::SeqCst)
    });
    peers.is_live = Arc::new({
        let peers_live = Arc::clone(&peers_live);
        move |_, _| peers_live.load(Ordering::SeqCst)
    });
    let writer = log.writer(&settings.name, 1);
    let recorded = Arc::clone(&usage);
    let settings = Arc::new(settings);
    let context = EntryBuilder::new(settings, ledger.clone(), writer, table.clone(), http)
        .peers(peers)
        .usage(move |entry| recorded.lock().unwrap().push(entry))
        .build();
    let listener = TcpListener::bind(any_address()).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let stop = CancellationToken::new();
    let serving = tokio::spawn(serve(context.clone(), listener, stop.clone()));
    Entry {
        url,
        context,
        ledger,
        targets: table,
        usage,
        may_serve_keyed,
        peers_live,
        stop,
        serving: Some(serving),
        tasks: vec![poll],
    }
}

/// Updates the table with the engines' states until the task is aborted.
async fn poll_engines(table: TargetTable, client: EngineClient, targets: Vec<PlatformTarget>) {
    loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        for target in &targets {
            if &*target.kind != "engine" {
                continue;
            }
            if let Ok(state) = client.state(&target.address).await {
                table.observe_state(&target.name, state);
            }
        }
    }
}

/// Polls a condition until it is true. Panics with `what`, a description of the
/// condition, after [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("timed out: {what}"));
}

/// Returns an HTTP client that uses no proxy.
pub(crate) fn caller() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

/// Returns the prompt that engines receive for a chat with one user message.
pub(crate) fn chat_prompt(text: &str) -> String {
    format!("<|user|>\n{text}\n<|assistant|>\n")
}

/// Returns the text that the engines generate for a prompt.
pub(crate) fn expected_text(prompt: &str, tokens: u32) -> String {
    use lavenderwind::standin::engine::expected_token;
    (0..tokens)
        .map(|index| expected_token(prompt, index))
        .collect()
}

/// Returns the value of the outcome header, or an empty string.
pub(crate) fn outcome(response: &reqwest::Response) -> String {
    let value = response.headers().get("lavenderwind-outcome");
    value.map_or(String::new(), |v| v.to_str().unwrap().to_owned())
}

/// Streamed response as received by a caller.
#[derive(Debug, Default)]
pub(crate) struct Streamed {
    /// Data of the events, in order.
    pub(crate) events: Vec<String>,
    /// Whether the connection ended without an error.
    pub(crate) ended_without_error: bool,
}

impl Streamed {
    /// Reads a streamed response until it ends or its connection breaks.
    pub(crate) async fn read(mut response: reqwest::Response) -> Self {
        let mut text = String::new();
        let ended_without_error = loop {
            match response.chunk().await {
                Ok(Some(chunk)) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let mut events = Vec::new();
        for event in text.split("\n\n") {
            if let Some(data) = event.strip_prefix("data: ") {
                events.push(data.to_owned());
            }
        }
        Self {
            events,
            ended_without_error,
        }
    }

    /// Returns the parsed events, without the final `[DONE]`.
    pub(crate) fn bodies(&self) -> Vec<serde_json::Value> {
        let bodies = self.events.iter().filter(|data| *data != "[DONE]");
        bodies
            .map(|data| serde_json::from_str(data).unwrap())
            .collect()
    }

    /// Returns the generated text of all events.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        for body in self.bodies() {
            let choice = &body["choices"][0];
            let piece = choice["delta"]["content"].as_str();
            text.push_str(piece.or(choice["text"].as_str()).unwrap_or_default());
        }
        text
    }

    /// Whether the stream ended with `[DONE]`.
    pub(crate) fn is_done(&self) -> bool {
        self.events.last().is_some_and(|data| data == "[DONE]")
    }
}

/// Sends a chat request with one user message.
pub(crate) async fn send_chat(
    entry: &Entry,
    key: &str,
    text: &str,
    max_tokens: u32,
    stream: bool,
) -> reqwest::Response {
    let body = serde_json::json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    let request = caller().post(format!("{}/v1/chat/completions", entry.url));
    request.bearer_auth(key).json(&body).send().await.unwrap()
}

/// Sends a `POST` request with the key of `mill` and an optional idempotency key.
pub(crate) async fn send_order(
    entry: &Entry,
    path: &str,
    idempotency_key: Option<&str>,
    body: &str,
) -> reqwest::Response {
    let mut request = caller().post(format!("{}{path}", entry.url));
    if let Some(idempotency_key) = idempotency_key {
        request = request.header("idempotency-key", idempotency_key);
    }
    let request = request.bearer_auth(MILL_KEY).body(body.to_owned());
    request.send().await.unwrap()
}

/// Returns the error code of a response, after checking the form of the body and
/// that its outcome matches the header.
pub(crate) async fn error_code(response: reqwest::Response) -> String {
    let header = outcome(&response);
    let body: serde_json::Value = response.json().await.unwrap();
    let error = &body["error"];
    assert!(error["message"].is_string(), "{body}");
    assert!(error["type"].is_string(), "{body}");
    assert_eq!(error["outcome"], header, "{body}");
    error["code"].as_str().unwrap().to_owned()
}
