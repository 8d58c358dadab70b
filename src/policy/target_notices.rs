//! What a target's answers say about the requests that it takes.
//!
//! A target in need names the rate of requests that it takes from all instances
//! together. The rate is divided between a few instances, chosen by rendezvous hashing,
//! so that each of them may send often enough to be of use, and all of them together
//! cannot exceed the rate by more than one request each. The others send nothing.

use super::token_bucket::{MILLI, TokenBucket};

/// Share of a limit that is used. The rest covers the times at which instances disagree
/// about which of them are live.
const USED_SHARE: f64 = 0.9;

/// Instances that send to a target, for each request per second of its limit.
const SENDERS_PER_LIMIT: f64 = 2.0;

/// Limit that is assumed if a target names a lower one, in requests per second. A target
/// that gets no request could not say that its limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.1;

/// Change of a limit that is reported to peers, as a share of the limit.
const REPORTED_CHANGE: f64 = 0.05;

/// Position of an instance in the order in which instances send to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SenderRank {
    /// Number of live instances that precede this one.
    pub rank: usize,
    /// Number of live instances, including this one.
    pub instances: usize,
}

/// Returns the rate at which an instance may send to a target with a limit, in
/// thousandths of a request per second.
#[must_use]
pub fn instance_rate_milli_per_s(limit_per_s: f64, rank: SenderRank) -> u64 {
    let limit_per_s = limit_per_s.max(MIN_LIMIT_PER_S);
    let senders = (limit_per_s * SENDERS_PER_LIMIT).ceil() as usize;
    let senders = senders.clamp(1, rank.instances.max(1));
    if rank.rank >= senders {
        return 0;
    }
    (limit_per_s * USED_SHARE / senders as f64 * MILLI as f64) as u64
}

/// This instance's share of the limit that a target has named.
#[derive(Clone, Debug)]
struct LimitShare {
    limit_per_s: f64,
    bucket: TokenBucket,
}

/// What one boot of a target has said in its answers.
///
/// ```
/// use lavenderwind::policy::target_notices::{SenderRank, TargetNotices};
///
/// let only = SenderRank { rank: 0, instances: 1 };
/// let mut notices = TargetNotices::default();
/// assert!(notices.admits(0));
/// notices.set_limit(Some(1.0), only, 0);
/// assert!(!notices.take(0), "the first request comes after the time for one");
/// assert!(notices.take(2_000));
/// assert!(!notices.take(2_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    limit: Option<LimitShare>,
    is_leaving: bool,
    /// Time until which the target wants no request from this instance, in milliseconds.
    paused_until_ms: u64,
}

impl TargetNotices {
    /// Returns whether the target has announced that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that the target leaves. It does not take that back; after a new start it is
    /// another boot.
    pub fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Records that the target wants no request from this instance until a time.
    pub fn pause_until(&mut self, until_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }

    /// Returns the limit that the target has named, in requests per second.
    #[must_use]
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.limit_per_s)
    }

    /// Sets or removes the limit. Returns whether the change is worth a report to peers.
    pub fn set_limit(&mut self, limit_per_s: Option<f64>, rank: SenderRank, now_ms: u64) -> bool {
        let previous_per_s = self.limit_per_s();
        let Some(limit_per_s) = limit_per_s else {
            self.limit = None;
            return previous_per_s.is_some();
        };
        let limit = self.limit.get_or_insert_with(|| LimitShare {
            limit_per_s,
            bucket: TokenBucket::default(),
        });
        limit.limit_per_s = limit_per_s;
        let rate_milli_per_s = instance_rate_milli_per_s(limit_per_s, rank);
        limit.bucket.set_rate(Some(rate_milli_per_s), now_ms);
        previous_per_s.is_none_or(|previous_per_s| {
            (limit_per_s - previous_per_s).abs() > REPORTED_CHANGE * previous_per_s
        })
    }

    /// Returns whether the target may be sent a request now.
    #[must_use]
    pub fn admits(&self, now_ms: u64) -> bool {
        self.wait_ms(now_ms) == Some(0)
    }

    /// Returns the time until the target may be sent a request, in milliseconds, or `None`
    /// if this instance may not send to it at all.
    #[must_use]
    pub fn wait_ms(&self, now_ms: u64) -> Option<u64> {
        if self.is_leaving {
            return None;
        }
        let pause_ms = self.paused_until_ms.saturating_sub(now_ms);
        let Some(limit) = &self.limit else {
            return Some(pause_ms);
        };
        let mut bucket = limit.bucket.clone();
        bucket.refill(now_ms);
        let limit_ms = Some(bucket.wait_ms(1)).filter(|wait_ms| *wait_ms < u64::MAX)?;
        Some(limit_ms.max(pause_ms))
    }

    /// Takes the permission to send one request now; returns whether it was granted.
    pub fn take(&mut self, now_ms: u64) -> bool {
        if !self.admits(now_ms) {
            return false;
        }
        if let Some(limit) = &mut self.limit {
            limit.bucket.refill(now_ms);
            limit.bucket.spend(1);
        }
        true
    }
}
