//! Splits a stream of server-sent events, so that only complete events are relayed.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One or more complete events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Events {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
    /// Identifier of the last event that has an `id` field.
    pub last_id: Option<Arc<str>>,
}

/// Buffers a server-sent event stream until events are complete.
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
    /// Length of the prefix of `pending` that is known to contain no event end.
    scanned_bytes: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.pending.extend_from_slice(bytes);
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.scanned_bytes = self.pending.len();
        let (count, last_id) = scan_events(&bytes);
        Some(Events {
            bytes,
            count,
            last_id,
        })
    }

    /// Removes and returns the buffered bytes of the incomplete event.
    pub fn take_pending(&mut self) -> Bytes {
        self.scanned_bytes = 0;
        self.pending.split().freeze()
    }

    /// Returns the size of the incomplete event.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    #[must_use]
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the index after the last complete event in `pending`.
    fn find_end(&mut self) -> Option<usize> {
        // An event ends with up to four bytes of line endings, of which three
        // may already be scanned.
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

/// Returns the number of events in `bytes` and the identifier of the last event that
/// has one.
fn scan_events(bytes: &[u8]) -> (usize, Option<Arc<str>>) {
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
