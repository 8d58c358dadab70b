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

    /// Records a crash. Returns the fingerprints that are reported to peers.
    fn record_crash(&mut self, boot: &Arc<str>, in_flight: &[SentFingerprint]) -> Vec<InFlight> {
        let now_ms = self.now_ms();
        let mut sent = Vec::with_capacity(in_flight.len());
        for request in in_flight {
            sent.push(InFlight {
                fingerprint: request.fingerprint,
                sent_ms: now_ms.saturating_sub(request.age_ms.into()),
            });
        }
        self.history.record_separate_crash(boot, &sent, now_ms)
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
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
        let reported = self.crashes.record_crash(boot, in_flight);
        if let Some(from) = from {
            tracing::info!(
                boot = &**boot,
                from,
                fingerprints = in_flight.len(),
                counted = reported.len(),
                "peer: crash of a target reported"
            );
        }
        if reported.is_empty() {
            return false;
        }
        let now_ms = self.crashes.now_ms();
        let mut is_quarantined = false;
        for reported in reported.chunks(MAX_REPORT_FINGERPRINTS) {
            let mut report = CrashReport {
                boot: boot.to_string(),
                ..CrashReport::default()
            };
            for sent in reported {
                let age_ms = now_ms.saturating_sub(sent.sent_ms);
                let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
                report.fingerprints.push(sent.fingerprint);
                report.sent_ages_ms.push(age_ms);
                let crashes = self.crashes.history.crash_count(&sent.fingerprint);
                is_quarantined |= crashes >= MAX_SHARED_CRASHES;
            }
            self.reports.push(Body::CrashReport(report), from);
        }
        is_quarantined
    }

    /// Records that a request with these fingerprints was answered completely. Peers are
    /// told which of them are no longer suspected; `from` is the peer that reported it, if
    /// any did. Returns whether requests were quarantined for any.
    pub(super) fn clear_suspects(&mut self, fingerprints: &[u64], from: Option<&str>) -> bool {
        let history = &mut self.crashes.history;
        let mut counts = fingerprints.iter().map(|found| history.crash_count(found));
        let was_quarantined = counts.any(|crashes| crashes >= MAX_SHARED_CRASHES);
        let cleared = history.clear(fingerprints);
        if cleared.is_empty() {
            return false;
        }
        let report = SoundReport {
            fingerprints: cleared,
        };
        self.reports.push(Body::SoundReport(report), from);
        was_quarantined
    }

    /// Records crashes that this or another instance has stored.
    pub(super) fn restore_crashes(&mut self, crashes: &[TargetCrash]) {
        for crash in crashes {
            self.record_known(crash);
        }
    }

    /// Records a crash that the peer `from` knew before, and tells other peers what they may
    /// not know yet.
    pub(super) fn add_known_crash(&mut self, crash: &TargetCrash, from: &str) {
        let counted = self.record_known(crash);
        if counted.is_empty() {
            return;
        }
        let report = CrashReport {
            boot: crash.boot.to_string(),
            fingerprints: counted,
            counts: true,
            sent_ages_ms: Vec::new(),
        };
        self.reports.push(Body::CrashReport(report), Some(from));
    }

    /// Records a crash whenever it was. Returns the fingerprints for which it was not known.
    fn record_known(&mut self, crash: &TargetCrash) -> Vec<u64> {
        let now_ms = self.crashes.now_ms();
        let history = &mut self.crashes.history;
        history.record_crash(&crash.boot, &crash.fingerprints, now_ms)
    }

    /// Returns the newest crashes that have led to a quarantine.
    pub(super) fn quarantined_crashes(&self) -> Vec<TargetCrash> {
        let history = &self.crashes.history;
        let mut crashes = Vec::new();
        for (boot, fingerprints) in history.quarantined_crashes(MAX_STORED_CRASHES) {
            crashes.push(TargetCrash { boot, fingerprints });
        }
        crashes
    }

    /// Returns the frames that tell a peer about all suspects.
    pub(super) fn suspect_frames(&self) -> Vec<Body> {
        let mut frames = Vec::new();
        for (boot, fingerprints) in self.crashes.history.crashes() {
            for fingerprints in fingerprints.chunks(MAX_REPORT_FINGERPRINTS) {
                frames.push(Body::CrashReport(CrashReport {
                    boot: boot.to_string(),
                    fingerprints: fingerprints.to_vec(),
                    counts: true,
                    sent_ages_ms: Vec::new(),
                }));
            }
        }
        frames
    }
}
