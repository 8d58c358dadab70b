//! Reports the usage of each window to the platform.
//!
//! A usage window is a fixed interval of time. The figure of a window is the number
//! of requests in the window, by client account. The holder of the duty lease stores
//! a figure before it sends the figure to the platform. The append succeeds only if
//! the topic's end offset is still the one that the holder has read, so that a
//! window has only one figure. A new holder first sends the newest stored figure
//! again and only then determines the figure of the next window.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{
    duty_lease::DutyLease,
    slices::{SLICE_TOPIC, Slice},
};
use crate::{
    gateway::{follower::Follower, state::State, usage::Counts},
    platform::{
        CloudClient, CloudError, Holder, KeyedRecord, Position, StoreClient, StoreError, Topic,
    },
    settings::GatewayTiming,
};

/// Store topic to which the holder of the duty lease writes the newest usage figure.
const FIGURE_TOPIC: Topic = Topic("keyed.usage-figures");

/// Key of all figures: only the newest one is needed.
const FIGURE_KEY: &str = "figure";

/// Longest wait of a read for the next slice.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Interval between two checks for a window that is due.
const CHECK_PERIOD: Duration = Duration::from_millis(400);

/// Time before a report is due at which its figure is determined even if slices
/// are missing, in milliseconds. This margin leaves time for a slow answer of
/// the platform.
const REPORT_MARGIN_MS: i64 = 3_500;

/// Delay before a failed store call or report is repeated.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Returns the time after a window's end at which its figure is determined even
/// if slices are missing, in milliseconds.
pub(super) fn decision_delay_ms(timing: &GatewayTiming) -> i64 {
    timing.usage_due_ms as i64 - REPORT_MARGIN_MS
}

/// Final request counts of a window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Figure {
    window: u64,
    counts: Counts,
}

/// Slices and the newest figure, as read from the store.
#[derive(Debug, Default)]
struct UsageRecords {
    /// Slices by their record key in the store.
    slices: IndexMap<Arc<str>, Slice>,
    figure: Option<Figure>,
    /// Known end of [`FIGURE_TOPIC`].
    end: Option<Position>,
}

impl UsageRecords {
    fn apply_slice(&mut self, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            self.slices.swap_remove(&record.key);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(slice) => {
                self.slices.insert(record.key.clone(), slice);
            }
            Err(error) => tracing::warn!("usage: cannot decode slice {}: {error}", record.key),
        }
    }

    /// Returns the window whose figure is determined next; `None` if there are
    /// neither figures nor slices.
    fn next_window(&self) -> Option<u64> {
        match &self.figure {
            Some(figure) => Some(figure.window + 1),
            None => self.slices.values().map(|slice| slice.window).min(),
        }
    }

    fn closed_slices(&self, window: u64) -> usize {
        self.slices
            .values()
            .filter(|slice| slice.window == window && slice.closed)
            .count()
    }

    /// Returns the sum of the slices of a window. Accounts without requests are left
    /// out.
    fn figure_of(&self, window: u64, accounts: &[Arc<str>]) -> Figure {
        let mut counts = Counts::new();
        for account in accounts {
            counts.insert(account.clone(), 0);
        }
        for slice in self.slices.values().filter(|slice| slice.window == window) {
            for (account, count) in &slice.counts {
                *counts.entry(account.clone()).or_insert(0) += count;
            }
        }
        counts.retain(|_, count| *count > 0);
        Figure { window, counts }
    }
}

/// State and clients of the usage reporter.
#[derive(Debug)]
struct Reporter {
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    cloud: CloudClient,
}

/// Reports usage windows while this instance holds the lease. Never returns.
pub(in crate::gateway) async fn report_usage(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    cloud: CloudClient,
) {
    let reporter = Reporter {
        state,
        lease,
        store,
        cloud,
    };
    loop {
        let Some(holder) = reporter.lease.holder() else {
            sleep(CHECK_PERIOD).await;
            continue;
        };
        reporter.report_while_held(holder.fence).await;
    }
}

impl Reporter {
    /// Reports windows until the lease with fencing token `fence` ends or the
    /// figures cannot be read or stored.
    async fn report_while_held(&self, fence: u64) {
        let mut usage_records = UsageRecords::default();
        let mut slices = Follower::new(self.store.clone(), SLICE_TOPIC);
        if !self.read_figure(&mut usage_records).await {
            return;
        }
        if let Some(figure) = usage_records.figure.clone() {
            self.send_figure(&figure, fence).await;
        }
        while self.current_holder(fence).is_some() {
            let Ok(update) = slices.next_update(READ_WAIT).await else {
                continue;
            };
            for record in &update.into_records() {
                usage_records.apply_slice(record);
            }
            let Some(window) = usage_records.next_window() else {
                continue;
            };
            if !self.is_due(&usage_records, window) {
                // Batches the slices of many instances into one read.
                sleep(CHECK_PERIOD).await;
                continue;
            }
            if !self.store_figure(&mut usage_records, window).await {
                return;
            }
            if let Some(figure) = usage_records.figure.clone() {
                self.send_figure(&figure, fence).await;
            }
        }
    }

    /// Returns this instance as holder while it holds the lease with fencing token
    /// `fence`.
    fn current_holder(&self, fence: u64) -> Option<Holder> {
        self.lease.holder().filter(|holder| holder.fence == fence)
    }

    /// Reads the newest stored figure. Returns false if that fails.
    async fn read_figure(&self, usage_records: &mut UsageRecords) -> bool {
        match self.store.newest(FIGURE_TOPIC).await {
            Ok(newest) => {
                usage_records.end = Some(newest.next);
                let record = newest
                    .records
                    .iter()
                    .find(|record| *record.key == *FIGURE_KEY);
                let value = record.and_then(|record| record.value.as_deref());
                usage_records.figure = match value.map(serde_json::from_slice).transpose() {
                    Ok(figure) => figure,
                    Err(error) => {
                        tracing::error!("usage: cannot decode figure: {error}");
                        return false;
                    }
                };
                true
            }
            Err(error) => {
                tracing::info!("usage: cannot read figures: {error}");
                sleep(RESEND_DELAY).await;
                false
            }
        }
    }

    /// Returns whether the figure of a window can be determined: the window has ended,
    /// and either all running instances have closed their slices or the time to wait
    /// for the slices has passed.
    fn is_due(&self, usage_records: &UsageRecords, window: u64) -> bool {
        let since_end_ms = self.state.usage().ms_since_end(window);
        if since_end_ms < 0 {
            return false;
        }
        let running = self.state.instances();
        let max_wait_ms = decision_delay_ms(&self.state.tuning().timing);
        usage_records.closed_slices(window) >= running || since_end_ms >= max_wait_ms
    }

    /// Stores the figure of a window. Returns false if the append failed, for example
    /// because another holder has appended a figure.
    async fn store_figure(&self, usage_records: &mut UsageRecords, window: u64) -> bool {
        let accounts = match self.state.catalog() {
            Some(catalog) => catalog.account_names(),
            None => Vec::new(),
        };
        let figure = usage_records.figure_of(window, &accounts);
        let value = serde_json::to_vec(&figure).unwrap_or_default();
        let at = usage_records.end;
        match self
            .store
            .append(FIGURE_TOPIC, FIGURE_KEY, &value, at)
            .await
        {
            Ok(appended) => {
                usage_records.end = Some(appended.end);
                usage_records.figure = Some(figure);
                true
            }
            Err(error) => {
                tracing::info!(window, "usage: cannot store figure: {error}");
                if !matches!(error, StoreError::EndOffsetMismatch { .. }) {
                    sleep(RESEND_DELAY).await;
                }
                false
            }
        }
    }

    /// Sends a figure until the platform accepts or rejects it, the report is
    /// overdue, or the lease ends.
    async fn send_figure(&self, figure: &Figure, fence: u64) {
        let due_ms = self.state.tuning().timing.usage_due_ms as i64;
        let window = figure.window;
        let started_at = Instant::now();
        while let Some(holder) = self.current_holder(fence) {
            let result = self
                .cloud
                .report_usage(&holder, window, &figure.counts)
                .await;
            let elapsed_ms = started_at.elapsed().as_millis() as u64;
            match result {
                Ok(()) => {
                    let requests: u64 = figure.counts.values().sum();
                    tracing::info!(
                        window,
                        fence,
                        requests,
                        elapsed_ms,
                        "usage: window reported"
                    );
                    return;
                }
                Err(CloudError::Conflict(reason)) => {
                    tracing::warn!(
                        window,
                        fence,
                        "usage: report rejected by the platform: {reason}"
                    );
                    self.lease.invalidate(fence);
                    return;
                }
                Err(error) => tracing::info!(window, "usage: report failed: {error}"),
            }
            if self.state.usage().ms_since_end(window) > due_ms {
                tracing::warn!(
                    window,
                    "usage: report abandoned: window is past its due time"
                );
                return;
            }
            sleep(RESEND_DELAY).await;
        }
    }
}
