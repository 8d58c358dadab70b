//! An entry instance: wires the parts together under a supervisor tree.
//!
//! [`Instance::start`] binds the listeners and starts the parts;
//! [`Instance::stop`] stops them in order: callers first, then the duties, the
//! exchange with peers and the platform, and the admin interface last.

mod admin;
mod listeners;
pub mod status;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{sync::watch, task::JoinSet};
use tokio_util::sync::CancellationToken;

pub use self::listeners::Addresses;
use self::{
    admin::AdminSources,
    listeners::{Listeners, duplicate},
    status::StatusSources,
};
use crate::{
    Settings,
    entry::{self, EntryBuilder, EntryContext},
    ledger::{Ledger, LedgerHandle},
    log::{self, Log, LogOptions},
    platform::{
        LiveClient, TargetsClient,
        protocol::{LiveInstance, LiveState},
    },
    service::KindRole,
    supervisor::Supervisor,
    target::{
        EngineClient,
        table::{TargetPoller, TargetTable},
    },
};

/// Longest wait for one part other than the callers' listener to stop.
const PART_STOP_BOUND: Duration = Duration::from_secs(5);

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an instance could not start or a part of it failed.
#[derive(Debug, Display, derive_more::Error)]
pub enum Error {
    /// cannot listen on {address}: {source}
    Bind {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// listener failed: {0}
    Listen(std::io::Error),
    /// HTTP client failed to start: {0}
    Client(reqwest::Error),
    /// metrics recorder failed to start: {0}
    Metrics(metrics_exporter_prometheus::BuildError),
}

/// A running entry instance.
pub struct Instance {
    settings: Arc<Settings>,
    addresses: Addresses,
    callers: Supervisor,
    platform: Supervisor,
    admin: Supervisor,
    live: LiveClient,
    status: StatusSources,
    broken: CancellationToken,
}

impl Instance {
    /// Binds the listeners and starts all parts.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a client cannot be built.
    pub async fn start(settings: Settings) -> Result<Self> {
        let settings = Arc::new(settings);
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses;
        let incarnation: u64 = rand::random();
        let http = crate::target::http_client().map_err(Error::Client)?;
        let root = Supervisor::new(&settings.name);
        let platform = root.subtree("platform");
        let ledger = LedgerHandle::new(Ledger::new());
        let broken = CancellationToken::new();
        let log = start_log(&settings, incarnation, &ledger, &platform, &broken);
        let targets = start_targets(&settings, &ledger, &http, &platform);
        let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
        let live = LiveClient::new(http.clone(), &settings.platform.live_url, timeout);
        let context = EntryBuilder::new(
            Arc::clone(&settings),
            ledger.clone(),
            log.appender.clone(),
            targets.clone(),
            http,
        )
        .build();
        let callers = root.subtree("entry");
        start_callers(&callers, listeners.entry, &context);
        let status = StatusSources {
            settings: Arc::clone(&settings),
            incarnation,
            ledger,
            tail: log.status.clone(),
            targets,
            stopping: callers.stop_token(),
        };
        start_announcer(
            &platform,
            &live,
            live_instance(&settings, incarnation, addresses),
        );
        let admin = Supervisor::new(&settings.name);
        start_admin(&admin, listeners.admin, &status)?;
        tracing::info!(
            "instance: {} listens for callers on {}",
            settings.name,
            addresses.entry
        );
        Ok(Self {
            settings,
            addresses,
            callers,
            platform,
            admin,
            live,
            status,
            broken,
        })
    }

    /// Returns the addresses that the instance listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns whether the instance may serve callers.
    pub fn is_ready(&self) -> bool {
        self.status.collect().not_ready.is_empty()
    }

    /// Waits until the instance cannot go on and must be replaced.
    pub async fn broken(&self) {
        self.broken.cancelled().await;
    }

    /// Stops all parts in order; returns whether all ended within their bounds.
    pub async fn stop(self) -> bool {
        tracing::info!("instance: {} is stopping", self.settings.name);
        let drain = Duration::from_millis(self.settings.timing.drain_ms);
        let mut ended = self.callers.stop(drain + PART_STOP_BOUND).await;
        ended &= self.platform.stop(PART_STOP_BOUND).await;
        if let Err(error) = self.live.withdraw(&self.settings.name).await {
            tracing::warn!("instance: not withdrawn from the live list: {error}");
        }
        ended &= self.admin.stop(PART_STOP_BOUND).await;
        tracing::info!("instance: {} has stopped", self.settings.name);
        ended
    }
}

fn start_log(
    settings: &Settings,
    incarnation: u64,
    ledger: &LedgerHandle,
    platform: &Supervisor,
    broken: &CancellationToken,
) -> Log {
    let (_, live_instances) = watch::channel(1);
    let options = LogOptions::new(settings, incarnation);
    let mut log = log::spawn(
        &options,
        ledger.clone(),
        live_instances,
        &platform.stop_token(),
    );
    let mut tasks = Some(std::mem::take(&mut log.tasks));
    let broken = broken.clone();
    platform.spawn("log", move |stop| {
        watch_log(tasks.take(), stop, broken.clone())
    });
    log
}

/// Waits for the tasks of the log.
///
/// They number this incarnation's records, so that they cannot be started
/// again: if one ends early, the instance must end and come back as a new
/// incarnation.
async fn watch_log(
    tasks: Option<JoinSet<()>>,
    stop: CancellationToken,
    broken: CancellationToken,
) -> Result<()> {
    let Some(mut tasks) = tasks else {
        return Ok(());
    };
    while let Some(ended) = tasks.join_next().await {
        if stop.is_cancelled() {
            continue;
        }
        tracing::error!("instance: a task of the log ended: {ended:?}");
        broken.cancel();
    }
    Ok(())
}

fn start_targets(
    settings: &Settings,
    ledger: &LedgerHandle,
    http: &reqwest::Client,
    platform: &Supervisor,
) -> TargetTable {
    let table = TargetTable::new();
    let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
    let client = TargetsClient::new(http.clone(), &settings.platform.targets_url, timeout);
    let engines = EngineClient::new(http.clone());
    let poll = Duration::from_millis(settings.timing.poll_ms);
    let ledger = ledger.clone();
    let polled = table.clone();
    platform.spawn("targets", move |stop| {
        let ledger = ledger.clone();
        let role_of = move |kind: &str| kind_role(&ledger, kind);
        let poller = TargetPoller::new(polled.clone(), client.clone(), engines.clone(), role_of);
        async move {
            poller.with_poll(poll).run(stop).await;
            Ok::<(), Error>(())
        }
    });
    table
}

/// Returns what a kind of target runs, by the first service that names it.
fn kind_role(ledger: &LedgerHandle, kind: &str) -> Option<KindRole> {
    ledger.read(|ledger| {
        let mut kinds = ledger
            .services()
            .flat_map(|entry| &entry.document.target_kinds);
        kinds
            .find(|known| &*known.name == kind)
            .map(|known| known.role)
    })
}

fn start_callers(callers: &Supervisor, listener: std::net::TcpListener, context: &EntryContext) {
    let context = context.clone();
    callers.spawn("listener", move |stop| {
        let listener = duplicate(&listener);
        let context = context.clone();
        async move {
            entry::serve(context, listener?, stop)
                .await
                .map_err(Error::Listen)
        }
    });
}

fn start_admin(
    admin: &Supervisor,
    listener: std::net::TcpListener,
    status: &StatusSources,
) -> Result<()> {
    let collect = status.clone();
    let sources = AdminSources {
        status: Arc::new(move || collect.collect()),
        metrics: metrics_handle()?,
    };
    admin.spawn("admin", move |stop| {
        let listener = duplicate(&listener);
        let sources = sources.clone();
        async move { admin::serve(listener?, sources, stop).await }
    });
    Ok(())
}

fn live_instance(settings: &Settings, incarnation: u64, addresses: Addresses) -> LiveInstance {
    LiveInstance {
        name: Arc::clone(&settings.name),
        incarnation,
        failure_domain: Arc::clone(&settings.failure_domain),
        peer_address: addresses.peer.to_string().into(),
        admin_address: addresses.admin.to_string().into(),
        state: LiveState::Live,
    }
}

fn start_announcer(platform: &Supervisor, live: &LiveClient, instance: LiveInstance) {
    let live = live.clone();
    platform.spawn("announcer", move |stop| {
        let live = live.clone();
        let instance = instance.clone();
        async move {
            while !stop.is_cancelled() {
                let _ = live.announce(&instance).await;
                let _ = tokio::time::timeout(Duration::from_millis(500), stop.cancelled()).await;
            }
            Ok::<(), Error>(())
        }
    });
}

/// Returns the process's metrics recorder; instances in one process share it.
fn metrics_handle() -> Result<PrometheusHandle> {
    static HANDLE: std::sync::Mutex<Option<PrometheusHandle>> = std::sync::Mutex::new(None);
    let mut handle = HANDLE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(handle) = &*handle {
        return Ok(handle.clone());
    }
    let installed = PrometheusBuilder::new()
        .install_recorder()
        .map_err(Error::Metrics)?;
    *handle = Some(installed.clone());
    Ok(installed)
}
