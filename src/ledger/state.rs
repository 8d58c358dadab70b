//! Protobuf encoding of the ledger, used in checkpoints.
//!
//! Lists keep the iteration order of the ledger's maps, so that equal ledgers
//! have equal encodings.

use bytes::Bytes;

use crate::log::records::{OrderIntent, UsageLine};

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LedgerState {
    #[prost(uint64, tag = "1")]
    pub(super) applied: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) writers: Vec<WriterState>,
    #[prost(uint64, tag = "3")]
    pub(super) configured_offset: u64,
    #[prost(message, repeated, tag = "4")]
    pub(super) services: Vec<ServiceState>,
    #[prost(message, repeated, tag = "5")]
    pub(super) histories: Vec<HistoryState>,
    #[prost(bytes = "bytes", repeated, tag = "6")]
    pub(super) revoked: Vec<Bytes>,
    #[prost(message, repeated, tag = "7")]
    pub(super) duties: Vec<DutyState>,
    #[prost(message, repeated, tag = "8")]
    pub(super) intents: Vec<IntentState>,
    #[prost(message, repeated, tag = "9")]
    pub(super) claims: Vec<AccountClaimsState>,
    #[prost(message, optional, tag = "10")]
    pub(super) usage: Option<UsageState>,
    #[prost(message, repeated, tag = "11")]
    pub(super) suspects: Vec<SuspectState>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WriterState {
    #[prost(string, tag = "1")]
    pub(super) name: String,
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(super) sequence: u64,
    #[prost(uint64, tag = "4")]
    pub(super) offset: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ServiceState {
    #[prost(uint64, tag = "1")]
    pub(super) revision: u64,
    #[prost(uint64, tag = "2")]
    pub(super) offset: u64,
    #[prost(string, tag = "3")]
    pub(super) text: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HistoryState {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    #[prost(message, repeated, tag = "2")]
    pub(super) entries: Vec<RevisionState>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RevisionState {
    #[prost(uint64, tag = "1")]
    pub(super) offset: u64,
    #[prost(string, tag = "2")]
    pub(super) writer: String,
    #[prost(uint64, tag = "3")]
    pub(super) base_revision: u64,
    #[prost(uint64, tag = "4")]
    pub(super) revision: u64,
    #[prost(string, tag = "5")]
    pub(super) refusal: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DutyState {
    #[prost(int32, tag = "1")]
    pub(super) duty: i32,
    #[prost(string, tag = "2")]
    pub(super) holder: String,
    #[prost(uint64, tag = "3")]
    pub(super) incarnation: u64,
    #[prost(uint64, tag = "4")]
    pub(super) epoch: u64,
    #[prost(uint64, tag = "5")]
    pub(super) last_renewal: u64,
    #[prost(bool, tag = "6")]
    pub(super) resigned: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct IntentState {
    #[prost(uint64, tag = "1")]
    pub(super) offset: u64,
    #[prost(string, tag = "2")]
    pub(super) holder: String,
    #[prost(uint64, tag = "3")]
    pub(super) incarnation: u64,
    #[prost(message, optional, tag = "4")]
    pub(super) intent: Option<OrderIntent>,
    #[prost(bool, tag = "5")]
    pub(super) resigned: bool,
    #[prost(bool, tag = "6")]
    pub(super) adopted: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct AccountClaimsState {
    #[prost(string, tag = "1")]
    pub(super) account: String,
    #[prost(message, repeated, tag = "2")]
    pub(super) claims: Vec<RequestClaimState>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RequestClaimState {
    #[prost(string, tag = "1")]
    pub(super) idempotency_key: String,
    #[prost(uint64, tag = "2")]
    pub(super) offset: u64,
    #[prost(string, tag = "3")]
    pub(super) instance: String,
    #[prost(uint64, tag = "4")]
    pub(super) incarnation: u64,
    #[prost(bytes = "bytes", tag = "5")]
    pub(super) body_digest: Bytes,
    #[prost(bool, tag = "6")]
    pub(super) unknown: bool,
    #[prost(message, optional, tag = "7")]
    pub(super) outcome: Option<OutcomeState>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct OutcomeState {
    #[prost(uint32, tag = "1")]
    pub(super) status: u32,
    #[prost(string, tag = "2")]
    pub(super) content_type: String,
    #[prost(bytes = "bytes", tag = "3")]
    pub(super) body: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct UsageState {
    /// Number of the lowest usage window that is not closed.
    #[prost(uint64, tag = "1")]
    pub(super) open_window: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) windows: Vec<WindowState>,
    #[prost(message, repeated, tag = "3")]
    pub(super) unacknowledged: Vec<WindowState>,
    #[prost(message, repeated, tag = "4")]
    pub(super) sources: Vec<SourceState>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WindowState {
    /// Number of the usage window.
    #[prost(uint64, tag = "1")]
    pub(super) window: u64,
    #[prost(uint64, tag = "2")]
    pub(super) closed_at: u64,
    #[prost(uint64, tag = "3")]
    pub(super) late_slices: u64,
    #[prost(message, repeated, tag = "4")]
    pub(super) lines: Vec<UsageLine>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SourceState {
    #[prost(string, tag = "1")]
    pub(super) name: String,
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(super) counted_through: u64,
    #[prost(uint64, repeated, tag = "4")]
    pub(super) counted_beyond_gap: Vec<u64>,
    #[prost(uint64, tag = "5")]
    pub(super) watermark: u64,
    #[prost(uint64, tag = "6")]
    pub(super) offset: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SuspectState {
    #[prost(string, tag = "1")]
    pub(super) account: String,
    #[prost(bytes = "bytes", tag = "2")]
    pub(super) body_digest: Bytes,
    #[prost(uint64, tag = "3")]
    pub(super) offset: u64,
    #[prost(message, repeated, tag = "4")]
    pub(super) crashes: Vec<CrashState>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CrashState {
    #[prost(string, tag = "1")]
    pub(super) target: String,
    #[prost(string, tag = "2")]
    pub(super) boot: String,
}
