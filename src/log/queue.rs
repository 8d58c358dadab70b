//! Queue of this instance's records that are not yet folded.
//!
//! A record is folded when this instance's tailer has read the record from the log
//! and applied it to the ledger.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use prost::Message;
use tokio::{sync::oneshot, time::Instant};

use super::{
    Error, Offset, Result,
    records::{Record, record::Body},
};
use crate::ledger::ApplyResult;

/// Largest encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Batch size, in bytes, at which no further new records are added. Unacknowledged
/// records are always part of the batch, also beyond this size.
pub const MAX_BATCH_BYTES: usize = 1 << 20;

/// Maximum number of new records in a batch.
pub const MAX_BATCH_RECORDS: usize = 1_024;

/// Result of an append whose record was folded.
#[derive(Debug)]
pub struct Receipt {
    /// Offset of the record.
    pub offset: Offset,
    /// Result of applying the record at that offset.
    pub apply_result: ApplyResult,
    /// Time just before the record was first sent.
    pub sent_at: Instant,
}

/// Channel for the result of an append.
pub type Reply = oneshot::Sender<Result<Receipt>>;

/// Queue of the records that are not yet sent, and of those that are sent but not
/// yet folded.
///
/// A record gets its sequence number when it is first sent. Every later batch
/// starts with all records that the log has not acknowledged, in their original
/// order. The ledger can therefore detect duplicates by the sequence number alone.
#[derive(Debug)]
pub struct AppendQueue {
    writer: Arc<str>,
    incarnation: u64,
    last_sequence: u64,
    waiting: VecDeque<Waiting>,
    sent: VecDeque<Sent>,
}

/// A record that has not been sent.
#[derive(Debug)]
struct Waiting {
    body: Body,
    reply: Reply,
}

/// A record that was sent and is not yet folded.
#[derive(Debug)]
struct Sent {
    sequence: u64,
    /// The encoded record.
    record: Bytes,
    reply: Reply,
    sent_at: Instant,
    /// Whether the log has confirmed a batch with the record.
    acknowledged: bool,
    /// A rebuild from a checkpoint may have skipped the record.
    maybe_skipped: bool,
}

impl AppendQueue {
    /// Creates an empty queue for one incarnation of a writer.
    pub fn new(writer: Arc<str>, incarnation: u64) -> Self {
        Self {
            writer,
            incarnation,
            last_sequence: 0,
            waiting: VecDeque::new(),
            sent: VecDeque::new(),
        }
    }

    /// Adds a record to be sent.
    pub fn push(&mut self, body: Body, reply: Reply) {
        self.waiting.push_back(Waiting { body, reply });
    }

    /// Returns the number of records that have never been sent.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of records that were sent and are not yet folded.
    pub fn outstanding(&self) -> usize {
        self.sent.len()
    }

    /// Returns `true` if there are records to send, for the first time or again.
    pub fn has_batch(&self) -> bool {
        // An acknowledgement covers all sent records. The newest sent record is
        // therefore unacknowledged if any sent record is.
        let has_unacknowledged = self.sent.back().is_some_and(|sent| !sent.acknowledged);
        has_unacknowledged || !self.waiting.is_empty()
    }

    /// Builds the next batch: unacknowledged records first, then new ones.
    pub fn next_batch(&mut self, now: Instant) -> Vec<Bytes> {
        self.remove_cancelled();
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for sent in &self.sent {
            if sent.acknowledged {
                continue;
            }
            batch_bytes += sent.record.len();
            batch.push(sent.record.clone());
        }
        let resent_count = batch.len();
        while batch_bytes < MAX_BATCH_BYTES && batch.len() - resent_count < MAX_BATCH_RECORDS {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            let Some(record) = self.encode_new(waiting, now) else {
                continue;
            };
            batch_bytes += record.len();
            batch.push(record);
        }
        batch
    }

    /// Marks all sent records as acknowledged. To be called when the log has
    /// confirmed the batch in flight.
    pub fn acknowledge(&mut self) {
        for sent in &mut self.sent {
            sent.acknowledged = true;
        }
    }

    /// Completes the append of the record with this sequence number, which the
    /// tailer has folded.
    pub fn resolve(&mut self, sequence: u64, offset: Offset, apply_result: ApplyResult) {
        let found = self
            .sent
            .binary_search_by_key(&sequence, |sent| sent.sequence);
        let Ok(index) = found else {
            return;
        };
        let Some(sent) = self.sent.remove(index) else {
            return;
        };
        let outcome = if sent.maybe_skipped && apply_result == ApplyResult::Duplicate {
            // An earlier copy of the record is among the records that a rebuild
            // skipped. The result of applying that copy is not known.
            Err(Error::Unresolved)
        } else {
            Ok(Receipt {
                offset,
                apply_result,
                sent_at: sent.sent_at,
            })
        };
        // The receiver may have been dropped.
        let _ = sent.reply.send(outcome);
    }

    /// Schedules all sent records that are not yet folded to be sent again.
    ///
    /// To be called after a rebuild has skipped records of the log. If a record of
    /// this queue was among the skipped records, the new copy of the record is
    /// folded as a duplicate.
    pub fn resend_all(&mut self) {
        for sent in &mut self.sent {
            sent.acknowledged = false;
            sent.maybe_skipped = true;
        }
    }

    /// Removes unsent records whose caller no longer waits for the result.
    fn remove_cancelled(&mut self) {
        self.waiting.retain(|waiting| !waiting.reply.is_closed());
    }

    /// Assigns the next sequence number to a record, encodes the record and moves it to
    /// the sent records. Returns `None` and reports an error to the caller if the record
    /// is too large.
    fn encode_new(&mut self, waiting: Waiting, now: Instant) -> Option<Bytes> {
        let sequence = self.last_sequence + 1;
        let record = Record {
            writer: self.writer.to_string(),
            incarnation: self.incarnation,
            sequence,
            body: Some(waiting.body),
        };
        let record = Bytes::from(record.encode_to_vec());
        if record.len() > MAX_RECORD_BYTES {
            let error = Error::TooLarge {
                record_bytes: record.len(),
                max_bytes: MAX_RECORD_BYTES,
            };
            let _ = waiting.reply.send(Err(error));
            return None;
        }
        self.last_sequence = sequence;
        self.sent.push_back(Sent {
            sequence,
            record: record.clone(),
            reply: waiting.reply,
            sent_at: now,
            acknowledged: false,
            maybe_skipped: false,
        });
        Some(record)
    }
}
