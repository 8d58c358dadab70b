//! Shared handle to the ledger of an instance.

use std::sync::{Arc, PoisonError, RwLock};

use tokio::sync::watch;

use super::{ApplyResult, Ledger, Rejection};
use crate::log::{Offset, records::Record};

/// Counts checkpoint chunks whose digest differs from that of this instance's
/// ledger.
const MISMATCHES_METRIC: &str = "ledger_checkpoint_mismatches_total";

/// Counts rejected records.
const REJECTIONS_METRIC: &str = "ledger_rejections_total";

/// Shared ledger that notifies its subscribers of every change.
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ledger: RwLock<Ledger>,
    applied: watch::Sender<Offset>,
}

impl LedgerHandle {
    /// Creates a handle that owns `ledger`.
    pub fn new(ledger: Ledger) -> Self {
        let applied = watch::Sender::new(ledger.applied());
        Self {
            inner: Arc::new(Inner {
                ledger: RwLock::new(ledger),
                applied,
            }),
        }
    }

    /// Calls `f` with the ledger under a read lock; `f` must be short and must not
    /// block.
    pub fn read<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&Ledger) -> T,
    {
        let ledger = self.inner.ledger.read();
        f(&ledger.unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a record and notifies subscribers. Only the task that reads the log
    /// may call this.
    pub fn apply(&self, offset: Offset, record: &Record) -> ApplyResult {
        let apply_result = self.write(|ledger| ledger.apply(offset, record));
        report_rejection(offset, &apply_result);
        self.inner.applied.send_replace(self.applied());
        apply_result
    }

    /// Replaces the ledger after a rebuild from a checkpoint, and notifies
    /// subscribers.
    pub fn replace(&self, ledger: Ledger) {
        self.write(|current| *current = ledger);
        self.inner.applied.send_replace(self.applied());
    }

    /// Offset of the last applied record.
    pub fn applied(&self) -> Offset {
        self.read(Ledger::applied)
    }

    /// Subscribes to the offset of the last applied record.
    pub fn subscribe_applied(&self) -> watch::Receiver<Offset> {
        self.inner.applied.subscribe()
    }

    /// Calls `f` with the ledger now and after every change until `f` returns
    /// `Some`, and returns the value in it.
    pub async fn wait_for<T, F>(&self, mut f: F) -> T
    where
        F: FnMut(&Ledger) -> Option<T>,
    {
        let mut applied = self.subscribe_applied();
        loop {
            applied.borrow_and_update();
            if let Some(found) = self.read(&mut f) {
                return found;
            }
            // Cannot fail: `self` keeps the sender alive.
            let _ = applied.changed().await;
        }
    }

    fn write<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut Ledger) -> T,
    {
        let ledger = self.inner.ledger.write();
        f(&mut ledger.unwrap_or_else(PoisonError::into_inner))
    }
}

impl Default for LedgerHandle {
    fn default() -> Self {
        Self::new(Ledger::new())
    }
}

/// Counts rejected records. Rejections that indicate a diverged ledger or a gap
/// in the log are logged as errors, all others at debug level.
fn report_rejection(offset: Offset, apply_result: &ApplyResult) {
    let ApplyResult::Rejected(rejection) = apply_result else {
        return;
    };
    metrics::counter!(REJECTIONS_METRIC).increment(1);
    match rejection {
        Rejection::CheckpointMismatch(_) => {
            metrics::counter!(MISMATCHES_METRIC).increment(1);
            tracing::error!("ledger: offset {offset}: {rejection}");
        }
        Rejection::Gap { .. } => tracing::error!("ledger: offset {offset}: {rejection}"),
        _ => tracing::debug!("ledger: offset {offset}: {rejection}"),
    }
}
