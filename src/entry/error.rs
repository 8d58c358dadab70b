//! Refusals and failures, as callers see them.

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

/// Header that states what became of a request.
pub const OUTCOME_HEADER: &str = "lavenderwind-outcome";

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// What became of a request that has no whole answer.
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
    /// Value of the [`OUTCOME_HEADER`].
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or failed.
#[derive(Clone, Debug, Display, derive_more::Error, PartialEq)]
pub enum Error {
    /// no route for {path}
    UnknownRoute {
        /// Path that was asked for.
        path: String,
    },
    /// {path} does not take {method}; it takes {allow}
    MethodNotAllowed {
        /// Path that was asked for.
        path: String,
        /// Method that was used.
        method: String,
        /// Methods that the path takes, separated by commas.
        allow: String,
    },
    /// no key was given: send it as `Authorization: Bearer KEY`
    MissingKey,
    /// the key is unknown or revoked
    InvalidKey,
    /// the key belongs to another service than {path}
    WrongService {
        /// Path that was asked for.
        path: String,
    },
    /// this instance cannot show that it knows the newest keys; try another instance
    Stale,
    /// the request's headers exceed {limit_bytes} bytes
    HeadersTooLarge {
        /// Bound, in bytes.
        limit_bytes: usize,
    },
    /// the request's body exceeds {limit_bytes} bytes
    BodyTooLarge {
        /// Bound, in bytes.
        limit_bytes: u64,
    },
    /// the request was not received whole within {limit_ms} ms
    ReadTimeout {
        /// Bound, in milliseconds.
        limit_ms: u64,
    },
    /// the request's body could not be read: {reason}
    BodyRead {
        /// Cause.
        reason: String,
    },
    /// the body is not valid JSON: {reason} at line {line} column {column}
    Json {
        /// Cause.
        reason: String,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
    },
    /// {param}: {reason}
    InvalidField {
        /// Field of the body.
        param: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// the header {name} is not valid: {reason}
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// the model {model} does not exist or the account may not use it
    ModelNotFound {
        /// Model that was asked for.
        model: String,
    },
    /// the account exceeds its {limit}
    RateLimited {
        /// Limit that was exceeded.
        limit: &'static str,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// too many requests wait for a target
    QueueFull,
    /// the request cannot be served before its deadline
    Overloaded {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// no target can serve the request now
    NoTarget,
    /// the request was in flight at several crashes of targets and is quarantined
    Quarantined {
        /// What became of the request.
        outcome: Outcome,
    },
    /// the idempotency key was used with another body
    KeyReused,
    /// a request with this idempotency key is running; send it again later with the same key
    InProgress,
    /// the log that would record this request cannot be written now
    LogUnavailable,
    /// the request ran with status {status}; its answer was too large to be recorded
    OutcomeNotRecorded {
        /// Status that the target answered.
        status: u16,
    },
    /// the target failed: {reason}
    TargetFailed {
        /// Cause, without addresses.
        reason: Arc<str>,
        /// What became of the request.
        outcome: Outcome,
    },
    /// the deadline passed
    DeadlineExceeded {
        /// What became of the request.
        outcome: Outcome,
    },
    /// the request failed inside this instance
    Internal {
        /// What became of the request.
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
            | Self::QueueFull
            | Self::Overloaded { .. }
            | Self::NoTarget
            | Self::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Stable code of the error.
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

    /// What became of the request.
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
            | Self::QueueFull
            | Self::NoTarget
            | Self::LogUnavailable
            | Self::InProgress => Some(1_000),
            _ => None,
        }
    }

    /// Whether the connection must not be used again.
    pub const fn closes_connection(&self) -> bool {
        matches!(
            self,
            Self::BodyTooLarge { .. }
                | Self::ReadTimeout { .. }
                | Self::BodyRead { .. }
                | Self::HeadersTooLarge { .. }
        )
    }

    /// Whether the request was turned away rather than having failed.
    pub fn is_refusal(&self) -> bool {
        self.outcome() == Outcome::NotRun
    }

    /// The body of the error in the usual form.
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

    /// Writes the error as a whole response.
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
