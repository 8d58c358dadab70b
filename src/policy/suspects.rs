//! Requests that may crash the targets that run them.
//!
//! A request in flight at a crash is a suspect: it is retried at most once, on
//! a target where no other suspect runs. After a second crash, its fingerprint
//! is quarantined, so that it harms at most two targets.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

/// Crashes after which a fingerprint is quarantined.
const MAX_CRASHES: u32 = 2;

/// What identifies a request that is sent again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint {
    /// Client account.
    pub account: Arc<str>,
    /// SHA-256 of the body.
    pub body_digest: [u8; 32],
}

/// What becomes of a request that was in flight at a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectedRequest {
    /// Request.
    pub request_id: Arc<str>,
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether this is its second crash: it must not run again.
    pub quarantine: bool,
}

#[derive(Clone, Debug)]
struct Running {
    fingerprint: Fingerprint,
    target: Arc<str>,
}

/// Follows requests in flight and the crashes during which they ran.
#[derive(Clone, Debug, Default)]
pub struct SuspectTracker {
    running: IndexMap<Arc<str>, Running>,
    crashes: IndexMap<Fingerprint, u32>,
    quarantined: IndexSet<Fingerprint>,
}

impl SuspectTracker {
    /// Returns whether a request may be sent to a target.
    ///
    /// `assigned` says whether suspects of this instance may run there (see
    /// [`assigned_targets`]).
    #[must_use]
    pub fn may_run(&self, fingerprint: &Fingerprint, target: &str, assigned: bool) -> bool {
        if self.quarantined.contains(fingerprint) {
            return false;
        }
        if !self.is_suspect(fingerprint) {
            return true;
        }
        if !assigned {
            return false;
        }
        for running in self.running.values() {
            if *running.target == *target && self.is_suspect(&running.fingerprint) {
                return false;
            }
        }
        true
    }

    /// Returns whether the fingerprint was in flight at a crash.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.crashes.contains_key(fingerprint)
    }

    /// Returns whether the fingerprint must not run.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantined.contains(fingerprint)
    }

    /// Counts a request that is sent to a target.
    pub fn started(&mut self, request_id: &Arc<str>, fingerprint: Fingerprint, target: &Arc<str>) {
        let running = Running {
            fingerprint,
            target: Arc::clone(target),
        };
        self.running.insert(Arc::clone(request_id), running);
    }

    /// Counts the end of a request whose target went on running, which clears
    /// its suspicion.
    pub fn finished(&mut self, request_id: &str) {
        let Some(running) = self.running.swap_remove(request_id) else {
            return;
        };
        self.crashes.swap_remove(&running.fingerprint);
    }

    /// Counts the end of a request that ran too little to clear it, such as
    /// one that was cancelled.
    pub fn cancelled(&mut self, request_id: &str) {
        self.running.swap_remove(request_id);
    }

    /// Counts a crash of a target, and returns the requests in flight there.
    ///
    /// A planned stop is no crash.
    pub fn crashed(&mut self, target: &str) -> Vec<SuspectedRequest> {
        let mut suspected = Vec::new();
        let mut kept = IndexMap::new();
        for (request_id, running) in std::mem::take(&mut self.running) {
            if *running.target != *target {
                kept.insert(request_id, running);
                continue;
            }
            let quarantine = self.record_crash(&running.fingerprint);
            suspected.push(SuspectedRequest {
                request_id,
                fingerprint: running.fingerprint,
                quarantine,
            });
        }
        self.running = kept;
        suspected
    }

    /// Quarantines a fingerprint, such as one that a peer found.
    pub fn quarantine(&mut self, fingerprint: Fingerprint) {
        self.crashes.swap_remove(&fingerprint);
        self.quarantined.insert(fingerprint);
    }

    /// Forgets a fingerprint whose quarantine has expired.
    pub fn release(&mut self, fingerprint: &Fingerprint) {
        self.quarantined.swap_remove(fingerprint);
    }

    fn record_crash(&mut self, fingerprint: &Fingerprint) -> bool {
        let crashes = self.crashes.entry(fingerprint.clone()).or_default();
        *crashes += 1;
        if *crashes < MAX_CRASHES {
            return false;
        }
        self.quarantine(fingerprint.clone());
        true
    }
}

/// Returns the targets on which an instance may run suspects.
///
/// Targets are dealt out to the live instances in order, so that suspects of
/// two instances don't meet on a target and share the blame for a crash.
#[must_use]
pub fn assigned_targets<'a>(
    instance: &str,
    instances: &[Arc<str>],
    targets: &'a [Arc<str>],
) -> Vec<&'a Arc<str>> {
    let mut sorted_instances: Vec<&str> = instances.iter().map(AsRef::as_ref).collect();
    sorted_instances.sort_unstable();
    let mut sorted_targets: Vec<&Arc<str>> = targets.iter().collect();
    sorted_targets.sort_unstable();
    let Ok(rank) = sorted_instances.binary_search(&instance) else {
        return Vec::new();
    };
    let count = sorted_instances.len();
    sorted_targets
        .into_iter()
        .skip(rank)
        .step_by(count)
        .collect()
}
