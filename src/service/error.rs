//! Why a service document is refused.

use displaydoc::Display;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a service document is refused.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum Error {
    /// the document has {bytes} bytes; the limit is {limit}
    TooLong {
        /// Length of the document.
        bytes: usize,
        /// Longest document that is accepted.
        limit: usize,
    },
    /// line {line}, column {column}: {reason}
    Parse {
        /// Line of the fault, from 1; 0 if unknown.
        line: usize,
        /// Column of the fault, from 1; 0 if unknown.
        column: usize,
        /// What the parser found.
        reason: String,
    },
    /// line {line}: {field}: {reason}
    Invalid {
        /// Line of the field, from 1.
        line: usize,
        /// Path of the field.
        field: String,
        /// What is wrong with its value.
        reason: String,
    },
}
