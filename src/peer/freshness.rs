//! Decides whether an instance's knowledge of the log is recent enough to serve
//! requests that need an API key.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::log::Offset;

/// Whether an instance knows the newest configuration in the log, and on which
/// evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The instance read the log to its end within the maximum age.
    ByLog,
    /// Peers relayed all records within the maximum age.
    ByRelay,
    /// The log is unavailable, and enough peers confirmed that they know of no
    /// record beyond this instance's offset.
    ByOutage,
    /// The instance may have missed records.
    Stale,
}

impl Freshness {
    /// Returns whether requests that need an API key may be served.
    pub fn may_serve_keyed(self) -> bool {
        self != Self::Stale
    }
}

/// Rule for the number of other instances that must confirm an outage of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quorum {
    /// All other listed instances.
    All,
    /// Half of the other listed instances that are not shutting down. Together with
    /// this instance, they form a majority. Used with live lists that may still contain
    /// terminated instances.
    Majority,
}

impl Quorum {
    /// Returns how many instances must confirm an outage if `eligible` other instances
    /// can do so.
    #[must_use]
    pub fn required(self, eligible: usize) -> usize {
        match self {
            Self::All => eligible,
            Self::Majority => eligible.div_ceil(2),
        }
    }
}

/// Log position reported by a peer.
#[derive(Clone, Debug)]
pub struct PeerLogPosition {
    /// Name of the peer.
    pub name: Arc<str>,
    /// Instant after which the position was reported.
    pub reported_after: Instant,
    /// Highest offset known to the peer or to any other instance that its report
    /// covers.
    pub end_offset: Offset,
    /// Number of instances that the report covers, including the peer.
    pub instances: usize,
}

/// Input for evaluating [`Freshness`].
#[derive(Clone, Debug)]
pub struct FreshnessInput<'a> {
    /// Current time.
    pub now: Instant,
    /// Maximum age of a read, a relayed record or a peer's report to count as evidence.
    pub max_age: Duration,
    /// Whether the ledger reflects all records ever appended to the log.
    pub complete: bool,
    /// Start of the last read in which this instance reached the end of the
    /// log.
    pub last_read_at: Instant,
    /// All records appended before this instant are known to this instance, either
    /// read from the log or relayed by peers.
    pub current_as_of: Instant,
    /// Last offset that this instance has applied.
    pub applied_offset: Offset,
    /// Number of other instances that must confirm an outage of the log. `None` if
    /// the live list has never been read.
    pub required_confirmations: Option<usize>,
    /// Latest position reported by each connected peer.
    pub peer_positions: &'a [PeerLogPosition],
}

impl FreshnessInput<'_> {
    /// Evaluates the evidence and returns the first that suffices, in the order log,
    /// relay, outage.
    pub fn evaluate(&self) -> Freshness {
        if !self.complete {
            return Freshness::Stale;
        }
        if self.is_recent(self.last_read_at) {
            return Freshness::ByLog;
        }
        if self.is_recent(self.current_as_of) {
            return Freshness::ByRelay;
        }
        if self.outage_confirmed() {
            return Freshness::ByOutage;
        }
        Freshness::Stale
    }

    /// Returns whether enough recent reports show no record beyond this instance's
    /// offset. Returns false if this instance has no peers, as no peer can confirm
    /// the outage.
    fn outage_confirmed(&self) -> bool {
        let Some(required_confirmations) = self.required_confirmations else {
            return false;
        };
        let mut confirmed_instances = 0;
        for position in self.peer_positions {
            if !self.is_recent(position.reported_after) {
                continue;
            }
            if position.end_offset > self.applied_offset {
                return false;
            }
            confirmed_instances += position.instances;
        }
        required_confirmations > 0 && confirmed_instances >= required_confirmations
    }

    fn is_recent(&self, at: Instant) -> bool {
        self.now.saturating_duration_since(at) <= self.max_age
    }
}
