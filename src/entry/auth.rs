//! Checks of callers' keys.

use salvo::http::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};

use crate::{
    entry::error::{Error, Result},
    ledger::{KeyEntry, LedgerHandle},
};

/// SHA-256 of a key.
pub(super) type KeyDigest = [u8; 32];

/// Returns the digest of the key that a caller sent, if any.
///
/// # Errors
///
/// [`Error::InvalidKey`] for an authorization of another form.
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

/// Returns what the ledger knows of a key; revoked keys are unknown.
pub(super) fn find_key(ledger: &LedgerHandle, digest: &KeyDigest) -> Option<KeyEntry> {
    ledger.read(|ledger| ledger.key(digest))
}
