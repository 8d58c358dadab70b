//! Server for callers: accepts connections, reads requests and dispatches them
//! by route kind.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Incoming},
};
use tokio::{net::TcpListener, time::Instant};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    call::{Call, Caller, Step},
    catalog::{CallerLimits, RouteKind},
    gateway::{
        admission::{
            permit::{ReceivedRequest, admit, permit},
            quota,
        },
        caller::{
            answer_guard::AnswerGuard,
            connection,
            reply::{Body, Refusal, set_connection_close},
        },
        engine::generation,
        state::State,
        stop::StopPhase,
        target::plain,
    },
    intake::{self, Connection, HeldMemory, Listener},
    platform::{CallerHead, HeadError, read_caller_head},
};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time to read a request body, even if the request's deadline is later.
const MAX_BODY_READ_TIME: Duration = Duration::from_secs(30);

/// Size of the separators in a header line: `: ` and CRLF.
const HEADER_LINE_BYTES: usize = 4;

/// Range of the random `retry-after` of requests refused for a temporary reason other
/// than engine overload, in seconds.
const RETRY_AFTER_RANGE_S: std::ops::Range<f64> = 0.15..0.6;

/// Range of the random `retry-after` of requests refused for engine overload, as a
/// multiple of the predicted wait.
const RETRY_AFTER_WAIT_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// Accepts connections until `close` is cancelled, then waits until all of them
/// are closed.
///
/// # Errors
///
/// Currently never fails: a failed accept is logged and retried.
pub(in crate::gateway) async fn serve(
    state: Arc<State>,
    listener: TcpListener,
    close: CancellationToken,
) -> io::Result<()> {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = close.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let admitted = state.intake.admit(Listener::Callers, stream, peer);
                let Some((stream, admitted)) = admitted else {
                    continue;
                };
                let serving = connection::serve(state.clone(), stream, admitted, close.clone());
                connections.spawn(serving);
            }
            Err(error) => {
                tracing::warn!("gateway: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    Ok(())
}

/// Handles one request and returns its response, which may be a refusal.
pub(in crate::gateway) async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<Body> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    let read = read_caller_head(&parts);
    let id = read.as_ref().ok().map(|head| head.id.clone());
    let mut guard = AnswerGuard::new(id.clone(), caller.clone(), received_at);
    let result = match &read {
        Ok(head) => {
            let handled = handle(&state, head, &parts, body, received_at, caller).await;
            handled.map(|(response, call)| {
                record_answer(&call, &response);
                response
            })
        }
        Err(error) => Err(refuse_head(*error)),
    };
    let mut response = result.unwrap_or_else(|refusal| {
        let retry_after = retry_after(refusal);
        record_refusal(&state, id.as_deref(), refusal, retry_after, received_at);
        refusal.response(id.as_deref(), retry_after)
    });
    guard.finish();
    if state.is_stopping() {
        set_connection_close(response.headers_mut());
    }
    response
}

/// Reads the body of a request, and forwards the request by the kind of its route.
async fn handle(
    state: &Arc<State>,
    head: &CallerHead,
    parts: &hyper::http::request::Parts,
    body: Incoming,
    received_at: Instant,
    caller: Caller,
) -> Result<(Response<Body>, Arc<Call>), Refusal> {
    let catalog = state.catalog().ok_or(Refusal::NotReady)?;
    if !state.knows_targets() || state.is_stale() {
        return Err(Refusal::NotReady);
    }
    check_head_size(&parts.headers, catalog.limits())?;
    let permission = permit(&catalog, head, parts.uri.path())?;
    let timeout = head.deadline.unwrap_or(permission.route.timeout);
    let read_deadline = received_at + timeout.min(MAX_BODY_READ_TIME);
    let max_body_bytes = catalog.limits().max_body_bytes;
    let (body, memory) = tokio::select! {
        biased;
        read = read_body(state, parts, max_body_bytes, body, read_deadline) => read?,
        () = state.stop_ended() => return Err(Refusal::Stopping),
    };
    if state.stop_phase() >= StopPhase::Closing {
        return Err(Refusal::Stopping);
    }
    caller.enter(Step::Admission);
    let received = ReceivedRequest {
        head,
        parts,
        body,
        received_at,
        caller,
    };
    let call = Arc::new(admit(state, received)?);
    state.record_request(&call.service);
    if let Some(left) = state.quarantine_left(&call) {
        return Err(Refusal::quarantined(left));
    }
    let charge = quota::charge(state, &call, head)?;
    let forwarding = async {
        match call.route.kind {
            RouteKind::Stream { .. } => generation::forward(state, &call, head, memory).await,
            RouteKind::Idempotent | RouteKind::Once => plain::forward(state, &call, head).await,
        }
    };
    let forwarded = tokio::select! {
        biased;
        forwarded = forwarding => forwarded,
        () = state.stop_ended() => Err(Refusal::Stopped),
    };
    let response = forwarded.map_err(|refusal| {
        if refusal.is_not_run() {
            quota::refund(state, charge);
        }
        name_pause(state, &call, refusal)
    })?;
    Ok((response, call))
}

/// Returns the refusal with the time to wait, if a call was refused because all targets
/// want no requests for some time.
fn name_pause(state: &State, call: &Call, refusal: Refusal) -> Refusal {
    if !matches!(refusal, Refusal::NoTarget | Refusal::TargetsRefused) {
        return refusal;
    }
    let Some(left) = state.pause_left(&call.service) else {
        return refusal;
    };
    let wait_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
    Refusal::TargetsPaused { wait_ms }
}

fn check_head_size(headers: &HeaderMap, limits: &CallerLimits) -> Result<(), Refusal> {
    let mut bytes = 0;
    for (name, value) in headers {
        bytes += name.as_str().len() + value.len() + HEADER_LINE_BYTES;
    }
    if bytes > limits.max_header_bytes {
        return Err(Refusal::HeadTooLarge);
    }
    Ok(())
}

/// Reads a request body, and returns it with the memory reserved for it.
async fn read_body(
    state: &Arc<State>,
    parts: &hyper::http::request::Parts,
    max_bytes: usize,
    body: Incoming,
    read_deadline: Instant,
) -> Result<(Bytes, Option<HeldMemory>), Refusal> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let connection = parts.extensions.get::<Arc<Connection>>();
    let read = intake::read_body(&state.intake, connection, body, max_bytes, read_deadline);
    match read.await {
        Ok((body, memory)) => Ok((body, Some(memory))),
        Err(intake::Error::TooLarge { .. }) => Err(Refusal::BodyTooLarge),
        Err(intake::Error::Timeout) => Err(Refusal::ReadTimeout),
        Err(intake::Error::OutOfMemory) => Err(Refusal::NoMemory),
        Err(intake::Error::Broken(_)) => Err(Refusal::BadRequest),
    }
}

fn refuse_head(error: HeadError) -> Refusal {
    tracing::info!("gateway: request head refused: {error}");
    Refusal::BadRequest
}

/// Returns the `retry-after` of refusals for temporary reasons, `None` for others.
///
/// The delay is random, so that refused callers do not all retry at the same time.
fn retry_after(refusal: Refusal) -> Option<Duration> {
    match refusal {
        Refusal::NotReady
        | Refusal::Stopping
        | Refusal::NoMemory
        | Refusal::NoTarget
        | Refusal::TargetsRefused => {
            let delay_s = rand::random_range(RETRY_AFTER_RANGE_S);
            Some(Duration::from_secs_f64(delay_s))
        }
        Refusal::Short { retry_after_ms, .. } => Some(Duration::from_millis(retry_after_ms.into())),
        // The header has hundredths of a second.
        Refusal::OverQuota { wait_ms } => Some(Duration::from_millis(
            u64::from(wait_ms).next_multiple_of(10),
        )),
        Refusal::Quarantined { left_s } => Some(Duration::from_secs(left_s.into())),
        Refusal::TargetsPaused { wait_ms } => {
            let jitter = Duration::from_secs_f64(rand::random_range(RETRY_AFTER_RANGE_S));
            Some(Duration::from_millis(wait_ms.into()) + jitter)
        }
        Refusal::Overloaded { wait_ms } => {
            let delay_ms = f64::from(wait_ms) * rand::random_range(RETRY_AFTER_WAIT_FACTORS);
            Some(Duration::from_secs_f64(delay_ms / 1_000.0))
        }
        _ => None,
    }
}

fn record_answer(call: &Call, response: &Response<Body>) {
    tracing::info!(
        request = &*call.id,
        account = call.account_name(),
        route = &*call.route.name,
        service = &*call.service,
        status = response.status().as_u16(),
        elapsed_ms = call.received_at.elapsed().as_millis() as u64,
        "gateway: request answered"
    );
    metrics::histogram!("gateway_answer_ms", "route" => call.route.name.to_string())
        .record(call.received_at.elapsed().as_secs_f64() * 1_000.0);
    metrics::counter!("gateway_answers_total", "status" => response.status().as_str().to_owned())
        .increment(1);
}

fn record_refusal(
    state: &State,
    id: Option<&str>,
    refusal: Refusal,
    retry_after: Option<Duration>,
    received_at: Instant,
) {
    tracing::info!(
        request = id.unwrap_or("-"),
        status = refusal.status().as_u16(),
        reason = refusal.label(),
        wait_ms = refusal.wait_ms(),
        retry_after_ms = retry_after.map(|delay| delay.as_millis() as u64),
        config_version = state.catalog().map_or(0, |catalog| catalog.version()),
        elapsed_ms = received_at.elapsed().as_millis() as u64,
        "gateway: request refused: {refusal}"
    );
    metrics::counter!("gateway_refusals_total", "reason" => refusal.label()).increment(1);
}
