//! Records of this instance on their way into the log.

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

/// Size at which a batch takes no further new records, in bytes.
pub const MAX_BATCH_BYTES: usize = 1 << 20;

/// Number of new records at which a batch takes no more.
pub const MAX_BATCH_RECORDS: usize = 1_024;

/// What became of a record.
#[derive(Debug)]
pub struct Receipt {
    /// Offset of the record.
    pub offset: Offset,
    /// Outcome of the fold at that offset.
    pub apply_result: ApplyResult,
    /// Taken before the record was first sent.
    pub sent_at: Instant,
}

/// Where the outcome of a record goes.
pub type Reply = oneshot::Sender<Result<Receipt>>;

/// Records that wait to be sent, and those sent whose fold is outstanding.
///
/// Records get their sequence numbers as they are first sent. Those without an
/// acknowledgement are repeated at the head of every later batch, in the same
/// order, so that the fold can drop repetitions by sequence number alone.
#[derive(Debug)]
pub struct AppendQueue {
    writer: Arc<str>,
    incarnation: u64,
    last_sequence: u64,
    waiting: VecDeque<Waiting>,
    sent: VecDeque<Sent>,
}

#[derive(Debug)]
struct Waiting {
    body: Body,
    reply: Reply,
}

#[derive(Debug)]
struct Sent {
    sequence: u64,
    record: Bytes,
    reply: Reply,
    sent_at: Instant,
    acknowledged: bool,
    maybe_skipped: bool,
}

impl AppendQueue {
    /// Makes an empty queue for one incarnation of a writer.
    pub fn new(writer: Arc<str>, incarnation: u64) -> Self {
        Self {
            writer,
            incarnation,
            last_sequence: 0,
            waiting: VecDeque::new(),
            sent: VecDeque::new(),
        }
    }

    /// Adds a record that waits to be sent.
    pub fn push(&mut self, body: Body, reply: Reply) {
        self.waiting.push_back(Waiting { body, reply });
    }

    /// Returns the number of records that were never sent.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of records that were sent and not folded.
    pub fn outstanding(&self) -> usize {
        self.sent.len()
    }

    /// Returns whether records wait to be sent or repeated.
    pub fn has_batch(&self) -> bool {
        // Only the newest can be unacknowledged while older ones are not.
        let repeats = self.sent.back().is_some_and(|sent| !sent.acknowledged);
        repeats || !self.waiting.is_empty()
    }

    /// Takes the next batch: unacknowledged records first, then waiting ones.
    pub fn next_batch(&mut self, now: Instant) -> Vec<Bytes> {
        self.withdraw_abandoned();
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for sent in &self.sent {
            if sent.acknowledged {
                continue;
            }
            batch_bytes += sent.record.len();
            batch.push(sent.record.clone());
        }
        let repeated = batch.len();
        while batch_bytes < MAX_BATCH_BYTES && batch.len() - repeated < MAX_BATCH_RECORDS {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            let Some(record) = self.send_first(waiting, now) else {
                continue;
            };
            batch_bytes += record.len();
            batch.push(record);
        }
        batch
    }

    /// Notes that the log acknowledged the batch in flight.
    pub fn acknowledge(&mut self) {
        for sent in &mut self.sent {
            sent.acknowledged = true;
        }
    }

    /// Resolves the record with this sequence number, which the tailer folded.
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
            // The first copy was folded among the skipped records.
            Err(Error::Unresolved)
        } else {
            Ok(Receipt {
                offset,
                apply_result,
                sent_at: sent.sent_at,
            })
        };
        // The waiter may have gone away.
        let _ = sent.reply.send(outcome);
    }

    /// Schedules all outstanding records to be repeated.
    ///
    /// Used after records of the log were skipped: a record that was folded
    /// among these shows as a duplicate.
    pub fn repeat_all(&mut self) {
        for sent in &mut self.sent {
            sent.acknowledged = false;
            sent.maybe_skipped = true;
        }
    }

    fn withdraw_abandoned(&mut self) {
        self.waiting.retain(|waiting| !waiting.reply.is_closed());
    }

    fn send_first(&mut self, waiting: Waiting, now: Instant) -> Option<Bytes> {
        let sequence = self.last_sequence + 1;
        let record = Record {
            writer: self.writer.to_string(),
            incarnation: self.incarnation,
            sequence,
            body: Some(waiting.body),
        };
        let record = Bytes::from(record.encode_to_vec());
        if record.len() > MAX_RECORD_BYTES {
            let refusal = Error::TooLarge {
                record_bytes: record.len(),
                max_bytes: MAX_RECORD_BYTES,
            };
            let _ = waiting.reply.send(Err(refusal));
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
