//! Status of an instance, as reported by its admin interface.

use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    Settings,
    ledger::LedgerHandle,
    log::{TailStatus, records::Duty},
    peer::PeerHandle,
    target::table::{TargetTable, TargetView},
};

/// Duties with their names in the status.
const DUTY_NAMES: [(Duty, &str); 3] = [
    (Duty::Fleet, "fleet"),
    (Duty::Usage, "usage"),
    (Duty::Checkpoint, "checkpoint"),
];

/// Response of `GET /status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation, which increases with every start.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Reasons why the instance is not ready; empty if it is ready.
    pub not_ready: Vec<NotReady>,
    /// Last offset applied to the ledger.
    pub applied_offset: u64,
    /// Offset of the newest accepted configuration.
    pub configured_offset: u64,
    /// Number of claims of non-repeatable requests in the ledger.
    pub request_claims: usize,
    /// Whether the last read of the log succeeded.
    pub log_live: bool,
    /// Whether the instance may serve requests that need an API key.
    pub fresh: bool,
    /// Holders of the duties.
    pub duties: Vec<DutyStatus>,
    /// Targets as known from this instance's last polls.
    pub targets: Vec<TargetStatus>,
    /// Peers that this instance considers running.
    pub peers: Vec<PeerStatus>,
}

/// Reasons why an instance is not ready.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotReady {
    /// it has not applied the log to its end since it started
    Starting,
    /// it has not polled the targets since the ledger became complete
    TargetsUnknown,
    /// the retained log holds no complete ledger
    LedgerIncomplete,
    /// it cannot confirm that it knows the newest configuration
    Stale,
    /// it is shutting down
    Stopping,
}

/// Holder of a duty.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: Arc<str>,
    /// Instance that holds the duty, or held it last.
    pub holder: Arc<str>,
    /// Epoch of the duty, used as the fencing token.
    pub epoch: u64,
    /// Whether the holder resigned.
    pub resigned: bool,
}

/// Status of a target, as known to one instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: Arc<str>,
    /// Kind of target.
    pub kind: Arc<str>,
    /// Failure domain of the target.
    pub failure_domain: Arc<str>,
    /// State that the platform reports and health, in human-readable form.
    pub state: Arc<str>,
    /// Number of decoding requests; 0 for a plain service.
    pub running: u32,
    /// Number of requests waiting for prefill; 0 for a plain service.
    pub waiting: u32,
    /// Number of KV-cache blocks in use.
    pub used_blocks: u32,
    /// Total number of KV-cache blocks.
    pub total_blocks: u32,
}

/// Status of a peer, as known to one instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerStatus {
    /// Name of the peer.
    pub name: Arc<str>,
    /// Failure domain of the peer.
    pub failure_domain: Arc<str>,
    /// Last offset that the peer reported as applied.
    pub applied_offset: u64,
    /// Whether the peer is shutting down.
    pub leaving: bool,
}

/// Data sources of the status.
#[derive(Clone, Debug)]
pub(super) struct StatusSources {
    pub(super) settings: Arc<Settings>,
    pub(super) incarnation: u64,
    pub(super) ledger: LedgerHandle,
    pub(super) tail: watch::Receiver<TailStatus>,
    pub(super) targets: TargetTable,
    pub(super) targets_polled: watch::Receiver<bool>,
    pub(super) peers: PeerHandle,
    /// Cancelled when the instance begins to stop.
    pub(super) stopping: CancellationToken,
}

impl StatusSources {
    /// Collects the current status.
    pub(super) fn collect(&self) -> InstanceStatus {
        let tail = *self.tail.borrow();
        InstanceStatus {
            name: Arc::clone(&self.settings.name),
            incarnation: self.incarnation,
            failure_domain: Arc::clone(&self.settings.failure_domain),
            not_ready: self.not_ready(tail),
            applied_offset: self.ledger.applied().0,
            configured_offset: self.ledger.read(|ledger| ledger.configured_offset().0),
            request_claims: self.ledger.read(|ledger| ledger.claim_count()),
            log_live: tail.live,
            fresh: self.peers.may_serve_keyed(),
            duties: self.duties(),
            targets: self.targets(),
            peers: self.peers(),
        }
    }

    fn not_ready(&self, tail: TailStatus) -> Vec<NotReady> {
        let mut reasons = Vec::new();
        if tail.rebuilding {
            reasons.push(NotReady::LedgerIncomplete);
        } else if !tail.caught_up {
            reasons.push(NotReady::Starting);
        } else if !*self.targets_polled.borrow() {
            reasons.push(NotReady::TargetsUnknown);
        }
        if !self.peers.may_serve_keyed() {
            reasons.push(NotReady::Stale);
        }
        if self.stopping.is_cancelled() {
            reasons.push(NotReady::Stopping);
        }
        reasons
    }

    fn duties(&self) -> Vec<DutyStatus> {
        let mut duties = Vec::new();
        for (duty, name) in DUTY_NAMES {
            let entry = self.ledger.read(|ledger| ledger.duty(duty).cloned());
            let Some(entry) = entry else {
                continue;
            };
            duties.push(DutyStatus {
                duty: name.into(),
                holder: entry.holder,
                epoch: entry.epoch,
                resigned: entry.resigned,
            });
        }
        duties
    }

    fn peers(&self) -> Vec<PeerStatus> {
        let mut peers = Vec::new();
        for peer in self.peers.live() {
            peers.push(PeerStatus {
                name: peer.name,
                failure_domain: peer.failure_domain,
                applied_offset: peer.applied_offset.0,
                leaving: peer.leaving,
            });
        }
        peers
    }

    fn targets(&self) -> Vec<TargetStatus> {
        let mut targets = Vec::new();
        for view in self.targets.snapshot().iter() {
            targets.push(TargetStatus::from(view));
        }
        targets.sort_by(|a: &TargetStatus, b| a.name.cmp(&b.name));
        targets
    }
}

impl From<&TargetView> for TargetStatus {
    fn from(view: &TargetView) -> Self {
        let engine = view.engine.as_ref();
        Self {
            name: Arc::clone(&view.name),
            kind: Arc::clone(&view.kind),
            failure_domain: Arc::clone(&view.failure_domain),
            state: format!("{:?}, {}", view.state, view.health)
                .to_lowercase()
                .into(),
            running: engine.map_or(0, |engine| engine.running),
            waiting: engine.map_or(0, |engine| engine.waiting),
            used_blocks: engine.map_or(0, |engine| engine.used_blocks),
            total_blocks: engine.map_or(0, |engine| engine.total_blocks),
        }
    }
}
