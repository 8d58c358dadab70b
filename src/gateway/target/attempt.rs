//! A single attempt of a call: one request to one target.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode, Uri, body::Incoming};
use tokio::time::{Instant, timeout_at};

use crate::{
    call::Call,
    gateway::{
        state::State,
        target::{
            answer_memory::{self, read_whole},
            crash::{self, CallGuard},
            loads::AttemptOutcome,
            pool::{self, Connection},
        },
    },
    platform::{AnswerHead, AttemptHead, attempt_headers, read_answer_head},
    policy::retry::Failure,
    roster::Target,
    target::is_final_status,
};

/// Maximum body size of an answer that is buffered before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// A target's answer whose head has arrived and whose body has not been read.
#[derive(Debug)]
pub(in crate::gateway) struct Answer {
    pub(in crate::gateway) target: Arc<Target>,
    pub(in crate::gateway) status: StatusCode,
    pub(in crate::gateway) headers: HeaderMap,
    pub(in crate::gateway) head: AnswerHead,
    pub(in crate::gateway) body: Incoming,
    connection: Connection,
    in_flight: CallGuard,
    /// Whether the engine only prefilled the prompt.
    is_prefill: bool,
}

/// A target's answer with its complete body.
#[derive(Debug)]
pub(in crate::gateway) struct BufferedAnswer {
    pub(in crate::gateway) status: StatusCode,
    pub(in crate::gateway) headers: HeaderMap,
    pub(in crate::gateway) head: AnswerHead,
    pub(in crate::gateway) bytes: Bytes,
}

/// Error of a failed attempt.
#[derive(Debug)]
pub(in crate::gateway) struct AttemptError {
    pub(in crate::gateway) failure: Failure,
    /// Whether the gateway itself gave up the attempt. The failure is then not
    /// counted against the target.
    is_local: bool,
    /// Whether the connection to the target was lost after the request was sent.
    is_connection_lost: bool,
    cause: String,
}

impl AttemptError {
    fn new<C>(failure: Failure, cause: C) -> Self
    where
        C: fmt::Display,
    {
        Self {
            failure,
            is_local: false,
            is_connection_lost: false,
            cause: cause.to_string(),
        }
    }

    /// Returns the error of a request that the gateway did not send.
    fn local<C>(cause: C) -> Self
    where
        C: fmt::Display,
    {
        Self {
            is_local: true,
            ..Self::new(Failure::NotWritten, cause)
        }
    }

    /// Returns the error of an answer that is incomplete or invalid.
    pub(in crate::gateway) fn incomplete_answer<C>(cause: C) -> Self
    where
        C: fmt::Display,
    {
        Self::new(Failure::IncompleteAnswer, cause)
    }

    /// Returns the error of an answer that broke off because its connection was lost.
    pub(in crate::gateway) fn connection_lost<C>(cause: C) -> Self
    where
        C: fmt::Display,
    {
        Self {
            is_connection_lost: true,
            ..Self::incomplete_answer(cause)
        }
    }

    /// Returns the error of a target that did not answer before the deadline.
    pub(in crate::gateway) fn timeout() -> Self {
        Self::new(Failure::Timeout, "no answer before the deadline")
    }

    /// Returns the outcome that is recorded for the target.
    fn outcome(&self) -> AttemptOutcome {
        match self.failure {
            Failure::NotWritten => AttemptOutcome::Unreachable,
            Failure::Refused => AttemptOutcome::Refused,
            Failure::IncompleteAnswer => AttemptOutcome::Failed,
            Failure::Timeout => AttemptOutcome::TimedOut,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.failure, self.cause)
    }
}

/// Sends a call to a target and returns once the head of the answer has arrived.
///
/// # Errors
///
/// Fails if the request cannot be sent, if the target refuses the request, if the head
/// of the answer is invalid, or if no head arrives before `deadline`.
pub(in crate::gateway) async fn send(
    state: &Arc<State>,
    call: &Arc<Call>,
    target: &Arc<Target>,
    head: AttemptHead<'_>,
    deadline: Instant,
) -> Result<Answer, AttemptError> {
    let sending = exchange(state, call, target, head, deadline);
    let result = timeout_at(deadline, sending)
        .await
        .unwrap_or_else(|_| Err(AttemptError::timeout()));
    if let Err(error) = &result {
        record_failure(state, call, target, error).await;
    }
    result
}

/// Logs a failed attempt and counts the failure against the target, unless the
/// gateway itself gave up the attempt. If the connection was lost, the target is
/// examined for a crash.
pub(in crate::gateway) async fn record_failure(
    state: &Arc<State>,
    call: &Call,
    target: &Arc<Target>,
    error: &AttemptError,
) {
    tracing::info!(
        request = &*call.id,
        target = &*target.id,
        left_ms = call.time_left(Instant::now()).as_millis() as u64,
        "gateway: attempt failed: {error}"
    );
    metrics::counter!("gateway_attempt_failures_total", "failure" => failure_label(error.failure))
        .increment(1);
    if error.is_local {
        return;
    }
    let now_ms = state.now_ms();
    state.loads().observe(&target.id, error.outcome(), now_ms);
    report_failure(state, target, error.failure);
    if error.is_connection_lost {
        crash::examine(state, target).await;
    }
}

/// Tells the dispatcher, if there is one, that a target refused a request or could not be
/// reached.
fn report_failure(state: &State, target: &Target, failure: Failure) {
    let Some(dispatch) = state.dispatch() else {
        return;
    };
    if failure.is_refused() || failure.is_not_written() {
        dispatch.report_failure(target, failure.is_refused());
    }
}

impl Answer {
    /// Reads the complete body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, if the body exceeds [`MAX_BUFFERED_BYTES`] or its
    /// share of the memory for answers, or if the body is incomplete at `deadline`.
    pub(in crate::gateway) async fn collect(
        self,
        state: &Arc<State>,
        call: &Call,
        deadline: Instant,
    ) -> Result<BufferedAnswer, AttemptError> {
        let reading = read_whole(&state.answer_memory, self.body, MAX_BUFFERED_BYTES);
        let result = match timeout_at(deadline, reading).await {
            Err(_) => Err(AttemptError::timeout()),
            Ok(Err(error @ answer_memory::Error::Broken(_))) => {
                self.in_flight.mark_broken();
                Err(AttemptError::connection_lost(error))
            }
            Ok(Err(error)) => Err(AttemptError::incomplete_answer(error)),
            Ok(Ok(bytes)) => Ok(bytes),
        };
        match result {
            Ok(bytes) => {
                if self.status.is_success() && self.head.is_delimited && !self.is_prefill {
                    self.in_flight.record_answer(call);
                }
                state.pool.put_back(&self.target, self.connection);
                Ok(BufferedAnswer {
                    status: self.status,
                    headers: self.headers,
                    head: self.head,
                    bytes,
                })
            }
            Err(error) => {
                self.connection.mark_failed();
                record_failure(state, call, &self.target, &error).await;
                Err(error)
            }
        }
    }

    /// Records that the answer is of no use.
    pub(in crate::gateway) fn mark_failed(&self) {
        self.connection.mark_failed();
    }

    /// Splits the answer into its body, the connection that the body arrives on, and the
    /// guard that counts the call as in flight.
    pub(in crate::gateway) fn into_stream(self) -> (Incoming, Connection, CallGuard) {
        (self.body, self.connection, self.in_flight)
    }
}

async fn exchange(
    state: &Arc<State>,
    call: &Arc<Call>,
    target: &Arc<Target>,
    mut head: AttemptHead<'_>,
    deadline: Instant,
) -> Result<Answer, AttemptError> {
    let max_connections = state.max_connections(&target.service);
    let checkout = state.pool.checkout(target, max_connections).await;
    let mut connection = checkout.map_err(|error| match error {
        pool::Error::NoConnection => AttemptError::local(error),
        _ => AttemptError::new(Failure::NotWritten, error),
    })?;
    if !call.caller.is_present().await {
        // The connection of the caller drops the call.
        std::future::pending::<()>().await;
    }
    // The target may have started to drain while the connection was set up.
    if !state.is_ready_target(target) {
        return Err(AttemptError::local("target no longer accepts requests"));
    }
    if !state.take_send(target) {
        return Err(AttemptError::local("target takes no request now"));
    }
    head.target_id = &target.id;
    head.time_left = call.time_left(Instant::now());
    let request = build_request(call, &head)?;
    let in_flight = CallGuard::new(state, target, call);
    call.caller.record_send(&target.id);
    let Ok(sent) = timeout_at(deadline, connection.send(Some(&call.id), request)).await else {
        connection.mark_failed();
        return Err(AttemptError::timeout());
    };
    let response = sent.map_err(|error| match error {
        pool::Error::Broken(_) => {
            in_flight.mark_broken();
            AttemptError::connection_lost(error)
        }
        _ => AttemptError::new(Failure::NotWritten, error),
    })?;
    let (parts, body) = response.into_parts();
    let answer_head = read_answer_head(&parts);
    connection.idle_timeout = answer_head.idle_timeout;
    state.note_hints(target, &answer_head.hints);
    if let Err(error) = check_head(call, parts.status, &answer_head) {
        connection.mark_failed();
        return Err(error);
    }
    Ok(Answer {
        target: target.clone(),
        status: parts.status,
        headers: parts.headers,
        head: answer_head,
        body,
        connection,
        in_flight,
        is_prefill: head.prefill_only,
    })
}

fn build_request(
    call: &Call,
    head: &AttemptHead<'_>,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.path.clone());
    *request.headers_mut() = attempt_headers(call, head);
    Ok(request)
}

/// Checks that an answer has a valid status and the call's request identifier, that the
/// target ran the call, and that the body has no content encoding.
fn check_head(call: &Call, status: StatusCode, head: &AnswerHead) -> Result<(), AttemptError> {
    if !is_final_status(status.as_u16()) {
        let cause = format!("answer has the invalid status {}", status.as_u16());
        return Err(AttemptError::incomplete_answer(cause));
    }
    if head.request_id.as_deref() != Some(&*call.id) {
        return Err(AttemptError::incomplete_answer(
            "answer has the identifier of another request",
        ));
    }
    if head.is_not_run {
        let cause = format!("target answered {status} without running the request");
        return Err(AttemptError::new(Failure::Refused, cause));
    }
    if head.is_encoded {
        return Err(AttemptError::incomplete_answer(
            "answer has an unrequested content encoding",
        ));
    }
    Ok(())
}

fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::NotWritten => "not-written",
        Failure::Refused => "refused",
        Failure::IncompleteAnswer => "cut",
        Failure::Timeout => "timeout",
    }
}
