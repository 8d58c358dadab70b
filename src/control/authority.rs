//! The right of this instance to act under a duty.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::{OwnedRwLockReadGuard, RwLock};

use super::{Clock, Error, Identity, LeaseClock, Result};
use crate::{ledger::LedgerHandle, log::records::Duty};

/// The right of this instance to act under a duty, shared by its tasks.
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
    resigning: AtomicBool,
    handover_requested: AtomicBool,
    orders_in_progress: Arc<RwLock<()>>,
}

/// Keeps the duty from being resigned while an order is in progress.
#[derive(Debug)]
pub struct OrderPermit {
    /// Epoch under which the order was started.
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

    /// The duty.
    pub fn duty(&self) -> Duty {
        self.duty
    }

    /// This instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Clock on which the lease is counted.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the epoch if this instance holds the duty in the ledger and its
    /// lease has not lapsed at this moment.
    pub fn epoch(&self) -> Option<u64> {
        let held = self.ledger_epoch()?;
        let lease = *self.lock_lease();
        let leased = lease.epoch(self.clock.now_ms())?;
        (leased == held).then_some(leased)
    }

    /// Counts a claim or renewal that was folded as accepted.
    pub fn confirm(&self, epoch: u64, sent_ms: u64) {
        self.lock_lease().confirm(epoch, sent_ms);
    }

    /// Ends the lease of an epoch, before its resignation is sent.
    pub fn give_up(&self, epoch: u64) {
        self.lock_lease().give_up(epoch);
    }

    /// Starts an order, unless the duty is being given up.
    ///
    /// # Errors
    ///
    /// [`Error::NotHolder`] if this instance may not act under the duty.
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

    /// Says whether new orders may be started.
    pub fn set_resigning(&self, resigning: bool) {
        self.shared.resigning.store(resigning, Ordering::Release);
    }

    /// Asks for the duty to be resigned, so that the next claim gets a new
    /// epoch.
    pub fn request_handover(&self) {
        self.shared
            .handover_requested
            .store(true, Ordering::Release);
    }

    /// Whether the duty is to be resigned.
    pub fn is_handover_requested(&self) -> bool {
        self.shared.handover_requested.load(Ordering::Acquire)
    }

    /// Notes that the duty is not held any more.
    pub fn clear_handover(&self) {
        self.shared
            .handover_requested
            .store(false, Ordering::Release);
    }

    /// Whether no order is in progress.
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
        let lease = self.shared.lease.lock();
        lease.unwrap_or_else(PoisonError::into_inner)
    }
}
