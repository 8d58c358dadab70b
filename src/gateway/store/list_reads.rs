//! Tells whether the peers confirm the known list of targets, and reports it to them.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    gateway::{state::State, store::follower::Follower},
    peer::{ListCopy, PeerHandle},
    policy::list_reads::{ListEvidence, ListReadPace, ListReader},
};

/// Reads of the list of targets in a large fleet, which are saved while peers confirm it.
#[derive(Debug)]
pub(super) struct SharedReads {
    state: Arc<State>,
    /// The known list; `None` before the first read.
    known: Option<ReadList>,
    /// Random number from 0 to 1, drawn anew for each read.
    jitter: f64,
}

/// A list that was read.
#[derive(Clone, Copy, Debug)]
struct ReadList {
    copy: ListCopy,
    /// When the last successful read was sent.
    last_read_at: Instant,
}

impl SharedReads {
    pub(super) fn new(state: Arc<State>) -> Self {
        Self {
            state,
            known: None,
            jitter: rand::random(),
        }
    }

    /// Notes that the result of a read that was sent at `sent_at` has been applied.
    pub(super) fn note_read(&mut self, sent_at: Instant, follower: &Follower) {
        if !self.state.shares_store_reads() {
            self.known = None;
            return;
        }
        let Some(next) = follower.next_position() else {
            return;
        };
        let copy = ListCopy {
            digest: self.state.with_roster(|roster| roster.digest(next.era)),
            current_as_of: sent_at,
        };
        self.known = Some(ReadList {
            copy,
            last_read_at: sent_at,
        });
        self.jitter = rand::random();
    }

    /// Returns whether no read is due, and reports the known list to the peers. `recheck_at`
    /// is when a snapshot is to be read.
    pub(super) fn can_wait(&mut self, follower: &Follower, recheck_at: Option<Instant>) -> bool {
        let state = self.state.clone();
        let Some(peers) = state.peers() else {
            return false;
        };
        if !state.shares_store_reads() {
            peers.report_target_list(None);
            return false;
        }
        let Some(known) = &mut self.known else {
            return false;
        };
        let comparison = peers.compare_target_list(known.copy.digest);
        known.copy.confirm(&comparison);
        peers.report_target_list(Some(known.copy));
        // A later era that other topics have shown is no reason to read at once: all instances
        // would ask for a snapshot at the same time. Lists of different eras confirm nothing to
        // each other, so that each instance reads when its list is unconfirmed.
        let must_read = follower.next_position().is_none() || follower.last_read_failed();
        let now = Instant::now();
        if must_read || recheck_at.is_some_and(|at| now >= at) {
            return false;
        }
        let evidence = ListEvidence {
            last_read_at: known.last_read_at,
            current_as_of: known.copy.current_as_of,
            differs_as_of: comparison.differs_as_of,
        };
        let drain = Duration::from_millis(state.tuning().timing.drain_ms);
        let pace = ListReadPace::new(drain, reader(peers), self.jitter);
        !pace.is_read_due(&evidence, now)
    }
}

fn reader(peers: &PeerHandle) -> ListReader {
    if !peers.is_relay() {
        return ListReader::Member;
    }
    ListReader::Relay {
        heartbeat_interval: peers.heartbeat_interval(),
    }
}
