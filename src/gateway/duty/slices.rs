//! This instance's share of each usage window, kept in the store.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    gateway::{state::State, usage::Counts},
    platform::{StoreClient, Topic},
};

/// Topic of the slices.
pub(super) const SLICE_TOPIC: Topic = Topic("keyed.usage-slices");

/// Windows of which an instance's slices are kept.
const KEPT_WINDOWS: u64 = 4;

/// Shortest time between two writes of what was counted in a window.
const MIN_FLUSH_PERIOD: Duration = Duration::from_millis(2_000);

/// Instances of which one may lose its counts of a whole window.
const EXPENDABLE_AMONG: usize = 32;

/// Shortest time since a window's start after which its counts are written, in
/// milliseconds.
const MIN_OPEN_MS: i64 = 1_000;

/// Longest delay of a write, so that instances spread out.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Time after a window's end at which its last slice is written, in
/// milliseconds, so that requests that began in it are counted.
const CLOSE_DELAY_MS: i64 = 150;

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
        for window in oldest..=current {
            let slice = current_slice(&state, window, incarnation);
            if !slice.closed && !is_worth_writing(&state, window) {
                continue;
            }
            if flushed.get(&window) != Some(&slice) && write(&store, &slice).await {
                flushed.insert(window, slice);
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
    let share = state.instances() as f64 / EXPENDABLE_AMONG as f64;
    let period = Duration::from_millis(window_ms).mul_f64(share);
    let usage = state.usage();
    let until_end_ms = CLOSE_DELAY_MS - usage.ms_since_end(usage.current_window());
    let until_end = Duration::from_millis(until_end_ms.max(0) as u64);
    let jitter = MAX_JITTER.mul_f64(rand::random());
    period.max(MIN_FLUSH_PERIOD).min(until_end) + jitter
}

/// Returns whether the counts of an open window are written, so that a kill
/// does not lose them: not for one instance of many, nor for a few requests.
fn is_worth_writing(state: &State, window: u64) -> bool {
    let window_ms = state.settings.timing.usage_window_ms as i64;
    let since_start_ms = window_ms + state.usage().ms_since_end(window);
    state.instances() < EXPENDABLE_AMONG && since_start_ms >= MIN_OPEN_MS
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

async fn write(store: &StoreClient, slice: &Slice) -> bool {
    let value = serde_json::to_vec(slice).unwrap_or_default();
    match store.append(SLICE_TOPIC, &slice.key(), &value, None).await {
        Ok(_) => true,
        Err(error) => {
            tracing::info!(window = slice.window, "usage: slice not written: {error}");
            false
        }
    }
}
