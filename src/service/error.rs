//! Errors of parsing and validating a service document.

use displaydoc::Display;

/// Result of parsing and validating a service document.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a service document is refused.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum Error {
    /// the document has {bytes} bytes; the limit is {limit}
    TooLong {
        /// Length of the document, in bytes.
        bytes: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// line {line}, column {column}: {reason}
    Parse {
        /// Line of the error, from 1; 0 if unknown.
        line: usize,
        /// Column of the error, from 1; 0 if unknown.
        column: usize,
        /// Message of the parser.
        reason: String,
    },
    /// line {line}: {field}: {reason}
    Invalid {
        /// Line of the field, from 1.
        line: usize,
        /// Path of the field, such as `routes[0].path`.
        field: String,
        /// Why the value is invalid.
        reason: String,
    },
}
