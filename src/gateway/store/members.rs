//! Announces this instance in the store, and follows the announcements of the other
//! instances.
//!
//! The announcement of an instance that does not respond to those linked to it is removed,
//! so that no relay, quorum or share counts on it. An instance that runs nevertheless
//! announces itself again as soon as it reads of that.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use indexmap::IndexMap;
use tokio::time::sleep;

use crate::{
    gateway::{
        notices::quarantine,
        state::State,
        store::follower::{Follower, Update},
    },
    infra::protocol::{LiveInstance, LiveState},
    log::backoff::Backoff,
    peer::{PeerHandle, PeerState, TargetCrash},
    platform::{KeyedRecord, StoreClient, StoreError, Topic},
};

/// Topic of the instances' announcements, keyed by instance name. It also has the record
/// of [`quarantine`].
pub(in crate::gateway) const MEMBER_TOPIC: Topic = Topic("keyed.members");

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

/// Time without a response after which the announcement of an instance is removed.
const REMOVAL_SILENCE: Duration = Duration::from_secs(10);

/// The same while no other instance responds. It is then likely that this instance is the
/// one that is cut off.
const ISOLATED_REMOVAL_SILENCE: Duration = Duration::from_secs(60);

/// Longest random delay of a removal. Most instances then read that another one has removed
/// an announcement before they do so themselves.
const REMOVAL_SPREAD: Duration = Duration::from_secs(3);

/// Interval between two checks for instances that do not respond.
const SILENCE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Delay after the first failed call to the store.
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest delay after a failed call to the store.
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Appends the announcement of an instance, and retries until it succeeds.
pub(in crate::gateway) async fn announce(store: &StoreClient, member: &LiveInstance) {
    let mut backoff = Backoff::new(FIRST_RETRY, MAX_RETRY);
    loop {
        match append_announcement(store, member).await {
            Ok(()) => return,
            Err(error) => tracing::info!("gateway: cannot announce this instance: {error}"),
        }
        sleep(backoff.next_delay()).await;
    }
}

pub(in crate::gateway) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

async fn append_announcement(store: &StoreClient, member: &LiveInstance) -> Result<(), StoreError> {
    let value = serde_json::to_vec(member).unwrap_or_default();
    let appended = store.append(MEMBER_TOPIC, &member.name, &value, None).await;
    appended.map(drop)
}

/// Returns the announcement of this instance.
pub(in crate::gateway) fn announcement(
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
pub(in crate::gateway) struct MemberTail {
    follower: Follower,
    members: IndexMap<Arc<str>, LiveInstance>,
    /// Stored crashes that have led to a quarantine.
    crashes: Vec<TargetCrash>,
    /// Announcement of this instance; `None` before its incarnation is known.
    own: Option<LiveInstance>,
    /// Whether the store lacks the announcement of this instance.
    is_own_missing: bool,
}

impl MemberTail {
    pub(in crate::gateway) fn new(store: StoreClient) -> Self {
        Self {
            follower: Follower::new(store, MEMBER_TOPIC),
            members: IndexMap::new(),
            crashes: Vec::new(),
            own: None,
            is_own_missing: false,
        }
    }

    /// Returns the stored crashes that have led to a quarantine.
    pub(in crate::gateway) fn crashes(&self) -> &[TargetCrash] {
        &self.crashes
    }

    /// Returns the incarnation for a new start of an instance: a number that is higher
    /// than that of each earlier start.
    ///
    /// The incarnation is the current Unix time in milliseconds, or the last announced
    /// incarnation plus one if that is greater. Retries until the announcements are
    /// read.
    pub(in crate::gateway) async fn next_incarnation(&mut self, name: &str) -> u64 {
        while !self.read().await {}
        let last = self.members.get(name);
        unix_ms().max(last.map_or(0, |member| member.incarnation) + 1)
    }

    /// Reads the next announcements. Returns false if the read failed or returned none.
    async fn read(&mut self) -> bool {
        match self.follower.next_update(READ_WAIT).await {
            Err(()) => return false,
            Ok(Update::Changes(records)) if records.is_empty() => return false,
            Ok(Update::Changes(records)) => {
                self.apply(&records);
                self.check_own();
            }
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
        self.check_own();
        known
    }

    fn check_own(&mut self) {
        if let Some(own) = &self.own {
            let stored = self.members.get(&own.name);
            self.is_own_missing = stored.is_none_or(|stored| stored.incarnation < own.incarnation);
        }
    }

    /// Reads the next announcements as [`read`](Self::read) does. Returns `None` if `stop`
    /// completes before, while this instance follows the topic without failures.
    async fn read_until<F>(&mut self, stop: F) -> Option<bool>
    where
        F: Future<Output = ()>,
    {
        if self.follower.next_position().is_none() || self.follower.last_read_failed() {
            return Some(self.read().await);
        }
        tokio::select! {
            biased;
            read = self.read() => Some(read),
            () = stop => None,
        }
    }

    /// Removes the announcements of instances that do not respond, unless the topic has
    /// changed since the last read.
    async fn remove(&self, store: &StoreClient, silent: &[PeerState]) {
        let Some(at) = self.follower.next_position() else {
            return;
        };
        let mut records = Vec::with_capacity(silent.len());
        for peer in silent {
            records.push((peer.name.to_string(), Vec::new()));
        }
        match store.append_all(MEMBER_TOPIC, &records, Some(at)).await {
            Ok(_) => {
                for peer in silent {
                    tracing::warn!(
                        instance = &*peer.name,
                        incarnation = peer.incarnation,
                        offset = at.offset,
                        "gateway: instance does not respond; its announcement is removed"
                    );
                }
            }
            Err(error) => tracing::info!(
                offset = at.offset,
                instances = silent.len(),
                "gateway: announcements of silent instances not removed: {error}"
            ),
        }
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
/// Announces this instance again if the store lacks its announcement, `own`, and removes the
/// announcements of instances that do not respond. Never returns.
pub(in crate::gateway) async fn follow(
    mut tail: MemberTail,
    store: StoreClient,
    peers: PeerHandle,
    own: LiveInstance,
) {
    tail.own = Some(own.clone());
    loop {
        match tail.read_until(any_silent(&peers)).await {
            Some(true) => {}
            Some(false) => continue,
            None => {
                remove_silent(&tail, &store, &peers).await;
                continue;
            }
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

/// Waits until there are instances that do not respond.
async fn any_silent(peers: &PeerHandle) {
    while silent(peers).is_empty() {
        sleep(SILENCE_CHECK_PERIOD).await;
    }
    sleep(REMOVAL_SPREAD.mul_f64(rand::random())).await;
}

/// Removes the announcements of the instances that still do not respond.
async fn remove_silent(tail: &MemberTail, store: &StoreClient, peers: &PeerHandle) {
    let silent = silent(peers);
    if !silent.is_empty() {
        tail.remove(store, &silent).await;
    }
}

/// Returns the instances that have not responded for so long that they count as gone.
fn silent(peers: &PeerHandle) -> Vec<PeerState> {
    let min_silence = match peers.connected().is_empty() {
        true => ISOLATED_REMOVAL_SILENCE,
        false => REMOVAL_SILENCE,
    };
    peers.silent(min_silence)
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
