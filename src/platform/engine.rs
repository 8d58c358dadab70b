//! Calls to engines: prefilled prompts, load reports and role orders.

use std::{net::SocketAddr, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::workers::WireStage;
use crate::target::protocol::EngineRole;

/// Where an engine holds the KV cache of a prompt.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{address}/{handle}")]
pub struct KvSource {
    /// Address of the engine that prefilled the prompt.
    pub address: SocketAddr,
    /// Handle that the engine gave it.
    pub handle: Arc<str>,
}

/// An engine's answer to a prefill.
#[derive(Clone, Debug, Deserialize)]
pub struct Prefilled {
    /// Handle of the KV cache.
    #[serde(rename = "kv_handle")]
    pub handle: Arc<str>,
    /// Tokens of the prompt.
    pub tokens: u64,
}

impl Prefilled {
    /// Decodes the body of the answer.
    ///
    /// # Errors
    ///
    /// Fails with the position and the cause if the body is not such an answer.
    pub fn read(bytes: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(bytes)
    }
}

/// Returns the path under which a KV cache that nobody takes is released.
#[must_use]
pub fn prefill_release_path(handle: &str) -> String {
    format!("/kv-handle/{handle}")
}

/// An engine's report of its load, some hundred milliseconds old.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadReport {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in the KV cache that cannot be evicted.
    pub kv_used: u64,
    /// Orders that it has accepted; the wire calls it "seq".
    #[serde(rename = "seq")]
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    stage: Option<WireStage>,
}

impl LoadReport {
    /// Path of the report.
    pub const PATH: &'static str = "/report";

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Fails with the position and the cause if the body is not a report.
    pub fn read(bytes: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(bytes)
    }

    /// Returns the engine's role.
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
    // Number of orders that the engine must have accepted before.
    expect: u64,
}

impl<'a> RoleOrder<'a> {
    /// Path to which orders go.
    pub const PATH: &'static str = "/order";

    /// Makes an order of `holder` under a fencing number; the engine takes it
    /// only if it has accepted `orders` orders before.
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

    /// Encodes the order.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
