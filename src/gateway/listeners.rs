//! Listening sockets of an instance.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, UdpSocket};

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
    /// Socket for placements, on the port of `peers`; `None` if placement is not shared.
    pub(super) placements: Option<UdpSocket>,
}

impl Listeners {
    /// Listens on the addresses of the settings; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be used.
    pub async fn bind(settings: &GatewaySettings) -> Result<Self> {
        let peers = listen(settings.peer_address).await?;
        let placements = match settings.placement.shared {
            true => Some(bind_datagrams(&peers).await?),
            false => None,
        };
        Ok(Self {
            callers: listen(settings.caller_address).await?,
            readiness: listen(settings.readiness_address).await?,
            peers,
            metrics: listen(settings.metrics_address).await?,
            placements,
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

/// Binds a datagram socket to the address of a listener.
async fn bind_datagrams(listener: &TcpListener) -> Result<UdpSocket> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = listener.local_addr();
    let address = address.map_err(|source| Error::Listen {
        address: unknown,
        source,
    })?;
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|source| Error::Listen { address, source })
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Listen { address, source })
}
