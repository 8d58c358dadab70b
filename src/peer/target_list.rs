//! Compares the list of targets that instances know, by the digests in their heartbeats.
//!
//! A list is known to be current as of a time. An instance states the age of that time, and
//! the receiver subtracts the age from the send time of its own heartbeat that the sender
//! echoed. The result is never later than the time that the sender means, also if frames were
//! buffered while a process was paused. An instance whose list was confirmed by others states
//! the age of what confirmed it, so that each age counts from a read of the store.

use std::time::Duration;

use tokio::time::Instant;

use super::{frames::Heartbeat, heartbeat::age_ms};

/// A list of targets that an instance knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListCopy {
    /// Digest of the list.
    pub digest: u64,
    /// The list contained all entries that were written before this time.
    pub current_as_of: Instant,
}

impl ListCopy {
    /// Moves the time to that of the latest list of a peer that equals this one.
    pub fn confirm(&mut self, comparison: &ListComparison) {
        if let Some(confirmed_as_of) = comparison.confirmed_as_of {
            self.current_as_of = self.current_as_of.max(confirmed_as_of);
        }
    }
}

/// What the lists of linked peers show about the own list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListComparison {
    /// Latest time of a peer's list that equals the own one.
    pub confirmed_as_of: Option<Instant>,
    /// Latest time of a peer's list that differs from the own one.
    pub differs_as_of: Option<Instant>,
}

impl ListComparison {
    /// Compares the list with the digest `own_digest` with those of peers.
    pub fn new<I>(own_digest: u64, copies: I) -> Self
    where
        I: IntoIterator<Item = ListCopy>,
    {
        let mut comparison = Self::default();
        for copy in copies {
            let latest = match copy.digest == own_digest {
                true => &mut comparison.confirmed_as_of,
                false => &mut comparison.differs_as_of,
            };
            *latest = (*latest).max(Some(copy.current_as_of));
        }
        comparison
    }
}

/// Sending side of one connection.
#[derive(Debug, Default)]
pub struct ListSender {
    /// Digest that was last sent on the connection.
    sent_digest: Option<u64>,
}

impl ListSender {
    /// Adds the age of the known list to a heartbeat, and its digest if it has changed since
    /// the last heartbeat. Adds nothing if there is no list to report.
    pub fn encode(&mut self, copy: Option<ListCopy>, now: Instant, heartbeat: &mut Heartbeat) {
        let Some(copy) = copy else {
            return;
        };
        heartbeat.target_list_age_ms = age_ms(copy.current_as_of, now);
        if self.sent_digest.replace(copy.digest) != Some(copy.digest) {
            heartbeat.target_list_digest = Some(copy.digest);
        }
    }
}

/// Receiving side of one connection.
#[derive(Debug, Default)]
pub struct ListReceiver {
    /// Digest that was last received on the connection.
    digest: Option<u64>,
    /// List in the last heartbeat that echoed a heartbeat of this instance.
    copy: Option<ListCopy>,
}

impl ListReceiver {
    /// Applies a heartbeat. `echoed_at` is when the own heartbeat that it echoes was sent;
    /// `None` if an earlier heartbeat echoed the same one.
    pub fn apply(&mut self, heartbeat: &Heartbeat, echoed_at: Option<Instant>) {
        self.digest = heartbeat.target_list_digest.or(self.digest);
        let Some(echoed_at) = echoed_at else {
            return;
        };
        self.copy = None;
        // Instances of the previous version state no age, and confirm nothing.
        if heartbeat.target_list_age_ms == 0 {
            return;
        }
        let age = Duration::from_millis(heartbeat.target_list_age_ms.into());
        let current_as_of = echoed_at.checked_sub(age);
        self.copy = self
            .digest
            .zip(current_as_of)
            .map(|(digest, current_as_of)| ListCopy {
                digest,
                current_as_of,
            });
    }

    /// Returns the list that the peer knows; `None` if it has reported none.
    #[must_use]
    pub fn copy(&self) -> Option<ListCopy> {
        self.copy
    }
}
