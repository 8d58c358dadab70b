//! Number of bytes that a heartbeat may contain.

/// Number of bytes that may still be added to a heartbeat.
///
/// The first item may exceed the budget, as otherwise a name longer than the budget
/// would never be sent. Later heartbeats are smaller by the excess.
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes: i64,
    unused: bool,
}

impl ByteBudget {
    pub(super) fn new(bytes: i64) -> Self {
        Self {
            bytes,
            unused: bytes > 0,
        }
    }

    /// Returns how many bytes are left; negative if the first item was larger.
    pub(super) fn left(&self) -> i64 {
        self.bytes
    }

    /// Takes the bytes of an item. Returns whether it fits.
    pub(super) fn try_consume(&mut self, bytes: usize) -> bool {
        let remaining = self.bytes - bytes as i64;
        if remaining < 0 && !self.unused {
            return false;
        }
        self.unused = false;
        self.bytes = remaining;
        true
    }
}
