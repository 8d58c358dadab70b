//! What all requests and tasks of an instance share.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use indexmap::IndexMap;
use tokio::time::Instant;

use super::{engines::Engines, loads::Loads, pool::Pool, usage::UsageCounter};
use crate::{
    catalog::{Catalog, Engine},
    peer::PeerHandle,
    policy::retry_window::{RetryWindow, WindowBounds},
    roster::{Roster, Target},
    settings::{GatewaySettings, Tuning},
};

/// Part of the connections that a target accepts which instances share out.
const CONNECTION_SHARE: f64 = 0.85;

/// Fewest connections that an instance may have to a target.
const MIN_CONNECTIONS: usize = 2;

/// Connections to a target whose service names no bound.
const DEFAULT_CONNECTIONS: u32 = 256;

/// Part of the memory that request bodies may take.
const BODY_MEMORY_SHARE: u64 = 4;

const BYTES_PER_MB: u64 = 1 << 20;

/// State of an instance.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: GatewaySettings,
    pub(super) pool: Pool,
    tuning: Mutex<Tuning>,
    catalog: Mutex<Option<Arc<Catalog>>>,
    roster: Mutex<Option<Roster>>,
    loads: Mutex<Loads>,
    engines: Mutex<Engines>,
    retries: Mutex<IndexMap<Arc<str>, RetryWindow>>,
    usage: Mutex<UsageCounter>,
    body_bytes: AtomicUsize,
    instances: AtomicUsize,
    stopping: AtomicBool,
    started_at: Instant,
    catalog_read_at: Mutex<Option<Instant>>,
    peers: OnceLock<PeerHandle>,
}

impl State {
    pub(super) fn new(settings: GatewaySettings) -> Self {
        let usage = UsageCounter::new(settings.timing.usage_window_ms);
        Self {
            tuning: Mutex::new(settings.tuning()),
            settings,
            pool: Pool::default(),
            catalog: Mutex::default(),
            roster: Mutex::default(),
            loads: Mutex::default(),
            engines: Mutex::default(),
            retries: Mutex::default(),
            usage: Mutex::new(usage),
            body_bytes: AtomicUsize::new(0),
            instances: AtomicUsize::new(1),
            stopping: AtomicBool::new(false),
            started_at: Instant::now(),
            catalog_read_at: Mutex::default(),
            peers: OnceLock::new(),
        }
    }

    /// Returns the settings that may change.
    pub(super) fn tuning(&self) -> Tuning {
        *lock(&self.tuning)
    }

    /// Takes changed settings.
    pub(super) fn set_tuning(&self, tuning: Tuning) {
        *lock(&self.tuning) = tuning;
    }

    /// Notes that the configuration is known as of an instant.
    pub(super) fn note_catalog_read(&self, at: Instant) {
        *lock(&self.catalog_read_at) = Some(at);
    }

    /// Takes the handle to the other instances.
    pub(super) fn set_peers(&self, peers: PeerHandle) {
        self.loads().set_peers(peers.clone());
        if self.peers.set(peers).is_err() {
            tracing::error!("gateway: peers are already known");
        }
    }

    /// Returns whether this instance may have missed a newer configuration.
    pub(super) fn is_stale(&self) -> bool {
        let read_at = *lock(&self.catalog_read_at);
        let bound = self.tuning().timing.freshness();
        if read_at.is_some_and(|read_at| read_at.elapsed() <= bound) {
            return false;
        }
        let freshness = self.peers.get().map(PeerHandle::freshness);
        freshness.is_none_or(|freshness| !freshness.may_serve_keyed())
    }

    /// Returns the configuration, once it is known.
    pub(super) fn catalog(&self) -> Option<Arc<Catalog>> {
        lock(&self.catalog).clone()
    }

    /// Takes a configuration; false if it is not newer than the known one.
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

    /// Calls `change` with the targets, which it may change.
    pub(super) fn with_roster<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Roster) -> T,
    {
        change(lock(&self.roster).get_or_insert_default())
    }

    /// Returns whether the list of targets was ever read.
    pub(super) fn knows_targets(&self) -> bool {
        lock(&self.roster).is_some()
    }

    /// Returns the targets of a service that take requests.
    pub(super) fn ready_targets(&self, service: &str) -> Vec<Arc<Target>> {
        self.with_roster(|roster| roster.ready(service, Instant::now()).cloned().collect())
    }

    /// Returns all targets of a service, also those that are about to leave.
    pub(super) fn targets(&self, service: &str) -> Vec<Arc<Target>> {
        self.with_roster(|roster| {
            let targets = roster.iter().filter(|target| *target.service == *service);
            targets.cloned().collect()
        })
    }

    /// Returns whether a target still takes requests.
    pub(super) fn is_ready_target(&self, target: &Target) -> bool {
        self.with_roster(|roster| roster.is_ready(target, Instant::now()))
    }

    /// Returns the loads of targets.
    pub(super) fn loads(&self) -> MutexGuard<'_, Loads> {
        lock(&self.loads)
    }

    /// Returns what is known of engines.
    pub(super) fn engines(&self) -> MutexGuard<'_, Engines> {
        lock(&self.engines)
    }

    /// Returns the usage of this instance.
    pub(super) fn usage(&self) -> MutexGuard<'_, UsageCounter> {
        lock(&self.usage)
    }

    /// Counts a request for a service.
    pub(super) fn record_request(&self, service: &Arc<str>) {
        let now_ms = self.now_ms();
        let mut retries = lock(&self.retries);
        let window = retries.entry(service.clone()).or_default();
        window.record_request(now_ms);
    }

    /// Takes an extra send to a service out of the budget.
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

    /// Returns the number of instances that share budgets, at least 1.
    pub(super) fn instances(&self) -> usize {
        self.instances.load(Ordering::Relaxed).max(1)
    }

    /// Sets the number of instances that share budgets.
    pub(super) fn set_instances(&self, instances: usize) {
        self.instances.store(instances, Ordering::Relaxed);
    }

    /// Returns what the configuration says of a service's engines.
    pub(super) fn engine(&self, service: &str) -> Option<Engine> {
        self.catalog()?.service(service)?.engine.clone()
    }

    /// Returns the connections that this instance may have to a target.
    pub(super) fn max_connections(&self, service: &str) -> usize {
        let bound = self
            .catalog()
            .and_then(|catalog| catalog.service(service)?.max_connections)
            .unwrap_or(DEFAULT_CONNECTIONS);
        let share = CONNECTION_SHARE * f64::from(bound) / self.instances() as f64;
        (share as usize).max(MIN_CONNECTIONS)
    }

    /// Reserves memory for a body; `None` if too much is taken.
    pub(super) fn reserve_body(self: &Arc<Self>, bytes: usize) -> Option<BodyMemory> {
        let bound = self.tuning().limits.memory_mb * BYTES_PER_MB / BODY_MEMORY_SHARE;
        let reserved = self
            .body_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |taken| {
                let taken = taken + bytes;
                (taken as u64 <= bound).then_some(taken)
            });
        reserved.is_ok().then(|| BodyMemory {
            state: self.clone(),
            bytes,
        })
    }

    /// Returns whether the instance is being stopped.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Notes that the instance is being stopped, and tells its peers.
    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        if let Some(peers) = self.peers.get() {
            peers.announce_leaving();
        }
    }

    /// Returns why the instance is not ready, if it is not.
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

    /// Returns the time since the start, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

/// Memory that a request's body takes, until it is dropped.
#[derive(Debug)]
pub(super) struct BodyMemory {
    state: Arc<State>,
    bytes: usize,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.state
            .body_bytes
            .fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
