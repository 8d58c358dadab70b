//! Follows the list of targets in the platform's store.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use super::{
    follower::{Follower, Update},
    state::State,
};
use crate::platform::{KeyedRecord, StoreClient, TARGET_TOPIC, read_target};

/// Longest wait of a read for the next record. A dead connection is noticed
/// only after this wait and the client's timeout.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Delay between a read that returned changes and the next read, as a fraction of
/// `drain_ms`, the time within which a draining target must be known. The delay lets one
/// read return several changes.
const BATCH_SHARE: f64 = 0.6;

/// Follows the list of targets. Never returns.
pub(super) async fn follow(state: Arc<State>, store: StoreClient) {
    let mut follower = Follower::new(store, TARGET_TOPIC);
    let mut removals = Removals::new(&state);
    loop {
        let had_failed = follower.last_read_failed();
        let Ok(update) = follower.next_update(READ_WAIT).await else {
            continue;
        };
        if had_failed {
            removals.note_recovery();
        }
        match update {
            Update::Snapshot(records) | Update::Restored(records) => {
                replace_targets(&state, &removals, &records);
            }
            Update::Changes(records) => {
                for record in &records {
                    apply_record(&state, &removals, record);
                }
                if !records.is_empty() {
                    let drain = Duration::from_millis(state.tuning().timing.drain_ms);
                    sleep(drain.mul_f64(BATCH_SHARE)).await;
                }
            }
        }
        remove_expired(&state);
    }
}

fn replace_targets(state: &State, removals: &Removals, records: &[KeyedRecord]) {
    for record in records {
        apply_record(state, removals, record);
    }
    let known: Vec<Arc<str>> =
        state.with_roster(|roster| roster.iter().map(|target| target.id.clone()).collect());
    for id in known {
        if !records.iter().any(|record| record.key == id) {
            removals.remove(state, &id);
        }
    }
}

fn apply_record(state: &State, removals: &Removals, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        removals.remove(state, &record.key);
        return;
    };
    match read_target(&record.key, value, Instant::now()) {
        Ok(target) => {
            let known = state.with_roster(|roster| roster.get(&target.id).cloned());
            if known.is_none_or(|known| !known.is_same_boot(&target) || known.state != target.state)
            {
                tracing::info!(
                    target = &*target.id,
                    service = &*target.service,
                    offset = record.offset,
                    "gateway: target is {:?}, role {:?}",
                    target.state,
                    target.role
                );
            }
            state.with_roster(|roster| roster.insert(target));
        }
        Err(error) => {
            let offset = record.offset;
            let key = &record.key;
            tracing::warn!(offset, "gateway: cannot decode target entry {key}: {error}");
            state.with_roster(|roster| roster.remove(key));
        }
    }
}

/// Removes expired targets, and the connections and loads of targets that are
/// no longer known.
fn remove_expired(state: &State) {
    for target in state.with_roster(|roster| roster.remove_expired(Instant::now())) {
        tracing::info!(
            target = &*target.id,
            "gateway: target expired: no new registration after a store outage"
        );
    }
    let known = state.with_roster(|roster| roster.clone());
    state
        .pool
        .prune(Instant::now(), |id| known.get(id).is_some());
    state.loads().retain(|id| known.get(id).is_some());
    state.notices().retain(|id| known.get(id).is_some());
    let mut calls = state.calls_in_flight();
    calls.discard_unknown(|id| known.get(id).is_some());
}

/// Removes targets whose entries have disappeared from the store.
///
/// Entries that expire during an outage of the store are registered again soon
/// after the outage. A target whose entry is missing just after an outage is therefore
/// removed only after a grace period.
#[derive(Debug)]
struct Removals {
    grace_period: Duration,
    recovered_at: Option<Instant>,
}

impl Removals {
    fn new(state: &State) -> Self {
        Self {
            grace_period: Duration::from_millis(state.settings.timing.return_ms),
            recovered_at: None,
        }
    }

    /// Notes that the store answers again after an outage.
    fn note_recovery(&mut self) {
        self.recovered_at = Some(Instant::now());
    }

    /// Removes a target, after the grace period if the store has just
    /// recovered, otherwise at once.
    fn remove(&self, state: &State, id: &Arc<str>) {
        let expires_at = self.recovered_at.map(|at| at + self.grace_period);
        let Some(expires_at) = expires_at.filter(|expires_at| *expires_at > Instant::now()) else {
            remove_now(state, id);
            return;
        };
        if state.with_roster(|roster| roster.expire_at(id, expires_at)) {
            tracing::info!(
                target = &**id,
                "gateway: target entry missing after a store outage; removal deferred"
            );
        }
    }
}

fn remove_now(state: &State, id: &Arc<str>) {
    if state.with_roster(|roster| roster.remove(id)).is_some() {
        tracing::info!(target = &**id, "gateway: target is gone");
    }
}
