//! Stand-in for a plain service, that is, a target that serves HTTP requests
//! other than inference.
//!
//! A `GET` is not recorded and returns 200; any other method records an
//! [`Execution`] and returns 201. `GET /executions` returns all executions,
//! `GET /headers` the names of all headers received, `PUT /faults` replaces the
//! [`PlainFaults`], and `PUT /power` switches the service on and off.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use indexmap::IndexSet;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use salvo::{
    conn::ConnCtrl,
    handler,
    http::{HeaderMap, Method, Request, Response, StatusCode},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{
    Result,
    engine::Power,
    http::{HttpServer, path_segments, read_body, read_json, write_json},
};
use crate::sync;

/// Header with the request identifier, which is returned in the response.
const REQUEST_ID: &str = "x-request-id";
/// Header with the idempotency key, which is the same for all attempts at an
/// operation.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Behaviour and injected faults of a plain service, which can be replaced at
/// run time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Duration of a call, in milliseconds.
    pub latency_ms: u64,
    /// Number of the next calls whose connection is aborted before they run.
    pub cut_before: u32,
    /// Number of the next calls whose connection is aborted after they ran.
    pub cut_after: u32,
    /// Probability that a call's connection is aborted after it ran.
    pub cut_after_probability: f64,
    /// Seed of the random number generator for `cut_after_probability`.
    pub seed: u64,
    /// Returns the identifier of another request in each response.
    pub wrong_request: bool,
    /// Closes each connection without running the request.
    pub outage: bool,
    /// Runs calls with the same idempotency key only once.
    pub deduplicates: bool,
}

/// One execution of a call other than a `GET`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Execution {
    /// Request identifier; empty if the request had none.
    pub request_id: Arc<str>,
    /// Idempotency key; empty if the request had none.
    pub idempotency_key: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
    /// Request body, as text.
    pub body: Arc<str>,
}

/// Response body of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlainAnswer {
    /// Path of the request.
    pub path: Arc<str>,
    /// Sequence number of the execution, from 1; 0 for a `GET`.
    pub execution: u64,
    /// Request body, as text.
    pub body: Arc<str>,
}

#[derive(Debug)]
struct State {
    faults: PlainFaults,
    rng: StdRng,
    /// Whether the service is switched on.
    on: bool,
    executions: Vec<Execution>,
    header_names: IndexSet<String>,
}

#[derive(Clone, Debug)]
struct PlainHandler {
    state: Arc<Mutex<State>>,
}

#[handler]
impl PlainHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let path = path_segments(req);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        match (req.method().as_str(), path.as_slice()) {
            ("PUT", ["faults"]) => {
                if let Some(faults) = read_json(req, res).await {
                    self.set_faults(faults);
                    res.status_code(StatusCode::NO_CONTENT);
                }
            }
            ("PUT", ["power"]) => {
                if let Some(power) = read_json::<Power>(req, res).await {
                    self.lock().on = power.on;
                    res.status_code(StatusCode::NO_CONTENT);
                }
            }
            ("GET", ["executions"]) => {
                write_json(res, StatusCode::OK, &self.lock().executions);
            }
            ("GET", ["headers"]) => {
                write_json(res, StatusCode::OK, &self.lock().header_names);
            }
            _ => self.serve_call(req, res, conn).await,
        }
    }
}

impl PlainHandler {
    fn lock(&self) -> MutexGuard<'_, State> {
        sync::lock(&self.state)
    }

    fn set_faults(&self, faults: PlainFaults) {
        let mut state = self.lock();
        state.rng = StdRng::seed_from_u64(faults.seed);
        state.faults = faults;
    }

    async fn serve_call(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let body = read_body(req).await.unwrap_or_default();
        let latency_ms = self.lock().faults.latency_ms;
        if self.aborts_before_run(req.headers()) {
            return conn.abort();
        }
        if latency_ms > 0 {
            sleep(Duration::from_millis(latency_ms)).await;
        }
        let answer = self.execute(req, body);
        if self.aborts_after_run() {
            return conn.abort();
        }
        let status = if answer.execution == 0 {
            StatusCode::OK
        } else {
            StatusCode::CREATED
        };
        write_json(res, status, &answer);
        let mut request_id = header(req.headers(), REQUEST_ID);
        if self.lock().faults.wrong_request {
            request_id = "another-request".into();
        }
        if let Ok(value) = request_id.parse() {
            res.headers_mut().insert(REQUEST_ID, value);
        }
    }

    /// Records the header names of a call, and returns whether its connection is
    /// aborted before it runs.
    fn aborts_before_run(&self, headers: &HeaderMap) -> bool {
        let mut state = self.lock();
        for name in headers.keys() {
            state.header_names.insert(name.as_str().to_owned());
        }
        if state.faults.outage || !state.on {
            return true;
        }
        let cut = state.faults.cut_before > 0;
        state.faults.cut_before -= u32::from(cut);
        cut
    }

    /// Decides whether the connection of a call that has run is aborted.
    fn aborts_after_run(&self) -> bool {
        let state = &mut *self.lock();
        if state.faults.cut_after > 0 {
            state.faults.cut_after -= 1;
            return true;
        }
        let probability = state.faults.cut_after_probability.clamp(0.0, 1.0);
        probability > 0.0 && state.rng.random_bool(probability)
    }

    /// Records the call unless it is a `GET`, and returns its response body.
    fn execute(&self, req: &Request, body: Bytes) -> PlainAnswer {
        let path: Arc<str> = req.uri().path().into();
        let body: Arc<str> = String::from_utf8_lossy(&body).into();
        let mut execution = 0;
        if req.method() != Method::GET {
            execution = self.record_execution(Execution {
                request_id: header(req.headers(), REQUEST_ID),
                idempotency_key: header(req.headers(), IDEMPOTENCY_KEY),
                path: Arc::clone(&path),
                body: Arc::clone(&body),
            });
        }
        PlainAnswer {
            path,
            execution,
            body,
        }
    }

    /// Returns the sequence number of the execution; with `deduplicates`, that of
    /// an earlier one with the same idempotency key.
    fn record_execution(&self, execution: Execution) -> u64 {
        let mut state = self.lock();
        let key = &execution.idempotency_key;
        if state.faults.deduplicates && !key.is_empty() {
            let mut known = state.executions.iter();
            if let Some(index) = known.position(|known| known.idempotency_key == *key) {
                return index as u64 + 1;
            }
        }
        state.executions.push(execution);
        state.executions.len() as u64
    }
}

/// A running stand-in for a plain service, which stops when dropped.
#[derive(Debug)]
pub struct PlainService {
    server: HttpServer,
    handler: PlainHandler,
}

impl PlainService {
    /// Starts a plain service on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, faults: PlainFaults) -> Result<Self> {
        let state = State {
            rng: StdRng::seed_from_u64(faults.seed),
            faults,
            on: true,
            executions: Vec::new(),
            header_names: IndexSet::new(),
        };
        let handler = PlainHandler {
            state: Arc::new(Mutex::new(state)),
        };
        let server = HttpServer::start(address, handler.clone()).await?;
        tracing::info!("standin: plain service listens on {}", server.address());
        Ok(Self { server, handler })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.handler.set_faults(faults);
    }

    /// Returns all executions of calls other than `GET`, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.handler.lock().executions.clone()
    }

    /// Returns the names of all request headers received, in lower case.
    pub fn header_names(&self) -> Vec<String> {
        self.handler.lock().header_names.iter().cloned().collect()
    }
}

fn header(headers: &HeaderMap, name: &str) -> Arc<str> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}
