//! Retries and hedged requests, and the budget that they share.

use derive_more::{Display, IsVariant};

use crate::service::Repeat;

/// Number of thousandths in one retry. Budgets are counted in thousandths of a retry.
const MILLI: u64 = 1_000;
/// Maximum number of attempts of a request, including the first one, unless the
/// request's route sets another maximum.
pub const MAX_ATTEMPTS: u32 = 3;
/// A request is hedged (also sent to a second target) once the elapsed time
/// reaches this multiple of the predicted time to the first token.
const HEDGE_FACTOR: f64 = 3.0;
/// Lower bound of the time after which a request is hedged, in milliseconds.
const MIN_HEDGE_MS: f64 = 50.0;

/// A budget that limits retries to a fraction of the successful requests.
///
/// Each successful request adds a fraction of a retry to the budget.
///
/// ```
/// use lavenderwind::policy::retry::RetryBudget;
///
/// // Each success adds 100 thousandths of a retry; the budget starts with 1 retry.
/// let mut budget = RetryBudget::new(100, 1);
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// for _ in 0..10 {
///     budget.record_success();
/// }
/// assert!(budget.withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Thousandths of a retry that each success adds.
    ratio_milli: u64,
    max_milli: u64,
    level_milli: u64,
}

impl RetryBudget {
    /// Creates a budget that holds at most `max_retries` retries and is full at the
    /// start. Each success adds `ratio_milli` thousandths of a retry.
    #[must_use]
    pub fn new(ratio_milli: u64, max_retries: u64) -> Self {
        let max_milli = max_retries * MILLI;
        Self {
            ratio_milli,
            max_milli,
            level_milli: max_milli,
        }
    }

    /// Adds the fraction of a retry that each successful request adds to the budget.
    pub fn record_success(&mut self) {
        self.level_milli = (self.level_milli + self.ratio_milli).min(self.max_milli);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        let Some(level_milli) = self.level_milli.checked_sub(MILLI) else {
            return false;
        };
        self.level_milli = level_milli;
        true
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Display, Eq, IsVariant, PartialEq)]
pub enum Failure {
    /// No byte of the request was written to the target.
    NotWritten,
    /// The target refused the request without running any of it.
    Refused,
    /// The target's answer was incomplete, or the connection was lost. Log lines name
    /// this failure `Cut`.
    #[display("Cut")]
    IncompleteAnswer,
    /// The target did not answer in time.
    Timeout,
}

/// Outcome that is reported to the caller when a request is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpOutcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: Failure,
    /// Whether the route allows the request to run more than once.
    pub repeat: Repeat,
    /// Attempts made, including this one.
    pub attempts: u32,
    /// Maximum number of attempts, including the first one.
    pub max_attempts: u32,
    /// Whether a target may have run any part of an earlier attempt.
    pub may_have_run: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Sends the request to another target.
    Retry,
    /// Reports the outcome to the caller.
    GiveUp(GiveUpOutcome),
}

/// Decides whether a failed attempt is retried.
///
/// `withdraw` takes a retry from the budget and returns false if none is left.
/// It is called only if a retry is otherwise allowed.
pub fn decide_retry<W>(attempt: &FailedAttempt, withdraw: W) -> RetryDecision
where
    W: FnOnce() -> bool,
{
    let did_not_run = attempt.failure.is_not_written() || attempt.failure.is_refused();
    let outcome = match did_not_run && !attempt.may_have_run {
        true => GiveUpOutcome::NotRun,
        false => GiveUpOutcome::Unknown,
    };
    let may_repeat = attempt.repeat == Repeat::Idempotent || outcome == GiveUpOutcome::NotRun;
    if !may_repeat || attempt.attempts >= attempt.max_attempts || !withdraw() {
        return RetryDecision::GiveUp(outcome);
    }
    RetryDecision::Retry
}

/// Returns whether a request that has no first token yet is also sent to a second
/// target. If so, takes a retry from the budget.
///
/// `elapsed_ms` is the time since the request was sent, and `predicted_ms` the
/// predicted time to its first token.
pub fn should_hedge(
    repeat: Repeat,
    elapsed_ms: u64,
    predicted_ms: f64,
    budget: &mut RetryBudget,
) -> bool {
    let hedge_after_ms = (predicted_ms * HEDGE_FACTOR).max(MIN_HEDGE_MS);
    repeat == Repeat::Idempotent && elapsed_ms as f64 >= hedge_after_ms && budget.withdraw()
}
