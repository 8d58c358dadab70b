//! Errors of reading from the log and appending to it.

use displaydoc::Display;

use super::Offset;

/// Result of a log operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of reading from the log or appending to it.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// request to the log failed: {source}
    Transport {
        /// Cause. An append may have taken effect.
        source: reqwest::Error,
    },
    /// the log responded with HTTP status {status}
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// cannot decode the log's response: {source}
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// the requested offset precedes the oldest retained offset {oldest_offset}
    Trimmed {
        /// Offset of the oldest retained record.
        oldest_offset: Offset,
        /// Offset that the next appended record will get.
        next_offset: Offset,
    },
    /// a record of {record_bytes} bytes exceeds the limit of {max_bytes} bytes
    TooLarge {
        /// Size of the encoded record, in bytes.
        record_bytes: usize,
        /// Largest allowed size of an encoded record, in bytes.
        max_bytes: usize,
    },
    /// outcome unknown: a rebuild of the ledger may have skipped the record
    Unresolved,
    /// the appender has stopped; a record that was sent may have taken effect
    Stopped,
}

impl From<reqwest::Error> for Error {
    fn from(source: reqwest::Error) -> Self {
        Self::Transport { source }
    }
}

impl From<prost::DecodeError> for Error {
    fn from(source: prost::DecodeError) -> Self {
        Self::Decode { source }
    }
}
