//! Authentication of callers by API key.

use salvo::http::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};

use crate::{
    entry::error::{Error, Result},
    ledger::{KeyEntry, LedgerHandle},
};

/// SHA-256 digest of an API key.
pub(super) type KeyDigest = [u8; 32];

/// Returns the digest of the bearer token in the `Authorization` header, or
/// `None` if the header is absent.
///
/// # Errors
///
/// Returns [`Error::InvalidKey`] if the header is not of the form `Bearer KEY`.
pub(super) fn key_digest(headers: &HeaderMap) -> Result<Option<KeyDigest>> {
    let Some(value) = headers.get(AUTHORIZATION) else {
        return Ok(None);
    };
    let Some((scheme, key)) = value.to_str().ok().and_then(|v| v.split_once(' ')) else {
        return Err(Error::InvalidKey);
    };
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(Error::InvalidKey);
    }
    Ok(Some(Sha256::digest(key.as_bytes()).into()))
}

/// Looks up the service and account of an API key in the ledger.
///
/// Returns `None` for unknown and for revoked keys.
pub(super) fn find_key(ledger: &LedgerHandle, digest: &KeyDigest) -> Option<KeyEntry> {
    ledger.read(|ledger| ledger.key(digest))
}
