//! Body of an answer on its way to a caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Maximum size of a part of an answer that is handed to the server at once. The server copies
/// what it is handed, and the copy does not count as memory for answers.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// A body with a guard that is dropped once the body is sent or given up.
#[derive(Debug)]
pub(crate) struct AnswerBody<B, G> {
    body: B,
    /// Rest of a part that is larger than [`MAX_FRAME_BYTES`].
    rest: Bytes,
    _guard: G,
}

impl<B, G> AnswerBody<B, G> {
    pub(crate) fn new(body: B, guard: G) -> Self {
        Self {
            body,
            rest: Bytes::new(),
            _guard: guard,
        }
    }
}

impl<B, G> Body for AnswerBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if self.rest.is_empty() {
            let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
            let data = match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) => data,
                Some(Ok(Err(frame))) => return Poll::Ready(Some(Ok(frame))),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => return Poll::Ready(None),
            };
            self.rest = data;
        }
        let count = self.rest.len().min(MAX_FRAME_BYTES);
        let part = self.rest.split_to(count);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    /// The size is only asked for before the first part.
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
