//! HTTP client for plain services.

use std::sync::Arc;

use bytes::Bytes;
use reqwest::{
    Body, Method, Response,
    header::{HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING},
};

use super::{
    Error, Result,
    http::{is_final_status, read_body},
    upload::{Progress, Upload},
};

/// Header with the identifier of a request. A plain service may return the header
/// in its response; a value other than the one sent is an error.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the idempotency key, the same for all attempts of an operation.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that are forwarded neither to the service nor to the caller:
/// credentials, and headers that apply to a single connection or message.
const NON_FORWARDED_HEADERS: [&str; 15] = [
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "api-key",
    "cookie",
    "connection",
    "proxy-connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
];

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path_and_query: Arc<str>,
    /// Headers of the caller; credentials and connection headers are not
    /// forwarded.
    pub headers: HeaderMap,
    /// Identifier of the request, the same for every attempt.
    pub request_id: Arc<str>,
    /// Idempotency key; empty if there is none.
    pub idempotency_key: Arc<str>,
    /// Request body.
    pub body: Bytes,
}

/// The complete response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers, without credentials and connection headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// HTTP client for plain services; cheap to clone.
#[derive(Clone, Debug)]
pub struct PlainClient {
    http: reqwest::Client,
}

impl PlainClient {
    /// Creates a client that sends requests through `http`, which
    /// [`http_client`](super::http_client) configures.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }

    /// Sends a request once, without retries, and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached, or if the response is truncated,
    /// too large or belongs to another request, has no valid status, or has no length and
    /// ends before the request was sent. An error status is returned as a response, not as
    /// an error.
    pub async fn call(&self, address: &str, request: PlainRequest) -> Result<PlainResponse> {
        let url = format!("http://{address}{}", request.path_and_query);
        let request_id = Arc::clone(&request.request_id);
        let (body, progress) = sent_body(&request.body);
        let sent = self
            .http
            .request(request.method.clone(), url)
            .headers(forwarded_headers(&request))
            .body(body)
            .send()
            .await;
        let response = sent.map_err(|cause| Error::from_http(address, cause))?;
        let status = response.status().as_u16();
        if !is_final_status(status) {
            return Err(Error::InvalidStatus {
                address: address.into(),
                status,
            });
        }
        if !answers_request(response.headers(), &request_id) {
            return Err(Error::WrongRequest {
                address: address.into(),
            });
        }
        let ends_with_connection = has_no_length(&response);
        let mut headers = response.headers().clone();
        remove_non_forwarded(&mut headers);
        let body = read_body(address, response).await?;
        if ends_with_connection && !progress.is_none_or(|progress| progress.is_complete()) {
            return Err(Error::EarlyEnd {
                address: address.into(),
            });
        }
        Ok(PlainResponse {
            status,
            headers,
            body,
        })
    }
}

/// Returns the body to send, and its progress unless it is empty.
fn sent_body(bytes: &Bytes) -> (Body, Option<Progress>) {
    if bytes.is_empty() {
        return (Body::from(bytes.clone()), None);
    }
    let (upload, progress) = Upload::new(bytes.clone());
    (Body::wrap(upload), Some(progress))
}

/// Whether only the end of the connection marks the end of a response.
fn has_no_length(response: &Response) -> bool {
    response.content_length().is_none() && !response.headers().contains_key(TRANSFER_ENCODING)
}

/// Returns the headers to send: those of the caller that may be forwarded, the
/// request identifier, and the idempotency key if there is one.
fn forwarded_headers(request: &PlainRequest) -> HeaderMap {
    let mut headers = request.headers.clone();
    remove_non_forwarded(&mut headers);
    headers.remove(IDEMPOTENCY_KEY);
    headers.remove(REQUEST_ID);
    if let Ok(value) = HeaderValue::from_str(&request.request_id) {
        headers.insert(REQUEST_ID, value);
    }
    if request.idempotency_key.is_empty() {
        return headers;
    }
    if let Ok(value) = HeaderValue::from_str(&request.idempotency_key) {
        headers.insert(IDEMPOTENCY_KEY, value);
    }
    headers
}

fn remove_non_forwarded(headers: &mut HeaderMap) {
    for name in NON_FORWARDED_HEADERS {
        headers.remove(name);
    }
}

/// Whether a response belongs to the request with the given identifier. A response
/// without an identifier is assumed to belong to it.
fn answers_request(headers: &HeaderMap, request_id: &str) -> bool {
    let Some(value) = headers.get(REQUEST_ID) else {
        return true;
    };
    value.as_bytes() == request_id.as_bytes()
}
