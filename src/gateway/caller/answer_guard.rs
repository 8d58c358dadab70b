//! Notices requests that end without their answers.

use std::sync::Arc;

use tokio::time::Instant;

use crate::call::Caller;

/// Logs a request that is dropped before its answer is complete, as its connection has
/// ended.
#[derive(Debug)]
pub(in crate::gateway) struct AnswerGuard {
    id: Option<Arc<str>>,
    caller: Caller,
    received_at: Instant,
    is_answered: bool,
}

impl AnswerGuard {
    /// Guards the request with the identifier `id`; `None` if it cannot be read.
    pub(in crate::gateway) fn new(
        id: Option<Arc<str>>,
        caller: Caller,
        received_at: Instant,
    ) -> Self {
        Self {
            id,
            caller,
            received_at,
            is_answered: false,
        }
    }

    /// Records that the answer is complete or that another guard takes over.
    pub(in crate::gateway) fn finish(&mut self) {
        self.is_answered = true;
    }

    /// Returns whether [`Self::finish`] was called.
    pub(in crate::gateway) fn is_finished(&self) -> bool {
        self.is_answered
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let progress = self.caller.progress();
        let outcome = match progress.sends {
            0 => "not run",
            _ => "unknown",
        };
        tracing::info!(
            request = self.id.as_deref().unwrap_or("-"),
            step = %progress.step,
            target = progress.target_id(),
            sends = progress.sends,
            step_ms = progress.step_time().as_millis() as u64,
            elapsed_ms = self.received_at.elapsed().as_millis() as u64,
            "gateway: request dropped, as its caller has left; outcome {outcome}"
        );
        let step = progress.step.to_string();
        metrics::counter!("gateway_requests_dropped_total", "step" => step).increment(1);
    }
}
