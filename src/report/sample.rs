//! Samples of request results, and the history that an instance keeps of them.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::entry;

/// Results of one client account of a service within a time interval.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurnSample {
    /// Name of the service.
    pub service: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// Age of the end of the interval, in seconds.
    pub age_s: u64,
    /// Length of the interval, in seconds.
    pub length_s: u64,
    /// Counts of requests by result.
    pub counts: ResultCounts,
}

/// Counts of requests by result.
#[derive(
    Clone, Copy, Debug, Default, derive_more::AddAssign, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct ResultCounts {
    /// Complete, within the deadlines.
    pub good: u64,
    /// Complete, but late.
    pub late: u64,
    /// Refused without having been run.
    pub refused: u64,
    /// Not answered completely.
    pub failed: u64,
}

impl ResultCounts {
    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.good + self.bad()
    }

    /// Returns the number of requests that spend the error budget.
    pub fn bad(&self) -> u64 {
        self.late + self.refused + self.failed
    }

    /// Returns the increase since `earlier`; 0 for counts that have decreased, as
    /// after a restart of the counting.
    fn increase_since(&self, earlier: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(earlier.good),
            late: self.late.saturating_sub(earlier.late),
            refused: self.refused.saturating_sub(earlier.refused),
            failed: self.failed.saturating_sub(earlier.failed),
        }
    }
}

impl From<&entry::AccountResultCounts> for ResultCounts {
    /// Leaves out requests that were cancelled by their callers.
    fn from(counts: &entry::AccountResultCounts) -> Self {
        Self {
            good: counts.good,
            late: counts.late,
            refused: counts.refused,
            failed: counts.failed,
        }
    }
}

/// A client account of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct AccountKey {
    service: Arc<str>,
    account: Arc<str>,
}

/// Length and number of the buckets of a tier.
#[derive(Clone, Copy, Debug)]
struct TierLayout {
    bucket_s: u64,
    buckets: usize,
}

/// Tiers of a history; they reach back 5 minutes, 1 hour and 6 hours. Buckets
/// that are older than the time span of their tier are merged into the next one.
const TIERS: [TierLayout; 3] = [
    TierLayout {
        bucket_s: 30,
        buckets: 10,
    },
    TierLayout {
        bucket_s: 300,
        buckets: 11,
    },
    TierLayout {
        bucket_s: 1_800,
        buckets: 10,
    },
];

#[derive(Clone, Debug)]
struct Bucket {
    start_s: u64,
    end_s: u64,
    /// Counts by the index of the account in [`BurnHistory::accounts`].
    counts: IndexMap<u32, ResultCounts>,
}

/// Recent results of one instance, in buckets whose length grows with their
/// age.
///
/// ```
/// use lavenderwind::report::{ResultCounts, BurnHistory};
///
/// let mut history = BurnHistory::default();
/// let counts = ResultCounts { good: 9, late: 1, ..ResultCounts::default() };
/// history.observe("adviser", "workshop-1", counts, 10);
/// assert_eq!(history.samples(15)[0].counts, counts);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BurnHistory {
    /// Last observed cumulative counts of each account.
    accounts: IndexMap<AccountKey, ResultCounts>,
    /// Buckets of each tier, oldest first.
    tiers: [VecDeque<Bucket>; TIERS.len()],
}

impl BurnHistory {
    /// Records an account's results up to `now_s`, in seconds of a monotonic
    /// clock.
    ///
    /// `counts` are cumulative since the start of the instance; their increase
    /// since the last call is added to the current bucket.
    pub fn observe(&mut self, service: &str, account: &str, counts: ResultCounts, now_s: u64) {
        let key = AccountKey {
            service: service.into(),
            account: account.into(),
        };
        let entry = self.accounts.entry(key);
        let index = entry.index() as u32;
        let previous = entry.or_default();
        let added = counts.increase_since(previous);
        *previous = counts;
        self.demote_expired_buckets(now_s);
        if added.total() == 0 {
            return;
        }
        let bucket = bucket_at(&mut self.tiers[0], TIERS[0], now_s);
        *bucket.counts.entry(index).or_default() += added;
    }

    /// Returns the samples of all buckets, newest first.
    pub fn samples(&self, now_s: u64) -> Vec<BurnSample> {
        let mut samples = Vec::new();
        for tier in &self.tiers {
            for bucket in tier.iter().rev() {
                self.append_samples(bucket, now_s, &mut samples);
            }
        }
        samples
    }

    fn append_samples(&self, bucket: &Bucket, now_s: u64, samples: &mut Vec<BurnSample>) {
        let end_s = bucket.end_s.min(now_s);
        for (index, counts) in &bucket.counts {
            let Some((key, _)) = self.accounts.get_index(*index as usize) else {
                continue;
            };
            samples.push(BurnSample {
                service: Arc::clone(&key.service),
                account: Arc::clone(&key.account),
                age_s: now_s - end_s,
                length_s: end_s.saturating_sub(bucket.start_s).max(1),
                counts: *counts,
            });
        }
    }

    /// Merges buckets beyond their tier's time span into the next tier; drops
    /// them after the last tier.
    fn demote_expired_buckets(&mut self, now_s: u64) {
        let mut span_s = 0;
        for (tier, layout) in TIERS.iter().enumerate() {
            span_s += layout.bucket_s * layout.buckets as u64;
            while let Some(oldest) = self.tiers[tier].front() {
                if oldest.end_s + span_s > now_s {
                    break;
                }
                let Some(oldest) = self.tiers[tier].pop_front() else {
                    break;
                };
                self.merge_bucket(tier + 1, oldest);
            }
        }
    }

    fn merge_bucket(&mut self, tier: usize, bucket: Bucket) {
        let Some(layout) = TIERS.get(tier) else {
            return;
        };
        let older = bucket_at(&mut self.tiers[tier], *layout, bucket.start_s);
        for (index, counts) in bucket.counts {
            *older.counts.entry(index).or_default() += counts;
        }
    }
}

/// Returns the newest bucket of a tier, after adding the one that contains
/// `at_s` if the newest starts earlier.
fn bucket_at(tier: &mut VecDeque<Bucket>, layout: TierLayout, at_s: u64) -> &mut Bucket {
    let start_s = at_s - at_s % layout.bucket_s;
    if tier.back().is_none_or(|newest| newest.start_s < start_s) {
        tier.push_back(Bucket {
            start_s,
            end_s: start_s + layout.bucket_s,
            counts: IndexMap::new(),
        });
    }
    let newest = tier.len() - 1;
    &mut tier[newest]
}
