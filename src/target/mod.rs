//! Targets: clients for engines and plain services, their health and load.
//!
//! [`protocol`] holds the bodies that go over HTTP; it is shared with the
//! stand-ins.

pub mod protocol;
