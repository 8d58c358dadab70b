//! Tracks which of the instances that this one is linked to respond.

use std::{sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use tokio::time::Instant;

use super::membership::Membership;

/// Number of heartbeat intervals without a frame after which an instance counts as
/// unreachable.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Longest time between two checks. After a longer one, this instance itself was stopped,
/// and it is unknown which instances were silent.
const MAX_CHECK_GAP: Duration = Duration::from_secs(1);

/// An instance from which frames are expected.
#[derive(Clone, Copy, Debug)]
struct Expected {
    incarnation: u64,
    /// When the last frame arrived, or when the first one was expected.
    silent_since: Instant,
    /// Time without a frame after which the instance is unreachable.
    timeout: Duration,
    is_unreachable: bool,
}

/// Instances from which frames are expected, by name.
///
/// An instance that is unreachable remains so until a frame of it arrives or it is
/// forgotten, even if it is no longer linked.
#[derive(Debug)]
pub(super) struct Reachability {
    min_timeout: Duration,
    expected: IndexMap<Arc<str>, Expected>,
    checked_at: Option<Instant>,
}

impl Reachability {
    /// Creates a tracker for which an instance is unreachable after `min_timeout` without
    /// a frame, or later if it sends heartbeats at long intervals.
    pub(super) fn new(min_timeout: Duration) -> Self {
        Self {
            min_timeout,
            expected: IndexMap::new(),
            checked_at: None,
        }
    }

    /// Sets the instances that this one is linked to. Frames of instances that were not
    /// linked before are expected from `now` on.
    pub(super) fn expect<'a, I>(&mut self, linked: I, membership: &Membership, now: Instant)
    where
        I: IntoIterator<Item = &'a Arc<str>>,
    {
        let linked: IndexSet<&Arc<str>> = linked.into_iter().collect();
        self.expected
            .retain(|name, expected| expected.is_unreachable || linked.contains(name));
        for name in linked {
            let Some(peer) = membership.get(name) else {
                continue;
            };
            self.expected.entry(name.clone()).or_insert(Expected {
                incarnation: peer.incarnation,
                silent_since: now,
                timeout: self.min_timeout,
                is_unreachable: false,
            });
        }
    }

    /// Forgets the instances that are no longer known, or that have started again.
    pub(super) fn forget_ended(&mut self, membership: &Membership) {
        self.expected.retain(|name, expected| {
            let peer = membership.get(name);
            peer.is_some_and(|peer| peer.incarnation == expected.incarnation)
        });
    }

    /// Records a frame from an instance. Returns whether the instance was unreachable.
    pub(super) fn record_frame(&mut self, name: &str, now: Instant) -> bool {
        let Some(expected) = self.expected.get_mut(name) else {
            return false;
        };
        expected.silent_since = now;
        std::mem::take(&mut expected.is_unreachable)
    }

    /// Sets the interval at which an instance sends heartbeats.
    pub(super) fn set_interval(&mut self, name: &str, interval: Duration) {
        if let Some(expected) = self.expected.get_mut(name) {
            expected.timeout = self.min_timeout.max(interval * MAX_MISSED_HEARTBEATS);
        }
    }

    /// Returns the instances that have become unreachable since the last check.
    pub(super) fn check(&mut self, now: Instant) -> Vec<Arc<str>> {
        let was_stopped = self
            .checked_at
            .replace(now)
            .is_some_and(|checked_at| now.saturating_duration_since(checked_at) > MAX_CHECK_GAP);
        let mut lost = Vec::new();
        for (name, expected) in &mut self.expected {
            if was_stopped {
                expected.silent_since = now;
                continue;
            }
            let silence = now.saturating_duration_since(expected.silent_since);
            if !expected.is_unreachable && silence >= expected.timeout {
                expected.is_unreachable = true;
                lost.push(name.clone());
            }
        }
        lost
    }

    /// Returns whether an instance is unreachable.
    pub(super) fn is_unreachable(&self, name: &str) -> bool {
        self.expected
            .get(name)
            .is_some_and(|expected| expected.is_unreachable)
    }

    /// Returns the time since the last frame of an instance if it is unreachable.
    pub(super) fn silence(&self, name: &str, now: Instant) -> Option<Duration> {
        let expected = self.expected.get(name)?;
        let silence = now.saturating_duration_since(expected.silent_since);
        expected.is_unreachable.then_some(silence)
    }

    /// Returns the unreachable instances.
    pub(super) fn unreachable(&self) -> impl Iterator<Item = &Arc<str>> {
        let unreachable = self.expected.iter();
        unreachable
            .filter(|(_, expected)| expected.is_unreachable)
            .map(|(name, _)| name)
    }
}
