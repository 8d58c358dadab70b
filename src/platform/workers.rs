//! Entries that targets register in the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, de::Error};
use tokio::time::Instant;

use crate::{
    roster::{Target, TargetState},
    target::protocol::EngineRole,
};

/// Longest slow start of a target, in milliseconds.
const MAX_SLOW_START_MS: f64 = 86_400_000.0;

/// Entry of a target. Entries that other writers append to the topic lack some of these
/// fields, so that they cannot be decoded as targets.
#[derive(Deserialize)]
struct WireEntry {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    #[serde(rename = "version")]
    _software_version: Arc<str>,
    slots: u32,
    state: WireState,
    cold_left_ms: f64,
    // Number of role orders that the engine has accepted, not a revision of the entry.
    seq: u64,
    // Unix time of the target's start, in milliseconds.
    born: u64,
    stage: Option<WireStage>,
    #[serde(default)]
    spot: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Role of an engine; the platform calls it "stage".
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum WireStage {
    Prefill,
    Decode,
    Both,
}

impl From<WireStage> for EngineRole {
    fn from(stage: WireStage) -> Self {
        match stage {
            WireStage::Prefill => Self::Prefill,
            WireStage::Decode => Self::Decode,
            WireStage::Both => Self::Mixed,
        }
    }
}

impl WireEntry {
    /// Checks the values that no target has.
    fn check(&self) -> Result<(), &'static str> {
        if self.slots == 0 {
            return Err("the target has no slots");
        }
        if self.address.port() == 0 {
            return Err("the port is 0");
        }
        if !(0.0..=MAX_SLOW_START_MS).contains(&self.cold_left_ms) {
            return Err("the slow start is out of range");
        }
        Ok(())
    }
}

/// Decodes the entry registered under `id`.
///
/// `now` is the time at which the entry was read. The remaining time of the target's
/// slow start (`cold_left_ms`) counts from `now`.
///
/// # Errors
///
/// Fails if the entry is not that of a target; the error names the field and
/// the cause.
pub fn read_target(id: &str, bytes: &[u8], now: Instant) -> serde_json::Result<Target> {
    let entry: WireEntry = serde_json::from_slice(bytes)?;
    entry.check().map_err(serde_json::Error::custom)?;
    let slow_start = Duration::from_secs_f64(entry.cold_left_ms / 1_000.0);
    Ok(Target {
        id: id.into(),
        started_at_unix_ms: entry.born,
        service: entry.service,
        address: entry.address,
        failure_domain: entry.zone,
        slots: entry.slots,
        state: match entry.state {
            WireState::Ready => TargetState::Ready,
            WireState::Draining => TargetState::Draining,
        },
        cold_until: (!slow_start.is_zero()).then(|| now + slow_start),
        role: entry.stage.map(EngineRole::from),
        reclaimable: entry.spot,
        orders: entry.seq,
        first_seen_at: now,
        expires_at: None,
    })
}
