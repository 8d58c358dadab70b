//! Reads the log and folds its records into the ledger.
//!
//! Folding a record means applying it to the ledger, this instance's replica of
//! the state that the log defines. Records are folded in offset order, without
//! gaps. If the log has expired records that were not folded yet, the ledger is
//! rebuilt from a checkpoint in the log.

use std::{sync::Arc, time::Duration};

use prost::Message;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::{
    Error, LogClient, Offset, Rebuilder, RecentEntries, Result, appender::FoldReport,
    backoff::Backoff, records::Record,
};
use crate::{
    infra::protocol::{LogEntry, ReadResponse},
    ledger::LedgerHandle,
};

/// Maximum number of records requested by one read.
const MAX_READ_RECORDS: u32 = 4_096;

/// Delay before the first retry of a read.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest delay between retries of a read.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A rebuild skips the oldest `1 / REBUILD_SKIP_DIVISOR` of the retained
/// records, as these records may expire before they are read.
const REBUILD_SKIP_DIVISOR: u64 = 8;

/// How far an instance has read the log, and how current its ledger is.
#[derive(Clone, Copy, Debug)]
pub struct TailStatus {
    /// Whether the last read succeeded; `false` during a rebuild.
    pub live: bool,
    /// When the last read that reached the end of the log was sent. Initially the
    /// time at which the tailer was created.
    pub last_read_at: Instant,
    /// While `caught_up` is true, the ledger contains all records appended before
    /// this time, whether they were read from the log or relayed by a peer.
    pub current_as_of: Instant,
    /// Highest offset reported by the log or by a peer.
    pub end_offset: Offset,
    /// Whether a read has reached the end of the log since the start or since the
    /// last rebuild, so that the ledger misses no earlier record. Remains `true`
    /// when new records are appended, until a rebuild starts.
    pub caught_up: bool,
    /// Whether the ledger is being rebuilt from a checkpoint, because records
    /// expired before they were folded.
    pub rebuilding: bool,
}

/// Log records relayed by a peer.
#[derive(Clone, Debug)]
pub struct RelayedEntries {
    /// Records in offset order.
    pub entries: Vec<LogEntry>,
    /// Highest offset known to the peer.
    pub end_offset: Offset,
    /// The peer knows all records appended before this time, given on this
    /// instance's clock.
    pub current_as_of: Instant,
}

/// Inputs of the tail task.
#[derive(Debug)]
pub(crate) struct TailInputs {
    /// Client for the log.
    pub(crate) client: LogClient,
    /// Ledger into which records are folded.
    pub(crate) ledger: LedgerHandle,
    /// Name of this instance. The append task is notified when a record of this
    /// instance and incarnation is folded.
    pub(crate) writer: Arc<str>,
    /// Incarnation of this instance.
    pub(crate) incarnation: u64,
    /// Channel of reports to the append task about folded records and rebuilds.
    pub(crate) fold_reports: mpsc::UnboundedSender<FoldReport>,
    /// Channel of records relayed by peers.
    pub(crate) relayed: mpsc::Receiver<RelayedEntries>,
    /// Buffer of the newest records, from which peers are served.
    pub(crate) recent: RecentEntries,
    /// Maximum time for which the log holds a read open until the next record is
    /// appended.
    pub(crate) long_poll_wait: Duration,
}

/// Task that reads the log and folds its records.
#[derive(Debug)]
pub(crate) struct Tailer {
    inputs: TailInputs,
    status: watch::Sender<TailStatus>,
    backoff: Backoff,
    /// The rebuild in progress.
    rebuilder: Option<Rebuilder>,
}

/// Result of a read, with the time at which the read was sent.
struct ReadOutcome {
    sent_at: Instant,
    result: Result<ReadResponse>,
}

/// Creates a tailer and a receiver of its status.
pub(crate) fn new(inputs: TailInputs) -> (Tailer, watch::Receiver<TailStatus>) {
    let now = Instant::now();
    let (status, receiver) = watch::channel(TailStatus {
        live: false,
        last_read_at: now,
        current_as_of: now,
        end_offset: inputs.ledger.applied(),
        caught_up: false,
        rebuilding: false,
    });
    let tailer = Tailer {
        inputs,
        status,
        backoff: Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
        rebuilder: None,
    };
    (tailer, receiver)
}

impl Tailer {
    /// Runs until `stop` is cancelled.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut delay = Duration::ZERO;
        loop {
            let read = read_after(self.inputs.client.clone(), self.next_request(), delay);
            tokio::pin!(read);
            // Records relayed by peers are applied without cancelling the pending
            // read.
            let outcome = loop {
                tokio::select! {
                    () = stop.cancelled() => return,
                    Some(relayed) = self.inputs.relayed.recv() => self.handle_relayed(relayed),
                    outcome = &mut read => break outcome,
                }
            };
            delay = self.handle_outcome(outcome);
        }
    }

    fn next_request(&self) -> ReadRequest {
        let from = match &self.rebuilder {
            Some(rebuilder) => rebuilder.next_offset(),
            None => Offset(self.inputs.ledger.applied().0 + 1),
        };
        ReadRequest {
            from,
            wait: self.long_poll_wait(),
        }
    }

    /// Returns the time for which the log may hold the next read open. The time is zero
    /// until the ledger has caught up with the end of the log.
    fn long_poll_wait(&self) -> Duration {
        if self.status.borrow().caught_up {
            return self.inputs.long_poll_wait;
        }
        Duration::ZERO
    }

    /// Handles the result of a read and returns the delay before the next read.
    fn handle_outcome(&mut self, outcome: ReadOutcome) -> Duration {
        let response = match outcome.result {
            Ok(response) => response,
            Err(Error::Trimmed {
                oldest_offset,
                next_offset,
            }) => {
                self.start_rebuild(oldest_offset, next_offset);
                return self.backoff.next_delay();
            }
            Err(error) => return self.handle_failure(&error),
        };
        self.backoff.reset();
        match self.rebuilder.take() {
            Some(rebuilder) => self.continue_rebuild(rebuilder, response),
            None => self.fold_response(response, outcome.sent_at),
        }
        Duration::ZERO
    }

    /// Marks the log as unreadable and returns the delay before the next read.
    fn handle_failure(&mut self, error: &Error) -> Duration {
        let delay = self.backoff.next_delay();
        let was_live = self.status.send_if_modified(|status| {
            let was_live = status.live;
            status.live = false;
            was_live
        });
        if was_live {
            tracing::warn!("log: read failed: {error}; retrying");
        }
        metrics::counter!("log_read_failures_total").increment(1);
        delay
    }

    /// Folds the records of a response and updates the status.
    fn fold_response(&mut self, response: ReadResponse, sent_at: Instant) {
        let end_offset = Offset(response.next_offset.saturating_sub(1));
        self.fold_entries(response.entries);
        // A response whose end offset is below the applied offset comes from a
        // log service that lags behind, and does not show the current end of the log.
        let reached_end = self.inputs.ledger.applied() == end_offset;
        self.status.send_modify(|status| {
            if !status.live {
                tracing::info!("log: read succeeded; end of the log at offset {end_offset}");
            }
            status.live = true;
            status.end_offset = status.end_offset.max(end_offset);
            if reached_end {
                status.caught_up = true;
                status.rebuilding = false;
                status.last_read_at = status.last_read_at.max(sent_at);
                status.current_as_of = status.current_as_of.max(sent_at);
            }
        });
    }

    /// Folds records relayed by a peer and updates the status. Ignores these records
    /// during a rebuild.
    fn handle_relayed(&mut self, relayed: RelayedEntries) {
        if self.rebuilder.is_some() {
            return;
        }
        self.fold_entries(relayed.entries);
        let reached_end = self.inputs.ledger.applied() >= relayed.end_offset;
        self.status.send_modify(|status| {
            status.end_offset = status.end_offset.max(relayed.end_offset);
            if reached_end && status.caught_up {
                status.current_as_of = status.current_as_of.max(relayed.current_as_of);
            }
        });
    }

    /// Folds the entries that follow the applied offset, up to the first gap.
    fn fold_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            let next_offset = self.inputs.ledger.applied().0 + 1;
            if entry.offset < next_offset {
                continue;
            }
            if entry.offset > next_offset {
                return;
            }
            self.fold(entry);
        }
    }

    /// Applies the next record to the ledger. Reports records of this instance to the
    /// append task.
    fn fold(&mut self, entry: LogEntry) {
        let offset = Offset(entry.offset);
        // A record that cannot be decoded is applied as a record without a body.
        let record = Record::decode(entry.record.clone()).unwrap_or_default();
        let apply_result = self.inputs.ledger.apply(offset, &record);
        self.inputs.recent.push(entry);
        let is_own =
            *record.writer == *self.inputs.writer && record.incarnation == self.inputs.incarnation;
        if !is_own {
            return;
        }
        // The append task may already have stopped.
        let _ = self.inputs.fold_reports.send(FoldReport::Folded {
            sequence: record.sequence,
            offset,
            apply_result,
        });
    }

    /// Starts a rebuild of the ledger. The rebuild skips the oldest retained
    /// records, as these records may expire before they are read.
    fn start_rebuild(&mut self, oldest_offset: Offset, next_offset: Offset) {
        tracing::warn!(
            "log: records before offset {oldest_offset} expired; searching for a checkpoint"
        );
        let retained = next_offset.0.saturating_sub(oldest_offset.0);
        let from = Offset(oldest_offset.0 + retained / REBUILD_SKIP_DIVISOR);
        self.rebuilder = Some(Rebuilder::new(from));
        self.status.send_modify(|status| {
            status.live = false;
            status.caught_up = false;
            status.rebuilding = true;
        });
    }

    /// Continues a rebuild. Replaces the ledger once the rebuild has found a
    /// checkpoint and has reached the end of the log.
    fn continue_rebuild(&mut self, mut rebuilder: Rebuilder, response: ReadResponse) {
        for entry in response.entries {
            if entry.offset != rebuilder.next_offset().0 {
                continue;
            }
            rebuilder.push(Record::decode(entry.record).unwrap_or_default());
        }
        let reached_end = rebuilder.next_offset().0 >= response.next_offset;
        if !reached_end || !rebuilder.is_complete() {
            self.rebuilder = Some(rebuilder);
            return;
        }
        let Some(ledger) = rebuilder.finish() else {
            return;
        };
        let applied = ledger.applied();
        self.inputs.ledger.replace(ledger);
        // The append task may already have stopped.
        let _ = self.inputs.fold_reports.send(FoldReport::Rebuilt);
        metrics::counter!("log_rebuilds_total").increment(1);
        tracing::info!("log: ledger rebuilt from a checkpoint up to offset {applied}");
    }
}

/// Start offset and wait time of the next read.
struct ReadRequest {
    from: Offset,
    wait: Duration,
}

/// Reads from the log after a delay.
async fn read_after(client: LogClient, request: ReadRequest, delay: Duration) -> ReadOutcome {
    tokio::time::sleep(delay).await;
    let sent_at = Instant::now();
    let result = client
        .read(request.from, MAX_READ_RECORDS, request.wait)
        .await;
    ReadOutcome { sent_at, result }
}
