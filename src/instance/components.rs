//! Starts the components of an instance under their supervisors.

use std::{
    net::TcpListener as StdListener,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use futures_util::FutureExt;
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
    control::{self, ControlInputs, Identity, UsageRecorder},
    entry::{self, EntryContext, UsageEntry},
    infra::{LiveClient, TargetsClient},
    intake::Intake,
    ledger::{Ledger, LedgerHandle, UsageCounts},
    log::{self, Log, LogOptions},
    peer::{self, PeerHandle, PeerInputs},
    service::KindRole,
    supervisor::Supervisor,
    sync,
    target::{
        EngineClient,
        table::{TargetPoller, TargetTable},
    },
};

/// Interval at which the samples of histograms are summed up.
const HISTOGRAM_INTERVAL: Duration = Duration::from_secs(2);

/// Resources shared by all components of an instance.
pub(super) struct Shared {
    pub(super) settings: Arc<Settings>,
    pub(super) incarnation: u64,
    pub(super) ledger: LedgerHandle,
    pub(super) http: reqwest::Client,
    pub(super) live: LiveClient,
    /// Cancelled when a component ends that cannot be restarted.
    pub(super) failed: CancellationToken,
}

impl Shared {
    /// Generates an incarnation and creates the clients.
    pub(super) fn new(settings: &Arc<Settings>) -> Result<Self> {
        let http = crate::target::http_client().map_err(Error::Client)?;
        let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
        Ok(Self {
            settings: Arc::clone(settings),
            incarnation: new_incarnation(),
            ledger: LedgerHandle::new(Ledger::new()),
            live: LiveClient::new(http.clone(), &settings.platform.live_url, timeout),
            http,
            failed: CancellationToken::new(),
        })
    }
}

/// Returns a new incarnation: the wall-clock time in microseconds since the Unix epoch,
/// which exceeds the incarnations of earlier starts.
fn new_incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(0, |elapsed| elapsed.as_micros());
    u64::try_from(micros).unwrap_or(u64::MAX)
}

/// Components that communicate with the platform, the peers and the targets.
pub(super) struct PlatformComponents {
    pub(super) log: Log,
    pub(super) peers: PeerHandle,
    pub(super) targets: TargetTable,
    /// Whether the targets were polled after the ledger became complete.
    pub(super) targets_polled: watch::Receiver<bool>,
    /// Number of live instances, including this one.
    live_instances: watch::Receiver<usize>,
    /// Name and incarnation of this instance.
    identity: (Arc<str>, u64),
}

impl PlatformComponents {
    /// Starts the log tasks, the peer tasks and the target poller.
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
        let (polled_sender, targets_polled) = watch::channel(false);
        Ok(Self {
            targets: start_targets(shared, &log, platform, polled_sender),
            targets_polled,
            peers: peers.handle,
            live_instances,
            identity: (Arc::clone(&settings.name), shared.incarnation),
            log,
        })
    }

    /// Starts the duties and returns the recorder for the entry's usage.
    pub(super) fn start_control(&self, shared: &Shared, control: &Supervisor) -> UsageRecorder {
        let source = Identity {
            name: Arc::clone(&shared.settings.name),
            incarnation: shared.incarnation,
        };
        let recorder = UsageRecorder::new(source, &shared.settings.timing);
        let inputs = ControlInputs {
            settings: Arc::clone(&shared.settings),
            ledger: shared.ledger.clone(),
            appender: self.log.appender.clone(),
            tail: self.log.status.clone(),
            peers: self.peers.clone(),
            targets: self.targets.clone(),
            http: shared.http.clone(),
            recorder: recorder.clone(),
        };
        control::spawn(&inputs, control);
        recorder
    }

    /// Returns the callbacks through which the entry uses the peers. Each callback owns
    /// a clone of the peer handle.
    pub(super) fn entry_callbacks(&self) -> entry::PeerCallbacks {
        let live_instances = self.live_instances.clone();
        let (name, incarnation) = self.identity.clone();
        let [freshness, quarantine, notifier, membership, served_reporter] =
            [(); 5].map(|()| self.peers.clone());
        let [served_reader, load_reader, load_reporter] = [(); 3].map(|()| self.peers.clone());
        entry::PeerCallbacks {
            may_serve_keyed: Arc::new(move || freshness.may_serve_keyed()),
            is_quarantined: Arc::new(move |account, digest| {
                quarantine.is_quarantined(account, digest)
            }),
            notify_quarantine: Arc::new(move |account, digest| {
                let peers = notifier.clone();
                let account = account.to_owned();
                let digest = digest.to_vec();
                async move { peers.notify_quarantine(&account, &digest).await }.boxed()
            }),
            is_live: Arc::new(move |peer, peer_incarnation| {
                if *peer == name {
                    return peer_incarnation == incarnation;
                }
                membership.may_run(peer, peer_incarnation)
            }),
            live_instances: Arc::new(move || {
                u32::try_from(*live_instances.borrow()).unwrap_or(u32::MAX)
            }),
            report_served: Arc::new(move |account, tokens| {
                served_reporter.report_amount(account, tokens)
            }),
            take_served: Arc::new(move || served_reader.take_peer_amounts()),
            peer_load: Arc::new(move |target| load_reader.peer_loads(target)),
            report_load: Arc::new(move |target, load| load_reporter.report_load(target, load)),
        }
    }
}

/// Watches tasks that cannot be restarted, because they share the state of this
/// incarnation. If one of them ends early, the instance must be replaced.
fn watch_tasks(supervisor: &Supervisor, name: &'static str, tasks: JoinSet<()>, shared: &Shared) {
    let mut tasks = Some(tasks);
    let failed = shared.failed.clone();
    supervisor.spawn(name, move |stop| {
        wait_for_tasks(name, tasks.take(), stop, failed.clone())
    });
}

/// Waits until all tasks have ended. Cancels `failed` if one of them ends before `stop`
/// is cancelled.
async fn wait_for_tasks(
    name: &'static str,
    tasks: Option<JoinSet<()>>,
    stop: CancellationToken,
    failed: CancellationToken,
) -> Result<()> {
    let Some(mut tasks) = tasks else {
        return Ok(());
    };
    while let Some(ended) = tasks.join_next().await {
        if stop.is_cancelled() {
            continue;
        }
        tracing::error!("instance: a task of {name} ended unexpectedly: {ended:?}");
        failed.cancel();
    }
    Ok(())
}

/// Starts the target poller. The first poll waits for a complete ledger, which
/// determines the role of each kind of target.
fn start_targets(
    shared: &Shared,
    log: &Log,
    platform: &Supervisor,
    polled_sender: watch::Sender<bool>,
) -> TargetTable {
    let table = TargetTable::new();
    let settings = &shared.settings;
    let http = &shared.http;
    let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
    let client = TargetsClient::new(http.clone(), &settings.platform.targets_url, timeout);
    let engines = EngineClient::new(http.clone());
    let poll_interval = Duration::from_millis(settings.timing.poll_ms);
    let ledger = shared.ledger.clone();
    let polled_table = table.clone();
    let tail = log.status.clone();
    platform.spawn("targets", move |stop| {
        let ledger = ledger.clone();
        let role_of = move |kind: &str| kind_role(&ledger, kind);
        let poller = TargetPoller::new(
            polled_table.clone(),
            client.clone(),
            engines.clone(),
            role_of,
        );
        let mut tail = tail.clone();
        let polled_sender = polled_sender.clone();
        async move {
            let _ = tail.wait_for(|status| status.caught_up).await;
            poller.refresh().await;
            polled_sender.send_replace(true);
            poller.with_list_interval(poll_interval).run(stop).await;
            Ok::<(), Error>(())
        }
    });
    table
}

/// Returns the role of a kind of target in the first service that declares it.
fn kind_role(ledger: &LedgerHandle, kind: &str) -> Option<KindRole> {
    ledger.read(|ledger| {
        let mut kinds = ledger
            .services()
            .flat_map(|entry| &entry.document.target_kinds);
        kinds
            .find(|declared| &*declared.name == kind)
            .map(|declared| declared.role)
    })
}

/// Starts the listener for callers. If the listener fails, the supervisor restarts it.
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
    intake: Arc<Intake>,
) -> Result<()> {
    let status = status.clone();
    let sources = AdminSources {
        status: Arc::new(move || status.collect()),
        burn: Arc::new(move || burn.samples()),
        metrics: metrics_handle()?,
    };
    let metrics = sources.metrics.clone();
    admin.spawn("histograms", move |stop| {
        let maintaining = maintain_histograms(metrics.clone());
        async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = maintaining => {}
            }
            Ok::<_, Error>(())
        }
    });
    admin.spawn("interface", move |stop| {
        let listener = duplicate(&listener);
        let (sources, intake) = (sources.clone(), intake.clone());
        async move { admin::serve(listener?, sources, intake, stop).await }
    });
    Ok(())
}

/// Returns the handle of the metrics recorder, which is installed once and
/// shared by all instances in the process.
pub(crate) fn metrics_handle() -> Result<PrometheusHandle> {
    static HANDLE: std::sync::Mutex<Option<PrometheusHandle>> = std::sync::Mutex::new(None);
    let mut handle = sync::lock(&HANDLE);
    if let Some(handle) = &*handle {
        return Ok(handle.clone());
    }
    let installed = PrometheusBuilder::new()
        .install_recorder()
        .map_err(Error::Metrics)?;
    *handle = Some(installed.clone());
    Ok(installed)
}

/// Sums up the samples of histograms, which would otherwise be kept until the metrics are
/// read. Never returns.
pub(crate) async fn maintain_histograms(metrics: PrometheusHandle) {
    let mut tick = tokio::time::interval(HISTOGRAM_INTERVAL);
    loop {
        tick.tick().await;
        metrics.run_upkeep();
    }
}

/// Passes a usage entry on to the recorder.
pub(super) fn record_usage(recorder: &UsageRecorder, entry: &UsageEntry) {
    let counts = UsageCounts {
        requests: entry.requests,
        prompt_tokens: entry.prompt_tokens,
        output_tokens: entry.output_tokens,
    };
    recorder.record(&entry.service, &entry.account, counts);
}
