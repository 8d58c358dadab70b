//! TCP listeners of an instance.

use std::net::{SocketAddr, TcpListener as StdListener};

use serde::Serialize;
use tokio::net::TcpListener;

use super::{Error, Result};
use crate::Settings;

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for peer connections.
    pub peer: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
}

/// Bound listeners. Each run of a component uses a duplicate, so that a
/// restarted component keeps its address.
#[derive(Debug)]
pub(super) struct Listeners {
    pub(super) entry: StdListener,
    pub(super) peer: StdListener,
    pub(super) admin: StdListener,
    pub(super) addresses: Addresses,
}

impl Listeners {
    /// Binds the configured addresses.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, for example because it is in use.
    pub(super) fn bind(settings: &Settings) -> Result<Self> {
        let entry = bind(settings.entry_address)?;
        let peer = bind(settings.peer_address)?;
        let admin = bind(settings.admin_address)?;
        let addresses = Addresses {
            entry: entry.local_addr().map_err(Error::Listen)?,
            peer: peer.local_addr().map_err(Error::Listen)?,
            admin: admin.local_addr().map_err(Error::Listen)?,
        };
        Ok(Self {
            entry,
            peer,
            admin,
            addresses,
        })
    }
}

/// Duplicates a listener for one run of a component.
pub(super) fn duplicate(listener: &StdListener) -> Result<TcpListener> {
    let listener = listener.try_clone().map_err(Error::Listen)?;
    TcpListener::from_std(listener).map_err(Error::Listen)
}

fn bind(address: SocketAddr) -> Result<StdListener> {
    let bound = StdListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|source| Error::Bind { address, source })
}
