//! Polling of the platform's target list and the engines' states.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use super::TargetTable;
use crate::{
    infra::{TargetsClient, protocol::PlatformTarget},
    service::KindRole,
    target::{EngineClient, Result, protocol::EngineState},
};

/// Maximum number of state polls per second; a larger fleet is polled less often.
const MAX_POLLS_PER_S: f64 = 400.0;
/// Maximum number of concurrent state polls.
const MAX_CONCURRENT_POLLS: usize = 32;
/// Timeout for one state poll, in milliseconds.
const STATE_TIMEOUT_MS: u64 = 500;
/// Default interval between polls of the target list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 500;
/// Default interval between polls of each engine's state, in milliseconds.
const STATE_INTERVAL_MS: u64 = 250;

/// Polls the platform and the engines, and updates one [`TargetTable`].
#[derive(Clone, Debug)]
pub(super) struct Poller<F> {
    /// Name of this instance, which determines the subset of engines to poll.
    pub(super) instance: Arc<str>,
    /// Number of engines to poll; `None` for all.
    pub(super) subset_size: Option<usize>,
    pub(super) list_interval: Duration,
    pub(super) state_interval: Duration,
    table: TargetTable,
    targets_client: TargetsClient,
    engine_client: EngineClient,
    role_of: F,
}

/// Result of polling one engine.
struct PollResult {
    name: Arc<str>,
    /// `None` if the engine did not respond within [`STATE_TIMEOUT_MS`].
    state: Option<Result<EngineState>>,
}

impl<F> Poller<F>
where
    F: Fn(&str) -> Option<KindRole>,
{
    pub(super) fn new(
        table: TargetTable,
        targets_client: TargetsClient,
        engine_client: EngineClient,
        role_of: F,
    ) -> Self {
        Self {
            instance: "".into(),
            subset_size: None,
            list_interval: Duration::from_millis(LIST_INTERVAL_MS),
            state_interval: Duration::from_millis(STATE_INTERVAL_MS),
            table,
            targets_client,
            engine_client,
            role_of,
        }
    }

    /// Polls the target list and the engines' states concurrently, each at its own
    /// interval.
    pub(super) async fn run(&self) {
        tokio::join!(self.run_list(), self.run_states());
    }

    async fn run_list(&self) {
        let mut ticks = interval(self.list_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.poll_list().await;
        }
    }

    async fn run_states(&self) {
        loop {
            let started_at = Instant::now();
            let engine_count = self.poll_states().await;
            sleep_until(started_at + self.state_interval_for(engine_count)).await;
        }
    }

    /// Returns the interval between the starts of two rounds of state polls, each of
    /// `engine_count` engines. The interval is long enough to respect
    /// [`MAX_POLLS_PER_S`].
    fn state_interval_for(&self, engine_count: usize) -> Duration {
        let min_interval = Duration::from_secs_f64(engine_count as f64 / MAX_POLLS_PER_S);
        self.state_interval.max(min_interval)
    }

    /// Polls the target list once. If the list cannot be read, the table keeps its
    /// current targets.
    pub(super) async fn poll_list(&self) {
        match self.targets_client.list().await {
            Ok(list) => self.table.observe_list(list.targets, &self.role_of),
            Err(error) => tracing::warn!("target: cannot read the target list: {error}"),
        }
    }

    /// Polls the state of each engine to poll once, and returns the number of these
    /// engines.
    pub(super) async fn poll_states(&self) -> usize {
        let engines = self.table.engines_to_poll(&self.instance, self.subset_size);
        let polls = stream::iter(engines).map(|target| self.poll_state(target));
        let results: Vec<PollResult> = polls.buffer_unordered(MAX_CONCURRENT_POLLS).collect().await;
        let engine_count = results.len();
        self.apply_poll_results(results);
        engine_count
    }

    async fn poll_state(&self, target: PlatformTarget) -> PollResult {
        let limit = Duration::from_millis(STATE_TIMEOUT_MS);
        let state = timeout(limit, self.engine_client.state(&target.address)).await;
        PollResult {
            name: target.name,
            state: state.ok(),
        }
    }

    fn apply_poll_results(&self, results: Vec<PollResult>) {
        let now = Instant::now();
        let mut rows = self.table.lock();
        for result in results {
            match result.state {
                Some(Ok(state)) => self.table.apply_state(&mut rows, &result.name, state),
                Some(Err(_)) | None => {
                    if let Some(row) = rows.get_mut(&result.name) {
                        row.health.record_poll_failure(now);
                    }
                }
            }
        }
        self.table.publish(&mut rows);
    }
}
