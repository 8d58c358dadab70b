//! Errors of calls to the store.

use displaydoc::Display;

/// Error of a call to the store.
#[derive(Debug, Display)]
pub enum StoreError {
    /// the call to the store was not sent: {0}
    NotSent(reqwest::Error),
    /// the outcome of the call to the store is unknown after {received_bytes} bytes of the answer: {source}
    Unknown {
        /// Bytes of the answer's body that had arrived.
        received_bytes: u64,
        /// Cause of the failure.
        source: reqwest::Error,
    },
    /// the topic ends at offset {end_offset}
    EndOffsetMismatch {
        /// Offset at which the topic ends.
        end_offset: u64,
    },
    /// the records before offset {first_offset} were trimmed
    Trimmed {
        /// First offset that the store still has.
        first_offset: u64,
    },
    /// the store was restored from an older copy since the given offset was read
    Restored,
    /// the store answered status {0}
    Status(u16),
    /// malformed answer from the store: {0}
    Malformed(&'static str),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Returns whether the store may have executed the call or may still
    /// execute it.
    #[must_use]
    pub fn may_be_executed(&self) -> bool {
        matches!(
            self,
            Self::Unknown { .. } | Self::Malformed(_) | Self::Restored
        )
    }

    /// Returns the number of bytes of an incomplete answer that had arrived.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        match self {
            Self::Unknown { received_bytes, .. } => *received_bytes,
            _ => 0,
        }
    }
}
