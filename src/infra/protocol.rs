//! Bodies of the platform's HTTP interfaces.
//!
//! Log: `POST /log/append` takes an [`AppendRequest`] and answers an
//! [`AppendResponse`], both in protobuf; `GET /log/read?from=&max=&wait_ms=`
//! answers a [`ReadResponse`] in protobuf, or 410 with a [`TrimmedResponse`] in
//! JSON where `from` is older than what is retained.
//!
//! Live list: `PUT /live/{name}` and `GET /live`. Target ordering:
//! `GET /targets` and `POST /targets/order`. Usage: `POST /usage`. Weight
//! store: `POST /weights/fetch`. These carry JSON.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Records to append, as one atomic batch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Encoded records.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub records: Vec<Bytes>,
}

/// Where a batch was appended.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// Offset of the batch's first record; offsets start at 1.
    #[prost(uint64, tag = "1")]
    pub first_offset: u64,
}

/// One record with its offset.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    /// Offset of the record.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Platform's wall clock as it appended the record, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub appended_at_ms: u64,
    /// Encoded record.
    #[prost(bytes = "bytes", tag = "3")]
    pub record: Bytes,
}

/// A run of records in offset order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReadResponse {
    /// Records from the requested offset on.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<LogEntry>,
    /// Offset that the next append will get.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// Oldest offset that is retained.
    #[prost(uint64, tag = "3")]
    pub oldest_offset: u64,
}

/// Answer to a read below the retained records.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct TrimmedResponse {
    /// Oldest offset that is retained.
    pub oldest_offset: u64,
    /// Offset that the next append will get.
    pub next_offset: u64,
}

/// State of an entry on the platform's live list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LiveState {
    /// Runs.
    Live,
    /// Is being stopped.
    Leaving,
}

/// An instance on the platform's live list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LiveInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation, new with each start.
    pub incarnation: u64,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address for frames between instances, `IP:PORT`.
    pub peer_address: Arc<str>,
    /// Address of the admin interface, `IP:PORT`.
    pub admin_address: Arc<str>,
    /// Whether it runs or leaves.
    pub state: LiveState,
}

/// State of a target at the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Is being started.
    Starting,
    /// Runs.
    Live,
    /// Is being drained or reclaimed.
    Leaving,
}

/// A target, as the platform lists it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformTarget {
    /// Name of the target.
    pub name: Arc<str>,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address of its HTTP interface, `IP:PORT`.
    pub address: Arc<str>,
    /// Whether it starts, runs or leaves.
    pub state: TargetState,
    /// For a leaving target, milliseconds until it is gone.
    #[serde(default)]
    pub leaves_in_ms: Option<u64>,
}

/// An order for targets of one kind in one failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrder {
    /// Identifier of the order: the offset of its intent.
    pub order_id: u64,
    /// Fencing number of the duty that orders.
    pub epoch: u64,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Number of targets wanted.
    pub count: u32,
}

/// What the platform made of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOrderStatus {
    /// Last order taken for this kind and failure domain.
    pub last_order_id: u64,
    /// Fencing number of that order.
    pub last_epoch: u64,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Number wanted by that order.
    pub wanted: u32,
    /// Number that can be had now; fewer than wanted while unavailable.
    pub available: u32,
}

/// Answer to `GET /targets`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetList {
    /// All targets.
    pub targets: Vec<PlatformTarget>,
    /// Standing order of each kind and failure domain.
    pub orders: Vec<TargetOrderStatus>,
}

/// Usage of one account of one service within a window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UsageFigure {
    /// Service.
    pub service: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// Requests served.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
}

/// A report of one closed usage window; idempotent by `window`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Fencing number of the usage duty.
    pub epoch: u64,
    /// Figures by service and account.
    pub figures: Vec<UsageFigure>,
}

/// Asks the weight store for a model's weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightFetch {
    /// Target that fetches.
    pub target: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
}
