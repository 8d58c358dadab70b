//! Outages of the store, as the calls of a client show them.

use std::sync::{Arc, Mutex};

use tokio::time::Instant;

use crate::{
    policy::store_outage::{EndedCall, Recovery, StoreOutages},
    sync::lock,
};

/// The latest outage, shared by the clones of a client.
#[derive(Clone, Debug)]
pub(super) struct OutageTracker {
    created_at: Instant,
    outages: Arc<Mutex<StoreOutages>>,
}

impl OutageTracker {
    pub(super) fn new() -> Self {
        Self {
            created_at: Instant::now(),
            outages: Arc::default(),
        }
    }

    /// Notes a call that was sent at `sent_at` and has ended now.
    pub(super) fn note_call(&self, sent_at: Instant, is_answered: bool) {
        let call = EndedCall {
            sent_ms: self.ms_at(sent_at),
            ended_ms: self.ms_at(Instant::now()),
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
