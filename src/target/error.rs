//! Errors of the target clients.

use std::sync::Arc;

use displaydoc::Display;

/// Result of a request to a target.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a request to a target failed.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to {address}: {cause}
    Connect {
        /// Address of the target.
        address: Arc<str>,
        /// Error of the HTTP client.
        cause: reqwest::Error,
    },
    /// cannot build a request to {address}: {cause}
    Build {
        /// Address of the target.
        address: Arc<str>,
        /// Error of the HTTP client.
        cause: reqwest::Error,
    },
    /// request to {address} failed: {cause}
    Exchange {
        /// Address of the target.
        address: Arc<str>,
        /// Error of the HTTP client.
        cause: reqwest::Error,
    },
    /// {address} responded with status {status}: {message}
    Status {
        /// Address of the target.
        address: Arc<str>,
        /// HTTP status code.
        status: u16,
        /// Start of the response body.
        message: Arc<str>,
    },
    /// cannot decode the response from {address}: {cause}
    Decode {
        /// Address of the target.
        address: Arc<str>,
        /// Error of the JSON decoder.
        cause: serde_json::Error,
    },
    /// response from {address} is larger than {max_bytes} bytes
    TooLarge {
        /// Address of the target.
        address: Arc<str>,
        /// Maximum size, in bytes.
        max_bytes: usize,
    },
    /// response from {address} belongs to another request or attempt
    WrongRequest {
        /// Address of the target.
        address: Arc<str>,
    },
    /// stream from {address} skips or repeats a token: expected index {expected}, got {got}
    TokenOrder {
        /// Address of the target.
        address: Arc<str>,
        /// Index that the next token should have had.
        expected: u32,
        /// Index of the received token.
        got: u32,
    },
    /// response from {address} has the invalid status {status}
    InvalidStatus {
        /// Address of the target.
        address: Arc<str>,
        /// The number in the place of the status.
        status: u16,
    },
    /// response from {address} ended before the request was sent
    EarlyEnd {
        /// Address of the target.
        address: Arc<str>,
    },
    /// stream from {address} ended before its final event
    Cut {
        /// Address of the target.
        address: Arc<str>,
    },
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Connect { cause, .. }
            | Self::Build { cause, .. }
            | Self::Exchange { cause, .. } => Some(cause),
            Self::Decode { cause, .. } => Some(cause),
            _ => None,
        }
    }
}

impl Error {
    /// Returns whether any byte of the request may have reached the target.
    ///
    /// This is `false` only if the request could not be built or no connection
    /// could be established. If a reused connection closes during the request,
    /// the request counts as sent.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::Build { .. })
    }

    /// Returns whether the request failed because of a timeout.
    pub fn timed_out(&self) -> bool {
        match self {
            Self::Connect { cause, .. } | Self::Exchange { cause, .. } => cause.is_timeout(),
            _ => false,
        }
    }

    /// Converts an error of the HTTP client to the variant for the stage at which
    /// the request failed.
    pub(super) fn from_http(address: &str, cause: reqwest::Error) -> Self {
        let address = address.into();
        if cause.is_builder() {
            return Self::Build { address, cause };
        }
        if cause.is_connect() {
            return Self::Connect { address, cause };
        }
        Self::Exchange { address, cause }
    }
}
