//! The lease under which one instance has all duties.
//!
//! Claims and renewals are records of one topic. Each is appended only if the
//! topic ends where its writer has read it, so that of several claims one is
//! taken. A claim's offset is the fencing number of the lease.

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

/// Topic of claims and renewals.
const DUTY_TOPIC: Topic = Topic("keyed.duties");

/// Key of the claims and renewals.
const DUTY_KEY: &str = "all";

/// Duty by which instances are ranked; one lease covers all of them.
const RANKED_DUTY: Duty = Duty::Fleet;

/// Renewals in the time of a lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Part of a lease by which two clocks may differ over it.
const DRIFT_DIVISOR: u64 = 30;

/// Part of a lease for which the next in rank lets the one before it claim.
const GRACE_DIVISOR: u64 = 8;

/// Time between two decisions.
const STEP_PERIOD: Duration = Duration::from_millis(100);

/// Reads of the topic in the time of a lease.
const READS_PER_LEASE: u64 = 2;

/// Instances that are ready to claim at once; the others look more rarely.
const CANDIDATES: u64 = 3;

/// Factor of the time between two reads of an instance that is no candidate.
const NON_CANDIDATE_FACTOR: u32 = 20;

/// Age of the last read at which the topic counts as unread, in leases.
const MAX_READ_AGE_LEASES: u64 = 6;

/// A claim, or a renewal of one.
#[derive(Debug, Deserialize, Serialize)]
struct DutyRecord {
    holder: Arc<str>,
    incarnation: u64,
    /// Fencing number of the claim that is renewed; 0 for a claim.
    epoch: u64,
}

/// What this instance knows of the lease.
#[derive(Debug)]
pub(in crate::gateway) struct DutyLease {
    identity: Identity,
    known: Mutex<LeaseState>,
}

#[derive(Debug)]
struct LeaseState {
    entry: Option<DutyEntry>,
    next_offset: Option<u64>,
    read_at_ms: u64,
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

    /// Returns under which number this instance may act at this moment.
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

    /// Ends a lease whose number was refused.
    pub(in crate::gateway) fn give_up(&self, fence: u64) {
        tracing::warn!(fence, "duty: a higher fencing number was used; giving up");
        self.lock().clock.give_up(fence);
    }

    fn decode_record(&self, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            return;
        };
        match serde_json::from_slice::<DutyRecord>(value) {
            Ok(claim) => self.apply(&claim, record.offset),
            Err(error) => tracing::warn!("duty: record at {} refused: {error}", record.offset),
        }
    }

    /// Applies a record that was appended at `offset`.
    fn apply(&self, record: &DutyRecord, offset: u64) {
        // Numbers begin at 1.
        let number = offset + 1;
        let mut known = self.lock();
        if known
            .entry
            .as_ref()
            .is_some_and(|entry| entry.renewal >= number)
        {
            return;
        }
        let epoch = match record.epoch {
            0 => number,
            epoch => epoch,
        };
        let changed = known
            .entry
            .as_ref()
            .is_none_or(|entry| entry.epoch != epoch);
        if changed {
            tracing::info!(holder = &*record.holder, fence = epoch, "duty: new holder");
        }
        known.entry = Some(DutyEntry {
            holder: record.holder.clone(),
            incarnation: record.incarnation,
            epoch,
            renewal: number,
            resigned: false,
        });
        known.next_offset = known.next_offset.max(Some(number));
    }

    fn note_read(&self, next_offset: u64) {
        let mut known = self.lock();
        known.next_offset = known.next_offset.max(Some(next_offset));
        known.read_at_ms = boot_ms();
    }

    /// Notes that the topic holds records that were not read yet.
    fn mark_outdated(&self) {
        self.lock().read_at_ms = 0;
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the lease, and claims and renews it, for ever.
pub(in crate::gateway) async fn maintain_lease(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    peers: PeerHandle,
) {
    let period = Duration::from_millis(state.settings.timing.lease_ms / READS_PER_LEASE);
    let following = follow(
        state.clone(),
        lease.clone(),
        store.clone(),
        peers.clone(),
        period,
    );
    let claiming = claim_and_renew(state, lease, store, peers);
    tokio::join!(following, claiming);
}

/// Reads the topic again and again: waiting reads would return at each
/// renewal.
async fn follow(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    peers: PeerHandle,
    period: Duration,
) {
    let mut follower = Follower::new(store, DUTY_TOPIC);
    loop {
        let entry = lease.lock().entry.clone();
        let factor = match own_rank(&lease, entry.as_ref(), &peers) < CANDIDATES {
            true => 1,
            false => NON_CANDIDATE_FACTOR,
        };
        match entry {
            Some(_) => sleep(period * factor).await,
            None => sleep(first_read_delay(state.instances())).await,
        }
        let Ok(update) = follower.next(Duration::ZERO).await else {
            continue;
        };
        let (Update::Snapshot(records) | Update::Changes(records)) = update;
        for record in &records {
            lease.decode_record(record);
        }
        if let Some(next_offset) = follower.next_offset() {
            lease.note_read(next_offset);
        }
    }
}

/// Returns the time between two reads before any holder is known: few of many
/// instances need to be first.
fn first_read_delay(instances: usize) -> Duration {
    let factor = instances as f64 / CANDIDATES as f64;
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
        // A stopping instance lets its lease lapse: a resignation would let
        // holders take turns within one lease.
        if state.is_stopping() {
            continue;
        }
        let (step, at) = {
            let known = lease.lock();
            let now_ms = boot_ms();
            let input = DutyInput {
                entry: known.entry.as_ref(),
                tail_live: now_ms.saturating_sub(known.read_at_ms) < MAX_READ_AGE_LEASES * lease_ms,
                rank: own_rank(&lease, known.entry.as_ref(), &peers),
                stopping: false,
                idle: false,
                known_at_ms: known.read_at_ms,
                now_ms,
            };
            (rules.step(&input), known.next_offset)
        };
        let Some(at) = at else {
            continue;
        };
        match step {
            DutyStep::Claim(_) => append(&lease, &store, 0, at).await,
            DutyStep::Renew(renewal) => append(&lease, &store, renewal.epoch, at).await,
            DutyStep::Wait | DutyStep::Resign(_) => {}
        }
    }
}

async fn append(lease: &DutyLease, store: &StoreClient, epoch: u64, at: u64) {
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
            tracing::info!(at, end_offset, "duty: another record was first");
            lease.mark_outdated();
        }
        Err(error) => tracing::info!(at, "duty: claim or renewal failed: {error}"),
    }
}

/// Returns this instance's place among those that run.
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
    let lapsed = holder.filter(|holder| *holder != &**name);
    rank(RANKED_DUTY, name, &members, lapsed)
}
