//! A connection to a target that lets other tasks run while much arrives, and that is reset
//! if it closes during a request. If the target closes it before the whole request is sent,
//! that is an error: the target cannot have answered a request that it has not read.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::sync;

/// Number of bytes after which a reader yields to other tasks. A gateway runs all tasks in
/// one thread, and small messages without end keep their parser busy for long.
const BYTES_PER_TURN: usize = 64 << 10;

/// Use of a connection.
#[derive(Clone, Debug, Default)]
enum Progress {
    /// No request is in flight.
    #[default]
    Idle,
    /// A request is in flight. A call of the gateway itself has no identifier.
    InFlight(Option<Arc<str>>),
    /// The attempt has failed, so that the connection is of no more use.
    Failed,
    /// The request was given up while it was in flight.
    GivenUp(Option<Arc<str>>),
}

/// The request that is in flight on a connection, if any. Clones refer to the same
/// connection.
#[derive(Clone, Debug, Default)]
pub(in crate::gateway) struct RequestInFlight(Arc<Mutex<Progress>>);

impl RequestInFlight {
    /// Records that a request is sent. Log lines name it by `id`.
    pub(in crate::gateway) fn begin(&self, id: Option<&Arc<str>>) {
        *self.lock() = Progress::InFlight(id.cloned());
    }

    /// Records that the request is answered completely.
    pub(in crate::gateway) fn end(&self) {
        *self.lock() = Progress::Idle;
    }

    /// Records that the attempt has failed.
    pub(in crate::gateway) fn fail(&self) {
        *self.lock() = Progress::Failed;
    }

    /// Records that nobody waits for the answer any more.
    pub(in crate::gateway) fn give_up(&self) {
        let mut progress = self.lock();
        if let Progress::InFlight(id) = &*progress {
            *progress = Progress::GivenUp(id.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        sync::lock(&self.0)
    }
}

/// TCP stream whose reader yields after [`BYTES_PER_TURN`].
#[derive(Debug)]
pub(in crate::gateway) struct YieldingStream {
    stream: TcpStream,
    in_flight: RequestInFlight,
    /// Bytes that may be read before the next yield.
    left_bytes: usize,
    /// Whether bytes of the request are still to be written. The HTTP library flushes the
    /// stream once it has written all of them.
    is_sending: bool,
}

impl YieldingStream {
    pub(in crate::gateway) fn new(stream: TcpStream, in_flight: RequestInFlight) -> Self {
        Self {
            stream,
            in_flight,
            left_bytes: BYTES_PER_TURN,
            is_sending: false,
        }
    }
}

impl YieldingStream {
    /// Makes the kernel reset the connection when it is closed. Otherwise it would first
    /// deliver the bytes that still wait, and the target would get a request that was given up.
    fn reset_on_close(&self) {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            tracing::warn!("gateway: cannot reset a connection to a target: {error}");
        }
    }
}

impl Drop for YieldingStream {
    fn drop(&mut self) {
        let progress = self.in_flight.lock();
        if matches!(*progress, Progress::Idle) {
            return;
        }
        self.reset_on_close();
        if let Progress::GivenUp(Some(id)) = &*progress {
            tracing::info!(
                request = &**id,
                "gateway: connection to a target closed during a request"
            );
        }
    }
}

impl AsyncRead for YieldingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.left_bytes == 0 {
            self.left_bytes = BYTES_PER_TURN;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_bytes = buf.filled().len() - before;
        let is_closed = has_room && read_bytes == 0 && matches!(polled, Poll::Ready(Ok(())));
        if is_closed && self.is_sending {
            // Otherwise the end of the connection would count as the end of an answer
            // without length.
            let cause = "closed by the target before the request was sent";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, cause)));
        }
        self.left_bytes = match polled {
            Poll::Ready(_) => self.left_bytes.saturating_sub(read_bytes),
            Poll::Pending => BYTES_PER_TURN,
        };
        polled
    }
}

impl AsyncWrite for YieldingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_sending = true;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_sending = true;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.is_sending = false;
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
