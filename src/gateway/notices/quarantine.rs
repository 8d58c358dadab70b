//! Stores which requests crash targets, so that the quarantine outlives a restart of all
//! instances.
//!
//! The crashes are one record in the topic that each instance reads when it starts.
//! Running instances learn of crashes from their peers. An instance that takes the duty
//! lease stores them again, and so does its holder after a restore of the store.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    gateway::{
        duty::DutyLease,
        state::State,
        store::members::{MEMBER_TOPIC, unix_ms},
    },
    log::backoff::Backoff,
    peer::{PeerHandle, TargetCrash},
    platform::{KeyedRecord, StoreClient},
    policy::crash_history::QUARANTINE_MS,
};

/// Key of the record. Names of instances have no slash.
pub(in crate::gateway) const KEY: &str = "quarantine/crashes";

/// Shortest time between two records of one instance.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest delay after a failed write.
const MAX_RETRY: Duration = Duration::from_secs(10);

/// Interval between two checks for a new lease.
const LEASE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Value of the record.
#[derive(Debug, Deserialize, Serialize)]
struct StoredCrashes {
    written_at_unix_ms: u64,
    crashes: Vec<TargetCrash>,
}

/// Decodes the record. Returns no crashes if it cannot be decoded, or is so old that the
/// quarantine has ended.
pub(in crate::gateway) fn read(record: &KeyedRecord) -> Vec<TargetCrash> {
    let Some(value) = &record.value else {
        return Vec::new();
    };
    match serde_json::from_slice::<StoredCrashes>(value) {
        Ok(stored) if unix_ms() < stored.written_at_unix_ms.saturating_add(QUARANTINE_MS) => {
            stored.crashes
        }
        Ok(_) => Vec::new(),
        Err(error) => {
            tracing::warn!("gateway: cannot decode stored crashes of targets: {error}");
            Vec::new()
        }
    }
}

/// Stores the crashes that have led to a quarantine whenever this instance has changed
/// them. Never returns.
pub(in crate::gateway) async fn store_changes(
    state: Arc<State>,
    store: StoreClient,
    peers: PeerHandle,
) {
    loop {
        state.quarantine_changed.notified().await;
        let mut backoff = Backoff::new(WRITE_INTERVAL, MAX_RETRY);
        while !store_crashes(&store, &peers).await {
            sleep(backoff.next_delay()).await;
        }
        sleep(WRITE_INTERVAL).await;
    }
}

/// Stores the crashes once under each lease of this instance, as a restored store may lack
/// them. After a restore, the lease is always a new one. Never returns.
pub(in crate::gateway) async fn store_under_lease(
    lease: Arc<DutyLease>,
    store: StoreClient,
    peers: PeerHandle,
) {
    let mut stored_fence = 0;
    loop {
        sleep(LEASE_CHECK_PERIOD).await;
        let Some(holder) = lease.holder() else {
            continue;
        };
        let is_due = holder.fence != stored_fence && !peers.quarantined_crashes().is_empty();
        if is_due && store_crashes(&store, &peers).await {
            stored_fence = holder.fence;
        }
    }
}

/// Stores the crashes; returns whether that succeeded.
async fn store_crashes(store: &StoreClient, peers: &PeerHandle) -> bool {
    let stored = StoredCrashes {
        written_at_unix_ms: unix_ms(),
        crashes: peers.quarantined_crashes(),
    };
    let crashes = stored.crashes.len();
    let value = match serde_json::to_vec(&stored) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!("gateway: cannot encode crashes of targets: {error}");
            return true;
        }
    };
    match store.append(MEMBER_TOPIC, KEY, &value, None).await {
        Ok(appended) => {
            tracing::info!(
                crashes,
                offset = appended.first.offset,
                "gateway: crashes of targets stored"
            );
            true
        }
        Err(error) => {
            tracing::info!("gateway: cannot store crashes of targets: {error}");
            false
        }
    }
}
