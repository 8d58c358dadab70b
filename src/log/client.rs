//! HTTP client for the platform's log.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message;
use reqwest::{Response, StatusCode};

use super::{Error, Offset, Result};
use crate::infra::protocol::{AppendRequest, AppendResponse, ReadResponse, TrimmedResponse};

/// Client for the platform's log, over HTTP with protobuf bodies.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: reqwest::Client,
    append_url: Arc<str>,
    read_url: Arc<str>,
    timeout: Duration,
}

impl LogClient {
    /// Creates a client for the log at `base_url`. Without a response, an append fails
    /// after `timeout`, and a read after `timeout` plus the read's `wait` time.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        let base_url = base_url.trim_end_matches('/');
        Self {
            http: reqwest::Client::new(),
            append_url: format!("{base_url}/log/append").into(),
            read_url: format!("{base_url}/log/read").into(),
            timeout,
        }
    }

    /// Appends encoded records as one atomic batch and returns the offset of the
    /// first record.
    ///
    /// # Errors
    ///
    /// Fails if the log refuses the batch or if no valid response arrives in time.
    /// If no response arrives, the log may have appended the batch or may still append
    /// it later.
    pub async fn append(&self, records: Vec<Bytes>) -> Result<Offset> {
        let body = AppendRequest { records }.encode_to_vec();
        let request = self.http.post(&*self.append_url).timeout(self.timeout);
        let response = check_status(request.body(body).send().await?)?;
        let appended = AppendResponse::decode(response.bytes().await?)?;
        Ok(Offset(appended.first_offset))
    }

    /// Reads up to `max_records` records, starting at offset `from`. If there is
    /// no such record yet, the log holds the request open for up to `wait`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Trimmed`] if `from` is no longer retained, and with
    /// another error if the log refuses the read or if no valid response arrives in
    /// time.
    pub async fn read(
        &self,
        from: Offset,
        max_records: u32,
        wait: Duration,
    ) -> Result<ReadResponse> {
        let wait_ms = wait.as_millis() as u64;
        let query = [
            ("from", from.0),
            ("max", u64::from(max_records)),
            ("wait_ms", wait_ms),
        ];
        let request = self.http.get(&*self.read_url).query(&query);
        let response = request.timeout(self.timeout + wait).send().await?;
        if response.status() == StatusCode::GONE {
            let trimmed: TrimmedResponse = response.json().await?;
            return Err(Error::Trimmed {
                oldest_offset: Offset(trimmed.oldest_offset),
                next_offset: Offset(trimmed.next_offset),
            });
        }
        let response = check_status(response)?;
        Ok(ReadResponse::decode(response.bytes().await?)?)
    }
}

fn check_status(response: Response) -> Result<Response> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(Error::Status {
        status: response.status().as_u16(),
    })
}
