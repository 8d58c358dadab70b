//! Serves one connection of a caller, and closes the connection if it stays idle or
//! if the head of a request arrives too slowly.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{
    call::{Caller, Presence},
    catalog::CallerLimits,
    gateway::{
        caller::{reply::Body, server},
        state::State,
    },
    intake::{
        Admitted, AnswerBody, CallerSocket, CallerStream, IntakeStream, Listener, Reason,
        RequestGuard,
    },
    sync,
};

/// Minimum size of the buffer for a request head.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Size of the buffer for a request head, as a multiple of the configured maximum
/// head size. The excess lets the gateway read an oversized head and refuse the
/// request with status 431.
const HEAD_BUFFER_FACTOR: usize = 2;

/// Interval at which the timeouts of a connection are checked again while a request
/// is in progress.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Activity on a connection, from which its timeouts are derived.
#[derive(Debug)]
struct Activity {
    /// Tells whether a request is in progress.
    socket: Arc<CallerSocket>,
    times: Mutex<ReadTimes>,
}

#[derive(Clone, Copy, Debug)]
struct ReadTimes {
    /// When the first byte of the current request head arrived; `None` while the
    /// connection is idle.
    head_started_at: Option<Instant>,
    /// When the last request ended.
    idle_since: Instant,
}

impl Activity {
    fn new(socket: Arc<CallerSocket>) -> Self {
        Self {
            socket,
            times: Mutex::new(ReadTimes {
                head_started_at: None,
                idle_since: Instant::now(),
            }),
        }
    }

    fn record_read(&self) {
        self.lock().head_started_at.get_or_insert_with(Instant::now);
    }

    /// Returns the time at which the connection is to be closed: after the header
    /// timeout if a request head has begun to arrive, after the idle timeout otherwise.
    ///
    /// While a request is in progress, returns only the time of the next check.
    fn close_deadline(&self, limits: &CallerLimits) -> Instant {
        if self.socket.is_waiting() {
            return Instant::now() + BUSY_CHECK_INTERVAL;
        }
        let times = *self.lock();
        match times.head_started_at {
            Some(head_started_at) => head_started_at + limits.header_timeout,
            None => times.idle_since + limits.idle_timeout,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ReadTimes> {
        sync::lock(&self.times)
    }
}

/// Marks a connection as serving a request until the response body is dropped.
struct ServingGuard {
    activity: Arc<Activity>,
    /// Dropped after the times are reset: they must be those of an idle connection once no
    /// request is in progress.
    _request: RequestGuard,
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        *self.activity.lock() = ReadTimes {
            head_started_at: None,
            idle_since: Instant::now(),
        };
    }
}

/// Serves a connection until it closes or times out.
///
/// Cancelling `close` shuts the connection down gracefully: a request in progress is
/// still answered.
pub(in crate::gateway) async fn serve(
    state: Arc<State>,
    stream: TcpStream,
    admitted: Admitted,
    close: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("gateway: cannot set TCP_NODELAY on a caller connection: {error}");
        return;
    }
    let limits = state
        .catalog()
        .map_or_else(CallerLimits::default, |catalog| *catalog.limits());
    let socket = CallerSocket::new(stream);
    let activity = Arc::new(Activity::new(socket.clone()));
    let admission = admitted.connection().clone();
    admission.set_socket(&socket);
    let service = service_fn(|mut request: Request<Incoming>| {
        let guard = ServingGuard {
            activity: activity.clone(),
            _request: RequestGuard::new(admission.clone()),
        };
        request.extensions_mut().insert(admission.clone());
        let answering = answer(state.clone(), socket.clone(), request);
        async move {
            let response = answering.await;
            Ok::<_, Infallible>(response.map(|body| AnswerBody::new(body, guard)))
        }
    });
    let buffer_bytes = (HEAD_BUFFER_FACTOR * limits.max_header_bytes).max(MIN_HEAD_BUFFER_BYTES);
    let reads = activity.clone();
    let stream = CallerStream::new(socket.clone(), move || reads.record_read());
    let stream = IntakeStream::new(stream, admitted);
    let mut connection = pin!(
        http1::Builder::new()
            .max_buf_size(buffer_bytes)
            .max_headers(state.intake.limits().max_header_fields)
            // Whether the caller has left is decided by its socket.
            .half_close(true)
            .serve_connection(TokioIo::new(stream), service)
    );
    let mut left = pin!(socket.left());
    let mut closing = false;
    loop {
        let close_deadline = activity.close_deadline(&limits);
        tokio::select! {
            biased;
            ended = &mut connection => {
                if let Err(error) = ended {
                    if error.is_parse_too_large() {
                        let peer = admission.peer();
                        state.intake.refuse(Reason::HeadTooLarge, Listener::Callers, peer);
                    }
                    tracing::debug!("gateway: caller connection failed: {error}");
                }
                return;
            }
            () = &mut left => return,
            () = admission.closed() => return,
            () = sleep_until(close_deadline) => {
                if activity.close_deadline(&limits) <= Instant::now() {
                    return;
                }
            }
            () = close.cancelled(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Answers a request, and tells the socket how far the answer has come.
async fn answer(
    state: Arc<State>,
    socket: Arc<CallerSocket>,
    request: Request<Incoming>,
) -> Response<Body> {
    let version = request.version();
    // A call may outlast its connection, and must not keep it open.
    let looked_at = Arc::downgrade(&socket);
    let caller = Caller::new(move || {
        let socket = looked_at.upgrade();
        socket.map_or(Presence::Left, |socket| socket.look())
    });
    let response = server::answer(state, request, caller).await;
    socket.begin_answer(version, response.headers(), response.body());
    response
}
