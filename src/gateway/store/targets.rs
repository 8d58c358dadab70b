//! Follows the list of targets in the platform's store.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use crate::{
    gateway::{
        state::State,
        store::{
            follower::{Follower, Update},
            list_reads::SharedReads,
        },
        target::pool::TargetBoot,
    },
    platform::{KeyedRecord, StoreClient, TARGET_TOPIC, read_target},
    roster::Target,
};

/// Longest wait of a read for the next record. A dead connection is noticed
/// only after this wait and the client's timeout.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Delay between a read that returned changes and the next read, as a fraction of
/// `drain_ms`, the time within which a draining target must be known. The delay lets one
/// read return several changes.
const BATCH_SHARE: f64 = 0.6;

/// Interval at which an instance in a large fleet checks whether a read is due.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Interval at which connections and loads of removed targets are pruned while no read is due.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// Number of heartbeats of targets after which a restored store has removed the entries of
/// those that do not run. The platform removes an entry after three.
const EXPIRED_HEARTBEATS: u32 = 4;

/// Time for which removed targets are remembered. Longer than a restored store is old.
const REMOVED_PERIOD: Duration = Duration::from_secs(120);

/// Follows the list of targets. Never returns.
pub(in crate::gateway) async fn follow(state: Arc<State>, store: StoreClient) {
    let mut follower = Follower::new(store, TARGET_TOPIC);
    let mut shared_reads = SharedReads::new(state.clone());
    let mut removals = Removals::new(&state);
    let mut recheck_at = None;
    loop {
        let mut pruned_at = Instant::now();
        while shared_reads.can_wait(&follower, recheck_at) {
            if pruned_at.elapsed() >= PRUNE_PERIOD {
                remove_expired(&state, &mut removals);
                pruned_at = Instant::now();
            }
            sleep(CHECK_PERIOD).await;
        }
        if recheck_at.is_some_and(|at| Instant::now() >= at) {
            recheck_at = None;
            follower.read_snapshot_next();
        }
        let had_failed = follower.last_read_failed();
        let shares_reads = state.shares_store_reads();
        follower.repeat_reads(shares_reads);
        let wait = match shares_reads {
            true => Duration::ZERO,
            false => READ_WAIT,
        };
        let sent_at = Instant::now();
        let Ok(update) = follower.next_update(wait).await else {
            continue;
        };
        if had_failed {
            removals.note_recovery();
        }
        match update {
            Update::Snapshot(records) => {
                apply_records(&state, &mut removals, &records);
                remove_missing(&state, &mut removals, &records);
            }
            Update::Restored(records) => {
                removals.note_recovery();
                let is_current = |record: &&KeyedRecord| !is_outdated(&state, &removals, record);
                let current: Vec<_> = records.iter().filter(is_current).cloned().collect();
                if current.len() < records.len() {
                    // Only targets that run have entries by then.
                    recheck_at = Some(Instant::now() + removals.expiry_period);
                }
                apply_records(&state, &mut removals, &current);
                remove_missing(&state, &mut removals, &records);
            }
            Update::Changes(records) => {
                apply_records(&state, &mut removals, &records);
                let drain = Duration::from_millis(state.tuning().timing.drain_ms);
                if !shares_reads && !records.is_empty() {
                    sleep(drain.mul_f64(BATCH_SHARE)).await;
                }
            }
        }
        remove_expired(&state, &mut removals);
        shared_reads.note_read(sent_at, &follower);
    }
}

fn apply_records(state: &State, removals: &mut Removals, records: &[KeyedRecord]) {
    for record in records {
        apply_record(state, removals, record);
    }
}

/// Removes the known targets that have no record.
fn remove_missing(state: &State, removals: &mut Removals, records: &[KeyedRecord]) {
    let known: Vec<Arc<str>> =
        state.with_roster(|roster| roster.iter().map(|target| target.id.clone()).collect());
    for id in known {
        if !records.iter().any(|record| record.key == id) {
            removals.remove(state, &id);
        }
    }
}

/// Returns whether a record of a restored store is older than what is known: the target
/// was removed since, or has announced that it stops.
fn is_outdated(state: &State, removals: &Removals, record: &KeyedRecord) -> bool {
    let Some(value) = &record.value else {
        return false;
    };
    let Ok(target) = read_target(&record.key, value, Instant::now()) else {
        return false;
    };
    let known = state.with_roster(|roster| roster.get(&target.id).cloned());
    let is_outdated = match known {
        Some(known) => {
            known.is_same_boot(&target) && known.state.is_draining() && target.state.is_ready()
        }
        None => removals.has_removed(&target),
    };
    if is_outdated {
        tracing::info!(
            target = &*target.id,
            offset = record.offset,
            "gateway: older entry of a target in the restored store ignored"
        );
    }
    is_outdated
}

fn apply_record(state: &State, removals: &mut Removals, record: &KeyedRecord) {
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
            if target.state.is_draining() {
                let boot = TargetBoot::from(&target);
                state.calls_in_flight().mark_stopping(&boot);
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
fn remove_expired(state: &State, removals: &mut Removals) {
    for target in state.with_roster(|roster| roster.remove_expired(Instant::now())) {
        removals.note_removed(&target);
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
    state.speeds().retain(|id| known.get(id).is_some());
    let now_ms = state.now_ms();
    let mut notices = state.notices();
    notices.retain(|id| known.get(id).is_some(), now_ms);
    drop(notices);
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
    /// Time after which a restored store has no entries of targets that do not run.
    expiry_period: Duration,
    recovered_at: Option<Instant>,
    /// Boots of the targets that were removed in the last [`REMOVED_PERIOD`], by identifier.
    removed: IndexMap<Arc<str>, RemovedBoot>,
}

/// Boot of a target that was removed.
#[derive(Debug)]
struct RemovedBoot {
    target: Arc<Target>,
    removed_at: Instant,
}

impl Removals {
    fn new(state: &State) -> Self {
        let timing = &state.settings.timing;
        let heartbeat = Duration::from_millis(timing.target_heartbeat_ms);
        Self {
            grace_period: Duration::from_millis(timing.return_ms),
            expiry_period: heartbeat * EXPIRED_HEARTBEATS,
            recovered_at: None,
            removed: IndexMap::new(),
        }
    }

    /// Notes that a target was removed.
    fn note_removed(&mut self, target: &Arc<Target>) {
        self.removed
            .retain(|_, boot| boot.removed_at.elapsed() < REMOVED_PERIOD);
        let boot = RemovedBoot {
            target: target.clone(),
            removed_at: Instant::now(),
        };
        self.removed.insert(target.id.clone(), boot);
    }

    /// Returns whether this boot of a target was removed.
    fn has_removed(&self, target: &Target) -> bool {
        let boot = self.removed.get(&target.id);
        boot.is_some_and(|boot| boot.target.is_same_boot(target))
    }

    /// Notes that the store answers again after an outage.
    fn note_recovery(&mut self) {
        self.recovered_at = Some(Instant::now());
    }

    /// Removes a target, after the grace period if the store has just
    /// recovered, otherwise at once.
    fn remove(&mut self, state: &State, id: &Arc<str>) {
        let expires_at = self.recovered_at.map(|at| at + self.grace_period);
        let Some(expires_at) = expires_at.filter(|expires_at| *expires_at > Instant::now()) else {
            self.remove_now(state, id);
            return;
        };
        if state.with_roster(|roster| roster.expire_at(id, expires_at)) {
            tracing::info!(
                target = &**id,
                "gateway: target entry missing after a store outage; removal deferred"
            );
        }
    }

    fn remove_now(&mut self, state: &State, id: &Arc<str>) {
        let Some(target) = state.with_roster(|roster| roster.remove(id)) else {
            return;
        };
        self.note_removed(&target);
        tracing::info!(target = &**id, "gateway: target is gone");
    }
}
