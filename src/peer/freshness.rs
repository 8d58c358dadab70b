//! Whether an instance knows the newest configuration.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::log::Offset;

/// Why an instance counts as fresh, or that it does not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It read the log up to its end within the bound.
    ByLog,
    /// Peers relayed all records within the bound.
    ByRelay,
    /// All listed instances answered that none reads past its offset.
    ByOutage,
    /// It may have missed records.
    Stale,
}

impl Freshness {
    /// Returns whether keyed requests may be served.
    pub fn may_serve_keyed(self) -> bool {
        self != Self::Stale
    }
}

/// Which of the listed instances must confirm an outage of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quorum {
    /// All others.
    All,
    /// Half of the others that are not being stopped, where some may be gone
    /// that the list still names.
    Majority,
}

impl Quorum {
    /// Returns how many of the other `listed` instances must confirm.
    #[must_use]
    pub fn required(self, listed: usize) -> usize {
        match self {
            Self::All => listed,
            Self::Majority => listed.div_ceil(2),
        }
    }
}

/// A peer's answer to what it has read.
#[derive(Clone, Debug)]
pub struct PeerLogPosition {
    /// Name of the peer.
    pub name: Arc<str>,
    /// Moment that the answer is known to be later than.
    pub reported_after: Instant,
    /// Highest offset that the peer, or any instance it speaks for, heard of.
    pub end_offset: Offset,
    /// Number of instances that the peer speaks for, itself included.
    pub instances: usize,
}

/// What freshness is judged by.
#[derive(Clone, Debug)]
pub struct FreshnessInput<'a> {
    /// Now.
    pub now: Instant,
    /// Age at which knowledge is too old.
    pub max_age: Duration,
    /// Whether the ledger holds all that the log ever held.
    pub complete: bool,
    /// Moment as of which the log's end was read by this instance.
    pub last_read_at: Instant,
    /// Moment as of which all records are known, by read or relay.
    pub known_at: Instant,
    /// Offset up to which this instance has folded the log.
    pub applied_offset: Offset,
    /// Number of other instances that must confirm an outage; `None` if the
    /// live list was never read.
    pub confirming_instances: Option<usize>,
    /// The latest answer of each linked peer.
    pub peer_positions: &'a [PeerLogPosition],
}

impl FreshnessInput<'_> {
    /// Decides from the input.
    pub fn evaluate(&self) -> Freshness {
        if !self.complete {
            return Freshness::Stale;
        }
        if self.is_recent(self.last_read_at) {
            return Freshness::ByLog;
        }
        if self.is_recent(self.known_at) {
            return Freshness::ByRelay;
        }
        if self.outage_confirmed() {
            return Freshness::ByOutage;
        }
        Freshness::Stale
    }

    /// Whether enough instances answered that nothing was read past this
    /// instance's offset. An instance without peers has nobody to confirm it.
    fn outage_confirmed(&self) -> bool {
        let Some(confirming_instances) = self.confirming_instances else {
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
        confirming_instances > 0 && confirmed_instances >= confirming_instances
    }

    fn is_recent(&self, at: Instant) -> bool {
        self.now.saturating_duration_since(at) <= self.max_age
    }
}
