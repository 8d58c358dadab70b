//! Table of targets: the platform's target list, joined with each engine's
//! reported state and with the health derived from requests and polls.
//!
//! `poll` polls the list and the states; `health` derives the health of one target.

mod health;
mod poll;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    sync::{broadcast, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

pub use self::health::Health;
use self::{health::HealthTracker, poll::Poller};
use super::{EngineClient, protocol::EngineState};
use crate::{
    infra::{
        TargetsClient,
        protocol::{PlatformTarget, TargetState},
    },
    service::KindRole,
    sync,
};

/// Maximum number of crash events buffered for a slow subscriber; older events are
/// lost.
const MAX_PENDING_CRASHES: usize = 256;

/// Snapshot of one target, as known to this instance.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Name of the target.
    pub name: Arc<str>,
    /// Name of the target kind.
    pub kind: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address of the target's HTTP interface, `IP:PORT`.
    pub address: Arc<str>,
    /// Lifecycle state from the platform's list.
    pub state: TargetState,
    /// When a leaving target will be removed; `None` if the platform gives no
    /// time.
    pub leaves_at: Option<Instant>,
    /// Last state reported by an engine; `None` for plain services.
    pub engine: Option<EngineState>,
    /// When the last report was received or, for a plain service, when the
    /// target was first listed.
    pub reported_at: Instant,
    /// Health derived from requests and state polls.
    pub health: Health,
}

impl TargetView {
    /// Returns the age of the load figures at `now`, including the age that they
    /// had when the engine sent them.
    pub fn report_age(&self, now: Instant) -> Duration {
        let age_when_sent_ms = self.engine.as_ref().map_or(0, |state| state.report_age_ms);
        now.saturating_duration_since(self.reported_at) + Duration::from_millis(age_when_sent_ms)
    }

    /// Returns whether the target may get new work: it is live, healthy and not
    /// changing its role or loading a model.
    pub fn is_available(&self) -> bool {
        let changing = self.engine.as_ref().is_some_and(|state| state.changing);
        self.state == TargetState::Live && self.health == Health::Healthy && !changing
    }
}

/// Unexpected restart of a live engine, detected by a changed boot identifier.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashEvent {
    /// Name of the target.
    pub target: Arc<str>,
    /// Boot identifier before the crash.
    pub previous_boot: Arc<str>,
    /// Boot identifier after the restart.
    pub boot: Arc<str>,
}

/// A target on the platform's list, with everything known about it.
#[derive(Clone, Debug)]
struct Row {
    /// Entry of the platform's list.
    listed: PlatformTarget,
    /// Role of the target's kind; `None` if no service document defines the kind.
    role: Option<KindRole>,
    leaves_at: Option<Instant>,
    engine: Option<EngineState>,
    reported_at: Instant,
    health: HealthTracker,
}

#[derive(Debug)]
struct Shared {
    /// Rows by target name.
    rows: Mutex<IndexMap<Arc<str>, Row>>,
    views: watch::Sender<Arc<Vec<TargetView>>>,
    crashes: broadcast::Sender<CrashEvent>,
}

/// Table of targets, shared by the components of an instance; cheap to clone.
#[derive(Clone, Debug)]
pub struct TargetTable {
    shared: Arc<Shared>,
}

impl Default for TargetTable {
    fn default() -> Self {
        Self {
            shared: Arc::new(Shared {
                rows: Mutex::default(),
                views: watch::Sender::default(),
                crashes: broadcast::Sender::new(MAX_PENDING_CRASHES),
            }),
        }
    }
}

impl TargetTable {
    /// Creates an empty table; [`TargetPoller::run`] fills it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all targets on the platform's list, including those that are not
    /// available.
    ///
    /// An engine is included once it has reported its state.
    pub fn snapshot(&self) -> Arc<Vec<TargetView>> {
        Arc::clone(&self.shared.views.borrow())
    }

    /// Subscribes to new snapshots.
    pub fn watch(&self) -> watch::Receiver<Arc<Vec<TargetView>>> {
        self.shared.views.subscribe()
    }

    /// Subscribes to crashes detected by polling.
    pub fn crashes(&self) -> broadcast::Receiver<CrashEvent> {
        self.shared.crashes.subscribe()
    }

    /// Records that a target completed a request.
    pub fn mark_success(&self, name: &str) {
        self.update_health(name, HealthTracker::record_success);
    }

    /// Records that a request to a target failed.
    pub fn mark_failure(&self, name: &str) {
        let now = Instant::now();
        self.update_health(name, |health| health.record_failure(now));
    }

    /// Records that a target crashed.
    pub fn mark_crashed(&self, name: &str) {
        let now = Instant::now();
        self.update_health(name, |health| health.record_crash(now));
    }

    /// Replaces the target list with the platform's current list. `role_of` returns
    /// the role of a target kind, or `None` for an unknown kind.
    ///
    /// Targets that are not on the current list are removed. The reported state and
    /// the health of a target are reset if the target's address has changed.
    pub fn observe_list<F>(&self, targets: Vec<PlatformTarget>, role_of: F)
    where
        F: Fn(&str) -> Option<KindRole>,
    {
        let now = Instant::now();
        let mut rows = self.lock();
        let mut listed = IndexMap::with_capacity(targets.len());
        for target in targets {
            let known = rows.swap_remove(&target.name);
            let row = known.filter(|row| row.listed.address == target.address);
            let mut row = row.unwrap_or_else(|| Row {
                listed: target.clone(),
                role: None,
                leaves_at: None,
                engine: None,
                reported_at: now,
                health: HealthTracker::default(),
            });
            row.role = role_of(&target.kind);
            row.leaves_at = target
                .leaves_in_ms
                .map(|ms| now + Duration::from_millis(ms));
            row.listed = target;
            listed.insert(Arc::clone(&row.listed.name), row);
        }
        *rows = listed;
        self.publish(&mut rows);
    }

    /// Records a state reported by an engine; unknown targets are ignored.
    pub fn observe_state(&self, name: &str, state: EngineState) {
        let mut rows = self.lock();
        self.apply_state(&mut rows, name, state);
        self.publish(&mut rows);
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Arc<str>, Row>> {
        sync::lock(&self.shared.rows)
    }

    fn update_health<F>(&self, name: &str, change: F)
    where
        F: FnOnce(&mut HealthTracker) -> bool,
    {
        let mut rows = self.lock();
        let Some(row) = rows.get_mut(name) else {
            return;
        };
        if change(&mut row.health) {
            tracing::info!("target: {name} is now {}", row.health.health());
            self.publish(&mut rows);
        }
    }

    /// Updates a row with a state reported by its engine, and publishes a crash event
    /// if a live engine has restarted.
    fn apply_state(&self, rows: &mut IndexMap<Arc<str>, Row>, name: &str, state: EngineState) {
        let Some(row) = rows.get_mut(name) else {
            return;
        };
        let known = row.engine.as_ref().map(|known| &known.boot);
        let previous_boot = known.filter(|boot| **boot != state.boot).cloned();
        row.health.record_poll_success(previous_boot.is_some());
        if let Some(previous_boot) = previous_boot
            && row.listed.state == TargetState::Live
        {
            tracing::warn!("target: {name} crashed and restarted");
            let _ = self.shared.crashes.send(CrashEvent {
                target: Arc::clone(&row.listed.name),
                previous_boot,
                boot: Arc::clone(&state.boot),
            });
        }
        row.engine = Some(state);
        row.reported_at = Instant::now();
    }

    /// Ends pauses whose time has passed, and publishes a new snapshot.
    fn publish(&self, rows: &mut IndexMap<Arc<str>, Row>) {
        let now = Instant::now();
        let mut views = Vec::with_capacity(rows.len());
        for row in rows.values_mut() {
            row.health.expire(now);
            if row.role == Some(KindRole::Engine) && row.engine.is_none() {
                continue;
            }
            views.push(TargetView {
                name: Arc::clone(&row.listed.name),
                kind: Arc::clone(&row.listed.kind),
                failure_domain: Arc::clone(&row.listed.failure_domain),
                address: Arc::clone(&row.listed.address),
                state: row.listed.state,
                leaves_at: row.leaves_at,
                engine: row.engine.clone(),
                reported_at: row.reported_at,
                health: row.health.health(),
            });
        }
        self.shared.views.send_replace(Arc::new(views));
    }

    /// Returns the engines whose state this instance polls: all, or `subset_size` of
    /// them. The subset is chosen by rendezvous hashing with the instance name, which
    /// spreads the engines evenly over the instances.
    fn engines_to_poll(&self, instance: &str, subset_size: Option<usize>) -> Vec<PlatformTarget> {
        let rows = self.lock();
        let engines = rows.values();
        let mut engines: Vec<PlatformTarget> = engines
            .filter(|row| row.role == Some(KindRole::Engine))
            .map(|row| row.listed.clone())
            .collect();
        drop(rows);
        let Some(subset_size) = subset_size.filter(|size| *size < engines.len()) else {
            return engines;
        };
        engines.sort_by_cached_key(|target| polling_rank(instance, &target.name));
        engines.truncate(subset_size);
        engines
    }
}

/// Returns the rank of a target for an instance in rendezvous hashing. The instance
/// polls the targets of lowest rank.
fn polling_rank(instance: &str, target: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    instance.hash(&mut hasher);
    target.hash(&mut hasher);
    hasher.finish()
}

/// Updates a [`TargetTable`] from the platform's target list and the engines'
/// states.
///
/// ```no_run
/// use std::time::Duration;
///
/// use lavenderwind::{
///     infra::TargetsClient,
///     service::KindRole,
///     target::{
///         EngineClient, http_client,
///         table::{TargetPoller, TargetTable},
///     },
/// };
/// use tokio_util::sync::CancellationToken;
///
/// # async fn example() -> reqwest::Result<()> {
/// let http = http_client()?;
/// let platform = TargetsClient::new(
///     http.clone(),
///     "http://127.0.0.1:9000",
///     Duration::from_secs(1),
/// );
/// let table = TargetTable::new();
/// let poller = TargetPoller::new(table.clone(), platform, EngineClient::new(http), |_kind| {
///     Some(KindRole::Engine)
/// });
/// poller
///     .with_list_interval(Duration::from_millis(500))
///     .run(CancellationToken::new())
///     .await;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct TargetPoller<F> {
    poller: Poller<F>,
}

impl<F> TargetPoller<F>
where
    F: Fn(&str) -> Option<KindRole>,
{
    /// Creates a poller that polls all engines. `role_of` returns the role of a target
    /// kind according to the service documents, or `None` for an unknown kind.
    pub fn new(
        table: TargetTable,
        targets: TargetsClient,
        engines: EngineClient,
        role_of: F,
    ) -> Self {
        let poller = Poller::new(table, targets, engines, role_of);
        Self { poller }
    }

    /// Sets the interval between polls of the target list.
    #[must_use]
    pub fn with_list_interval(mut self, interval: Duration) -> Self {
        self.poller.list_interval = interval;
        self
    }

    /// Sets the interval between polls of each engine's state. A large fleet is
    /// polled less often, to limit the number of polls per second.
    #[must_use]
    pub fn with_state_interval(mut self, interval: Duration) -> Self {
        self.poller.state_interval = interval;
        self
    }

    /// Polls only `count` engines; each instance polls a different subset.
    #[must_use]
    pub fn with_subset(mut self, instance: Arc<str>, count: usize) -> Self {
        self.poller.instance = instance;
        self.poller.subset_size = Some(count);
        self
    }

    /// Polls the target list and all states once.
    pub async fn refresh(&self) {
        self.poller.poll_list().await;
        self.poller.poll_states().await;
    }

    /// Polls until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = self.poller.run() => {}
            () = stop.cancelled() => {}
        }
    }
}
