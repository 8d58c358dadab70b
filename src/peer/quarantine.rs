//! Requests quarantined because they were implicated in crashes.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexSet;

/// A request that was implicated in two crashes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct QuarantinedRequest {
    /// Client account, as `SERVICE/ACCOUNT`.
    pub(super) account: Arc<str>,
    /// Digest of the request body.
    pub(super) body_digest: Bytes,
}

/// Cache of the newest quarantined requests; the ledger contains all of them.
#[derive(Debug, Default)]
pub(super) struct QuarantineSet {
    requests: IndexSet<QuarantinedRequest>,
}

impl QuarantineSet {
    /// Limit of cached requests; the oldest is removed first.
    const MAX_REQUESTS: usize = 4_096;

    /// Adds a request. Returns false if it is already present.
    pub(super) fn insert(&mut self, request: QuarantinedRequest) -> bool {
        if !self.requests.insert(request) {
            return false;
        }
        if self.requests.len() > Self::MAX_REQUESTS {
            self.requests.shift_remove_index(0);
        }
        true
    }

    pub(super) fn contains(&self, request: &QuarantinedRequest) -> bool {
        self.requests.contains(request)
    }
}
