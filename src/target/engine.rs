//! Client for engines.

use serde::Serialize;

use super::{
    Error, EventStream, Result,
    http::{check_status, read_json},
    protocol::{CacheEventList, EngineOrderRequest, EngineState, GenerateRequest, KvTransfer},
};

/// Client for engines; cheap to clone.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
}

impl EngineClient {
    /// Returns a client over [`http_client`](super::http_client).
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }

    /// Starts one attempt and returns its events.
    ///
    /// Dropping the stream cancels the attempt.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or refuses the request.
    pub async fn generate(&self, address: &str, request: &GenerateRequest) -> Result<EventStream> {
        let response = self.post(address, "generate", request).await?;
        let response = check_status(address, response).await?;
        Ok(EventStream::new(address.into(), request, response))
    }

    /// Cancels one attempt; an unknown attempt is no error.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached.
    pub async fn cancel(&self, address: &str, request_id: &str, attempt: u32) -> Result<()> {
        let url = format!("http://{address}/generate/{request_id}/{attempt}");
        let sent = self.http.delete(url).send().await;
        let response = sent.map_err(|cause| Error::from_http(address, cause))?;
        check_status(address, response).await.map(drop)
    }

    /// Reads the state and load report.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or the answer does not parse.
    pub async fn state(&self, address: &str) -> Result<EngineState> {
        self.get(address, "state").await
    }

    /// Reads the cache events from a sequence number on.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or the answer does not parse.
    pub async fn cache_events(&self, address: &str, from: u64) -> Result<CacheEventList> {
        self.get(address, &format!("cache-events?from={from}"))
            .await
    }

    /// Sends an order, once.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] with status 409 if the fencing number is old; any
    /// other error for which [`Error::written`] holds leaves open whether the
    /// order took effect.
    pub async fn order(&self, address: &str, order: &EngineOrderRequest) -> Result<()> {
        let response = self.post(address, "orders", order).await?;
        check_status(address, response).await.map(drop)
    }

    /// Asks which blocks of a request's KV cache the engine can export.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] with status 404 if it holds none.
    pub async fn kv_export(&self, address: &str, transfer: &KvTransfer) -> Result<KvTransfer> {
        let response = self.post(address, "kv/export", transfer).await?;
        read_json(address, response).await
    }

    /// Makes the engine fetch KV cache from `transfer.source_address` and
    /// returns the blocks that it has then.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] if the source cannot be reached, holds none of the
    /// blocks or the engine has no room.
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
