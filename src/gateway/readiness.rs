//! HTTP endpoints for readiness checks by the load balancer and for metrics.

use std::{io, sync::Arc};

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::{Response, Router, handler, http::StatusCode, writing::Text};
use tokio::net::TcpListener;

use crate::{
    gateway::{destination::Destination, state::State},
    intake::{self, Listener},
};

/// Serves the readiness of the instance at `/ready` on `listener`: status 200 if the
/// instance is ready, otherwise 503 and the reason.
///
/// # Errors
///
/// Fails if the listener fails.
pub(super) async fn serve_readiness(state: Arc<State>, listener: TcpListener) -> io::Result<()> {
    let intake = state.intake.clone();
    let router = Router::with_path("ready").get(Readiness(state));
    let server = intake::server(listener, Listener::Readiness, intake.clone())?;
    let service = intake::service(router, Listener::Readiness, intake);
    server.try_serve(service).await
}

/// Serves the metrics at `/metrics` on `listener`, in the Prometheus text format, and at
/// `/destination` where a request would go.
///
/// # Errors
///
/// Fails if the listener fails.
pub(super) async fn serve_metrics(
    state: Arc<State>,
    metrics: PrometheusHandle,
    listener: TcpListener,
) -> io::Result<()> {
    let router = Router::new()
        .push(Router::with_path("metrics").get(Metrics(metrics)))
        .push(Router::with_path("destination").get(Destination(state.clone())));
    let intake = state.intake.clone();
    let server = intake::server(listener, Listener::Metrics, intake.clone())?;
    let service = intake::service(router, Listener::Metrics, intake);
    server.try_serve(service).await
}

struct Readiness(Arc<State>);

#[handler]
impl Readiness {
    async fn handle(&self, response: &mut Response) {
        match self.0.not_ready_reason() {
            None => response.render(Text::Plain("ready\n")),
            Some(reason) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.render(Text::Plain(format!("not ready: {reason}\n")));
            }
        }
    }
}

struct Metrics(PrometheusHandle);

#[handler]
impl Metrics {
    async fn handle(&self, response: &mut Response) {
        self.0.run_upkeep();
        response.render(Text::Plain(self.0.render()));
    }
}
