//! Quarantine of requests that crash the targets that run them, for requests that are
//! recognized when their callers repeat them.

use std::sync::Arc;

use indexmap::IndexMap;

use super::crash_history::CrashHistory;

/// Number of crashes after which a request is quarantined that runs apart from other
/// suspects.
pub const MAX_CRASHES: usize = 2;

/// Identity of a request that stays the same when its caller repeats it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint {
    /// Client account that sent the request.
    pub account: Arc<str>,
    /// SHA-256 digest of the request.
    pub body_digest: [u8; 32],
}

/// A request that was in flight on a target when the target crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectedRequest {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Fingerprint by which a repeated request is recognized.
    pub fingerprint: Fingerprint,
    /// Whether requests with the fingerprint are now quarantined.
    pub is_quarantined: bool,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    fingerprint: Fingerprint,
    target: Arc<str>,
}

/// Tracks requests in flight, and the crashes at which each fingerprint was in
/// flight.
///
/// A suspect is retried at most once, on a target where no other suspect runs, so
/// that a second crash can be attributed to it. A request thus crashes at most two
/// targets.
#[derive(Clone, Debug, Default)]
pub struct SuspectTracker {
    /// Requests in flight, by request identifier.
    running: IndexMap<Arc<str>, RunningRequest>,
    history: CrashHistory<Fingerprint>,
    /// Number of crashes so far; distinguishes two crashes of one target.
    crashes: u64,
}

impl SuspectTracker {
    /// Returns whether a request may be sent to a target.
    ///
    /// `is_assigned` is whether the target is one of those on which this instance may
    /// run suspects (see [`assigned_targets`]).
    #[must_use]
    pub fn may_run(&self, fingerprint: &Fingerprint, target: &str, is_assigned: bool) -> bool {
        if self.is_quarantined(fingerprint) {
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
        self.history.crash_count(fingerprint) > 0
    }

    /// Returns whether requests with the fingerprint are quarantined and must not
    /// run.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.history.crash_count(fingerprint) >= MAX_CRASHES
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
        self.history.clear(&[running.fingerprint]);
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
        self.crashes += 1;
        let boot = format!("{target}/{}", self.crashes).into();
        let mut suspected = Vec::new();
        let mut kept = IndexMap::new();
        for (request_id, running) in std::mem::take(&mut self.running) {
            if *running.target != *target {
                kept.insert(request_id, running);
                continue;
            }
            let fingerprint = running.fingerprint;
            self.history
                .record_crash(&boot, std::slice::from_ref(&fingerprint), 0);
            suspected.push(SuspectedRequest {
                request_id,
                is_quarantined: self.is_quarantined(&fingerprint),
                fingerprint,
            });
        }
        self.running = kept;
        suspected
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
