//! Checks whether this instance may act as the holder of a duty, a task that one
//! instance performs at a time.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::{OwnedRwLockReadGuard, RwLock};

use super::{Clock, Error, Identity, LeaseClock, Result};
use crate::{ledger::LedgerHandle, log::records::Duty, sync};

/// Authority of this instance to act as the holder of a duty.
///
/// The authority is valid while the ledger names this instance as the holder and
/// the lease has not lapsed. Clones share their state.
#[derive(Clone, Debug)]
pub struct Authority {
    duty: Duty,
    identity: Identity,
    ledger: LedgerHandle,
    clock: Clock,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    lease: Mutex<LeaseClock>,
    /// Whether this instance is giving up the duty and starts no new order.
    resigning: AtomicBool,
    handover_requested: AtomicBool,
    /// Each order in progress holds a read lock.
    orders_in_progress: Arc<RwLock<()>>,
}

/// Permit for one order. The duty is not resigned before all permits are dropped.
#[derive(Debug)]
pub struct OrderPermit {
    /// Epoch under which the order is sent.
    pub epoch: u64,
    _guard: OwnedRwLockReadGuard<()>,
}

impl Authority {
    /// Returns an authority without a lease.
    pub fn new(duty: Duty, identity: Identity, ledger: LedgerHandle, lease: LeaseClock) -> Self {
        Self {
            duty,
            identity,
            ledger,
            clock: Clock::start(),
            shared: Arc::new(Shared {
                lease: Mutex::new(lease),
                resigning: AtomicBool::new(false),
                handover_requested: AtomicBool::new(false),
                orders_in_progress: Arc::default(),
            }),
        }
    }

    /// Returns the duty.
    pub fn duty(&self) -> Duty {
        self.duty
    }

    /// Returns the identity of this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the clock of the lease.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the epoch if the ledger names this instance as the holder of the
    /// duty and the lease has not lapsed, and `None` otherwise.
    pub fn epoch(&self) -> Option<u64> {
        let held = self.ledger_epoch()?;
        let lease = *self.lock_lease();
        let leased = lease.epoch(self.clock.now_ms())?;
        (leased == held).then_some(leased)
    }

    /// Starts or extends the lease after the ledger accepted a claim or renewal
    /// that was sent at `sent_ms` on [`Authority::clock`].
    pub fn confirm(&self, epoch: u64, sent_ms: u64) {
        self.lock_lease().confirm(epoch, sent_ms);
    }

    /// Ends the lease of `epoch` permanently. Must be called before the resignation
    /// is sent.
    pub fn invalidate(&self, epoch: u64) {
        self.lock_lease().invalidate(epoch);
    }

    /// Returns a permit for one order, unless the duty is being given up.
    ///
    /// # Errors
    ///
    /// [`Error::NotHolder`] if this instance may not start orders under the duty.
    pub async fn start_order(&self) -> Result<OrderPermit> {
        let guard = self.shared.orders_in_progress.clone().read_owned().await;
        if self.shared.resigning.load(Ordering::Acquire) {
            return Err(Error::NotHolder);
        }
        let epoch = self.epoch().ok_or(Error::NotHolder)?;
        Ok(OrderPermit {
            epoch,
            _guard: guard,
        })
    }

    /// Sets whether the duty is being given up. New orders are refused meanwhile.
    pub fn set_resigning(&self, resigning: bool) {
        self.shared.resigning.store(resigning, Ordering::Release);
    }

    /// Requests that this instance resign the duty, so that the next claim, by any
    /// instance, starts a new epoch.
    pub fn request_handover(&self) {
        self.shared
            .handover_requested
            .store(true, Ordering::Release);
    }

    /// Returns whether a handover was requested and not yet cleared.
    pub fn is_handover_requested(&self) -> bool {
        self.shared.handover_requested.load(Ordering::Acquire)
    }

    /// Clears the handover request. Must be called once this instance no longer
    /// holds the duty.
    pub fn clear_handover_request(&self) {
        self.shared
            .handover_requested
            .store(false, Ordering::Release);
    }

    /// Returns whether no order is in progress.
    pub fn is_idle(&self) -> bool {
        self.shared.orders_in_progress.try_write().is_ok()
    }

    fn ledger_epoch(&self) -> Option<u64> {
        self.ledger.read(|ledger| {
            let entry = ledger.duty(self.duty)?;
            let held = entry.held_by(&self.identity.name, self.identity.incarnation);
            held.then_some(entry.epoch)
        })
    }

    fn lock_lease(&self) -> std::sync::MutexGuard<'_, LeaseClock> {
        sync::lock(&self.shared.lease)
    }
}
