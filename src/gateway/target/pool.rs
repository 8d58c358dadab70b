//! Pool of HTTP/1.1 connections to targets; each carries one request at a time.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
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

use crate::{
    gateway::target::yielding_stream::{RequestInFlight, YieldingStream},
    roster::Target,
    sync,
};

/// Time limit for opening a TCP connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a target is assumed to close an idle connection, if the target
/// announces no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Margin before the end of a target's idle timeout in which a connection is not
/// reused, because the target may close the connection while a request is in
/// transit.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Time that sent data may stay unacknowledged before the kernel closes the
/// connection (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(800);

/// Idle time before the first TCP keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the kernel's buffer for bytes that have arrived on a connection, in bytes. They
/// count as memory of the instance.
const RECEIVE_BUFFER_BYTES: usize = 256 << 10;

/// Maximum size of an answer's head, in bytes. A connection buffers as much at most.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Failure to send a request or to receive the head of its answer.
#[derive(Debug, Display)]
pub(in crate::gateway) enum Error {
    /// connection limit of this instance for the target reached
    NoConnection,
    /// cannot connect: {0}
    Connect(io::Error),
    /// request was not written: {0}
    NotWritten(hyper::Error),
    /// connection failed before an answer arrived: {0}
    Broken(hyper::Error),
}

/// Identifies one boot (process start) of a target, so that connections from before
/// a restart are not reused.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(in crate::gateway) struct TargetBoot {
    id: Arc<str>,
    started_at_unix_ms: u64,
    address: SocketAddr,
}

impl TargetBoot {
    /// Returns the identifier of the target.
    pub(in crate::gateway) fn id(&self) -> &str {
        &self.id
    }
}

impl From<&Target> for TargetBoot {
    fn from(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            started_at_unix_ms: target.started_at_unix_ms,
            address: target.address,
        }
    }
}

#[derive(Debug, Default)]
struct TargetConnections {
    idle: Vec<IdleConnection>,
    open: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    reusable_until: Instant,
}

/// An open connection to a target; carries at most one request at a time.
#[derive(Debug)]
pub(in crate::gateway) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Idle timeout that the target announced in its last answer.
    pub(in crate::gateway) idle_timeout: Option<Duration>,
    in_flight: RequestInFlight,
    _driver: AbortOnDropHandle<()>,
    _open: OpenGuard,
}

impl Connection {
    /// Sends a request and returns once the head of the answer has arrived. Log lines name
    /// the request by `id`; a call of the gateway itself has none.
    pub(in crate::gateway) async fn send(
        &mut self,
        id: Option<&Arc<str>>,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.in_flight.begin(id);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                self.mark_failed();
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

impl Connection {
    /// Records that the attempt has failed, so that the end of the connection does not count
    /// as that of a request that was given up.
    pub(in crate::gateway) fn mark_failed(&self) {
        self.in_flight.fail();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.in_flight.give_up();
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    /// Counts one more connection; `None` if `max` connections are open.
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

/// Pool of connections to all targets.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Pool {
    targets: Mutex<IndexMap<TargetBoot, TargetConnections>>,
}

impl Pool {
    /// Returns an idle connection to a target, or opens a new connection if fewer
    /// than `max` connections to the target are open.
    pub(in crate::gateway) async fn checkout(
        &self,
        target: &Target,
        max: usize,
    ) -> Result<Connection, Error> {
        let open = match self.take_idle(target) {
            Checkout::Idle(connection) => return Ok(*connection),
            Checkout::Connect(open) => open,
        };
        let guard = OpenGuard::acquire(&open, max).ok_or(Error::NoConnection)?;
        connect(target.address, guard).await
    }

    /// Returns a connection to the pool after a complete answer, unless it is closed or its
    /// idle timeout leaves no time to reuse it.
    pub(in crate::gateway) fn put_back(&self, target: &Target, connection: Connection) {
        connection.in_flight.end();
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout = connection.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let Some(reuse_time) = idle_timeout.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let Some(reusable_until) = Instant::now().checked_add(reuse_time) else {
            return;
        };
        let mut targets = self.lock();
        let connections = targets.entry(TargetBoot::from(target)).or_default();
        connections.idle.push(IdleConnection {
            connection,
            reusable_until,
        });
    }

    /// Drops idle connections that the target has closed or whose reuse time has
    /// passed at `now`. Also drops the entries of targets that have no open connections
    /// and for whose identifier `keep` returns false.
    pub(in crate::gateway) fn prune<F>(&self, now: Instant, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.lock().retain(|boot, connections| {
            connections
                .idle
                .retain(|idle| idle.reusable_until > now && !idle.connection.sender.is_closed());
            keep(&boot.id) || connections.open.load(Ordering::Acquire) > 0
        });
    }

    fn take_idle(&self, target: &Target) -> Checkout {
        let now = Instant::now();
        let mut targets = self.lock();
        let connections = targets.entry(TargetBoot::from(target)).or_default();
        while let Some(idle) = connections.idle.pop() {
            if idle.reusable_until <= now || !idle.connection.sender.is_ready() {
                continue;
            }
            return Checkout::Idle(Box::new(idle.connection));
        }
        Checkout::Connect(connections.open.clone())
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<TargetBoot, TargetConnections>> {
        sync::lock(&self.targets)
    }
}

/// How a request gets its connection.
enum Checkout {
    Idle(Box<Connection>),
    /// No connection is idle, so a new one must be opened; holds the counter of the
    /// target's open connections.
    Connect(Arc<AtomicUsize>),
}

async fn connect(address: SocketAddr, open: OpenGuard) -> Result<Connection, Error> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| Error::Connect(io::ErrorKind::TimedOut.into()))?
        .map_err(Error::Connect)?;
    set_options(&stream).map_err(Error::Connect)?;
    let in_flight = RequestInFlight::default();
    let stream = YieldingStream::new(stream, in_flight.clone());
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(Error::NotWritten)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!("gateway: connection to {address} failed: {error}");
        }
    });
    Ok(Connection {
        sender,
        idle_timeout: None,
        in_flight,
        _driver: AbortOnDropHandle::new(driver),
        _open: open,
    })
}

/// Returns whether a host refuses connections to an address, as it does if no process
/// listens there. Returns false if the host does not answer.
pub(in crate::gateway) async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Err(error)) = connecting.await else {
        return false;
    };
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Disables Nagle's algorithm, makes the kernel close a connection whose peer no longer
/// responds, and limits what it buffers.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
}
