//! Small stand-ins for the platform, engines and plain services.
//!
//! Each runs in this process or as `lavenderwind standin`, binds any address
//! (port 0 included), and switches its faults at run time by `PUT /faults`.

pub mod engine;
pub mod faults;
mod http;
pub mod plain;
pub mod platform;

use std::{io, net::SocketAddr};

use displaydoc::Display;

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a stand-in could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address}: {cause}
    Listen {
        /// Address asked for.
        address: SocketAddr,
        /// Cause from the operating system.
        cause: io::Error,
    },
    /// {field}: must be positive
    NotPositive {
        /// Option at fault.
        field: &'static str,
    },
}

impl std::error::Error for Error {}

/// Returns the loopback address with a port that the system chooses.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
