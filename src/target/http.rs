//! HTTP client setup and response handling for all target clients.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::{Response, redirect::Policy};
use serde::de::DeserializeOwned;

use super::{Error, Result};

/// Timeout for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Maximum size of a response body that is read into memory, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum number of bytes of an error response that are kept as its message.
const MAX_MESSAGE_BYTES: usize = 300;

/// Creates an HTTP client that neither follows redirects nor uses a proxy, so
/// that every call sends one request to the given address and no other.
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

/// Returns whether a status is one of a final response: from 200 to 599. The HTTP library
/// also accepts 101 and numbers up to 999.
pub(crate) fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Reads a complete response body.
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

/// Returns a successful response, or [`Error::Status`] for any other.
pub(super) async fn check_status(address: &str, response: Response) -> Result<Response> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = read_body(address, response).await?;
    let message_bytes = &body[..body.len().min(MAX_MESSAGE_BYTES)];
    Err(Error::Status {
        address: address.into(),
        status: status.as_u16(),
        message: String::from_utf8_lossy(message_bytes).into(),
    })
}

/// Decodes the JSON body of a successful response.
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
