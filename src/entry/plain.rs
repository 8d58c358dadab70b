//! Calls to plain services.

use std::sync::Arc;

use salvo::http::{HeaderMap, Method, StatusCode, header::CONTENT_LENGTH};
use tokio::time::{Instant, timeout};

use crate::{
    entry::{
        burn::RequestResult,
        call::Call,
        complete::result_of_error,
        context::EntryContext,
        error::{Error, Outcome, Result},
        permit::{Demand, Permit, TargetMeasurement},
        reply::Reply,
    },
    target::{self, PlainRequest},
};

/// Number of attempts, including attempts that did not run on a target, after
/// which a failed attempt that may have run is not retried.
const MAX_ATTEMPTS: u32 = 3;

/// Number of attempts that did not run on a target after which the request fails.
const MAX_NOT_RUN_ATTEMPTS: u32 = 8;

/// Cost of a call in the fair queue, in tokens; a plain service reports no token
/// counts.
const CALL_COST_TOKENS: u32 = 100;

/// A caller's request to a plain service.
#[derive(Clone, Debug)]
pub(super) struct PlainCall {
    /// HTTP method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) path_and_query: Arc<str>,
    /// Headers sent by the caller.
    pub(super) headers: HeaderMap,
}

/// Calls a plain service and returns its complete answer.
///
/// # Errors
///
/// Fails once no further attempt is allowed. [`Error::outcome`] tells whether the
/// request ran on a target.
pub(super) async fn answer(
    context: &EntryContext,
    call: &Arc<Call>,
    plain: &PlainCall,
) -> Result<Reply> {
    let result = call_with_retries(context, call, plain).await;
    let elapsed_ms = call.received_at.elapsed().as_millis() as u64;
    metrics::histogram!("entry_plain_seconds").record(call.received_at.elapsed());
    let request_result = match &result {
        Ok(_) if elapsed_ms <= call.route_entry.route.first_token_ms => RequestResult::Good,
        Ok(_) => RequestResult::Late,
        Err(error) => result_of_error(error),
    };
    context.record_result(call, request_result);
    let may_have_run = match &result {
        Ok(_) => true,
        Err(error) => error.outcome() != Outcome::NotRun,
    };
    if may_have_run {
        context.record_usage(call, 0, 0);
    }
    result
}

/// Tries the call on one target after another, until it succeeds or must not be
/// retried.
async fn call_with_retries(
    context: &EntryContext,
    call: &Arc<Call>,
    plain: &PlainCall,
) -> Result<Reply> {
    let demand = Arc::new(demand(call));
    let mut failed_targets: Vec<Arc<str>> = Vec::new();
    let mut attempts = 0;
    let mut not_run_attempts = 0;
    let mut may_have_run = false;
    loop {
        let acquired = acquire_permit(context, call, &demand, &failed_targets).await;
        let mut permit = acquired.map_err(|error| refusal_or_failure(may_have_run, error))?;
        let name = Arc::clone(&permit.target.name);
        attempts += 1;
        let sent_at = Instant::now();
        let error = match call_once(context, call, plain, &permit).await {
            Ok(reply) => {
                permit.set_measurement(TargetMeasurement {
                    latency_ms: Some(sent_at.elapsed().as_secs_f64() * 1_000.0),
                    ..TargetMeasurement::default()
                });
                return Ok(reply);
            }
            Err(error) => error,
        };
        tracing::warn!(
            request = &*call.id,
            "entry: attempt {attempts} on {name} failed: {error}"
        );
        context.targets().mark_failure(&name);
        if !failed_targets.contains(&name) {
            failed_targets.push(name);
        }
        if !error.may_have_run() {
            not_run_attempts += 1;
            if not_run_attempts >= MAX_NOT_RUN_ATTEMPTS {
                return Err(refusal_or_failure(may_have_run, Error::NoTarget));
            }
            continue;
        }
        may_have_run = true;
        let may_retry = call.is_idempotent() && attempts < MAX_ATTEMPTS;
        if !may_retry || !context.allow_retry() {
            return Err(error.into_error());
        }
    }
}

/// Why one attempt to call a plain service failed.
#[derive(Debug, displaydoc::Display)]
enum CallError {
    /// {0}
    Target(target::Error),
    /// the deadline passed
    Deadline,
}

impl CallError {
    /// Whether the target may have run the request.
    fn may_have_run(&self) -> bool {
        match self {
            Self::Target(error) => error.may_have_been_sent(),
            Self::Deadline => true,
        }
    }

    fn into_error(self) -> Error {
        let outcome = Outcome::Unknown;
        match self {
            Self::Target(_) => Error::TargetFailed {
                reason: Arc::from("its answer was lost, and the request may have run"),
                outcome,
            },
            Self::Deadline => Error::DeadlineExceeded { outcome },
        }
    }
}

/// Waits for a usable permit and checks again that the request may run.
async fn acquire_permit(
    context: &EntryContext,
    call: &Call,
    demand: &Arc<Demand>,
    failed_targets: &[Arc<str>],
) -> Result<Permit> {
    loop {
        let permit = context.scheduler().acquire(demand, failed_targets).await?;
        call.recheck(context)?;
        if call.remaining().is_zero() {
            return Err(Error::DeadlineExceeded {
                outcome: Outcome::NotRun,
            });
        }
        if permit.is_usable() {
            return Ok(permit);
        }
    }
}

/// Makes one attempt, on the target of the permit.
async fn call_once(
    context: &EntryContext,
    call: &Call,
    plain: &PlainCall,
    permit: &Permit,
) -> std::result::Result<Reply, CallError> {
    let request = PlainRequest {
        method: plain.method.clone(),
        path_and_query: Arc::clone(&plain.path_and_query),
        headers: plain.headers.clone(),
        request_id: Arc::clone(&call.id),
        idempotency_key: call.idempotency_key.clone().unwrap_or_default(),
        body: call.body.clone(),
    };
    let answer = context.plain_client().call(&permit.target.address, request);
    let answer = match timeout(call.answer_timeout(), answer).await {
        Ok(answer) => answer.map_err(CallError::Target)?,
        Err(_) => return Err(CallError::Deadline),
    };
    context.targets().mark_success(&permit.target.name);
    let mut headers = answer.headers;
    headers.remove(CONTENT_LENGTH);
    headers.remove(target::REQUEST_ID);
    Ok(Reply {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers,
        body: answer.body,
    })
}

fn demand(call: &Call) -> Demand {
    let route = &call.route_entry.route;
    Demand {
        kind: Arc::clone(&route.target_kind),
        account: Arc::clone(&call.account.full_name),
        weight: call.account.account.weight,
        prompt_tokens: CALL_COST_TOKENS,
        deadline: Some(call.first_token_deadline()),
        ..Demand::default()
    }
}

/// Returns the refusal `error` if no attempt can have run on a target, and
/// [`Error::TargetFailed`] otherwise.
fn refusal_or_failure(may_have_run: bool, error: Error) -> Error {
    if !may_have_run {
        return error;
    }
    Error::TargetFailed {
        reason: Arc::from(error.to_string()),
        outcome: Outcome::Unknown,
    }
}
