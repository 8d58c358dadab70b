//! The lease that allows one instance to perform all duties, as known to this instance.
//!
//! Claims and renewals of the lease are records in one topic of the store, which
//! `lease_claims` reads and appends. The fencing token of a lease is the number of the
//! position of the lease's claim.
//!
//! A restored store may lack the newest claims and renewals. A lease of an earlier era of
//! the store is therefore no longer used.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    control::{Identity, LeaseClock},
    gateway::clock::boot_ms,
    ledger::DutyEntry,
    platform::{Appended, Holder, KeyedRecord, Position, StoreEra},
    sync,
};

/// Lease duration divided by the time before the end of the lease after which a duty makes no
/// call. A call that is on its way then arrives, or is given up, before another instance can
/// hold the lease.
const CALL_MARGIN_DIVISOR: u64 = 4;

/// Lease duration divided by the time for which a call's bytes may stay unacknowledged. The
/// quotient is less than the margin of calls, as the kernel goes on sending while this process
/// is paused.
const UNACKNOWLEDGED_DIVISOR: u64 = 5;

/// Time after a claim that followed a rejected fencing token in which a rejection is no reason
/// for another claim, in milliseconds. The token was then the newest one, so that the cause is
/// another.
const RECLAIM_PERIOD_MS: u64 = 60_000;

/// Returns the time for which the bytes of a call may stay unacknowledged before the kernel
/// closes its connection.
pub(in crate::gateway) fn unacknowledged_limit(lease_ms: u64) -> Duration {
    Duration::from_millis(lease_ms / UNACKNOWLEDGED_DIVISOR)
}

/// A claim of the lease, or a renewal.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct DutyRecord {
    pub(super) holder: Arc<str>,
    pub(super) incarnation: u64,
    /// Fencing token of the lease to renew; 0 in a claim.
    pub(super) epoch: u64,
    /// Era of the store in which the record was sent.
    #[serde(default)]
    pub(super) era: u64,
}

impl DutyRecord {
    /// Returns the number of the record's position, if it was appended at `offset`.
    fn number(&self, offset: u64) -> u64 {
        let era = self.era;
        Position { era, offset }.number()
    }
}

/// The lease as known to this instance.
#[derive(Debug)]
pub(in crate::gateway) struct DutyLease {
    pub(super) identity: Identity,
    era: watch::Receiver<StoreEra>,
    known: Mutex<LeaseState>,
    call_margin_ms: u64,
}

#[derive(Debug)]
pub(super) struct LeaseState {
    /// Last known holder of the lease; `None` before the first known claim.
    pub(super) entry: Option<DutyEntry>,
    /// Position after the last known record of the topic.
    pub(super) next: Option<Position>,
    /// When the topic was last read, on the clock of [`boot_ms`]; 0 if the known state
    /// is outdated.
    pub(super) read_at_ms: u64,
    /// Time until which this instance may act as holder.
    clock: LeaseClock,
    /// Whether this instance held the lease when the store was restored, and may claim it
    /// again at once.
    pub(super) may_resume: bool,
    /// First fencing token since which no other instance can have held the lease, if this
    /// instance holds it.
    pub(super) unbroken_since: u64,
    /// Fencing token that was rejected as too low; the lease is claimed again if it is that
    /// of the lease.
    rejected_fence: u64,
    /// When the lease was last claimed again after a rejection, on the clock of [`boot_ms`].
    pub(super) reclaimed_at_ms: Option<u64>,
}

impl LeaseState {
    /// Returns whether the fencing token of the lease was rejected.
    pub(super) fn is_rejected(&self) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| entry.epoch == self.rejected_fence)
    }
}

impl DutyLease {
    /// Creates the lease of an instance that does not hold it yet. `era` is the latest
    /// known era of the store.
    pub(in crate::gateway) fn new(
        identity: Identity,
        lease_ms: u64,
        era: watch::Receiver<StoreEra>,
    ) -> Self {
        Self {
            identity,
            era,
            known: Mutex::new(LeaseState {
                entry: None,
                next: None,
                read_at_ms: 0,
                clock: LeaseClock::new(lease_ms),
                may_resume: false,
                unbroken_since: 0,
                rejected_fence: 0,
                reclaimed_at_ms: None,
            }),
            call_margin_ms: lease_ms / CALL_MARGIN_DIVISOR,
        }
    }

    /// Returns this instance as holder with its fencing token, or `None` while
    /// it does not hold a valid lease.
    pub(in crate::gateway) fn holder(&self) -> Option<Holder> {
        let known = self.lock();
        let fence = known.clock.epoch(boot_ms())?;
        let era = self.era.borrow().number;
        let held = known.entry.as_ref().is_some_and(|entry| {
            self.is_own(entry) && entry.epoch == fence && era_of(fence) == Some(era)
        });
        held.then(|| Holder {
            name: self.identity.name.clone(),
            fence,
        })
    }

    /// Returns the time in which a call under the lease with fencing token `fence` may be made
    /// and must end.
    pub(in crate::gateway) fn call_time(&self, fence: u64) -> Duration {
        if self.holder().is_none_or(|holder| holder.fence != fence) {
            return Duration::ZERO;
        }
        let left_ms = self.lock().clock.left_ms(boot_ms());
        Duration::from_millis(left_ms.saturating_sub(self.call_margin_ms))
    }

    /// Returns the first fencing token since which no other instance can have held the
    /// lease. Meaningful only while this instance holds the lease.
    pub(super) fn unbroken_since(&self) -> u64 {
        self.lock().unbroken_since
    }

    pub(super) fn is_own(&self, entry: &DutyEntry) -> bool {
        entry.held_by(&self.identity.name, self.identity.incarnation)
    }

    /// Invalidates a lease whose fencing token was rejected as too low. If no other instance
    /// has claimed the lease, it is claimed again, unless that was done a short time ago.
    pub(in crate::gateway) fn invalidate(&self, fence: u64) {
        let now_ms = boot_ms();
        let mut known = self.lock();
        let was_reclaimed = known
            .reclaimed_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + RECLAIM_PERIOD_MS);
        if was_reclaimed {
            tracing::warn!(
                fence,
                "duty: call rejected under the newest fencing token; lease kept"
            );
            return;
        }
        tracing::warn!(
            fence,
            "duty: lease given up: a higher fencing token may be in use"
        );
        metrics::counter!("gateway_fences_rejected_total").increment(1);
        known.clock.invalidate(fence);
        known.rejected_fence = known.rejected_fence.max(fence);
    }

    pub(super) fn apply_record(&self, record: &KeyedRecord) {
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
    pub(super) fn apply(&self, record: &DutyRecord, offset: u64) {
        // The number of a claim is its fencing token.
        let record_number = record.number(offset);
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
    }

    pub(super) fn note_read(&self, next: Position) {
        let mut known = self.lock();
        known.next = known.next.max(Some(next));
        known.read_at_ms = boot_ms();
    }

    /// Notes that the store is in a new era. The lease can be resumed if nobody can have
    /// claimed it in the earlier era, which then ended within `grace_ms` after the lease.
    pub(super) fn note_restore(&self, era: &StoreEra, grace_ms: u64) {
        let seen_ms = boot_ms().saturating_sub(era.seen_at.elapsed().as_millis() as u64);
        let mut known = self.lock();
        let valid = known.clock.epoch(seen_ms.saturating_sub(grace_ms));
        let own = known.entry.as_ref().filter(|entry| self.is_own(entry));
        let may_resume = own.is_some_and(|entry| valid == Some(entry.epoch));
        if own.is_some() {
            tracing::warn!(
                fence = own.map(|entry| entry.epoch),
                may_resume,
                "duty: the store was restored while this instance held the lease"
            );
        }
        known.may_resume = may_resume;
        if known.next.is_none_or(|next| next.era < era.number) {
            known.read_at_ms = 0;
        }
    }

    /// Extends the lease after an appended claim, if `epoch` is 0, or a renewal that was sent
    /// at `sent_ms`.
    pub(super) fn confirm(&self, epoch: u64, appended: &Appended, sent_ms: u64) {
        let epoch = match epoch {
            0 => appended.first.number(),
            epoch => epoch,
        };
        let mut known = self.lock();
        known.next = known.next.max(Some(appended.end));
        known.clock.confirm(epoch, sent_ms);
    }

    /// Marks the known state of the lease as outdated, because the topic has records that
    /// this instance has not read.
    pub(super) fn mark_outdated(&self) {
        self.lock().read_at_ms = 0;
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LeaseState> {
        sync::lock(&self.known)
    }
}

/// Returns the era of the record whose position has this number.
pub(super) fn era_of(number: u64) -> Option<u64> {
    Position::from_number(number).map(|position| position.era)
}
