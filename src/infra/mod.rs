//! The platform's interfaces: log, live list, target ordering, usage reports
//! and weight store.
//!
//! [`protocol`] holds the bodies that go over HTTP; it is shared with the
//! stand-ins.

mod client;
mod error;
pub mod protocol;

pub use self::{
    client::{LiveClient, TargetsClient, UsageClient},
    error::{Error, Result},
};
