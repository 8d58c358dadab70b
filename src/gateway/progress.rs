//! Which attempts a request has behind it, and whether another is made.

use std::sync::Arc;

use super::{attempt::AttemptError, reply::Refusal, state::State};
use crate::{
    call::Call,
    policy::retry::{FailedAttempt, Failure, RetryDecision, decide},
    service::Repeat,
};

/// What became of a request's attempts so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Targets that were tried.
    pub(super) tried: Vec<Arc<str>>,
    /// Requests that reached a target.
    pub(super) attempts: u32,
    /// Whether any of them may have run.
    pub(super) may_have_run: bool,
}

impl Progress {
    /// Returns whether no request reached a target, so that a refusal may say
    /// that nothing ran.
    pub(super) fn is_unsent(&self) -> bool {
        self.attempts == 0 && !self.may_have_run
    }

    /// Notes a failed attempt and decides whether another is made.
    pub(super) fn record_failure(
        &mut self,
        state: &State,
        call: &Call,
        failure: Failure,
    ) -> RetryDecision {
        let reached = !failure.is_not_written();
        self.attempts += u32::from(reached);
        let attempt = FailedAttempt {
            failure,
            repeat: match call.route.is_repeatable() {
                true => Repeat::Idempotent,
                false => Repeat::Once,
            },
            attempts: self.attempts,
            max_attempts: call.route.max_attempts,
            may_have_run: self.may_have_run,
        };
        self.may_have_run |= !(failure.is_not_written() || failure.is_refused());
        // A request that reached no target is not an extra send.
        decide(&attempt, || {
            self.attempts == 0 || state.withdraw_retry(&call.service)
        })
    }

    /// Returns the answer to the caller if no attempt succeeded.
    pub(super) fn refusal(&self, last: Option<&AttemptError>) -> Refusal {
        let timed_out = last.is_some_and(|error| error.failure == Failure::Timeout);
        match (self.may_have_run, timed_out) {
            (true, true) => Refusal::Timeout,
            (true, false) => Refusal::AnswerLost,
            (false, _) if self.attempts > 0 => Refusal::TargetsRefused,
            (false, _) => Refusal::NoTarget,
        }
    }
}
