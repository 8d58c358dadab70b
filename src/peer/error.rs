use std::{io, sync::Arc};

use displaydoc::Display;

use super::digest;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a connection to a peer ended.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// connection failed: {source}
    Connection {
        /// Cause, such as a frame over the size limit.
        source: io::Error,
    },
    /// frame cannot be decoded: {source}
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// heartbeat cannot be applied: {source}
    Digest {
        /// Cause.
        source: digest::Error,
    },
    /// frame without a body, or in the wrong place
    UnexpectedFrame,
    /// no frame arrived in time
    TimedOut,
    /// peer did not take frames in time
    SendTimedOut,
    /// peer closed the connection
    Closed,
    /// incarnation {incarnation} of {name} is outdated
    OutdatedIncarnation {
        /// Name of the peer.
        name: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
    },
    /// peer has the name of this instance
    SameName,
    /// connection has no room for new names
    NamesExhausted,
    /// a newer connection to {name} took over
    Replaced {
        /// Name of the peer.
        name: Arc<str>,
    },
    /// address {address} is not IP:PORT
    Address {
        /// Address from the live list.
        address: Arc<str>,
    },
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Self {
        Self::Connection { source }
    }
}

impl From<prost::DecodeError> for Error {
    fn from(source: prost::DecodeError) -> Self {
        Self::Decode { source }
    }
}

impl From<digest::Error> for Error {
    fn from(source: digest::Error) -> Self {
        Self::Digest { source }
    }
}
