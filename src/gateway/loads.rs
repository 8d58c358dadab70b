//! What is in flight on each target, and how targets fared.

use std::sync::Arc;

use indexmap::IndexMap;

use super::state::State;
use crate::{
    peer::{MAX_MESH_INSTANCES, PeerHandle, TargetLoad},
    policy::{
        breaker::{Breaker, BreakerSettings, Observation},
        homes::CachedChains,
        routing::Availability,
    },
};

/// Weight of the newest outcome in a target's failure rate.
const FAILURE_GAIN: f64 = 0.15;

/// Time for which a target is passed over after a first refusal.
const MIN_BACKOFF_MS: u64 = 100;

/// Longest time for which a target is passed over after a refusal.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Refusals after which that time is not doubled any more.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Parts of a request in which peers tell each other of loads.
const LOAD_UNITS_PER_REQUEST: f64 = 64.0;

/// Time over which the loads that a large fleet's instances tell are means, in
/// milliseconds: what is in flight changes faster than it can be told.
const MEAN_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Age from which on a target's report counts no more, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 250;

/// Weight of the newest prompt in the mean of what a target has to read.
const PROMPT_TOKENS_GAIN: f64 = 0.1;

/// What this instance has in flight on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct InFlight {
    /// Requests.
    pub(super) requests: u32,
    /// Prompt tokens that wait for their prefill.
    pub(super) prefill_tokens: u64,
}

/// What all instances have in flight on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct FleetLoad {
    /// Requests.
    pub(super) requests: f64,
    /// Prompt tokens that wait to be read.
    pub(super) queued_tokens: f64,
}

impl FleetLoad {
    /// Returns the load in the units in which peers tell it.
    fn to_peer_load(&self) -> TargetLoad {
        TargetLoad {
            requests: (self.requests * LOAD_UNITS_PER_REQUEST).round() as u32,
            tokens: self.queued_tokens.round() as u64,
            blocks: 0,
        }
    }

    /// Moves a part of the way to what is in flight.
    fn follow(&mut self, own: InFlight, gain: f64) {
        self.requests += gain * (f64::from(own.requests) - self.requests);
        self.queued_tokens += gain * (own.prefill_tokens as f64 - self.queued_tokens);
    }
}

impl From<InFlight> for FleetLoad {
    fn from(own: InFlight) -> Self {
        Self {
            requests: f64::from(own.requests),
            queued_tokens: own.prefill_tokens as f64,
        }
    }
}

/// What a target said of its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    /// Requests that run.
    pub(super) running: u32,
    /// Requests that wait.
    pub(super) waiting: u32,
    /// When it was asked.
    pub(super) requested_at_ms: u64,
}

/// One target as this instance sees it.
#[derive(Clone, Debug)]
struct TargetStatus {
    own: InFlight,
    /// Mean of what is in flight.
    mean: FleetLoad,
    /// Newest report of what all instances have in flight.
    report: Option<Report>,
    /// Mean tokens that a prompt has to read here.
    prompt_tokens: f64,
    breaker: Breaker,
    failure_rate: f64,
    /// Refusals since the last answer.
    refusals: u32,
    /// Until when the target is passed over, as it refused requests.
    backoff_until_ms: u64,
}

impl Default for TargetStatus {
    fn default() -> Self {
        Self {
            own: InFlight::default(),
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
    /// Passes a target over for a time that doubles with each refusal: it is
    /// full, changes its role, or leaves.
    fn update_refusals(&mut self, refused: bool, now_ms: u64) {
        if !refused {
            self.refusals = 0;
            return;
        }
        self.refusals += 1;
        self.backoff_until_ms = now_ms + self.backoff_ms();
    }

    /// Returns whether a request may be sent.
    fn may_send(&self, now_ms: u64) -> bool {
        self.refusals == 0 || now_ms >= self.backoff_until_ms
    }

    /// Notes that a request is sent: of those that come after the target was
    /// passed over, one at a time.
    fn record_send(&mut self, now_ms: u64) {
        if self.refusals > 0 {
            self.backoff_until_ms = now_ms + self.backoff_ms();
        }
        self.breaker.allow(now_ms);
    }

    /// Returns the load that the target reported just now.
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

/// All targets as this instance sees them.
#[derive(Debug, Default)]
pub(super) struct Loads {
    targets: IndexMap<Arc<str>, TargetStatus>,
    peers: Option<PeerHandle>,
    /// Whether peers are told means.
    reports_means: bool,
    /// Prompt parts that engines have cached.
    pub(super) chains: CachedChains,
}

impl Loads {
    /// Takes the handle that tells what peers have in flight.
    pub(super) fn set_peers(&mut self, peers: PeerHandle) {
        self.peers = Some(peers);
    }

    /// Returns what all instances have in flight on a target: what it reported
    /// just now, or what peers told.
    pub(super) fn in_flight(&self, target: &str, now_ms: u64) -> FleetLoad {
        let own = FleetLoad::from(self.own(target));
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

    /// Takes a target's report.
    pub(super) fn set_report(&mut self, target: &Arc<str>, report: Report) {
        self.status(target).report = Some(report);
    }

    /// Returns whether a target reported just now.
    pub(super) fn has_fresh_report(&self, target: &str, now_ms: u64) -> bool {
        let status = self.targets.get(target);
        status.is_some_and(|status| status.fresh_load(now_ms).is_some())
    }

    /// Brings the mean loads up to date after `elapsed_ms` and tells them, if
    /// `instances` are too many to tell each change.
    pub(super) fn report_means(&mut self, elapsed_ms: f64, instances: usize) {
        self.reports_means = instances > MAX_MESH_INSTANCES;
        let gain = 1.0 - (-elapsed_ms / MEAN_TIME_CONSTANT_MS).exp();
        for (target, status) in &mut self.targets {
            status.mean.follow(status.own, gain);
            let Some(peers) = self.peers.as_ref().filter(|_| self.reports_means) else {
                continue;
            };
            peers.report_load(target, status.mean.to_peer_load());
        }
    }

    /// Returns what this instance has in flight on a target.
    pub(super) fn own(&self, target: &str) -> InFlight {
        self.targets
            .get(target)
            .map_or_else(InFlight::default, |status| status.own)
    }

    /// Returns the part of a target's newest answers that were failures.
    pub(super) fn failure_rate(&self, target: &str) -> f64 {
        self.targets
            .get(target)
            .map_or(0.0, |status| status.failure_rate)
    }

    /// Returns whether a request may be sent to a target.
    pub(super) fn allows(&self, target: &str, now_ms: u64) -> bool {
        let status = self.targets.get(target);
        status.is_none_or(|status| status.may_send(now_ms) && status.breaker.would_allow(now_ms))
    }

    /// Returns whether a target answered when it was last tried.
    pub(super) fn is_reachable(&self, target: &str) -> bool {
        let status = self.targets.get(target);
        status.is_none_or(|status| status.breaker.availability() == Availability::Live)
    }

    /// Notes that a request is about to be sent to a target.
    pub(super) fn record_send(&mut self, target: &Arc<str>, now_ms: u64) {
        self.status(target).record_send(now_ms);
    }

    /// Notes how a request to a target went.
    pub(super) fn observe(&mut self, target: &Arc<str>, outcome: Outcome, now_ms: u64) {
        let jitter = rand::random();
        let status = self.status(target);
        status.update_refusals(outcome == Outcome::Refused, now_ms);
        let failed = f64::from(u8::from(outcome != Outcome::Answered));
        status.failure_rate += FAILURE_GAIN * (failed - status.failure_rate);
        let observation = match outcome {
            Outcome::Answered => Observation::Success {
                predicted_ms: 0.0,
                actual_ms: 0.0,
            },
            // A target that refuses has not crashed.
            Outcome::Refused => Observation::Overload,
            Outcome::Failed if status.breaker.is_probing() => Observation::Crash,
            Outcome::Failed => return,
            Outcome::Unreachable => Observation::Crash,
            Outcome::TimedOut => Observation::Timeout,
        };
        status.breaker.record(observation, now_ms, jitter);
    }

    /// Forgets targets of which `keep` is false.
    pub(super) fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        let chains = &mut self.chains;
        self.targets.retain(|target, status| {
            let kept = keep(target) || status.own.requests > 0;
            if !kept {
                chains.forget(target);
            }
            kept
        });
    }

    /// Changes what this instance has in flight on a target, and tells peers.
    fn change<F>(&mut self, target: &Arc<str>, change: F)
    where
        F: FnOnce(&mut InFlight),
    {
        let own = &mut self.status(target).own;
        change(own);
        let load = FleetLoad::from(*own);
        if self.reports_means {
            return;
        }
        if let Some(peers) = &self.peers {
            peers.report_load(target, load.to_peer_load());
        }
    }

    fn status(&mut self, target: &Arc<str>) -> &mut TargetStatus {
        self.targets.entry(target.clone()).or_default()
    }
}

/// How a request to a target went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// It was answered.
    Answered,
    /// It was answered with a failure, or its answer was cut.
    Failed,
    /// It was refused without being run.
    Refused,
    /// The target could not be reached.
    Unreachable,
    /// The target did not answer in time.
    TimedOut,
}

/// Counts a request as in flight on a target until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    state: Arc<State>,
    target: Arc<str>,
    prefill_tokens: u64,
}

impl InFlightGuard {
    /// Counts a request whose prompt has `prefill_tokens` to read.
    pub(super) fn new(state: &Arc<State>, target: &Arc<str>, prefill_tokens: u64) -> Self {
        {
            let mut loads = state.loads();
            loads.change(target, |own| {
                own.requests += 1;
                own.prefill_tokens += prefill_tokens;
            });
            if prefill_tokens > 0 {
                let mean = &mut loads.status(target).prompt_tokens;
                *mean += PROMPT_TOKENS_GAIN * (prefill_tokens as f64 - *mean);
            }
        }
        Self {
            state: state.clone(),
            target: target.clone(),
            prefill_tokens,
        }
    }

    /// Notes that the prompt has been read.
    pub(super) fn record_prefilled(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        if tokens == 0 {
            return;
        }
        let mut loads = self.state.loads();
        loads.change(&self.target, |own| own.prefill_tokens -= tokens);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_prefilled();
        let mut loads = self.state.loads();
        loads.change(&self.target, |own| own.requests -= 1);
    }
}
