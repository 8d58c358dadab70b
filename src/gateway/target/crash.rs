//! Detection of crashed targets, and of the calls that were in flight on them.
//!
//! A target has crashed if an answer broke off and the target refuses a new
//! connection, unless it was going to stop. If it still accepts connections a moment later,
//! only the connection of the answer was lost. Crashes are reported to peers, and calls that crash targets are refused (see
//! [`crate::policy::crash_history`]).

use std::{sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep};

use crate::{
    call::{Call, Prompt},
    gateway::{
        state::State,
        target::{
            loads::AttemptOutcome,
            pool::{self, TargetBoot},
        },
    },
    peer::SentFingerprint,
    roster::Target,
};

/// Delays before a target that accepted a connection is examined again, as a process that
/// ends may close the connections of its answers before the socket that it listens on.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// Time after which the examination of a target has ended: that of the delays and of the
/// connections between them.
const MAX_EXAMINATION: Duration = Duration::from_secs(4);

/// A call that was sent to a target and is not answered completely.
#[derive(Debug)]
struct CallInFlight {
    boot: TargetBoot,
    call: Arc<Call>,
    sent_at: Instant,
    /// Whether the target was going to stop.
    is_stopping: bool,
    /// When the answer broke off. The call is then kept until it is known whether
    /// the target has crashed.
    broken_at: Option<Instant>,
}

impl CallInFlight {
    /// Returns whether the answer broke off so lately that the target may still be examined.
    fn may_be_examined(&self) -> bool {
        self.broken_at
            .is_some_and(|broken_at| broken_at.elapsed() < MAX_EXAMINATION)
    }
}

/// Calls of this instance that are in flight on targets.
#[derive(Debug, Default)]
pub(in crate::gateway) struct CallsInFlight {
    calls: IndexMap<u64, CallInFlight>,
    last_number: u64,
    /// Targets that are going to be examined again.
    examined: IndexSet<TargetBoot>,
}

impl CallsInFlight {
    fn insert(&mut self, target: &Target, call: Arc<Call>) -> u64 {
        self.last_number += 1;
        let call = CallInFlight {
            boot: TargetBoot::from(target),
            call,
            sent_at: Instant::now(),
            is_stopping: target.state.is_draining(),
            broken_at: None,
        };
        self.calls.insert(self.last_number, call);
        self.last_number
    }

    /// Removes a call, unless its answer broke off.
    fn remove(&mut self, number: u64) {
        if self
            .calls
            .get(&number)
            .is_some_and(|call| call.broken_at.is_none())
        {
            self.calls.swap_remove(&number);
        }
    }

    fn mark_broken(&mut self, number: u64) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.broken_at = Some(Instant::now());
        }
    }

    /// Records that a target is going to stop, and thus that answers which break off from now
    /// on are not due to a crash. The target may be unknown by the time it is examined.
    pub(in crate::gateway) fn mark_stopping(&mut self, boot: &TargetBoot) {
        for call in self.calls.values_mut() {
            if call.boot == *boot {
                call.is_stopping = true;
            }
        }
    }

    fn has_broken(&self, boot: &TargetBoot) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| call.broken_at.is_some() && call.boot == *boot)
    }

    fn is_stopping(&self, boot: &TargetBoot) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| call.is_stopping && call.boot == *boot)
    }

    /// Forgets the calls whose answers broke off, because the target has not crashed.
    fn discard_broken(&mut self, boot: &TargetBoot) {
        self.calls
            .retain(|_, call| call.broken_at.is_none() || call.boot != *boot);
    }

    /// Forgets the calls whose answers broke off some time ago and whose targets are no longer
    /// known.
    pub(in crate::gateway) fn discard_unknown<F>(&mut self, is_known: F)
    where
        F: Fn(&str) -> bool,
    {
        self.calls.retain(|_, call| {
            call.broken_at.is_none() || call.may_be_examined() || is_known(call.boot.id())
        });
    }

    /// Removes and returns all calls in flight on a target.
    fn take(&mut self, boot: &TargetBoot) -> Vec<CallInFlight> {
        let mut taken = Vec::new();
        for (number, call) in std::mem::take(&mut self.calls) {
            if call.boot == *boot {
                taken.push(call);
                continue;
            }
            self.calls.insert(number, call);
        }
        taken
    }
}

/// Counts a call as in flight on a target until the guard is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct CallGuard {
    state: Arc<State>,
    number: u64,
}

impl CallGuard {
    pub(in crate::gateway) fn new(state: &Arc<State>, target: &Target, call: &Arc<Call>) -> Self {
        Self {
            number: state.calls_in_flight().insert(target, call.clone()),
            state: state.clone(),
        }
    }

    /// Records that the target has answered the call completely, and thus that the call
    /// does not crash targets.
    pub(in crate::gateway) fn record_answer(&self, call: &Call) {
        let Some(peers) = self.state.peers() else {
            return;
        };
        if peers.report_answer(fingerprints(call)) {
            self.state.quarantine_changed.notify_one();
        }
    }

    /// Records that the answer broke off. The call is kept until [`examine`] has
    /// examined the target.
    pub(in crate::gateway) fn mark_broken(&self) {
        self.state.calls_in_flight().mark_broken(self.number);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.state.calls_in_flight().remove(self.number);
    }
}

/// Examines whether a target has crashed, after an answer from it broke off. Returns after
/// the first look at it.
///
/// A target that was about to stop does not count as crashed.
pub(in crate::gateway) async fn examine(state: &Arc<State>, target: &Arc<Target>) {
    let boot = TargetBoot::from(&**target);
    if !state.calls_in_flight().has_broken(&boot) {
        return;
    }
    // The caller of the call may leave meanwhile, which drops the call but must not end the
    // examination: it removes the call from the list of calls in flight.
    let first_look = tokio::spawn(look(state.clone(), target.clone(), boot));
    let _ = first_look.await;
}

/// Looks at a target for the first time. If it has not ended, it is examined again.
async fn look(state: Arc<State>, target: Arc<Target>, boot: TargetBoot) {
    if has_ended(&state, &target, &boot).await {
        return;
    }
    if state.calls_in_flight().examined.insert(boot.clone()) {
        tokio::spawn(examine_again(state, target, boot));
    }
}

async fn examine_again(state: Arc<State>, target: Arc<Target>, boot: TargetBoot) {
    for delay in REPEAT_DELAYS {
        sleep(delay).await;
        if has_ended(&state, &target, &boot).await {
            break;
        }
    }
    let mut calls = state.calls_in_flight();
    calls.examined.swap_remove(&boot);
    calls.discard_broken(&boot);
}

/// Returns whether a target has crashed or is going to stop. Records a crash.
async fn has_ended(state: &State, target: &Arc<Target>, boot: &TargetBoot) -> bool {
    // The entry of a crashed target may already be gone from the platform's list.
    if state.announced_leaving(target) || state.calls_in_flight().is_stopping(boot) {
        state.calls_in_flight().discard_broken(boot);
        return true;
    }
    if !pool::refuses_connections(target.address).await {
        return false;
    }
    let calls = state.calls_in_flight().take(boot);
    if !calls.is_empty() {
        record_crash(state, target, &calls);
    }
    true
}

fn record_crash(state: &State, target: &Arc<Target>, calls: &[CallInFlight]) {
    tracing::warn!(
        target = &*target.id,
        boot = target.started_at_unix_ms,
        in_flight = calls.len(),
        "gateway: target crashed"
    );
    metrics::counter!("gateway_target_crashes_total").increment(1);
    for CallInFlight { call, .. } in calls {
        tracing::info!(
            request = &*call.id,
            target = &*target.id,
            account = call.account_name(),
            route = &*call.route.name,
            parts = shared_part_ids(call),
            "gateway: request was in flight as its target crashed"
        );
    }
    if let Some(peers) = state.peers() {
        let boot = format!("{}@{}", target.id, target.started_at_unix_ms).into();
        let in_flight = sent_fingerprints(calls);
        if peers.report_crash(&boot, &in_flight) {
            state.quarantine_changed.notify_one();
        }
    }
    let now_ms = state.now_ms();
    let mut loads = state.loads();
    loads.observe(&target.id, AttemptOutcome::Unreachable, now_ms);
}

impl State {
    /// Returns the time for which a call is refused because it crashes targets, or `None`
    /// if it may run.
    pub(in crate::gateway) fn quarantine_left(&self, call: &Call) -> Option<Duration> {
        let peers = self.peers().filter(|peers| peers.has_suspects())?;
        peers.quarantine_left(fingerprints(call))
    }
}

/// Returns the fingerprints of a call: one of the request, which stays the same when the
/// caller repeats it, and one of each prompt part that other requests may share.
fn fingerprints(call: &Call) -> &[u64] {
    call.fingerprints.get_or_init(|| compute_fingerprints(call))
}

fn compute_fingerprints(call: &Call) -> Vec<u64> {
    let request = [
        call.account_name().as_bytes(),
        call.method.as_str().as_bytes(),
        call.path.as_str().as_bytes(),
        &call.body,
    ];
    let mut fingerprints = vec![fingerprint(&request)];
    let parts = call.prompt.iter().flat_map(Prompt::shared_parts);
    for part in parts {
        fingerprints.push(fingerprint(&[
            call.service.as_bytes(),
            &part.id.to_le_bytes(),
        ]));
    }
    fingerprints
}

/// Returns the first 64 bits of the SHA-256 digest of several values.
fn fingerprint(values: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for value in values {
        hasher.update((value.len() as u64).to_le_bytes());
        hasher.update(value);
    }
    let digest: [u8; 32] = hasher.finalize().into();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}

/// Returns the fingerprints of several calls, each with the age of its latest call.
fn sent_fingerprints(calls: &[CallInFlight]) -> Vec<SentFingerprint> {
    let mut ages_ms: IndexMap<u64, u32> = IndexMap::new();
    for sent in calls {
        let age_ms = sent.sent_at.elapsed().as_millis() as u32;
        for &fingerprint in fingerprints(&sent.call) {
            let latest_ms = ages_ms.entry(fingerprint).or_insert(age_ms);
            *latest_ms = age_ms.min(*latest_ms);
        }
    }
    let mut in_flight = Vec::with_capacity(ages_ms.len());
    for (fingerprint, age_ms) in ages_ms {
        in_flight.push(SentFingerprint {
            fingerprint,
            age_ms,
        });
    }
    in_flight
}

/// Returns the identifiers of the prompt parts that other requests may share.
fn shared_part_ids(call: &Call) -> String {
    let Some(prompt) = &call.prompt else {
        return String::new();
    };
    let mut ids = Vec::new();
    for part in prompt.shared_parts() {
        ids.push(format!("{:x}", part.id));
    }
    ids.join(",")
}
