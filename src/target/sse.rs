//! Incremental parser of server-sent events.

use bytes::{Buf, BytesMut};

/// Maximum number of unparsed bytes, which bounds the size of one event.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;
/// Prefix of a line that carries event data.
const DATA_PREFIX: &[u8] = b"data:";

/// Buffer of bytes that have been received but not parsed yet.
#[derive(Debug, Default)]
pub(crate) struct SseBuffer {
    buffer: BytesMut,
}

impl SseBuffer {
    /// Appends a chunk; returns `false` if more than [`MAX_EVENT_BYTES`] are
    /// unparsed.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> bool {
        self.buffer.extend_from_slice(chunk);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns whether a complete line is buffered.
    pub(crate) fn has_line(&self) -> bool {
        self.buffer.contains(&b'\n')
    }

    /// Removes and returns the data of the next event. Returns `None` if no complete
    /// line with data is buffered. Lines without data are discarded.
    ///
    /// An event is expected to have all its data on one line.
    pub(crate) fn take_data(&mut self) -> Option<BytesMut> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let mut line = self.buffer.split_to(end);
            self.buffer.advance(1);
            if !line.starts_with(DATA_PREFIX) {
                continue;
            }
            line.advance(DATA_PREFIX.len());
            return Some(line);
        }
        None
    }
}
