//! Service documents, which operators publish.
//!
//! A document describes one service: its routes, models, client accounts,
//! keys, target kinds and spending limits. Every revision replaces the complete
//! document; the ledger accepts or refuses it (see [`crate::ledger`]).

mod check;
mod document;
mod error;

pub use check::{MAX_DOCUMENT_BYTES, OPEN_ACCOUNT};
pub use document::{
    Access, Account, Document, Key, KindRole, Model, Repeat, Route, Spending, TargetKind,
};
pub use error::{Error, Result};
