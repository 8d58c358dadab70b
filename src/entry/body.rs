//! Reading of caller requests with limits on size and time.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use salvo::{Request, http::HeaderMap};
use tokio::time::Instant;

use crate::{
    entry::error::{Error, Result},
    intake::{self, HeldMemory, Intake, Listener},
};

/// Maximum total length of a request's header names and values, in bytes.
pub(super) const MAX_HEADER_BYTES: usize = 32 << 10;

/// Checks the total size of a request's headers.
///
/// # Errors
///
/// Returns [`Error::HeadersTooLarge`] if the size exceeds [`MAX_HEADER_BYTES`].
pub(super) fn check_headers(headers: &HeaderMap) -> Result<()> {
    let mut bytes = 0;
    for (name, value) in headers {
        bytes += name.as_str().len() + value.len();
    }
    if bytes > MAX_HEADER_BYTES {
        return Err(Error::HeadersTooLarge {
            limit_bytes: MAX_HEADER_BYTES,
        });
    }
    Ok(())
}

/// Reads a request's body to its end. Its memory is released with the last reference to it.
///
/// # Errors
///
/// Returns [`Error::BodyTooLarge`] if the body exceeds `limit_bytes`,
/// [`Error::ReadTimeout`] if the body is incomplete after `limit_ms`
/// milliseconds or does not go on, [`Error::NoMemory`] if no memory is left for it, and
/// [`Error::BodyRead`] if the connection fails.
pub(super) async fn read_body(
    request: &mut Request,
    intake: &Arc<Intake>,
    limit_bytes: u64,
    limit_ms: u64,
) -> Result<Bytes> {
    let peer = request.remote_addr().clone().into_std();
    let connection = peer.and_then(|peer| intake.find(Listener::Callers, peer));
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    let max_bytes = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let body = request.take_body();
    let read = intake::read_body(intake, connection.as_ref(), body, max_bytes, deadline);
    match read.await {
        Ok((bytes, _)) if bytes.is_empty() => Ok(bytes),
        Ok((bytes, memory)) => Ok(Bytes::from_owner(HeldBody {
            bytes,
            _memory: memory,
        })),
        Err(intake::Error::TooLarge { .. }) => Err(Error::BodyTooLarge { limit_bytes }),
        Err(intake::Error::Timeout) => Err(Error::ReadTimeout { limit_ms }),
        Err(intake::Error::OutOfMemory) => Err(Error::NoMemory),
        Err(intake::Error::Broken(reason)) => Err(Error::BodyRead { reason }),
    }
}

/// A body with its memory.
struct HeldBody {
    bytes: Bytes,
    _memory: HeldMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
