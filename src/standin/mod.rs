//! Stand-ins: simulators of the platform, of engines and of plain services.
//!
//! A plain service is a target that serves HTTP requests other than inference.
//! Each stand-in runs in this process or as `lavenderwind standin`. It binds any
//! address (port 0 included), and `PUT /faults` replaces its injected faults at
//! run time.

pub mod engine;
pub mod faults;
mod http;
pub mod plain;
pub mod platform;

use std::{io, net::SocketAddr};

use displaydoc::Display;

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a stand-in could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address}: {cause}
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Cause from the operating system.
        cause: io::Error,
    },
    /// the option {field} must be positive
    NotPositive {
        /// Name of the invalid option.
        field: &'static str,
    },
}

impl std::error::Error for Error {}

/// Returns the loopback address with port 0, for which the system picks a free
/// port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
