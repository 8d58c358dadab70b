//! Length-delimited encoding of frames on a TCP connection.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{
    Error, Result,
    frames::{Frame, frame::Body},
};

/// Maximum size of a frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Size of the length prefix, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

pub(super) type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a TCP stream in the frame codec.
pub(super) fn framed(stream: TcpStream) -> FramedStream {
    LengthDelimitedCodec::builder()
        .length_field_type::<u32>()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}

/// Counters of the frames sent to all peers.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    sent_frames: AtomicU64,
    sent_bytes: AtomicU64,
}

/// Number and total size of sent frames.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentFrames {
    /// Number of frames.
    pub frames: u64,
    /// Total size, including length prefixes, in bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Returns the number and total size of the frames sent so far.
    pub(super) fn sent(&self) -> SentFrames {
        SentFrames {
            frames: self.sent_frames.load(Ordering::Relaxed),
            bytes: self.sent_bytes.load(Ordering::Relaxed),
        }
    }

    fn count_sent(&self, frame_bytes: usize) {
        let bytes = (frame_bytes + LENGTH_PREFIX_BYTES) as u64;
        self.sent_frames.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        metrics::counter!("peer_sent_bytes_total").increment(bytes);
    }
}

/// Sends a frame. Fails if sending takes longer than `timeout`.
pub(super) async fn send<S>(
    sink: &mut S,
    body: Body,
    timeout: Duration,
    traffic: &Traffic,
) -> Result<()>
where
    S: Sink<Bytes, Error = std::io::Error> + Unpin,
{
    let frame = Frame { body: Some(body) };
    let bytes = Bytes::from(frame.encode_to_vec());
    let frame_bytes = bytes.len();
    let sent = tokio::time::timeout(timeout, sink.send(bytes)).await;
    sent.map_err(|_| Error::SendTimedOut)??;
    traffic.count_sent(frame_bytes);
    Ok(())
}

/// Receives a frame. Fails if no frame arrives within `timeout`.
pub(super) async fn receive<S>(stream: &mut S, timeout: Duration) -> Result<Body>
where
    S: Stream<Item = std::io::Result<BytesMut>> + Unpin,
{
    let received = tokio::time::timeout(timeout, stream.next()).await;
    let bytes = received
        .map_err(|_| Error::TimedOut)?
        .ok_or(Error::Closed)??;
    metrics::counter!("peer_received_bytes_total")
        .increment((bytes.len() + LENGTH_PREFIX_BYTES) as u64);
    Frame::decode(bytes)?.body.ok_or(Error::UnexpectedFrame)
}
