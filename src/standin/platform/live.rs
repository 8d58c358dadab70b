//! Live list: announced instances with a time to live, listed with a delay.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;
use tokio::time::{Duration, Instant};

use crate::infra::protocol::LiveInstance;

/// An instance and the time of its last announcement.
#[derive(Clone, Debug)]
struct LiveEntry {
    instance: LiveInstance,
    announced_at: Instant,
}

/// Content of the list from an instant until the next snapshot.
#[derive(Debug)]
struct Snapshot {
    taken_at: Instant,
    instances: Vec<LiveInstance>,
}

/// Announced instances and past contents of the list.
#[derive(Debug, Default)]
pub(crate) struct LiveList {
    /// Last announcements by instance name.
    announced: IndexMap<Arc<str>, LiveEntry>,
    /// Snapshots, oldest first; those that can no longer be listed are dropped.
    history: VecDeque<Snapshot>,
}

impl LiveList {
    /// Adds an instance or renews its entry.
    pub(crate) fn announce(&mut self, instance: LiveInstance) {
        let name = Arc::clone(&instance.name);
        let announced_at = Instant::now();
        let renewed = LiveEntry {
            instance,
            announced_at,
        };
        let known = self.announced.insert(name, renewed.clone());
        if known.is_none_or(|known| known.instance != renewed.instance) {
            self.record_snapshot();
        }
    }

    /// Removes an instance.
    pub(crate) fn remove(&mut self, name: &str) {
        self.announced.shift_remove(name);
        self.record_snapshot();
    }

    /// Removes instances that have not been announced for longer than `ttl`.
    pub(crate) fn expire(&mut self, ttl: Duration) {
        let now = Instant::now();
        let before = self.announced.len();
        self.announced
            .retain(|_, entry| now.duration_since(entry.announced_at) <= ttl);
        if self.announced.len() != before {
            self.record_snapshot();
        }
    }

    /// Returns the list as it was `lag` ago.
    pub(crate) fn list(&mut self, lag: Duration) -> Vec<LiveInstance> {
        let Some(as_of) = Instant::now().checked_sub(lag) else {
            return Vec::new();
        };
        while self
            .history
            .get(1)
            .is_some_and(|next| next.taken_at <= as_of)
        {
            self.history.pop_front();
        }
        let Some(listed) = self.history.front() else {
            return Vec::new();
        };
        if listed.taken_at > as_of {
            return Vec::new();
        }
        listed.instances.clone()
    }

    fn record_snapshot(&mut self) {
        let instances = self.announced.values();
        let instances = instances.map(|entry| entry.instance.clone());
        self.history.push_back(Snapshot {
            taken_at: Instant::now(),
            instances: instances.collect(),
        });
    }
}
