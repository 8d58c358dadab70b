//! Decoding of the header with the numbers of a request's tokens.

use hyper::{HeaderMap, header::HeaderName};

pub(super) const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");

/// Returns the number of tokens of the prompt and the maximum of the answer. Returns `None`
/// if the header is missing or malformed.
pub(super) fn read_tokens(headers: &HeaderMap) -> Option<(u64, u64)> {
    let value = headers.get(TOKEN_COUNT)?.to_str().ok()?;
    let (prompt, output) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}
