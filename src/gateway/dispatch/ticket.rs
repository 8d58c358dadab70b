//! Reports on one placement.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use super::client::Dispatch;

/// Reports the progress of a placement to the dispatcher, and its end when dropped.
#[derive(Debug)]
pub(in crate::gateway) struct Ticket {
    dispatch: Arc<Dispatch>,
    service: Arc<str>,
    number: u64,
    is_prefilled: AtomicBool,
    /// Whether the dispatcher does not count the placement, so that its end is not reported.
    is_discarded: bool,
}

impl Ticket {
    pub(super) fn new(dispatch: &Arc<Dispatch>, service: &Arc<str>, number: u64) -> Self {
        Self {
            dispatch: dispatch.clone(),
            service: service.clone(),
            number,
            is_prefilled: AtomicBool::new(false),
            is_discarded: false,
        }
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Drops the ticket of a request that the dispatcher has refused.
    pub(super) fn discard(mut self) {
        self.is_discarded = true;
    }

    /// Reports that the prompt is prefilled. Later calls have no effect.
    pub(in crate::gateway) fn record_prefilled(&self) {
        if !self.is_prefilled.swap(true, Ordering::Relaxed) {
            self.dispatch.report_prefilled(&self.service, self.number);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.is_discarded {
            return;
        }
        self.dispatch.report_end(&self.service, self.number);
    }
}
