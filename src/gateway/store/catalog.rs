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
    time::{Instant, sleep},
};

use crate::{
    gateway::{
        state::State,
        store::follower::{Follower, Update},
    },
    infra::protocol::LogEntry,
    log::{Offset, RecentEntries, RelayedEntries, TailStatus},
    peer::PeerLog,
    platform::{
        CONFIGURATION_KEY, KeyedRecord, OPERATOR_TOPIC, Position, StoreClient, read_catalog,
    },
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

/// Times for which the configuration may go unconfirmed in a large fleet, as fractions of
/// `settle_ms`. A member of a group relies on its relay, which reads more often. The rest of
/// `settle_ms` is left for a read that fails and is repeated.
const UNCONFIRMED_SHARE: f64 = 0.6;
const RELAY_UNCONFIRMED_SHARE: f64 = 0.27;

/// Interval at which the peers' reports are evaluated in a large fleet.
const CONFIRMATION_PERIOD: Duration = Duration::from_millis(100);

/// Shortest time between two reads because a peer knows of a later record.
const MIN_READ_PERIOD: Duration = Duration::from_millis(500);

/// A read of the topic.
#[derive(Debug)]
struct TimedRead {
    /// New records, and the position to read next; `None` if the read failed.
    update: Option<(Update, Position)>,
    /// When the read was sent.
    sent_at: Instant,
}

/// Reader of the configuration topic, which applies each new configuration.
///
/// Peers exchange the numbers of positions as offsets ([`Position::number`]), so that
/// records of a restored store come after those that were read before.
#[derive(Debug)]
pub(in crate::gateway) struct CatalogTail {
    state: Arc<State>,
    store: StoreClient,
    status: watch::Sender<TailStatus>,
    relayed: mpsc::Receiver<RelayedEntries>,
    recent: RecentEntries,
    /// Number of the position of the last applied record; 0 if no record has been applied.
    applied: Arc<AtomicU64>,
}

impl CatalogTail {
    /// Creates the tail, and the handle through which the peer connections relay the
    /// topic's records.
    pub(in crate::gateway) fn new(state: Arc<State>, store: StoreClient) -> (Self, PeerLog) {
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
    pub(in crate::gateway) async fn run(mut self) {
        let (sender, mut reads) = mpsc::channel(1);
        let follower = Follower::new(self.store.clone(), OPERATOR_TOPIC);
        let pace = ReadPace {
            state: self.state.clone(),
            status: self.status.clone(),
        };
        let mut reading = pin!(read_topic(follower, pace, sender));
        loop {
            tokio::select! {
                () = &mut reading => return,
                Some(read) = reads.recv() => self.apply_read(read),
                Some(relayed) = self.relayed.recv() => self.apply_relayed(relayed),
            }
        }
    }

    fn apply_read(&mut self, read: TimedRead) {
        let Some((update, next)) = read.update else {
            self.status.send_modify(|status| status.live = false);
            return;
        };
        let is_restored = matches!(update, Update::Restored(_));
        let records = update.into_records();
        for record in &records {
            self.apply_record(record, next.era);
        }
        if is_restored {
            self.log_lost_configuration(&records);
        }
        // The number of the position before `next`.
        let end = next.number() - 1;
        self.advance_applied(end);
        let sent_at = read.sent_at;
        self.status.send_modify(|status| {
            status.live = true;
            status.caught_up = true;
            status.last_read_at = sent_at;
            status.current_as_of = status.current_as_of.max(sent_at);
            status.end_offset = status.end_offset.max(Offset(end));
        });
        self.state.note_catalog_read(sent_at);
    }

    /// Logs that a restored store has an older configuration than the known one, which
    /// stays in force until the operator has written it again.
    fn log_lost_configuration(&self, records: &[KeyedRecord]) {
        let Some(known) = self.state.catalog() else {
            return;
        };
        let record = records
            .iter()
            .find(|record| *record.key == *CONFIGURATION_KEY);
        let value = record.and_then(|record| record.value.as_ref());
        let stored = value.and_then(|value| read_catalog(value).ok());
        let stored_version = stored.map(|catalog| catalog.version());
        if stored_version != Some(known.version()) {
            tracing::warn!(
                version = known.version(),
                stored_version,
                "gateway: configuration kept that the restored store does not have"
            );
        }
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
            if let Some(position) = Position::from_number(entry.offset) {
                self.store.note_era(position.era);
                self.apply_configuration(position, &entry.record);
            }
            self.recent.push(entry.clone());
        }
        let end = relayed.end_offset;
        self.advance_applied(end.0);
        self.status.send_modify(|status| {
            status.current_as_of = status.current_as_of.max(relayed.current_as_of);
            status.end_offset = status.end_offset.max(end);
        });
    }

    fn apply_record(&mut self, record: &KeyedRecord, era: u64) {
        let position = Position {
            era,
            offset: record.offset,
        };
        let configuration = record
            .value
            .clone()
            .filter(|_| *record.key == *CONFIGURATION_KEY);
        match &configuration {
            Some(value) => self.apply_configuration(position, value),
            None => tracing::info!(
                offset = position.offset,
                "gateway: operator record {} ignored: unknown key or no value",
                record.key
            ),
        }
        self.recent.push(LogEntry {
            offset: position.number(),
            appended_at_ms: 0,
            record: configuration.unwrap_or_default(),
        });
    }

    fn apply_configuration(&self, position: Position, value: &Bytes) {
        let Position { era, offset } = position;
        match read_catalog(value) {
            Ok(catalog) => {
                let version = catalog.version();
                if self.state.set_catalog(catalog) {
                    tracing::info!(version, offset, era, "gateway: configuration taken");
                }
            }
            Err(error) => tracing::error!(offset, "gateway: cannot decode configuration: {error}"),
        }
    }

    fn advance_applied(&self, applied: u64) {
        self.applied.fetch_max(applied, Ordering::AcqRel);
    }
}

/// Decides when the topic is read, and how long a read waits.
///
/// In a large fleet, an instance does not read while its peers show that it knows the newest
/// configuration. Reads then do not wait, so that a silent connection is noticed at once.
#[derive(Debug)]
struct ReadPace {
    state: Arc<State>,
    status: watch::Sender<TailStatus>,
}

impl ReadPace {
    /// Waits until a read is due, and returns how long it waits for the next record.
    /// `last_read_at` is when the last successful read was sent; its result may not be
    /// applied yet.
    async fn next_read(&self, last_read_at: Option<Instant>) -> Duration {
        let settle = Duration::from_millis(self.state.settings.timing.settle_ms);
        // Spreads the reads of the relays over time.
        let jitter = 0.9 + 0.1 * rand::random::<f64>();
        loop {
            let (Some(peers), Some(last_read_at)) = (self.state.peers(), last_read_at) else {
                return settle.mul_f64(READ_WAIT_SHARE);
            };
            if !self.state.shares_store_reads() {
                return settle.mul_f64(READ_WAIT_SHARE);
            }
            if let Some(as_of) = peers.confirmed_as_of() {
                self.status.send_if_modified(|status| {
                    let is_later = as_of > status.current_as_of;
                    status.current_as_of = status.current_as_of.max(as_of);
                    is_later
                });
            }
            let status = *self.status.borrow();
            let share = match peers.is_relay() {
                true => RELAY_UNCONFIRMED_SHARE,
                false => UNCONFIRMED_SHARE,
            };
            let as_of = status.current_as_of.max(last_read_at);
            let is_unconfirmed = as_of.elapsed() >= settle.mul_f64(share * jitter);
            let knows_of_later =
                last_read_at.elapsed() >= MIN_READ_PERIOD && peers.knows_of_later_record();
            if !status.live || is_unconfirmed || knows_of_later {
                return Duration::ZERO;
            }
            sleep(CONFIRMATION_PERIOD).await;
        }
    }
}

/// Reads the topic and sends the result of each read to `reads`, until the channel
/// closes.
async fn read_topic(mut follower: Follower, pace: ReadPace, reads: mpsc::Sender<TimedRead>) {
    let mut last_read_at = None;
    loop {
        let wait = pace.next_read(last_read_at).await;
        let sent_at = Instant::now();
        let update = follower.next_update(wait).await.ok();
        if update.is_some() {
            last_read_at = Some(sent_at);
        }
        let read = TimedRead {
            update: update.zip(follower.next_position()),
            sent_at,
        };
        if reads.send(read).await.is_err() {
            return;
        }
    }
}
