//! Stand-in for the platform: log, live list, target ordering, usage sink and
//! weight store behind one address.
//!
//! In addition to the interfaces of [`crate::infra::protocol`], `PUT /faults`
//! replaces the [`PlatformFaults`]; `PUT /targets/{name}` registers a target
//! process that already runs, and `DELETE /targets/{name}` removes it;
//! `POST /targets/reclaim` and `POST /targets/restore` withdraw a [`Group`] of
//! targets and make it available again; `GET /orders` and `GET /usage` return all
//! target orders and usage reports received.
//!
//! `service` is the HTTP interface. `log`, `live` (the live list), `fleet` (target
//! ordering) and `usage` are the parts behind it.

mod fleet;
mod live;
mod log;
mod service;
mod usage;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{task::JoinHandle, time::sleep};

use self::{fleet::PowerChange, service::PlatformService};
pub use self::{
    fleet::{Group, ReceivedOrder},
    service::Reclaim,
    usage::{ReceivedUsage, UsageReportResult},
};
use super::{Result, faults::InterfaceFaults, http::HttpServer};

/// Interval at which targets are started and released, in milliseconds.
const STEP_MS: u64 = 20;
/// Timeout of switching a target on or off, in milliseconds.
const POWER_TIMEOUT_MS: u64 = 1_000;

/// Behaviour and injected faults of the platform, which can be replaced at run
/// time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the log.
    pub log: InterfaceFaults,
    /// Faults of the live list.
    pub live: InterfaceFaults,
    /// Faults of target ordering.
    pub targets: InterfaceFaults,
    /// Faults of the usage sink.
    pub usage: InterfaceFaults,
    /// Faults of the weight store.
    pub weights: InterfaceFaults,
    /// Number of records that the log retains; 0 for all.
    pub retention_records: usize,
    /// Maximum rate of log appends, per second.
    pub appends_per_s: u32,
    /// Delay until a change of the live list becomes visible, in milliseconds.
    pub live_lag_ms: u64,
    /// Time after its last announcement at which an instance is removed from the
    /// live list, in milliseconds.
    pub live_ttl_ms: u64,
    /// Kinds of target of which none can be started.
    pub unavailable_kinds: Vec<Arc<str>>,
    /// Duration of a target's start, in milliseconds.
    pub start_ms: u64,
    /// Time from the release of a target by an order until it is switched off, in
    /// milliseconds.
    pub release_notice_ms: u64,
    /// Whether orders are rejected if one with a higher fencing token is in force.
    pub targets_check_epoch: bool,
    /// Whether usage reports are rejected if a higher fencing token has been
    /// seen.
    pub usage_check_epoch: bool,
    /// Maximum number of weight fetches that start within a minute.
    pub weight_fetches_per_min: u32,
    /// Duration of a weight fetch, in milliseconds.
    pub weight_fetch_ms: u64,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            log: InterfaceFaults::default(),
            live: InterfaceFaults::default(),
            targets: InterfaceFaults::default(),
            usage: InterfaceFaults::default(),
            weights: InterfaceFaults::default(),
            retention_records: 0,
            appends_per_s: 500,
            live_lag_ms: 0,
            live_ttl_ms: 3_000,
            unavailable_kinds: Vec::new(),
            start_ms: 1_000,
            release_notice_ms: 3_000,
            targets_check_epoch: false,
            usage_check_epoch: false,
            weight_fetches_per_min: 30,
            weight_fetch_ms: 500,
        }
    }
}

/// A running stand-in for the platform, which stops when dropped.
#[derive(Debug)]
pub struct Platform {
    server: HttpServer,
    service: PlatformService,
    step_task: JoinHandle<()>,
}

impl Platform {
    /// Starts the stand-in on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, faults: PlatformFaults) -> Result<Self> {
        let service = PlatformService::new(faults);
        let server = HttpServer::start(address, service.clone()).await?;
        let step_task = tokio::spawn(step_fleet(service.clone()));
        tracing::info!("standin: platform listens on {}", server.address());
        Ok(Self {
            server,
            service,
            step_task,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL of all interfaces.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.service.set_faults(faults);
    }

    /// Returns all usage reports received, including rejected ones.
    pub fn usage_reports(&self) -> Vec<ReceivedUsage> {
        self.service.usage_reports()
    }

    /// Returns all target orders received, including rejected ones.
    pub fn target_orders(&self) -> Vec<ReceivedOrder> {
        self.service.target_orders()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

async fn step_fleet(service: PlatformService) {
    let http = reqwest::Client::new();
    loop {
        for change in service.step() {
            tokio::spawn(switch_power(http.clone(), change));
        }
        sleep(Duration::from_millis(STEP_MS)).await;
    }
}

async fn switch_power(http: reqwest::Client, change: PowerChange) {
    let url = format!("http://{}/power", change.address);
    let request = http
        .put(url)
        .timeout(Duration::from_millis(POWER_TIMEOUT_MS))
        .json(&serde_json::json!({ "on": change.on }));
    if let Err(error) = request.send().await {
        tracing::debug!(
            "standin: cannot switch the power of {}: {error}",
            change.address
        );
    }
}
