//! One HTTP call to the store, and its metrics.

use bytes::{Bytes, BytesMut};
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::{StoreError, Topic, era::EraTracker, outcomes::OutcomeTracker};
use crate::target::is_final_status;

/// Complete answer of the store.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    /// Era of the store in which it answered.
    pub(super) era: u64,
    pub(super) body: Bytes,
}

impl Answer {
    /// Returns the answer if it was given in `era`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Restored`] for an answer of another era.
    pub(super) fn of_era(self, era: u64) -> Result<Self, StoreError> {
        if self.era == era {
            return Ok(self);
        }
        Err(StoreError::Restored)
    }

    /// Returns the answer if its status is a success.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Status`] for any other status.
    pub(super) fn into_success(self) -> Result<Self, StoreError> {
        if self.status.is_success() {
            return Ok(self);
        }
        Err(StoreError::Status(self.status.as_u16()))
    }

    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Malformed`] if the body is not the expected JSON.
    pub(super) fn json<T>(&self) -> Result<T, StoreError>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|_| StoreError::Malformed("unexpected body"))
    }
}

/// Sends a request and receives the whole answer. `name` is the name of the call in the
/// metrics.
///
/// # Errors
///
/// Returns [`StoreError::NotSent`] if there is no connection to the store,
/// [`StoreError::Unknown`] if the answer did not arrive completely, and
/// [`StoreError::Malformed`] if its status is invalid.
pub(super) async fn call(
    name: &'static str,
    topic: Topic,
    request: RequestBuilder,
    eras: &EraTracker,
    outcomes: &OutcomeTracker,
) -> Result<Answer, StoreError> {
    metrics::counter!("store_calls_total", "call" => name, "topic" => topic.0).increment(1);
    let sent_at = Instant::now();
    let result = exchange(request, eras).await;
    let is_answered = |answer: &Answer| !answer.status.is_server_error();
    outcomes.note_call(sent_at, result.as_ref().is_ok_and(is_answered));
    let elapsed_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let received_bytes = match &result {
        Ok(answer) => answer.body.len() as u64,
        Err(error) => {
            metrics::counter!("store_call_failures_total", "call" => name, "topic" => topic.0)
                .increment(1);
            error.received_bytes()
        }
    };
    metrics::counter!("store_received_bytes_total", "call" => name, "topic" => topic.0)
        .increment(received_bytes);
    metrics::histogram!("store_call_ms", "call" => name, "topic" => topic.0).record(elapsed_ms);
    result
}

async fn exchange(request: RequestBuilder, eras: &EraTracker) -> Result<Answer, StoreError> {
    let mut response = request.send().await.map_err(|error| {
        if error.is_connect() || error.is_builder() {
            return StoreError::NotSent(error);
        }
        StoreError::Unknown {
            received_bytes: 0,
            source: error,
        }
    })?;
    let status = response.status();
    if !is_final_status(status.as_u16()) {
        return Err(StoreError::Malformed("invalid status"));
    }
    let era = eras.observe(response.headers());
    let mut body = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(source) => {
                return Err(StoreError::Unknown {
                    received_bytes: body.len() as u64,
                    source,
                });
            }
        }
    }
    Ok(Answer {
        status,
        era,
        body: body.freeze(),
    })
}
