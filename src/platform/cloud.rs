//! The platform's calls that one instance at a time makes: usage reports and
//! orders of targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use indexmap::IndexMap;
use reqwest::StatusCode;
use serde::Serialize;

/// Who makes a call, and under which fencing number.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Fencing number of its lease.
    pub fence: u64,
}

/// Number of targets of one kind that are wanted in a failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetCount {
    /// Service.
    pub service: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether the platform may reclaim them.
    pub reclaimable: bool,
    /// Number.
    pub count: u32,
}

/// Why a call failed.
#[derive(Debug, Display)]
pub enum CloudError {
    /// no byte of the call was sent: {0}
    NotSent(reqwest::Error),
    /// the call may have been executed: {0}
    Unknown(reqwest::Error),
    /// the platform refused the call with a conflict: {0}
    Conflict(String),
    /// the platform answered status {0}
    Status(u16),
}

impl std::error::Error for CloudError {}

#[derive(Serialize)]
struct UsageBody<'a> {
    window: u64,
    // Requests that began to run, by client account.
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

/// Client of the platform's interface; cheap to clone.
#[derive(Clone, Debug)]
pub struct CloudClient {
    http: reqwest::Client,
    base_url: Arc<str>,
    timeout: Duration,
}

impl CloudClient {
    /// Returns a client of the interface at `address`; each call ends within
    /// `timeout`.
    #[must_use]
    pub fn new(http: reqwest::Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            base_url: format!("http://{address}").into(),
            timeout,
        }
    }

    /// Reports the requests of a usage window.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the report or does not answer.
    pub async fn report_usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &IndexMap<Arc<str>, u64>,
    ) -> Result<(), CloudError> {
        self.post("usage", holder, &UsageBody { window, counts })
            .await
    }

    /// Orders a number of targets.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the order or does not answer.
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
