//! Errors of the control module.

use displaydoc::Display;

use crate::{ledger::Rejection, log};

/// Result of a duty operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a duty operation.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// this instance does not hold the duty
    NotHolder,
    /// the ledger rejected the record: {0}
    #[from(skip)]
    Rejected(#[error(not(source))] Rejection),
    /// {0}
    Log(log::Error),
}
