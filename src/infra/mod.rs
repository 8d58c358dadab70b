//! Interfaces of the platform: log, live list, target ordering, usage sink and
//! weight store.
//!
//! [`protocol`] defines the HTTP bodies, which [`crate::standin`] uses too.

mod client;
mod error;
pub mod protocol;

pub use self::{
    client::{LiveClient, TargetsClient, UsageClient},
    error::{Error, Result},
};
