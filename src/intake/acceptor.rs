//! Admission at listeners that the HTTP framework serves.

use std::{io, net::SocketAddr, sync::Arc};

use salvo::{
    ConnCtrl, Depot, FlowCtrl, Handler, Request, Response, Router, Server, Service, async_trait,
    conn::{Accepted, Acceptor, Holding, StraightStream, tcp::TcpCoupler},
    fuse::{ArcFusePolicy, FuseConfig},
    http::{Version, uri::Scheme},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
};

use super::{Intake, IntakeStream, Listener, watch::RequestGuard};

/// Buffer for the head of a request of an operator's tool, in bytes.
const OPERATOR_HEAD_BYTES: usize = 16 << 10;

/// Creates the server of a listener for operators' tools.
///
/// # Errors
///
/// Fails if the local address of the listener cannot be determined.
pub fn server(
    listener: TcpListener,
    kind: Listener,
    intake: Arc<Intake>,
) -> io::Result<Server<IntakeAcceptor>> {
    let max_fields = intake.limits().max_header_fields;
    let mut server = Server::new(IntakeAcceptor::new(listener, kind, intake)?);
    server
        .http1_mut()
        .max_headers(max_fields)
        .max_buf_size(OPERATOR_HEAD_BYTES);
    Ok(server)
}

/// Creates the service of a listener, which tells the admission of each request.
#[must_use]
pub fn service(router: Router, kind: Listener, intake: Arc<Intake>) -> Service {
    Service::new(router).hoop(IntakeHoop::new(intake, kind))
}

/// Accepts the connections that are admitted.
#[derive(Debug)]
pub struct IntakeAcceptor {
    listener: TcpListener,
    kind: Listener,
    intake: Arc<Intake>,
    holdings: Vec<Holding>,
}

impl IntakeAcceptor {
    /// Creates an acceptor for a listener.
    ///
    /// # Errors
    ///
    /// Fails if the local address of the listener cannot be determined.
    pub fn new(listener: TcpListener, kind: Listener, intake: Arc<Intake>) -> io::Result<Self> {
        Ok(Self {
            holdings: vec![holding(&listener)?],
            listener,
            kind,
            intake,
        })
    }
}

impl Acceptor for IntakeAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<IntakeStream<TcpStream>>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let (stream, peer) = loop {
            let (stream, peer) = self.listener.accept().await?;
            if let Some((stream, admitted)) = self.intake.admit(self.kind, stream, peer) {
                break (IntakeStream::new(stream, admitted), peer);
            }
        };
        let holding = &self.holdings[0];
        let fuse = FuseConfig::default();
        Ok(accepted(stream, ConnCtrl::new(), fuse, holding, peer))
    }
}

/// Returns what the framework has to know of a listener without encryption.
pub(crate) fn holding(listener: &TcpListener) -> io::Result<Holding> {
    Ok(Holding {
        local_addr: listener.local_addr()?.into(),
        http_versions: vec![Version::HTTP_11],
        http_scheme: Scheme::HTTP,
    })
}

/// Returns an accepted connection without encryption.
pub(crate) fn accepted<S>(
    stream: S,
    conn_ctrl: ConnCtrl,
    fuse: FuseConfig,
    holding: &Holding,
    peer: SocketAddr,
) -> Accepted<TcpCoupler<StraightStream<S>>, StraightStream<S>>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    Accepted {
        coupler: TcpCoupler::new(),
        stream: StraightStream::new(stream, Some(fuse), conn_ctrl.clone(), None),
        fuse_config: Some(fuse),
        conn_ctrl,
        local_addr: holding.local_addr.clone(),
        remote_addr: peer.into(),
        http_scheme: Scheme::HTTP,
    }
}

/// Tells the admission of connections when a request begins and when it is answered.
#[derive(Debug)]
pub struct IntakeHoop {
    intake: Arc<Intake>,
    listener: Listener,
}

impl IntakeHoop {
    /// Creates the hoop of a listener.
    #[must_use]
    pub fn new(intake: Arc<Intake>, listener: Listener) -> Self {
        Self { intake, listener }
    }
}

#[async_trait]
impl Handler for IntakeHoop {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let peer = request.remote_addr().clone().into_std();
        let connection = peer.and_then(|peer| self.intake.find(self.listener, peer));
        let Some(connection) = connection else {
            ctrl.call_next(request, depot, response).await;
            return;
        };
        let guard = RequestGuard::new(connection);
        let version = request.version();
        ctrl.call_next(request, depot, response).await;
        guard.guard_answer(response, version);
    }
}
