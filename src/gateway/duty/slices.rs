//! This instance's share of each usage window, kept in the store.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::reports::decision_delay_ms;
use crate::{
    gateway::{state::State, usage::Counts},
    platform::{StoreClient, Topic},
    policy::homes::rendezvous_weight,
};

/// Topic of the slices.
pub(super) const SLICE_TOPIC: Topic = Topic("keyed.usage-slices");

/// Windows of which an instance's slices are kept.
const KEPT_WINDOWS: u64 = 4;

/// Shortest time between two writes of what was counted in a window.
const MIN_FLUSH_PERIOD: Duration = Duration::from_millis(2_000);

/// Instances of which one may lose its counts of a whole window.
const LARGE_FLEET_INSTANCES: usize = 32;

/// Shortest time since a window's start after which its counts are written, in
/// milliseconds.
const MIN_OPEN_MS: i64 = 1_000;

/// Longest delay of a write, so that instances spread out.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Time after a window's end at which its last slice is written, in
/// milliseconds, so that requests that began in it are counted.
const CLOSE_DELAY_MS: i64 = 150;

/// Time in which the store takes a write, in milliseconds.
const WRITE_MARGIN_MS: i64 = 500;

/// What one instance counted in one window so far.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Slice {
    /// Window.
    pub(super) window: u64,
    /// Instance.
    pub(super) instance: Arc<str>,
    /// Start of the instance; counts of two starts add up.
    pub(super) incarnation: u64,
    /// Whether the window has ended for this instance.
    pub(super) closed: bool,
    /// Requests that began to run, by client account.
    pub(super) counts: Counts,
}

impl Slice {
    /// Returns the key under which the newest form of the slice is kept.
    fn key(&self) -> String {
        let Self {
            instance,
            incarnation,
            window,
            ..
        } = self;
        format!("{instance}/{}/{incarnation}", window % KEPT_WINDOWS)
    }
}

/// Writes what this instance counts to the store, for ever.
pub(in crate::gateway) async fn flush_slices(
    state: Arc<State>,
    store: StoreClient,
    incarnation: u64,
) {
    let mut flushed: IndexMap<u64, Slice> = IndexMap::new();
    let mut oldest = state.usage().current_window();
    loop {
        sleep(flush_delay(&state)).await;
        let current = state.usage().current_window();
        let mut due = Vec::new();
        for window in oldest..=current {
            let slice = current_slice(&state, window, incarnation);
            let is_due = match slice.closed {
                true => !is_deferred(&state, window, current),
                false => writes_open_window(&state, window),
            };
            if is_due && flushed.get(&window) != Some(&slice) {
                due.push(slice);
            }
        }
        if !due.is_empty() && write(&store, &due).await {
            for slice in due {
                flushed.insert(slice.window, slice);
            }
        }
        while flushed.get(&oldest).is_some_and(|slice| slice.closed) {
            flushed.shift_remove(&oldest);
            oldest += 1;
        }
        // What the store did not take in time is not reported any more.
        oldest = oldest.max(current.saturating_sub(KEPT_WINDOWS - 1));
    }
}

/// Returns the time until the next write: at the latest, the current window's
/// end.
fn flush_delay(state: &State) -> Duration {
    let window_ms = state.settings.timing.usage_window_ms;
    let share = state.instances() as f64 / LARGE_FLEET_INSTANCES as f64;
    let period = Duration::from_millis(window_ms).mul_f64(share);
    let usage = state.usage();
    let until_end_ms = CLOSE_DELAY_MS - usage.ms_since_end(usage.current_window());
    let until_end = Duration::from_millis(until_end_ms.max(0) as u64);
    let jitter = MAX_JITTER.mul_f64(rand::random());
    period.max(MIN_FLUSH_PERIOD).min(until_end) + jitter
}

/// Returns whether the counts of an open window are written, so that a kill
/// does not lose them: not for one instance of many, nor for a few requests.
fn writes_open_window(state: &State, window: u64) -> bool {
    let window_ms = state.settings.timing.usage_window_ms as i64;
    let since_start_ms = window_ms + state.usage().ms_since_end(window);
    state.instances() < LARGE_FLEET_INSTANCES && since_start_ms >= MIN_OPEN_MS
}

/// Returns whether the counts of a closed window are written with those of the
/// next one, which instances of a large fleet do to halve their writes.
///
/// Half of the instances begin with even windows, the others with odd ones.
fn is_deferred(state: &State, window: u64, current: u64) -> bool {
    let timing = state.tuning().timing;
    let written_ms = timing.usage_window_ms as i64
        + CLOSE_DELAY_MS
        + MAX_JITTER.as_millis() as i64
        + WRITE_MARGIN_MS;
    let is_in_time = written_ms <= decision_delay_ms(&timing);
    let parity = rendezvous_weight(0, &state.settings.name) % 2;
    let is_first = window % 2 == parity && window + 1 >= current;
    state.instances() >= LARGE_FLEET_INSTANCES && is_in_time && is_first
}

fn current_slice(state: &State, window: u64, incarnation: u64) -> Slice {
    let usage = state.usage();
    Slice {
        window,
        instance: state.settings.name.clone(),
        incarnation,
        closed: usage.ms_since_end(window) >= CLOSE_DELAY_MS,
        counts: usage.counts(window),
    }
}

/// Writes slices together; false if the store may not have them.
async fn write(store: &StoreClient, slices: &[Slice]) -> bool {
    let mut records = Vec::with_capacity(slices.len());
    for slice in slices {
        records.push((slice.key(), serde_json::to_vec(slice).unwrap_or_default()));
    }
    match store.append_all(SLICE_TOPIC, &records, None).await {
        Ok(_) => true,
        Err(error) => {
            let windows: Vec<u64> = slices.iter().map(|slice| slice.window).collect();
            tracing::info!(?windows, "usage: slices not written: {error}");
            false
        }
    }
}
