//! Outcomes of the calls to the store, for all topics together.

use std::sync::{Arc, Mutex};

use tokio::{sync::watch, time::Instant};

use crate::{
    policy::store_outage::{EndedCall, Recovery, StoreOutages},
    sync::lock,
};

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

/// The latest outcomes and the latest outage, shared by the clones of a client.
#[derive(Clone, Debug)]
pub(super) struct OutcomeTracker {
    created_at: Instant,
    latest: watch::Sender<CallOutcomes>,
    outages: Arc<Mutex<StoreOutages>>,
}

impl OutcomeTracker {
    pub(super) fn new() -> Self {
        Self {
            created_at: Instant::now(),
            latest: watch::Sender::default(),
            outages: Arc::default(),
        }
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<CallOutcomes> {
        self.latest.subscribe()
    }

    pub(super) fn share_retries(&self, shares: bool) {
        self.latest
            .send_modify(|latest| latest.shares_retries = shares);
    }

    /// Notes a call that was sent at `sent_at` and has ended now.
    pub(super) fn note_call(&self, sent_at: Instant, is_answered: bool) {
        let ended_at = Instant::now();
        self.latest.send_modify(|latest| match is_answered {
            true => latest.answered_at = Some(ended_at),
            false => latest.failed_at = Some(ended_at),
        });
        let call = EndedCall {
            sent_ms: self.ms_at(sent_at),
            ended_ms: self.ms_at(ended_at),
            is_answered,
        };
        let Some(outage) = lock(&self.outages).observe(&call) else {
            return;
        };
        tracing::info!(
            outage_ms = outage.duration_ms,
            failed_calls = outage.failed_calls,
            "store: answers again after an outage"
        );
        metrics::counter!("store_outages_total").increment(1);
    }

    /// Returns the end of the latest outage; `None` if there was no outage.
    pub(super) fn recovery(&self) -> Option<Recovery> {
        lock(&self.outages).recovery(self.ms_at(Instant::now()))
    }

    fn ms_at(&self, at: Instant) -> u64 {
        at.duration_since(self.created_at).as_millis() as u64
    }
}
