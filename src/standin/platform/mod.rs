//! Stand-in for the platform: log, live list, target ordering, usage sink and
//! weight store behind one address.
//!
//! Beside the interfaces of [`crate::infra::protocol`]: `PUT /faults`
//! replaces the [`PlatformFaults`]; `PUT /targets/{name}` registers a running
//! target and `DELETE /targets/{name}` removes it; `POST /targets/reclaim` and
//! `POST /targets/restore` withdraw and return a group; `GET /orders` and
//! `GET /usage` answer everything received.

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

/// Time between two steps of the fleet, in milliseconds.
const STEP_MS: u64 = 20;
/// Longest wait for a target to switch on or off, in milliseconds.
const POWER_TIMEOUT_MS: u64 = 1_000;

/// Behaviour and faults of the stand-in, all changeable at run time.
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
    /// Records that the log retains; 0 for all.
    pub retention_records: usize,
    /// Appends a second that the log takes.
    pub appends_per_s: u32,
    /// Lag of the live list, in milliseconds.
    pub live_lag_ms: u64,
    /// Time after which a silent instance leaves the live list, in
    /// milliseconds.
    pub live_ttl_ms: u64,
    /// Kinds of target that cannot be started now.
    pub unavailable_kinds: Vec<Arc<str>>,
    /// Time that a target takes to start, in milliseconds.
    pub start_ms: u64,
    /// Notice before a target is gone that an order released, in milliseconds.
    pub release_notice_ms: u64,
    /// Whether target ordering refuses old fencing numbers.
    pub targets_check_epoch: bool,
    /// Whether the usage sink refuses old fencing numbers.
    pub usage_check_epoch: bool,
    /// Weight fetches that may start in a minute.
    pub weight_fetches_per_min: u32,
    /// Time that one weight fetch takes, in milliseconds.
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

/// A running stand-in of the platform; stops when dropped.
#[derive(Debug)]
pub struct Platform {
    server: HttpServer,
    service: PlatformService,
    step_task: JoinHandle<()>,
}

impl Platform {
    /// Starts the stand-in.
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

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.service.set_faults(faults);
    }

    /// Returns every usage report received.
    pub fn usage_reports(&self) -> Vec<ReceivedUsage> {
        self.service.usage_reports()
    }

    /// Returns every target order received.
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
        tracing::debug!("standin: cannot switch {}: {error}", change.address);
    }
}
