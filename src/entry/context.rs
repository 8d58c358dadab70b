//! State shared by all requests of an instance.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use derive_more::Debug;
use tokio::{
    sync::{Semaphore, oneshot},
    task::JoinHandle,
};
use tokio_util::task::TaskTracker;

use crate::{
    Settings,
    entry::{
        burn::{BurnRecorder, RequestResult},
        call::Call,
        claim::Claim,
        limiter::Limiter,
        log_writer::LogWriter,
        partition::PartitionUpdater,
        peers::PeerCallbacks,
        router::Router,
        scheduler::Scheduler,
        suspect::Suspects,
    },
    intake::{Intake, IntakeLimits},
    ledger::{ApplyResult, LedgerHandle},
    log::{self, Offset, records::record::Body},
    policy::{queue::cost_tokens, retry::RetryBudget},
    sync,
    target::{EngineClient, PlainClient, table::TargetTable},
};

/// Retries that each complete answer adds to the retry budget, in thousandths of a
/// retry.
const RETRY_RATIO_MILLI: u64 = 200;

/// Maximum number of retries in the retry budget.
const MAX_RETRIES: u64 = 256;

/// Maximum number of claims whose append to the log is pending. A claim is the
/// exclusive right to run the request with an idempotency key.
const MAX_PENDING_CLAIMS: usize = 1_024;

/// Delay before a record is appended again after a failure.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Requests and tokens to bill to an account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageEntry {
    /// Service name.
    pub service: Arc<str>,
    /// Name of the account within the service.
    pub account: Arc<str>,
    /// Number of requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
}

type UsageFn = dyn Fn(UsageEntry) + Send + Sync;

/// State shared by all requests of an instance; cheap to clone.
#[derive(Clone, Debug)]
pub struct EntryContext {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Arc<Settings>,
    ledger: LedgerHandle,
    log: LogWriter,
    peers: PeerCallbacks,
    targets: TargetTable,
    engine_client: EngineClient,
    plain_client: PlainClient,
    #[debug(skip)]
    usage: Box<UsageFn>,
    burn: BurnRecorder,
    router: Router,
    scheduler: Arc<Scheduler>,
    partition: PartitionUpdater,
    suspect_requests: Arc<Suspects>,
    limiter: Arc<Limiter>,
    retry_budget: Mutex<RetryBudget>,
    pending_claims: Arc<Semaphore>,
    tasks: TaskTracker,
    stopping: AtomicBool,
    intake: Arc<Intake>,
}

/// Builds an [`EntryContext`].
#[derive(Debug)]
pub struct EntryBuilder {
    settings: Arc<Settings>,
    ledger: LedgerHandle,
    log: LogWriter,
    peers: PeerCallbacks,
    targets: TargetTable,
    http: reqwest::Client,
    #[debug(skip)]
    usage: Box<UsageFn>,
    burn: BurnRecorder,
}

impl EntryBuilder {
    /// Creates a builder. The instance has no peers and records no usage unless
    /// [`Self::peers`] and [`Self::usage`] are called.
    pub fn new<L>(
        settings: Arc<Settings>,
        ledger: LedgerHandle,
        log: L,
        targets: TargetTable,
        http: reqwest::Client,
    ) -> Self
    where
        L: Into<LogWriter>,
    {
        Self {
            settings,
            ledger,
            log: log.into(),
            peers: PeerCallbacks::none(),
            targets,
            http,
            usage: Box::new(|_| ()),
            burn: BurnRecorder::default(),
        }
    }

    /// Sets the callbacks to the other instances.
    #[must_use]
    pub fn peers(mut self, peers: PeerCallbacks) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the callback that records usage.
    #[must_use]
    pub fn usage<F>(mut self, record: F) -> Self
    where
        F: Fn(UsageEntry) + Send + Sync + 'static,
    {
        self.usage = Box::new(record);
        self
    }

    /// Sets the counters of request results.
    #[must_use]
    pub fn burn(mut self, burn: BurnRecorder) -> Self {
        self.burn = burn;
        self
    }

    /// Builds the context with an empty queue and a full retry budget.
    pub fn build(self) -> EntryContext {
        let limits = self.settings.limits;
        let max_queued = limits.max_queued;
        let intake_limits = IntakeLimits::new(
            &self.settings.intake,
            limits.memory_mb,
            limits.max_descriptors,
        );
        EntryContext {
            inner: Arc::new(Inner {
                partition: PartitionUpdater::new(),
                scheduler: Scheduler::new(self.targets.clone(), max_queued, self.settings.policy),
                settings: self.settings,
                ledger: self.ledger,
                log: self.log,
                peers: self.peers,
                targets: self.targets,
                engine_client: EngineClient::new(self.http.clone()),
                plain_client: PlainClient::new(self.http),
                usage: self.usage,
                burn: self.burn,
                router: Router::default(),
                suspect_requests: Arc::default(),
                limiter: Arc::default(),
                retry_budget: Mutex::new(RetryBudget::new(RETRY_RATIO_MILLI, MAX_RETRIES)),
                pending_claims: Arc::new(Semaphore::new(MAX_PENDING_CLAIMS)),
                tasks: TaskTracker::new(),
                stopping: AtomicBool::new(false),
                intake: Intake::new(intake_limits),
            }),
        }
    }
}

impl EntryContext {
    pub(super) fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Connections and memory of callers.
    pub fn intake(&self) -> &Arc<Intake> {
        &self.inner.intake
    }

    pub(super) fn ledger(&self) -> &LedgerHandle {
        &self.inner.ledger
    }

    pub(super) fn peers(&self) -> &PeerCallbacks {
        &self.inner.peers
    }

    pub(super) fn targets(&self) -> &TargetTable {
        &self.inner.targets
    }

    pub(super) fn engine_client(&self) -> &EngineClient {
        &self.inner.engine_client
    }

    pub(super) fn plain_client(&self) -> &PlainClient {
        &self.inner.plain_client
    }

    pub(super) fn router(&self) -> &Router {
        &self.inner.router
    }

    pub(super) fn scheduler(&self) -> &Arc<Scheduler> {
        &self.inner.scheduler
    }

    pub(super) fn partition(&self) -> &PartitionUpdater {
        &self.inner.partition
    }

    pub(super) fn suspect_requests(&self) -> &Arc<Suspects> {
        &self.inner.suspect_requests
    }

    /// Tasks that must finish before the instance stops.
    pub(super) fn tasks(&self) -> &TaskTracker {
        &self.inner.tasks
    }

    /// Counters of requests by account and result.
    pub fn burn(&self) -> &BurnRecorder {
        &self.inner.burn
    }

    /// Number of requests that wait for a target.
    pub fn queued(&self) -> usize {
        self.inner.scheduler.queued()
    }

    /// Number of prefix blocks that a target is expected to have cached.
    pub fn cached_blocks(&self, target: &str) -> usize {
        self.inner.scheduler.cached_blocks(target)
    }

    /// Whether a graceful stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Relaxed)
    }

    pub(super) fn begin_stop(&self) {
        self.inner.stopping.store(true, Ordering::Relaxed);
    }

    /// Records the usage of a request and charges its account on this instance.
    /// Reports the served tokens to the peers, which charge the account in their
    /// queues.
    pub(super) fn record_usage(&self, call: &Call, prompt_tokens: u32, output_tokens: u32) {
        let account = &call.account;
        (self.inner.usage)(UsageEntry {
            service: Arc::clone(&account.service),
            account: Arc::clone(&account.account.name),
            requests: 1,
            prompt_tokens: u64::from(prompt_tokens),
            output_tokens: u64::from(output_tokens),
        });
        let tokens = cost_tokens(prompt_tokens.into(), output_tokens.into());
        if let Some(limit_guard) = &call.limit_guard {
            limit_guard.set_served(u64::from(prompt_tokens) + u64::from(output_tokens));
        }
        (self.inner.peers.report_served)(&account.full_name, tokens);
    }

    /// Counts the result of a request.
    pub(super) fn record_result(&self, call: &Call, result: RequestResult) {
        if matches!(result, RequestResult::Good | RequestResult::Late) {
            self.retry_budget().record_success();
        }
        self.inner.burn.record(&call.account, result);
    }

    /// Withdraws a retry from the retry budget. Returns `false` if the budget is
    /// exhausted.
    pub(super) fn allow_retry(&self) -> bool {
        let allowed = self.retry_budget().withdraw();
        metrics::counter!("entry_retries_total").increment(u64::from(allowed));
        if !allowed {
            tracing::warn!("entry: retry budget exhausted");
        }
        allowed
    }

    fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        sync::lock(&self.inner.retry_budget)
    }

    pub(super) fn limiter(&self) -> &Arc<Limiter> {
        &self.inner.limiter
    }

    /// Appends a record in the background. A failed append is repeated until the
    /// record is applied to the ledger, unless the appender has stopped or the
    /// record is too large.
    pub(super) fn append_later(&self, body: Body) -> JoinHandle<()> {
        let log = self.inner.log.clone();
        self.inner.tasks.spawn(async move {
            while let Err(error) = log.append(body.clone()).await {
                tracing::warn!("entry: record not appended: {error}");
                if matches!(error, log::Error::Stopped | log::Error::TooLarge { .. }) {
                    return;
                }
                tokio::time::sleep(APPEND_RETRY_DELAY).await;
            }
        })
    }

    /// Appends a claim in the background.
    ///
    /// The receiver gets `Ok(None)` if the ledger does not accept the claim. An
    /// accepted claim is released if the receiver has been dropped.
    ///
    /// Returns `None` if [`MAX_PENDING_CLAIMS`] claims are pending.
    pub(super) fn append_claim<F>(
        &self,
        body: Body,
        make_claim: F,
    ) -> Option<oneshot::Receiver<log::Result<Option<Claim>>>>
    where
        F: FnOnce(Offset) -> Claim + Send + 'static,
    {
        let permit = Arc::clone(&self.inner.pending_claims)
            .try_acquire_owned()
            .ok()?;
        let (sender, receiver) = oneshot::channel();
        let context = self.clone();
        self.inner.tasks.spawn(async move {
            let result = context.inner.log.append(body).await;
            drop(permit);
            let result = result.map(|appended| match appended.apply_result {
                ApplyResult::Accepted => Some(make_claim(appended.offset)),
                ApplyResult::Duplicate | ApplyResult::Rejected(_) => None,
            });
            if let Err(Ok(Some(claim))) = sender.send(result) {
                claim.release(&context);
            }
        });
        Some(receiver)
    }
}
