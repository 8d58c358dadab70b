//! HTTP clients for the platform's live list, target ordering and usage sink.

use std::{
    sync::{Arc, Mutex},
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
use crate::sync;

/// Base URL, HTTP client and request timeout of one platform interface.
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

/// Sends a request and maps error statuses to [`Error`].
///
/// 304 counts as success, since it answers a conditional read.
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

/// Reads the JSON body of a response.
async fn read_json<T>(url: &str, response: Response) -> Result<T>
where
    T: serde::de::DeserializeOwned,
{
    let body = response.json().await;
    body.map_err(|cause| Error::from_http(url, cause))
}

/// The last list read, with its entity tag.
#[derive(Clone, Debug)]
struct TaggedList<T> {
    tag: HeaderValue,
    list: T,
}

/// Reads a list by conditional requests: on 304 the cached copy is returned.
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
        let cached = self.last();
        let mut request = self.endpoint.request(Method::GET, &url);
        if let Some(cached) = &cached {
            request = request.header(IF_NONE_MATCH, &cached.tag);
        }
        let response = send(&url, request).await?;
        if let Some(cached) = cached
            && response.status() == StatusCode::NOT_MODIFIED
        {
            return Ok(cached.list);
        }
        let tag = response.headers().get(ETAG).cloned();
        let list: T = read_json(&url, response).await?;
        let tagged = tag.map(|tag| TaggedList {
            tag,
            list: list.clone(),
        });
        *sync::lock(&self.last) = tagged;
        Ok(list)
    }

    fn last(&self) -> Option<TaggedList<T>> {
        sync::lock(&self.last).clone()
    }
}

/// Client for the live list, in which running instances announce themselves.
///
/// Clones are cheap and share the cached list.
#[derive(Clone, Debug)]
pub struct LiveClient {
    endpoint: Endpoint,
    list: ListReader<Vec<LiveInstance>>,
}

impl LiveClient {
    /// Returns a client for a base URL; `timeout` limits each call.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self {
            list: ListReader::new(endpoint.clone(), "live"),
            endpoint,
        }
    }

    /// Adds an instance to the list or renews its entry.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not acknowledge within the timeout.
    pub async fn announce(&self, instance: &LiveInstance) -> Result<()> {
        let url = self.endpoint.url(&format!("live/{}", instance.name));
        let request = self.endpoint.request(Method::PUT, &url).json(instance);
        send(&url, request).await.map(drop)
    }

    /// Removes an instance from the list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not acknowledge within the timeout.
    pub async fn withdraw(&self, name: &str) -> Result<()> {
        let url = self.endpoint.url(&format!("live/{name}"));
        let request = self.endpoint.request(Method::DELETE, &url);
        send(&url, request).await.map(drop)
    }

    /// Reads the list, which may lag behind announcements and withdrawals.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within the timeout.
    pub async fn list(&self) -> Result<Vec<LiveInstance>> {
        self.list.read().await
    }
}

/// Client for target ordering, by which the platform is told how many targets to
/// run.
///
/// Clones are cheap and share the cached list.
#[derive(Clone, Debug)]
pub struct TargetsClient {
    endpoint: Endpoint,
    list: ListReader<TargetList>,
}

impl TargetsClient {
    /// Returns a client for a base URL; `timeout` limits each call.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self {
            list: ListReader::new(endpoint.clone(), "targets"),
            endpoint,
        }
    }

    /// Reads the targets and the order in force for each kind and failure domain.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within the timeout.
    pub async fn list(&self) -> Result<TargetList> {
        self.list.read().await
    }

    /// Sends an order, without retries.
    ///
    /// # Errors
    ///
    /// [`Error::OldEpoch`] if the platform has seen a higher fencing token.
    /// After any other error for which [`Error::may_have_been_sent`] returns
    /// `true`, the order may or may not have taken effect.
    pub async fn order(&self, order: &TargetOrder) -> Result<()> {
        let url = self.endpoint.url("targets/order");
        let request = self.endpoint.request(Method::POST, &url).json(order);
        send(&url, request).await.map(drop)
    }
}

/// Client for the usage sink, which takes the usage of closed windows; cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct UsageClient {
    endpoint: Endpoint,
}

impl UsageClient {
    /// Returns a client for a base URL; `timeout` limits each call.
    pub fn new(http: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let endpoint = Endpoint::new(http, base_url, timeout);
        Self { endpoint }
    }

    /// Reports the usage of one window.
    ///
    /// Repeating a report with the same figures has no further effect.
    ///
    /// # Errors
    ///
    /// [`Error::OldEpoch`] if the platform has seen a higher fencing token, and
    /// [`Error::Conflict`] if the window was already reported with different
    /// figures. After any other error for which [`Error::may_have_been_sent`]
    /// returns `true`, the report may or may not have taken effect.
    pub async fn report(&self, report: &UsageReport) -> Result<()> {
        let url = self.endpoint.url("usage");
        let request = self.endpoint.request(Method::POST, &url).json(report);
        send(&url, request).await.map(drop)
    }
}
