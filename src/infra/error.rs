//! Errors of the platform clients.

use std::sync::Arc;

use displaydoc::Display;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a platform call failed.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to {url}: {cause}
    Connect {
        /// URL of the call.
        url: Arc<str>,
        /// Cause from the HTTP client.
        cause: reqwest::Error,
    },
    /// request to {url} failed: {cause}
    Exchange {
        /// URL of the call.
        url: Arc<str>,
        /// Cause from the HTTP client.
        cause: reqwest::Error,
    },
    /// {url} rejected an outdated fencing token
    OldEpoch {
        /// URL of the call.
        url: Arc<str>,
    },
    /// {url} already has different figures for this window
    Conflict {
        /// URL of the call.
        url: Arc<str>,
    },
    /// {url} answered with status {status}
    Status {
        /// URL of the call.
        url: Arc<str>,
        /// HTTP status.
        status: u16,
    },
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Connect { cause, .. } | Self::Exchange { cause, .. } => Some(cause),
            _ => None,
        }
    }
}

impl Error {
    /// Whether any byte of the request may have reached the platform.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Connect { .. })
    }

    /// Classifies an error of the HTTP client by whether the request was sent.
    pub(super) fn from_http(url: &str, cause: reqwest::Error) -> Self {
        let url = url.into();
        if cause.is_connect() || cause.is_builder() {
            return Self::Connect { url, cause };
        }
        Self::Exchange { url, cause }
    }
}
