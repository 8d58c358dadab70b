//! Counts of requests by result, for the report on service-level burn.

use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::entry::router::AccountEntry;

/// Result of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestResult {
    /// Whole, and its tokens came in time.
    Good,
    /// Whole, but late.
    Late,
    /// Turned away without having run.
    Refused,
    /// Not whole.
    Failed,
    /// Given up by the caller.
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

/// Requests of one account by result, since the start of the instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BurnCounts {
    /// Service.
    pub service: Arc<str>,
    /// Account within the service.
    pub account: Arc<str>,
    /// Whole and in time.
    pub good: u64,
    /// Whole but late.
    pub late: u64,
    /// Turned away without having run.
    pub refused: u64,
    /// Not whole.
    pub failed: u64,
    /// Given up by the caller.
    pub cancelled: u64,
}

/// Counts requests by account and result; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct BurnRecorder {
    accounts: Arc<Mutex<IndexMap<Arc<str>, BurnCounts>>>,
}

impl BurnRecorder {
    /// Returns the counts of all accounts that sent requests.
    pub fn counts(&self) -> Vec<BurnCounts> {
        self.lock().values().cloned().collect()
    }

    /// Counts a request's result.
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
            .or_insert_with(|| BurnCounts {
                service: Arc::clone(&account.service),
                account: Arc::clone(&account.account.name),
                ..BurnCounts::default()
            });
        match result {
            RequestResult::Good => counts.good += 1,
            RequestResult::Late => counts.late += 1,
            RequestResult::Refused => counts.refused += 1,
            RequestResult::Failed => counts.failed += 1,
            RequestResult::Cancelled => counts.cancelled += 1,
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Arc<str>, BurnCounts>> {
        self.accounts
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }
}
