//! Outages of the store, as the calls of this process show them.

/// Shortest time without an answer that counts as an outage, in milliseconds. Instances repeat
/// a failed write after 500 ms at the earliest, so that a shorter outage fails a write once.
const MIN_OUTAGE_MS: u64 = 500;

/// Smallest number of failed calls in an outage. A single call also fails if just its
/// connection is lost.
const MIN_FAILED_CALLS: u32 = 2;

/// A call to the store that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedCall {
    /// When the call was sent.
    pub sent_ms: u64,
    /// When the call ended.
    pub ended_ms: u64,
    /// Whether the store has answered, other than that it is unavailable.
    pub is_answered: bool,
}

/// An outage that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    /// Time for which no call was answered.
    pub duration_ms: u64,
    /// Number of calls that have failed.
    pub failed_calls: u32,
}

/// The end of an outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recovery {
    /// Number of the outage, from 1.
    pub number: u64,
    /// Time since the store has answered again.
    pub since_ms: u64,
}

/// The latest outage of the store.
///
/// ```
/// use lavenderwind::policy::store_outage::{EndedCall, Recovery, StoreOutages};
///
/// let mut outages = StoreOutages::default();
/// for sent_ms in [100, 400, 900] {
///     let is_answered = sent_ms == 900;
///     outages.observe(&EndedCall { sent_ms, ended_ms: sent_ms + 5, is_answered });
/// }
/// assert_eq!(outages.recovery(1_000), Some(Recovery { number: 1, since_ms: 95 }));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutages {
    /// When the latest answer arrived.
    answered_ms: Option<u64>,
    failures: Option<Failures>,
    /// Number of outages so far.
    count: u64,
    /// When the latest outage ended.
    recovered_ms: u64,
}

/// Failed calls since the latest answer.
#[derive(Clone, Copy, Debug)]
struct Failures {
    since_ms: u64,
    calls: u32,
}

impl StoreOutages {
    /// Takes the result of a call into account. Returns the outage that the call has shown to
    /// be over.
    pub fn observe(&mut self, call: &EndedCall) -> Option<Outage> {
        if !call.is_answered {
            let answered_ms = self.answered_ms.unwrap_or(0);
            let failures = self.failures.get_or_insert(Failures {
                since_ms: call.sent_ms.max(answered_ms),
                calls: 0,
            });
            failures.calls += 1;
            return None;
        }
        self.answered_ms = Some(call.ended_ms);
        // The store may still answer reads during an outage that have waited since before it.
        let failures = self
            .failures
            .take_if(|failures| failures.since_ms <= call.sent_ms)?;
        let outage = Outage {
            duration_ms: call.ended_ms.saturating_sub(failures.since_ms),
            failed_calls: failures.calls,
        };
        let is_brief = outage.duration_ms < MIN_OUTAGE_MS || failures.calls < MIN_FAILED_CALLS;
        if is_brief {
            return None;
        }
        self.count += 1;
        self.recovered_ms = call.ended_ms;
        Some(outage)
    }

    /// Returns the end of the latest outage; `None` if there was no outage.
    #[must_use]
    pub fn recovery(&self, now_ms: u64) -> Option<Recovery> {
        (self.count > 0).then(|| Recovery {
            number: self.count,
            since_ms: now_ms.saturating_sub(self.recovered_ms),
        })
    }
}
