//! State shared by all requests and tasks of an instance.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock,
    atomic::{AtomicUsize, Ordering},
};

use indexmap::IndexMap;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    catalog::{Catalog, Engine},
    gateway::{
        admission::quota::Quotas,
        dispatch::Dispatch,
        duty::kept_windows,
        engine::profiles::Engines,
        notices::target_notices::Notices,
        stop::StopPhase,
        target::{
            answer_memory::AnswerMemory, crash::CallsInFlight, loads::Loads, pool::Pool,
            speeds::Speeds,
        },
        usage::UsageCounter,
    },
    intake::{Intake, IntakeLimits},
    peer::{MAX_MESH_INSTANCES, PeerHandle},
    policy::retry_window::{RetryWindow, WindowBounds},
    roster::{Roster, Target},
    settings::{GatewaySettings, Tuning},
    sync::lock,
};

/// Fraction of a target's connection limit that is divided among instances.
const CONNECTION_SHARE: f64 = 0.85;

/// Minimum limit of the connections that an instance may have to a target, however
/// many instances there are.
const MIN_CONNECTIONS: usize = 2;

/// Connection limit of a target whose service has no configured limit, for all
/// instances together.
const DEFAULT_CONNECTIONS: u32 = 256;

const BYTES_PER_MB: u64 = 1 << 20;

/// Shared state of an instance.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: GatewaySettings,
    pub(super) pool: Pool,
    /// Settings that can be reloaded.
    tuning: Mutex<Tuning>,
    catalog: Mutex<Option<Arc<Catalog>>>,
    /// Known targets; `None` until the list of targets has been read.
    roster: Mutex<Option<Roster>>,
    loads: Mutex<Loads>,
    speeds: Mutex<Speeds>,
    notices: Mutex<Notices>,
    engines: Mutex<Engines>,
    /// Retry budget of each service, by service name.
    retries: Mutex<IndexMap<Arc<str>, RetryWindow>>,
    usage: Mutex<UsageCounter>,
    quotas: Mutex<Quotas>,
    calls_in_flight: Mutex<CallsInFlight>,
    /// Memory for the answers of targets.
    pub(super) answer_memory: Arc<AnswerMemory>,
    /// Connections and memory of callers.
    pub(super) intake: Arc<Intake>,
    /// Number of live instances.
    instances: AtomicUsize,
    pub(super) stop_phase: watch::Sender<StopPhase>,
    /// Notified when the crashes that have led to a quarantine have changed.
    pub(super) quarantine_changed: Notify,
    started_at: Instant,
    /// When the last successful read of the configuration was sent.
    catalog_read_at: Mutex<Option<Instant>>,
    peers: OnceLock<PeerHandle>,
    dispatch: OnceLock<Arc<Dispatch>>,
}

impl State {
    pub(super) fn new(settings: GatewaySettings) -> Self {
        let max_windows = 2 * kept_windows(&settings.timing) as usize;
        let usage = UsageCounter::new(settings.timing.usage_window_ms, max_windows);
        let quotas = Quotas::new(settings.quotas);
        let answer_memory = Arc::<AnswerMemory>::default();
        answer_memory.set_limit(settings.limits.memory_mb * BYTES_PER_MB);
        Self {
            answer_memory,
            intake: Intake::new(intake_limits(&settings.tuning())),
            tuning: Mutex::new(settings.tuning()),
            settings,
            pool: Pool::default(),
            catalog: Mutex::default(),
            roster: Mutex::default(),
            loads: Mutex::default(),
            speeds: Mutex::default(),
            notices: Mutex::default(),
            engines: Mutex::default(),
            retries: Mutex::default(),
            usage: Mutex::new(usage),
            quotas: Mutex::new(quotas),
            calls_in_flight: Mutex::default(),
            instances: AtomicUsize::new(1),
            stop_phase: watch::Sender::new(StopPhase::Running),
            quarantine_changed: Notify::new(),
            started_at: Instant::now(),
            catalog_read_at: Mutex::default(),
            peers: OnceLock::new(),
            dispatch: OnceLock::new(),
        }
    }

    /// Returns the settings that can be reloaded.
    pub(super) fn tuning(&self) -> Tuning {
        *lock(&self.tuning)
    }

    /// Replaces the settings that can be reloaded.
    pub(super) fn set_tuning(&self, tuning: Tuning) {
        self.answer_memory
            .set_limit(tuning.limits.memory_mb * BYTES_PER_MB);
        self.intake.set_limits(intake_limits(&tuning));
        *lock(&self.tuning) = tuning;
    }

    /// Records that the known configuration was the newest one at `read_sent_at`, the time
    /// at which a successful read of the store was sent.
    pub(super) fn note_catalog_read(&self, read_sent_at: Instant) {
        *lock(&self.catalog_read_at) = Some(read_sent_at);
    }

    /// Sets the handle to the peer connections. An error is logged if the handle is
    /// already set.
    pub(super) fn set_peers(&self, peers: PeerHandle) {
        self.loads().set_peers(peers.clone());
        if self.peers.set(peers).is_err() {
            tracing::error!("gateway: peer handle is already set");
        }
    }

    /// Returns the handle to the peer connections; `None` until it is set.
    pub(super) fn peers(&self) -> Option<&PeerHandle> {
        self.peers.get()
    }

    /// Sets the shared placement of prompts.
    pub(super) fn set_dispatch(&self, dispatch: Arc<Dispatch>) {
        if self.dispatch.set(dispatch).is_err() {
            tracing::error!("gateway: shared placement is already set");
        }
    }

    /// Returns the shared placement of prompts; `None` if each instance places its own.
    pub(super) fn dispatch(&self) -> Option<&Arc<Dispatch>> {
        self.dispatch.get()
    }

    /// Returns whether this instance may have missed a newer configuration. This is
    /// so if the last read of the configuration is too old and the peers do not
    /// confirm that the known configuration is the newest.
    pub(super) fn is_stale(&self) -> bool {
        let read_at = *lock(&self.catalog_read_at);
        let max_age = self.tuning().timing.freshness();
        if read_at.is_some_and(|read_at| read_at.elapsed() <= max_age) {
            return false;
        }
        let freshness = self.peers.get().map(PeerHandle::freshness);
        freshness.is_none_or(|freshness| !freshness.may_serve_keyed())
    }

    /// Returns the configuration; `None` before the first one is read.
    pub(super) fn catalog(&self) -> Option<Arc<Catalog>> {
        lock(&self.catalog).clone()
    }

    /// Replaces the configuration. Returns false, and keeps the known configuration, if
    /// the new one is not newer.
    pub(super) fn set_catalog(&self, catalog: Catalog) -> bool {
        let mut known = lock(&self.catalog);
        if known
            .as_ref()
            .is_some_and(|known| catalog.version() <= known.version())
        {
            return false;
        }
        *known = Some(Arc::new(catalog));
        true
    }

    /// Calls `change` with the roster locked, and returns its result.
    ///
    /// After this call, [`knows_targets`](Self::knows_targets) returns true.
    pub(super) fn with_roster<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Roster) -> T,
    {
        change(lock(&self.roster).get_or_insert_default())
    }

    /// Returns whether the list of targets has been read.
    pub(super) fn knows_targets(&self) -> bool {
        lock(&self.roster).is_some()
    }

    /// Returns the targets of a service that accept requests.
    pub(super) fn ready_targets(&self, service: &str) -> Vec<Arc<Target>> {
        self.with_roster(|roster| roster.ready(service, Instant::now()).cloned().collect())
    }

    /// Returns all targets of a service, including draining ones.
    pub(super) fn targets(&self, service: &str) -> Vec<Arc<Target>> {
        self.with_roster(|roster| {
            let targets = roster.iter().filter(|target| *target.service == *service);
            targets.cloned().collect()
        })
    }

    /// Returns whether the boot described by `target` still runs and accepts requests.
    pub(super) fn is_ready_target(&self, target: &Target) -> bool {
        self.with_roster(|roster| roster.is_ready(target, Instant::now()))
    }

    /// Locks and returns the loads of targets.
    pub(super) fn loads(&self) -> MutexGuard<'_, Loads> {
        lock(&self.loads)
    }

    /// Locks and returns the learned speeds of targets. The loads may already be locked, but
    /// must not be locked afterwards.
    pub(super) fn speeds(&self) -> MutexGuard<'_, Speeds> {
        lock(&self.speeds)
    }

    /// Locks and returns what targets have said in their answers.
    pub(super) fn notices(&self) -> MutexGuard<'_, Notices> {
        lock(&self.notices)
    }

    /// Locks and returns the timing profiles and loads of engines.
    pub(super) fn engines(&self) -> MutexGuard<'_, Engines> {
        lock(&self.engines)
    }

    /// Locks and returns the usage counts of this instance.
    pub(super) fn usage(&self) -> MutexGuard<'_, UsageCounter> {
        lock(&self.usage)
    }

    /// Locks and returns the quotas of client accounts.
    pub(super) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        lock(&self.quotas)
    }

    /// Locks and returns the calls that are in flight on targets.
    pub(super) fn calls_in_flight(&self) -> MutexGuard<'_, CallsInFlight> {
        lock(&self.calls_in_flight)
    }

    /// Counts a request for a service, which adds to the service's retry budget.
    pub(super) fn record_request(&self, service: &Arc<str>) {
        let window_ms = self.tuning().retries.window_ms;
        let now_ms = self.now_ms();
        let mut retries = lock(&self.retries);
        let window = retries.entry(service.clone()).or_default();
        window.remove_expired(window_ms, now_ms);
        window.record_request(now_ms);
    }

    /// Takes one retry out of a service's retry budget; returns false if the
    /// budget is used up.
    pub(super) fn withdraw_retry(&self, service: &Arc<str>) -> bool {
        let limits = self.tuning().retries;
        let bounds = WindowBounds {
            ratio: limits.ratio,
            slack: limits.slack,
            window_ms: limits.window_ms,
        };
        let now_ms = self.now_ms();
        let mut retries = lock(&self.retries);
        let window = retries.entry(service.clone()).or_default();
        window.withdraw(&bounds, self.instances(), now_ms)
    }

    /// Returns the number of live instances, at least 1. Limits of the whole fleet
    /// are divided by this number.
    pub(super) fn instances(&self) -> usize {
        self.instances.load(Ordering::Relaxed).max(1)
    }

    /// Returns whether instances save reads of the store: in large fleets with shared
    /// placement.
    pub(super) fn shares_store_reads(&self) -> bool {
        self.settings.placement.shared && self.instances() > MAX_MESH_INSTANCES
    }

    /// Sets the number of live instances.
    pub(super) fn set_instances(&self, instances: usize) {
        self.instances.store(instances, Ordering::Relaxed);
    }

    /// Returns the configured engine properties of a service.
    pub(super) fn engine(&self, service: &str) -> Option<Engine> {
        self.catalog()?.service(service)?.engine.clone()
    }

    /// Returns the number of connections that this instance may have to one
    /// target of a service.
    pub(super) fn max_connections(&self, service: &str) -> usize {
        let fleet_limit = self
            .catalog()
            .and_then(|catalog| catalog.service(service)?.max_connections)
            .unwrap_or(DEFAULT_CONNECTIONS);
        let share = CONNECTION_SHARE * f64::from(fleet_limit) / self.instances() as f64;
        (share as usize).max(MIN_CONNECTIONS)
    }

    /// Returns the reason why the instance is not ready; `None` if it is ready.
    pub(super) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("stopping");
        }
        if self.catalog().is_none() {
            return Some("configuration not read");
        }
        if !self.knows_targets() {
            return Some("targets not read");
        }
        if self.is_stale() {
            return Some("configuration may be outdated");
        }
        None
    }

    /// Returns the time since the instance started, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

fn intake_limits(tuning: &Tuning) -> IntakeLimits {
    let limits = tuning.limits;
    IntakeLimits::new(&tuning.intake, limits.memory_mb, limits.max_descriptors)
}
