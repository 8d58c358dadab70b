//! Starts the parts of an instance under their supervisors.

use std::{net::TcpListener as StdListener, sync::Arc, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{sync::watch, task::JoinSet};
use tokio_util::sync::CancellationToken;

use super::{
    Error, Result,
    admin::{self, AdminSources},
    burn::BurnSampler,
    listeners::{Listeners, duplicate},
    status::StatusSources,
};
use crate::{
    Settings,
    entry::{self, EntryContext},
    ledger::{Ledger, LedgerHandle},
    log::{self, Log, LogOptions},
    peer::{self, PeerHandle, PeerInputs},
    platform::{LiveClient, TargetsClient},
    service::KindRole,
    supervisor::Supervisor,
    target::{
        EngineClient,
        table::{TargetPoller, TargetTable},
    },
};

/// What all parts of an instance use.
pub(super) struct Shared {
    pub(super) settings: Arc<Settings>,
    pub(super) incarnation: u64,
    pub(super) ledger: LedgerHandle,
    pub(super) http: reqwest::Client,
    pub(super) live: LiveClient,
    /// Cancelled as a part ends that cannot be started again.
    pub(super) broken: CancellationToken,
}

impl Shared {
    /// Draws an incarnation and builds the clients.
    pub(super) fn new(settings: &Arc<Settings>) -> Result<Self> {
        let http = crate::target::http_client().map_err(Error::Client)?;
        let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
        Ok(Self {
            settings: Arc::clone(settings),
            incarnation: rand::random(),
            ledger: LedgerHandle::new(Ledger::new()),
            live: LiveClient::new(http.clone(), &settings.platform.live_url, timeout),
            http,
            broken: CancellationToken::new(),
        })
    }
}

/// The parts that face the platform, the peers and the targets.
pub(super) struct PlatformParts {
    pub(super) log: Log,
    pub(super) peers: PeerHandle,
    pub(super) targets: TargetTable,
    live_instances: watch::Receiver<usize>,
    identity: (Arc<str>, u64),
}

impl PlatformParts {
    /// Starts the log, the peers and the polls of the targets.
    pub(super) fn start(
        shared: &Shared,
        listeners: &Listeners,
        platform: &Supervisor,
    ) -> Result<Self> {
        let settings = &shared.settings;
        let (live_sender, live_instances) = watch::channel(1);
        let options = LogOptions::new(settings, shared.incarnation);
        let stop = platform.stop_token();
        let ledger = shared.ledger.clone();
        let mut log = log::spawn(&options, ledger.clone(), live_instances.clone(), &stop);
        watch_tasks(platform, "log", std::mem::take(&mut log.tasks), shared);
        let inputs = PeerInputs {
            settings,
            log: &log,
            ledger,
            live_instances: live_sender,
            live_client: shared.live.clone(),
            listener: duplicate(&listeners.peer)?,
            admin_address: listeners.addresses.admin,
        };
        let peers = peer::spawn(inputs, &stop).map_err(Error::Listen)?;
        watch_tasks(platform, "peers", peers.tasks, shared);
        Ok(Self {
            targets: start_targets(shared, platform),
            peers: peers.handle,
            live_instances,
            identity: (Arc::clone(&settings.name), shared.incarnation),
            log,
        })
    }

    /// Returns what the entry asks of the peers.
    pub(super) fn entry_peers(&self) -> entry::Peers {
        let live_instances = self.live_instances.clone();
        let (name, incarnation) = self.identity.clone();
        let [fresh, known, notified, live, served] = [(); 5].map(|()| self.peers.clone());
        entry::Peers {
            may_serve_keyed: Arc::new(move || fresh.may_serve_keyed()),
            quarantined: Arc::new(move |account, digest| known.quarantined(account, digest)),
            notify_quarantine: Arc::new(move |account, digest| {
                notified.notify_quarantine(account, digest);
            }),
            is_live: Arc::new(move |peer, its_incarnation| {
                if peer == &*name {
                    return its_incarnation == incarnation;
                }
                let peers = live.live();
                peers
                    .iter()
                    .any(|known| &*known.name == peer && known.incarnation == its_incarnation)
            }),
            live_instances: Arc::new(move || {
                u32::try_from(*live_instances.borrow()).unwrap_or(u32::MAX)
            }),
            report_served: Arc::new(move |account, tokens| served.report_served(account, tokens)),
        }
    }
}

/// Watches tasks that cannot be started again, because they share the state
/// of this incarnation: if one ends early, the instance must be replaced.
fn watch_tasks(supervisor: &Supervisor, name: &'static str, tasks: JoinSet<()>, shared: &Shared) {
    let mut tasks = Some(tasks);
    let broken = shared.broken.clone();
    supervisor.spawn(name, move |stop| {
        wait_for_tasks(name, tasks.take(), stop, broken.clone())
    });
}

async fn wait_for_tasks(
    name: &'static str,
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
        tracing::error!("instance: a task of {name} ended: {ended:?}");
        broken.cancel();
    }
    Ok(())
}

fn start_targets(shared: &Shared, platform: &Supervisor) -> TargetTable {
    let table = TargetTable::new();
    let settings = &shared.settings;
    let http = &shared.http;
    let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
    let client = TargetsClient::new(http.clone(), &settings.platform.targets_url, timeout);
    let engines = EngineClient::new(http.clone());
    let poll = Duration::from_millis(settings.timing.poll_ms);
    let ledger = shared.ledger.clone();
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

/// Starts the listener for callers.
pub(super) fn start_callers(callers: &Supervisor, listener: StdListener, context: &EntryContext) {
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

/// Starts the admin interface.
pub(super) fn start_admin(
    admin: &Supervisor,
    listener: StdListener,
    status: &StatusSources,
    burn: BurnSampler,
) -> Result<()> {
    let status = status.clone();
    let sources = AdminSources {
        status: Arc::new(move || status.collect()),
        burn: Arc::new(move || burn.samples()),
        metrics: metrics_handle()?,
    };
    admin.spawn("interface", move |stop| {
        let listener = duplicate(&listener);
        let sources = sources.clone();
        async move { admin::serve(listener?, sources, stop).await }
    });
    Ok(())
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
