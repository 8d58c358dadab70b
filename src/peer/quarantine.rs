//! Requests quarantined because they were in flight at crashes of targets.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexSet;

/// A request that was in flight at two crashes of targets.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct QuarantinedRequest {
    /// Client account, as `SERVICE/ACCOUNT`.
    pub(super) account: Arc<str>,
    /// Digest of the request body.
    pub(super) body_digest: Bytes,
}

/// Cache of the most recently quarantined requests. The ledger contains all
/// quarantined requests.
#[derive(Debug, Default)]
pub(super) struct QuarantineSet {
    requests: IndexSet<QuarantinedRequest>,
}

impl QuarantineSet {
    /// Maximum number of cached requests. Above it, the oldest request is removed.
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
