//! This instance's slice of each usage window, written to the store, and again after the
//! store was restored from an older copy.
//!
//! A usage window is a fixed interval of time, for which the numbers of requests
//! are reported together. A slice contains one instance's request counts for one
//! usage window, by client account.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::reports::{decision_delay_ms, latest_decision_ms};
use crate::{
    gateway::{state::State, usage::Counts},
    log::backoff::Backoff,
    platform::{StoreClient, Topic},
    policy::cache_locality::rendezvous_weight,
    settings::GatewayTiming,
};

/// Store topic to which every instance writes its usage slices.
pub(super) const SLICE_TOPIC: Topic = Topic("keyed.usage-slices");

/// Number of windows whose slices an instance keeps in the store besides those that pass
/// until the figure of a window is determined.
const EXTRA_KEPT_WINDOWS: u64 = 3;

/// Shortest time between two writes of the counts of an open window.
const MIN_FLUSH_PERIOD: Duration = Duration::from_millis(2_000);

/// Number of instances from which on the counts of an open window are not written. If
/// an instance of so large a fleet is killed, its counts of the open window are lost,
/// which are a small part of the total.
const LARGE_FLEET_INSTANCES: usize = 32;

/// Minimum time since the start of an open window for its counts to be written, in
/// milliseconds.
const MIN_OPEN_MS: i64 = 1_000;

/// Largest random delay of a write. The delays spread the writes of the instances over
/// time.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// First delay after a failed write.
const FIRST_RETRY: Duration = Duration::from_millis(500);

/// Longest delay after a failed write. The figure of a window is determined a few seconds after
/// its end, so that slices must be written soon after an outage of the store.
const MAX_RETRY: Duration = Duration::from_millis(1_000);

/// Time between two writes of an instance that stops, as it may end at any moment.
const STOPPING_FLUSH_PERIOD: Duration = Duration::from_millis(1_000);

/// Longest random delay, for each instance, before slices are written again to a restored
/// store.
const RESTORE_SPREAD: Duration = Duration::from_millis(5);

/// Time after a window's end at which its slice is closed, in milliseconds, so
/// that requests that began just before the end are counted.
const CLOSE_DELAY_MS: i64 = 150;

/// Time that a write to the store is assumed to take at most, in milliseconds.
const WRITE_MARGIN_MS: i64 = 500;

/// Requests that one instance has counted in one window so far.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Slice {
    /// Number of the usage window: the Unix time of its start divided by its length.
    pub(super) window: u64,
    /// Name of the instance that counted the requests.
    pub(super) instance: Arc<str>,
    /// Incarnation of the instance: a number that is higher after each restart. The
    /// counts of two incarnations are added.
    pub(super) incarnation: u64,
    /// Whether the counts are final.
    pub(super) closed: bool,
    /// Requests that began to run, by client account.
    pub(super) counts: Counts,
}

impl Slice {
    /// Returns the key of the slice in [`SLICE_TOPIC`]. Two windows whose numbers
    /// differ by `kept_windows` have the same key, so that the newer slice replaces
    /// the older one.
    fn key(&self, kept_windows: u64) -> String {
        let Self {
            instance,
            incarnation,
            window,
            ..
        } = self;
        format!("{instance}/{}/{incarnation}", window % kept_windows)
    }

    /// Returns values that order the states of the slice with the same key by time.
    pub(super) fn revision(&self) -> (u64, bool, u64) {
        (self.window, self.closed, self.counts.values().sum())
    }
}

/// Writes the counts of this instance to the store. Never returns.
pub(in crate::gateway) async fn flush_slices(
    state: Arc<State>,
    store: StoreClient,
    incarnation: u64,
) {
    // The last written slice of each window.
    let mut flushed: IndexMap<u64, Slice> = IndexMap::new();
    let first_window = state.usage().current_window();
    let mut oldest_window = first_window;
    let mut written_era = store.era().number;
    let mut era = store.watch_era();
    let kept_windows = kept_windows(&state.settings.timing);
    let mut retry = Backoff::new(FIRST_RETRY, MAX_RETRY);
    let mut has_failed = false;
    let mut is_stopping = false;
    loop {
        let delay = match has_failed {
            true => retry.next_delay() + MAX_JITTER.mul_f64(rand::random()),
            false => flush_delay(&state),
        };
        tokio::select! {
            () = sleep(delay) => {}
            () = state.stop_begun(), if !is_stopping => is_stopping = true,
            Ok(()) = era.changed() => sleep(rewrite_delay(&state)).await,
        }
        let current = state.usage().current_window();
        let oldest_kept = current.saturating_sub(kept_windows - 1);
        let latest_era = store.era().number;
        if written_era != latest_era {
            // The store may lack what was written in the earlier era.
            written_era = latest_era;
            flushed.clear();
            oldest_window = first_window;
        }
        // Slices that could not be written within the last `kept_windows` windows
        // are given up; their requests are missing from the usage report.
        oldest_window = oldest_window.max(oldest_kept);
        let mut due = Vec::new();
        for window in oldest_window..=current {
            let slice = current_slice(&state, window, incarnation);
            let is_due = match slice.closed {
                true => !is_deferred(&state, window, current),
                false => writes_open_window(&state, window),
            };
            if is_due && flushed.get(&window) != Some(&slice) {
                due.push(slice);
            }
        }
        has_failed = !due.is_empty() && !write_slices(&store, &due, kept_windows).await;
        if !has_failed {
            retry.reset();
            for slice in due {
                flushed.insert(slice.window, slice);
            }
        }
        while flushed
            .get(&oldest_window)
            .is_some_and(|slice| slice.closed)
        {
            flushed.shift_remove(&oldest_window);
            oldest_window += 1;
        }
    }
}

/// Returns the number of recent windows whose slices an instance keeps in the store.
pub(in crate::gateway) fn kept_windows(timing: &GatewayTiming) -> u64 {
    latest_decision_ms(timing).max(0) as u64 / timing.usage_window_ms.max(1) + EXTRA_KEPT_WINDOWS
}

/// Returns the longest time after an outage of the store until an instance writes its slices,
/// if each write ends within `write_timeout`. A write that is sent just before the end of the
/// outage may fail only after that time.
pub(super) fn longest_retry(write_timeout: Duration) -> Duration {
    write_timeout + MAX_RETRY + MAX_JITTER
}

/// Returns a random delay before slices are written again to a restored store.
fn rewrite_delay(state: &State) -> Duration {
    RESTORE_SPREAD.mul_f64(state.instances() as f64 * rand::random::<f64>())
}

/// Returns the delay before the next write: a period that grows with the number of
/// instances and ends at the latest when the current window's slice is closed, plus
/// jitter. An instance that stops writes more often.
fn flush_delay(state: &State) -> Duration {
    if state.is_stopping() {
        return STOPPING_FLUSH_PERIOD;
    }
    let window_ms = state.settings.timing.usage_window_ms;
    let fleet_size_ratio = state.instances() as f64 / LARGE_FLEET_INSTANCES as f64;
    let period = Duration::from_millis(window_ms).mul_f64(fleet_size_ratio);
    let usage = state.usage();
    let until_end_ms = CLOSE_DELAY_MS - usage.ms_since_end(usage.current_window());
    let until_end = Duration::from_millis(until_end_ms.max(0) as u64);
    let jitter = MAX_JITTER.mul_f64(rand::random());
    period.max(MIN_FLUSH_PERIOD).min(until_end) + jitter
}

/// Returns whether the counts of an open window are written, so that they
/// survive a kill of the instance.
///
/// The counts are not written in a large fleet, where one instance counts only a
/// small part of the requests. They are also not written just after the window's
/// start, when there are only a few requests to count. An instance that stops writes them in
/// any case.
fn writes_open_window(state: &State, window: u64) -> bool {
    if state.is_stopping() {
        return true;
    }
    let window_ms = state.settings.timing.usage_window_ms as i64;
    let since_start_ms = window_ms + state.usage().ms_since_end(window);
    state.instances() < LARGE_FLEET_INSTANCES && since_start_ms >= MIN_OPEN_MS
}

/// Returns whether the write of a closed window is deferred and combined with
/// that of the next window, which halves the writes of a large fleet.
///
/// Half of the instances defer windows with even numbers, the others those with odd
/// numbers. No window is deferred if its slice would then be written after the
/// window's total is determined.
fn is_deferred(state: &State, window: u64, current: u64) -> bool {
    let timing = state.tuning().timing;
    let latest_write_ms = timing.usage_window_ms as i64
        + CLOSE_DELAY_MS
        + MAX_JITTER.as_millis() as i64
        + WRITE_MARGIN_MS;
    let is_in_time = latest_write_ms <= decision_delay_ms(&timing);
    let parity = rendezvous_weight(0, &state.settings.name) % 2;
    let is_first_of_pair = window % 2 == parity && window + 1 >= current;
    let is_large = state.instances() >= LARGE_FLEET_INSTANCES;
    is_large && !state.is_stopping() && is_in_time && is_first_of_pair
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

/// Writes slices in one append. Returns false if the append failed or its result
/// is unknown.
async fn write_slices(store: &StoreClient, slices: &[Slice], kept_windows: u64) -> bool {
    let mut records = Vec::with_capacity(slices.len());
    for slice in slices {
        records.push((
            slice.key(kept_windows),
            serde_json::to_vec(slice).unwrap_or_default(),
        ));
    }
    match store.append_all(SLICE_TOPIC, &records, None).await {
        Ok(_) => true,
        Err(error) => {
            let windows: Vec<u64> = slices.iter().map(|slice| slice.window).collect();
            tracing::info!(?windows, "usage: cannot write slices: {error}");
            false
        }
    }
}
