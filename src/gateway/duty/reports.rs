//! Reports the usage of each window to the platform.
//!
//! A usage window is a fixed interval of time. The figure of a window is the number
//! of requests in the window, by client account. The holder of the duty lease stores
//! a figure before it sends the figure to the platform. The append succeeds only if
//! the topic's end offset is still the one that the holder has read, so that a
//! window has only one figure. A new holder first sends the newest stored figure
//! again and only then determines the figure of the next window.
//!
//! A restored store may lack the newest figures, which the platform already has. A figure
//! names the era of the store in which it was stored. In a later era, only a holder that
//! has held the lease all the while knows the newest figure. It stores that figure again.
//! Any other holder cannot know whether a window that ended in the earlier era was
//! reported, and stores that these windows are skipped.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use super::{
    duty_lease::DutyLease,
    slices::{SLICE_TOPIC, longest_retry},
    usage_records::{Figure, UsageRecords},
};
use crate::{
    gateway::{state::State, store::follower::Follower, usage::Counts},
    platform::{CloudClient, CloudError, Holder, Position, StoreClient, StoreError, Topic},
    policy::figure_due::{FigureDelays, FigureStep, FigureTimer, WindowProgress},
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

/// The same margin just after an outage of the store, in milliseconds. The platform usually
/// answers a report within 15 to 30 ms, and the figure is stored before.
const USUAL_REPORT_MARGIN_MS: i64 = 150;

/// Time after its start within which an instance learns of all peers, in milliseconds.
const JOIN_MS: i64 = 6_000;

/// Delay before a failed store call or report is repeated.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Returns the time after a window's end at which its figure is determined even
/// if slices are missing, in milliseconds.
pub(super) fn decision_delay_ms(timing: &GatewayTiming) -> i64 {
    timing.usage_due_ms as i64 - REPORT_MARGIN_MS
}

/// Returns the time after a window's end at which its figure is determined even
/// if an outage of the store has just ended, in milliseconds.
pub(super) fn latest_decision_ms(timing: &GatewayTiming) -> i64 {
    timing.usage_due_ms as i64 - USUAL_REPORT_MARGIN_MS
}

/// The newest figure, and the lease under which it is known to be the newest.
#[derive(Clone, Debug)]
struct KnownFigure {
    figure: Option<Figure>,
    /// Fencing token of the lease.
    fence: u64,
}

/// State and clients of the usage reporter.
#[derive(Debug)]
struct Reporter {
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    cloud: CloudClient,
    records: UsageRecords,
    /// The newest figure under the last lease of this instance.
    known: Option<KnownFigure>,
    timer: FigureTimer,
}

/// Reports usage windows while this instance holds the lease. Never returns.
pub(in crate::gateway) async fn report_usage(
    state: Arc<State>,
    lease: Arc<DutyLease>,
    store: StoreClient,
    cloud: CloudClient,
) {
    let mut reporter = Reporter {
        state,
        lease,
        store,
        cloud,
        records: UsageRecords::default(),
        known: None,
        timer: FigureTimer::default(),
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
    async fn report_while_held(&mut self, fence: u64) {
        let mut slices = Follower::new(self.store.clone(), SLICE_TOPIC);
        if !self.begin(fence).await {
            return;
        }
        self.send_newest(fence).await;
        let mut read_wait = READ_WAIT;
        while self.current_holder(fence).is_some() {
            let Ok(update) = slices.next_update(read_wait).await else {
                // A figure may be due soon after an outage, so that the next read must not wait.
                read_wait = Duration::ZERO;
                continue;
            };
            read_wait = READ_WAIT;
            for record in &update.into_records() {
                self.records.apply_slice(record);
            }
            let Some(window) = self.records.next_window() else {
                continue;
            };
            self.records.forget_before(window);
            let time_left = match self.next_step(window) {
                FigureStep::Determine => Duration::ZERO,
                FigureStep::Wait => Duration::MAX,
                FigureStep::WaitForRetries { left_ms, .. } => Duration::from_millis(left_ms),
            };
            if !time_left.is_zero() {
                // Batches the slices of many instances into one read.
                let pause = CHECK_PERIOD.min(time_left);
                sleep(pause).await;
                read_wait = READ_WAIT.min(time_left - pause);
                continue;
            }
            let accounts = match self.state.catalog() {
                Some(catalog) => catalog.account_names(),
                None => Vec::new(),
            };
            let counts = self.records.counts_of(window, &accounts);
            if !self.store_figure(window, Some(counts), fence).await {
                return;
            }
            self.send_newest(fence).await;
        }
    }

    /// Returns this instance as holder while it holds the lease with fencing token
    /// `fence`.
    fn current_holder(&self, fence: u64) -> Option<Holder> {
        self.lease.holder().filter(|holder| holder.fence == fence)
    }

    /// Finds the newest figure under the lease with fencing token `fence`, and stores it
    /// again if the store was restored since. Returns false if that fails.
    async fn begin(&mut self, fence: u64) -> bool {
        let Some((stored, end)) = self.read_figure().await else {
            return false;
        };
        self.records.end = Some(end);
        let is_first = end.era == 0 && stored.is_none();
        let is_current = stored.as_ref().is_some_and(|figure| figure.era == end.era);
        if is_first || is_current {
            self.set_figure(stored, fence);
            return true;
        }
        let unbroken_since = self.lease.unbroken_since();
        let known = self.known.clone();
        let known = known.filter(|known| known.fence >= unbroken_since);
        let Some(known) = known else {
            return self.skip_windows(stored.as_ref(), end, fence).await;
        };
        let window_of = |figure: &Figure| figure.window;
        let newest = known.figure.into_iter().chain(stored).max_by_key(window_of);
        let Some(newest) = newest else {
            self.set_figure(None, fence);
            return true;
        };
        tracing::info!(
            window = newest.window,
            era = end.era,
            "usage: newest figure stored again after a restore of the store"
        );
        self.store_figure(newest.window, newest.counts, fence).await
    }

    /// Stores that the windows are skipped that may have been reported before the store
    /// was restored. These have ended before this instance learned of the restore. Returns
    /// false if that fails.
    async fn skip_windows(&mut self, stored: Option<&Figure>, end: Position, fence: u64) -> bool {
        let era = self.store.era();
        if era.number != end.era {
            return false;
        }
        let first_window = self.state.usage().window_before(era.seen_at.elapsed());
        let stored_window = stored.map_or(0, |figure| figure.window);
        let window = first_window.saturating_sub(1).max(stored_window);
        tracing::warn!(
            window,
            stored_window,
            era = end.era,
            "usage: windows up to this one are skipped: the store was restored, and they may \
             have been reported before"
        );
        self.store_figure(window, None, fence).await
    }

    fn set_figure(&mut self, figure: Option<Figure>, fence: u64) {
        self.records.figure = figure.clone();
        self.known = Some(KnownFigure { figure, fence });
    }

    /// Reads the newest stored figure, and the end of the topic. Returns `None` if that
    /// fails.
    async fn read_figure(&self) -> Option<(Option<Figure>, Position)> {
        let newest = match self.store.newest(FIGURE_TOPIC).await {
            Ok(newest) => newest,
            Err(error) => {
                tracing::info!("usage: cannot read figures: {error}");
                sleep(RESEND_DELAY).await;
                return None;
            }
        };
        let mut records = newest.records.iter();
        let record = records.find(|record| *record.key == *FIGURE_KEY);
        let value = record.and_then(|record| record.value.as_deref());
        match value.map(serde_json::from_slice).transpose() {
            Ok(figure) => Some((figure, newest.next)),
            Err(error) => {
                tracing::error!("usage: cannot decode figure: {error}");
                sleep(RESEND_DELAY).await;
                None
            }
        }
    }

    /// Decides whether the figure of a window is determined now. At the end of a window just
    /// after its start, this instance does not know which instances run.
    fn next_step(&mut self, window: u64) -> FigureStep {
        let timing = self.state.tuning().timing;
        let delays = FigureDelays {
            decision_ms: decision_delay_ms(&timing),
            latest_decision_ms: latest_decision_ms(&timing),
            retry_ms: longest_retry(self.store.timeout()).as_millis() as u64,
        };
        let since_end_ms = self.state.usage().ms_since_end(window);
        let knew_peers = self.state.now_ms() as i64 - since_end_ms >= JOIN_MS;
        let closed_slices = self.records.closed_slices(window);
        let instances = self.state.instances();
        let progress = WindowProgress {
            window,
            since_end_ms,
            is_complete: knew_peers && closed_slices >= instances,
            recovery: self.store.recovery(),
        };
        let step = self.timer.next_step(&delays, &progress);
        if let FigureStep::WaitForRetries {
            left_ms,
            is_new: true,
        } = step
        {
            tracing::info!(
                window,
                since_end_ms,
                closed_slices,
                instances,
                left_ms,
                "usage: waiting for slices after an outage of the store"
            );
            metrics::counter!("gateway_usage_retry_waits_total").increment(1);
        }
        step
    }

    /// Stores the figure of a window. Returns false if the append failed, for example
    /// because another holder has appended a figure.
    async fn store_figure(&mut self, window: u64, counts: Option<Counts>, fence: u64) -> bool {
        let Some(at) = self.records.end else {
            return false;
        };
        let figure = Figure {
            window,
            counts,
            era: at.era,
        };
        let value = serde_json::to_vec(&figure).unwrap_or_default();
        let append = self
            .store
            .append(FIGURE_TOPIC, FIGURE_KEY, &value, Some(at));
        match append.await {
            Ok(appended) => {
                self.records.end = Some(appended.end);
                self.set_figure(Some(figure), fence);
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

    /// Sends the newest figure, unless its window is skipped.
    async fn send_newest(&self, fence: u64) {
        let Some(figure) = &self.records.figure else {
            return;
        };
        if let Some(counts) = &figure.counts {
            self.send_figure(figure.window, counts, fence).await;
        }
    }

    /// Sends a figure until the platform accepts or rejects it, the report is
    /// overdue, or the lease ends.
    async fn send_figure(&self, window: u64, counts: &Counts, fence: u64) {
        let due_ms = self.state.tuning().timing.usage_due_ms as i64;
        let started_at = Instant::now();
        while let Some(holder) = self.current_holder(fence) {
            let lease = self.lease.clone();
            let time_left = move || lease.call_time(fence);
            let reporting = self.cloud.report_usage(&holder, window, counts, time_left);
            let result = reporting.await;
            let elapsed_ms = started_at.elapsed().as_millis() as u64;
            match result {
                Ok(()) => {
                    let requests: u64 = counts.values().sum();
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
