//! Reading of caller requests with limits on size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use salvo::{
    Request,
    http::{HeaderMap, ReqBody, header::CONTENT_LENGTH},
};
use tokio::time::timeout;

use crate::entry::error::{Error, Result};

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

/// Reads a request's body to its end.
///
/// # Errors
///
/// Returns [`Error::BodyTooLarge`] if the body exceeds `limit_bytes`,
/// [`Error::ReadTimeout`] if the body is incomplete after `limit_ms`
/// milliseconds, and [`Error::BodyRead`] if the connection fails.
pub(super) async fn read_body(
    request: &mut Request,
    limit_bytes: u64,
    limit_ms: u64,
) -> Result<Bytes> {
    let declared_bytes = content_length(request.headers());
    if declared_bytes.is_some_and(|length| length > limit_bytes) {
        return Err(Error::BodyTooLarge { limit_bytes });
    }
    let body = request.take_body();
    match timeout(
        Duration::from_millis(limit_ms),
        collect_body(body, limit_bytes),
    )
    .await
    {
        Ok(result) => result,
        Err(_) => Err(Error::ReadTimeout { limit_ms }),
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn collect_body(mut body: ReqBody, limit_bytes: u64) -> Result<Bytes> {
    let mut buffer = BytesMut::new();
    let mut single_frame = None;
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|error| Error::BodyRead {
            reason: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + single_frame.as_ref().map_or(0, Bytes::len) + data.len();
        if length as u64 > limit_bytes {
            return Err(Error::BodyTooLarge { limit_bytes });
        }
        // A body of one frame is returned without a copy.
        if buffer.is_empty() && single_frame.is_none() {
            single_frame = Some(data);
            continue;
        }
        if let Some(first) = single_frame.take() {
            buffer.extend_from_slice(&first);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(single_frame.unwrap_or_else(|| buffer.freeze()))
}
