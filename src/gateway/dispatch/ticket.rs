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
}

impl Ticket {
    pub(super) fn new(dispatch: &Arc<Dispatch>, service: &Arc<str>, number: u64) -> Self {
        Self {
            dispatch: dispatch.clone(),
            service: service.clone(),
            number,
            is_prefilled: AtomicBool::new(false),
        }
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
        self.dispatch.report_end(&self.service, self.number);
    }
}
