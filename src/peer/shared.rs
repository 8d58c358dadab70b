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
    freshness::Quorum,
    membership::PeerIdentity,
    state::{LogView, State},
};
use crate::log::{Appender, Offset, RecentEntries, RelayedEntries, TailStatus};

/// Silence after which an instance that is not listed counts as gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Heartbeats that may be missing before a connection counts as lost.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Shortest silence after which a connection counts as lost.
const MIN_RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Who an instance is to its peers, and how it judges them.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation, new with each start.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Age at which knowledge of the log is too old.
    pub max_age: Duration,
    /// Usual time between two heartbeats.
    pub heartbeat: Duration,
    /// Peers that must confirm an outage of the log.
    pub quorum: Quorum,
}

/// The log that peers compare and relay.
#[derive(derive_more::Debug)]
pub struct PeerLog {
    /// State of the tail.
    pub status: watch::Receiver<TailStatus>,
    /// Takes relayed records.
    pub relayed: mpsc::Sender<RelayedEntries>,
    /// The newest records, for peers.
    pub recent: RecentEntries,
    /// Returns the offset up to which this instance has applied the log.
    #[debug(skip)]
    pub applied: Box<dyn Fn() -> Offset + Send + Sync>,
    /// Appends slices on behalf of instances that are gone.
    pub appender: Option<Appender>,
}

/// State and inputs of the peer tasks.
#[derive(Debug)]
pub(super) struct Shared {
    /// What is known of the peers.
    pub(super) state: Mutex<State>,
    /// The log.
    pub(super) log: PeerLog,
    /// Usual time between two heartbeats.
    pub(super) min_heartbeat_interval: Duration,
    /// Wakes connections to send a heartbeat at once.
    pub(super) leaving_announced: Notify,
    /// Wakes those who wait for peers to acknowledge a notice.
    pub(super) acks_changed: Notify,
    /// Number of live instances, this one included.
    pub(super) live_instances: watch::Sender<usize>,
    /// Frames exchanged so far.
    pub(super) traffic: Traffic,
}

impl Shared {
    pub(super) fn new(
        options: PeerOptions,
        log: PeerLog,
        live_instances: watch::Sender<usize>,
    ) -> Arc<Self> {
        let own = PeerIdentity {
            name: options.name,
            incarnation: options.incarnation,
            failure_domain: options.failure_domain,
        };
        let state = State::new(own, options.max_age, SILENCE_TIMEOUT, options.quorum);
        Arc::new(Self {
            state: Mutex::new(state),
            log,
            min_heartbeat_interval: options.heartbeat,
            leaving_announced: Notify::new(),
            acks_changed: Notify::new(),
            live_instances,
            traffic: Traffic::default(),
        })
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state of the log as of now.
    pub(super) fn log_view(&self) -> LogView {
        // The status first: what it says is folded is applied by then.
        let status = *self.log.status.borrow();
        LogView {
            status,
            applied_offset: (self.log.applied)(),
        }
    }

    /// Tells the number of live instances to those who share budgets.
    pub(super) fn publish_live_count(&self, now: Instant) {
        let live = self.state().membership.live(now).len() + 1;
        self.live_instances.send_if_modified(|count| {
            let changed = *count != live;
            *count = live;
            changed
        });
    }

    /// Returns the silence after which a connection counts as lost, given the
    /// time between the peer's heartbeats.
    pub(super) fn receive_timeout(&self, interval_ms: u32) -> Duration {
        let interval = Duration::from_millis(interval_ms.into()).max(self.min_heartbeat_interval);
        (interval * MAX_MISSED_HEARTBEATS).max(MIN_RECEIVE_TIMEOUT)
    }
}
