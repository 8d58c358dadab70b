//! Claims and renewals of the duty lease.
//!
//! An append succeeds only if the topic's end offset is still the one that the writer
//! has read, so that at most one of several concurrent claims succeeds.
//!
//! After a restore of the store, the holder claims the lease again at once if it was valid
//! when the holder learned of the restore: nobody can have claimed it since. All others
//! wait as if the lease had just been renewed.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::duty_lease::{DutyLease, DutyRecord, era_of};
use crate::{
    control::{DutyInput, DutyRules, DutyStep, Identity, LeaseTiming, Member, rank},
    gateway::{clock::boot_ms, state::State, store::follower::Follower},
    ledger::DutyEntry,
    log::records::{Duty, DutyClaim},
    peer::PeerHandle,
    platform::{Position, StoreClient, StoreError, Topic},
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
    let mut era = store.watch_era();
    let mut follower = Follower::new(store, DUTY_TOPIC);
    loop {
        let entry = lease.lock().entry.clone();
        let is_candidate = own_rank(&lease, entry.as_ref(), &peers) < CLAIM_CANDIDATES;
        let pause = match &entry {
            None => first_read_delay(state.instances()),
            // The records were trimmed or lost.
            Some(_) if follower.next_position().is_none() => Duration::ZERO,
            Some(_) if is_candidate => period,
            Some(_) => period * NON_CANDIDATE_FACTOR,
        };
        let is_urgent = entry.is_some_and(|entry| is_candidate || lease.is_own(&entry));
        tokio::select! {
            () = sleep(pause) => {}
            Ok(()) = era.changed(), if is_urgent => {}
        }
        let Ok(update) = follower.next_update(Duration::ZERO).await else {
            continue;
        };
        for record in &update.into_records() {
            lease.apply_record(record);
        }
        if let Some(next) = follower.next_position() {
            lease.note_read(next);
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
    let new_rules = || DutyRules::new(RANKED_DUTY, lease.identity.clone(), timing, renew_ms);
    let mut rules = new_rules();
    let mut era = store.era().number;
    loop {
        sleep(STEP_PERIOD).await;
        // A stopping instance lets its lease expire. Resigning would allow
        // several holders in turn within one lease duration.
        if state.is_stopping() {
            continue;
        }
        let latest_era = store.era();
        if latest_era.number != era {
            era = latest_era.number;
            // What was observed before tells nothing about the lease in the restored store.
            rules = new_rules();
            lease.note_restore(&latest_era, timing.grace_ms);
        }
        let Some((step, at)) = next_step(&lease, &mut rules, era, &timing, &peers) else {
            continue;
        };
        match step {
            DutyStep::Claim(_) => append_record(&lease, &store, 0, at).await,
            DutyStep::Renew(renewal) => append_record(&lease, &store, renewal.epoch, at).await,
            DutyStep::Wait | DutyStep::Resign(_) => {}
        }
    }
}

/// Decides the next step, and where its record is to be appended. Returns `None` before the
/// topic was read in this `era` of the store.
fn next_step(
    lease: &DutyLease,
    rules: &mut DutyRules,
    era: u64,
    timing: &LeaseTiming,
    peers: &PeerHandle,
) -> Option<(DutyStep, Position)> {
    let mut known = lease.lock();
    let at = known.next.filter(|next| next.era == era)?;
    let entry = known.entry.clone();
    let is_of_earlier_era = |entry: &DutyEntry| era_of(entry.epoch) < Some(era);
    let is_outdated_own = entry
        .as_ref()
        .is_some_and(|entry| lease.is_own(entry) && is_of_earlier_era(entry));
    if is_outdated_own && known.may_resume && known.read_at_ms != 0 {
        return Some((DutyStep::Claim(DutyClaim::default()), at));
    }
    let is_rejected_own = !is_outdated_own
        && known.is_rejected()
        && entry.as_ref().is_some_and(|entry| lease.is_own(entry));
    let observed = match is_outdated_own || (entry.is_none() && era > 0) {
        true => Some(unknown_holder(entry.as_ref())),
        // Nobody else holds the lease, so that it can be claimed at once.
        false if is_rejected_own => Some(DutyEntry {
            resigned: true,
            ..unknown_holder(entry.as_ref())
        }),
        false => entry.clone(),
    };
    let now_ms = boot_ms();
    let input = DutyInput {
        entry: observed.as_ref(),
        is_tail_current: now_ms.saturating_sub(known.read_at_ms)
            < MAX_READ_AGE_LEASES * timing.lease_ms,
        rank: match is_rejected_own {
            true => 0,
            false => own_rank(lease, entry.as_ref(), peers),
        },
        stopping: false,
        idle: false,
        last_read_ms: known.read_at_ms,
        now_ms,
    };
    let step = rules.step(&input);
    if let DutyStep::Claim(_) = step {
        match is_rejected_own {
            true => known.reclaimed_at_ms = Some(now_ms),
            false => known.unbroken_since = at.number(),
        }
    }
    Some((step, at))
}

/// Returns an entry that stands for a holder whose claim or renewals a restored store may
/// lack. `newest` is the newest known entry.
fn unknown_holder(newest: Option<&DutyEntry>) -> DutyEntry {
    DutyEntry {
        holder: "".into(),
        incarnation: 0,
        epoch: newest.map_or(0, |entry| entry.epoch),
        last_renewal: newest.map_or(0, |entry| entry.last_renewal),
        resigned: false,
    }
}

/// Appends a claim, if `epoch` is 0, or a renewal of the lease with fencing token
/// `epoch`. The store rejects the record unless the topic ends at `at`.
async fn append_record(lease: &DutyLease, store: &StoreClient, epoch: u64, at: Position) {
    let record = DutyRecord {
        holder: lease.identity.name.clone(),
        incarnation: lease.identity.incarnation,
        epoch,
        era: at.era,
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let sent_ms = boot_ms();
    match store.append(DUTY_TOPIC, DUTY_KEY, &value, Some(at)).await {
        Ok(appended) => {
            lease.apply(&record, appended.first.offset);
            lease.confirm(epoch, &appended, sent_ms);
        }
        Err(StoreError::EndOffsetMismatch { end_offset }) => {
            tracing::info!(
                at = at.offset,
                end_offset,
                "duty: append rejected: another record was appended first"
            );
            lease.mark_outdated();
        }
        Err(error) => tracing::info!(
            at = at.offset,
            "duty: cannot append claim or renewal: {error}"
        ),
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
