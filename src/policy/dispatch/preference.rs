//! Which dispatcher an instance queries.

use std::net::SocketAddr;

use indexmap::IndexMap;

/// Consecutive queries without an answer after which an instance is passed over.
const MAX_MISSES: u32 = 2;

/// Time for which an instance that does not answer is passed over, in milliseconds.
const SUSPENSION_MS: u64 = 1_500;

/// Instances in rendezvous order that are queried; if none of them answers, the querying
/// instance decides alone. A higher number would spread the queries over dispatchers that
/// each know only a part of the placements.
const MAX_CANDIDATES: usize = 3;

/// Queries to one instance that were not answered.
#[derive(Clone, Copy, Debug, Default)]
struct Misses {
    count: u32,
    suspended_until_ms: u64,
}

/// Instances that did not answer queries.
///
/// ```
/// use lavenderwind::policy::dispatch::Preference;
///
/// let [first, second] = ["127.0.0.1:1", "127.0.0.1:2"].map(|address| address.parse().unwrap());
/// let mut preference = Preference::default();
/// assert_eq!(preference.choose(&[first, second], 0), Some(first));
/// preference.record_miss(first, 0);
/// preference.record_miss(first, 0);
/// assert_eq!(preference.choose(&[first, second], 0), Some(second));
/// preference.record_answer(first);
/// assert_eq!(preference.choose(&[first, second], 0), Some(first));
/// ```
#[derive(Debug, Default)]
pub struct Preference {
    misses: IndexMap<SocketAddr, Misses>,
}

impl Preference {
    /// Returns the instance to query: the first of `order` that is not passed over.
    #[must_use]
    pub fn choose(&self, order: &[SocketAddr], now_ms: u64) -> Option<SocketAddr> {
        let mut candidates = order.iter().take(MAX_CANDIDATES);
        let is_available = |address: &&SocketAddr| {
            let misses = self.misses.get(*address).copied().unwrap_or_default();
            misses.count < MAX_MISSES || misses.suspended_until_ms <= now_ms
        };
        candidates.find(is_available).copied()
    }

    /// Records that an instance has not answered a query in time.
    pub fn record_miss(&mut self, instance: SocketAddr, now_ms: u64) {
        let misses = self.misses.entry(instance).or_default();
        misses.count += 1;
        misses.suspended_until_ms = now_ms + SUSPENSION_MS;
    }

    /// Records that an instance has answered a query.
    pub fn record_answer(&mut self, instance: SocketAddr) {
        self.misses.swap_remove(&instance);
    }
}
