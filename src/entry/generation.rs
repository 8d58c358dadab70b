//! Generates an answer on the engines, over one or more attempts.

use std::{sync::Arc, time::Duration};

use futures_util::FutureExt;
use tokio::time::timeout;

use crate::{
    entry::{
        attempt::{Attempt, AttemptEnd, AttemptError, Event},
        call::Call,
        context::EntryContext,
        error::{Error, Outcome, Result},
        openai::CompletionRequest,
        permit::Demand,
        token_timing::TokenTiming,
    },
    target::{
        protocol::{FinishReason, GenerateRequest},
        tokens::{block_hashes, estimate_tokens},
    },
};

/// Number of attempts, including attempts that did not run on a target, after
/// which a failed attempt that may have run is not retried.
const MAX_ATTEMPTS: u32 = 8;

/// Number of consecutive attempts without a token after which the request fails.
/// Counts only attempts that may have run on a target.
const MAX_ATTEMPTS_WITHOUT_TOKEN: u32 = 3;

/// Number of attempts that did not run on a target after which the request fails.
const MAX_NOT_RUN_ATTEMPTS: u32 = 8;

/// Lower bound of the time without a first token after which an attempt counts as
/// stalled.
const MIN_FIRST_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Lower bound of the time without a further token after which an attempt counts
/// as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Multiple of the route's `first_token_ms` after which an attempt without a token
/// counts as stalled.
const FIRST_STALL_FACTOR: u64 = 4;

/// Multiple of the route's `between_tokens_ms` after which an attempt without a
/// further token counts as stalled.
const STALL_FACTOR: u64 = 20;

/// The next token of an answer, or its end.
#[derive(Debug)]
pub(super) enum Step {
    /// Text of the next token.
    Token(String),
    /// The answer is complete.
    Done(Finish),
}

/// Finish reason and token counts of a complete answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finish {
    /// Why the answer ended.
    pub(super) reason: FinishReason,
    /// Prompt tokens.
    pub(super) prompt_tokens: u32,
    /// Prompt tokens found in the engine's KV cache.
    pub(super) cached_tokens: u32,
    /// Generated tokens.
    pub(super) output_tokens: u32,
}

/// An answer in progress.
///
/// Dropping the generation cancels the engine's stream. The usage is recorded if a
/// target may have run the request.
#[derive(Debug)]
pub(super) struct Generation {
    context: EntryContext,
    call: Arc<Call>,
    /// Request for the next attempt, with the tokens received so far.
    request: GenerateRequest,
    demand: Arc<Demand>,
    current: Option<Attempt>,
    /// Event that [`Self::next_ready`] received and left to [`Self::next`], because
    /// the event was not the next token.
    pending_event: Option<std::result::Result<Event, AttemptError>>,
    /// Number of failed attempts that did not run on their target.
    not_run_attempts: u32,
    /// Number of failed attempts since the last token that may have run on their
    /// target.
    attempts_without_token: u32,
    /// Targets on which an attempt of this request failed.
    failed_targets: Vec<Arc<str>>,
    /// Whether a target may have run the request.
    may_have_run: bool,
    finish: Option<Finish>,
    token_timing: TokenTiming,
}

impl Generation {
    /// Prepares an answer. The first call of [`Self::next`] sends the request.
    pub(super) fn new(
        context: &EntryContext,
        call: &Arc<Call>,
        request: &CompletionRequest,
        version: &Arc<str>,
    ) -> Self {
        let (model, adapter) = request.model_parts();
        let prompt_tokens = estimate_tokens(&request.prompt);
        let route = &call.route_entry.route;
        let demand = Demand {
            kind: Arc::clone(&route.target_kind),
            model: Arc::from(model),
            version: Arc::clone(version),
            adapter: Arc::from(adapter),
            account: Arc::clone(&call.account.full_name),
            weight: call.account.account.weight,
            prompt_tokens,
            output_tokens: request.max_tokens,
            prefix_blocks: block_hashes(&request.prompt),
            deadline: Some(call.first_token_deadline()),
            between_tokens_ms: route.between_tokens_ms,
        };
        let request = GenerateRequest {
            request_id: Arc::clone(&call.id),
            attempt: 0,
            model: Arc::clone(&demand.model),
            adapter: Arc::clone(&demand.adapter),
            prompt: Arc::clone(&request.prompt),
            resume_text: String::new(),
            resume_tokens: 0,
            max_tokens: request.max_tokens,
            priority: 0,
            prefix_blocks: demand.prefix_blocks.clone(),
            prefill_only: false,
            sampling: request.sampling,
        };
        Self {
            context: context.clone(),
            call: Arc::clone(call),
            request,
            demand: Arc::new(demand),
            current: None,
            pending_event: None,
            not_run_attempts: 0,
            attempts_without_token: 0,
            failed_targets: Vec::new(),
            may_have_run: false,
            finish: None,
            token_timing: TokenTiming::new(call.received_at, route),
        }
    }

    /// Waits for the next step.
    ///
    /// # Errors
    ///
    /// Fails once no further attempt is allowed. [`Error::outcome`] tells whether
    /// the request ran on a target.
    pub(super) async fn next(&mut self) -> Result<Step> {
        loop {
            let wait = self.stall_timeout();
            let Some(attempt) = &mut self.current else {
                self.dispatch().await?;
                continue;
            };
            let event = match self.pending_event.take() {
                Some(event) => event,
                None => match timeout(wait, attempt.next()).await {
                    Ok(event) => event,
                    Err(_) => Err(AttemptError::Stalled),
                },
            };
            match event.and_then(|event| self.check_event(event)) {
                Ok(Some(step)) => return Ok(step),
                Ok(None) => {}
                Err(error) => self.fail_attempt(error).await?,
            }
        }
    }

    /// Returns the text of the next token if it has already arrived.
    pub(super) fn next_ready(&mut self) -> Option<String> {
        let attempt = self.current.as_mut()?;
        let event = attempt.next().now_or_never()?;
        if let Ok(Event::Token { index, text }) = event {
            if index == self.request.resume_tokens {
                self.append_token(&text);
                return Some(text);
            }
            self.pending_event = Some(Ok(Event::Token { index, text }));
            return None;
        }
        self.pending_event = Some(event);
        None
    }

    /// Ends the answer early because its text contains a stop sequence.
    pub(super) fn stop(&mut self) -> Finish {
        let finish = Finish {
            reason: FinishReason::Stop,
            prompt_tokens: self.demand.prompt_tokens,
            cached_tokens: 0,
            output_tokens: self.request.resume_tokens,
        };
        self.finish = Some(finish);
        finish
    }

    /// Token latencies of the answer so far.
    pub(super) fn token_timing(&self) -> &TokenTiming {
        &self.token_timing
    }

    /// Starts the next attempt.
    async fn dispatch(&mut self) -> Result<()> {
        if self.call.remaining().is_zero() {
            return Err(Error::DeadlineExceeded {
                outcome: self.outcome(),
            });
        }
        let attempt = Attempt::acquire(
            &self.context,
            &self.call,
            &self.demand,
            &self.failed_targets,
        )
        .await;
        let attempt = attempt.map_err(|error| self.refusal_or_failure(error))?;
        self.request.attempt += 1;
        match attempt
            .start(&self.context, &self.request, self.stall_timeout())
            .await
        {
            Ok(attempt) => {
                self.may_have_run = true;
                self.current = Some(attempt);
                Ok(())
            }
            Err((attempt, error)) => {
                self.may_have_run |= error.may_have_run();
                self.current = Some(attempt);
                self.fail_attempt(error).await
            }
        }
    }

    /// Checks that an event continues the answer without a gap.
    ///
    /// Skips tokens that were already received. An engine may repeat such tokens
    /// after it has resumed an answer.
    fn check_event(&mut self, event: Event) -> std::result::Result<Option<Step>, AttemptError> {
        match event {
            Event::Accepted => Ok(None),
            Event::Token { index, text } => {
                if index < self.request.resume_tokens {
                    return Ok(None);
                }
                if index > self.request.resume_tokens {
                    return Err(AttemptError::Incomplete);
                }
                self.append_token(&text);
                Ok(Some(Step::Token(text)))
            }
            Event::Done(finish) => {
                if finish.output_tokens != self.request.resume_tokens {
                    return Err(AttemptError::Incomplete);
                }
                self.finish = Some(finish);
                if let Some(attempt) = self.current.take() {
                    attempt.succeed(&self.context, &self.call, finish);
                }
                Ok(Some(Step::Done(finish)))
            }
        }
    }

    fn append_token(&mut self, text: &str) {
        self.request.resume_tokens += 1;
        self.request.resume_text.push_str(text);
        self.attempts_without_token = 0;
        self.token_timing.record_token();
    }

    /// Ends the current attempt after a failure. Returns an error if the request
    /// must not be retried.
    async fn fail_attempt(&mut self, error: AttemptError) -> Result<()> {
        let Some(attempt) = self.current.take() else {
            return Ok(());
        };
        let target = Arc::clone(attempt.target_name());
        let may_have_run = error.may_have_run();
        tracing::warn!(
            request = &*self.call.id,
            "entry: attempt {} on {target} failed: {error}",
            self.request.attempt,
        );
        let attempt_end = attempt.fail(&self.context, &self.call, &error).await;
        if !self.failed_targets.contains(&target) {
            self.failed_targets.push(target);
        }
        if attempt_end == AttemptEnd::Quarantined {
            return Err(Error::Quarantined {
                outcome: self.outcome(),
            });
        }
        if !may_have_run {
            self.not_run_attempts += 1;
            if self.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS {
                return Err(self.refusal_or_failure(Error::NoTarget));
            }
            return Ok(());
        }
        self.attempts_without_token += 1;
        let target_left = attempt_end == AttemptEnd::TargetLeft;
        if self.may_retry() && (target_left || self.context.allow_retry()) {
            Arc::make_mut(&mut self.demand).deadline = Some(self.call.deadline());
            return Ok(());
        }
        Err(Error::TargetFailed {
            reason: Arc::from(error.public_reason()),
            outcome: self.outcome(),
        })
    }

    fn may_retry(&self) -> bool {
        self.call.is_idempotent()
            && self.request.attempt < MAX_ATTEMPTS
            && self.attempts_without_token < MAX_ATTEMPTS_WITHOUT_TOKEN
    }

    /// Returns the refusal `error` if no attempt can have run on a target, and
    /// [`Error::TargetFailed`] otherwise.
    fn refusal_or_failure(&self, error: Error) -> Error {
        if !self.may_have_run {
            return error;
        }
        Error::TargetFailed {
            reason: Arc::from(error.to_string()),
            outcome: self.outcome(),
        }
    }

    /// Outcome that an error reports if the request fails now.
    fn outcome(&self) -> Outcome {
        if self.request.resume_tokens > 0 {
            return Outcome::Ran;
        }
        if self.may_have_run {
            return Outcome::Unknown;
        }
        Outcome::NotRun
    }

    /// Time without an event after which the attempt counts as stalled.
    fn stall_timeout(&self) -> Duration {
        let route = &self.call.route_entry.route;
        let wait = if self.request.resume_tokens == 0 {
            MIN_FIRST_STALL_TIMEOUT.max(Duration::from_millis(
                FIRST_STALL_FACTOR * route.first_token_ms,
            ))
        } else {
            MIN_STALL_TIMEOUT.max(Duration::from_millis(
                STALL_FACTOR * route.between_tokens_ms,
            ))
        };
        wait.min(self.call.remaining())
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if let Some(attempt) = self.current.take() {
            attempt.cancel(&self.context, &self.call);
        }
        if !self.may_have_run {
            return;
        }
        let prompt_tokens = self
            .finish
            .map_or(self.demand.prompt_tokens, |finish| finish.prompt_tokens);
        let output_tokens = self.request.resume_tokens;
        self.context
            .record_usage(&self.call, prompt_tokens, output_tokens);
    }
}
