//! A caller's validated request, up to and during its dispatch to a target.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::{
    entry::{
        auth::{KeyDigest, find_key},
        context::EntryContext,
        error::{Error, Outcome, Result},
        limiter::LimitGuard,
        router::{AccountEntry, RouteEntry},
    },
    service::{Access, Repeat},
};

/// Header with the idempotency key, by which a caller identifies a non-repeatable
/// request.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Time after the deadline during which the answer to a claimed request is still
/// awaited.
const CLAIMED_ANSWER_GRACE: Duration = Duration::from_secs(60);

/// SHA-256 of a request's method, path, query and body.
pub(super) type RequestDigest = [u8; 32];

/// A caller's request with its complete body, validated and authenticated.
#[derive(Debug)]
pub(super) struct Call {
    /// Request identifier.
    pub(super) id: Arc<str>,
    /// Time at which the headers were received.
    pub(super) received_at: Instant,
    /// Route of the request, with its service.
    pub(super) route_entry: Arc<RouteEntry>,
    /// Account that the request is charged to.
    pub(super) account: Arc<AccountEntry>,
    /// Digest of the API key of the request; `None` on an open route.
    pub(super) key_digest: Option<KeyDigest>,
    /// Value of the `idempotency-key` header, if there is one.
    pub(super) idempotency_key: Option<Arc<str>>,
    /// Digest of the request's method, path, query and body.
    pub(super) request_digest: RequestDigest,
    /// Request body.
    pub(super) body: Bytes,
    /// Holds the request's share of the account's limits until dropped.
    pub(super) limit_guard: Option<LimitGuard>,
}

impl Call {
    /// Whether the request may run more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        self.route_entry.route.repeat == Repeat::Idempotent
    }

    /// Instant by which the answer must be complete.
    pub(super) fn deadline(&self) -> Instant {
        self.received_at + Duration::from_millis(self.route_entry.route.deadline_ms)
    }

    /// Instant by which the first token or, for a plain service, the answer must
    /// arrive.
    pub(super) fn first_token_deadline(&self) -> Instant {
        self.received_at + Duration::from_millis(self.route_entry.route.first_token_ms)
    }

    /// Time left until the deadline; zero once it has passed.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Maximum time to wait for the complete answer.
    ///
    /// A claimed request is a non-repeatable request with an idempotency key. Its
    /// answer is awaited for another minute after the deadline, so that the answer
    /// can be recorded, and replayed when the caller sends the request again.
    pub(super) fn answer_timeout(&self) -> Duration {
        let claimed = !self.is_idempotent() && self.idempotency_key.is_some();
        if claimed {
            return self.remaining() + CLAIMED_ANSWER_GRACE;
        }
        self.remaining()
    }

    /// Checks again, immediately before dispatch, that the request may run.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Quarantined`] if the request has been quarantined.
    ///
    /// On a keyed route, returns [`Error::MissingKey`] if the request has no API
    /// key, [`Error::InvalidKey`] if the key was revoked or moved to another
    /// account, and [`Error::Stale`] if this instance may not know the newest keys.
    pub(super) fn recheck(&self, context: &EntryContext) -> Result<()> {
        if self.is_quarantined(context) {
            return Err(Error::Quarantined {
                outcome: Outcome::NotRun,
            });
        }
        if self.route_entry.route.access == Access::Open {
            return Ok(());
        }
        let key = self.key_digest.as_ref().ok_or(Error::MissingKey)?;
        check_may_serve_keyed(context)?;
        let entry = find_key(context.ledger(), key).ok_or(Error::InvalidKey)?;
        let same_account =
            entry.service == self.account.service && entry.account == self.account.account.name;
        if !same_account {
            return Err(Error::InvalidKey);
        }
        Ok(())
    }

    fn is_quarantined(&self, context: &EntryContext) -> bool {
        let account = &self.account.full_name;
        let recorded = context
            .ledger()
            .read(|ledger| ledger.is_quarantined(account, &self.request_digest));
        recorded || (context.peers().is_quarantined)(account, &self.request_digest)
    }
}

/// Checks that this instance may serve requests that carry an API key.
///
/// # Errors
///
/// Returns [`Error::Stale`] while the instance may not know the newest keys.
pub(super) fn check_may_serve_keyed(context: &EntryContext) -> Result<()> {
    if (context.peers().may_serve_keyed)() {
        return Ok(());
    }
    Err(Error::Stale)
}

/// Returns the SHA-256 digest of a request's method, path, query and body.
///
/// Each of the hashed strings is prefixed with its length, so that two different
/// requests never yield the same input to the hash function.
pub(super) fn request_digest(method: &str, path_and_query: &str, body: &[u8]) -> RequestDigest {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Validates the value of the `idempotency-key` header.
///
/// # Errors
///
/// Returns [`Error::InvalidHeader`] unless the value consists of 1 to 255 visible
/// ASCII characters.
pub(super) fn check_idempotency_key(value: &[u8]) -> Result<Arc<str>> {
    let invalid_header = |reason| Error::InvalidHeader {
        name: "idempotency-key",
        reason,
    };
    if value.is_empty() {
        return Err(invalid_header("must not be empty"));
    }
    if value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(invalid_header("must not be longer than 255 bytes"));
    }
    if !value.iter().all(|byte| (0x21..=0x7e).contains(byte)) {
        return Err(invalid_header("must contain only visible ASCII characters"));
    }
    let text = std::str::from_utf8(value).map_err(|_| invalid_header("must be ASCII"))?;
    Ok(Arc::from(text))
}
