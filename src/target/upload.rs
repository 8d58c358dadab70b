//! Body of a request that tells how much of it was written to the connection.
//!
//! The HTTP client reports the end of a response without length also if the target closed the
//! connection before it had read the request. [`Progress`] tells these cases apart.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::sync;

/// Size of the pieces in which a body is handed to the HTTP client, in bytes.
const PIECE_BYTES: usize = 64 << 10;

/// How much of a body was handed to the HTTP client.
#[derive(Clone, Debug)]
pub(super) struct Progress(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Whether the client still holds a piece, which is then not written yet.
    has_piece: bool,
    /// Whether the client was handed all pieces.
    is_complete: bool,
    /// Wakes the task that waits until the piece is written.
    waker: Option<Waker>,
}

impl Progress {
    /// Returns whether the body was written, except perhaps for its last byte.
    pub(super) fn is_complete(&self) -> bool {
        self.lock().is_complete
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        sync::lock(&self.0)
    }
}

/// Body that hands over its next piece after the one before was written. The last piece is a
/// single byte, so that all others were written once it is handed over.
#[derive(Debug)]
pub(super) struct Upload {
    rest: Bytes,
    progress: Progress,
}

impl Upload {
    /// Returns the body and its progress.
    pub(super) fn new(bytes: Bytes) -> (Self, Progress) {
        let state = State {
            is_complete: bytes.is_empty(),
            ..State::default()
        };
        let progress = Progress(Arc::new(Mutex::new(state)));
        let upload = Self {
            rest: bytes,
            progress: progress.clone(),
        };
        (upload, progress)
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        {
            let mut state = self.progress.lock();
            if state.has_piece {
                state.waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            state.has_piece = true;
        }
        let length = match self.rest.len() {
            1 => 1,
            left => PIECE_BYTES.min(left - 1),
        };
        let bytes = self.rest.split_to(length);
        self.progress.lock().is_complete = self.rest.is_empty();
        let piece = Piece {
            bytes,
            progress: self.progress.clone(),
        };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(piece)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Piece of a body. The HTTP client drops it once it is written.
struct Piece {
    bytes: Bytes,
    progress: Progress,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        let waker = {
            let mut state = self.progress.lock();
            state.has_piece = false;
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}
