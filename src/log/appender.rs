//! Appends records to the log in batches, with at most one batch in flight.
//!
//! A record is folded when this instance's tailer has read the record from the
//! log and applied it to the ledger.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::{
    AppendBudget, Error, LogClient, Offset, Result, backoff::Backoff, queue::AppendQueue,
    queue::Receipt, queue::Reply, records::record::Body,
};
use crate::ledger::ApplyResult;

/// Capacity of the request channel to the append task.
const REQUEST_CAPACITY: usize = 1_024;

/// Number of unsent records at which the append task stops receiving requests until
/// records are sent.
const MAX_UNSENT: usize = 8_192;

/// Delay before the first retry of an append.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between retries of an append.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Handle that appends this instance's records to the log.
#[derive(Clone, Debug)]
pub struct Appender {
    writer: Arc<str>,
    incarnation: u64,
    requests: mpsc::Sender<Request>,
}

#[derive(Debug)]
struct Request {
    body: Body,
    reply: Reply,
}

impl Appender {
    /// Returns the name of the writer in appended records.
    pub fn writer(&self) -> &Arc<str> {
        &self.writer
    }

    /// Returns the incarnation of the writer in appended records.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Appends a record and waits until this instance has read it back from the
    /// log and applied it to its ledger.
    ///
    /// If the log's response is lost, the record is sent again until the log
    /// acknowledges the record or the record is read back. Dropping the future
    /// cancels the append if the record has not been sent yet.
    ///
    /// # Errors
    ///
    /// Fails if the record is too large or if the appender stops. Also fails if
    /// the ledger was rebuilt from a checkpoint, and the rebuild may have skipped
    /// the record.
    pub async fn append(&self, body: Body) -> Result<Receipt> {
        let (reply, outcome) = oneshot::channel();
        let request = Request { body, reply };
        self.requests
            .send(request)
            .await
            .map_err(|_| Error::Stopped)?;
        outcome.await.map_err(|_| Error::Stopped)?
    }
}

/// Message from the tailer to the append task.
#[derive(Debug)]
pub(crate) enum FoldReport {
    /// A record of this writer and incarnation was applied to the ledger.
    Folded {
        /// Sequence number of the record.
        sequence: u64,
        /// Offset of the record.
        offset: Offset,
        /// Result of applying the record.
        apply_result: ApplyResult,
    },
    /// The ledger was rebuilt from a checkpoint. The rebuild may have skipped
    /// records of this writer.
    Rebuilt,
}

/// Inputs of the append task, apart from the requests.
#[derive(Debug)]
pub(crate) struct AppendInputs {
    /// Client for the log.
    pub(crate) client: LogClient,
    /// Reports from the tailer about folded records and rebuilds.
    pub(crate) fold_reports: mpsc::UnboundedReceiver<FoldReport>,
    /// Number of live instances among which the append budget is divided.
    pub(crate) live_instances: watch::Receiver<usize>,
    /// Maximum number of append requests (batches of records) per second, over all
    /// live instances.
    pub(crate) appends_per_s: u32,
    /// Delay before a batch is sent, so that further records can join it.
    pub(crate) linger: Duration,
}

/// An append request that waits for the log's response.
type PendingAppend = Pin<Box<dyn Future<Output = Result<Offset>> + Send>>;

/// Task that sends batches, and completes each append once its record was folded.
pub(crate) struct AppendTask {
    requests: mpsc::Receiver<Request>,
    inputs: AppendInputs,
    queue: AppendQueue,
    budget: AppendBudget,
    backoff: Backoff,
    /// Earliest time at which the next batch may be sent: the end of the linger time or
    /// of a retry delay.
    not_before: Instant,
    in_flight: Option<PendingAppend>,
}

/// Creates an appender and its task.
pub(crate) fn new(
    writer: Arc<str>,
    incarnation: u64,
    inputs: AppendInputs,
) -> (Appender, AppendTask) {
    let (sender, requests) = mpsc::channel(REQUEST_CAPACITY);
    let appender = Appender {
        writer: writer.clone(),
        incarnation,
        requests: sender,
    };
    let now = Instant::now();
    let mut budget = AppendBudget::new(inputs.appends_per_s, now);
    budget.set_live_instances(*inputs.live_instances.borrow(), now);
    let task = AppendTask {
        requests,
        inputs,
        queue: AppendQueue::new(writer, incarnation),
        budget,
        backoff: Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
        not_before: now,
        in_flight: None,
    };
    (appender, task)
}

impl AppendTask {
    /// Runs until `stop` is cancelled or all appender handles are dropped.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        loop {
            let send_at = self.send_at();
            tokio::select! {
                () = stop.cancelled() => return,
                request = self.requests.recv(), if self.queue.waiting() < MAX_UNSENT => {
                    let Some(request) = request else {
                        return;
                    };
                    self.handle_request(request);
                }
                Some(report) = self.inputs.fold_reports.recv() => self.handle_report(report),
                Ok(()) = self.inputs.live_instances.changed() => self.update_budget_share(),
                outcome = wait_in_flight(&mut self.in_flight) => self.handle_append_result(outcome),
                () = sleep_until(send_at) => self.send(),
            }
        }
    }

    fn handle_request(&mut self, request: Request) {
        if self.queue.waiting() == 0 {
            let linger_end = Instant::now() + self.inputs.linger;
            self.not_before = self.not_before.max(linger_end);
        }
        self.queue.push(request.body, request.reply);
    }

    fn handle_report(&mut self, report: FoldReport) {
        match report {
            FoldReport::Folded {
                sequence,
                offset,
                apply_result,
            } => self.queue.resolve(sequence, offset, apply_result),
            FoldReport::Rebuilt => self.queue.resend_all(),
        }
    }

    fn update_budget_share(&mut self) {
        let live_instances = *self.inputs.live_instances.borrow_and_update();
        self.budget
            .set_live_instances(live_instances, Instant::now());
    }

    /// Returns the time at which the next batch may be sent. Returns `None` if there is
    /// nothing to send or a batch is in flight.
    fn send_at(&mut self) -> Option<Instant> {
        if self.in_flight.is_some() || !self.queue.has_batch() {
            return None;
        }
        let ready_at = self.budget.ready_at(Instant::now());
        Some(ready_at.max(self.not_before))
    }

    fn send(&mut self) {
        let now = Instant::now();
        let batch = self.queue.next_batch(now);
        if batch.is_empty() {
            return;
        }
        self.budget.spend(now);
        metrics::counter!("log_appends_total").increment(1);
        metrics::histogram!("log_append_records").record(batch.len() as f64);
        let client = self.inputs.client.clone();
        self.in_flight = Some(Box::pin(async move { client.append(batch).await }));
    }

    fn handle_append_result(&mut self, outcome: Result<Offset>) {
        self.in_flight = None;
        let Err(error) = outcome else {
            self.queue.acknowledge();
            self.backoff.reset();
            return;
        };
        let delay = self.backoff.next_delay();
        metrics::counter!("log_append_failures_total").increment(1);
        tracing::warn!("log: append not acknowledged: {error}; retrying in {delay:?}");
        self.not_before = Instant::now() + delay;
    }
}

/// Waits for the response to the append request in flight; forever if there is none.
async fn wait_in_flight(in_flight: &mut Option<PendingAppend>) -> Result<Offset> {
    match in_flight {
        Some(append) => append.await,
        None => std::future::pending().await,
    }
}

/// Sleeps until a point in time; forever if there is none.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
