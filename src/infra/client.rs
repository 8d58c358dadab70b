//! Clients for the live list, target ordering and the usage sink.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use reqwest::{
    Method, RequestBuilder, Response, StatusCode,
    header::{ETAG, HeaderValue, IF_NONE_MATCH},
};

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
        StatusCode::NOT_MODIFIED => Ok(response),
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

/// A list as it was last read, with the tag that the platform gave it.
#[derive(Clone, Debug)]
struct TaggedList<T> {
    tag: HeaderValue,
    list: T,
}

/// Reads a list again only where the platform says that it has changed.
#[derive(Clone, Debug)]
struct ListReader<T> {
    endpoint: Endpoint,
    path: &'static str,
    last: Arc<Mutex<Option<TaggedList<T>>>>,
}

impl<T> ListReader<T>
where
    T: Clone + serde::de::DeserializeOwned,
{
    fn new(endpoint: Endpoint, path: &'static str) -> Self {
        Self {
            endpoint,
            path,
            last: Arc::default(),
        }
    }

    async fn read(&self) -> Result<T> {
        let url = self.endpoint.url(self.path);
        let known = self.last();
        let mut request = self.endpoint.request(Method::GET, &url);
        if let Some(known) = &known {
            request = request.header(IF_NONE_MATCH, &known.tag);
        }
        let response = send(&url, request).await?;
        if let Some(known) = known
            && response.status() == StatusCode::NOT_MODIFIED
        {
            return Ok(known.list);
        }
        let tag = response.headers().get(ETAG).cloned();
        let list: T = read(&url, response).await?;
        let tagged = tag.map(|tag| TaggedList {
            tag,
            list: list.clone(),
        });
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = tagged;
        Ok(list)
    }

    fn last(&self) -> Option<TaggedList<T>> {
        let last = self.last.lock();
        last.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Client for the live list; cheap to clone.
#[derive(Clone, Debug)]
pub struct LiveClient {
    endpoint: Endpoint,
    list: ListReader<Vec<LiveInstance>>,
}

impl LiveClient {
    /// Returns a client for a base URL; each call ends within `timeout`.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self {
            list: ListReader::new(endpoint.clone(), "live"),
            endpoint,
        }
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
        self.list.read().await
    }
}

/// Client for target ordering; cheap to clone.
#[derive(Clone, Debug)]
pub struct TargetsClient {
    endpoint: Endpoint,
    list: ListReader<TargetList>,
}

impl TargetsClient {
    /// Returns a client for a base URL; each call ends within `timeout`.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self {
            list: ListReader::new(endpoint.clone(), "targets"),
            endpoint,
        }
    }

    /// Reads the targets and the standing orders.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within the timeout.
    pub async fn list(&self) -> Result<TargetList> {
        self.list.read().await
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
