//! A connection to a target that lets other tasks run while much arrives.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Number of bytes after which a reader yields to other tasks. A gateway runs all tasks in
/// one thread, and small messages without end keep their parser busy for long.
const BYTES_PER_TURN: usize = 64 << 10;

/// TCP stream whose reader yields after [`BYTES_PER_TURN`].
#[derive(Debug)]
pub(super) struct YieldingStream {
    stream: TcpStream,
    /// Bytes that may be read before the next yield.
    left_bytes: usize,
}

impl YieldingStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            left_bytes: BYTES_PER_TURN,
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
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_bytes = buf.filled().len() - before;
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
