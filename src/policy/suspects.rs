//! Quarantine of requests that crash the targets that run them.
//!
//! A request that was in flight on a target when the target crashed is a suspect.
//! A suspect is retried at most once, on a target where no other suspect runs, so
//! that a second crash can be attributed to the suspect. After the second crash,
//! the request's fingerprint is quarantined, so that repeated requests with this
//! fingerprint are refused. A request thus crashes at most two targets.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

/// Number of crashes after which a fingerprint is quarantined.
const MAX_CRASHES: u32 = 2;

/// Identity of a request that stays the same when its caller repeats it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint {
    /// Client account that sent the request.
    pub account: Arc<str>,
    /// SHA-256 digest of the body.
    pub body_digest: [u8; 32],
}

/// A request that was in flight on a target when the target crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectedRequest {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Fingerprint by which a repeated request is recognized.
    pub fingerprint: Fingerprint,
    /// Whether the request's fingerprint is now quarantined, since this was its
    /// second crash.
    pub is_quarantined: bool,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    fingerprint: Fingerprint,
    target: Arc<str>,
}

/// Tracks requests in flight, and the crashes at which each fingerprint was in
/// flight.
#[derive(Clone, Debug, Default)]
pub struct SuspectTracker {
    /// Requests in flight, by request identifier.
    running: IndexMap<Arc<str>, RunningRequest>,
    /// Number of crashes at which each suspect was in flight.
    crashes: IndexMap<Fingerprint, u32>,
    quarantined: IndexSet<Fingerprint>,
}

impl SuspectTracker {
    /// Returns whether a request may be sent to a target.
    ///
    /// `is_assigned` is whether the target is one of those on which this instance may
    /// run suspects (see [`assigned_targets`]).
    #[must_use]
    pub fn may_run(&self, fingerprint: &Fingerprint, target: &str, is_assigned: bool) -> bool {
        if self.quarantined.contains(fingerprint) {
            return false;
        }
        if !self.is_suspect(fingerprint) {
            return true;
        }
        if !is_assigned {
            return false;
        }
        for running in self.running.values() {
            if *running.target == *target && self.is_suspect(&running.fingerprint) {
                return false;
            }
        }
        true
    }

    /// Returns whether a request with the fingerprint was in flight at a crash
    /// and none has finished since.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.crashes.contains_key(fingerprint)
    }

    /// Returns whether requests with the fingerprint are quarantined and must not
    /// run.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantined.contains(fingerprint)
    }

    /// Records a request that is sent to a target.
    pub fn record_start(
        &mut self,
        request_id: &Arc<str>,
        fingerprint: Fingerprint,
        target: &Arc<str>,
    ) {
        let running = RunningRequest {
            fingerprint,
            target: Arc::clone(target),
        };
        self.running.insert(Arc::clone(request_id), running);
    }

    /// Records that a request has ended without a crash of its target. The request's
    /// fingerprint is no longer suspected.
    pub fn record_finish(&mut self, request_id: &str) {
        let Some(running) = self.running.swap_remove(request_id) else {
            return;
        };
        self.crashes.swap_remove(&running.fingerprint);
    }

    /// Records the end of a request that did not run long enough to show that it
    /// doesn't crash targets, for example because it was cancelled.
    pub fn record_cancellation(&mut self, request_id: &str) {
        self.running.swap_remove(request_id);
    }

    /// Records a crash of a target and returns the requests that were in flight
    /// on it.
    ///
    /// Must not be called for a planned stop.
    pub fn record_crash(&mut self, target: &str) -> Vec<SuspectedRequest> {
        let mut suspected = Vec::new();
        let mut kept = IndexMap::new();
        for (request_id, running) in std::mem::take(&mut self.running) {
            if *running.target != *target {
                kept.insert(request_id, running);
                continue;
            }
            let is_quarantined = self.count_crash(&running.fingerprint);
            suspected.push(SuspectedRequest {
                request_id,
                fingerprint: running.fingerprint,
                is_quarantined,
            });
        }
        self.running = kept;
        suspected
    }

    /// Quarantines a fingerprint, for example one that a peer has quarantined.
    pub fn quarantine(&mut self, fingerprint: Fingerprint) {
        self.crashes.swap_remove(&fingerprint);
        self.quarantined.insert(fingerprint);
    }

    /// Ends the quarantine of a fingerprint, after the quarantine has expired.
    pub fn release(&mut self, fingerprint: &Fingerprint) {
        self.quarantined.swap_remove(fingerprint);
    }

    /// Counts a crash at which a fingerprint was in flight; returns whether the
    /// fingerprint is now quarantined.
    fn count_crash(&mut self, fingerprint: &Fingerprint) -> bool {
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
/// The sorted targets are assigned to the sorted live `instances` in turn. Suspects
/// of two instances thus never run on the same target, where it would be unknown
/// which of them caused a crash.
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
