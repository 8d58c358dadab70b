//! The lease that allows one instance to perform all duties.
//!
//! Claims and renewals of the lease are records in one topic of the store. An
//! append succeeds only if the topic's end offset is still the one that the writer
//! has read, so that at most one of several concurrent claims succeeds. The fencing
//! token of a lease is the offset of the lease's claim plus 1.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    control::{DutyInput, DutyRules, DutyStep, Identity, LeaseClock, LeaseTiming, Member, rank},
    gateway::{
        clock::boot_ms,
        follower::{Follower, Update},
        state::State,
    },
    ledger::DutyEntry,
    log::records::Duty,
    peer::PeerHandle,
    platform::{Holder, KeyedRecord, StoreClient, StoreError, Topic},
};

/// Topic of lease claims and renewals.
const DUTY_TOPIC: Topic = Topic("keyed.duties");

/// Key of all claims and renewals, since one lease covers all duties.
const DUTY_KEY: &str = "all";

/// Duty whose preference order ranks the instances; the lease covers all
/// duties.
const RANKED_DUTY: Duty = Duty::Fleet;

/// Renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 3;

/// Lease duration divided by the largest drift between two clocks during a lease.
const DRIFT_DIVISOR: u64 = 30;

/// Lease duration divided by the grace period. For this period an instance waits
/// for the instance ranked directly above it to claim first.
const GRACE_DIVISOR: u64 = 8;

/// Interval between two evaluations of the lease rules.
const STEP_PERIOD: Duration = Duration::from_millis(100);

/// Reads of the topic per lease duration.
const READS_PER_LEASE: u64 = 2;

/// Number of top-ranked instances that read the topic often enough to claim an
/// expired lease at once; the others read less often.
const CLAIM_CANDIDATES: u64 = 3;

/// Factor by which instances beyond the first [`CLAIM_CANDIDATES`] lengthen their
/// read interval.
const NON_CANDIDATE_FACTOR: u32 = 20;

/// Age of the last read of the topic beyond which the known state of the lease counts as
/// outdated, in lease durations.
const MAX_READ_AGE_LEASES: u64 = 6;

/// A claim of the lease, or a renewal.
#[derive(Debug, Deserialize, Serialize)]
struct DutyRecord {
    holder: Arc<str>,
    incarnation: u64,
    /// Fencing token of the lease to renew; 0 in a claim.
    epoch: u64,
}

/// The lease as known to this instance.
#[derive(Debug)]
pub(in crate::gateway) struct DutyLease {
    identity: Identity,
    known: Mutex<LeaseState>,
}

#[derive(Debug)]
struct LeaseState {
    /// Last known holder of the lease; `None` before the first known claim.
    entry: Option<DutyEntry>,
    /// Offset after the last known record of the topic.
    next_offset: Option<u64>,
    /// When the topic was last read, on the clock of [`boot_ms`]; 0 if the known state
    /// is outdated.
    read_at_ms: u64,
    /// Time until which this instance may act as holder.
    clock: LeaseClock,
}

impl DutyLease {
    pub(in crate::gateway) fn new(identity: Identity, lease_ms: u64) -> Self {
        Self {
            identity,
            known: Mutex::new(LeaseState {
                entry: None,
                next_offset: None,
                read_at_ms: 0,
                clock: LeaseClock::new(lease_ms),
            }),
        }
    }

    /// Returns this instance as holder with its fencing token, or `None` while
    /// it does not hold a valid lease.
    pub(in crate::gateway) fn holder(&self) -> Option<Holder> {
        let known = self.lock();
        let fence = known.clock.epoch(boot_ms())?;
        let entry = known.entry.as_ref()?;
        let held = entry.held_by(&self.identity.name, self.identity.incarnation);
        (held && entry.epoch == fence).then(|| Holder {
            name: self.identity.name.clone(),
            fence,
        })
    }

    /// Invalidates a lease whose fencing token was rejected as too low.
    pub(in crate::gateway) fn invalidate(&self, fence: u64) {
        tracing::warn!(
            fence,
            "duty: lease given up: a higher fencing token is in use"
        );
        self.lock().clock.invalidate(fence);
    }

    fn apply_record(&self, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            return;
        };
        match serde_json::from_slice::<DutyRecord>(value) {
            Ok(claim) => self.apply(&claim, record.offset),
            Err(error) => tracing::warn!(
                "duty: cannot decode lease record at offset {}: {error}",
                record.offset
            ),
        }
    }

    /// Applies a claim or renewal that was appended at `offset`.
    fn apply(&self, record: &DutyRecord, offset: u64) {
        // The number of a claim is its fencing token. Numbers begin at 1, since the token 0
        // marks a claim.
        let record_number = offset + 1;
        let mut known = self.lock();
        if known
            .entry
            .as_ref()
            .is_some_and(|entry| entry.last_renewal >= record_number)
        {
            return;
        }
        let epoch = match record.epoch {
            0 => record_number,
            epoch => epoch,
        };
        let changed = known
            .entry
            .as_ref()
            .is_none_or(|entry| entry.epoch != epoch);
        if changed {
            tracing::info!(
                holder = &*record.holder,
                fence = epoch,
                "duty: lease holder changed"
            );
        }
        known.entry = Some(DutyEntry {
            holder: record.holder.clone(),
            incarnation: record.incarnation,
            epoch,
            last_renewal: record_number,
            resigned: false,
        });
        known.next_offset = known.next_offset.max(Some(record_number));
    }

    fn note_read(&self, next_offset: u64) {
        let mut known = self.lock();
        known.next_offset = known.next_offset.max(Some(next_offset));
        known.read_at_ms = boot_ms();
    }

    /// Marks the known state of the lease as outdated, because the topic has records that
    /// this instance has not read.
    fn mark_outdated(&self) {
        self.lock().read_at_ms = 0;
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the lease topic, and claims and renews the lease. Never returns.
pub(in crate::gateway) async fn maintain_lease(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    peers: PeerHandle,
) {
    let period = Duration::from_millis(state.settings.timing.lease_ms / READS_PER_LEASE);
    let following = follow_lease_topic(
        state.clone(),
        lease.clone(),
        store.clone(),
        peers.clone(),
        period,
    );
    let claiming = claim_and_renew(state, lease, store, peers);
    tokio::join!(following, claiming);
}

/// Polls the lease topic. Long polls are not used, because they would return at
/// every renewal and so cause more reads.
async fn follow_lease_topic(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    peers: PeerHandle,
    period: Duration,
) {
    let mut follower = Follower::new(store, DUTY_TOPIC);
    loop {
        let entry = lease.lock().entry.clone();
        let factor = match own_rank(&lease, entry.as_ref(), &peers) < CLAIM_CANDIDATES {
            true => 1,
            false => NON_CANDIDATE_FACTOR,
        };
        match entry {
            Some(_) => sleep(period * factor).await,
            None => sleep(first_read_delay(state.instances())).await,
        }
        let Ok(update) = follower.next_update(Duration::ZERO).await else {
            continue;
        };
        let (Update::Snapshot(records) | Update::Changes(records)) = update;
        for record in &records {
            lease.apply_record(record);
        }
        if let Some(next_offset) = follower.next_offset() {
            lease.note_read(next_offset);
        }
    }
}

/// Returns a randomised delay between two reads while no holder is known.
///
/// The delay grows with the number of instances, because only a few instances need
/// to try the first claim.
fn first_read_delay(instances: usize) -> Duration {
    let factor = instances as f64 / CLAIM_CANDIDATES as f64;
    STEP_PERIOD.mul_f64(factor.max(1.0) * (0.5 + rand::random::<f64>()))
}

async fn claim_and_renew(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    peers: PeerHandle,
) {
    let lease_ms = state.settings.timing.lease_ms;
    let timing = LeaseTiming {
        lease_ms,
        drift_ms: lease_ms / DRIFT_DIVISOR,
        grace_ms: lease_ms / GRACE_DIVISOR,
    };
    let renew_ms = lease_ms / RENEWALS_PER_LEASE;
    let mut rules = DutyRules::new(RANKED_DUTY, lease.identity.clone(), timing, renew_ms);
    loop {
        sleep(STEP_PERIOD).await;
        // A stopping instance lets its lease expire. Resigning would allow
        // several holders in turn within one lease duration.
        if state.is_stopping() {
            continue;
        }
        let (step, at) = {
            let known = lease.lock();
            let now_ms = boot_ms();
            let input = DutyInput {
                entry: known.entry.as_ref(),
                is_tail_current: now_ms.saturating_sub(known.read_at_ms)
                    < MAX_READ_AGE_LEASES * lease_ms,
                rank: own_rank(&lease, known.entry.as_ref(), &peers),
                stopping: false,
                idle: false,
                last_read_ms: known.read_at_ms,
                now_ms,
            };
            (rules.step(&input), known.next_offset)
        };
        let Some(at) = at else {
            continue;
        };
        match step {
            DutyStep::Claim(_) => append_record(&lease, &store, 0, at).await,
            DutyStep::Renew(renewal) => append_record(&lease, &store, renewal.epoch, at).await,
            DutyStep::Wait | DutyStep::Resign(_) => {}
        }
    }
}

/// Appends a claim, if `epoch` is 0, or a renewal of the lease with fencing token
/// `epoch`. The store rejects the record unless the topic ends at offset `at`.
async fn append_record(lease: &DutyLease, store: &StoreClient, epoch: u64, at: u64) {
    let record = DutyRecord {
        holder: lease.identity.name.clone(),
        incarnation: lease.identity.incarnation,
        epoch,
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let sent_ms = boot_ms();
    match store.append(DUTY_TOPIC, DUTY_KEY, &value, Some(at)).await {
        Ok(appended) => {
            lease.apply(&record, appended.offset);
            let epoch = match epoch {
                0 => appended.offset + 1,
                epoch => epoch,
            };
            lease.lock().clock.confirm(epoch, sent_ms);
        }
        Err(StoreError::EndOffsetMismatch { end_offset }) => {
            tracing::info!(
                at,
                end_offset,
                "duty: append rejected: another record was appended first"
            );
            lease.mark_outdated();
        }
        Err(error) => tracing::info!(at, "duty: cannot append claim or renewal: {error}"),
    }
}

/// Returns this instance's rank among the reachable instances, from 0.
///
/// If another instance holds the lease, that instance is left out of the ranking, as
/// if its lease had expired.
fn own_rank(lease: &DutyLease, entry: Option<&DutyEntry>, peers: &PeerHandle) -> u64 {
    let name = &lease.identity.name;
    let mut members = Vec::new();
    for peer in peers.reachable() {
        members.push(Member {
            identity: Identity {
                name: peer.name,
                incarnation: peer.incarnation,
            },
            leaving: peer.leaving,
        });
    }
    let holder = entry.map(|entry| &*entry.holder);
    let left_out = holder.filter(|holder| *holder != &**name);
    rank(RANKED_DUTY, name, &members, left_out)
}
