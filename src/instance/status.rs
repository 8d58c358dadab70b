//! What an instance reports about itself on its admin interface.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Status of one instance, as `GET /status` answers it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation, new with each start.
    pub incarnation: u64,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Reasons why the instance is not ready; empty if it is.
    pub not_ready: Vec<NotReady>,
    /// Last offset folded into the ledger.
    pub applied_offset: u64,
    /// Offset of the newest accepted configuration.
    pub configured_offset: u64,
    /// Whether the last read of the log succeeded.
    pub log_live: bool,
    /// Whether the instance may serve keyed requests.
    pub fresh: bool,
    /// Holders of the duties.
    pub duties: Vec<DutyStatus>,
    /// Targets as this instance sees them.
    pub targets: Vec<TargetStatus>,
    /// Peers as this instance sees them.
    pub peers: Vec<PeerStatus>,
}

/// Why an instance is not ready.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotReady {
    /// it has not folded the log to its end since it started
    Starting,
    /// the retained log holds no complete ledger
    LedgerIncomplete,
    /// it cannot show that it knows the newest configuration
    Stale,
    /// it is stopping
    Stopping,
}

/// Holder of a duty.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: Arc<str>,
    /// Instance that holds or last held it.
    pub holder: Arc<str>,
    /// Fencing number.
    pub epoch: u64,
    /// Whether the holder resigned.
    pub resigned: bool,
}

/// A target as one instance sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: Arc<str>,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// State at the platform and health, for people to read.
    pub state: Arc<str>,
    /// Requests that decode; 0 for a plain service.
    pub running: u32,
    /// Requests that wait for prefill; 0 for a plain service.
    pub waiting: u32,
    /// Blocks of KV cache in use.
    pub used_blocks: u32,
    /// Blocks of KV cache in all.
    pub total_blocks: u32,
}

/// A peer as one instance sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerStatus {
    /// Name of the peer.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Offset that it reported as applied.
    pub applied_offset: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}
