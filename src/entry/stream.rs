//! Answers as server-sent events.

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

/// Bytes that are gathered from tokens that arrived together.
const MAX_CHUNK_BYTES: usize = 16 << 10;

#[derive(Debug)]
enum State {
    /// The answer goes on with this piece.
    Piece(Box<Completion>, Piece),
    /// The answer goes on.
    Running(Box<Completion>),
    /// The answer failed: the connection is to be cut.
    Failed,
    /// The answer is whole.
    Ended,
}

/// Writes an answer as a stream.
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
    completion.head.write_opening(&mut opening);
    response.body(ResBody::stream(body(
        State::Piece(completion, first),
        opening,
    )));
    Ok(())
}

fn body(state: State, opening: Vec<u8>) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold((state, opening), |(state, buffer)| async move {
        let (item, state) = step(state, buffer).await?;
        Some((item, (state, Vec::new())))
    })
}

async fn step(state: State, mut buffer: Vec<u8>) -> Option<(io::Result<Bytes>, State)> {
    let (mut completion, piece) = match state {
        State::Ended => return None,
        State::Failed => {
            // Lets the error event out before the connection is cut.
            yield_now().await;
            let cut = io::Error::new(io::ErrorKind::BrokenPipe, "the answer is not whole");
            return Some((Err(cut), State::Ended));
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
    let mut next = Some(piece);
    while let Some(piece) = next {
        if write_piece(&mut buffer, &completion, piece) {
            return Some((Ok(Bytes::from(buffer)), State::Ended));
        }
        if buffer.len() >= MAX_CHUNK_BYTES {
            break;
        }
        next = completion.next_ready();
    }
    Some((Ok(Bytes::from(buffer)), State::Running(completion)))
}

/// Appends a piece; returns whether the answer is whole.
fn write_piece(buffer: &mut Vec<u8>, completion: &Completion, piece: Piece) -> bool {
    let head = &completion.head;
    match piece {
        Piece::Text(text) => {
            if !text.is_empty() {
                head.write_text(buffer, &text);
            }
            false
        }
        Piece::End {
            text,
            reason,
            usage,
        } => {
            if !text.is_empty() {
                head.write_text(buffer, &text);
            }
            head.write_finish(buffer, reason);
            if completion.include_usage {
                head.write_usage(buffer, usage);
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
