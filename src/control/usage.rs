//! Records the usage of this instance and appends the usage to the log in numbered
//! slices.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures_util::future::join_all;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use super::{Clock, Identity, Result, slices::SliceBuffer};
use crate::{
    ledger::{ApplyResult, LedgerHandle, UsageCounts},
    log::{
        Appender,
        records::{UsageSlice, UsageWatermark, record::Body},
    },
    settings::Timing,
    sync,
};

/// Interval between two flushes. A flush appends the completed slices to the log.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);

/// Interval between two copies of the current slice to a peer.
const COPY_PERIOD: Duration = Duration::from_millis(500);

/// Maximum time for which usage is added to one slice, and thus the maximum time
/// between the measurement of usage and its append to the log.
const MAX_SLICE_PERIOD: Duration = Duration::from_secs(1);

/// Maximum duration of the last flush before a stop. A peer holds a copy of the
/// slices that are not flushed by then.
const MAX_STOP_FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum number of slices into which the usage of a window is divided.
const MIN_SLICES_PER_WINDOW: u64 = 5;

/// Records the usage that this instance measures. Cheap to clone.
#[derive(Clone, Debug)]
pub struct UsageRecorder {
    buffer: Arc<Mutex<SliceBuffer>>,
}

impl UsageRecorder {
    /// Returns a recorder for one process of an instance.
    pub fn new(source: Identity, timing: &Timing) -> Self {
        let buffer = SliceBuffer::new(source, timing.usage_window_ms);
        Self {
            buffer: Arc::new(Mutex::new(buffer)),
        }
    }

    /// Adds to the usage of an account of a service.
    pub fn record(&self, service: &Arc<str>, account: &Arc<str>, counts: UsageCounts) {
        self.lock().add(service, account, counts);
    }

    fn lock(&self) -> MutexGuard<'_, SliceBuffer> {
        sync::lock(&self.buffer)
    }
}

/// Appends recorded usage to the log.
///
/// `copy_slice` copies a slice that is not yet in the log to a peer. `on_flushed` is
/// called with a slice number once all slices up to this number are in the log.
#[derive(Debug)]
pub struct UsageFlusher<C, F> {
    recorder: UsageRecorder,
    appender: Appender,
    ledger: LedgerHandle,
    clock: Clock,
    slice_period: Duration,
    stop_flush_timeout: Duration,
    /// Last current slice that was copied to a peer.
    last_copied: Option<UsageSlice>,
    /// Last watermark that was appended to the log.
    flushed_watermark: u64,
    copy_slice: C,
    on_flushed: F,
}

impl<C, F> UsageFlusher<C, F>
where
    C: Fn(UsageSlice),
    F: Fn(u64),
{
    /// Returns a flusher for the usage of `recorder`.
    pub fn new(
        recorder: UsageRecorder,
        appender: Appender,
        ledger: LedgerHandle,
        timing: &Timing,
        copy_slice: C,
        on_flushed: F,
    ) -> Self {
        let period = Duration::from_millis(timing.usage_window_ms / MIN_SLICES_PER_WINDOW);
        Self {
            recorder,
            appender,
            ledger,
            clock: Clock::start(),
            slice_period: period.min(MAX_SLICE_PERIOD),
            stop_flush_timeout: Duration::from_millis(timing.drain_ms).min(MAX_STOP_FLUSH_TIMEOUT),
            last_copied: None,
            flushed_watermark: 0,
            copy_slice,
            on_flushed,
        }
    }

    /// Runs until `stop` is cancelled. Then flushes the remaining usage and returns.
    /// This flush takes at most 3 s and at most the maximum duration of a graceful
    /// shutdown.
    ///
    /// # Errors
    ///
    /// Fails if the appender has stopped.
    pub async fn run(mut self, stop: CancellationToken) -> Result<()> {
        let mut slice_started_at = Instant::now();
        let mut copied_at = Instant::now();
        while !stop.is_cancelled() {
            self.update_window();
            if copied_at.elapsed() >= COPY_PERIOD {
                copied_at = Instant::now();
                self.copy_current_slice();
            }
            if slice_started_at.elapsed() >= self.slice_period {
                slice_started_at = Instant::now();
                self.recorder.lock().complete_slice();
            }
            tokio::select! {
                () = stop.cancelled() => {}
                flushed = self.flush() => flushed?,
            }
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(FLUSH_PERIOD) => {}
            }
        }
        self.recorder.lock().complete_slice();
        match timeout(self.stop_flush_timeout, self.flush()).await {
            Ok(flushed) => flushed,
            Err(_) => {
                tracing::warn!("control: usage not flushed before stop: appends timed out");
                Ok(())
            }
        }
    }

    fn update_window(&self) {
        let open = self.ledger.read(|ledger| ledger.open_window());
        self.recorder.lock().advance(open, self.clock.now_ms());
    }

    fn copy_current_slice(&mut self) {
        let current = self.recorder.lock().current_slice();
        if current.is_none() || current == self.last_copied {
            return;
        }
        self.last_copied.clone_from(&current);
        if let Some(slice) = current {
            (self.copy_slice)(slice);
        }
    }

    /// Appends all completed slices and then the watermark, the last window for
    /// which no further usage of this instance follows. The appends start in this
    /// order, without waiting for one another, so that the records can share a batch.
    async fn flush(&mut self) -> Result<()> {
        let (slices, watermark) = {
            let buffer = self.recorder.lock();
            (buffer.unflushed(), buffer.watermark())
        };
        let mut appends = Vec::with_capacity(slices.len());
        for slice in &slices {
            (self.copy_slice)(slice.clone());
            appends.push(self.flush_slice(slice));
        }
        let slices = join_all(appends);
        let watermark = self.flush_watermark(watermark);
        let (slices, watermark) = tokio::join!(biased; slices, watermark);
        for flushed in slices {
            flushed?;
        }
        self.flushed_watermark = watermark?;
        Ok(())
    }

    async fn flush_slice(&self, slice: &UsageSlice) -> Result<()> {
        let number = slice.slice;
        let body = Body::UsageSlice(slice.clone());
        let receipt = self.appender.append(body).await?;
        if let ApplyResult::Rejected(rejection) = &receipt.apply_result {
            tracing::error!("control: usage slice {number} rejected: {rejection}");
        }
        self.recorder.lock().mark_flushed(number);
        (self.on_flushed)(number);
        Ok(())
    }

    /// Appends the watermark if it is higher than the last appended one. Returns the
    /// last appended watermark.
    async fn flush_watermark(&self, watermark: u64) -> Result<u64> {
        if watermark <= self.flushed_watermark {
            return Ok(self.flushed_watermark);
        }
        let body = Body::UsageWatermark(UsageWatermark {
            source: self.appender.writer().to_string(),
            source_incarnation: self.appender.incarnation(),
            window: watermark,
        });
        self.appender.append(body).await?;
        Ok(watermark)
    }
}
