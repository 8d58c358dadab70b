//! Counts the requests in flight on each target.

use std::sync::Arc;

use crate::gateway::{dispatch::Ticket, state::State};

/// Counts a request as in flight on a target until the guard is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct InFlightGuard {
    state: Arc<State>,
    target: Arc<str>,
    prefill_tokens: u64,
    /// Reports the progress of the placement to the dispatcher, if there is one. Dropped
    /// with the guard, which reports the end.
    ticket: Option<Ticket>,
}

impl InFlightGuard {
    /// Counts a request whose prompt needs a prefill of `prefill_tokens`.
    pub(in crate::gateway) fn new(
        state: &Arc<State>,
        target: &Arc<str>,
        prefill_tokens: u64,
    ) -> Self {
        {
            let mut loads = state.loads();
            loads.update_own_load(target, |own| {
                own.requests += 1;
                own.prefill_tokens += prefill_tokens;
            });
            if prefill_tokens > 0 {
                loads.record_prompt(target, prefill_tokens);
            }
        }
        Self {
            state: state.clone(),
            target: target.clone(),
            prefill_tokens,
            ticket: None,
        }
    }

    /// Reports the progress of the request with `ticket`.
    pub(in crate::gateway) fn with_ticket(mut self, ticket: Option<Ticket>) -> Self {
        self.ticket = ticket;
        self
    }

    /// Records that the prefill of the prompt is complete.
    pub(in crate::gateway) fn record_prefilled(&mut self) {
        if let Some(ticket) = &self.ticket {
            ticket.record_prefilled();
        }
        self.discount_prefill();
    }

    /// Subtracts the prompt from the load of this instance on the target.
    fn discount_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        if tokens == 0 {
            return;
        }
        let mut loads = self.state.loads();
        loads.update_own_load(&self.target, |own| own.prefill_tokens -= tokens);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.discount_prefill();
        let mut loads = self.state.loads();
        loads.update_own_load(&self.target, |own| own.requests -= 1);
    }
}
