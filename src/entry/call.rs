//! A caller's request on its way to a target.

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

/// Header by which a caller identifies a non-repeatable request.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Wait for the answer to a claimed request beyond its deadline.
const LATE_ANSWER: Duration = Duration::from_secs(60);

/// SHA-256 of a request's method, path, query and body.
pub(super) type BodyDigest = [u8; 32];

/// A caller's request, checked and with its whole body.
#[derive(Debug)]
pub(super) struct Call {
    /// Identifier of the request.
    pub(super) id: Arc<str>,
    /// When its headers were received.
    pub(super) received_at: Instant,
    /// Route that it came by.
    pub(super) entry: Arc<RouteEntry>,
    /// Account that it runs for.
    pub(super) account: Arc<AccountEntry>,
    /// Digest of the key that came with it; `None` on an open route.
    pub(super) key: Option<KeyDigest>,
    /// Key by which the caller identifies a non-repeatable request.
    pub(super) idempotency_key: Option<Arc<str>>,
    /// Digest of what was asked for.
    pub(super) digest: BodyDigest,
    /// Body.
    pub(super) body: Bytes,
    /// Counts the request against its account's limits.
    pub(super) limit: Option<LimitGuard>,
}

impl Call {
    /// Whether the request may run more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        self.entry.route.repeat == Repeat::Idempotent
    }

    /// Instant by which the answer must be whole.
    pub(super) fn deadline(&self) -> Instant {
        self.received_at + Duration::from_millis(self.entry.route.deadline_ms)
    }

    /// Instant by which the answer must begin.
    pub(super) fn first_token_deadline(&self) -> Instant {
        self.received_at + Duration::from_millis(self.entry.route.first_token_ms)
    }

    /// Time left until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Time to wait for a whole answer.
    ///
    /// The answer to a claimed request is awaited beyond the deadline, so that
    /// a resend of the request gets it.
    pub(super) fn answer_wait(&self) -> Duration {
        let claimed = !self.is_idempotent() && self.idempotency_key.is_some();
        if claimed {
            return self.remaining() + LATE_ANSWER;
        }
        self.remaining()
    }

    /// Checks again, right before a dispatch, that the request may run.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidKey`], [`Error::Stale`] and [`Error::Quarantined`].
    pub(super) fn recheck(&self, context: &EntryContext) -> Result<()> {
        if self.is_quarantined(context) {
            return Err(Error::Quarantined {
                outcome: Outcome::NotRun,
            });
        }
        if self.entry.route.access == Access::Open {
            return Ok(());
        }
        let key = self.key.as_ref().ok_or(Error::MissingKey)?;
        check_fresh(context)?;
        let found = find_key(context.ledger(), key).ok_or(Error::InvalidKey)?;
        let same =
            found.service == self.account.service && found.account == self.account.account.name;
        if !same {
            return Err(Error::InvalidKey);
        }
        Ok(())
    }

    fn is_quarantined(&self, context: &EntryContext) -> bool {
        let account = &self.account.full_name;
        let recorded = context
            .ledger()
            .read(|ledger| ledger.is_quarantined(account, &self.digest));
        recorded || (context.peers().is_quarantined)(account, &self.digest)
    }
}

/// Refuses keyed requests while the newest keys may be unknown.
pub(super) fn check_fresh(context: &EntryContext) -> Result<()> {
    if (context.peers().may_serve_keyed)() {
        return Ok(());
    }
    Err(Error::Stale)
}

/// Returns the digest of what a request asks for.
pub(super) fn request_digest(method: &str, path_and_query: &str, body: &[u8]) -> BodyDigest {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Checks an idempotency key.
///
/// # Errors
///
/// [`Error::InvalidHeader`]
pub(super) fn check_idempotency_key(value: &[u8]) -> Result<Arc<str>> {
    let fault = |reason| Error::InvalidHeader {
        name: "idempotency-key",
        reason,
    };
    if value.is_empty() {
        return Err(fault("it is empty"));
    }
    if value.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(fault("it is longer than 255 bytes"));
    }
    if !value.iter().all(|byte| (0x21..=0x7e).contains(byte)) {
        return Err(fault("it has other than visible ASCII characters"));
    }
    let text = std::str::from_utf8(value).map_err(|_| fault("it is not ASCII"))?;
    Ok(Arc::from(text))
}
