//! Messages of engine calls: prefill answers, load reports and role orders.

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::workers::WireStage;
use crate::target::protocol::EngineRole;

/// Location of a prompt's KV cache.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{address}/{handle}")]
pub struct KvSource {
    /// Address of the engine that prefilled the prompt.
    pub address: SocketAddr,
    /// Handle that the engine assigned to the KV cache.
    pub handle: Arc<str>,
}

/// An engine's answer to a prefill request.
#[derive(Clone, Debug, Deserialize)]
pub struct Prefilled {
    /// Handle of the KV cache.
    #[serde(rename = "kv_handle")]
    pub handle: Arc<str>,
    /// Number of tokens of the prompt.
    pub tokens: u64,
}

impl Prefilled {
    /// Decodes the body of an answer.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a prefill answer; the error has the position
    /// and the cause.
    pub fn read(bytes: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(bytes)
    }
}

/// Returns the path of the call that releases an unused KV cache.
#[must_use]
pub fn prefill_release_path(handle: &str) -> String {
    format!("/kv-handle/{handle}")
}

/// An engine's load report. When the report arrives, its figures are some hundred
/// milliseconds old.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadReport {
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of tokens in the KV cache that cannot be evicted.
    pub kv_used: u64,
    /// Number of role orders that the engine has accepted; "seq" on the wire.
    #[serde(rename = "seq")]
    pub orders: u64,
    /// Whether the engine is executing a role order.
    pub busy: bool,
    stage: Option<WireStage>,
}

impl LoadReport {
    /// Path at which an engine serves the report.
    pub const PATH: &'static str = "/report";

    /// Decodes the body of a report.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a load report; the error has the position and
    /// the cause.
    pub fn read(bytes: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(bytes)
    }

    /// Returns the engine's role, if the report has one.
    #[must_use]
    pub fn role(&self) -> Option<EngineRole> {
        self.stage.map(EngineRole::from)
    }
}

impl std::fmt::Debug for WireStage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        EngineRole::from(*self).fmt(f)
    }
}

/// An order that changes an engine's role.
#[derive(Clone, Debug, Serialize)]
pub struct RoleOrder<'a> {
    op: &'static str,
    // The wire calls a role "stage".
    stage: &'static str,
    holder: &'a str,
    fence: u64,
    // Number of orders that the engine must have accepted so far.
    expect: u64,
}

impl<'a> RoleOrder<'a> {
    /// Path at which an engine accepts orders.
    pub const PATH: &'static str = "/order";

    /// Creates an order of `holder`, whose lease has the fencing token `fence`. The
    /// engine accepts the order only if it has accepted exactly `orders` orders so far.
    #[must_use]
    pub fn new(role: EngineRole, holder: &'a str, fence: u64, orders: u64) -> Self {
        Self {
            op: "stage",
            stage: match role {
                EngineRole::Mixed => "both",
                EngineRole::Prefill => "prefill",
                EngineRole::Decode => "decode",
            },
            holder,
            fence,
            expect: orders,
        }
    }

    /// Encodes the order as JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
