//! Requests whose destination an operator asks for, without sending them.

use hyper::{
    HeaderMap, Request,
    header::{AUTHORIZATION, HOST, HeaderValue},
    http::request,
};

use super::{
    request::{KEY_SCHEME, MODEL, PROMPT_PREFIX, REQUEST_ID, insert_header},
    token_count::TOKEN_COUNT,
};

/// Identifier of requests whose destination is asked for.
const ASKED_ID: HeaderValue = HeaderValue::from_static("destination");

/// What an operator states about a request. Values are those of the request's headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AskedRequest<'a> {
    /// API key of a client account.
    pub key: Option<&'a str>,
    /// Requested model.
    pub model: Option<&'a str>,
    /// Numbers of tokens of the prompt and its answer.
    pub token_count: Option<&'a str>,
    /// Parts of the prompt.
    pub prompt_parts: Option<&'a str>,
}

impl AskedRequest<'_> {
    /// Encodes the headers of the request.
    #[must_use]
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(key) = self.key {
            insert_header(&mut headers, AUTHORIZATION, &format!("{KEY_SCHEME}{key}"));
        }
        for (name, value) in [
            (MODEL, self.model),
            (TOKEN_COUNT, self.token_count),
            (PROMPT_PREFIX, self.prompt_parts),
        ] {
            if let Some(value) = value {
                insert_header(&mut headers, name, value);
            }
        }
        headers
    }
}

/// Returns the head of the request with these headers, host and path; `None` if the host or
/// the path is invalid.
#[must_use]
pub fn asked_parts(headers: HeaderMap, host: &str, path: &str) -> Option<request::Parts> {
    let mut asked = Request::new(());
    *asked.uri_mut() = path.parse().ok()?;
    *asked.headers_mut() = headers;
    let host = HeaderValue::from_str(host).ok()?;
    asked.headers_mut().insert(HOST, host);
    asked.headers_mut().insert(REQUEST_ID, ASKED_ID);
    Some(asked.into_parts().0)
}
