//! HTTP admin interface: health, readiness, metrics, status and burn samples.

use std::{sync::Arc, time::Duration};

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::{Response, Router, handler, http::StatusCode, prelude::Json, writing::Text};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{Error, Result, status::InstanceStatus};
use crate::{
    intake::{self, Intake, Listener},
    report::BurnSample,
};

/// Timeout for requests in progress when the interface stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Data sources of the admin interface.
#[derive(Clone)]
pub(super) struct AdminSources {
    /// Collects the status of the instance.
    pub(super) status: Arc<dyn Fn() -> InstanceStatus + Send + Sync>,
    /// Collects the samples for the burn report.
    pub(super) burn: Arc<dyn Fn() -> Vec<BurnSample> + Send + Sync>,
    /// Renders the metrics.
    pub(super) metrics: PrometheusHandle,
}

/// Serves the admin interface until `stop` is cancelled.
///
/// # Errors
///
/// Fails if the listener cannot be used, or if it fails while serving.
pub(super) async fn serve(
    listener: TcpListener,
    sources: AdminSources,
    intake: Arc<Intake>,
    stop: CancellationToken,
) -> Result<()> {
    let server = intake::server(listener, Listener::Admin, intake.clone());
    let server = server.map_err(Error::Listen)?;
    let service = intake::service(router(sources), Listener::Admin, intake);
    let handle = server.handle();
    tokio::spawn(async move {
        stop.cancelled().await;
        handle.stop_graceful(STOP_TIMEOUT);
    });
    server.try_serve(service).await.map_err(Error::Listen)
}

fn router(sources: AdminSources) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Readiness(sources.clone())))
        .push(Router::with_path("metrics").get(Metrics(sources.clone())))
        .push(Router::with_path("status").get(Status(sources.clone())))
        .push(Router::with_path("burn").get(Burn(sources)))
}

struct Health;

#[handler]
impl Health {
    async fn handle(&self, response: &mut Response) {
        response.render(Text::Plain("ok\n"));
    }
}

struct Readiness(AdminSources);

#[handler]
impl Readiness {
    async fn handle(&self, response: &mut Response) {
        let status = (self.0.status)();
        if status.not_ready.is_empty() {
            response.render(Text::Plain("ready\n"));
            return;
        }
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        let mut text = String::new();
        for reason in status.not_ready {
            text.push_str(&format!("not ready: {reason}\n"));
        }
        response.render(Text::Plain(text));
    }
}

struct Metrics(AdminSources);

#[handler]
impl Metrics {
    async fn handle(&self, response: &mut Response) {
        self.0.metrics.run_upkeep();
        response.render(Text::Plain(self.0.metrics.render()));
    }
}

struct Status(AdminSources);

#[handler]
impl Status {
    async fn handle(&self, response: &mut Response) {
        response.render(Json((self.0.status)()));
    }
}

struct Burn(AdminSources);

#[handler]
impl Burn {
    async fn handle(&self, response: &mut Response) {
        response.render(Json((self.0.burn)()));
    }
}
