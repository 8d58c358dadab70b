//! Requests that were in flight as a target crashed.
//!
//! Such a request is a suspect: it is retried at most once, on a target where
//! no other suspect runs. A request that is implicated twice is quarantined.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Notify, futures::Notified};

use crate::entry::{call::BodyDigest, call::Call};

/// Crashes after which a request is quarantined.
const MAX_CRASHES: usize = 2;

/// Suspects remembered by an instance; the oldest are forgotten first.
const MAX_SUSPECTS: usize = 10_000;

/// Fingerprint of a request: account and digest of what was asked for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Fingerprint {
    account: Arc<str>,
    digest: BodyDigest,
}

/// Suspects of this instance.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    state: Mutex<State>,
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Boots of the targets that crashed while the request ran there.
    crashes: IndexMap<Fingerprint, IndexSet<Arc<str>>>,
    running: HashMap<Arc<str>, u32>,
}

/// Keeps other suspects away from a target until dropped.
#[derive(Debug)]
pub(super) struct SuspectGuard {
    suspects: Arc<Suspects>,
    target: Arc<str>,
}

impl Suspects {
    /// Counts a crash of a target while it ran a request.
    ///
    /// One boot counts once, however many copies of the request ran there.
    /// Returns whether the request is to be quarantined.
    pub(super) fn record_crash(&self, call: &Call, boot: &str) -> bool {
        let mut state = self.lock();
        if state.crashes.len() >= MAX_SUSPECTS {
            state.crashes.shift_remove_index(0);
        }
        let boots = state.crashes.entry(fingerprint(call)).or_default();
        boots.insert(boot.into());
        boots.len() >= MAX_CRASHES
    }

    /// Whether a request was in flight at a crash.
    pub(super) fn is_suspect(&self, call: &Call) -> bool {
        let state = self.lock();
        !state.crashes.is_empty() && state.crashes.contains_key(&fingerprint(call))
    }

    /// Clears a request that ran to its end.
    pub(super) fn clear(&self, call: &Call) {
        let mut state = self.lock();
        if !state.crashes.is_empty() {
            state.crashes.shift_remove(&fingerprint(call));
        }
    }

    /// Targets on which a suspect runs.
    pub(super) fn occupied_targets(&self) -> Vec<Arc<str>> {
        self.lock().running.keys().cloned().collect()
    }

    /// Occupies a target for a suspect, unless another suspect runs there.
    pub(super) fn occupy(self: &Arc<Self>, target: &Arc<str>) -> Option<SuspectGuard> {
        let mut state = self.lock();
        if state.running.contains_key(target) {
            return None;
        }
        state.running.insert(Arc::clone(target), 1);
        Some(SuspectGuard {
            suspects: Arc::clone(self),
            target: Arc::clone(target),
        })
    }

    /// Waits until a suspect has left its target.
    ///
    /// The wait begins with the call, not with the first poll.
    pub(super) fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.suspects.lock().running.remove(&self.target);
        self.suspects.released.notify_waiters();
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint {
        account: Arc::clone(&call.account.full_name),
        digest: call.digest,
    }
}
