//! Publishes checkpoints of the ledger to the log and appends expiry records.
//!
//! An expiry record tells all instances to remove ledger entries, such as
//! idempotency keys, that were recorded up to an offset and are older than the
//! retention period.

use std::{collections::VecDeque, time::Duration};

use tokio_util::sync::CancellationToken;

use super::{Authority, Result};
use crate::{
    ledger::{ApplyResult, CheckpointEntry, LedgerHandle},
    log::{
        Appender, Offset,
        records::{CheckpointMark, Expire, record::Body},
    },
    settings::Timing,
};

/// Interval between checks for a due checkpoint or expiry record.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Maximum number of offsets sampled within the retention period.
const MAX_SAMPLES: u64 = 512;

/// Highest offset that the ledger had applied at a point in time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    applied: Offset,
}

/// Finds the offsets that are older than the retention period.
///
/// The age of an offset is measured on the monotonic clock, starting at the first
/// sample by this process. A wrong wall clock therefore cannot expire records
/// early.
#[derive(Clone, Debug)]
pub struct ExpiryClock {
    retention_ms: u64,
    samples: VecDeque<Sample>,
}

impl ExpiryClock {
    /// Returns a clock without samples.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            samples: VecDeque::new(),
        }
    }

    /// Samples the last applied offset, at most `MAX_SAMPLES` times within the
    /// retention period.
    pub fn observe(&mut self, applied: Offset, now_ms: u64) {
        let period_ms = self.retention_ms.div_ceil(MAX_SAMPLES);
        let last = self.samples.back();
        if last.is_some_and(|last| now_ms < last.at_ms + period_ms) {
            return;
        }
        self.samples.push_back(Sample {
            at_ms: now_ms,
            applied,
        });
    }

    /// Returns the highest offset that has expired since the last call.
    pub fn take_expired(&mut self, now_ms: u64) -> Option<Offset> {
        let mut expired = None;
        while let Some(sample) = self.samples.front() {
            if now_ms < sample.at_ms + self.retention_ms {
                break;
            }
            expired = Some(sample.applied);
            self.samples.pop_front();
        }
        expired.filter(|offset| offset.0 > 0)
    }
}

/// Publishes checkpoints and appends expiry records while this instance holds the
/// checkpoint duty.
#[derive(Debug)]
pub struct CheckpointRunner {
    authority: Authority,
    appender: Appender,
    ledger: LedgerHandle,
    checkpoint_ms: u64,
    expiry: ExpiryClock,
    /// Time of the last attempt to publish a checkpoint.
    last_attempt_ms: u64,
}

impl CheckpointRunner {
    /// Returns a runner. `timing` gives the checkpoint and retention periods.
    pub fn new(
        authority: Authority,
        appender: Appender,
        ledger: LedgerHandle,
        timing: &Timing,
    ) -> Self {
        Self {
            authority,
            appender,
            ledger,
            checkpoint_ms: timing.checkpoint_ms,
            expiry: ExpiryClock::new(timing.dedup_window_ms),
            last_attempt_ms: 0,
        }
    }

    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the appender has stopped.
    pub async fn run(mut self, stop: CancellationToken) -> Result<()> {
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                done = self.run_once() => done?,
            }
        }
    }

    async fn run_once(&mut self) -> Result<()> {
        let now_ms = self.authority.clock().now_ms();
        self.expiry.observe(self.ledger.applied(), now_ms);
        if let Some(epoch) = self.authority.epoch() {
            self.append_expiry(epoch, now_ms).await?;
            self.publish_if_due(epoch, now_ms).await?;
        }
        tokio::time::sleep(POLL_PERIOD).await;
        Ok(())
    }

    /// Publishes a checkpoint if the checkpoint period has passed since the last
    /// attempt.
    async fn publish_if_due(&mut self, epoch: u64, now_ms: u64) -> Result<()> {
        if now_ms < self.last_attempt_ms + self.checkpoint_ms {
            return Ok(());
        }
        self.last_attempt_ms = now_ms;
        self.publish(epoch).await
    }

    async fn append_expiry(&mut self, epoch: u64, now_ms: u64) -> Result<()> {
        let Some(up_to) = self.expiry.take_expired(now_ms) else {
            return Ok(());
        };
        let expire = Expire {
            epoch,
            up_to_offset: up_to.0,
        };
        self.appender.append(Body::Expire(expire)).await?;
        Ok(())
    }

    /// Appends a checkpoint mark and publishes the ledger at the mark's offset.
    async fn publish(&self, epoch: u64) -> Result<()> {
        let mark = CheckpointMark { epoch };
        let receipt = self.appender.append(Body::CheckpointMark(mark)).await?;
        if receipt.apply_result != ApplyResult::Accepted {
            return Ok(());
        }
        let Some(checkpoint) = self.checkpoint_at(receipt.offset) else {
            return Ok(());
        };
        for chunk in checkpoint.chunks() {
            self.appender.append(Body::CheckpointChunk(chunk)).await?;
        }
        let bytes = checkpoint.data.len();
        metrics::gauge!("control_checkpoint_bytes").set(bytes as f64);
        tracing::info!(
            "control: published checkpoint at offset {}, {bytes} bytes",
            receipt.offset
        );
        Ok(())
    }

    fn checkpoint_at(&self, mark: Offset) -> Option<CheckpointEntry> {
        self.ledger.read(|ledger| {
            let checkpoint = ledger.checkpoint()?;
            (checkpoint.offset == mark).then(|| checkpoint.clone())
        })
    }
}
