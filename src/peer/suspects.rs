//! Crashes of targets that this instance and its peers have reported, and requests that
//! are refused because they crash targets.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{
    frames::{CrashReport, SoundReport, frame::Body},
    state::State,
};
use crate::policy::crash_history::{self, CrashHistory, MAX_SHARED_CRASHES};

/// Maximum number of crashes that are stored, each fingerprint's counted separately, so that
/// they fit into one record.
const MAX_STORED_CRASHES: usize = 4_000;

/// Maximum number of fingerprints in one report to a peer.
const MAX_REPORT_FINGERPRINTS: usize = 16_384;

/// Interval at which old crashes are forgotten, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;

/// A crash of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetCrash {
    /// Boot of the target, which is different after each start.
    pub boot: Arc<str>,
    /// Fingerprints of the requests that were in flight.
    pub fingerprints: Vec<u64>,
}

/// Fingerprint of a request that was in flight at a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentFingerprint {
    /// The fingerprint.
    pub fingerprint: u64,
    /// Time since the latest request with the fingerprint was sent, in milliseconds.
    pub age_ms: u32,
}

type InFlight = crash_history::InFlight<u64>;
type Answered = crash_history::Answered<u64>;
type CountedCrash = crash_history::CountedCrash<u64>;

/// Crashes that this instance knows of.
#[derive(Debug)]
pub(super) struct ReportedCrashes {
    history: CrashHistory<u64>,
    started_at: Instant,
    /// When old crashes are forgotten next.
    expires_ms: u64,
    /// Number of suspects that had been forgotten then because there were too many.
    forgotten: u64,
}

impl Default for ReportedCrashes {
    fn default() -> Self {
        Self {
            history: CrashHistory::default(),
            started_at: Instant::now(),
            expires_ms: 0,
            forgotten: 0,
        }
    }
}

impl ReportedCrashes {
    /// Returns whether no fingerprint is suspected.
    pub(super) fn is_empty(&self) -> bool {
        self.history.is_empty()
    }

    /// Forgets crashes that are old, and tells if some were forgotten before.
    pub(super) fn expire(&mut self) {
        let now_ms = self.now_ms();
        if now_ms < self.expires_ms {
            return;
        }
        self.history.expire(now_ms);
        self.expires_ms = now_ms + EXPIRY_INTERVAL_MS;
        let forgotten = self.history.forgotten();
        let since_last = forgotten - std::mem::replace(&mut self.forgotten, forgotten);
        if since_last > 0 {
            tracing::warn!(
                suspects = since_last,
                "peer: too many suspects; those of the fewest crashes are forgotten"
            );
            metrics::counter!("peer_suspects_forgotten_total").increment(since_last);
        }
    }

    /// Returns the time for which requests with these fingerprints are refused, or `None`
    /// if they may run.
    pub(super) fn quarantine_left(&self, fingerprints: &[u64]) -> Option<Duration> {
        let left_ms = self
            .history
            .quarantine_left_ms(fingerprints, self.now_ms())?;
        Some(Duration::from_millis(left_ms))
    }

    fn record_crash(&mut self, boot: &Arc<str>, in_flight: &[SentFingerprint]) -> CountedCrash {
        let now_ms = self.now_ms();
        let mut sent = Vec::with_capacity(in_flight.len());
        for request in in_flight {
            sent.push(InFlight {
                fingerprint: request.fingerprint,
                sent_ms: now_ms.saturating_sub(request.age_ms.into()),
            });
        }
        self.history.record_timed_crash(boot, &sent, now_ms)
    }

    /// Returns whether requests are quarantined for one of these fingerprints, or would be
    /// if they carried no other suspect.
    fn any_quarantined<'a, I>(&self, fingerprints: I) -> bool
    where
        I: IntoIterator<Item = &'a u64>,
    {
        let mut fingerprints = fingerprints.into_iter();
        fingerprints.any(|found| self.history.crash_count(found) >= MAX_SHARED_CRASHES)
    }

    /// Returns the time since `at_ms`, in milliseconds.
    fn age_ms(&self, at_ms: u64) -> u32 {
        let age_ms = self.now_ms().saturating_sub(at_ms);
        u32::try_from(age_ms).unwrap_or(u32::MAX)
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the frames that report a crash.
    fn crash_frames(&self, boot: &str, in_flight: &[InFlight]) -> Vec<Body> {
        let mut frames = Vec::new();
        for in_flight in in_flight.chunks(MAX_REPORT_FINGERPRINTS) {
            let mut report = CrashReport {
                boot: boot.to_owned(),
                ..CrashReport::default()
            };
            for sent in in_flight {
                report.fingerprints.push(sent.fingerprint);
                report.sent_ages_ms.push(self.age_ms(sent.sent_ms));
            }
            frames.push(Body::CrashReport(report));
        }
        frames
    }
}

impl State {
    /// Records a crash of a target. Peers are told what they may not know yet; `from` is
    /// the peer that reported the crash, if any did. Returns whether requests are
    /// quarantined for it.
    pub(super) fn add_crash(
        &mut self,
        boot: &Arc<str>,
        in_flight: &[SentFingerprint],
        from: Option<&str>,
    ) -> bool {
        let crash = self.crashes.record_crash(boot, in_flight);
        if let Some(from) = from {
            tracing::info!(
                boot = &**boot,
                from,
                fingerprints = in_flight.len(),
                counted = crash.counted.len(),
                answered = crash.answered.len(),
                "peer: crash of a target reported"
            );
            // The peer that counts these fingerprints does not know of the answers.
            self.report_answered(&crash.answered);
        }
        for frame in self.crashes.crash_frames(boot, &crash.counted) {
            self.reports.push(frame, from);
        }
        let counted = crash.counted.iter().map(|sent| &sent.fingerprint);
        self.crashes.any_quarantined(counted)
    }

    fn report_answered(&mut self, answered: &[Answered]) {
        for answered in answered.chunks(MAX_REPORT_FINGERPRINTS) {
            let mut report = SoundReport::default();
            for answered in answered {
                report.fingerprints.push(answered.fingerprint);
                report
                    .ages_ms
                    .push(self.crashes.age_ms(answered.answered_ms));
            }
            self.reports.push(Body::SoundReport(report), None);
        }
    }

    /// Records that this instance has answered a request with these fingerprints completely.
    /// Peers are told which of them are no longer suspected. Returns whether requests were
    /// quarantined for any.
    pub(super) fn add_answer(&mut self, fingerprints: &[u64]) -> bool {
        let now_ms = self.crashes.now_ms();
        let was_quarantined = self.crashes.any_quarantined(fingerprints);
        let cleared = self.crashes.history.record_answer(fingerprints, now_ms);
        if cleared.is_empty() {
            return false;
        }
        let report = SoundReport {
            ages_ms: vec![0; cleared.len()],
            fingerprints: cleared,
        };
        self.reports.push(Body::SoundReport(report), None);
        was_quarantined
    }

    /// Records that peers have answered requests completely. Other peers are told of those
    /// that were suspected here.
    pub(super) fn add_sound_report(&mut self, report: &SoundReport, from: &str) {
        let now_ms = self.crashes.now_ms();
        let mut cleared = SoundReport::default();
        for (index, fingerprint) in report.fingerprints.iter().enumerate() {
            let age_ms = report.ages_ms.get(index).copied().unwrap_or(0);
            let answered_ms = now_ms.saturating_sub(age_ms.into());
            let fingerprints = std::slice::from_ref(fingerprint);
            let history = &mut self.crashes.history;
            if !history.record_answer(fingerprints, answered_ms).is_empty() {
                cleared.fingerprints.push(*fingerprint);
                cleared.ages_ms.push(age_ms);
            }
        }
        if !cleared.fingerprints.is_empty() {
            self.reports.push(Body::SoundReport(cleared), Some(from));
        }
    }

    /// Records crashes that this or another instance has stored.
    pub(super) fn restore_crashes(&mut self, crashes: &[TargetCrash]) {
        let now_ms = self.crashes.now_ms();
        let history = &mut self.crashes.history;
        for crash in crashes {
            history.record_crash(&crash.boot, &crash.fingerprints, now_ms);
        }
    }

    /// Returns the newest crashes that have led to a quarantine.
    pub(super) fn quarantined_crashes(&self) -> Vec<TargetCrash> {
        let history = &self.crashes.history;
        let mut crashes = Vec::new();
        for (boot, in_flight) in history.quarantined_crashes(MAX_STORED_CRASHES) {
            let fingerprints = in_flight.iter().map(|sent| sent.fingerprint).collect();
            crashes.push(TargetCrash { boot, fingerprints });
        }
        crashes
    }

    /// Returns the frames that tell a peer about all suspects.
    pub(super) fn suspect_frames(&self) -> Vec<Body> {
        let mut frames = Vec::new();
        for (boot, in_flight) in self.crashes.history.crashes() {
            frames.extend(self.crashes.crash_frames(&boot, &in_flight));
        }
        frames
    }
}
