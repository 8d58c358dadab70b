//! HTTP interface of the platform stand-in.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use prost::Message;
use salvo::{
    conn::ConnCtrl,
    handler,
    http::{Request, Response, StatusCode},
};
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout_at};

use super::{
    Group, PlatformFaults, ReceivedOrder, ReceivedUsage, UsageReportResult,
    fleet::{Fleet, PowerChange},
    live::LiveList,
    log::LogStore,
    usage::UsageSink,
};
use crate::{
    infra::protocol::{
        AppendRequest, AppendResponse, LiveInstance, PlatformTarget, TargetOrder, UsageReport,
        WeightFetch,
    },
    standin::{
        faults::{AnswerLoss, InterfaceFaults},
        http::{
            path_segments, read_body, read_json, write_bytes, write_error, write_json,
            write_tagged_json,
        },
    },
    sync,
};

/// Content type of protobuf bodies.
const PROTOBUF: &str = "application/x-protobuf";
/// Maximum number of records in a read that does not set `max`.
const DEFAULT_READ_RECORDS: usize = 1_000;

/// Body of `POST /targets/reclaim`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaim {
    /// Group of targets to withdraw.
    pub group: Group,
    /// Time until the targets are switched off, in milliseconds.
    pub notice_ms: u64,
}

/// An interface of the platform with its own injected faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Interface {
    Log,
    Live,
    Targets,
    Usage,
    Weights,
}

impl Interface {
    const ALL: [Self; 5] = [
        Self::Log,
        Self::Live,
        Self::Targets,
        Self::Usage,
        Self::Weights,
    ];

    /// Returns the interface to which a path belongs.
    fn of_path(path: &[&str]) -> Option<Self> {
        match *path.first()? {
            "log" => Some(Self::Log),
            "live" => Some(Self::Live),
            "targets" | "orders" => Some(Self::Targets),
            "usage" => Some(Self::Usage),
            "weights" => Some(Self::Weights),
            _ => None,
        }
    }

    fn faults(self, faults: &PlatformFaults) -> InterfaceFaults {
        match self {
            Self::Log => faults.log,
            Self::Live => faults.live,
            Self::Targets => faults.targets,
            Self::Usage => faults.usage,
            Self::Weights => faults.weights,
        }
    }
}

#[derive(Debug)]
struct State {
    faults: PlatformFaults,
    /// Decides which answers are lost, by interface in the order of
    /// [`Interface::ALL`].
    answer_losses: [AnswerLoss; Interface::ALL.len()],
    log: LogStore,
    live: LiveList,
    fleet: Fleet,
    usage: UsageSink,
    /// Starts of the weight fetches within the last minute.
    fetch_starts: Vec<Instant>,
}

/// Shared state of the platform stand-in and its request handler.
#[derive(Clone, Debug)]
pub(super) struct PlatformService {
    state: Arc<Mutex<State>>,
}

#[handler]
impl PlatformService {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let path = path_segments(req);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        if path == ["faults"] {
            return self.replace_faults(req, res).await;
        }
        let Some(interface) = Interface::of_path(&path) else {
            return write_error(res, StatusCode::NOT_FOUND, "unknown interface");
        };
        let faults = self.interface_faults(interface);
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if self.interface_faults(interface).outage {
            return conn.abort();
        }
        self.route(&path, req, res).await;
        // An outage may have begun while the request ran.
        let outage_began = self.interface_faults(interface).outage;
        let write = req.method() != salvo::http::Method::GET;
        if outage_began || write && self.lose_answer(interface) {
            conn.abort();
        }
    }
}

impl PlatformService {
    /// Returns a platform without records, instances or targets.
    pub(super) fn new(faults: PlatformFaults) -> Self {
        let state = State {
            answer_losses: answer_losses(&faults),
            faults,
            log: LogStore::new(),
            live: LiveList::default(),
            fleet: Fleet::default(),
            usage: UsageSink::default(),
            fetch_starts: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Replaces the injected faults.
    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.lock();
        state.answer_losses = answer_losses(&faults);
        state.log.trim(faults.retention_records);
        state.faults = faults;
    }

    /// Starts and releases targets to match the orders, and returns the targets to
    /// switch on or off.
    pub(super) fn step(&self) -> Vec<PowerChange> {
        let state = &mut *self.lock();
        let start_time = Duration::from_millis(state.faults.start_ms);
        let notice = Duration::from_millis(state.faults.release_notice_ms);
        state
            .fleet
            .step(&state.faults.unavailable_kinds, start_time, notice)
    }

    /// Returns all usage reports received, including rejected ones.
    pub(super) fn usage_reports(&self) -> Vec<ReceivedUsage> {
        self.lock().usage.received_reports().to_vec()
    }

    /// Returns all target orders received, including rejected ones.
    pub(super) fn target_orders(&self) -> Vec<ReceivedOrder> {
        self.lock().fleet.received_orders().to_vec()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        sync::lock(&self.state)
    }

    fn interface_faults(&self, interface: Interface) -> InterfaceFaults {
        interface.faults(&self.lock().faults)
    }

    fn lose_answer(&self, interface: Interface) -> bool {
        self.lock().answer_losses[interface as usize].lose_next()
    }

    async fn replace_faults(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json(req, res).await {
            self.set_faults(faults);
            res.status_code(StatusCode::NO_CONTENT);
        }
    }

    async fn route(&self, path: &[&str], req: &mut Request, res: &mut Response) {
        let method = req.method().clone();
        match (method.as_str(), path) {
            ("POST", ["log", "append"]) => self.append(req, res).await,
            ("GET", ["log", "read"]) => self.read(req, res).await,
            ("PUT", ["live", _]) => {
                if let Some(instance) = read_json::<LiveInstance>(req, res).await {
                    self.lock().live.announce(instance);
                    res.status_code(StatusCode::NO_CONTENT);
                }
            }
            ("DELETE", ["live", name]) => {
                self.lock().live.remove(name);
                res.status_code(StatusCode::NO_CONTENT);
            }
            ("GET", ["live"]) => self.list_live(req, res),
            ("GET", ["targets"]) => {
                let state = self.lock();
                let list = state.fleet.list(&state.faults.unavailable_kinds);
                write_tagged_json(req, res, &list);
            }
            ("POST", ["targets", "order"]) => self.order_targets(req, res).await,
            ("POST", ["targets", "reclaim"]) => {
                if let Some(reclaim) = read_json::<Reclaim>(req, res).await {
                    let notice = Duration::from_millis(reclaim.notice_ms);
                    self.lock().fleet.reclaim(&reclaim.group, notice);
                    res.status_code(StatusCode::NO_CONTENT);
                }
            }
            ("POST", ["targets", "restore"]) => {
                if let Some(group) = read_json::<Group>(req, res).await {
                    self.lock().fleet.restore(&group);
                    res.status_code(StatusCode::NO_CONTENT);
                }
            }
            ("PUT", ["targets", _]) => {
                if let Some(target) = read_json::<PlatformTarget>(req, res).await {
                    self.lock().fleet.register(target);
                    res.status_code(StatusCode::NO_CONTENT);
                }
            }
            ("DELETE", ["targets", name]) => {
                self.lock().fleet.remove(name);
                res.status_code(StatusCode::NO_CONTENT);
            }
            ("GET", ["orders"]) => write_json(res, StatusCode::OK, &self.target_orders()),
            ("POST", ["usage"]) => self.report_usage(req, res).await,
            ("GET", ["usage"]) => write_json(res, StatusCode::OK, &self.usage_reports()),
            ("POST", ["weights", "fetch"]) => self.fetch_weights(req, res).await,
            _ => write_error(res, StatusCode::NOT_FOUND, "unknown path or method"),
        }
    }

    async fn append(&self, req: &mut Request, res: &mut Response) {
        let body = read_body(req).await.unwrap_or_default();
        let Ok(request) = AppendRequest::decode(body) else {
            return write_error(
                res,
                StatusCode::BAD_REQUEST,
                "the body is not a protobuf AppendRequest",
            );
        };
        if request.records.is_empty() {
            return write_error(
                res,
                StatusCode::BAD_REQUEST,
                "an append must contain at least one record",
            );
        }
        let append_at = {
            let mut state = self.lock();
            let appends_per_s = state.faults.appends_per_s;
            state.log.reserve_append(appends_per_s)
        };
        sleep_until(append_at).await;
        let mut state = self.lock();
        let first_offset = state.log.append(request.records, wall_clock_ms());
        let retained = state.faults.retention_records;
        state.log.trim(retained);
        drop(state);
        let body = AppendResponse { first_offset }.encode_to_vec();
        write_bytes(res, StatusCode::OK, PROTOBUF, Bytes::from(body));
    }

    async fn read(&self, req: &mut Request, res: &mut Response) {
        let from: u64 = req.query("from").unwrap_or(0);
        let max: usize = req.query("max").unwrap_or(DEFAULT_READ_RECORDS);
        let wait_ms: u64 = req.query("wait_ms").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut appended = self.lock().log.watch();
        let _ = timeout_at(deadline, appended.wait_for(|next| *next > from)).await;
        let read = self.lock().log.read(from, max);
        match read {
            Ok(page) => {
                let body = Bytes::from(page.encode_to_vec());
                write_bytes(res, StatusCode::OK, PROTOBUF, body);
            }
            Err(trimmed) => write_json(res, StatusCode::GONE, &trimmed),
        }
    }

    fn list_live(&self, req: &Request, res: &mut Response) {
        let mut state = self.lock();
        let ttl = Duration::from_millis(state.faults.live_ttl_ms);
        let lag = Duration::from_millis(state.faults.live_lag_ms);
        state.live.expire(ttl);
        write_tagged_json(req, res, &state.live.list(lag));
    }

    async fn order_targets(&self, req: &mut Request, res: &mut Response) {
        let Some(order) = read_json::<TargetOrder>(req, res).await else {
            return;
        };
        let mut state = self.lock();
        let check_epoch = state.faults.targets_check_epoch;
        if state.fleet.receive_order(order, check_epoch) {
            res.status_code(StatusCode::ACCEPTED);
        } else {
            write_error(res, StatusCode::CONFLICT, "outdated fencing token");
        }
    }

    async fn report_usage(&self, req: &mut Request, res: &mut Response) {
        let Some(report) = read_json::<UsageReport>(req, res).await else {
            return;
        };
        let mut state = self.lock();
        let check_epoch = state.faults.usage_check_epoch;
        let status = match state.usage.report(report, check_epoch) {
            UsageReportResult::Accepted | UsageReportResult::Repeated => StatusCode::OK,
            UsageReportResult::Conflict => StatusCode::UNPROCESSABLE_ENTITY,
            UsageReportResult::OldEpoch => StatusCode::CONFLICT,
        };
        res.status_code(status);
    }

    async fn fetch_weights(&self, req: &mut Request, res: &mut Response) {
        let Some(_fetch) = read_json::<WeightFetch>(req, res).await else {
            return;
        };
        let Some(fetch_time) = self.start_fetch() else {
            return write_error(
                res,
                StatusCode::TOO_MANY_REQUESTS,
                "too many weight fetches within a minute",
            );
        };
        sleep(fetch_time).await;
        res.status_code(StatusCode::NO_CONTENT);
    }

    /// Returns the duration of a weight fetch, or `None` if too many have started
    /// within the last minute.
    fn start_fetch(&self) -> Option<Duration> {
        let mut state = self.lock();
        let now = Instant::now();
        let minute = Duration::from_secs(60);
        state
            .fetch_starts
            .retain(|start| now.duration_since(*start) < minute);
        if state.fetch_starts.len() >= state.faults.weight_fetches_per_min as usize {
            return None;
        }
        state.fetch_starts.push(now);
        Some(Duration::from_millis(state.faults.weight_fetch_ms))
    }
}

fn answer_losses(faults: &PlatformFaults) -> [AnswerLoss; Interface::ALL.len()] {
    Interface::ALL.map(|interface| AnswerLoss::new(&interface.faults(faults)))
}

fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}
