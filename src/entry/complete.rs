//! Answers to chat and text completion requests.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{
    entry::{
        answer::{AnswerFields, Usage},
        burn::RequestResult,
        call::Call,
        context::EntryContext,
        error::{Error, Result},
        generation::{Finish, Generation, Step},
        openai::{CompletionRequest, Interface},
        reply::Reply,
        stop::StopFilter,
    },
    target::protocol::FinishReason,
};

/// An answer in progress, with the data to format the response.
///
/// If a completion is dropped before the answer is complete, the request is
/// counted as cancelled.
#[derive(Debug)]
pub(super) struct Completion {
    /// Fields common to all bodies of the answer.
    pub(super) fields: AnswerFields,
    /// Whether the stream ends with a usage event.
    pub(super) include_usage: bool,
    context: EntryContext,
    call: Arc<Call>,
    generation: Generation,
    stop_filter: StopFilter,
    /// Whether the result of the request was counted.
    recorded: bool,
}

/// A piece of an answer's text, or its end.
#[derive(Debug)]
pub(super) enum Piece {
    /// Text; empty while the received text may be the start of a stop sequence.
    Text(String),
    /// The answer is complete.
    End {
        /// Rest of the answer's text; may be empty.
        text: String,
        /// Why the answer ended.
        reason: FinishReason,
        /// Token usage of the request.
        usage: Usage,
    },
}

impl Completion {
    /// Prepares the answer to a validated request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ModelNotFound`] if the service has no such model or adapter.
    pub(super) fn new(
        context: &EntryContext,
        call: &Arc<Call>,
        request: &CompletionRequest,
    ) -> Result<Self> {
        let version = find_model_version(call, request)?;
        let prefix = match request.interface {
            Interface::Chat => "chatcmpl",
            Interface::Text => "cmpl",
        };
        let fields = AnswerFields {
            interface: request.interface,
            id: format!("{prefix}-{}", call.id),
            created: unix_seconds(),
            model: Arc::clone(&request.model),
        };
        Ok(Self {
            fields,
            include_usage: request.include_usage,
            context: context.clone(),
            call: Arc::clone(call),
            generation: Generation::new(context, call, request, &version),
            stop_filter: StopFilter::new(&request.stop),
            recorded: false,
        })
    }

    /// Waits for the next piece.
    ///
    /// # Errors
    ///
    /// Fails for the reasons of [`Generation::next`].
    pub(super) async fn next(&mut self) -> Result<Piece> {
        match self.generation.next().await {
            Ok(Step::Token(text)) => Ok(self.filter_token(&text)),
            Ok(Step::Done(finish)) => Ok(self.finish(finish)),
            Err(error) => {
                self.record_result(result_of_error(&error));
                Err(error)
            }
        }
    }

    /// Returns the next piece if the token for it has already arrived.
    pub(super) fn next_ready(&mut self) -> Option<Piece> {
        let text = self.generation.next_ready()?;
        Some(self.filter_token(&text))
    }

    /// Passes the text of a token through the stop filter, and ends the answer if
    /// that completes a stop sequence.
    fn filter_token(&mut self, token: &str) -> Piece {
        let (text, stopped) = self.stop_filter.push(token);
        if !stopped {
            return Piece::Text(text);
        }
        let finish = self.generation.stop();
        self.record_completion();
        Piece::End {
            text,
            reason: FinishReason::Stop,
            usage: usage_of(finish),
        }
    }

    /// Ends an answer that the engine has completed.
    fn finish(&mut self, finish: Finish) -> Piece {
        self.record_completion();
        Piece::End {
            text: self.stop_filter.finish(),
            reason: finish.reason,
            usage: usage_of(finish),
        }
    }

    /// Records the first-token latency, and counts the request as good or late.
    fn record_completion(&mut self) {
        let token_timing = self.generation.token_timing();
        if let Some(first_token) = token_timing.first_token() {
            metrics::histogram!("entry_first_token_seconds").record(first_token);
        }
        let good = token_timing.is_good(&self.call.route_entry.route);
        self.record_result(if good {
            RequestResult::Good
        } else {
            RequestResult::Late
        });
    }

    /// Counts the result of the request, unless it was already counted.
    fn record_result(&mut self, result: RequestResult) {
        if !self.recorded {
            self.recorded = true;
            self.context.record_result(&self.call, result);
        }
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        self.record_result(RequestResult::Cancelled);
    }
}

/// Waits for the complete answer and returns it as one body.
///
/// # Errors
///
/// Fails for the reasons of [`Completion::new`] and [`Completion::next`].
pub(super) async fn answer_buffered(
    context: &EntryContext,
    call: &Arc<Call>,
    request: &CompletionRequest,
) -> Result<Reply> {
    let mut completion = Completion::new(context, call, request)?;
    let mut answer = String::new();
    loop {
        match completion.next().await? {
            Piece::Text(text) => answer.push_str(&text),
            Piece::End {
                text,
                reason,
                usage,
            } => {
                answer.push_str(&text);
                return Ok(Reply::json(
                    completion.fields.complete_body(&answer, reason, usage),
                ));
            }
        }
    }
}

/// Returns the request result under which an error is counted.
pub(super) fn result_of_error(error: &Error) -> RequestResult {
    if error.is_refusal() {
        RequestResult::Refused
    } else {
        RequestResult::Failed
    }
}

fn usage_of(finish: Finish) -> Usage {
    Usage::new(
        finish.prompt_tokens,
        finish.cached_tokens,
        finish.output_tokens,
    )
}

/// Finds the version of the requested model in the service document.
fn find_model_version(call: &Call, request: &CompletionRequest) -> Result<Arc<str>> {
    let (name, adapter) = request.model_parts();
    for model in &call.route_entry.service.document.models {
        if *model.name != *name {
            continue;
        }
        let has_adapter = adapter.is_empty() || model.adapters.iter().any(|a| **a == *adapter);
        if has_adapter {
            return Ok(Arc::clone(&model.version));
        }
    }
    Err(Error::ModelNotFound {
        model: request.model.to_string(),
    })
}

fn unix_seconds() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
