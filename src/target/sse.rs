//! Lines of server-sent events, as they arrive in chunks.

use bytes::{Buf, BytesMut};

/// Largest event of a stream, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;
/// Start of a line that carries data.
const DATA_PREFIX: &[u8] = b"data:";

/// Bytes that arrived and were not read yet.
#[derive(Debug, Default)]
pub(crate) struct SseBuffer {
    buffer: BytesMut,
}

impl SseBuffer {
    /// Adds a chunk; returns `false` if an event grows beyond
    /// [`MAX_EVENT_BYTES`].
    pub(crate) fn push(&mut self, chunk: &[u8]) -> bool {
        self.buffer.extend_from_slice(chunk);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns whether a whole line has arrived.
    pub(crate) fn has_line(&self) -> bool {
        self.buffer.contains(&b'\n')
    }

    /// Takes the data of the next event, if it has arrived whole.
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
