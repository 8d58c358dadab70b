//! Announces this instance to the others and follows who they are.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use indexmap::IndexMap;
use tokio::time::sleep;

use super::{
    follower::{Follower, Update},
    state::State,
};
use crate::{
    infra::protocol::{LiveInstance, LiveState},
    log::backoff::Backoff,
    peer::PeerHandle,
    platform::{KeyedRecord, StoreClient, StoreError, Topic},
};

/// Topic in which instances announce themselves, by name.
const MEMBER_TOPIC: Topic = Topic("keyed.members");

/// Longest wait of a read for the next announcement.
const READ_WAIT: Duration = Duration::from_secs(15);

/// Wait after announcements for others that one read can bring with them, for
/// each [`BATCH_INSTANCES`] that run.
const BATCH_WAIT: Duration = Duration::from_secs(1);

/// Instances of which one starts or stops now and then: in a larger fleet, the
/// wait grows so that all read no more often together.
const BATCH_INSTANCES: usize = 32;

/// Longest such wait.
const MAX_BATCH_WAIT: Duration = Duration::from_secs(6);

/// Delay after a first failed announcement.
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest delay after a failed announcement.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Announces an instance until the store has taken the announcement.
pub(super) async fn announce(store: &StoreClient, member: &LiveInstance) {
    let mut backoff = Backoff::new(FIRST_RETRY, MAX_RETRY);
    loop {
        match append(store, member).await {
            Ok(()) => return,
            Err(error) => tracing::info!("gateway: cannot announce this instance: {error}"),
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Returns an incarnation above those that an instance announced before.
pub(super) async fn next_incarnation(store: &StoreClient, name: &str) -> u64 {
    let mut backoff = Backoff::new(FIRST_RETRY, MAX_RETRY);
    loop {
        match store.newest(MEMBER_TOPIC).await {
            Ok(newest) => {
                let mut members = IndexMap::new();
                for record in &newest.records {
                    apply_announcement(&mut members, record);
                }
                let last = members.get(name).map_or(0, |member| member.incarnation);
                return unix_ms().max(last + 1);
            }
            Err(error) => tracing::info!("gateway: cannot read the instances: {error}"),
        }
        sleep(backoff.next_delay()).await;
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

async fn append(store: &StoreClient, member: &LiveInstance) -> Result<(), StoreError> {
    let value = serde_json::to_vec(member).unwrap_or_default();
    let appended = store.append(MEMBER_TOPIC, &member.name, &value, None).await;
    appended.map(drop)
}

/// Makes the announcement of an instance.
pub(super) fn announcement(
    state: &State,
    incarnation: u64,
    peer_address: SocketAddr,
) -> LiveInstance {
    LiveInstance {
        name: state.settings.name.clone(),
        incarnation,
        failure_domain: state.settings.failure_domain.clone(),
        peer_address: peer_address.to_string().into(),
        admin_address: state.settings.metrics_address.to_string().into(),
        state: LiveState::Live,
    }
}

/// Follows the announcements for ever.
pub(super) async fn follow(store: StoreClient, peers: PeerHandle) {
    let mut follower = Follower::new(store, MEMBER_TOPIC);
    let mut members: IndexMap<Arc<str>, LiveInstance> = IndexMap::new();
    loop {
        let Ok(update) = follower.next(READ_WAIT).await else {
            continue;
        };
        let records = match update {
            Update::Changes(records) if records.is_empty() => continue,
            Update::Changes(records) => records,
            Update::Snapshot(records) => {
                members.clear();
                records
            }
        };
        for record in &records {
            apply_announcement(&mut members, record);
        }
        let list: Vec<LiveInstance> = members.values().cloned().collect();
        tracing::info!(members = list.len(), "gateway: list of instances taken");
        peers.apply_list(&list);
        let batches = list.len() as f64 / BATCH_INSTANCES as f64;
        sleep(BATCH_WAIT.mul_f64(batches.max(1.0)).min(MAX_BATCH_WAIT)).await;
    }
}

fn apply_announcement(members: &mut IndexMap<Arc<str>, LiveInstance>, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        members.swap_remove(&record.key);
        return;
    };
    match serde_json::from_slice::<LiveInstance>(value) {
        Ok(member) => {
            members.insert(record.key.clone(), member);
        }
        Err(error) => tracing::warn!("gateway: announcement of {} refused: {error}", record.key),
    }
}
