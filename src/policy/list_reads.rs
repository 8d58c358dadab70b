//! Decides when an instance of a large fleet reads the list of targets.
//!
//! An instance whose list is confirmed by its peers does not read. Each limit counts from the
//! time as of which the list is known to be current, so that a draining target is known
//! within `drain_ms` whatever confirmations are missing.

use std::time::Duration;

use tokio::time::Instant;

/// Part of `drain_ms` that is left after the limit of a member: a check of the limit (50 ms),
/// a read without an answer (250 ms), its repetition (50 ms) and a margin.
const RESERVE: Duration = Duration::from_millis(600);

/// Smallest limit of a member, as a fraction of `drain_ms`. Applies if `drain_ms` is too short
/// for the reserve.
const MIN_LIMIT_SHARE: f64 = 0.3;

/// Time from the relay's read until a member's list is confirmed, in addition to the interval
/// of the relay's heartbeats: the read, and the interval of the member's heartbeats, of which
/// the relay echoes the last.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(200);

/// Smallest limit of a relay, as a fraction of the limit of a member.
const MIN_RELAY_SHARE: f64 = 0.25;

/// Lower bound of the random factor of the limits. It spreads the reads over time.
const MIN_JITTER_FACTOR: f64 = 0.95;

/// Longest time between two reads, also if the list is confirmed. The store retains 20 s of
/// records; a read from an older offset costs a snapshot.
const MAX_READ_PERIOD: Duration = Duration::from_millis(9_200);

/// Shortest time between two reads because a peer has another list, as a fraction of
/// `drain_ms`. While targets come and go, lists differ all the time.
const MIN_READ_SHARE: f64 = 0.7;

/// Shortest time without an answer after which a read is repeated.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(250);

/// Who relies on the list of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListReader {
    /// Relay of a group, whose members rely on it.
    Relay {
        /// Interval at which the relay sends heartbeats.
        heartbeat_interval: Duration,
    },
    /// Any other instance.
    Member,
}

/// What an instance knows about the age of its list.
#[derive(Clone, Copy, Debug)]
pub struct ListEvidence {
    /// When the last successful read was sent.
    pub last_read_at: Instant,
    /// Latest time as of which the list is known to be current, by a read or by peers.
    pub current_as_of: Instant,
    /// Latest time of a peer's list that differs.
    pub differs_as_of: Option<Instant>,
}

/// Limits for the reads of one instance.
///
/// ```
/// use std::time::Duration;
///
/// use lavenderwind::policy::list_reads::{ListReadPace, ListReader};
///
/// let drain = Duration::from_millis(3_000);
/// let pace = ListReadPace::new(drain, ListReader::Member, 1.0);
/// assert_eq!(pace.max_age(), Duration::from_millis(2_400));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ListReadPace {
    max_age: Duration,
    min_read_period: Duration,
    max_read_period: Duration,
}

impl ListReadPace {
    /// Creates the limits. `drain` is the time within which a draining target must be known,
    /// and `jitter` a uniformly distributed random number from 0 to 1.
    #[must_use]
    pub fn new(drain: Duration, reader: ListReader, jitter: f64) -> Self {
        let factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * jitter;
        let member_limit = drain
            .saturating_sub(RESERVE)
            .max(drain.mul_f64(MIN_LIMIT_SHARE));
        let limit = match reader {
            ListReader::Member => member_limit,
            ListReader::Relay { heartbeat_interval } => member_limit
                .mul_f64(MIN_JITTER_FACTOR)
                .saturating_sub(heartbeat_interval + CONFIRMATION_DELAY)
                .max(member_limit.mul_f64(MIN_RELAY_SHARE)),
        };
        Self {
            max_age: limit.mul_f64(factor),
            min_read_period: drain.mul_f64(MIN_READ_SHARE * factor),
            max_read_period: MAX_READ_PERIOD.mul_f64(factor),
        }
    }

    /// Returns the age of the list at which it is read.
    #[must_use]
    pub fn max_age(&self) -> Duration {
        self.max_age
    }

    /// Returns whether the list is to be read.
    #[must_use]
    pub fn is_read_due(&self, evidence: &ListEvidence, now: Instant) -> bool {
        let age = now.saturating_duration_since(evidence.current_as_of);
        let since_read = now.saturating_duration_since(evidence.last_read_at);
        let is_outdated = evidence.differs_as_of > Some(evidence.current_as_of);
        age >= self.max_age
            || since_read >= self.max_read_period
            || is_outdated && since_read >= self.min_read_period
    }
}

/// Returns the time without an answer after which a read is repeated. `last_duration` is the
/// time that the last answered read took: reads of a slow store are repeated later, so that
/// repetitions don't double its load.
#[must_use]
pub fn repeat_delay(last_duration: Duration) -> Duration {
    MIN_REPEAT_DELAY.max(last_duration * 2)
}
