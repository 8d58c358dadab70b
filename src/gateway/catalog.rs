//! Keeps the configuration up to date, from records read from the platform's store
//! and from records relayed by peers.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{
    follower::{Follower, Update},
    state::State,
};
use crate::{
    infra::protocol::LogEntry,
    log::{Offset, RecentEntries, RelayedEntries, TailStatus},
    peer::PeerLog,
    platform::{CONFIGURATION_KEY, KeyedRecord, OPERATOR_TOPIC, StoreClient, read_catalog},
};

/// Capacity of the queue of records that peers relay, in batches.
const RELAY_QUEUE_BATCHES: usize = 16;

/// Maximum total size of the recent configurations that are kept for relaying to
/// peers, in bytes.
const MAX_RECENT_BYTES: usize = 2 << 20;

/// Time for which a read waits for the next configuration, as a fraction of
/// `settle_ms`, the time after an outage within which newer configuration must be
/// known. A dead connection is noticed only after this wait and the client's timeout,
/// which together have to fit within `settle_ms`.
const READ_WAIT_SHARE: f64 = 0.65;

/// Result of a read, the offset to read next, and when the read was sent.
type TimedRead = (Result<Update, ()>, u64, Instant);

/// Reader of the configuration topic, which applies each new configuration.
///
/// Store offsets start at 0. Peers exchange offsets that start at 1, that is,
/// the store's offset plus 1.
#[derive(Debug)]
pub(super) struct CatalogTail {
    state: Arc<State>,
    store: StoreClient,
    status: watch::Sender<TailStatus>,
    relayed: mpsc::Receiver<RelayedEntries>,
    recent: RecentEntries,
    /// Offset of the last applied record, counted from 1 as between peers; 0 if no record
    /// has been applied.
    applied: Arc<AtomicU64>,
}

impl CatalogTail {
    /// Creates the tail, and the handle through which the peer connections relay the
    /// topic's records.
    pub(super) fn new(state: Arc<State>, store: StoreClient) -> (Self, PeerLog) {
        let now = Instant::now();
        let (status, status_receiver) = watch::channel(TailStatus {
            live: false,
            last_read_at: now,
            current_as_of: now,
            end_offset: Offset(0),
            caught_up: false,
            rebuilding: false,
        });
        let (relayed_sender, relayed) = mpsc::channel(RELAY_QUEUE_BATCHES);
        let recent = RecentEntries::compacted(MAX_RECENT_BYTES);
        let applied = Arc::new(AtomicU64::new(0));
        let applied_offset = applied.clone();
        let log = PeerLog {
            status: status_receiver,
            relayed: relayed_sender,
            recent: recent.clone(),
            applied: Box::new(move || Offset(applied_offset.load(Ordering::Acquire))),
            appender: None,
        };
        let tail = Self {
            state,
            store,
            status,
            relayed,
            recent,
            applied,
        };
        (tail, log)
    }

    /// Follows the configuration. Never returns.
    pub(super) async fn run(mut self) {
        let (sender, mut reads) = mpsc::channel(1);
        let follower = Follower::new(self.store.clone(), OPERATOR_TOPIC);
        let settle = Duration::from_millis(self.state.settings.timing.settle_ms);
        let mut reading = pin!(read_topic(
            follower,
            settle.mul_f64(READ_WAIT_SHARE),
            sender
        ));
        loop {
            tokio::select! {
                () = &mut reading => return,
                Some(read) = reads.recv() => self.apply_read(read),
                Some(relayed) = self.relayed.recv() => self.apply_relayed(relayed),
            }
        }
    }

    fn apply_read(&mut self, (update, next_offset, sent_at): TimedRead) {
        let Ok(update) = update else {
            self.status.send_modify(|status| status.live = false);
            return;
        };
        let (Update::Snapshot(records) | Update::Changes(records)) = update;
        for record in records {
            self.apply_record(&record);
        }
        self.advance_applied(next_offset);
        self.status.send_modify(|status| {
            status.live = true;
            status.caught_up = true;
            status.last_read_at = sent_at;
            status.current_as_of = status.current_as_of.max(sent_at);
            status.end_offset = status.end_offset.max(Offset(next_offset));
        });
        self.state.note_catalog_read(sent_at);
    }

    /// Applies records that a peer has read from the store.
    fn apply_relayed(&mut self, relayed: RelayedEntries) {
        for entry in &relayed.entries {
            if entry.record.is_empty() || entry.offset <= self.applied.load(Ordering::Acquire) {
                continue;
            }
            tracing::info!(
                offset = entry.offset,
                "gateway: configuration received from a peer"
            );
            self.apply_configuration(entry.offset - 1, &entry.record);
            self.recent.push(entry.clone());
        }
        let end = relayed.end_offset;
        self.advance_applied(end.0);
        self.status.send_modify(|status| {
            status.current_as_of = status.current_as_of.max(relayed.current_as_of);
            status.end_offset = status.end_offset.max(end);
        });
    }

    fn apply_record(&mut self, record: &KeyedRecord) {
        let offset = record.offset;
        let configuration = record
            .value
            .clone()
            .filter(|_| *record.key == *CONFIGURATION_KEY);
        match &configuration {
            Some(value) => self.apply_configuration(offset, value),
            None => tracing::info!(
                offset,
                "gateway: operator record {} ignored: unknown key or no value",
                record.key
            ),
        }
        self.recent.push(LogEntry {
            offset: offset + 1,
            appended_at_ms: 0,
            record: configuration.unwrap_or_default(),
        });
    }

    fn apply_configuration(&self, offset: u64, value: &Bytes) {
        match read_catalog(value) {
            Ok(catalog) => {
                let version = catalog.version();
                if self.state.set_catalog(catalog) {
                    tracing::info!(version, offset, "gateway: configuration taken");
                }
            }
            Err(error) => tracing::error!(offset, "gateway: cannot decode configuration: {error}"),
        }
    }

    fn advance_applied(&self, applied: u64) {
        self.applied.fetch_max(applied, Ordering::AcqRel);
    }
}

/// Reads the topic and sends the result of each read to `reads`, until the channel
/// closes.
async fn read_topic(mut follower: Follower, wait: Duration, reads: mpsc::Sender<TimedRead>) {
    loop {
        let sent_at = Instant::now();
        let update = follower.next_update(wait).await;
        let next_offset = follower.next_offset().unwrap_or(0);
        if reads.send((update, next_offset, sent_at)).await.is_err() {
            return;
        }
    }
}
