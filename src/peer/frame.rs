//! Encoding of frames on a connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{
    Error, Result,
    frames::{Frame, frame::Body},
};

/// Largest frame that is accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// A connection that carries frames.
pub(super) type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Puts frames onto a stream.
pub(super) fn framed(stream: TcpStream) -> FramedStream {
    LengthDelimitedCodec::builder()
        .length_field_type::<u32>()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}

/// Sends a frame within `limit`.
pub(super) async fn send<S>(sink: &mut S, body: Body, limit: Duration) -> Result<()>
where
    S: Sink<Bytes, Error = std::io::Error> + Unpin,
{
    let frame = Frame { body: Some(body) };
    let bytes = Bytes::from(frame.encode_to_vec());
    metrics::counter!("peer_sent_bytes_total").increment(bytes.len() as u64 + 4);
    let sent = tokio::time::timeout(limit, sink.send(bytes)).await;
    Ok(sent.map_err(|_| Error::Stalled)??)
}

/// Receives a frame within `limit`.
pub(super) async fn receive<S>(stream: &mut S, limit: Duration) -> Result<Body>
where
    S: Stream<Item = std::io::Result<BytesMut>> + Unpin,
{
    let received = tokio::time::timeout(limit, stream.next()).await;
    let bytes = received
        .map_err(|_| Error::Silent)?
        .ok_or(Error::Closed)??;
    metrics::counter!("peer_received_bytes_total").increment(bytes.len() as u64 + 4);
    Frame::decode(bytes)?.body.ok_or(Error::UnexpectedFrame)
}
