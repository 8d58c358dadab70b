//! Why a duty could not be carried out.

use displaydoc::Display;

use crate::{ledger::Rejection, log};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a duty could not be carried out.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// this instance does not hold the duty
    NotHolder,
    /// the record was refused: {0}
    #[from(skip)]
    Rejected(#[error(not(source))] Rejection),
    /// {0}
    Log(log::Error),
}
