//! Tracks suspects, which are requests that were in flight when a target crashed
//! and may have caused the crash.
//!
//! A suspect is retried at most once, and only on a target where no other suspect
//! runs. A request that was in flight at [`MAX_CRASHES`] crashes is quarantined.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Notify, futures::Notified};

use crate::entry::{call::Call, call::RequestDigest};

/// Number of crashes after which a request is quarantined.
const MAX_CRASHES: usize = 2;

/// Maximum number of suspects that an instance tracks. The oldest suspect is
/// removed first.
const MAX_SUSPECTS: usize = 10_000;

/// Identity of a request: its account and the digest of its method, path, query
/// and body.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Fingerprint {
    account: Arc<str>,
    request_digest: RequestDigest,
}

/// Suspects among the requests of this instance.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    state: Mutex<State>,
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// For each suspect, the boot identifiers of the targets that crashed while the
    /// request was in flight there. A target gets a new boot identifier whenever it
    /// starts.
    crashes: IndexMap<Fingerprint, IndexSet<Arc<str>>>,
    /// Targets on which a suspect runs, with the number of suspects, which is always
    /// 1.
    occupied: HashMap<Arc<str>, u32>,
}

/// Reserves a target for one suspect until the guard is dropped.
#[derive(Debug)]
pub(super) struct SuspectGuard {
    suspects: Arc<Suspects>,
    target: Arc<str>,
}

impl Suspects {
    /// Records that a request was in flight when a target crashed.
    ///
    /// A crash counts once, even if several copies of the request were in flight
    /// on the target. Returns whether the request must be quarantined.
    pub(super) fn record_crash(&self, call: &Call, boot: &str) -> bool {
        let mut state = self.lock();
        if state.crashes.len() >= MAX_SUSPECTS {
            state.crashes.shift_remove_index(0);
        }
        let boots = state.crashes.entry(fingerprint(call)).or_default();
        boots.insert(boot.into());
        boots.len() >= MAX_CRASHES
    }

    /// Whether a request was in flight when a target crashed.
    pub(super) fn is_suspect(&self, call: &Call) -> bool {
        let state = self.lock();
        !state.crashes.is_empty() && state.crashes.contains_key(&fingerprint(call))
    }

    /// Removes a request from the suspects after the request has completed.
    pub(super) fn clear(&self, call: &Call) {
        let mut state = self.lock();
        if !state.crashes.is_empty() {
            state.crashes.shift_remove(&fingerprint(call));
        }
    }

    /// Returns the targets on which a suspect runs.
    pub(super) fn occupied_targets(&self) -> Vec<Arc<str>> {
        self.lock().occupied.keys().cloned().collect()
    }

    /// Reserves a target for a suspect. Returns `None` if another suspect runs on
    /// the target.
    pub(super) fn occupy(self: &Arc<Self>, target: &Arc<str>) -> Option<SuspectGuard> {
        let mut state = self.lock();
        if state.occupied.contains_key(target) {
            return None;
        }
        state.occupied.insert(Arc::clone(target), 1);
        Some(SuspectGuard {
            suspects: Arc::clone(self),
            target: Arc::clone(target),
        })
    }

    /// Returns a future that completes when a suspect releases any target.
    ///
    /// A release between this call and the first poll of the future also completes
    /// the future.
    pub(super) fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.suspects.lock().occupied.remove(&self.target);
        self.suspects.released.notify_waiters();
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint {
        account: Arc::clone(&call.account.full_name),
        request_digest: call.request_digest,
    }
}
