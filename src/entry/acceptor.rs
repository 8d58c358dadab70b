//! Accepts callers' TCP connections until the instance stops gracefully.

use std::{io, sync::Arc, time::Duration};

use salvo::{
    ConnCtrl,
    conn::{Accepted, Acceptor, Holding, StraightStream, tcp::TcpCoupler},
    fuse::{ArcFusePolicy, FuseConfig},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::intake::{
    self, CallerSocket, CallerStream, Intake, IntakeStream, Listener, watch_caller,
};

/// Time without progress in a write after which a connection is closed, because
/// its caller reads no data.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until its [`CloseHandle`] closes the listener.
#[derive(Debug)]
pub(super) struct EntryAcceptor {
    listener: Option<TcpListener>,
    intake: Arc<Intake>,
    holdings: Vec<Holding>,
    fuse: FuseConfig,
    close_requested: CancellationToken,
    closed: CancellationToken,
}

/// Closes the listener of an [`EntryAcceptor`].
#[derive(Clone, Debug)]
pub(super) struct CloseHandle {
    close_requested: CancellationToken,
    closed: CancellationToken,
}

impl CloseHandle {
    /// Requests that the listener is closed once its backlog has been accepted.
    pub(super) fn close(&self) {
        self.close_requested.cancel();
    }

    /// Waits until the listener is closed.
    pub(super) async fn closed(&self) {
        self.closed.cancelled().await;
    }
}

impl EntryAcceptor {
    /// Creates an acceptor for `listener`.
    ///
    /// A connection is closed if the headers of a request do not arrive within
    /// `header_timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the local address of the listener cannot be determined.
    pub(super) fn new(
        listener: TcpListener,
        header_timeout: Duration,
        intake: Arc<Intake>,
    ) -> io::Result<(Self, CloseHandle)> {
        let holding = intake::holding(&listener)?;
        let handle = CloseHandle {
            close_requested: CancellationToken::new(),
            closed: CancellationToken::new(),
        };
        let acceptor = Self {
            listener: Some(listener),
            intake,
            holdings: vec![holding],
            fuse: FuseConfig::default()
                .with_http1_header_timeout(header_timeout)
                .with_write_stall_timeout(WRITE_STALL_TIMEOUT),
            close_requested: handle.close_requested.clone(),
            closed: handle.closed.clone(),
        };
        Ok((acceptor, handle))
    }

    /// Accepts the next connection. After a close request, closes the listener once
    /// its backlog is empty, and then never returns.
    async fn accept_stream(&mut self) -> io::Result<(TcpStream, std::net::SocketAddr)> {
        if let Some(listener) = &self.listener {
            tokio::select! {
                biased;
                accepted = listener.accept() => return accepted,
                () = self.close_requested.cancelled() => {}
            }
            self.listener = None;
            self.closed.cancel();
        }
        std::future::pending().await
    }
}

impl Acceptor for EntryAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<IntakeStream<CallerStream<fn()>>>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let (stream, admitted, peer) = loop {
            let (stream, peer) = self.accept_stream().await?;
            if let Some((stream, admitted)) = self.intake.admit(Listener::Callers, stream, peer) {
                break (stream, admitted, peer);
            }
        };
        // Tokens are written one at a time; Nagle's algorithm would delay each
        // until the previous one is acknowledged.
        stream.set_nodelay(true)?;
        let conn_ctrl = ConnCtrl::new();
        let socket = CallerSocket::new(stream);
        let connection = admitted.connection().clone();
        tokio::spawn(watch_caller(socket.clone(), connection, conn_ctrl.clone()));
        let on_read: fn() = || ();
        let stream = IntakeStream::new(CallerStream::new(socket, on_read), admitted);
        let holding = &self.holdings[0];
        Ok(intake::accepted(
            stream, conn_ctrl, self.fuse, holding, peer,
        ))
    }
}
