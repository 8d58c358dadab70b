//! Outcomes of the calls to the store, for all topics together.

use tokio::{sync::watch, time::Instant};

/// Latest outcomes of the calls of an instance to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallOutcomes {
    /// When the store last answered a call, with any status but a server error.
    pub answered_at: Option<Instant>,
    /// When a call last failed: there was no answer, or a server error.
    pub failed_at: Option<Instant>,
    /// Whether the topics share their retries.
    pub shares_retries: bool,
}

/// The latest outcomes, shared by the clones of a client.
#[derive(Clone, Debug, Default)]
pub(super) struct OutcomeTracker {
    latest: watch::Sender<CallOutcomes>,
}

impl OutcomeTracker {
    pub(super) fn subscribe(&self) -> watch::Receiver<CallOutcomes> {
        self.latest.subscribe()
    }

    pub(super) fn share_retries(&self, shares: bool) {
        self.latest
            .send_modify(|latest| latest.shares_retries = shares);
    }

    pub(super) fn note_answer(&self) {
        let now = Instant::now();
        self.latest
            .send_modify(|latest| latest.answered_at = Some(now));
    }

    pub(super) fn note_failure(&self) {
        let now = Instant::now();
        self.latest
            .send_modify(|latest| latest.failed_at = Some(now));
    }
}
