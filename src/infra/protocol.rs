//! Bodies of the platform's HTTP interfaces.
//!
//! Log: `POST /log/append` takes an [`AppendRequest`] and returns an
//! [`AppendResponse`], both in protobuf. `GET /log/read?from=&max=&wait_ms=` waits
//! up to `wait_ms` milliseconds for a record at offset `from`, and returns a
//! [`ReadResponse`] in protobuf with at most `max` records, or 410 with a
//! [`TrimmedResponse`] in JSON if `from` is below the oldest retained offset.
//!
//! The other interfaces use JSON. Live list: `PUT /live/{name}`,
//! `DELETE /live/{name}` and `GET /live`. Target ordering: `GET /targets` and
//! `POST /targets/order`. Usage: `POST /usage`. Weight store:
//! `POST /weights/fetch`.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Records to append as one atomic batch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Encoded records.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub records: Vec<Bytes>,
}

/// Position at which a batch was appended.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// Offset of the batch's first record; offsets start at 1.
    #[prost(uint64, tag = "1")]
    pub first_offset: u64,
}

/// One record of the log with its offset.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    /// Offset of the record.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Wall-clock time of the platform at the append, in milliseconds since the
    /// Unix epoch.
    #[prost(uint64, tag = "2")]
    pub appended_at_ms: u64,
    /// Encoded record.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
}

/// Consecutive records in offset order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReadResponse {
    /// Records, starting at the requested offset.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<LogEntry>,
    /// Offset that the next appended record will get.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// Oldest retained offset.
    #[prost(uint64, tag = "3")]
    pub oldest_offset: u64,
}

/// Response to a read from an offset that is no longer retained.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct TrimmedResponse {
    /// Oldest retained offset.
    pub oldest_offset: u64,
    /// Offset that the next appended record will get.
    pub next_offset: u64,
}

/// State of an instance on the platform's live list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LiveState {
    /// The instance is running.
    Live,
    /// The instance is shutting down.
    Leaving,
}

/// An instance on the platform's live list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LiveInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Identifier of the current process run; each start uses a new one.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address on which the instance accepts peer connections, `IP:PORT`.
    pub peer_address: Arc<str>,
    /// Address of the admin interface, `IP:PORT`.
    pub admin_address: Arc<str>,
    /// Whether the instance is running or shutting down.
    pub state: LiveState,
}

/// Lifecycle state of a target, as the platform reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target is starting.
    Starting,
    /// The target is running.
    Live,
    /// The target is being released or reclaimed.
    Leaving,
}

/// A target in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformTarget {
    /// Name of the target.
    pub name: Arc<str>,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain of the target.
    pub failure_domain: Arc<str>,
    /// Address of the target's HTTP interface, `IP:PORT`.
    pub address: Arc<str>,
    /// Lifecycle state.
    pub state: TargetState,
    /// Time until a leaving target is switched off, in milliseconds; `None` in
    /// other states.
    #[serde(default)]
    pub leaves_in_ms: Option<u64>,
}

/// Order that sets the number of targets of one kind in one failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrder {
    /// Identifier of the order: the log offset of its intent record.
    pub order_id: u64,
    /// Fencing token of the duty under which the order is sent.
    pub epoch: u64,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Desired number of targets.
    pub count: u32,
}

/// Order in force for one kind and failure domain, and its availability.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrderStatus {
    /// Last order accepted for this kind and failure domain.
    pub last_order_id: u64,
    /// Fencing token of that order.
    pub last_epoch: u64,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Number of targets in that order.
    pub wanted: u32,
    /// Number of these targets that are running or can be started now; less than
    /// `wanted` while the platform lacks capacity.
    pub available: u32,
}

/// Response to `GET /targets`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetList {
    /// Targets that are starting, running or leaving.
    pub targets: Vec<PlatformTarget>,
    /// Order in force for each kind and failure domain.
    pub orders: Vec<TargetOrderStatus>,
}

/// Usage of one account of one service within a window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UsageFigure {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the client account.
    pub account: Arc<str>,
    /// Number of requests served.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub output_tokens: u64,
}

/// Usage of one closed window; reports are idempotent by `window`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UsageReport {
    /// Number of the usage window.
    pub window: u64,
    /// Fencing token of the usage duty.
    pub epoch: u64,
    /// Usage by service and account.
    pub figures: Vec<UsageFigure>,
}

/// Request to the weight store for a model's weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightFetch {
    /// Name of the target that fetches the weights.
    pub target: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
}
