//! The attempts made for a request, and the decision whether to retry the request.

use std::{sync::Arc, time::Duration};

use crate::{
    call::Call,
    gateway::{caller::reply::Refusal, state::State, target::attempt::AttemptError},
    policy::retry::{FailedAttempt, Failure, RetryDecision, decide_retry},
    service::Repeat,
};

/// Attempts made for a request so far.
#[derive(Debug, Default)]
pub(in crate::gateway) struct AttemptHistory {
    /// Targets tried, including unreachable ones.
    pub(in crate::gateway) tried: Vec<Arc<str>>,
    /// Number of attempts whose request may have reached the target.
    pub(in crate::gateway) attempts: u32,
    /// Whether the request may have run in any attempt.
    pub(in crate::gateway) may_have_run: bool,
}

impl AttemptHistory {
    /// Returns whether no attempt can have reached a target. A refusal can then state
    /// that the request did not run.
    pub(in crate::gateway) fn is_unsent(&self) -> bool {
        self.attempts == 0 && !self.may_have_run
    }

    /// Records a failed attempt and decides whether to retry.
    pub(in crate::gateway) fn record_failure(
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
        // While no attempt has reached a target, the next one is not an extra
        // send and needs no retry budget.
        decide_retry(&attempt, || {
            self.attempts == 0 || state.withdraw_retry(&call.service)
        })
    }

    /// Returns the refusal for a request that crashes targets and must not be sent (again);
    /// the quarantine ends after `left`. `last` is the error of the last attempt.
    pub(in crate::gateway) fn quarantine_refusal(
        &self,
        left: Duration,
        last: Option<&AttemptError>,
    ) -> Refusal {
        match self.may_have_run {
            true => self.refusal(last),
            false => Refusal::quarantined(left),
        }
    }

    /// Returns the refusal for a request of which no attempt succeeded; `last` is
    /// the error of the last attempt.
    pub(in crate::gateway) fn refusal(&self, last: Option<&AttemptError>) -> Refusal {
        let timed_out = last.is_some_and(|error| error.failure == Failure::Timeout);
        match (self.may_have_run, timed_out) {
            (true, true) => Refusal::Timeout,
            (true, false) => Refusal::AnswerLost,
            (false, _) if self.attempts > 0 => Refusal::TargetsRefused,
            (false, _) => Refusal::NoTarget,
        }
    }
}
