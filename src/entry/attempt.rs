//! One attempt to run a request: on a single engine, or on one engine for the
//! prefill and another for the decoding.

use std::{sync::Arc, time::Duration};

use displaydoc::Display;
use tokio::time::{Instant, timeout};

use crate::{
    entry::{
        call::Call,
        context::EntryContext,
        crash::{has_crashed, is_leaving, is_suspect, record_crash},
        error::Result,
        generation::Finish,
        permit::{Demand, Permit, TargetMeasurement},
        suspect::SuspectGuard,
    },
    target::{
        self, EventStream,
        protocol::{GenerateEvent, GenerateRequest, KvTransfer},
        table::TargetView,
    },
};

/// Why an attempt failed.
#[derive(Debug, Display)]
pub(super) enum AttemptError {
    /// {0}
    Target(target::Error),
    /// the engine refused the request: {0}
    Refused(Arc<str>),
    /// the engine failed to finish the answer: {0}
    Failed(Arc<str>),
    /// the engine sent no event within the stall timeout
    Stalled,
    /// the engine's stream is incomplete
    Incomplete,
}

impl AttemptError {
    /// Whether the engine may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::Target(error) => error.may_have_been_sent(),
            Self::Refused(_) => false,
            Self::Failed(_) | Self::Stalled | Self::Incomplete => true,
        }
    }
}

impl AttemptError {
    /// Description of the cause for callers, to follow "the target failed";
    /// contains no addresses.
    pub(super) const fn public_reason(&self) -> &'static str {
        match self {
            Self::Target(target::Error::Connect { .. }) => "it cannot be reached",
            Self::Target(target::Error::WrongRequest { .. }) => {
                "its answer belongs to another request"
            }
            Self::Target(target::Error::Status { .. }) | Self::Refused(_) => {
                "it refused the request"
            }
            Self::Target(_) => "its answer was interrupted or invalid",
            Self::Failed(_) => "it could not finish the answer",
            Self::Stalled => "it stopped sending data",
            Self::Incomplete => "its answer is incomplete",
        }
    }
}

/// Effect of a failed attempt on its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptEnd {
    /// The request may be retried. The retry counts against the retry budget if
    /// the engine may have run the request.
    Failed,
    /// The engine is being drained or was removed. A retry does not count against
    /// the retry budget.
    TargetLeft,
    /// The request is quarantined because it was in flight at several engine
    /// crashes.
    Quarantined,
}

/// An event of the engine's stream that does not report a failure.
#[derive(Debug)]
pub(super) enum Event {
    /// The engine accepted the request.
    Accepted,
    /// A generated token.
    Token {
        /// Index of the token in the answer, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done(Finish),
}

/// An attempt that has a permit for its engine.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Number of the attempt, from 1; 0 until the attempt is started.
    number: u32,
    /// Boot identifier of `engine`, to detect a restart.
    boot: Option<Arc<str>>,
    permit: Permit,
    /// Engine that currently processes the request: the prefill engine until
    /// the KV cache is transferred, then the target of the permit.
    engine: TargetView,
    stream: Option<EventStream>,
    first_token_at: Option<Instant>,
    received_tokens: u32,
    /// Reserves the target for this request if the request is a suspect.
    _suspect_guard: Option<SuspectGuard>,
}

impl Attempt {
    /// Waits for a permit and checks again that the request may run.
    ///
    /// A suspect, which is a request that was in flight when an engine crashed, gets
    /// only an engine on which no other suspect runs.
    ///
    /// # Errors
    ///
    /// Fails for the reasons of `Scheduler::acquire` and [`Call::recheck`].
    pub(super) async fn acquire(
        context: &EntryContext,
        call: &Call,
        demand: &Arc<Demand>,
        failed_targets: &[Arc<str>],
    ) -> Result<Self> {
        loop {
            let suspect = is_suspect(context, call);
            let mut excluded = failed_targets.to_vec();
            if suspect {
                excluded.extend(context.suspect_requests().occupied_targets());
            }
            let permit = context.scheduler().acquire(demand, &excluded).await?;
            call.recheck(context)?;
            if !permit.is_usable() {
                continue;
            }
            let guard = if suspect {
                let released = context.suspect_requests().released();
                match context.suspect_requests().occupy(&permit.target.name) {
                    Some(guard) => Some(guard),
                    None => {
                        drop(permit);
                        let _ = timeout(call.remaining(), released).await;
                        continue;
                    }
                }
            } else {
                None
            };
            let engine = permit.prefill.as_ref().unwrap_or(&permit.target).clone();
            return Ok(Self {
                number: 0,
                boot: None,
                permit,
                engine,
                stream: None,
                first_token_at: None,
                received_tokens: 0,
                _suspect_guard: guard,
            });
        }
    }

    /// Sends the request to the engine. If the permit names a prefill engine, the
    /// prefill runs there first.
    ///
    /// `stall_timeout` limits the wait for the start of the stream, for each event
    /// of the prefill, and for the transfer of the KV cache.
    ///
    /// # Errors
    ///
    /// Returns the cause, together with the attempt so that the caller can end it.
    pub(super) async fn start(
        mut self,
        context: &EntryContext,
        request: &GenerateRequest,
        stall_timeout: Duration,
    ) -> std::result::Result<Self, (Self, AttemptError)> {
        self.number = request.attempt;
        if self.permit.prefill.is_some()
            && let Err(error) = self.run_prefill(context, request, stall_timeout).await
        {
            return Err((self, error));
        }
        self.boot = engine_boot(&self.engine);
        let engine = context.engine_client();
        let address = Arc::clone(&self.engine.address);
        match timeout(stall_timeout, engine.generate(&address, request)).await {
            Ok(Ok(stream)) => {
                self.stream = Some(stream);
                Ok(self)
            }
            Ok(Err(error)) => Err((self, AttemptError::Target(error))),
            Err(_) => Err((self, AttemptError::Stalled)),
        }
    }
}

impl Attempt {
    /// Name of the engine that currently processes the request.
    pub(super) fn target_name(&self) -> &Arc<str> {
        &self.engine.name
    }

    /// Runs the prefill on the prefill engine and has the decode engine import
    /// the KV cache.
    ///
    /// A failed transfer does not fail the attempt: the decode engine then
    /// computes the prefill itself.
    async fn run_prefill(
        &mut self,
        context: &EntryContext,
        request: &GenerateRequest,
        stall_timeout: Duration,
    ) -> std::result::Result<(), AttemptError> {
        self.boot = engine_boot(&self.engine);
        let mut prefill_request = request.clone();
        prefill_request.prefill_only = true;
        let stream = context
            .engine_client()
            .generate(&self.engine.address, &prefill_request);
        let stream = timeout(stall_timeout, stream)
            .await
            .map_err(|_| AttemptError::Stalled)?;
        self.stream = Some(stream.map_err(AttemptError::Target)?);
        loop {
            let event = timeout(stall_timeout, self.next()).await;
            match event.map_err(|_| AttemptError::Stalled)?? {
                Event::Accepted => {}
                Event::Token { .. } => return Err(AttemptError::Incomplete),
                Event::Done(_) => break,
            }
        }
        self.stream = None;
        self.permit.end_prefill();
        let source = std::mem::replace(&mut self.engine, self.permit.target.clone());
        let transfer = KvTransfer {
            request_id: Arc::clone(&request.request_id),
            blocks: request.prefix_blocks.clone(),
            source_address: source.address,
        };
        let imported = context
            .engine_client()
            .kv_import(&self.engine.address, &transfer);
        match timeout(stall_timeout, imported).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => tracing::warn!("entry: KV cache transfer failed: {error}"),
            Err(_) => tracing::warn!("entry: KV cache transfer timed out"),
        }
        Ok(())
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks or ends without a `Done` event, or if the
    /// engine reports a failure.
    pub(super) async fn next(&mut self) -> std::result::Result<Event, AttemptError> {
        let Some(stream) = &mut self.stream else {
            return Err(AttemptError::Incomplete);
        };
        match stream.next().await.map_err(AttemptError::Target)? {
            Some(GenerateEvent::Accepted { boot, .. }) => {
                self.boot = Some(boot);
                Ok(Event::Accepted)
            }
            Some(GenerateEvent::Token { index, text }) => {
                self.received_tokens += 1;
                self.first_token_at.get_or_insert_with(Instant::now);
                Ok(Event::Token { index, text })
            }
            Some(GenerateEvent::Done {
                finish_reason,
                prompt_tokens,
                cached_tokens,
                output_tokens,
                ..
            }) => Ok(Event::Done(Finish {
                reason: finish_reason,
                prompt_tokens,
                cached_tokens,
                output_tokens,
            })),
            Some(GenerateEvent::Failed { reason, not_run }) if not_run => {
                Err(AttemptError::Refused(reason))
            }
            Some(GenerateEvent::Failed { reason, .. }) => Err(AttemptError::Failed(reason)),
            None => Err(AttemptError::Incomplete),
        }
    }

    /// Ends the attempt after a complete answer and records its measurements.
    pub(super) fn succeed(mut self, context: &EntryContext, call: &Call, finish: Finish) {
        self.permit
            .set_served(finish.prompt_tokens, finish.output_tokens);
        self.permit.set_measurement(TargetMeasurement {
            between_tokens_ms: self.between_tokens_ms(),
            cached_tokens: Some(finish.cached_tokens),
            latency_ms: None,
        });
        context.targets().mark_success(&self.engine.name);
        context.suspect_requests().clear(call);
    }

    /// Mean time between the tokens of this attempt, in milliseconds. `None` if
    /// fewer than two tokens have arrived.
    fn between_tokens_ms(&self) -> Option<f64> {
        let elapsed = self.first_token_at?.elapsed();
        let gaps = self
            .received_tokens
            .checked_sub(1)
            .filter(|gaps| *gaps > 0)?;
        Some(elapsed.as_secs_f64() * 1_000.0 / f64::from(gaps))
    }

    /// Cancels the attempt on the engine in the background.
    pub(super) fn cancel(self, context: &EntryContext, call: &Call) {
        let engine = context.engine_client().clone();
        let address = Arc::clone(&self.engine.address);
        let id = Arc::clone(&call.id);
        let number = self.number;
        drop(self.stream);
        context.tasks().spawn(async move {
            if let Err(error) = engine.cancel(&address, &id, number).await {
                tracing::debug!(
                    request = &*id,
                    "entry: attempt {number} could not be cancelled: {error}"
                );
            }
        });
    }

    /// Ends the attempt after a failure.
    ///
    /// If the engine has crashed, records that the request was in flight there.
    pub(super) async fn fail(
        self,
        context: &EntryContext,
        call: &Call,
        error: &AttemptError,
    ) -> AttemptEnd {
        let name = Arc::clone(&self.engine.name);
        if !error.may_have_run() {
            context.targets().mark_failure(&name);
            return AttemptEnd::Failed;
        }
        if is_leaving(context, &name) {
            self.cancel(context, call);
            return AttemptEnd::TargetLeft;
        }
        let boot = self.boot.as_deref();
        let stream_failed = matches!(error, AttemptError::Target(_));
        if !stream_failed || !has_crashed(context, &self.engine, boot).await {
            context.targets().mark_failure(&name);
            self.cancel(context, call);
            return AttemptEnd::Failed;
        }
        if record_crash(context, call, &name, boot.unwrap_or_default()).await {
            return AttemptEnd::Quarantined;
        }
        AttemptEnd::Failed
    }
}

fn engine_boot(engine: &TargetView) -> Option<Arc<str>> {
    let state = engine.engine.as_ref()?;
    Some(Arc::clone(&state.boot))
}
