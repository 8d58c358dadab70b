//! Stand-in for an engine: continuous batching in real time within a limited
//! number of KV blocks.
//!
//! In addition to the interface of [`crate::target::protocol`], `PUT /faults`
//! replaces the [`EngineFaults`], `PUT /power` with `{"on":false}` makes the
//! engine unreachable, `POST /crash` crashes it, and `GET /orders` returns all
//! orders received.
//!
//! `service` is the HTTP interface, and `core` the state of the engine, with the
//! streams in `batch` and the KV blocks in `cache`. `answer` generates the text, and
//! `options` contains the options and injected faults.

mod answer;
mod batch;
mod cache;
mod core;
mod options;
mod service;

use std::{net::SocketAddr, time::Duration};

use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

pub(crate) use self::service::Power;
pub use self::{
    answer::{Answer, expected_token},
    core::ReceivedOrder,
    options::{EngineFaults, EngineOptions},
};
use self::{core::Core, service::EngineService};
use super::{Result, http::HttpServer};

/// Maximum time, in milliseconds, by which the batch loop may lag behind its
/// schedule and still catch up; any further lag is lost.
const MAX_CATCH_UP_MS: u64 = 20;

/// A running stand-in for an engine, which stops when dropped.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    service: EngineService,
    batch_task: JoinHandle<()>,
    server_task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on an address.
    ///
    /// # Errors
    ///
    /// Fails if an option is not valid or the address cannot be bound.
    pub async fn start(address: SocketAddr, options: EngineOptions) -> Result<Self> {
        options.check()?;
        let service = EngineService::new(Core::new(options));
        let server = HttpServer::start(address, service.clone()).await?;
        let address = server.address();
        tracing::info!("standin: engine listens on {address}");
        Ok(Self {
            address,
            batch_task: tokio::spawn(run_batches(service.clone())),
            server_task: tokio::spawn(run_server(server, service.clone())),
            service,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.service.set_faults(faults);
    }

    /// Crashes the engine, which boots again after `restart_ms`.
    pub fn crash(&self) {
        self.service.crash.notify_one();
    }

    /// Stops the engine and waits until its listener is closed.
    pub async fn stop(mut self) {
        self.service.stop.notify_one();
        let _ = (&mut self.server_task).await;
    }

    /// Returns all orders received since the start, across reboots.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.service.orders()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.batch_task.abort();
        self.service.stop.notify_one();
    }
}

async fn run_batches(service: EngineService) {
    let mut step_due = Instant::now();
    loop {
        let step_time = service.lock().plan_step();
        let Some(step_time) = step_time else {
            service.work.notified().await;
            step_due = Instant::now();
            continue;
        };
        if service.lock().runs_crash_marker() {
            service.crash.notify_one();
        }
        let earliest = Instant::now() - Duration::from_millis(MAX_CATCH_UP_MS);
        step_due = step_due.max(earliest) + step_time;
        sleep_until(step_due).await;
        service.lock().apply_step();
    }
}

async fn run_server(mut server: HttpServer, service: EngineService) {
    loop {
        tokio::select! {
            () = service.crash.notified() => {}
            () = service.stop.notified() => return server.stop().await,
        }
        server.stop().await;
        service.lock().reboot();
        let restart_ms = service.lock().options.restart_ms;
        sleep(Duration::from_millis(restart_ms)).await;
        server = HttpServer::restart(server.address(), service.clone()).await;
    }
}
