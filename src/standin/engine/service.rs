//! HTTP interface of the engine stand-in.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures_util::stream;
use salvo::{
    conn::ConnCtrl,
    handler,
    http::{Request, Response, StatusCode, header::CONTENT_TYPE, header::HeaderValue},
};
use serde::Deserialize;
use tokio::{
    sync::{Notify, mpsc},
    time::sleep,
};

use super::{
    core::{Core, ReceivedOrder},
    options::EngineFaults,
};
use crate::{
    infra::protocol::WeightFetch,
    standin::{
        faults::AnswerLoss,
        http::{path_segments, read_json, write_error, write_json},
    },
    sync,
    target::protocol::{EngineAction, EngineOrderRequest, GenerateRequest, KvTransfer},
};

/// Delay before a failed weight fetch is retried, in milliseconds.
const FETCH_RETRY_MS: u64 = 200;
/// Timeout of a KV export or a weight fetch, in milliseconds.
const TRANSFER_TIMEOUT_MS: u64 = 60_000;

/// Body of `PUT /power`.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Power {
    /// Whether the stand-in is switched on and accepts requests.
    pub(crate) on: bool,
}

/// Shared state of an engine stand-in and its request handler.
#[derive(Clone, Debug)]
pub(super) struct EngineService {
    core: Arc<Mutex<Core>>,
    answer_loss: Arc<Mutex<AnswerLoss>>,
    /// Wakes the batch loop.
    pub(super) work: Arc<Notify>,
    /// Triggers a crash of the engine.
    pub(super) crash: Arc<Notify>,
    /// Triggers a stop of the HTTP server.
    pub(super) stop: Arc<Notify>,
    http: reqwest::Client,
}

#[handler]
impl EngineService {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let path = path_segments(req);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        if path == ["faults"] {
            return self.replace_faults(req, res).await;
        }
        if path == ["power"] {
            return self.switch_power(req, res).await;
        }
        let faults = self.lock().faults.http;
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage || !self.lock().on {
            return conn.abort();
        }
        self.route(&path, req, res).await;
        if path == ["orders"] && self.lose_answer() {
            conn.abort();
        }
    }
}

impl EngineService {
    /// Returns the request handler for an engine's state.
    pub(super) fn new(core: Core) -> Self {
        Self {
            core: Arc::new(Mutex::new(core)),
            answer_loss: Arc::default(),
            work: Arc::default(),
            crash: Arc::default(),
            stop: Arc::default(),
            http: reqwest::Client::new(),
        }
    }

    /// Locks the engine's state.
    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        sync::lock(&self.core)
    }

    /// Replaces the injected faults.
    pub(super) fn set_faults(&self, faults: EngineFaults) {
        *self.lock_answer_loss() = AnswerLoss::new(&faults.http);
        self.lock().faults = faults;
        self.work.notify_one();
    }

    /// Returns all orders received, in order.
    pub(super) fn orders(&self) -> Vec<ReceivedOrder> {
        self.lock().received_orders.clone()
    }

    fn lock_answer_loss(&self) -> MutexGuard<'_, AnswerLoss> {
        sync::lock(&self.answer_loss)
    }

    fn lose_answer(&self) -> bool {
        self.lock_answer_loss().lose_next()
    }

    async fn replace_faults(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json(req, res).await {
            self.set_faults(faults);
            res.status_code(StatusCode::NO_CONTENT);
        }
    }

    async fn switch_power(&self, req: &mut Request, res: &mut Response) {
        let Some(power) = read_json::<Power>(req, res).await else {
            return;
        };
        let mut core = self.lock();
        if core.on != power.on {
            core.reboot();
        }
        core.on = power.on;
        res.status_code(StatusCode::NO_CONTENT);
    }

    async fn route(&self, path: &[&str], req: &mut Request, res: &mut Response) {
        let method = req.method().clone();
        match (method.as_str(), path) {
            ("POST", ["generate"]) => self.generate(req, res).await,
            ("DELETE", ["generate", request_id, attempt]) => {
                let attempt = attempt.parse().unwrap_or(0);
                self.lock().cancel(request_id, attempt);
                res.status_code(StatusCode::NO_CONTENT);
            }
            ("GET", ["state"]) => {
                let state = self.lock().state();
                write_json(res, StatusCode::OK, &state);
            }
            ("GET", ["cache-events"]) => {
                let from = req.query("from").unwrap_or(0);
                write_json(res, StatusCode::OK, &self.lock().cache_events(from));
            }
            ("POST", ["orders"]) => self.receive_order(req, res).await,
            ("GET", ["orders"]) => write_json(res, StatusCode::OK, &self.orders()),
            ("POST", ["kv", "export"]) => self.export_kv(req, res).await,
            ("POST", ["kv", "import"]) => self.import_kv(req, res).await,
            ("POST", ["crash"]) => {
                res.status_code(StatusCode::ACCEPTED);
                self.crash.notify_one();
            }
            _ => write_error(res, StatusCode::NOT_FOUND, "unknown path or method"),
        }
    }

    async fn generate(&self, req: &mut Request, res: &mut Response) {
        let Some(request) = read_json::<GenerateRequest>(req, res).await else {
            return;
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().submit(request, sender);
        self.work.notify_one();
        res.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        res.stream(stream::unfold(receiver, async |mut receiver| {
            let item = receiver.recv().await?;
            if item.is_err() {
                // The server flushes earlier chunks only when the body has
                // nothing ready. Without this yield, it would drop those
                // chunks when it receives the error.
                tokio::task::yield_now().await;
            }
            Some((item, receiver))
        }));
    }

    async fn receive_order(&self, req: &mut Request, res: &mut Response) {
        let Some(order) = read_json::<EngineOrderRequest>(req, res).await else {
            return;
        };
        let mut core = self.lock();
        if !core.receive_order(&order) {
            return write_error(res, StatusCode::CONFLICT, "outdated fencing token");
        }
        let boot = Arc::clone(core.boot());
        drop(core);
        tokio::spawn(self.clone().run_order(order, boot));
        res.status_code(StatusCode::ACCEPTED);
    }

    /// Waits for the duration of an accepted order's change and completes it.
    async fn run_order(self, order: EngineOrderRequest, boot: Arc<str>) {
        if let EngineAction::LoadModel { model, version, .. } = &order.action {
            self.fetch_weights(model, version).await;
        }
        let change_time = self.lock().change_time(&order.action);
        sleep(change_time).await;
        self.lock().finish_order(&order, &boot);
        self.work.notify_one();
    }

    /// Fetches a model's weights from the weight store, with unlimited retries.
    async fn fetch_weights(&self, model: &Arc<str>, version: &Arc<str>) {
        let options = self.lock().options.clone();
        if options.weights_url.is_empty() {
            return;
        }
        let fetch = WeightFetch {
            target: options.name,
            model: Arc::clone(model),
            version: Arc::clone(version),
        };
        let url = format!("{}/weights/fetch", options.weights_url);
        loop {
            let timeout = Duration::from_millis(TRANSFER_TIMEOUT_MS);
            let request = self.http.post(&url).timeout(timeout).json(&fetch);
            match request.send().await {
                Ok(response) if response.status().is_success() => return,
                Ok(_) | Err(_) => sleep(Duration::from_millis(FETCH_RETRY_MS)).await,
            }
        }
    }

    async fn export_kv(&self, req: &mut Request, res: &mut Response) {
        let Some(mut transfer) = read_json::<KvTransfer>(req, res).await else {
            return;
        };
        transfer.blocks = self.lock().cached_blocks(&transfer.blocks);
        if transfer.blocks.is_empty() {
            return write_error(res, StatusCode::NOT_FOUND, "none of the blocks is cached");
        }
        write_json(res, StatusCode::OK, &transfer);
    }

    async fn import_kv(&self, req: &mut Request, res: &mut Response) {
        let Some(transfer) = read_json::<KvTransfer>(req, res).await else {
            return;
        };
        let url = format!("http://{}/kv/export", transfer.source_address);
        let timeout = Duration::from_millis(TRANSFER_TIMEOUT_MS);
        let request = self.http.post(url).timeout(timeout).json(&transfer);
        let Ok(answer) = request.send().await else {
            return write_error(
                res,
                StatusCode::BAD_GATEWAY,
                "the source engine is unreachable",
            );
        };
        let Ok(exported) = answer.json::<KvTransfer>().await else {
            return write_error(
                res,
                StatusCode::NOT_FOUND,
                "the source engine has none of the blocks",
            );
        };
        let options = self.lock().options.clone();
        let blocks_per_s = f64::from(options.kv_blocks_per_s) * options.time_scale;
        let transfer_s = exported.blocks.len() as f64 / blocks_per_s;
        sleep(Duration::from_secs_f64(transfer_s)).await;
        if !self.lock().import_blocks(&exported.blocks) {
            return write_error(
                res,
                StatusCode::INSUFFICIENT_STORAGE,
                "not enough free KV blocks",
            );
        }
        write_json(res, StatusCode::OK, &exported);
    }
}
