//! Announces this instance in the store, and follows the announcements of the other
//! instances.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use indexmap::IndexMap;
use tokio::time::sleep;

use super::{
    follower::{Follower, Update},
    quarantine,
    state::State,
};
use crate::{
    infra::protocol::{LiveInstance, LiveState},
    log::backoff::Backoff,
    peer::{PeerHandle, TargetCrash},
    platform::{KeyedRecord, StoreClient, StoreError, Topic},
};

/// Topic of the instances' announcements, keyed by instance name. It also has the record
/// of [`quarantine`].
pub(super) const MEMBER_TOPIC: Topic = Topic("keyed.members");

/// Longest time that a read waits for the next announcement.
const READ_WAIT: Duration = Duration::from_secs(15);

/// Delay after a read of announcements for each [`BATCH_INSTANCES`] instances. The delay
/// lets the next read return several announcements at once.
const BATCH_WAIT: Duration = Duration::from_secs(1);

/// Number of instances up to which the delay after a read is [`BATCH_WAIT`]. In a
/// larger fleet more instances read more announcements. The delay then grows in
/// proportion to the number of instances, so that the total read rate does not.
const BATCH_INSTANCES: usize = 32;

/// Longest delay after a read of announcements.
const MAX_BATCH_WAIT: Duration = Duration::from_secs(6);

/// Longest random delay, for each instance, before the announcements in a restored store
/// are read.
const RESTORE_SPREAD: Duration = Duration::from_millis(10);

/// Delay after the first failed call to the store.
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest delay after a failed call to the store.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Appends the announcement of an instance, and retries until it succeeds.
pub(super) async fn announce(store: &StoreClient, member: &LiveInstance) {
    let mut backoff = Backoff::new(FIRST_RETRY, MAX_RETRY);
    loop {
        match append_announcement(store, member).await {
            Ok(()) => return,
            Err(error) => tracing::info!("gateway: cannot announce this instance: {error}"),
        }
        sleep(backoff.next_delay()).await;
    }
}

pub(super) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

async fn append_announcement(store: &StoreClient, member: &LiveInstance) -> Result<(), StoreError> {
    let value = serde_json::to_vec(member).unwrap_or_default();
    let appended = store.append(MEMBER_TOPIC, &member.name, &value, None).await;
    appended.map(drop)
}

/// Returns the announcement of this instance.
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

/// Reader of the announcements of all instances.
#[derive(Debug)]
pub(super) struct MemberTail {
    follower: Follower,
    members: IndexMap<Arc<str>, LiveInstance>,
    /// Stored crashes that have led to a quarantine.
    crashes: Vec<TargetCrash>,
    /// Announcement of this instance; `None` before its incarnation is known.
    own: Option<LiveInstance>,
    /// Whether the last snapshot lacked the announcement of this instance.
    is_own_missing: bool,
}

impl MemberTail {
    pub(super) fn new(store: StoreClient) -> Self {
        Self {
            follower: Follower::new(store, MEMBER_TOPIC),
            members: IndexMap::new(),
            crashes: Vec::new(),
            own: None,
            is_own_missing: false,
        }
    }

    /// Returns the stored crashes that have led to a quarantine.
    pub(super) fn crashes(&self) -> &[TargetCrash] {
        &self.crashes
    }

    /// Returns the incarnation for a new start of an instance: a number that is higher
    /// than that of each earlier start.
    ///
    /// The incarnation is the current Unix time in milliseconds, or the last announced
    /// incarnation plus one if that is greater. Retries until the announcements are
    /// read.
    pub(super) async fn next_incarnation(&mut self, name: &str) -> u64 {
        while !self.read().await {}
        let last = self.members.get(name);
        unix_ms().max(last.map_or(0, |member| member.incarnation) + 1)
    }

    /// Reads the next announcements. Returns false if the read failed or returned none.
    async fn read(&mut self) -> bool {
        match self.follower.next_update(READ_WAIT).await {
            Err(()) => return false,
            Ok(Update::Changes(records)) if records.is_empty() => return false,
            Ok(Update::Changes(records)) => self.apply(&records),
            Ok(Update::Snapshot(records)) => {
                self.replace(&records);
            }
            Ok(Update::Restored(records)) => {
                let known = self.replace(&records);
                self.keep_newer(known);
            }
        }
        let spread = RESTORE_SPREAD.saturating_mul(self.members.len() as u32);
        self.follower.set_restore_spread(spread);
        true
    }

    fn apply(&mut self, records: &[KeyedRecord]) {
        for record in records {
            if *record.key == *quarantine::KEY {
                self.crashes = quarantine::read(record);
                continue;
            }
            apply_announcement(&mut self.members, record);
        }
    }

    /// Replaces the announcements by those of a snapshot, and returns the earlier ones.
    fn replace(&mut self, records: &[KeyedRecord]) -> IndexMap<Arc<str>, LiveInstance> {
        let known = std::mem::take(&mut self.members);
        self.apply(records);
        if let Some(own) = &self.own {
            let stored = self.members.get(&own.name);
            self.is_own_missing = stored.is_none_or(|stored| stored.incarnation < own.incarnation);
        }
        known
    }

    /// Keeps the announcements that a restored store lacks or has in an older state. The
    /// instances that run announce themselves again.
    fn keep_newer(&mut self, known: IndexMap<Arc<str>, LiveInstance>) {
        for (name, member) in known {
            let stored = self.members.get(&name);
            if stored.is_none_or(|stored| stored.incarnation < member.incarnation) {
                self.members.insert(name, member);
            }
        }
    }
}

/// Follows the announcements and passes the list of instances to the peer connections.
/// Announces this instance again if a snapshot of the store lacks its announcement, `own`.
/// Never returns.
pub(super) async fn follow(
    mut tail: MemberTail,
    store: StoreClient,
    peers: PeerHandle,
    own: LiveInstance,
) {
    tail.own = Some(own.clone());
    loop {
        if !tail.read().await {
            continue;
        }
        if std::mem::take(&mut tail.is_own_missing) {
            tracing::info!(
                incarnation = own.incarnation,
                "gateway: the store lacks the announcement of this instance; writing it again"
            );
            announce(&store, &own).await;
        }
        let list: Vec<LiveInstance> = tail.members.values().cloned().collect();
        tracing::info!(members = list.len(), "gateway: list of instances updated");
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
        Err(error) => tracing::warn!(
            "gateway: cannot decode announcement of {}: {error}",
            record.key
        ),
    }
}
