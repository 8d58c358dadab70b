//! Non-streaming responses to callers.

use bytes::Bytes;
use salvo::{
    Response,
    http::{
        HeaderMap, HeaderValue, StatusCode,
        header::{CONTENT_TYPE, HeaderName},
    },
};

use crate::entry::error::{Error, OUTCOME_HEADER, Outcome, Result};

/// Response header that marks a replayed answer, recorded when the request first
/// ran.
pub const REPLAYED_HEADER: &str = "lavenderwind-replayed";

/// A complete, non-streaming response.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    /// HTTP status.
    pub(super) status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub(super) headers: HeaderMap,
    /// Response body.
    pub(super) body: Bytes,
}

impl Reply {
    /// Returns a response of status 200 with a JSON body.
    pub(super) fn json(body: Vec<u8>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            status: StatusCode::OK,
            headers,
            body: Bytes::from(body),
        }
    }

    /// Returns the response that replays a recorded answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Internal`] if the recorded status or content type is not
    /// valid in HTTP.
    pub(super) fn replayed(status: u16, content_type: &str, body: Bytes) -> Result<Self> {
        let internal_error = Error::Internal {
            outcome: Outcome::Ran,
        };
        let status = StatusCode::from_u16(status).map_err(|_| internal_error.clone())?;
        let mut headers = HeaderMap::new();
        if !content_type.is_empty() {
            let value = HeaderValue::from_str(content_type).map_err(|_| internal_error)?;
            headers.insert(CONTENT_TYPE, value);
        }
        let replayed = HeaderName::from_static(REPLAYED_HEADER);
        headers.insert(replayed, HeaderValue::from_static("true"));
        let ran = HeaderValue::from_static(Outcome::Ran.as_str());
        headers.insert(OUTCOME_HEADER, ran);
        Ok(Self {
            status,
            headers,
            body,
        })
    }

    /// Returns the value of the `content-type` header, or an empty string if the
    /// header is absent or not text.
    pub(super) fn content_type(&self) -> &str {
        let value = self.headers.get(CONTENT_TYPE);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Writes the status, headers and body to `response`.
    pub(super) fn write(self, response: &mut Response) {
        response.status_code(self.status);
        for (name, value) in &self.headers {
            response.headers_mut().append(name, value.clone());
        }
        response.body(self.body);
    }
}
