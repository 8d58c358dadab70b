//! Errors that end a connection to a peer.

use std::{io, sync::Arc};

use displaydoc::Display;

use super::delta;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons why a connection to a peer ended.
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
    /// changes in a heartbeat cannot be applied: {source}
    Delta {
        /// Cause.
        source: delta::Error,
    },
    /// received a frame without a body, or a frame that is not allowed at this point
    UnexpectedFrame,
    /// timed out waiting for the peer
    TimedOut,
    /// timed out sending a frame
    SendTimedOut,
    /// peer closed the connection
    Closed,
    /// incarnation {incarnation} of {name} is older than its newest known incarnation
    OutdatedIncarnation {
        /// Name of the peer.
        name: Arc<str>,
        /// Outdated incarnation.
        incarnation: u64,
    },
    /// peer uses the name of this instance
    SameName,
    /// limit of names that can be defined on one connection is reached
    NamesExhausted,
    /// replaced by a newer connection to {name}
    Replaced {
        /// Name of the peer.
        name: Arc<str>,
    },
    /// peer address {address} is not IP:PORT
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

impl From<delta::Error> for Error {
    fn from(source: delta::Error) -> Self {
        Self::Delta { source }
    }
}
