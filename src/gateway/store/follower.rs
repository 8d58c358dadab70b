//! Reads a keyed topic of the platform's store continuously.
//!
//! A follower notices when the store was restored from an older copy, also if the offset
//! that it would read next was given out again. It then reads a snapshot, and tells its
//! caller that records are missing or older than those it read before.

use std::{pin::pin, time::Duration};

use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    platform::{KeyedRecord, Position, ReadBatch, StoreClient, StoreEra, StoreError, Topic},
    policy::{
        list_reads::repeat_delay,
        read_backoff::{ReadBackoff, ReadOutcome, shared_retry_at},
        snapshot_pace::SnapshotPace,
    },
};

/// Records returned by a read of a topic.
#[derive(Debug)]
pub(in crate::gateway) enum Update {
    /// The newest record of each key; replaces all earlier records.
    Snapshot(Vec<KeyedRecord>),
    /// The newest record of each key in a restored store. Records of an earlier update may
    /// be missing, or older than they were.
    Restored(Vec<KeyedRecord>),
    /// Records appended since the previous read.
    Changes(Vec<KeyedRecord>),
}

impl Update {
    /// Returns the records.
    pub(in crate::gateway) fn into_records(self) -> Vec<KeyedRecord> {
        match self {
            Self::Snapshot(records) | Self::Restored(records) | Self::Changes(records) => records,
        }
    }
}

/// Reader of one topic. Each read continues after the last record of the previous read.
#[derive(Debug)]
pub(in crate::gateway) struct Follower {
    store: StoreClient,
    topic: Topic,
    next: Option<Position>,
    /// Era of the store at the last update.
    last_era: Option<u64>,
    /// Longest random delay before the snapshot of a restored store is read.
    restore_spread: Duration,
    failures: Option<FailedReads>,
    backoff: ReadBackoff,
    snapshot_pace: SnapshotPace,
    /// Whether reads that do not wait are repeated if there is no answer.
    repeats_reads: bool,
    /// Time that the last answered read of changes took.
    read_time: Duration,
    /// Time that the last snapshot took, until the first read of changes after it.
    snapshot_time: Duration,
}

/// Failed reads since the last successful one.
#[derive(Clone, Copy, Debug)]
struct FailedReads {
    since: Instant,
    count: u32,
}

impl Follower {
    pub(in crate::gateway) fn new(store: StoreClient, topic: Topic) -> Self {
        Self {
            store,
            topic,
            next: None,
            last_era: None,
            restore_spread: Duration::ZERO,
            failures: None,
            backoff: ReadBackoff::default(),
            snapshot_pace: SnapshotPace::default(),
            repeats_reads: false,
            read_time: Duration::ZERO,
            snapshot_time: Duration::ZERO,
        }
    }

    /// Sets the longest random delay before the snapshot of a restored store is read. The
    /// delays spread the reads of the instances over time.
    pub(in crate::gateway) fn set_restore_spread(&mut self, spread: Duration) {
        self.restore_spread = spread;
    }

    /// Sets whether each read that does not wait is repeated on a second connection if there
    /// is no answer. The first answer counts.
    pub(in crate::gateway) fn repeat_reads(&mut self, repeats: bool) {
        self.repeats_reads = repeats;
    }

    /// Reads the next records, and waits up to `wait` if there are none; the first
    /// read returns a snapshot.
    ///
    /// The first wait after a snapshot is shorter by the time that the snapshot took,
    /// since the snapshot shows only what was known when it was asked for.
    ///
    /// After a failed read, this function sleeps for the back-off delay and then
    /// returns `Err`. If the read failed because its records were trimmed, or because the
    /// store was restored, the next read returns a snapshot.
    pub(in crate::gateway) async fn next_update(&mut self, wait: Duration) -> Result<Update, ()> {
        let sent_at = Instant::now();
        let is_snapshot = self.next.is_none();
        let result = match self.next {
            None => self.read_newest().await,
            Some(from) => {
                let wait = wait.saturating_sub(std::mem::take(&mut self.snapshot_time));
                self.read_changes(from, wait).await
            }
        };
        match result {
            Ok(update) => {
                self.note_success();
                Ok(update)
            }
            Err(error) => {
                let elapsed = sent_at.elapsed();
                let outcome = self.note_failure(&error, elapsed);
                let shares_retries = self.store.watch_outcomes().borrow().shares_retries;
                self.backoff.share_retries(shares_retries);
                let mut delay = self.backoff.delay_after(outcome, rand::random());
                if matches!(error, StoreError::Restored) {
                    delay += self.restore_spread.mul_f64(rand::random());
                }
                if is_snapshot {
                    let pause = self
                        .snapshot_pace
                        .pause_after_failure(elapsed, rand::random());
                    delay = delay.max(pause);
                }
                match outcome {
                    ReadOutcome::Failed => self.wait_for_retry(delay).await,
                    _ => sleep(delay).await,
                }
                Err(())
            }
        }
    }

    /// Waits for the time of the next read after one that has just failed.
    async fn wait_for_retry(&self, delay: Duration) {
        let failed_at = Instant::now();
        let mut outcomes = self.store.watch_outcomes();
        loop {
            let latest = *outcomes.borrow_and_update();
            let retry_at = match latest.shares_retries {
                true => shared_retry_at(failed_at, delay, latest.failed_at, latest.answered_at),
                false => failed_at + delay,
            };
            if Instant::now() >= retry_at {
                return;
            }
            tokio::select! {
                () = sleep_until(retry_at) => {}
                // The channel is open as long as the client exists.
                _ = outcomes.changed() => {}
            }
        }
    }

    /// Reads a snapshot, once a small read has shown that the store answers. So a
    /// snapshot is not asked of a store that is silent or has many answers to deliver
    /// first.
    async fn read_newest(&mut self) -> Result<Update, StoreError> {
        self.store.probe(self.topic).await?;
        let sent_at = Instant::now();
        let time_limit = self.snapshot_pace.time_limit();
        let newest = self.store.newest_within(self.topic, time_limit).await?;
        self.snapshot_pace.reset();
        self.snapshot_time = sent_at.elapsed();
        tracing::info!(
            records = newest.records.len(),
            received_bytes = newest.received_bytes,
            next_offset = newest.next.offset,
            era = newest.next.era,
            elapsed_ms = self.snapshot_time.as_millis() as u64,
            "gateway: snapshot of {} read",
            self.topic
        );
        self.next = Some(newest.next);
        let last_era = self.last_era.replace(newest.next.era);
        Ok(match last_era {
            Some(last_era) if last_era < newest.next.era => Update::Restored(newest.records),
            _ => Update::Snapshot(newest.records),
        })
    }

    /// Reads the records from position `from` on. Returns at once if the store was restored
    /// since then, also if the read is still waiting.
    async fn read_changes(&mut self, from: Position, wait: Duration) -> Result<Update, StoreError> {
        let mut era = self.store.watch_era();
        let sent_at = Instant::now();
        let batch = tokio::select! {
            () = later_era(&mut era, from.era) => return Err(StoreError::Restored),
            batch = self.read_batch(from, wait) => batch?,
        };
        self.read_time = sent_at.elapsed();
        if batch.malformed > 0 {
            let topic = self.topic;
            let malformed = batch.malformed;
            tracing::warn!(
                "gateway: {malformed} malformed records of {topic} skipped from offset {from}"
            );
        }
        self.next = Some(batch.next);
        Ok(Update::Changes(batch.records))
    }

    async fn read_batch(&self, from: Position, wait: Duration) -> Result<ReadBatch, StoreError> {
        let mut read = pin!(self.store.read(self.topic, from, wait));
        if !self.repeats_reads || !wait.is_zero() {
            return read.await;
        }
        let mut repetition = pin!(async {
            sleep(repeat_delay(self.read_time)).await;
            self.store.read_anew(self.topic, from).await
        });
        tokio::select! {
            // A read that fails at once is repeated by the caller.
            batch = &mut read => batch,
            batch = &mut repetition => match batch {
                Err(StoreError::NotSent(_) | StoreError::Unknown { .. }) => read.await,
                batch => batch,
            },
        }
    }

    /// Makes the next read return a snapshot.
    pub(in crate::gateway) fn read_snapshot_next(&mut self) {
        self.next = None;
    }

    /// Returns the position to read next; `None` if the next read returns a snapshot.
    pub(in crate::gateway) fn next_position(&self) -> Option<Position> {
        self.next
    }

    /// Returns whether a read has failed since the last successful one. A read that needs
    /// a new snapshot does not count as failed.
    pub(in crate::gateway) fn last_read_failed(&self) -> bool {
        self.failures.is_some()
    }

    fn note_success(&mut self) {
        self.backoff.delay_after(ReadOutcome::Read, 0.0);
        if let Some(failures) = self.failures.take() {
            let outage_ms = failures.since.elapsed().as_millis() as u64;
            let failed_reads = failures.count;
            tracing::info!(
                outage_ms,
                failed_reads,
                "gateway: store regained for {}",
                self.topic
            );
        }
    }

    fn note_failure(&mut self, error: &StoreError, elapsed: Duration) -> ReadOutcome {
        if let StoreError::Trimmed { first_offset } = error {
            tracing::info!(
                first_offset,
                "gateway: unread records of {} were trimmed; reading a new snapshot",
                self.topic
            );
            self.next = None;
            return ReadOutcome::Trimmed;
        }
        let lost_position = self.next.filter(|_| matches!(error, StoreError::Restored));
        if let Some(lost) = lost_position {
            tracing::info!(
                next_offset = lost.offset,
                era = self.store.era().number,
                "gateway: store was restored; reading a new snapshot of {}",
                self.topic
            );
            self.next = None;
            return ReadOutcome::Trimmed;
        }
        let elapsed_ms = elapsed.as_millis() as u64;
        let failures = self.failures.get_or_insert_with(|| FailedReads {
            since: Instant::now(),
            count: 0,
        });
        failures.count += 1;
        let failed_reads = failures.count;
        if failed_reads == 1 {
            tracing::warn!(
                elapsed_ms,
                "gateway: store lost for {}: {error}",
                self.topic
            );
        } else if failed_reads.is_power_of_two() {
            tracing::info!(
                elapsed_ms,
                failed_reads,
                "gateway: store still lost for {}: {error}",
                self.topic
            );
        }
        ReadOutcome::Failed
    }
}

/// Waits until the store is in a later era than `era`.
async fn later_era(latest: &mut watch::Receiver<StoreEra>, era: u64) {
    // The channel is open as long as the client exists.
    let _ = latest.wait_for(|latest| latest.number > era).await;
}
