//! Answers that are streamed as server-sent events.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use salvo::{
    Response,
    http::{
        HeaderValue, ResBody, StatusCode,
        header::{CACHE_CONTROL, CONTENT_TYPE},
    },
};
use tokio::task::yield_now;

use crate::entry::{
    call::Call,
    complete::{Completion, Piece},
    context::EntryContext,
    error::{Error, Result},
    openai::CompletionRequest,
};

/// Size of a chunk, in bytes, at which the chunk is sent although more tokens have
/// already arrived.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// State of a streamed response body.
#[derive(Debug)]
enum State {
    /// The next piece has been received.
    Piece(Box<Completion>, Piece),
    /// The next piece has not been received yet.
    Running(Box<Completion>),
    /// The answer failed after the response began. The connection is closed before
    /// the body is complete.
    Failed,
    /// The body has ended.
    Ended,
}

/// Writes an answer as a stream of server-sent events.
///
/// A failure after the first token is sent as an error event. The connection is then
/// closed before the body is complete, so that the caller cannot take the answer for
/// a complete one.
///
/// # Errors
///
/// Fails if the answer fails before its first token.
pub(super) async fn answer_stream(
    context: &EntryContext,
    call: &Arc<Call>,
    request: &CompletionRequest,
    response: &mut Response,
) -> Result<()> {
    let mut completion = Box::new(Completion::new(context, call, request)?);
    let first = completion.next().await?;
    response.status_code(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let mut opening = Vec::new();
    completion.fields.write_opening(&mut opening);
    response.body(ResBody::stream(body_stream(
        State::Piece(completion, first),
        opening,
    )));
    Ok(())
}

/// Returns the stream of the body's chunks. The first chunk begins with `opening`.
fn body_stream(state: State, opening: Vec<u8>) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold((state, opening), |(state, buffer)| async move {
        let (item, state) = next_chunk(state, buffer).await?;
        Some((item, (state, Vec::new())))
    })
}

/// Returns the next chunk and the state after it, or `None` after the last chunk.
///
/// A chunk contains the events of the tokens that have already arrived. No further
/// event is added to a chunk of [`MAX_CHUNK_BYTES`] or more.
async fn next_chunk(state: State, mut buffer: Vec<u8>) -> Option<(io::Result<Bytes>, State)> {
    let (mut completion, piece) = match state {
        State::Ended => return None,
        State::Failed => {
            // Lets the server flush the error event before the connection is closed.
            yield_now().await;
            let error = io::Error::new(io::ErrorKind::BrokenPipe, "the answer is incomplete");
            return Some((Err(error), State::Ended));
        }
        State::Piece(completion, piece) => (completion, piece),
        State::Running(mut completion) => match completion.next().await {
            Ok(piece) => (completion, piece),
            Err(error) => {
                write_error(&mut buffer, &error);
                return Some((Ok(Bytes::from(buffer)), State::Failed));
            }
        },
    };
    let mut next_piece = Some(piece);
    while let Some(piece) = next_piece {
        if write_piece(&mut buffer, &completion, piece) {
            return Some((Ok(Bytes::from(buffer)), State::Ended));
        }
        if buffer.len() >= MAX_CHUNK_BYTES {
            break;
        }
        next_piece = completion.next_ready();
    }
    Some((Ok(Bytes::from(buffer)), State::Running(completion)))
}

/// Appends the events of a piece; returns whether the answer is complete.
fn write_piece(buffer: &mut Vec<u8>, completion: &Completion, piece: Piece) -> bool {
    let fields = &completion.fields;
    match piece {
        Piece::Text(text) => {
            if !text.is_empty() {
                fields.write_text(buffer, &text);
            }
            false
        }
        Piece::End {
            text,
            reason,
            usage,
        } => {
            if !text.is_empty() {
                fields.write_text(buffer, &text);
            }
            fields.write_finish(buffer, reason);
            if completion.include_usage {
                fields.write_usage(buffer, usage);
            }
            buffer.extend_from_slice(b"data: [DONE]\n\n");
            true
        }
    }
}

fn write_error(buffer: &mut Vec<u8>, error: &Error) {
    buffer.extend_from_slice(b"data: ");
    buffer.extend_from_slice(&error.body());
    buffer.extend_from_slice(b"\n\n");
}
