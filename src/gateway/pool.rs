//! Connections to targets, each of which carries one request at a time.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};
use tokio_util::task::AbortOnDropHandle;

use crate::roster::Target;

/// Longest time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a connection stays usable where its target names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time before the end of a target's idle timeout at which a connection is no
/// longer used, since the target may close it as a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Time without an acknowledgement after which a connection is dead.
const USER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two keep-alive probes on a silent connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Most bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why a request was not answered.
#[derive(Debug, Display)]
pub(super) enum Error {
    /// the target has all the connections that it may get from here
    NoConnection,
    /// cannot connect: {0}
    Connect(io::Error),
    /// no byte was written: {0}
    NotWritten(hyper::Error),
    /// the connection broke: {0}
    Broken(hyper::Error),
}

/// One start of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct TargetStart {
    id: Arc<str>,
    started_ms: u64,
    address: SocketAddr,
}

impl From<&Target> for TargetStart {
    fn from(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            started_ms: target.started_ms,
            address: target.address,
        }
    }
}

#[derive(Debug, Default)]
struct TargetConnections {
    idle: Vec<Idle>,
    open: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    reusable_until: Instant,
}

/// An open connection that carries no request.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Time for which the target keeps the connection when idle.
    pub(super) idle_timeout: Option<Duration>,
    _driver: AbortOnDropHandle<()>,
    _open: OpenGuard,
}

impl Connection {
    /// Sends a request and returns the head of the answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error();
                Err(match unsent {
                    true => Error::NotWritten(cause),
                    false => Error::Broken(cause),
                })
            }
        }
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    /// Counts one more connection, unless `max` are open.
    fn acquire(open: &Arc<AtomicUsize>, max: usize) -> Option<Self> {
        let acquired = open.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
            (count < max).then_some(count + 1)
        });
        acquired.is_ok().then(|| Self(open.clone()))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Connections to all targets.
#[derive(Debug, Default)]
pub(super) struct Pool {
    targets: Mutex<IndexMap<TargetStart, TargetConnections>>,
}

impl Pool {
    /// Returns a connection to a target, of which at most `max` are open.
    pub(super) async fn checkout(&self, target: &Target, max: usize) -> Result<Connection, Error> {
        let open = match self.take_idle(target) {
            Checkout::Idle(connection) => return Ok(*connection),
            Checkout::Connect(open) => open,
        };
        let guard = OpenGuard::acquire(&open, max).ok_or(Error::NoConnection)?;
        connect(target.address, guard).await
    }

    /// Keeps a connection for the next request, unless it was closed.
    pub(super) fn put_back(&self, target: &Target, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout = connection.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let Some(reuse_time) = idle_timeout.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let mut targets = self.lock();
        let connections = targets.entry(TargetStart::from(target)).or_default();
        connections.idle.push(Idle {
            connection,
            reusable_until: Instant::now() + reuse_time,
        });
    }

    /// Closes idle connections that are not used any more, and those to
    /// targets of which `keep` is false.
    pub(super) fn expire<F>(&self, now: Instant, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.lock().retain(|start, connections| {
            connections
                .idle
                .retain(|idle| idle.reusable_until > now && !idle.connection.sender.is_closed());
            keep(&start.id) || connections.open.load(Ordering::Acquire) > 0
        });
    }

    fn take_idle(&self, target: &Target) -> Checkout {
        let now = Instant::now();
        let mut targets = self.lock();
        let connections = targets.entry(TargetStart::from(target)).or_default();
        while let Some(idle) = connections.idle.pop() {
            if idle.reusable_until <= now || !idle.connection.sender.is_ready() {
                continue;
            }
            return Checkout::Idle(Box::new(idle.connection));
        }
        Checkout::Connect(connections.open.clone())
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<TargetStart, TargetConnections>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Checkout {
    Idle(Box<Connection>),
    /// No connection is idle; counts those that are open.
    Connect(Arc<AtomicUsize>),
}

async fn connect(address: SocketAddr, open: OpenGuard) -> Result<Connection, Error> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| Error::Connect(io::ErrorKind::TimedOut.into()))?
        .map_err(Error::Connect)?;
    set_liveness_options(&stream).map_err(Error::Connect)?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(Error::NotWritten)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!("gateway: connection to {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        idle_timeout: None,
        _driver: AbortOnDropHandle::new(driver),
        _open: open,
    })
}

/// Makes the kernel close a connection whose other end has gone silent.
fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
