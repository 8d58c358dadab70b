//! The connection of a caller. It tells whether the caller still waits for an answer.
//!
//! A caller that has closed its connection and one that has only closed its sending side look
//! the same at first: no more bytes follow. They differ in what they do with bytes that are
//! sent to them, as a closed connection rejects these. So the first byte of what comes next
//! in the answer anyway is sent early: the `H` of the status line, or a leading zero of
//! the size of the next chunk.

use std::{
    io::{self, Read},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use hyper::{HeaderMap, Version, body::Body, header::CONTENT_LENGTH};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{call::Presence, sync};

/// Time in which a closed connection rejects a byte. A caller that has not done so by then
/// has only closed its sending side.
const REJECTION_TIME: Duration = Duration::from_millis(150);

/// Interval at which a caller that has closed its sending side is looked at.
const HALF_CLOSED_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of bytes that are read while a request is in progress. They belong to the
/// caller's next requests.
const MAX_AHEAD_BYTES: usize = 4 << 10;

/// Number of bytes read at once.
const READ_BYTES: usize = 2 << 10;

/// First byte of each answer.
const ANSWER_START: u8 = b'H';

/// Digit that does not change the size of a chunk that follows it.
const LEADING_DIGIT: u8 = b'0';

/// What has been sent in answer to the current request.
///
/// Only between two whole parts of an answer is it known what the next byte may be.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Sent {
    /// Nothing of the answer.
    #[default]
    Nothing,
    /// The first byte.
    Start,
    /// Some of the answer, or the server is about to write. Nothing can be sent early.
    Part,
    /// Whole chunks.
    Chunks,
    /// Whole chunks, and a digit of the size of the next one.
    Digit,
}

#[derive(Debug, Default)]
struct SocketState {
    /// Whether a request is in progress.
    is_waiting: bool,
    /// Bytes that were read while the request was in progress.
    ahead: BytesMut,
    /// When the caller was found to have closed its sending side; for each request anew.
    closed_at: Option<Instant>,
    /// Whether all that the caller has sent is read.
    is_at_end: bool,
    has_left: bool,
    sent: Sent,
    /// Whether the answer has begun. Interim answers don't count.
    has_begun: bool,
    /// Whether the answer consists of chunks.
    has_chunks: bool,
}

impl SocketState {
    fn presence(&self) -> Presence {
        match self.closed_at {
            _ if self.has_left => Presence::Left,
            None => Presence::Present,
            Some(closed_at) if closed_at.elapsed() < REJECTION_TIME => Presence::Unknown,
            Some(_) => Presence::Present,
        }
    }

    /// Records that the caller has closed its sending side.
    fn note_close(&mut self) {
        tracing::debug!("intake: caller closed its sending side");
        self.closed_at.get_or_insert_with(Instant::now);
    }

    /// Records that a read has found the end of what the caller sends.
    fn note_end(&mut self) {
        self.is_at_end = true;
        self.note_close();
    }

    /// Returns the byte of the answer that can be sent before the rest, and what has been
    /// sent then.
    fn early_byte(&self) -> Option<(u8, Sent)> {
        match self.sent {
            _ if !self.is_waiting => None,
            Sent::Nothing => Some((ANSWER_START, Sent::Start)),
            Sent::Chunks if self.has_chunks => Some((LEADING_DIGIT, Sent::Digit)),
            _ => None,
        }
    }
}

/// Connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: TcpStream,
    state: Mutex<SocketState>,
    /// Notified when a request begins, and when the caller is found to have left.
    changed: Notify,
}

impl CallerSocket {
    pub(crate) fn new(stream: TcpStream) -> Arc<Self> {
        Arc::new(Self {
            stream,
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Records that the head of a request has been read. From now on, the connection is
    /// watched until the answer is complete.
    pub(crate) fn begin_request(&self) {
        let mut state = self.lock();
        state.is_waiting = true;
        if state.closed_at.take().is_some() {
            state.note_close();
            self.send_early(&mut state);
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Records that the answer with these headers and this body begins. `version` is that of
    /// the request.
    pub(crate) fn begin_answer<B>(&self, version: Version, headers: &HeaderMap, body: &B)
    where
        B: Body,
    {
        let has_length = body.size_hint().exact().is_some() || headers.contains_key(CONTENT_LENGTH);
        let mut state = self.lock();
        state.has_begun = true;
        state.has_chunks = version >= Version::HTTP_11 && !has_length;
        if state.sent == Sent::Nothing {
            state.sent = Sent::Part;
        }
    }

    /// Records that the answer is complete, and that the server is about to write its end.
    pub(crate) fn end_request(&self) {
        let mut state = self.lock();
        state.is_waiting = false;
        state.has_begun = false;
        state.has_chunks = false;
        if matches!(state.sent, Sent::Nothing | Sent::Chunks) {
            state.sent = Sent::Part;
        }
    }

    /// Returns whether a request is in progress.
    pub(crate) fn is_waiting(&self) -> bool {
        self.lock().is_waiting
    }

    /// Looks at the connection, and returns whether the caller is there.
    pub(crate) fn look(&self) -> Presence {
        let mut state = self.lock();
        let socket = SockRef::from(&self.stream);
        self.read_ahead(&mut state, |buffer| (&*socket).read(buffer));
        if state.closed_at.is_some() && !matches!(socket.take_error(), Ok(None)) {
            state.has_left = true;
        }
        if state.has_left {
            self.changed.notify_one();
        }
        state.presence()
    }

    /// Waits until the caller is found to have left while it waited for an answer.
    pub(crate) async fn left(&self) {
        loop {
            let (is_waiting, is_full, is_closed) = {
                let state = self.lock();
                if state.has_left && state.is_waiting {
                    return;
                }
                let is_full = state.ahead.len() >= MAX_AHEAD_BYTES;
                (state.is_waiting, is_full, state.closed_at.is_some())
            };
            if !is_waiting {
                self.changed.notified().await;
                continue;
            }
            if is_closed {
                tokio::select! {
                    _ = self.stream.ready(Interest::ERROR) => self.lock().has_left = true,
                    () = sleep(HALF_CLOSED_INTERVAL) => {}
                    () = self.changed.notified() => {}
                }
                self.look();
                continue;
            }
            if is_full {
                sleep(HALF_CLOSED_INTERVAL).await;
                self.note_announced_end().await;
                continue;
            }
            tokio::select! {
                _ = self.stream.readable() => self.read_ready(),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Reads what has arrived, if an answer is waited for.
    fn read_ready(&self) {
        let mut state = self.lock();
        if !state.is_waiting {
            return;
        }
        self.read_ahead(&mut state, |buffer| self.stream.try_read(buffer));
    }

    /// Reads until nothing is left, the caller's end or the limit of bytes is reached.
    fn read_ahead<F>(&self, state: &mut SocketState, mut read: F)
    where
        F: FnMut(&mut [u8]) -> io::Result<usize>,
    {
        while !state.is_at_end && state.ahead.len() < MAX_AHEAD_BYTES {
            let mut buffer = [0; READ_BYTES];
            match read(&mut buffer) {
                Ok(0) => {
                    state.note_end();
                    self.send_early(state);
                }
                Ok(count) => state.ahead.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    state.has_left = true;
                    return;
                }
            }
        }
    }

    /// Notices that a caller whose bytes are not all read has closed its sending side.
    async fn note_announced_end(&self) {
        let interest = Interest::READABLE | Interest::ERROR;
        let ready = self.stream.ready(interest).await;
        if ready.is_ok_and(|ready| !ready.is_read_closed()) {
            return;
        }
        let mut state = self.lock();
        state.note_close();
        self.send_early(&mut state);
    }

    /// Sends a byte of the answer before the rest, if one can be sent now.
    fn send_early(&self, state: &mut SocketState) {
        let Some((byte, sent)) = state.early_byte() else {
            return;
        };
        match self.stream.try_write(&[byte]) {
            Ok(1) => state.sent = sent,
            Ok(_) => {}
            // Bytes that wait already are rejected as well.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => state.has_left = true,
        }
    }

    fn lock(&self) -> MutexGuard<'_, SocketState> {
        sync::lock(&self.state)
    }
}

/// The connection of a caller as the server reads and writes it.
#[derive(Debug)]
pub(crate) struct CallerStream<F> {
    socket: Arc<CallerSocket>,
    /// Called when bytes have been read.
    on_read: F,
}

impl<F> CallerStream<F> {
    pub(crate) fn new(socket: Arc<CallerSocket>, on_read: F) -> Self {
        Self { socket, on_read }
    }
}

impl<F> AsyncRead for CallerStream<F>
where
    F: Fn() + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.socket.lock();
        if !state.ahead.is_empty() {
            let count = state.ahead.len().min(buf.remaining());
            buf.put_slice(&state.ahead[..count]);
            state.ahead.advance(count);
            (self.on_read)();
            return Poll::Ready(Ok(()));
        }
        loop {
            if state.is_at_end {
                return Poll::Ready(Ok(()));
            }
            ready!(self.socket.stream.poll_read_ready(cx))?;
            match self.socket.stream.try_read(buf.initialize_unfilled()) {
                Ok(0) => state.note_end(),
                Ok(count) => {
                    buf.advance(count);
                    (self.on_read)();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl<F> AsyncWrite for CallerStream<F>
where
    F: Fn() + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.socket.lock();
        let sent_early = usize::from(state.sent == Sent::Start);
        loop {
            ready!(self.socket.stream.poll_write_ready(cx))?;
            match self.socket.stream.try_write(&buf[sent_early..]) {
                Ok(count) => {
                    state.sent = Sent::Part;
                    return Poll::Ready(Ok(count + sent_early));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Called by the server when it has written an interim answer, the answer's head or whole
    /// chunks.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.socket.lock();
        if state.sent == Sent::Part {
            state.sent = match (state.has_begun, state.has_chunks) {
                (false, _) => Sent::Nothing,
                (true, true) => Sent::Chunks,
                (true, false) => Sent::Part,
            };
            if state.closed_at.is_some() {
                self.socket.send_early(&mut state);
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = SockRef::from(&self.socket.stream).shutdown(std::net::Shutdown::Write);
        match shutdown {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            result => Poll::Ready(result),
        }
    }
}
