//! Crashes of targets, and the fingerprints of requests that were in flight at them.
//!
//! A request that was in flight on a target when the target crashed is a suspect, by
//! each of its fingerprints: one identifies the request, others a part of its prompt
//! that other requests may share. After [`MAX_SHARED_CRASHES`] crashes, requests are refused if
//! they carry a fingerprint that was in flight at all of these crashes, and with it
//! everything else that was. Requests that carry only some of it still run. Each of
//! their answers shows that what they carry does no harm, until only the cause is left.
//!
//! A crash does not count for what was answered at about the time at which the request was
//! sent, or later. So targets that fail together for another reason, such as the loss of a
//! failure domain, do not make a frequent part a suspect, while requests with a part that is
//! never answered count with each target that they crash, also if they come all at once.

use std::{cmp::Reverse, hash::Hash, sync::Arc};

use indexmap::{IndexMap, IndexSet};

use super::{
    recent_answers::RecentAnswers,
    suspect::{Crash, Suspect},
};

pub use super::suspect::{MAX_SHARED_CRASHES, QUARANTINE_MS};

/// Maximum number of crashes that are remembered, each fingerprint's counted separately.
/// The parts of a few hundred long prompts take a tenth of it.
pub const MAX_REMEMBERED: usize = 100_000;

/// Time before a request was sent, in milliseconds, from which on an answer clears what the
/// request carries. Longer than the pause between two answers with a part that is frequent
/// enough to be in flight on several targets.
pub const ANSWER_MARGIN_MS: u64 = 1_000;

/// Share of [`MAX_REMEMBERED`] that is left after crashes were forgotten to make room.
const KEPT_SHARE: f64 = 0.75;

/// Fingerprint of a request that was in flight at a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InFlight<F> {
    /// The fingerprint.
    pub fingerprint: F,
    /// When the request was sent; the latest one if several requests carry the fingerprint.
    pub sent_ms: u64,
}

impl<F> InFlight<F> {
    /// Returns whether an answer with the fingerprint shows that the request did no harm by
    /// it.
    fn is_cleared_by(&self, answered_ms: u64) -> bool {
        self.sent_ms <= answered_ms + ANSWER_MARGIN_MS
    }
}

/// Fingerprint of a request that was answered completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answered<F> {
    /// The fingerprint.
    pub fingerprint: F,
    /// When a request with the fingerprint was last answered.
    pub answered_ms: u64,
}

/// What a crash counts for.
#[derive(Clone, Debug)]
pub struct CountedCrash<F> {
    /// Fingerprints for which the crash counts and was not known yet.
    pub counted: Vec<InFlight<F>>,
    /// Fingerprints that an answer has cleared of it.
    pub answered: Vec<Answered<F>>,
}

impl<F> Default for CountedCrash<F> {
    fn default() -> Self {
        Self {
            counted: Vec::new(),
            answered: Vec::new(),
        }
    }
}

/// Suspected fingerprints, with the crashes at which they were in flight.
///
/// ```
/// use lavenderwind::policy::crash_history::CrashHistory;
///
/// let mut history = CrashHistory::default();
/// history.record_crash(&"engine-1".into(), &["common", "cause"], 0);
/// history.record_crash(&"engine-2".into(), &["common", "cause"], 700);
/// assert!(history.quarantine_left_ms(&["common", "cause"], 700).is_none());
/// history.record_crash(&"engine-3".into(), &["common", "cause"], 750);
/// assert!(history.quarantine_left_ms(&["common", "cause"], 800).is_some());
/// assert!(history.quarantine_left_ms(&["common", "other"], 800).is_none());
/// history.clear(&["common", "other"]);
/// assert!(history.quarantine_left_ms(&["cause"], 900).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct CrashHistory<F> {
    suspects: IndexMap<F, Suspect>,
    answers: RecentAnswers<F>,
    /// Suspects with enough crashes for a quarantine.
    quarantinable: IndexSet<F>,
    /// Sum of the crashes of all suspects.
    remembered: usize,
    /// Number of suspects that were forgotten to make room.
    forgotten: u64,
}

impl<F> Default for CrashHistory<F> {
    fn default() -> Self {
        Self {
            suspects: IndexMap::new(),
            answers: RecentAnswers::default(),
            quarantinable: IndexSet::new(),
            remembered: 0,
            forgotten: 0,
        }
    }
}

impl<F> CrashHistory<F>
where
    F: Clone + Eq + Hash,
{
    /// Records a crash at which requests with these fingerprints were in flight, whatever was
    /// answered before. Returns the fingerprints for which the crash was not known yet.
    pub fn record_crash(&mut self, boot: &Arc<str>, fingerprints: &[F], now_ms: u64) -> Vec<F> {
        let mut counted = Vec::new();
        for fingerprint in fingerprints {
            let sent = InFlight {
                fingerprint: fingerprint.clone(),
                sent_ms: now_ms,
            };
            if self.count(boot, &sent, now_ms) {
                counted.push(sent.fingerprint);
            }
        }
        counted
    }

    /// Records a crash at which requests with these fingerprints were in flight. It does not
    /// count for those that were answered since [`ANSWER_MARGIN_MS`] before the request was
    /// sent.
    pub fn record_timed_crash(
        &mut self,
        boot: &Arc<str>,
        in_flight: &[InFlight<F>],
        now_ms: u64,
    ) -> CountedCrash<F> {
        let mut crash = CountedCrash::default();
        for sent in in_flight {
            let last_ms = self.answers.last_ms(&sent.fingerprint);
            let answered_ms = last_ms.filter(|last_ms| sent.is_cleared_by(*last_ms));
            if let Some(answered_ms) = answered_ms {
                crash.answered.push(Answered {
                    fingerprint: sent.fingerprint.clone(),
                    answered_ms,
                });
                continue;
            }
            if self.count(boot, sent, now_ms) {
                crash.counted.push(sent.clone());
            }
        }
        crash
    }

    fn count(&mut self, boot: &Arc<str>, sent: &InFlight<F>, now_ms: u64) -> bool {
        let fingerprint = &sent.fingerprint;
        let mut suspect = self.take(fingerprint).unwrap_or_default();
        suspect.expire(now_ms);
        let counts = !suspect.knows(boot);
        if counts {
            suspect.crashes.push(Crash {
                boot: boot.clone(),
                sent_ms: sent.sent_ms,
            });
            suspect.last_crash_ms = now_ms;
        }
        self.put(fingerprint, suspect);
        self.make_room();
        counts
    }

    /// Records that requests with these fingerprints were answered completely. Returns the
    /// suspected fingerprints that are cleared of crashes by that.
    pub fn record_answer(&mut self, fingerprints: &[F], answered_ms: u64) -> Vec<F> {
        self.answers.record(fingerprints, answered_ms);
        let mut cleared = Vec::new();
        if self.is_empty() {
            return cleared;
        }
        for fingerprint in fingerprints {
            let Some(mut suspect) = self.take(fingerprint) else {
                continue;
            };
            let crashes = suspect.crashes.len();
            suspect
                .crashes
                .retain(|crash| crash.sent_ms > answered_ms + ANSWER_MARGIN_MS);
            if suspect.crashes.len() < crashes {
                cleared.push(fingerprint.clone());
            }
            self.put(fingerprint, suspect);
        }
        cleared
    }

    /// Clears fingerprints of all crashes. Returns those that were suspected.
    pub fn clear(&mut self, fingerprints: &[F]) -> Vec<F> {
        let mut cleared = Vec::new();
        for fingerprint in fingerprints {
            if self.take(fingerprint).is_some() {
                cleared.push(fingerprint.clone());
            }
        }
        cleared
    }

    /// Forgets crashes and answers that are old.
    pub fn expire(&mut self, now_ms: u64) {
        self.answers.expire(now_ms);
        self.quarantinable.clear();
        self.remembered = 0;
        for (fingerprint, mut suspect) in std::mem::take(&mut self.suspects) {
            suspect.expire(now_ms);
            self.put(&fingerprint, suspect);
        }
    }

    /// Removes a suspect.
    fn take(&mut self, fingerprint: &F) -> Option<Suspect> {
        let suspect = self.suspects.swap_remove(fingerprint)?;
        self.remembered -= suspect.crashes.len();
        if suspect.is_quarantinable() {
            self.quarantinable.swap_remove(fingerprint);
        }
        Some(suspect)
    }

    /// Adds a suspect that was removed or is new, if it has crashes.
    fn put(&mut self, fingerprint: &F, suspect: Suspect) {
        if suspect.crashes.is_empty() {
            return;
        }
        self.remembered += suspect.crashes.len();
        if suspect.is_quarantinable() {
            self.quarantinable.insert(fingerprint.clone());
        }
        self.suspects.insert(fingerprint.clone(), suspect);
    }

    /// Returns whether no fingerprint is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of crashes at which a fingerprint was in flight.
    #[must_use]
    pub fn crash_count(&self, fingerprint: &F) -> usize {
        let suspect = self.suspects.get(fingerprint);
        suspect.map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns the time for which requests with these fingerprints are refused, in
    /// milliseconds, or `None` if they may run.
    #[must_use]
    pub fn quarantine_left_ms(&self, fingerprints: &[F], now_ms: u64) -> Option<u64> {
        let mut longest_ms = None;
        // All parts of a prompt may have been at the same crashes.
        let mut examined: Vec<(&Suspect, bool)> = Vec::new();
        for fingerprint in fingerprints {
            let Some(suspect) = self.suspects.get(fingerprint) else {
                continue;
            };
            let Some(left_ms) = suspect.quarantine_left_ms(now_ms) else {
                continue;
            };
            let alike = examined.iter().find(|(other, _)| other.is_alike(suspect));
            let is_refused = match alike {
                Some((_, is_refused)) => *is_refused,
                None => {
                    let is_refused = self.carries_whole_cause(fingerprints, suspect);
                    examined.push((suspect, is_refused));
                    is_refused
                }
            };
            if is_refused {
                longest_ms = longest_ms.max(Some(left_ms));
            }
        }
        longest_ms
    }

    /// Returns the crashes of all suspects, by boot.
    #[must_use]
    pub fn crashes(&self) -> IndexMap<Arc<str>, Vec<InFlight<F>>> {
        by_boot(self.suspects.iter())
    }

    /// Returns the crashes of the suspects that have led to a quarantine, by boot. If there
    /// are more than `max_crashes`, counted for each suspect, those of the oldest suspects
    /// are left out.
    #[must_use]
    pub fn quarantined_crashes(&self, max_crashes: usize) -> IndexMap<Arc<str>, Vec<InFlight<F>>> {
        let mut quarantined: Vec<(&F, &Suspect)> = Vec::new();
        for fingerprint in &self.quarantinable {
            quarantined.push((fingerprint, &self.suspects[fingerprint]));
        }
        quarantined.sort_by_key(|(_, suspect)| Reverse(suspect.last_crash_ms));
        let mut crashes = 0;
        let newest = quarantined.into_iter().take_while(|(_, suspect)| {
            crashes += suspect.crashes.len();
            crashes <= max_crashes
        });
        by_boot(newest)
    }

    /// Returns the number of suspects that were forgotten because there were too many.
    #[must_use]
    pub fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Returns whether `fingerprints` contain everything that was in flight at all
    /// crashes of a suspect.
    fn carries_whole_cause(&self, fingerprints: &[F], suspect: &Suspect) -> bool {
        for other in &self.quarantinable {
            let was_at_all = self.suspects[other].was_at_all(suspect);
            if was_at_all && !fingerprints.contains(other) {
                return false;
            }
        }
        true
    }

    /// Forgets suspects if there are too many crashes: those with the fewest crashes, the
    /// oldest of them first.
    fn make_room(&mut self) {
        if self.remembered <= MAX_REMEMBERED {
            return;
        }
        let mut order: Vec<(usize, u64, F)> = Vec::with_capacity(self.suspects.len());
        for (fingerprint, suspect) in &self.suspects {
            order.push((
                suspect.crashes.len(),
                suspect.last_crash_ms,
                fingerprint.clone(),
            ));
        }
        order.sort_by_key(|(crashes, last_crash_ms, _)| (*crashes, *last_crash_ms));
        let kept = (MAX_REMEMBERED as f64 * KEPT_SHARE) as usize;
        for (_, _, fingerprint) in order {
            if self.remembered <= kept {
                break;
            }
            self.take(&fingerprint);
            self.forgotten += 1;
        }
    }
}

fn by_boot<'a, F, I>(suspects: I) -> IndexMap<Arc<str>, Vec<InFlight<F>>>
where
    F: Clone + 'a,
    I: Iterator<Item = (&'a F, &'a Suspect)>,
{
    let mut crashes: IndexMap<Arc<str>, Vec<InFlight<F>>> = IndexMap::new();
    for (fingerprint, suspect) in suspects {
        for crash in &suspect.crashes {
            let in_flight = crashes.entry(crash.boot.clone()).or_default();
            in_flight.push(InFlight {
                fingerprint: fingerprint.clone(),
                sent_ms: crash.sent_ms,
            });
        }
    }
    crashes
}
