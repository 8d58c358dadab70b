//! What the clients for targets share.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::{Response, redirect::Policy};
use serde::de::DeserializeOwned;

use super::{Error, Result};

/// Longest wait for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Largest body of an answer that is read whole, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Bytes of an error's body that are kept.
const MAX_MESSAGE_BYTES: usize = 300;

/// Returns an HTTP client that neither follows redirects nor uses a proxy, so
/// that one call is one request to the named target.
///
/// # Errors
///
/// Fails if the client cannot be built.
pub fn http_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(Policy::none())
        .no_proxy()
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .tcp_nodelay(true)
        .build()
}

/// Reads a body whole.
pub(super) async fn read_body(address: &str, mut response: Response) -> Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let chunk = response.chunk().await;
        let Some(chunk) = chunk.map_err(|cause| Error::from_http(address, cause))? else {
            return Ok(body.freeze());
        };
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(Error::TooLarge {
                address: address.into(),
                max_bytes: MAX_BODY_BYTES,
            });
        }
        body.extend_from_slice(&chunk);
    }
}

/// Passes a successful response on and turns any other into an error.
pub(super) async fn check_status(address: &str, response: Response) -> Result<Response> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = read_body(address, response).await?;
    let head = &body[..body.len().min(MAX_MESSAGE_BYTES)];
    Err(Error::Status {
        address: address.into(),
        status: status.as_u16(),
        message: String::from_utf8_lossy(head).into(),
    })
}

/// Reads a successful JSON answer.
pub(super) async fn read_json<T>(address: &str, response: Response) -> Result<T>
where
    T: DeserializeOwned,
{
    let response = check_status(address, response).await?;
    let body = read_body(address, response).await?;
    serde_json::from_slice(&body).map_err(|cause| Error::Decode {
        address: address.into(),
        cause,
    })
}
