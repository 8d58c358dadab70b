use displaydoc::Display;

use super::Offset;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the log could not be read or appended to.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// the log did not answer: {source}
    Transport {
        /// Cause; the request may have taken effect.
        source: reqwest::Error,
    },
    /// the log answered with status {status}
    Status {
        /// HTTP status.
        status: u16,
    },
    /// the log's answer cannot be decoded: {source}
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// offset is older than the oldest retained record, {oldest_offset}
    Trimmed {
        /// Oldest offset that is retained.
        oldest_offset: Offset,
        /// Offset that the next append will get.
        next_offset: Offset,
    },
    /// a record of {record_bytes} bytes is over the limit of {max_bytes} bytes
    TooLarge {
        /// Size of the encoded record.
        record_bytes: usize,
        /// Largest record that may be appended.
        max_bytes: usize,
    },
    /// the record may have taken effect among records that were not read
    Unresolved,
    /// the appender was stopped; a record that was sent may have taken effect
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
