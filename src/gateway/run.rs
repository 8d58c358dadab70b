//! Starts the tasks of an instance, and stops them when the instance shuts down.

use std::{convert::Infallible, io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use displaydoc::Display;
use reqwest::redirect::Policy;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::{
    control::Identity,
    gateway::{
        admission::quota,
        caller::server,
        dispatch::{self, Dispatch},
        duty::{self, DutyLease},
        engine::profiles,
        lag,
        listeners::Listeners,
        notices::{quarantine, target_notices},
        readiness, reload,
        state::State,
        stop::{STOP_MARGIN, stop_gracefully},
        store::{
            catalog::CatalogTail,
            members::{self, MemberTail},
            targets,
        },
    },
    instance::{maintain_histograms, metrics_handle},
    peer::{self, PeerHandle, PeerLog, PeerOptions, Peers, Quorum},
    platform::{CloudClient, StoreClient},
    settings::GatewaySettings,
    supervisor::Supervisor,
};

/// Timeout of a call to the store, in addition to the time for which a read asks the
/// store to wait. Also limits the time to connect to the platform.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of an order of targets or a usage report.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest interval between two heartbeats to a peer.
pub(super) const PEER_HEARTBEAT: Duration = Duration::from_millis(100);

/// Time for which sent data may stay unacknowledged before a connection to the
/// platform is closed (`TCP_USER_TIMEOUT`).
const PLATFORM_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Result of starting or running an instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Error that prevents an instance from running.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// cannot create the HTTP client for the platform: {0}
    Client(reqwest::Error),
    /// cannot install the metrics recorder: {0}
    Metrics(String),
}

impl std::error::Error for Error {}

/// Runs an instance until `stop` completes, then stops the instance gracefully:
/// requests in progress may end within the configured stop time.
///
/// `path` is that of the settings file, which is reloaded if it changes.
///
/// # Errors
///
/// Fails if the metrics recorder or the HTTP client for the platform cannot be
/// created.
pub async fn run<S>(
    settings: GatewaySettings,
    path: PathBuf,
    listeners: Listeners,
    stop: S,
) -> Result<()>
where
    S: Future<Output = ()>,
{
    let addresses = [
        listeners.caller_address(),
        listeners.readiness_address(),
        listeners.metrics_address(),
    ]
    .map(|address| address.map_or_else(|error| error.to_string(), |address| address.to_string()));
    let [callers, readiness_address, metrics_address] = addresses;
    let metrics = metrics_handle().map_err(|error| Error::Metrics(error.to_string()))?;
    let client = platform_client(usize::MAX).map_err(Error::Client)?;
    let unpooled = platform_client(0).map_err(Error::Client)?;
    let store =
        StoreClient::new(client, settings.store_address, STORE_TIMEOUT).with_unpooled(unpooled);
    let cloud = CloudClient::new(
        settings.cloud_address,
        CLOUD_TIMEOUT,
        duty::unacknowledged_limit(settings.timing.lease_ms),
    );
    let state = Arc::new(State::new(settings));
    let supervisor = Supervisor::new("gateway");
    let context = Context {
        state: state.clone(),
        store,
        cloud,
    };
    let peer_log = context.spawn_followers(&supervisor);
    if let Some(socket) = listeners.placements {
        spawn_dispatch(&state, &supervisor, socket);
    }
    let joining =
        context
            .clone()
            .join_peers(supervisor.subtree("peers"), listeners.peers, peer_log);
    let _joining = AbortOnDropHandle::new(tokio::spawn(joining));
    let _readiness = spawn_listener(readiness::serve_readiness(
        state.clone(),
        listeners.readiness,
    ));
    let kept = metrics.clone();
    spawn_task(&supervisor, "histograms", move || {
        maintain_histograms(kept.clone())
    });
    let watched = state.clone();
    spawn_task(&supervisor, "intake", move || {
        let memory = watched.answer_memory.clone();
        watched.intake.clone().watch(move || memory.is_short())
    });
    let _metrics = spawn_listener(readiness::serve_metrics(
        state.clone(),
        metrics,
        listeners.metrics,
    ));
    let watched = state.clone();
    spawn_task(&supervisor, "settings", move || {
        reload::watch(watched.clone(), path.clone())
    });
    spawn_task(&supervisor, "lag", lag::watch);
    let close = CancellationToken::new();
    let serving = tokio::spawn(server::serve(
        state.clone(),
        listeners.callers,
        close.clone(),
    ));
    tracing::info!(
        name = &*state.settings.name,
        domain = &*state.settings.failure_domain,
        callers,
        readiness = readiness_address,
        metrics = metrics_address,
        "gateway: started"
    );
    stop.await;
    stop_gracefully(&state, &close, serving).await;
    supervisor.stop(STOP_MARGIN).await;
    tracing::info!("gateway: stopped");
    Ok(())
}

/// State and clients shared by the tasks of an instance.
#[derive(Clone, Debug)]
struct Context {
    state: Arc<State>,
    store: StoreClient,
    cloud: CloudClient,
}

impl Context {
    /// Starts the tasks that follow the configuration and the targets. Returns the
    /// handle through which the peer connections relay configuration records.
    fn spawn_followers(&self, supervisor: &Supervisor) -> PeerLog {
        let (tail, peer_log) = CatalogTail::new(self.state.clone(), self.store.clone());
        let mut tail = Some(tail);
        supervisor.spawn("catalog", move |stop| {
            let tail = tail.take();
            async move {
                let Some(tail) = tail else {
                    return Err("the configuration tail cannot be restarted");
                };
                run_until_cancelled(stop, tail.run()).await;
                Ok(())
            }
        });
        let context = self.clone();
        spawn_task(supervisor, "targets", move || {
            targets::follow(context.state.clone(), context.store.clone())
        });
        peer_log
    }

    /// Announces the instance, connects to the peers and starts the tasks that need
    /// the peers.
    async fn join_peers(self, supervisor: Supervisor, listener: TcpListener, log: PeerLog) {
        let settings = &self.state.settings;
        let mut members = MemberTail::new(self.store.clone());
        let incarnation = members.next_incarnation(&settings.name).await;
        let peer_address = listener.local_addr().unwrap_or(settings.peer_address);
        let member = members::announcement(&self.state, incarnation, peer_address);
        members::announce(&self.store, &member).await;
        let options = PeerOptions {
            name: settings.name.clone(),
            incarnation,
            failure_domain: settings.failure_domain.clone(),
            max_age: settings.timing.freshness(),
            min_heartbeat_interval: PEER_HEARTBEAT,
            quorum: Quorum::Majority,
        };
        let (live_instances, live) = watch::channel(1);
        let stop = supervisor.stop_token();
        let peers = peer::spawn_without_live_list(options, log, listener, live_instances, &stop);
        peers.handle.restore_crashes(members.crashes());
        self.state.set_peers(peers.handle.clone());
        let identity = Identity {
            name: settings.name.clone(),
            incarnation,
        };
        let lease = self.spawn_duties(&supervisor, identity, &peers.handle);
        let (state, handle) = (self.state.clone(), peers.handle.clone());
        spawn_task(&supervisor, "work", move || {
            profiles::exchange_work(state.clone(), handle.clone())
        });
        let (state, handle) = (self.state.clone(), peers.handle.clone());
        spawn_task(&supervisor, "quotas", move || {
            quota::exchange_usage(state.clone(), handle.clone())
        });
        let (state, handle) = (self.state.clone(), peers.handle.clone());
        spawn_task(&supervisor, "notices", move || {
            target_notices::exchange(state.clone(), handle.clone())
        });
        let (context, handle) = (self.clone(), peers.handle.clone());
        spawn_task(&supervisor, "quarantine", move || {
            quarantine::store_changes(context.state.clone(), context.store.clone(), handle.clone())
        });
        let (store, handle) = (self.store.clone(), peers.handle.clone());
        spawn_task(&supervisor, "quarantine-lease", move || {
            quarantine::store_under_lease(lease.clone(), store.clone(), handle.clone())
        });
        let (store, handle) = (self.store.clone(), peers.handle.clone());
        // Continues after the announcements that were just read; a restarted task reads
        // them again.
        let mut members = Some(members);
        spawn_task(&supervisor, "members", move || {
            let tail = members.take();
            let tail = tail.unwrap_or_else(|| MemberTail::new(store.clone()));
            members::follow(tail, store.clone(), handle.clone(), member.clone())
        });
        tracing::info!(incarnation, "gateway: connected to the mesh of instances");
        self.track_instances(live, peers).await;
    }

    /// Starts the task that maintains the duty lease, and the tasks of the duties that
    /// the settings enable. Returns the lease.
    fn spawn_duties(
        &self,
        supervisor: &Supervisor,
        identity: Identity,
        peers: &PeerHandle,
    ) -> Arc<DutyLease> {
        let timing = self.state.settings.timing;
        let duties = self.state.settings.duties;
        let incarnation = identity.incarnation;
        let lease = Arc::new(DutyLease::new(
            identity,
            timing.lease_ms,
            self.store.watch_era(),
        ));
        let (context, task_lease, handle) = (self.clone(), lease.clone(), peers.clone());
        spawn_task(supervisor, "tenure", move || {
            let (state, store) = (context.state.clone(), context.store.clone());
            duty::maintain_lease(state, task_lease.clone(), store, handle.clone())
        });
        if duties.usage {
            let context = self.clone();
            spawn_task(supervisor, "usage-slices", move || {
                duty::flush_slices(context.state.clone(), context.store.clone(), incarnation)
            });
            let (context, task_lease) = (self.clone(), lease.clone());
            spawn_task(supervisor, "usage-reports", move || {
                let Context {
                    state,
                    store,
                    cloud,
                } = context.clone();
                duty::report_usage(state, task_lease.clone(), store, cloud)
            });
        }
        if duties.roles {
            let (context, task_lease) = (self.clone(), lease.clone());
            spawn_task(supervisor, "roles", move || {
                duty::maintain_roles(context.state.clone(), task_lease.clone())
            });
        }
        if duties.ordering {
            let (context, task_lease) = (self.clone(), lease.clone());
            spawn_task(supervisor, "ordering", move || {
                let Context {
                    state,
                    store,
                    cloud,
                } = context.clone();
                duty::maintain_targets(state, task_lease.clone(), store, cloud)
            });
        }
        lease
    }

    /// Keeps the number of live instances up to date; limits of the whole fleet are
    /// divided by this number.
    ///
    /// Holds `peers`, and thus the peer connections, until the channel closes.
    async fn track_instances(&self, mut live: watch::Receiver<usize>, peers: Peers) {
        loop {
            let instances = *live.borrow_and_update();
            self.state.set_instances(instances);
            self.store.share_retries(self.state.shares_store_reads());
            tracing::info!(instances, "gateway: number of live instances updated");
            if live.changed().await.is_err() {
                drop(peers);
                return;
            }
        }
    }
}

/// Starts the shared placement of prompts over `socket`.
fn spawn_dispatch(state: &Arc<State>, supervisor: &Supervisor, socket: UdpSocket) {
    let own_address = socket.local_addr().unwrap_or(state.settings.peer_address);
    let dispatch = Dispatch::new(socket, own_address, members::unix_ms());
    state.set_dispatch(dispatch.clone());
    let state = state.clone();
    spawn_task(supervisor, "dispatch", move || {
        dispatch::serve(state.clone(), dispatch.clone())
    });
}

/// Starts a supervised task. `start` creates the task's future, again after each
/// restart.
fn spawn_task<F, R>(supervisor: &Supervisor, name: &str, mut start: F)
where
    F: FnMut() -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    supervisor.spawn(name, move |stop| {
        let work = start();
        async move {
            run_until_cancelled(stop, work).await;
            Ok::<_, Infallible>(())
        }
    });
}

/// Runs `work` until it ends or `stop` is cancelled.
async fn run_until_cancelled<F>(stop: CancellationToken, work: F)
where
    F: Future<Output = ()>,
{
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
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

/// Creates an HTTP client that keeps up to `max_idle` unused connections.
fn platform_client(max_idle: usize) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .pool_max_idle_per_host(max_idle)
        .redirect(Policy::none())
        .tcp_nodelay(true)
        .tcp_user_timeout(PLATFORM_USER_TIMEOUT)
        .connect_timeout(STORE_TIMEOUT)
        .no_proxy()
        .build()
}
