//! Counts of requests by result.
//!
//! From these counts, the rate at which each account uses up the error budget of
//! its service-level objective (the burn rate) is computed.

use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{entry::router::AccountEntry, sync};

/// Result of one request, as counted against the service-level objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestResult {
    /// Completed within the route's token deadlines.
    Good,
    /// Completed, but later than the route's token deadlines allow.
    Late,
    /// Rejected before any target ran it.
    Refused,
    /// Failed after a target ran it or may have run it.
    Failed,
    /// Abandoned by the caller before the answer was complete.
    Cancelled,
}

impl RequestResult {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Number of requests of one account by result, since the instance started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountResultCounts {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the account within the service.
    pub account: Arc<str>,
    /// Requests completed within the route's token deadlines.
    pub good: u64,
    /// Requests completed later than the route's token deadlines allow.
    pub late: u64,
    /// Requests rejected before any target ran them.
    pub refused: u64,
    /// Requests that failed after a target ran them or may have run them.
    pub failed: u64,
    /// Requests abandoned by the caller before the answer was complete.
    pub cancelled: u64,
}

/// Counts requests by account and result.
///
/// Clones are cheap and share the same counts.
#[derive(Clone, Debug, Default)]
pub struct BurnRecorder {
    /// Counts by account, `SERVICE/ACCOUNT`.
    accounts: Arc<Mutex<IndexMap<Arc<str>, AccountResultCounts>>>,
}

impl BurnRecorder {
    /// Returns the counts of every account with at least one counted request.
    pub fn counts(&self) -> Vec<AccountResultCounts> {
        self.lock().values().cloned().collect()
    }

    /// Counts the result of one request, also in the metric
    /// `entry_requests_total`.
    pub(super) fn record(&self, account: &AccountEntry, result: RequestResult) {
        metrics::counter!(
            "entry_requests_total",
            "account" => Arc::clone(&account.full_name),
            "result" => result.as_str(),
        )
        .increment(1);
        let mut accounts = self.lock();
        let counts = accounts
            .entry(Arc::clone(&account.full_name))
            .or_insert_with(|| AccountResultCounts {
                service: Arc::clone(&account.service),
                account: Arc::clone(&account.account.name),
                ..AccountResultCounts::default()
            });
        match result {
            RequestResult::Good => counts.good += 1,
            RequestResult::Late => counts.late += 1,
            RequestResult::Refused => counts.refused += 1,
            RequestResult::Failed => counts.failed += 1,
            RequestResult::Cancelled => counts.cancelled += 1,
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Arc<str>, AccountResultCounts>> {
        sync::lock(&self.accounts)
    }
}
