//! Requests that peers reported as implicated in crashes.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexSet;

/// A request that was implicated in two crashes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct QuarantinedRequest {
    /// Client account, as `SERVICE/ACCOUNT`.
    pub(super) account: Arc<str>,
    /// Digest of the request's body.
    pub(super) body_digest: Bytes,
}

/// The newest quarantined requests; the ledger holds them all.
#[derive(Debug, Default)]
pub(super) struct QuarantineSet {
    requests: IndexSet<QuarantinedRequest>,
}

impl QuarantineSet {
    /// Requests that are kept.
    const MAX_REQUESTS: usize = 4_096;

    /// Adds a request; false if it was known.
    pub(super) fn insert(&mut self, request: QuarantinedRequest) -> bool {
        if !self.requests.insert(request) {
            return false;
        }
        if self.requests.len() > Self::MAX_REQUESTS {
            self.requests.shift_remove_index(0);
        }
        true
    }

    /// Returns whether a request is quarantined.
    pub(super) fn contains(&self, request: &QuarantinedRequest) -> bool {
        self.requests.contains(request)
    }
}
