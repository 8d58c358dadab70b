//! HTTP client for engines, which run language models.

use serde::Serialize;

use super::{
    Error, EventStream, Result,
    http::{check_status, read_json},
    protocol::{CacheEventList, EngineOrderRequest, EngineState, GenerateRequest, KvTransfer},
};

/// HTTP client for engines; cheap to clone.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
}

impl EngineClient {
    /// Creates a client that sends requests through `http`, which
    /// [`http_client`](super::http_client) configures.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }

    /// Starts one attempt to generate and returns its event stream.
    ///
    /// The engine cancels the attempt if the stream is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or responds with an error status.
    pub async fn generate(&self, address: &str, request: &GenerateRequest) -> Result<EventStream> {
        let response = self.post(address, "generate", request).await?;
        let response = check_status(address, response).await?;
        Ok(EventStream::new(address.into(), request, response))
    }

    /// Cancels one attempt. It is not an error if the engine does not know the
    /// attempt.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or responds with an error status.
    pub async fn cancel(&self, address: &str, request_id: &str, attempt: u32) -> Result<()> {
        let url = format!("http://{address}/generate/{request_id}/{attempt}");
        let sent = self.http.delete(url).send().await;
        let response = sent.map_err(|cause| Error::from_http(address, cause))?;
        check_status(address, response).await.map(drop)
    }

    /// Reads the state and load of an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, responds with an error status or
    /// the response cannot be decoded.
    pub async fn state(&self, address: &str) -> Result<EngineState> {
        self.get(address, "state").await
    }

    /// Reads the cache events whose sequence number is `from` or higher.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, responds with an error status or
    /// the response cannot be decoded.
    pub async fn cache_events(&self, address: &str, from: u64) -> Result<CacheEventList> {
        self.get(address, &format!("cache-events?from={from}"))
            .await
    }

    /// Sends an order, without retries.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Status`] and status 409 if the fencing token is
    /// outdated. After any other error for which [`Error::may_have_been_sent`]
    /// returns `true`, it is unknown whether the order took effect.
    pub async fn order(&self, address: &str, order: &EngineOrderRequest) -> Result<()> {
        let response = self.post(address, "orders", order).await?;
        check_status(address, response).await.map(drop)
    }

    /// Returns the blocks of a request's KV cache that the engine can export.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Status`] and status 404 if the engine has none of the
    /// blocks. Also fails, with another error, if the engine cannot be reached or its
    /// response cannot be decoded.
    pub async fn kv_export(&self, address: &str, transfer: &KvTransfer) -> Result<KvTransfer> {
        let response = self.post(address, "kv/export", transfer).await?;
        read_json(address, response).await
    }

    /// Makes the engine fetch KV cache from `transfer.source_address` and
    /// returns the blocks that the engine has after the transfer.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Status`] if the source cannot be reached or has none of
    /// the blocks, or if the engine has no memory for them. Also fails if the engine
    /// cannot be reached or its response cannot be decoded.
    pub async fn kv_import(&self, address: &str, transfer: &KvTransfer) -> Result<KvTransfer> {
        let response = self.post(address, "kv/import", transfer).await?;
        read_json(address, response).await
    }

    async fn get<T>(&self, address: &str, path: &str) -> Result<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let url = format!("http://{address}/{path}");
        let sent = self.http.get(url).send().await;
        let response = sent.map_err(|cause| Error::from_http(address, cause))?;
        read_json(address, response).await
    }

    async fn post<T>(&self, address: &str, path: &str, body: &T) -> Result<reqwest::Response>
    where
        T: Serialize,
    {
        let url = format!("http://{address}/{path}");
        let sent = self.http.post(url).json(body).send().await;
        sent.map_err(|cause| Error::from_http(address, cause))
    }
}
