//! Errors of the clients for targets.

use std::sync::Arc;

use displaydoc::Display;

/// Result of a call to a target.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to a target failed.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to {address}: {cause}
    Connect {
        /// Address of the target.
        address: Arc<str>,
        /// Cause from the HTTP client.
        cause: reqwest::Error,
    },
    /// cannot build a request to {address}: {cause}
    Build {
        /// Address of the target.
        address: Arc<str>,
        /// Cause from the HTTP client.
        cause: reqwest::Error,
    },
    /// request to {address} failed: {cause}
    Exchange {
        /// Address of the target.
        address: Arc<str>,
        /// Cause from the HTTP client.
        cause: reqwest::Error,
    },
    /// {address} answered status {status}: {message}
    Status {
        /// Address of the target.
        address: Arc<str>,
        /// HTTP status.
        status: u16,
        /// Body of the answer, shortened.
        message: Arc<str>,
    },
    /// answer from {address} cannot be read: {cause}
    Decode {
        /// Address of the target.
        address: Arc<str>,
        /// Cause from the decoder.
        cause: serde_json::Error,
    },
    /// answer from {address} is larger than {max_bytes} bytes
    TooLarge {
        /// Address of the target.
        address: Arc<str>,
        /// Bound on the answer, in bytes.
        max_bytes: usize,
    },
    /// answer from {address} belongs to another request or attempt
    WrongRequest {
        /// Address of the target.
        address: Arc<str>,
    },
    /// stream from {address} skips or repeats a token: expected index {expected}, got {got}
    TokenOrder {
        /// Address of the target.
        address: Arc<str>,
        /// Index that was due.
        expected: u32,
        /// Index that came.
        got: u32,
    },
    /// stream from {address} ended before it was whole
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
    /// Returns whether a byte of the request may have reached the target.
    ///
    /// `false` only where the request was never built or no connection was
    /// made; a reused connection that closed under the request counts as
    /// written.
    pub fn written(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::Build { .. })
    }

    /// Returns whether the target was slow rather than gone.
    pub fn timed_out(&self) -> bool {
        match self {
            Self::Connect { cause, .. } | Self::Exchange { cause, .. } => cause.is_timeout(),
            _ => false,
        }
    }

    /// Sorts an error of the HTTP client.
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
