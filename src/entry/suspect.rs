//! Tracks suspects, which are requests that were in flight when a target crashed
//! and may have caused the crash.
//!
//! A suspect is retried at most once, and only on a target where no other suspect
//! runs. A request that was in flight at [`MAX_CRASHES`] crashes is quarantined.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::{Notify, futures::Notified};

use crate::{
    entry::call::Call,
    policy::{
        crash_history::CrashHistory,
        suspects::{Fingerprint, MAX_CRASHES},
    },
    sync,
};

/// Time of all crashes: the ledger, not this instance, decides when a quarantine ends.
const CRASH_TIME_MS: u64 = 0;

/// Suspects among the requests of this instance.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    state: Mutex<State>,
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Crashes at which each suspect was in flight. A target gets a new boot identifier
    /// whenever it starts.
    crashes: CrashHistory<Fingerprint>,
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
        let fingerprint = fingerprint(call);
        let fingerprints = std::slice::from_ref(&fingerprint);
        state
            .crashes
            .record_crash(&boot.into(), fingerprints, CRASH_TIME_MS);
        state.crashes.crash_count(&fingerprint) >= MAX_CRASHES
    }

    /// Whether a request was in flight when a target crashed.
    pub(super) fn is_suspect(&self, call: &Call) -> bool {
        let state = self.lock();
        !state.crashes.is_empty() && state.crashes.crash_count(&fingerprint(call)) > 0
    }

    /// Removes a request from the suspects after the request has completed.
    pub(super) fn clear(&self, call: &Call) {
        let mut state = self.lock();
        if !state.crashes.is_empty() {
            state.crashes.clear(&[fingerprint(call)]);
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
        sync::lock(&self.state)
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
        body_digest: call.request_digest,
    }
}
