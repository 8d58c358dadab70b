//! Errors returned to callers, with their status, code and outcome.

use std::sync::Arc;

use displaydoc::Display;
use salvo::{
    Response,
    http::{
        HeaderValue, StatusCode,
        header::{ALLOW, CONNECTION, CONTENT_TYPE, RETRY_AFTER},
    },
};
use serde::Serialize;

/// Response header that carries the [`Outcome`] of a request.
pub const OUTCOME_HEADER: &str = "lavenderwind-outcome";

/// Result with an [`Error`] that can be returned to a caller.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a request without a complete answer was run by a target.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target ran any part of the request.
    #[display("not-run")]
    NotRun,
    /// A target ran the request, at least in part.
    #[display("ran")]
    Ran,
    /// A target may have run the request.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Value of the [`OUTCOME_HEADER`] header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason why a request was rejected or failed.
#[derive(Clone, Debug, Display, derive_more::Error, PartialEq)]
pub enum Error {
    /// no route for {path}
    UnknownRoute {
        /// Path of the request.
        path: String,
    },
    /// method {method} is not allowed for {path}; allowed: {allow}
    MethodNotAllowed {
        /// Path of the request.
        path: String,
        /// Method of the request.
        method: String,
        /// Allowed methods, separated by commas.
        allow: String,
    },
    /// no API key given; send it as `Authorization: Bearer KEY`
    MissingKey,
    /// the API key is unknown or revoked
    InvalidKey,
    /// the API key belongs to a service other than that of {path}
    WrongService {
        /// Path of the request.
        path: String,
    },
    /// this instance cannot confirm that its API keys are current; try another instance
    Stale,
    /// the request's headers exceed {limit_bytes} bytes
    HeadersTooLarge {
        /// Limit, in bytes.
        limit_bytes: usize,
    },
    /// the request's body exceeds {limit_bytes} bytes
    BodyTooLarge {
        /// Limit, in bytes.
        limit_bytes: u64,
    },
    /// the request was not fully received within {limit_ms} ms
    ReadTimeout {
        /// Limit, in milliseconds.
        limit_ms: u64,
    },
    /// the request's body could not be read: {reason}
    BodyRead {
        /// Cause, as the HTTP library describes it.
        reason: String,
    },
    /// the body is not valid JSON: {reason} at line {line} column {column}
    Json {
        /// Cause, as the JSON parser describes it.
        reason: String,
        /// Line number, from 1.
        line: usize,
        /// Column number, from 1.
        column: usize,
    },
    /// {param}: {reason}
    InvalidField {
        /// Name of the field in the body.
        param: &'static str,
        /// Constraint that the value violates.
        reason: String,
    },
    /// invalid header {name}: {reason}
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
        /// Constraint that the value violates.
        reason: &'static str,
    },
    /// the model {model} does not exist or is not available to the account
    ModelNotFound {
        /// Requested model.
        model: String,
    },
    /// the account exceeds its {limit}
    RateLimited {
        /// Limit that was exceeded.
        limit: &'static str,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// this instance has no memory left for the request's body
    NoMemory,
    /// too many requests wait for a target
    QueueFull,
    /// the request cannot be served before its deadline
    Overloaded {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// no target can serve the request now
    NoTarget,
    /// the request is quarantined: it was in flight during several target crashes
    Quarantined {
        /// Whether a target ran the request.
        outcome: Outcome,
    },
    /// the idempotency key was already used with a different request
    KeyReused,
    /// a request with this idempotency key is in progress; retry later with the same key
    InProgress,
    /// the request cannot be recorded because the log is not writable now
    LogUnavailable,
    /// the request ran with status {status}, but its answer was too large to record
    OutcomeNotRecorded {
        /// HTTP status of the target's answer.
        status: u16,
    },
    /// the target failed: {reason}
    TargetFailed {
        /// Cause, without internal addresses.
        reason: Arc<str>,
        /// Whether a target ran the request.
        outcome: Outcome,
    },
    /// the deadline passed
    DeadlineExceeded {
        /// Whether a target ran the request.
        outcome: Outcome,
    },
    /// internal error of this instance
    Internal {
        /// Whether a target ran the request.
        outcome: Outcome,
    },
}

impl Error {
    /// HTTP status of the error.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::UnknownRoute { .. } | Self::ModelNotFound { .. } => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::MissingKey | Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::WrongService { .. } => StatusCode::FORBIDDEN,
            Self::HeadersTooLarge { .. } => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::ReadTimeout { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::BodyRead { .. }
            | Self::Json { .. }
            | Self::InvalidField { .. }
            | Self::InvalidHeader { .. } => StatusCode::BAD_REQUEST,
            Self::RateLimited { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Quarantined { .. } | Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress => StatusCode::CONFLICT,
            Self::OutcomeNotRecorded { .. } => StatusCode::GONE,
            Self::TargetFailed { .. } => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Internal { .. } => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Stale
            | Self::NoMemory
            | Self::QueueFull
            | Self::Overloaded { .. }
            | Self::NoTarget
            | Self::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Error code for programs; it stays the same across releases.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::UnknownRoute { .. } => "unknown_url",
            Self::MethodNotAllowed { .. } => "method_not_allowed",
            Self::MissingKey => "missing_api_key",
            Self::InvalidKey => "invalid_api_key",
            Self::WrongService { .. } => "permission_denied",
            Self::Stale => "configuration_stale",
            Self::HeadersTooLarge { .. } => "headers_too_large",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::ReadTimeout { .. } => "request_timeout",
            Self::BodyRead { .. } => "body_unreadable",
            Self::Json { .. } => "invalid_json",
            Self::InvalidField { .. } => "invalid_value",
            Self::InvalidHeader { .. } => "invalid_header",
            Self::ModelNotFound { .. } => "model_not_found",
            Self::RateLimited { .. } => "rate_limit_exceeded",
            Self::NoMemory => "no_memory",
            Self::QueueFull => "queue_full",
            Self::Overloaded { .. } => "overloaded",
            Self::NoTarget => "no_target_available",
            Self::Quarantined { .. } => "request_quarantined",
            Self::KeyReused => "idempotency_key_reused",
            Self::InProgress => "request_in_progress",
            Self::LogUnavailable => "log_unavailable",
            Self::OutcomeNotRecorded { .. } => "outcome_not_recorded",
            Self::TargetFailed { .. } => "target_failed",
            Self::DeadlineExceeded { .. } => "deadline_exceeded",
            Self::Internal { .. } => "internal_error",
        }
    }

    /// Whether a target ran the request.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::InProgress => Outcome::Unknown,
            Self::OutcomeNotRecorded { .. } => Outcome::Ran,
            Self::TargetFailed { outcome, .. }
            | Self::DeadlineExceeded { outcome }
            | Self::Quarantined { outcome }
            | Self::Internal { outcome } => *outcome,
            _ => Outcome::NotRun,
        }
    }

    /// Time after which a retry may succeed, in milliseconds.
    pub const fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::RateLimited { retry_after_ms, .. } | Self::Overloaded { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            Self::Stale
            | Self::NoMemory
            | Self::QueueFull
            | Self::NoTarget
            | Self::LogUnavailable
            | Self::InProgress => Some(1_000),
            _ => None,
        }
    }

    /// Whether the connection must be closed after the response.
    ///
    /// After these errors, part of the request may be unread, and the connection
    /// cannot carry another request.
    pub const fn closes_connection(&self) -> bool {
        matches!(
            self,
            Self::BodyTooLarge { .. }
                | Self::ReadTimeout { .. }
                | Self::BodyRead { .. }
                | Self::NoMemory
                | Self::Stale
                | Self::HeadersTooLarge { .. }
        )
    }

    /// Whether the request was rejected before any target ran it.
    pub fn is_refusal(&self) -> bool {
        self.outcome() == Outcome::NotRun
    }

    /// Response body: a JSON object with the field `error`.
    pub fn body(&self) -> Vec<u8> {
        let body = ErrorBody {
            error: ErrorFields {
                message: self.to_string(),
                kind: error_type(self.status()),
                param: self.param(),
                code: self.code(),
                outcome: self.outcome(),
            },
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Writes the status, headers and body of the error response.
    pub fn write(&self, response: &mut Response) {
        response.status_code(self.status());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome().as_str()),
        );
        if let Some(retry_after_ms) = self.retry_after_ms() {
            let seconds = retry_after_ms.div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Self::MethodNotAllowed { allow, .. } = self
            && let Ok(allow) = HeaderValue::from_str(allow)
        {
            headers.insert(ALLOW, allow);
        }
        response.body(self.body());
    }

    const fn param(&self) -> Option<&'static str> {
        match self {
            Self::InvalidField { param, .. } => Some(param),
            Self::ModelNotFound { .. } => Some("model"),
            _ => None,
        }
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        let (line, column) = (error.line(), error.column());
        let message = error.to_string();
        let reason = match message.rfind(" at line ") {
            Some(end) => message[..end].to_owned(),
            None => message,
        };
        Self::Json {
            reason,
            line,
            column,
        }
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Serialize)]
struct ErrorFields {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'static str>,
    code: &'static str,
    outcome: Outcome,
}

const fn error_type(status: StatusCode) -> &'static str {
    match status.as_u16() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        503 => "service_unavailable_error",
        _ => "server_error",
    }
}
