//! The platform's interfaces: log, live list, target ordering, usage reports
//! and weight store.
//!
//! [`protocol`] holds the bodies that go over HTTP; it is shared with the
//! stand-ins.

pub mod protocol;
