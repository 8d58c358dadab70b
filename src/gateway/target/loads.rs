//! Load of each target across all instances, and the outcomes of recent requests to
//! the target.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    peer::{MAX_MESH_INSTANCES, PeerHandle, TargetLoad},
    policy::{
        breaker::{Breaker, BreakerSettings, Observation},
        cache_locality::CachedChains,
        routing::Availability,
    },
};

/// Weight of the latest request's outcome in the moving average of a target's
/// failure rate.
const FAILURE_GAIN: f64 = 0.15;

/// Time for which a target gets no requests after its first refusal, in
/// milliseconds.
const MIN_BACKOFF_MS: u64 = 100;

/// Maximum time for which a target gets no requests after a refusal, in
/// milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Maximum number of times the backoff is doubled; keeps the shift in `backoff_ms`
/// from overflowing.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Resolution of load reports between peers, in units per request.
const LOAD_UNITS_PER_REQUEST: f64 = 64.0;

/// Time constant of the mean loads, in milliseconds. Instances of a large fleet
/// report mean loads to their peers, because the current load changes faster than
/// it can be reported.
const MEAN_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Maximum age at which a target's load report is used, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 250;

/// Weight of the latest prompt in the moving average of the tokens that a target
/// has to prefill for a prompt.
const PROMPT_TOKENS_GAIN: f64 = 0.1;

/// Load that this instance has in flight on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::gateway) struct OwnLoad {
    /// Requests that this instance has sent and whose answers are not complete.
    pub(in crate::gateway) requests: u32,
    /// Tokens of those prompts in flight whose prefill is not complete.
    pub(in crate::gateway) prefill_tokens: u64,
}

/// Load that all instances have in flight on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::gateway) struct FleetLoad {
    /// Requests in flight, estimated as a mean if peers report means.
    pub(in crate::gateway) requests: f64,
    /// Prompt tokens waiting for prefill, estimated if the target reported only its
    /// number of queued requests.
    pub(in crate::gateway) queued_tokens: f64,
}

impl FleetLoad {
    /// Converts the load to the units of load reports between peers.
    fn target_load(&self) -> TargetLoad {
        TargetLoad {
            requests: (self.requests * LOAD_UNITS_PER_REQUEST).round() as u32,
            tokens: self.queued_tokens.round() as u64,
            blocks: 0,
        }
    }

    /// Moves this mean towards the current load by the fraction `gain`.
    fn move_towards(&mut self, own: OwnLoad, gain: f64) {
        self.requests += gain * (f64::from(own.requests) - self.requests);
        self.queued_tokens += gain * (own.prefill_tokens as f64 - self.queued_tokens);
    }
}

impl From<OwnLoad> for FleetLoad {
    fn from(own: OwnLoad) -> Self {
        Self {
            requests: f64::from(own.requests),
            queued_tokens: own.prefill_tokens as f64,
        }
    }
}

/// Load that a target reported about itself.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Report {
    /// Running requests.
    pub(in crate::gateway) running: u32,
    /// Queued requests.
    pub(in crate::gateway) waiting: u32,
    /// When the report was requested, in milliseconds since the instance started.
    pub(in crate::gateway) requested_at_ms: u64,
}

/// Load and recent request outcomes of one target as seen by this instance.
#[derive(Clone, Debug)]
struct TargetStatus {
    /// Load that this instance has in flight on the target.
    own: OwnLoad,
    /// Mean of `own` over [`MEAN_TIME_CONSTANT_MS`].
    mean: FleetLoad,
    /// Latest load report, which covers the requests of all instances.
    report: Option<Report>,
    /// Mean tokens that the target has to prefill for a prompt.
    prompt_tokens: f64,
    breaker: Breaker,
    /// Moving average of the share of requests that were not answered successfully.
    failure_rate: f64,
    /// Number of consecutive refusals.
    refusals: u32,
    /// Time until which the target gets no requests because it refused one, in
    /// milliseconds since the instance started.
    backoff_until_ms: u64,
}

impl Default for TargetStatus {
    fn default() -> Self {
        Self {
            own: OwnLoad::default(),
            mean: FleetLoad::default(),
            report: None,
            prompt_tokens: 0.0,
            breaker: Breaker::new(BreakerSettings::default()),
            failure_rate: 0.0,
            refusals: 0,
            backoff_until_ms: 0,
        }
    }
}

impl TargetStatus {
    /// Counts consecutive refusals and sets the backoff, which doubles with each
    /// refusal. A target refuses requests while it is full, changes its role or
    /// drains.
    fn update_refusals(&mut self, refused: bool, now_ms: u64) {
        if !refused {
            self.refusals = 0;
            return;
        }
        self.refusals += 1;
        self.backoff_until_ms = now_ms + self.backoff_ms();
    }

    /// Returns whether no backoff keeps requests from the target.
    fn may_send(&self, now_ms: u64) -> bool {
        self.refusals == 0 || now_ms >= self.backoff_until_ms
    }

    /// Records that a request is sent. If the target's last answer was a refusal, the
    /// backoff restarts, so that the target gets only one request per backoff period
    /// until it accepts one.
    fn record_send(&mut self, now_ms: u64) {
        if self.refusals > 0 {
            self.backoff_until_ms = now_ms + self.backoff_ms();
        }
        self.breaker.allow(now_ms);
    }

    /// Returns the load from the target's latest report, if the report is no older
    /// than [`MAX_REPORT_AGE_MS`].
    fn fresh_load(&self, now_ms: u64) -> Option<FleetLoad> {
        let report = self.report?;
        let is_fresh = now_ms.saturating_sub(report.requested_at_ms) <= MAX_REPORT_AGE_MS;
        is_fresh.then(|| FleetLoad {
            requests: f64::from(report.running + report.waiting),
            queued_tokens: f64::from(report.waiting) * self.prompt_tokens,
        })
    }

    fn backoff_ms(&self) -> u64 {
        let doubled = MIN_BACKOFF_MS << (self.refusals - 1).min(MAX_BACKOFF_DOUBLINGS);
        doubled.min(MAX_BACKOFF_MS)
    }
}

/// Loads and recent request outcomes of all targets as seen by this instance.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Loads {
    /// Load and outcomes by target identifier.
    targets: IndexMap<Arc<str>, TargetStatus>,
    peers: Option<PeerHandle>,
    /// Whether this instance reports mean loads to its peers instead of each change.
    reports_means: bool,
    /// Prompt parts that each engine is expected to have cached.
    pub(in crate::gateway) chains: CachedChains,
}

impl Loads {
    /// Sets the handle through which loads are exchanged with peers.
    pub(in crate::gateway) fn set_peers(&mut self, peers: PeerHandle) {
        self.peers = Some(peers);
    }

    /// Returns the load that all instances have in flight on a target.
    ///
    /// The load is taken from the target's own report if the report is fresh, and
    /// is at least the load of this instance. Otherwise the load of this instance
    /// and the loads reported by peers are added up.
    pub(in crate::gateway) fn in_flight(&self, target: &str, now_ms: u64) -> FleetLoad {
        let own = FleetLoad::from(self.own_load(target));
        let status = self.targets.get(target);
        let reported = status.and_then(|status| status.fresh_load(now_ms));
        if let Some(reported) = reported {
            return FleetLoad {
                requests: reported.requests.max(own.requests),
                queued_tokens: reported.queued_tokens.max(own.queued_tokens),
            };
        }
        let peers = match &self.peers {
            Some(peers) => peers.peer_loads(target),
            None => TargetLoad::default(),
        };
        FleetLoad {
            requests: own.requests + f64::from(peers.requests) / LOAD_UNITS_PER_REQUEST,
            queued_tokens: own.queued_tokens + peers.tokens as f64,
        }
    }

    /// Stores a target's latest load report.
    pub(in crate::gateway) fn set_report(&mut self, target: &Arc<str>, report: Report) {
        self.status_mut(target).report = Some(report);
    }

    /// Returns whether a target's load report is fresh.
    pub(in crate::gateway) fn has_fresh_report(&self, target: &str, now_ms: u64) -> bool {
        let status = self.targets.get(target);
        status.is_some_and(|status| status.fresh_load(now_ms).is_some())
    }

    /// Updates the mean loads, `elapsed_ms` after the previous update. Reports the
    /// means to peers if there are too many `instances` to report each change.
    pub(in crate::gateway) fn report_means(&mut self, elapsed_ms: f64, instances: usize) {
        self.reports_means = instances > MAX_MESH_INSTANCES;
        let gain = 1.0 - (-elapsed_ms / MEAN_TIME_CONSTANT_MS).exp();
        for (target, status) in &mut self.targets {
            status.mean.move_towards(status.own, gain);
            let Some(peers) = self.peers.as_ref().filter(|_| self.reports_means) else {
                continue;
            };
            peers.report_load(target, status.mean.target_load());
        }
    }

    /// Returns the load that this instance has in flight on a target.
    pub(in crate::gateway) fn own_load(&self, target: &str) -> OwnLoad {
        self.targets
            .get(target)
            .map_or_else(OwnLoad::default, |status| status.own)
    }

    /// Returns the share of a target's recent requests that were not answered
    /// successfully, from 0 to 1.
    pub(in crate::gateway) fn failure_rate(&self, target: &str) -> f64 {
        self.targets
            .get(target)
            .map_or(0.0, |status| status.failure_rate)
    }

    /// Returns whether neither a backoff nor the circuit breaker keeps requests
    /// from a target.
    pub(in crate::gateway) fn allows(&self, target: &str, now_ms: u64) -> bool {
        let status = self.targets.get(target);
        status.is_none_or(|status| status.may_send(now_ms) && status.breaker.would_allow(now_ms))
    }

    /// Returns whether a target's circuit breaker is closed; this holds for
    /// targets without any requests yet.
    pub(in crate::gateway) fn is_reachable(&self, target: &str) -> bool {
        let status = self.targets.get(target);
        status.is_none_or(|status| status.breaker.availability() == Availability::Live)
    }

    /// Records that a request is about to be sent to a target.
    pub(in crate::gateway) fn record_send(&mut self, target: &Arc<str>, now_ms: u64) {
        self.status_mut(target).record_send(now_ms);
    }

    /// Records the outcome of a request to a target.
    pub(in crate::gateway) fn observe(
        &mut self,
        target: &Arc<str>,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let jitter = rand::random();
        let status = self.status_mut(target);
        status.update_refusals(outcome == AttemptOutcome::Refused, now_ms);
        let failed = f64::from(u8::from(outcome != AttemptOutcome::Answered));
        status.failure_rate += FAILURE_GAIN * (failed - status.failure_rate);
        let observation = match outcome {
            AttemptOutcome::Answered => Observation::Success {
                predicted_ms: 0.0,
                actual_ms: 0.0,
            },
            // A target that refuses has not crashed.
            AttemptOutcome::Refused => Observation::Overload,
            AttemptOutcome::Failed if status.breaker.is_probing() => Observation::Crash,
            AttemptOutcome::Failed => return,
            AttemptOutcome::Unreachable => Observation::Crash,
            AttemptOutcome::TimedOut => Observation::Timeout,
        };
        status.breaker.record(observation, now_ms, jitter);
    }

    /// Removes targets for which `keep` returns false, unless this instance has
    /// requests in flight on them.
    pub(in crate::gateway) fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        let chains = &mut self.chains;
        self.targets.retain(|target, status| {
            let kept = keep(target) || status.own.requests > 0;
            if !kept {
                chains.remove_engine(target);
            }
            kept
        });
    }

    /// Changes the load of this instance on a target, and reports the new load to
    /// peers unless this instance reports means.
    pub(in crate::gateway) fn update_own_load<F>(&mut self, target: &Arc<str>, change: F)
    where
        F: FnOnce(&mut OwnLoad),
    {
        let own = &mut self.status_mut(target).own;
        change(own);
        let load = FleetLoad::from(*own);
        if self.reports_means {
            return;
        }
        if let Some(peers) = &self.peers {
            peers.report_load(target, load.target_load());
        }
    }

    /// Adds a prompt to the mean tokens that a target has to prefill for one.
    pub(in crate::gateway) fn record_prompt(&mut self, target: &Arc<str>, prefill_tokens: u64) {
        let mean = &mut self.status_mut(target).prompt_tokens;
        *mean += PROMPT_TOKENS_GAIN * (prefill_tokens as f64 - *mean);
    }

    fn status_mut(&mut self, target: &Arc<str>) -> &mut TargetStatus {
        self.targets.entry(target.clone()).or_default()
    }
}

/// Outcome of a request to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::gateway) enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target answered with a server error, or its answer was incomplete or
    /// invalid.
    Failed,
    /// The target refused the request without running it.
    Refused,
    /// The target could not be reached.
    Unreachable,
    /// The target did not answer in time.
    TimedOut,
}
