//! Clients for the live list, target ordering and the usage sink.

use std::{sync::Arc, time::Duration};

use reqwest::{Method, RequestBuilder, Response, StatusCode};

use super::{
    Error, Result,
    protocol::{LiveInstance, TargetList, TargetOrder, UsageReport},
};

/// One interface of the platform.
#[derive(Clone, Debug)]
struct Endpoint {
    http: reqwest::Client,
    base_url: Arc<str>,
    timeout: Duration,
}

impl Endpoint {
    fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let base_url = base_url.trim_end_matches('/').into();
        Self {
            http,
            base_url,
            timeout,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base_url)
    }

    fn request(&self, method: Method, url: &str) -> RequestBuilder {
        self.http.request(method, url).timeout(self.timeout)
    }
}

async fn send(url: &str, request: RequestBuilder) -> Result<Response> {
    let sent = request.send().await;
    let response = sent.map_err(|cause| Error::from_http(url, cause))?;
    let url = url.into();
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::CONFLICT => Err(Error::OldEpoch { url }),
        StatusCode::UNPROCESSABLE_ENTITY => Err(Error::Conflict { url }),
        status => Err(Error::Status {
            url,
            status: status.as_u16(),
        }),
    }
}

async fn read<T>(url: &str, response: Response) -> Result<T>
where
    T: serde::de::DeserializeOwned,
{
    let body = response.json().await;
    body.map_err(|cause| Error::from_http(url, cause))
}

/// Client for the live list; cheap to clone.
#[derive(Clone, Debug)]
pub struct LiveClient {
    endpoint: Endpoint,
}

impl LiveClient {
    /// Returns a client for a base URL; each call ends within `timeout`.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self { endpoint }
    }

    /// Adds or renews an instance.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not acknowledge within the timeout.
    pub async fn announce(&self, instance: &LiveInstance) -> Result<()> {
        let url = self.endpoint.url(&format!("live/{}", instance.name));
        let request = self.endpoint.request(Method::PUT, &url).json(instance);
        send(&url, request).await.map(drop)
    }

    /// Removes an instance.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not acknowledge within the timeout.
    pub async fn withdraw(&self, name: &str) -> Result<()> {
        let url = self.endpoint.url(&format!("live/{name}"));
        let request = self.endpoint.request(Method::DELETE, &url);
        send(&url, request).await.map(drop)
    }

    /// Reads the list, which lags.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within the timeout.
    pub async fn list(&self) -> Result<Vec<LiveInstance>> {
        let url = self.endpoint.url("live");
        let response = send(&url, self.endpoint.request(Method::GET, &url)).await?;
        read(&url, response).await
    }
}

/// Client for target ordering; cheap to clone.
#[derive(Clone, Debug)]
pub struct TargetsClient {
    endpoint: Endpoint,
}

impl TargetsClient {
    /// Returns a client for a base URL; each call ends within `timeout`.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self { endpoint }
    }

    /// Reads the targets and the standing orders.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within the timeout.
    pub async fn list(&self) -> Result<TargetList> {
        let url = self.endpoint.url("targets");
        let response = send(&url, self.endpoint.request(Method::GET, &url)).await?;
        read(&url, response).await
    }

    /// Sends an order, once.
    ///
    /// # Errors
    ///
    /// [`Error::OldEpoch`] if the fencing number is old; any other error for
    /// which [`Error::written`] holds leaves open whether it took effect.
    pub async fn order(&self, order: &TargetOrder) -> Result<()> {
        let url = self.endpoint.url("targets/order");
        let request = self.endpoint.request(Method::POST, &url).json(order);
        send(&url, request).await.map(drop)
    }
}

/// Client for the usage sink; cheap to clone.
#[derive(Clone, Debug)]
pub struct UsageClient {
    endpoint: Endpoint,
}

impl UsageClient {
    /// Returns a client for a base URL; each call ends within `timeout`.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self { endpoint }
    }

    /// Reports a window; repeating the same figures has no further effect.
    ///
    /// # Errors
    ///
    /// [`Error::OldEpoch`] if the fencing number is old, [`Error::Conflict`] if
    /// the window was reported with other figures; any other error for which
    /// [`Error::written`] holds leaves open whether it took effect.
    pub async fn report(&self, report: &UsageReport) -> Result<()> {
        let url = self.endpoint.url("usage");
        let request = self.endpoint.request(Method::POST, &url).json(report);
        send(&url, request).await.map(drop)
    }
}
