//! Whole answers to callers.

use bytes::Bytes;
use salvo::{
    Response,
    http::{
        HeaderMap, HeaderValue, StatusCode,
        header::{CONTENT_TYPE, HeaderName},
    },
};

use crate::entry::error::{Error, OUTCOME_HEADER, Outcome, Result};

/// Header that marks a recorded answer.
pub const REPLAYED_HEADER: &str = "lavenderwind-replayed";

/// A whole answer.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    /// Status.
    pub(super) status: StatusCode,
    /// Headers, without those that concern only one connection.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) body: Bytes,
}

impl Reply {
    /// Returns an answer of status 200 with a JSON body.
    pub(super) fn json(body: Vec<u8>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            status: StatusCode::OK,
            headers,
            body: Bytes::from(body),
        }
    }

    /// Returns a recorded answer.
    ///
    /// # Errors
    ///
    /// [`Error::Internal`] for a record that cannot be sent.
    pub(super) fn replayed(status: u16, content_type: &str, body: Bytes) -> Result<Self> {
        let fault = Error::Internal {
            outcome: Outcome::Ran,
        };
        let status = StatusCode::from_u16(status).map_err(|_| fault.clone())?;
        let mut headers = HeaderMap::new();
        if !content_type.is_empty() {
            let value = HeaderValue::from_str(content_type).map_err(|_| fault)?;
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

    /// Content type of the body; empty if there is none.
    pub(super) fn content_type(&self) -> &str {
        let value = self.headers.get(CONTENT_TYPE);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Writes the answer.
    pub(super) fn write(self, response: &mut Response) {
        response.status_code(self.status);
        for (name, value) in &self.headers {
            response.headers_mut().append(name, value.clone());
        }
        response.body(self.body);
    }
}
