//! The byte stream of an admitted connection.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::{Connection, HeldMemory, Intake, Reason, closed_error};

/// Bytes of a head that need no memory of the shared limit.
const FREE_HEAD_BYTES: u64 = 4 << 10;

/// Place of an admitted connection; given up on drop.
#[derive(Debug)]
pub struct Admitted {
    intake: Arc<Intake>,
    connection: Arc<Connection>,
}

impl Admitted {
    pub(super) fn new(intake: Arc<Intake>, connection: Arc<Connection>) -> Self {
        Self { intake, connection }
    }

    /// Returns the connection.
    #[must_use]
    pub fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.connection.end();
        self.intake.remove(&self.connection);
    }
}

/// Byte stream of an admitted connection. It fails once the connection must give way.
#[derive(Debug)]
pub struct IntakeStream<S> {
    inner: S,
    admitted: Admitted,
    head: HeldMemory,
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> IntakeStream<S> {
    /// Wraps the byte stream of an admitted connection.
    #[must_use]
    pub fn new(inner: S, admitted: Admitted) -> Self {
        let connection = &admitted.connection;
        Self {
            inner,
            head: HeldMemory::new(admitted.intake.clone(), Some(connection.clone())),
            closed: Box::pin(connection.close_token().cancelled_owned()),
            admitted,
        }
    }

    /// Checks whether the connection must be closed, and otherwise registers to be woken
    /// when it must.
    fn check_closed(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.closed.as_mut().poll(cx) {
            Poll::Ready(()) => Err(closed_error()),
            Poll::Pending => Ok(()),
        }
    }

    /// Counts bytes that were read.
    fn note_read(&mut self, bytes: usize) -> io::Result<()> {
        let connection = &self.admitted.connection;
        let head_bytes = connection.note_read(bytes);
        let counted = head_bytes.saturating_sub(FREE_HEAD_BYTES) as usize;
        if counted == 0 {
            self.head.shrink(0);
            return Ok(());
        }
        if self.head.try_grow(counted) {
            return Ok(());
        }
        let (listener, peer) = (connection.listener(), connection.peer());
        self.admitted
            .intake
            .refuse(Reason::HeadMemory, listener, peer);
        Err(closed_error())
    }

    fn note_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(_)) => self.admitted.connection.note_write(),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.admitted.connection.note_blocked_write(),
        }
    }
}

impl<S> AsyncRead for IntakeStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_closed(cx)?;
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        if count > 0 {
            self.note_read(count)?;
        }
        result
    }
}

impl<S> AsyncWrite for IntakeStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_closed(cx)?;
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.note_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_closed(cx)?;
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.note_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
