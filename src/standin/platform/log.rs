//! Append-only log with offsets, limited retention and a limited append rate.

use std::collections::VecDeque;

use bytes::Bytes;
use tokio::{
    sync::watch,
    time::{Duration, Instant},
};

use crate::infra::protocol::{LogEntry, ReadResponse, TrimmedResponse};

/// Retained records of the log.
#[derive(Debug)]
pub(crate) struct LogStore {
    entries: VecDeque<LogEntry>,
    next_offset: u64,
    /// Earliest instant at which the append rate permits another append.
    next_append_at: Instant,
    /// Sends `next_offset` after each append.
    appended: watch::Sender<u64>,
}

impl LogStore {
    /// Returns an empty log whose first offset is 1.
    pub(crate) fn new() -> Self {
        Self {
            entries: VecDeque::new(),
            next_offset: 1,
            next_append_at: Instant::now(),
            appended: watch::Sender::new(1),
        }
    }

    /// Reserves the next append that the rate permits, and returns the instant at
    /// which it may run.
    pub(crate) fn reserve_append(&mut self, appends_per_s: u32) -> Instant {
        let append_at = self.next_append_at.max(Instant::now());
        self.next_append_at = append_at + Duration::from_secs(1) / appends_per_s.max(1);
        append_at
    }

    /// Appends a batch of records and returns the offset of the first.
    pub(crate) fn append(&mut self, records: Vec<Bytes>, now_ms: u64) -> u64 {
        let first_offset = self.next_offset;
        for record in records {
            self.entries.push_back(LogEntry {
                offset: self.next_offset,
                appended_at_ms: now_ms,
                record,
            });
            self.next_offset += 1;
        }
        self.appended.send_replace(self.next_offset);
        first_offset
    }

    /// Drops the oldest records until at most `retained` are left; 0 keeps all.
    pub(crate) fn trim(&mut self, retained: usize) {
        if retained == 0 {
            return;
        }
        while self.entries.len() > retained {
            self.entries.pop_front();
        }
    }

    /// Returns a channel that holds the offset that the next record will get.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.appended.subscribe()
    }

    /// Reads up to `max` records, starting at offset `from`; 0 starts at the oldest
    /// retained record.
    ///
    /// # Errors
    ///
    /// Fails if `from` is not 0 and is below the oldest retained offset.
    pub(crate) fn read(&self, from: u64, max: usize) -> Result<ReadResponse, TrimmedResponse> {
        let oldest_offset = self.next_offset - self.entries.len() as u64;
        if from < oldest_offset && from != 0 {
            return Err(TrimmedResponse {
                oldest_offset,
                next_offset: self.next_offset,
            });
        }
        let skipped = from.max(oldest_offset) - oldest_offset;
        let entries = self.entries.iter().skip(skipped as usize).take(max);
        Ok(ReadResponse {
            entries: entries.cloned().collect(),
            next_offset: self.next_offset,
            oldest_offset,
        })
    }
}
