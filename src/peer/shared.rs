//! State and inputs shared by the tasks of the peer module.

use std::{
    sync::{Arc, Mutex, MutexGuard},
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
use crate::{
    log::{Appender, Offset, RecentEntries, RelayedEntries, TailStatus},
    sync,
};

/// Time without frames after which an unlisted instance is considered
/// terminated.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of heartbeat intervals without a frame after which a connection is
/// considered lost.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Lower bound of the time without frames after which a connection is
/// considered lost.
const MIN_RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Identity of an instance and parameters of its peer connections.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation, which increases with every start.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Maximum age of this instance's knowledge of the log for serving requests that
    /// need an API key.
    pub max_age: Duration,
    /// Minimum heartbeat interval.
    pub min_heartbeat_interval: Duration,
    /// Rule for the number of peers that must confirm an outage of the log.
    pub quorum: Quorum,
}

/// Access to the log whose position peers compare and whose records they relay.
#[derive(derive_more::Debug)]
pub struct PeerLog {
    /// Status of the task that reads the log.
    pub status: watch::Receiver<TailStatus>,
    /// Receives records relayed by peers.
    pub relayed: mpsc::Sender<RelayedEntries>,
    /// Buffer of the newest records, to be relayed to peers.
    pub recent: RecentEntries,
    /// Returns the last offset that this instance has applied.
    #[debug(skip)]
    pub applied: Box<dyn Fn() -> Offset + Send + Sync>,
    /// Appends usage slices on behalf of terminated instances. `None` if this instance
    /// does not do so.
    pub appender: Option<Appender>,
}

/// State and inputs of the peer tasks.
#[derive(Debug)]
pub(super) struct Shared {
    /// State of the peers and connections.
    pub(super) state: Mutex<State>,
    /// Access to the log.
    pub(super) log: PeerLog,
    /// Minimum heartbeat interval, also used for the periodic maintenance.
    pub(super) min_heartbeat_interval: Duration,
    /// Wakes the connections and the live list task, so that they immediately announce
    /// that this instance is shutting down.
    pub(super) leaving_announced: Notify,
    /// Wakes tasks that wait for acknowledgements. Notified when an acknowledgement
    /// arrives or a connection closes.
    pub(super) acks_changed: Notify,
    /// Publishes the number of live instances, including this one.
    pub(super) live_instances: watch::Sender<usize>,
    /// Counters of sent frames.
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
            min_heartbeat_interval: options.min_heartbeat_interval,
            leaving_announced: Notify::new(),
            acks_changed: Notify::new(),
            live_instances,
            traffic: Traffic::default(),
        })
    }

    /// Locks the state of the peers and connections.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        sync::lock(&self.state)
    }

    /// Returns a snapshot of the log status and the applied offset.
    pub(super) fn log_view(&self) -> LogView {
        // The status must be read before the applied offset, so that all records that
        // the status covers are included in the applied offset.
        let status = *self.log.status.borrow();
        LogView {
            status,
            applied_offset: (self.log.applied)(),
        }
    }

    /// Publishes the number of live instances, among which shared limits are
    /// divided.
    pub(super) fn publish_live_count(&self, now: Instant) {
        let live = self.state().membership.live(now).len() + 1;
        self.live_instances.send_if_modified(|count| {
            let changed = *count != live;
            *count = live;
            changed
        });
    }

    /// Returns the time without frames after which a connection is considered lost.
    /// `interval_ms` is the peer's heartbeat interval, and 0 stands for the minimum
    /// interval.
    pub(super) fn receive_timeout(&self, interval_ms: u32) -> Duration {
        let interval = Duration::from_millis(interval_ms.into()).max(self.min_heartbeat_interval);
        (interval * MAX_MISSED_HEARTBEATS).max(MIN_RECEIVE_TIMEOUT)
    }
}
