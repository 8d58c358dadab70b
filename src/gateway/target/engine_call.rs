//! Calls that the gateway makes to engines on its own behalf: load reports, role
//! changes and the release of KV caches.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::timeout;

use crate::{
    gateway::{
        state::State,
        target::{answer_memory::read_whole, pool},
    },
    platform::{
        Holder, LoadReport, RoleOrder, engine_headers, prefill_release_path, read_target_hints,
    },
    roster::Target,
    target::{is_final_status, protocol::EngineRole},
};

/// Timeout of one call, including the time to connect.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of an answer body, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Error of a failed call to an engine.
#[derive(Debug)]
pub(in crate::gateway) struct CallError {
    /// Whether the engine may have executed the call or may still do so.
    may_have_run: bool,
    cause: String,
}

impl CallError {
    /// Returns the error of a call that the engine has not executed and will not
    /// execute.
    fn not_run<C>(cause: C) -> Self
    where
        C: fmt::Display,
    {
        Self {
            may_have_run: false,
            cause: cause.to_string(),
        }
    }

    /// Returns the error of a call that the engine may or may not have executed.
    fn unknown<C>(cause: C) -> Self
    where
        C: fmt::Display,
    {
        Self {
            may_have_run: true,
            cause: cause.to_string(),
        }
    }

    /// Returns whether the engine may have executed the call or may still do so.
    pub(in crate::gateway) fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.cause)
    }
}

/// Reads an engine's load report.
///
/// # Errors
///
/// Fails if the engine does not answer with a valid report.
pub(in crate::gateway) async fn load_report(
    state: &State,
    target: &Arc<Target>,
) -> Result<LoadReport, CallError> {
    let (status, body) =
        call_engine(state, target, Method::GET, LoadReport::PATH, Bytes::new()).await?;
    if !status.is_success() {
        return Err(CallError::not_run(format!(
            "load report request answered {status}"
        )));
    }
    LoadReport::read(&body).map_err(CallError::not_run)
}

/// Orders an engine to change its role, and returns the status of the engine's answer.
///
/// `orders` is the number of orders that the engine has reported as accepted. The
/// engine refuses this order if another one was accepted since.
///
/// # Errors
///
/// Fails if the engine does not answer.
pub(in crate::gateway) async fn order_role(
    state: &State,
    target: &Arc<Target>,
    role: EngineRole,
    holder: &Holder,
    orders: u64,
) -> Result<StatusCode, CallError> {
    let order = RoleOrder::new(role, &holder.name, holder.fence, orders);
    let body = order.to_bytes().into();
    let (status, _) = call_engine(state, target, Method::POST, RoleOrder::PATH, body).await?;
    Ok(status)
}

/// Releases a KV cache that no engine will fetch, and logs the result.
pub(in crate::gateway) async fn release_kv(
    state: Arc<State>,
    target: Arc<Target>,
    handle: Arc<str>,
) {
    let path = prefill_release_path(&handle);
    let released = call_engine(&state, &target, Method::DELETE, &path, Bytes::new()).await;
    let outcome = match released {
        Ok((status, _)) => format!("answered {status}"),
        Err(error) => format!("failed: {error}"),
    };
    tracing::info!(
        target = &*target.id,
        "gateway: release of an unused KV cache {outcome}"
    );
}

/// Sends a request to an engine, and returns the status and body of the answer.
async fn call_engine(
    state: &State,
    target: &Arc<Target>,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), CallError> {
    let calling = exchange(state, target, method, path, body);
    timeout(CALL_TIMEOUT, calling)
        .await
        .unwrap_or_else(|_| Err(CallError::unknown("no answer within the call timeout")))
}

async fn exchange(
    state: &State,
    target: &Arc<Target>,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), CallError> {
    if !state.take_send(target) {
        return Err(CallError::not_run("target takes no request now"));
    }
    let max_connections = state.max_connections(&target.service);
    let checkout = state.pool.checkout(target, max_connections).await;
    let mut connection = checkout.map_err(CallError::not_run)?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse::<Uri>().map_err(CallError::not_run)?;
    *request.headers_mut() = engine_headers(&target.id, target.address);
    let response = connection
        .send(None, request)
        .await
        .map_err(|error| match error {
            pool::Error::Broken(_) => CallError::unknown(error),
            _ => CallError::not_run(error),
        })?;
    let status = response.status();
    if !is_final_status(status.as_u16()) {
        let cause = format!("answer has the invalid status {}", status.as_u16());
        return Err(CallError::unknown(cause));
    }
    state.note_hints(target, &read_target_hints(status, response.headers()));
    let reading = read_whole(&state.answer_memory, response.into_body(), MAX_ANSWER_BYTES);
    let body = reading.await.map_err(CallError::unknown)?;
    state.pool.put_back(target, connection);
    Ok((status, body))
}
