//! Client of the platform's API for duties: usage reports and orders of
//! targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use indexmap::IndexMap;
use reqwest::StatusCode;
use serde::Serialize;

/// Instance that holds the duty lease.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// Desired number of targets of one kind in a failure domain. The kinds are reclaimable
/// and regular, that is, not reclaimable.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetCount {
    /// Service that the targets run.
    pub service: Arc<str>,
    /// Failure domain in which the targets run.
    pub failure_domain: Arc<str>,
    /// Whether the platform may reclaim the targets, that is, take them away at short
    /// notice.
    pub reclaimable: bool,
    /// Desired number of targets.
    pub count: u32,
}

/// Error of a call to the platform's API.
#[derive(Debug, Display)]
pub enum CloudError {
    /// the call to the platform was not sent: {0}
    NotSent(reqwest::Error),
    /// the outcome of the call to the platform is unknown: {0}
    Unknown(reqwest::Error),
    /// the platform rejected the call with a conflict: {0}
    Conflict(String),
    /// the platform answered status {0}
    Status(u16),
}

impl std::error::Error for CloudError {}

#[derive(Serialize)]
struct UsageBody<'a> {
    window: u64,
    // Numbers of started requests, by client account.
    counts: &'a IndexMap<Arc<str>, u64>,
}

#[derive(Serialize)]
struct ScaleBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

/// Client of the platform's API. Clones share the connections.
#[derive(Clone, Debug)]
pub struct CloudClient {
    http: reqwest::Client,
    base_url: Arc<str>,
    timeout: Duration,
}

impl CloudClient {
    /// Creates a client of the API at `address`; each call ends within
    /// `timeout`.
    #[must_use]
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            base_url: format!("http://{address}").into(),
            timeout,
        }
    }

    /// Reports the numbers of started requests in a usage window.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the report or does not answer.
    pub async fn report_usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &IndexMap<Arc<str>, u64>,
    ) -> Result<(), CloudError> {
        self.post("usage", holder, &UsageBody { window, counts })
            .await
    }

    /// Orders the desired number of targets of one kind in a failure domain.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the order or does not answer.
    pub async fn order_targets(
        &self,
        holder: &Holder,
        wanted: &TargetCount,
    ) -> Result<(), CloudError> {
        let body = ScaleBody {
            service: &wanted.service,
            zone: &wanted.failure_domain,
            desired: wanted.count,
            spot: wanted.reclaimable,
        };
        self.post("scale", holder, &body).await
    }

    async fn post<B>(&self, path: &str, holder: &Holder, body: &B) -> Result<(), CloudError>
    where
        B: Serialize,
    {
        let request = self
            .http
            .post(format!("{}/{path}", self.base_url))
            .header("Duty-Holder", &*holder.name)
            .header("Fencing-Token", holder.fence)
            .timeout(self.timeout)
            .json(body);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() || error.is_builder() => {
                return Err(CloudError::NotSent(error));
            }
            Err(error) => return Err(CloudError::Unknown(error)),
        };
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => {
                let reason = response.text().await.unwrap_or_default();
                Err(CloudError::Conflict(reason))
            }
            status => Err(CloudError::Status(status.as_u16())),
        }
    }
}
