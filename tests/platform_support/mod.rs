//! Stand-ins for the users' platform over loopback: its store, its API for
//! duties and its workers.

#![allow(dead_code, unreachable_pub)]

use std::{
    collections::VecDeque,
    convert::Infallible,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body as _, Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use lavenderwind::{gateway::Listeners, settings::GatewaySettings};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    runtime::Runtime,
    sync::{Notify, oneshot},
    task::{AbortHandle, JoinHandle},
    time::{Instant, sleep, sleep_until, timeout},
};

/// Time limit of waits, so that a failing test does not hang.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// Time limit of requests in [`patient_configuration`]. It is far above [`DEADLINE`].
pub const PATIENT_TIMEOUT: Duration = Duration::from_secs(120);

pub type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Waits until a condition holds; panics after [`DEADLINE`].
pub async fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let poll = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(
        timeout(DEADLINE, poll).await.is_ok(),
        "timed out waiting until {what}"
    );
}

/// Returns a body that is sent at once.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn status(code: u16, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(code).unwrap();
    response
}

/// HTTP server that runs until it is dropped.
pub struct TestServer {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl TestServer {
    /// Returns a handle that stops the server at once, as a crash does.
    pub fn abort_handle(&self) -> AbortHandle {
        self.task.abort_handle()
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves HTTP on a free port. `answer` returns the answer to a request, or `None` to
/// close the connection without an answer.
pub async fn serve<F, R>(answer: F) -> TestServer
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Option<Response<AnswerBody>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let answering = answer(request);
                    // An error makes hyper close the connection without an
                    // answer.
                    async move { answering.await.ok_or(std::io::Error::other("no answer")) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    TestServer { address, task }
}

/// Fault that the stand-in store injects into a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreFault {
    /// Answers with a status and does not execute the call.
    Status(u16),
    /// Executes the call and closes the connection without an answer.
    LostAnswer,
    /// Never answers and does not execute the call.
    NoAnswer,
    /// Answers with an invalid body and does not execute the call.
    Malformed,
    /// Sends this many bytes of an answer, and closes the connection.
    CutAnswer(usize),
}

#[derive(Clone, Debug, Default)]
struct Topic {
    records: Vec<Option<Bytes>>,
    first: u64,
}

/// Copy of all records of a store.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    topics: IndexMap<String, Topic>,
}

impl StoreCopy {
    /// Removes all records of a topic.
    pub fn remove_topic(&mut self, topic: &str) {
        self.topics.swap_remove(topic);
    }
}

#[derive(Debug, Default)]
pub struct StoreState {
    topics: IndexMap<String, Topic>,
    /// Number of restores so far; answers carry it.
    pub era: u64,
    /// Faults to inject, in this order. The first fault is injected into the next call
    /// whose path contains the fault's text.
    pub faults: VecDeque<(&'static str, StoreFault)>,
    pub calls: Vec<String>,
    /// Whether calls that arrive are never answered nor executed.
    pub silent: bool,
    /// Whether calls that arrive are answered with status 503 and not executed.
    pub unavailable: bool,
    /// Rate at which answers to reads are delivered, all callers together, in bytes per
    /// second; `None` if it is unlimited.
    pub read_rate: Option<f64>,
    /// When the answers to all reads that have arrived are delivered.
    reads_done_at: Option<Instant>,
}

impl StoreState {
    /// Appends a record; returns its offset.
    pub fn put(&mut self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push(Some(record.freeze()));
        topic.records.len() as u64 - 1
    }

    /// Trims a topic: reads from an offset below `before` fail; the newest
    /// record of each key stays available.
    pub fn trim(&mut self, topic: &str, before: u64) {
        self.topics.get_mut(topic).unwrap().first = before;
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: self.topics.clone(),
        }
    }

    /// Replaces all records by those of a copy, so that later records are lost and their
    /// offsets are given out again.
    pub fn restore(&mut self, copy: StoreCopy) {
        self.topics = copy.topics;
        self.era += 1;
    }

    /// Returns the newest value of each key, with its offset.
    pub fn newest(&self, topic: &str) -> IndexMap<String, (u64, Bytes)> {
        let mut newest = IndexMap::new();
        let Some(topic) = self.topics.get(topic) else {
            return newest;
        };
        for (offset, record) in topic.records.iter().enumerate() {
            let mut record = record.clone().unwrap();
            let length = record.get_u8() as usize;
            let key = String::from_utf8(record.split_to(length).to_vec()).unwrap();
            if record.is_empty() {
                newest.swap_remove(&key);
            } else {
                newest.insert(key, (offset as u64, record));
            }
        }
        newest
    }

    /// Adds an answer to the queue of deliveries, and returns when it is delivered. An
    /// answer takes its time also if its caller no longer waits for it.
    fn queue_delivery(&mut self, bytes: u64) -> Instant {
        let now = Instant::now();
        let Some(rate) = self.read_rate else {
            return now;
        };
        let starts_at = self.reads_done_at.map_or(now, |at| at.max(now));
        let done_at = starts_at + Duration::from_secs_f64(bytes as f64 / rate);
        self.reads_done_at = Some(done_at);
        done_at
    }

    fn end(&self, topic: &str) -> u64 {
        self.topics
            .get(topic)
            .map_or(0, |topic| topic.records.len() as u64)
    }
}

/// Stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    pub state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    server: Arc<TestServer>,
}

impl Store {
    pub async fn start() -> Self {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let changed = Arc::new(Notify::new());
        let (answer_state, answer_changed) = (state.clone(), changed.clone());
        let server = serve(move |request| {
            answer_store(answer_state.clone(), answer_changed.clone(), request)
        })
        .await;
        Self {
            state,
            changed,
            server: Arc::new(server),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Appends a record; [`Value::Null`] deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let value = match value {
            Value::Null => Vec::new(),
            value => value.to_string().into_bytes(),
        };
        self.state.lock().unwrap().put(topic, key, &value);
        self.changed.notify_waiters();
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> StoreCopy {
        self.state.lock().unwrap().copy()
    }

    /// Replaces all records by those of a copy; see [`StoreState::restore`].
    pub fn restore(&self, copy: &StoreCopy) {
        self.state.lock().unwrap().restore(copy.clone());
        self.changed.notify_waiters();
    }

    /// Waits until an instance has applied all records of a topic, if only one follows it: it
    /// asks for later records then.
    pub async fn wait_until_applied(&self, topic: &str) {
        let what = format!("the records of {topic} are applied");
        eventually(&what, || {
            let state = self.state.lock().unwrap();
            let topic_field = format!("\"topic\": \"{topic}\"");
            let from_field = format!("\"from\": \"{}\"", state.end(topic));
            let is_later_read = |call: &String| {
                call.starts_with("/log-read")
                    && call.contains(&topic_field)
                    && call.contains(&from_field)
            };
            state.calls.iter().any(is_later_read)
        })
        .await;
    }

    /// Injects a fault into the next call whose path contains `path`.
    pub fn fault(&self, path: &'static str, fault: StoreFault) {
        self.state.lock().unwrap().faults.push_back((path, fault));
    }
}

async fn answer_store(
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    request: Request<Incoming>,
) -> Option<Response<AnswerBody>> {
    let path = request.uri().path().to_owned();
    let url = reqwest::Url::parse(&format!("http://store{}", request.uri())).ok()?;
    let query: IndexMap<String, String> = url.query_pairs().into_owned().collect();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let fault = {
        let mut state = state.lock().unwrap();
        state.calls.push(format!("{path}?{query:?}"));
        match state.faults.front() {
            _ if state.silent => Some(("", StoreFault::NoAnswer)),
            _ if state.unavailable => Some(("", StoreFault::Status(503))),
            Some((path_part, _)) if path.contains(path_part) => state.faults.pop_front(),
            _ => None,
        }
    };
    match fault.map(|(_, fault)| fault) {
        Some(StoreFault::Status(code)) => return Some(status(code, "{}")),
        Some(StoreFault::Malformed) => return Some(status(200, "<html>")),
        Some(StoreFault::NoAnswer) => std::future::pending().await,
        Some(StoreFault::CutAnswer(bytes)) => return Some(cut_answer(bytes)),
        Some(StoreFault::LostAnswer) => {
            execute(&state, &path, &query, body);
            changed.notify_waiters();
            return None;
        }
        None => {}
    }
    if path == "/log-read" {
        let wait_ms = query.get("wait_ms").map_or(0, |wait| wait.parse().unwrap());
        let from: u64 = query["from"].parse().unwrap();
        let topic = query["topic"].clone();
        let arrival = async {
            loop {
                let notified = changed.notified();
                if state.lock().unwrap().end(&topic) != from {
                    return;
                }
                notified.await;
            }
        };
        let _ = timeout(Duration::from_millis(wait_ms), arrival).await;
    }
    let response = execute(&state, &path, &query, body);
    changed.notify_waiters();
    if path != "/log-append" {
        let bytes = response.body().size_hint().exact().unwrap_or(0);
        let delivered_at = state.lock().unwrap().queue_delivery(bytes);
        sleep_until(delivered_at).await;
    }
    Some(response)
}

/// Returns an answer whose body breaks off after this many bytes.
fn cut_answer(bytes: usize) -> Response<AnswerBody> {
    let sent = Ok(Frame::data(vec![b' '; bytes].into()));
    let cut = async {
        // The server flushes the bytes only when no further frame is ready.
        sleep(Duration::from_millis(5)).await;
        Err(std::io::Error::other("answer cut"))
    };
    let frames = futures_util::stream::once(async { sent });
    let body = StreamBody::new(frames.chain(futures_util::stream::once(cut)));
    Response::new(body.boxed_unsync())
}

/// Executes a call, and names the store's era in the answer.
fn execute(
    state: &Mutex<StoreState>,
    path: &str,
    query: &IndexMap<String, String>,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut state = state.lock().unwrap();
    let mut response = execute_call(&mut state, path, query, body);
    let era = state.era.to_string().parse().unwrap();
    response.headers_mut().insert("store-era", era);
    response
}

fn execute_call(
    state: &mut StoreState,
    path: &str,
    query: &IndexMap<String, String>,
    mut body: Bytes,
) -> Response<AnswerBody> {
    let name = &query["topic"];
    let end = state.end(name);
    match path {
        "/log-append" => {
            if query.get("at").is_some_and(|at| *at != end.to_string()) {
                return status(412, json!({"end_offset": end}).to_string());
            }
            let topic = state.topics.entry(name.clone()).or_default();
            let mut appended = 0;
            while body.has_remaining() {
                let length = body.get_u32() as usize;
                topic.records.push(Some(body.split_to(length)));
                appended += 1;
            }
            status(
                200,
                json!({"offset": end, "end_offset": end + appended}).to_string(),
            )
        }
        "/log-read" => {
            let from: u64 = query["from"].parse().unwrap();
            let first = state.topics.get(name).map_or(0, |topic| topic.first);
            if from < first || from > end {
                return status(410, json!({"first_offset": first}).to_string());
            }
            let mut bytes = BytesMut::new();
            bytes.put_u64(end);
            bytes.put_u64(first);
            let records = state
                .topics
                .get(name)
                .map_or(&[][..], |topic| &topic.records);
            for record in records.iter().skip(from as usize) {
                let record = record.as_ref().unwrap();
                bytes.put_u32(record.len() as u32);
                bytes.put_slice(record);
            }
            status(200, bytes.freeze())
        }
        "/log-newest" => {
            let after = query.get("after").cloned().unwrap_or_default();
            let mut newest: Vec<_> = state.newest(name).into_iter().collect();
            newest.sort();
            newest.retain(|(key, _)| **key > *after);
            // A page has two records, so that tests cover reads of several pages.
            let more = newest.len() > 2;
            newest.truncate(2);
            let items: Vec<Value> = newest
                .into_iter()
                .map(|(key, (offset, value))| {
                    json!({"key": key, "offset": offset, "value": STANDARD.encode(value)})
                })
                .collect();
            let page = json!({"items": items, "more": more, "end_offset": end});
            status(200, page.to_string())
        }
        _ => status(404, "{}"),
    }
}

/// Call that a duty made to the platform's API.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
    /// When the call arrived.
    pub at: Instant,
}

/// Stand-in for the platform's API for duties, which records all calls.
pub struct Cloud {
    pub calls: Arc<Mutex<Vec<DutyCall>>>,
    pub answer_code: Arc<Mutex<u16>>,
    pub server: TestServer,
}

impl Cloud {
    pub async fn start() -> Self {
        let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let answer_code = Arc::new(Mutex::new(200));
        let (received, code) = (calls.clone(), answer_code.clone());
        let server = serve(move |request| {
            let (received, code) = (received.clone(), code.clone());
            async move {
                let path = request.uri().path().to_owned();
                let headers = request.headers().clone();
                let text = |name: &str| headers[name].to_str().unwrap().to_owned();
                let (holder, fence) = (text("duty-holder"), text("fencing-token"));
                let body = request.into_body().collect().await.ok()?.to_bytes();
                received.lock().unwrap().push(DutyCall {
                    path,
                    holder,
                    fence: fence.parse().unwrap(),
                    body: serde_json::from_slice(&body).unwrap(),
                    at: Instant::now(),
                });
                let code = *code.lock().unwrap();
                Some(status(code, "{}"))
            }
        })
        .await;
        Self {
            calls,
            answer_code,
            server,
        }
    }
}

/// Request, as received by a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Arrival {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Answer of a worker; `None` closes the connection.
pub type WorkerAnswer = Option<Response<AnswerBody>>;

/// Stand-in for a worker, the platform's name for a target. Answers each request with
/// the result of a function.
pub struct Worker {
    pub id: String,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub server: TestServer,
}

impl Worker {
    pub async fn start<F>(id: &str, answer: F) -> Self
    where
        F: Fn(&Arrival) -> WorkerAnswer + Clone + Send + Sync + 'static,
    {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let received = arrivals.clone();
        let server = serve(move |request| {
            let (received, answer) = (received.clone(), answer.clone());
            async move {
                let (parts, body) = request.into_parts();
                let arrival = Arrival {
                    method: parts.method,
                    path: parts.uri.to_string(),
                    headers: parts.headers,
                    body: body.collect().await.ok()?.to_bytes(),
                };
                received.lock().unwrap().push(arrival.clone());
                answer(&arrival)
            }
        })
        .await;
        Self {
            id: id.to_owned(),
            arrivals,
            server,
        }
    }

    /// Returns the worker's entry for the list of targets.
    pub fn entry(&self, service: &str, role: Option<&str>) -> Value {
        let mut entry = json!({
            "service": service, "address": self.server.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 0,
            "born": 1_700_000_000_000u64,
        });
        if let Some(role) = role {
            entry["stage"] = json!(role);
        }
        entry
    }

    /// Returns the number of received requests.
    pub fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }
}

/// Returns a signed answer to a request.
pub fn signed(arrival: &Arrival, code: u16, body: &str) -> Response<AnswerBody> {
    let mut response = status(code, body.to_owned());
    let headers = response.headers_mut();
    // Calls that the gateway itself makes, such as the release of a KV cache,
    // have no identifier.
    if let Some(id) = arrival.headers.get("request-id") {
        headers.insert("request-id", id.clone());
    }
    headers.insert("response-seal", "1.2.3".parse().unwrap());
    response
}

/// Returns an answer that states that the request was not run.
pub fn not_run(arrival: &Arrival) -> Response<AnswerBody> {
    let mut response = signed(arrival, 503, "");
    response.headers_mut().remove("response-seal");
    response
        .headers_mut()
        .insert("not-executed", "1".parse().unwrap());
    response
}

/// Returns a signed stream of chunks; an `Err` chunk breaks the stream.
pub fn stream(arrival: &Arrival, chunks: Vec<Result<&'static str, ()>>) -> Response<AnswerBody> {
    let chunks = futures_util::stream::unfold(chunks.into_iter(), async |mut chunks| {
        let chunk = chunks.next()?;
        // The server flushes earlier chunks only when no further chunk is
        // ready.
        sleep(Duration::from_millis(5)).await;
        let frame = match chunk {
            Ok(text) => Ok(Frame::data(Bytes::from_static(text.as_bytes()))),
            Err(()) => Err(std::io::Error::other("stream broken off")),
        };
        Some((frame, chunks))
    });
    let mut response = signed(arrival, 200, "");
    *response.body_mut() = StreamBody::new(chunks).boxed_unsync();
    response
}

/// Returns the configuration of the tests, with a route of each kind.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 3000, "target_latency_ms": 500, "priority": 2,
            "service": service, "max_attempts": 2, "anonymous": false,
            "sticky": kind == "streaming", "resumable": name == "chat",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("order", "unsafe", "desk"), route("look", "safe", "desk"),
            route("chat", "streaming", "models"), route("once", "streaming", "models"),
        ],
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 100},
            {"name": "models", "health_path": "/health", "max_conns": 100,
             "engine": {"slots": 64, "kv_tokens": 500_000, "switch_s": 3.0, "handle_ttl_s": 5.0}},
        ],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536,
                   "header_timeout_ms": 2000, "idle_timeout_ms": 10_000},
        "tenants": [{"name": "mill", "api_keys": ["key-1"]}],
    })
}

/// Returns the configuration of the tests, with time limits of requests that no test reaches,
/// however busy the machine is.
pub fn patient_configuration(version: u64) -> Value {
    let mut configuration = configuration(version);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(PATIENT_TIMEOUT.as_millis() as u64);
        route["target_latency_ms"] = json!(PATIENT_TIMEOUT.as_millis() as u64);
    }
    configuration
}

/// Gateway under test. It runs in a runtime of its own, so that it can be killed with all
/// its tasks.
pub struct Gateway {
    pub url: String,
    pub readiness_url: String,
    pub metrics_address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    pub task: JoinHandle<lavenderwind::gateway::Result<()>>,
    runtime: Option<Runtime>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Gateway {
    pub async fn start(name: &str, store: &Store, cloud: &Cloud) -> Self {
        Self::start_with(name, store, cloud, "").await
    }

    /// Starts a gateway with further settings, in YAML.
    pub async fn start_with(name: &str, store: &Store, cloud: &Cloud, more: &str) -> Self {
        Self::start_at(name, store.address(), cloud.server.address, more).await
    }

    /// Starts a gateway that reaches the store and the platform's API at these addresses. It
    /// reports usage, unless `more` sets other duties. `more` may set other times.
    pub async fn start_at(name: &str, store: SocketAddr, cloud: SocketAddr, more: &str) -> Self {
        let free = "127.0.0.1:0";
        let duties = match more.contains("duties:") {
            true => "",
            false => "duties: {usage: true}",
        };
        let timing = match more.contains("timing:") {
            true => "",
            false => "timing: {lease_ms: 900, usage_window_ms: 1000, stop_ms: 4000}",
        };
        let text = format!(
            "name: {name}\nfailure_domain: z1\ncaller_address: {free}\n\
             readiness_address: {free}\npeer_address: {free}\nmetrics_address: {free}\n\
             store_address: {store}\ncloud_address: {cloud}\n{duties}\n\
             {timing}\n{more}\n"
        );
        let path = Path::new("gateway.yaml");
        let settings = GatewaySettings::parse(&text, path).unwrap();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(name)
            .enable_all()
            .build()
            .unwrap();
        let bound = settings.clone();
        let binding = runtime.spawn(async move { Listeners::bind(&bound).await });
        let listeners = binding.await.unwrap().unwrap();
        let url = format!("http://{}", listeners.caller_address().unwrap());
        let readiness_url = format!("http://{}/ready", listeners.readiness_address().unwrap());
        let metrics_address = listeners.metrics_address().unwrap();
        let (stop, stopped) = oneshot::channel();
        let running = lavenderwind::gateway::run(settings, path.to_owned(), listeners, async {
            let _ = stopped.await;
        });
        let task = runtime.spawn(running);
        Self {
            url,
            readiness_url,
            metrics_address,
            stop: Some(stop),
            task,
            runtime: Some(runtime),
        }
    }

    /// Ends all tasks of the gateway at once.
    pub fn kill(self) {
        drop(self);
    }

    /// Returns whether the gateway reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let response = reqwest::get(&self.readiness_url).await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Waits until the gateway reports that it is ready.
    pub async fn wait_until_ready(&self) {
        let poll = async {
            while !self.is_ready().await {
                sleep(Duration::from_millis(10)).await;
            }
        };
        assert!(
            timeout(DEADLINE, poll).await.is_ok(),
            "gateway did not become ready"
        );
    }

    /// Waits until the gateway knows a target of the route `look` that takes requests.
    pub async fn wait_until_served(&self) {
        let poll = async {
            loop {
                let request = self.request(Method::GET, "/look/", "r-poll");
                if request.send().await.unwrap().status() == 200 {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(DEADLINE, poll).await.expect("no request is served");
    }

    /// Keeps the gateway's thread busy, as a lack of processor time does. Returns once it is
    /// busy.
    pub async fn keep_busy(&self, time: Duration) {
        let (begin, begun) = oneshot::channel();
        let runtime = self.runtime.as_ref().unwrap();
        runtime.spawn(async move {
            begin.send(()).unwrap();
            std::thread::sleep(time);
        });
        begun.await.unwrap();
    }

    /// Begins a graceful stop. Returns once the gateway has noticed it, so that what is sent
    /// afterwards reaches a stopping instance, however busy the machine is.
    pub async fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        // The runtime's only worker polls tasks woken from other threads in the order in
        // which they were woken: the gateway before this task.
        let marker = self.runtime.as_ref().unwrap().spawn(async {});
        marker.await.unwrap();
    }

    /// Creates a caller's request with a valid API key and a deadline of 3 s.
    pub fn request(&self, method: Method, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.request_within(Duration::from_secs(3), method, path, id)
    }

    /// Creates a caller's request with a valid API key and a deadline.
    pub fn request_within(
        &self,
        time: Duration,
        method: Method,
        path: &str,
        id: &str,
    ) -> reqwest::RequestBuilder {
        reqwest::Client::new()
            .request(method, format!("{}{path}", self.url))
            .header("host", "desk.example")
            .header("request-id", id)
            .header("deadline-ms", time.as_millis().to_string())
            .header("authorization", "Token key-1")
    }
}
