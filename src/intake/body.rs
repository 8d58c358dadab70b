//! Reads bodies of requests with limits on size, memory and time.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use super::{Connection, HeldMemory, Intake, Reason};

/// Smallest buffer for a body, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Why a body was not read.
#[derive(Debug, Display)]
pub enum Error {
    /// the body exceeds {max_bytes} bytes
    TooLarge {
        /// Limit, in bytes.
        max_bytes: usize,
    },
    /// the body did not arrive in time
    Timeout,
    /// no memory left for the body
    OutOfMemory,
    /// the body breaks off: {0}
    Broken(String),
}

/// Reads a body to its end, into one buffer. The sizes of its pieces, which the caller
/// chooses, thus do not matter. Returns it with its memory.
///
/// # Errors
///
/// Fails if the body exceeds `max_bytes`, if it is not complete at `deadline`, if no byte
/// arrives for some time, if it breaks off, or if no memory is left.
pub async fn read_body<B>(
    intake: &Arc<Intake>,
    connection: Option<&Arc<Connection>>,
    mut body: B,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, HeldMemory), Error>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: fmt::Display,
{
    let announced = body.size_hint().exact();
    if announced.is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(Error::TooLarge { max_bytes });
    }
    let most_bytes = announced.map_or(max_bytes, |bytes| bytes as usize);
    let mut memory = HeldMemory::new(intake.clone(), connection.cloned());
    if let Some(connection) = connection {
        connection.begin_body();
    }
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let stall = Duration::from_millis(intake.limits().body_stall_ms);
        let stalled_at = deadline.min(Instant::now() + stall);
        let Ok(frame) = timeout_at(stalled_at, body.frame()).await else {
            note(intake, connection, Reason::SlowBody);
            return Err(Error::Timeout);
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        let Some(piece) = frame.data_ref() else {
            continue;
        };
        let needed_bytes = bytes.len() + piece.len();
        if needed_bytes > max_bytes {
            return Err(Error::TooLarge { max_bytes });
        }
        if needed_bytes > bytes.capacity() {
            let grown = (2 * bytes.capacity()).max(MIN_BUFFER_BYTES);
            let capacity = grown.min(most_bytes).max(needed_bytes);
            if !memory.grow(capacity).await {
                note(intake, connection, Reason::Memory);
                return Err(Error::OutOfMemory);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(piece);
    }
    memory.complete();
    if let Some(connection) = connection {
        connection.begin_work();
    }
    Ok((bytes.into(), memory))
}

fn note(intake: &Intake, connection: Option<&Arc<Connection>>, reason: Reason) {
    if let Some(connection) = connection {
        intake.refuse(reason, connection.listener(), connection.peer());
    }
}
