//! Learned speeds of targets, and their exchange with the other instances.
//!
//! Speeds are learned and used only with `placement.shared`. Answers of plain services are
//! reported to the peers, because a single instance of a large fleet gets less than one
//! answer a second from each target, which is too few to notice a change within seconds.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::{
    call::Call,
    gateway::state::State,
    peer::PeerHandle,
    policy::{
        retry::Failure,
        target_speed::{
            MAX_SLOWNESS, MIN_SLOWNESS, TargetSpeeds,
            answer_times::AnswerTimes,
            report::{MAX_REPORTED_TARGETS, SpeedReport, UnreportedAnswers},
        },
    },
    roster::Target,
};

/// Interval at which speeds are reported to peers and changes are logged.
const REVIEW_PERIOD_MS: u64 = 1_000;

/// Prefix of the names under which speeds are reported to peers; the target's identifier
/// follows.
const REPORT_PREFIX: &str = "speed/";

/// Factor by which the slowness of a target must change to be logged again.
const LOGGED_CHANGE: f64 = 1.3;

/// Maximum number of changes that are logged in one [`REVIEW_PERIOD_MS`].
const MAX_LOGGED_CHANGES: usize = 8;

/// Learned speeds of targets.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Speeds {
    learned: TargetSpeeds,
    /// Usual times of plain services' answers.
    answer_times: AnswerTimes,
    unreported: UnreportedAnswers,
    /// Slowness that was last logged, by target name; 1.0 if none was.
    logged: IndexMap<Arc<str>, f64>,
    reviewed_at_ms: u64,
}

impl Speeds {
    /// Removes the targets for which `keep` returns false.
    pub(in crate::gateway) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.learned.retain(&keep);
        self.unreported.retain(&keep);
        self.logged.retain(|target, _| keep(target));
    }

    /// Records the slowness of a target as logged. Returns the one that was logged before if
    /// they differ by more than [`LOGGED_CHANGE`].
    fn note_change(&mut self, target: &Arc<str>, slowness: f64) -> Option<f64> {
        let before = self.logged.get(target).copied().unwrap_or(1.0);
        let change = (slowness / before).max(before / slowness);
        if change < LOGGED_CHANGE {
            return None;
        }
        self.logged.insert(target.clone(), slowness);
        Some(before)
    }
}

impl State {
    /// Returns the time that a request takes on a target with `load` requests in flight, as
    /// a multiple of the usual time; 1.0 unless speeds are learned.
    pub(in crate::gateway) fn slowness(&self, target: &str, load: f64) -> f64 {
        if !self.settings.placement.shared {
            return 1.0;
        }
        let now_ms = self.now_ms();
        self.speeds().learned.slowness(target, load, now_ms)
    }

    /// Learns from an answer of an engine, if speeds are learned. `expected_ms` is `None` if
    /// the time of such answers is not known yet.
    pub(in crate::gateway) fn observe_speed(
        &self,
        target: &Arc<str>,
        load: f64,
        expected_ms: Option<f64>,
        actual_ms: f64,
    ) {
        let Some(expected_ms) = expected_ms.filter(|_| self.settings.placement.shared) else {
            return;
        };
        let now_ms = self.now_ms();
        let mut speeds = self.speeds();
        speeds
            .learned
            .observe(target, load, expected_ms, actual_ms, now_ms);
    }
}

/// Timing of one attempt at a plain service.
#[derive(Debug)]
pub(in crate::gateway) struct AttemptTiming {
    target: Arc<str>,
    /// Requests in flight on the target when the attempt started.
    load: f64,
    started_at: Instant,
}

impl AttemptTiming {
    /// Starts timing before the attempt is counted as in flight; `None` unless speeds are
    /// learned.
    pub(in crate::gateway) fn start(state: &State, target: &Target) -> Option<Self> {
        if !state.settings.placement.shared {
            return None;
        }
        let now_ms = state.now_ms();
        let load = state.loads().in_flight(&target.id, now_ms).requests;
        Some(Self {
            target: target.id.clone(),
            load,
            started_at: Instant::now(),
        })
    }

    /// Learns from the end of the attempt: a successful answer, or the failure.
    ///
    /// Of the failures only time-outs tell how slow the target is, and only if they were
    /// longer than a usual answer.
    pub(in crate::gateway) fn finish(
        self,
        state: &State,
        call: &Call,
        result: Result<(), Failure>,
    ) {
        let elapsed_ms = self.started_at.elapsed().as_secs_f64() * 1_000.0;
        let route = &call.route.name;
        let now_ms = state.now_ms();
        let mut speeds = state.speeds();
        let expected_ms = speeds.answer_times.expected_ms(route);
        match result {
            Ok(()) => speeds.answer_times.observe(route, elapsed_ms),
            Err(Failure::Timeout) if expected_ms.is_some_and(|expected| elapsed_ms > expected) => {}
            Err(_) => return,
        }
        let Some(expected_ms) = expected_ms else {
            return;
        };
        speeds
            .learned
            .observe(&self.target, self.load, expected_ms, elapsed_ms, now_ms);
        speeds
            .unreported
            .add(&self.target, elapsed_ms / expected_ms);
    }
}

/// Takes in an amount that peers reported. Returns false if it is not that of a target's
/// speed.
pub(in crate::gateway) fn take_report(state: &State, name: &str, amount: u64) -> bool {
    let Some(target) = name.strip_prefix(REPORT_PREFIX) else {
        return false;
    };
    if !state.settings.placement.shared {
        return true;
    }
    let known = state.with_roster(|roster| roster.get(target).cloned());
    let (Some(target), Some(report)) = (known, SpeedReport::decode(amount)) else {
        return true;
    };
    let now_ms = state.now_ms();
    let load = state.loads().in_flight(&target.id, now_ms).requests;
    let SpeedReport { answers, slowness } = report;
    let mut speeds = state.speeds();
    speeds
        .learned
        .observe_answers(&target.id, load, slowness, answers, now_ms);
    true
}

/// Reports new answers to peers, and logs targets whose speed has changed. Does nothing if
/// the last call that did was less than [`REVIEW_PERIOD_MS`] ago.
pub(in crate::gateway) fn review(state: &State, peers: &PeerHandle) {
    if !state.settings.placement.shared {
        return;
    }
    let now_ms = state.now_ms();
    {
        let mut speeds = state.speeds();
        if now_ms < speeds.reviewed_at_ms + REVIEW_PERIOD_MS {
            return;
        }
        speeds.reviewed_at_ms = now_ms;
    }
    report_answers(state, peers);
    log_changes(state, now_ms);
}

fn report_answers(state: &State, peers: &PeerHandle) {
    let unreported = state.speeds().unreported.take();
    let plain_targets = state.with_roster(|roster| {
        let plain = roster.iter().filter(|target| target.role.is_none());
        plain.count()
    });
    if plain_targets > MAX_REPORTED_TARGETS {
        return;
    }
    for (target, amount) in unreported {
        peers.report_amount(&format!("{REPORT_PREFIX}{target}"), amount);
    }
}

fn log_changes(state: &State, now_ms: u64) {
    let loads = state.loads();
    let mut speeds = state.speeds();
    let targets: Vec<_> = speeds.learned.targets().cloned().collect();
    let mut slowest = MIN_SLOWNESS;
    let mut fastest = MAX_SLOWNESS;
    let mut changes = Vec::new();
    for target in &targets {
        let load = loads.in_flight(target, now_ms).requests;
        let slowness = speeds.learned.slowness(target, load, now_ms);
        slowest = slowest.max(slowness);
        fastest = fastest.min(slowness);
        if changes.len() == MAX_LOGGED_CHANGES {
            continue;
        }
        if let Some(before) = speeds.note_change(target, slowness) {
            changes.push((target, load, slowness, before));
        }
    }
    drop(speeds);
    drop(loads);
    if !targets.is_empty() {
        metrics::gauge!("gateway_target_slowness", "bound" => "slowest").set(slowest);
        metrics::gauge!("gateway_target_slowness", "bound" => "fastest").set(fastest);
    }
    for (target, load, slowness, before) in changes {
        metrics::counter!("gateway_target_speed_changes_total").increment(1);
        tracing::info!(
            target = &**target,
            slowness = format!("{slowness:.2}"),
            before = format!("{before:.2}"),
            load = format!("{load:.1}"),
            "gateway: target changed its speed"
        );
    }
}
