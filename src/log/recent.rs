//! Buffer of the newest log records, from which peers without a connection to the
//! log are served.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use super::Offset;
use crate::{infra::protocol::LogEntry, sync};

/// Shared buffer of the newest records, in offset order without gaps.
#[derive(Clone, Debug)]
pub struct RecentEntries {
    buffer: Arc<Mutex<Buffer>>,
    max_bytes: usize,
    /// Whether a read from an offset before the first buffered record starts at that
    /// record.
    compacted: bool,
}

#[derive(Debug, Default)]
struct Buffer {
    entries: VecDeque<LogEntry>,
    /// Total size of the encoded records.
    bytes: usize,
}

impl RecentEntries {
    /// Creates an empty buffer that keeps up to `max_bytes` of records.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            buffer: Arc::default(),
            max_bytes,
            compacted: false,
        }
    }

    /// Creates a buffer for a log in which each record replaces all earlier ones.
    /// A read from an offset before the first buffered record then starts at that
    /// record instead of returning `None`.
    pub fn compacted(max_bytes: usize) -> Self {
        Self {
            compacted: true,
            ..Self::new(max_bytes)
        }
    }

    /// Adds the next record. If the record does not directly follow the last buffered
    /// record, the buffer is cleared first.
    pub fn push(&self, entry: LogEntry) {
        let mut buffer = self.lock();
        let follows = buffer
            .entries
            .back()
            .is_none_or(|last| last.offset + 1 == entry.offset);
        if !follows {
            *buffer = Buffer::default();
        }
        buffer.bytes += entry.record.len();
        buffer.entries.push_back(entry);
        while buffer.bytes > self.max_bytes {
            let Some(oldest) = buffer.entries.pop_front() else {
                break;
            };
            buffer.bytes -= oldest.record.len();
        }
    }

    /// Returns records starting at offset `from`, up to `max_bytes` in total but at
    /// least one record if there is any. Returns `None` if the buffer is empty or no
    /// longer contains the record at `from`.
    pub fn read(&self, from: Offset, max_bytes: usize) -> Option<Vec<LogEntry>> {
        let buffer = self.lock();
        let first = buffer.entries.front()?.offset;
        let from = if self.compacted {
            from.0.max(first)
        } else {
            from.0
        };
        let skipped = from.checked_sub(first)? as usize;
        let mut bytes = 0;
        let mut selected = Vec::new();
        for entry in buffer.entries.iter().skip(skipped) {
            if bytes + entry.record.len() > max_bytes && !selected.is_empty() {
                break;
            }
            bytes += entry.record.len();
            selected.push(entry.clone());
        }
        Some(selected)
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        sync::lock(&self.buffer)
    }
}
