//! Splits a stream of events so that only whole events are relayed.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes of whole events, and the last event's identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Events {
    /// Bytes as they arrived.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
    /// Identifier of the last event that has one.
    pub last_id: Option<Arc<str>>,
}

/// Holds back the event that has not arrived whole.
///
/// ```
/// use lavenderwind::gateway::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// assert!(splitter.push(b"id: 1\ndata: a\n").is_none());
/// let events = splitter.push(b"\nid: 2\nda").unwrap();
/// assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(events.last_id.as_deref(), Some("1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes of `pending` in which no event ends.
    scanned_bytes: usize,
}

impl EventSplitter {
    /// Adds bytes; returns the events that are whole now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.pending.extend_from_slice(bytes);
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.scanned_bytes = self.pending.len();
        let (count, last_id) = scan(&bytes);
        Some(Events {
            bytes,
            count,
            last_id,
        })
    }

    /// Takes what was held back.
    pub fn take_pending(&mut self) -> Bytes {
        self.scanned_bytes = 0;
        self.pending.split().freeze()
    }

    /// Returns whether an event is longer than is held back.
    #[must_use]
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the end of the last whole event.
    fn find_end(&mut self) -> Option<usize> {
        // An end that spans the old and the new bytes begins up to three
        // bytes before the new ones.
        let from = self.scanned_bytes.saturating_sub(3);
        let mut end = None;
        for index in from..self.pending.len() {
            if self.pending[index] != b'\n' {
                continue;
            }
            let line = &self.pending[..index];
            let ends_event = line.ends_with(b"\n") || line.ends_with(b"\n\r");
            if ends_event {
                end = Some(index + 1);
            }
        }
        self.scanned_bytes = self.pending.len();
        end
    }
}

fn scan(bytes: &[u8]) -> (usize, Option<Arc<str>>) {
    let mut count = 0;
    let mut last_id = None;
    let mut has_fields = false;
    for line in bytes.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            count += usize::from(has_fields);
            has_fields = false;
            continue;
        }
        has_fields = true;
        if let Some(id) = line.strip_prefix(b"id:") {
            last_id = std::str::from_utf8(id).ok().map(|id| id.trim().into());
        }
    }
    (count, last_id)
}
