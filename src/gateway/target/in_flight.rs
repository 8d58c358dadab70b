//! Counts the requests in flight on each target.

use std::sync::Arc;

use crate::gateway::state::State;

/// Counts a request as in flight on a target until the guard is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct InFlightGuard {
    state: Arc<State>,
    target: Arc<str>,
    prefill_tokens: u64,
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
        }
    }

    /// Records that the prefill of the prompt is complete.
    pub(in crate::gateway) fn record_prefilled(&mut self) {
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
        self.record_prefilled();
        let mut loads = self.state.loads();
        loads.update_own_load(&self.target, |own| own.requests -= 1);
    }
}
