//! Starts the parts of an instance and stops them in order.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use super::{follow, front, readiness, state::State};
use crate::{
    instance::metrics_handle, platform::StoreClient, settings::GatewaySettings,
    supervisor::Supervisor,
};

/// Longest wait for an answer of the store, beyond that which a read asks for.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without an acknowledgement after which a connection to the platform
/// is dead.
const PLATFORM_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which callers are accepted after the instance turned unready, so
/// that the balancer has noticed.
const UNREADY_BEFORE_CLOSE: Duration = Duration::from_millis(2_500);

/// Time kept between the end of a graceful stop and the platform's kill.
const STOP_MARGIN: Duration = Duration::from_millis(800);

/// A result of running an instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an instance cannot run.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// cannot make the client for the platform: {0}
    Client(reqwest::Error),
    /// cannot record metrics: {0}
    Metrics(String),
}

impl std::error::Error for Error {}

/// Runs an instance until `stop` completes and requests in progress have
/// ended.
///
/// # Errors
///
/// Fails if an address cannot be used.
pub async fn run<S>(settings: GatewaySettings, stop: S) -> Result<()>
where
    S: Future<Output = ()>,
{
    let metrics = metrics_handle().map_err(|error| Error::Metrics(error.to_string()))?;
    let callers = listen(settings.caller_address).await?;
    let readiness = listen(settings.readiness_address).await?;
    let metrics_listener = listen(settings.metrics_address).await?;
    let client = platform_client().map_err(Error::Client)?;
    let store = StoreClient::new(client, settings.store_address, STORE_TIMEOUT);
    let state = Arc::new(State::new(settings));
    let supervisor = Supervisor::new("gateway");
    spawn_followers(&supervisor, &state, &store);
    let _readiness = spawn_listener(readiness::serve_readiness(state.clone(), readiness));
    let _metrics = spawn_listener(readiness::serve_metrics(metrics, metrics_listener));
    let close = CancellationToken::new();
    let serving = tokio::spawn(front::serve(state.clone(), callers, close.clone()));
    tracing::info!(
        name = &*state.settings.name,
        domain = &*state.settings.failure_domain,
        "gateway: started"
    );
    stop.await;
    stop_gracefully(&state, &close, serving).await;
    supervisor.stop(STOP_MARGIN).await;
    tracing::info!("gateway: stopped");
    Ok(())
}

fn spawn_followers(supervisor: &Supervisor, state: &Arc<State>, store: &StoreClient) {
    let (catalog_state, catalog_store) = (state.clone(), store.clone());
    supervisor.spawn("catalog", move |stop| {
        let following = follow::follow_catalog(catalog_state.clone(), catalog_store.clone());
        until(stop, following)
    });
    let (target_state, target_store) = (state.clone(), store.clone());
    supervisor.spawn("targets", move |stop| {
        let following = follow::follow_targets(target_state.clone(), target_store.clone());
        until(stop, following)
    });
}

async fn until<F>(stop: CancellationToken, work: F) -> std::result::Result<(), io::Error>
where
    F: Future<Output = ()>,
{
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
    Ok(())
}

async fn stop_gracefully(
    state: &State,
    close: &CancellationToken,
    serving: tokio::task::JoinHandle<io::Result<()>>,
) {
    let end_at = Instant::now() + state.settings.timing.stop().saturating_sub(STOP_MARGIN);
    tracing::info!("gateway: stopping; requests in progress end first");
    state.begin_stop();
    sleep(UNREADY_BEFORE_CLOSE).await;
    close.cancel();
    let left = end_at.saturating_duration_since(Instant::now());
    if timeout(left, serving).await.is_err() {
        tracing::warn!("gateway: stopped with requests in progress");
    }
}

fn spawn_listener<F>(serving: F) -> AbortOnDropHandle<()>
where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    AbortOnDropHandle::new(tokio::spawn(async move {
        if let Err(error) = serving.await {
            tracing::error!("gateway: listener failed: {error}");
        }
    }))
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Listen { address, source })
}

fn platform_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .tcp_nodelay(true)
        .tcp_user_timeout(PLATFORM_USER_TIMEOUT)
        .connect_timeout(STORE_TIMEOUT)
        .no_proxy()
        .build()
}
