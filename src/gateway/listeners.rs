//! Listening sockets of an instance.

use std::{io, net::SocketAddr};

use tokio::net::TcpListener;

use crate::{
    gateway::run::{Error, Result},
    settings::GatewaySettings,
};

/// Listening sockets of an instance.
#[derive(Debug)]
pub struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) readiness: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) metrics: TcpListener,
}

impl Listeners {
    /// Listens on the addresses of the settings; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be used.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self> {
        Ok(Self {
            callers: listen(settings.caller_address).await?,
            readiness: listen(settings.readiness_address).await?,
            peers: listen(settings.peer_address).await?,
            metrics: listen(settings.metrics_address).await?,
        })
    }

    /// Returns the local address of the listener for callers.
    ///
    /// # Errors
    ///
    /// Fails if the local address cannot be read.
    pub fn caller_address(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the local address of the metrics listener.
    ///
    /// # Errors
    ///
    /// Fails if the local address cannot be read.
    pub fn metrics_address(&self) -> io::Result<SocketAddr> {
        self.metrics.local_addr()
    }

    /// Returns the local address of the readiness listener.
    ///
    /// # Errors
    ///
    /// Fails if the local address cannot be read.
    pub fn readiness_address(&self) -> io::Result<SocketAddr> {
        self.readiness.local_addr()
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Listen { address, source })
}
