//! State and inputs that the tasks of this module share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{Notify, mpsc, watch},
    time::Instant,
};

use super::{
    frame::Traffic,
    membership::Sender,
    state::{LogView, State},
};
use crate::{
    Settings,
    ledger::LedgerHandle,
    log::{Appender, Log, RecentEntries, RelayedEntries, TailStatus},
};

/// Silence after which an instance that is not listed counts as gone.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// Heartbeats that may be missing before a connection counts as lost.
const MISSING_HEARTBEATS: u32 = 4;

/// Shortest silence after which a connection counts as lost.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// State and inputs of the peer tasks.
#[derive(Debug)]
pub(super) struct Shared {
    /// What is known of the peers.
    pub(super) state: Mutex<State>,
    /// Appends slices on behalf of instances that are gone.
    pub(super) appender: Appender,
    /// State of the tail.
    pub(super) status: watch::Receiver<TailStatus>,
    /// Takes relayed records.
    pub(super) relayed: mpsc::Sender<RelayedEntries>,
    /// The newest records, for peers.
    pub(super) recent: RecentEntries,
    /// Ledger of this instance.
    pub(super) ledger: LedgerHandle,
    /// Usual time between two heartbeats.
    pub(super) heartbeat: Duration,
    /// Wakes connections to send a heartbeat at once.
    pub(super) urgent: Notify,
    /// Wakes those who wait for peers to acknowledge a notice.
    pub(super) acknowledged: Notify,
    /// Number of live instances, this one included.
    pub(super) live_instances: watch::Sender<usize>,
    /// Frames exchanged so far.
    pub(super) traffic: Traffic,
}

impl Shared {
    pub(super) fn new(
        settings: &Settings,
        log: &Log,
        ledger: LedgerHandle,
        live_instances: watch::Sender<usize>,
    ) -> Arc<Self> {
        let own = Sender {
            name: settings.name.clone(),
            incarnation: log.appender.incarnation(),
            failure_domain: settings.failure_domain.clone(),
        };
        let max_age = Duration::from_millis(settings.timing.freshness_ms);
        Arc::new(Self {
            state: Mutex::new(State::new(own, max_age, SILENT_AFTER)),
            appender: log.appender.clone(),
            status: log.status.clone(),
            relayed: log.relayed.clone(),
            recent: log.recent.clone(),
            ledger,
            heartbeat: Duration::from_millis(settings.timing.heartbeat_ms),
            urgent: Notify::new(),
            acknowledged: Notify::new(),
            live_instances,
            traffic: Traffic::default(),
        })
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state of the log as of now.
    pub(super) fn log_view(&self) -> LogView {
        // The status first: what it says is folded is part of the ledger then.
        let status = *self.status.borrow();
        LogView {
            status,
            applied_offset: self.ledger.applied(),
        }
    }

    /// Tells the number of live instances to those who share budgets.
    pub(super) fn count_live(&self, now: Instant) {
        let live = self.state().membership.live(now).len() + 1;
        self.live_instances.send_if_modified(|count| {
            let changed = *count != live;
            *count = live;
            changed
        });
    }

    /// Returns the silence after which a connection counts as lost, given the
    /// time between the peer's heartbeats.
    pub(super) fn silence(&self, interval_ms: u32) -> Duration {
        let interval = Duration::from_millis(interval_ms.into()).max(self.heartbeat);
        (interval * MISSING_HEARTBEATS).max(MIN_SILENCE)
    }
}
