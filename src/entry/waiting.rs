//! Queue of requests that wait for a target.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::{
    entry::{
        error::{Error, Result},
        permit::Demand,
    },
    policy::{
        queue::{DequeuedRequest, FairQueue, QueueError, QueueRequest, QueueSettings},
        routing::{Choice, MixMeter},
    },
    settings::QueueOrder,
    target::table::TargetView,
};

/// Minimum retry delay reported to callers, in milliseconds. It is also reported if
/// no estimate exists.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Identifies a queue by the target kind and the model of its requests.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct QueueKey {
    /// Name of the target kind, as in the service document.
    pub(super) kind: Arc<str>,
    /// Model; empty for a plain service.
    pub(super) model: Arc<str>,
}

/// A request that waits for a grant.
#[derive(Debug)]
pub(super) struct Waiter {
    /// Requirements of the request on its target.
    pub(super) demand: Arc<Demand>,
    /// Targets that are used only if no other is available.
    pub(super) excluded: Arc<[Arc<str>]>,
    /// Time by which the answer must begin, in milliseconds since the start of
    /// the scheduler.
    pub(super) deadline_ms: u64,
    /// Channel on which the grant or the refusal is sent.
    pub(super) grant_sender: oneshot::Sender<Result<Grant>>,
}

/// Assignment of a request to its targets.
#[derive(Debug)]
pub(super) struct Grant {
    /// Target that answers the request.
    pub(super) target: TargetView,
    /// Target that runs the prefill, if it differs from `target`.
    pub(super) prefill: Option<TargetView>,
    /// Targets that the route table chose, needed again to release the capacity.
    pub(super) choice: Choice,
    /// Tokens charged to the account in advance, by estimate.
    pub(super) charged_tokens: u64,
}

/// Requests for one target kind and model that wait for a grant.
#[derive(Debug)]
pub(super) struct Queue {
    /// Waiting requests, queued fairly by account.
    pub(super) waiting: FairQueue<Waiter>,
    /// Next request, if it was already taken from the fair queue but no target had
    /// capacity for it.
    pub(super) next: Option<DequeuedRequest<Waiter>>,
    /// Averages over the recent requests, for the division of the engines.
    pub(super) mix: MixMeter,
    queue_order: QueueOrder,
}

impl Queue {
    /// Creates an empty queue.
    pub(super) fn new(settings: QueueSettings, queue_order: QueueOrder) -> Self {
        Self {
            waiting: FairQueue::new(settings),
            next: None,
            mix: MixMeter::default(),
            queue_order,
        }
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len() + usize::from(self.next.is_some())
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::QueueFull`] if too many requests wait, and
    /// [`Error::Overloaded`] if the answer cannot begin before the deadline.
    pub(super) fn push(&mut self, waiter: Waiter, now_ms: u64) -> Result<()> {
        let demand = Arc::clone(&waiter.demand);
        let deadline_ms = waiter.deadline_ms;
        // The fair queue serves each account in order of arrival, so
        // `FirstCome` puts all requests into one account.
        let account = match self.queue_order {
            QueueOrder::Fair => Arc::clone(&demand.account),
            QueueOrder::FirstCome => Arc::default(),
        };
        let request = QueueRequest::new(account, waiter)
            .weight(demand.weight)
            .cost_tokens(demand.cost_tokens())
            .deadline_ms(deadline_ms);
        match self.waiting.push(request, now_ms) {
            Ok(_) => Ok(()),
            Err(QueueError::TooLate { wait_ms }) => Err(Error::Overloaded {
                retry_after_ms: wait_ms.max(MIN_RETRY_AFTER_MS),
            }),
            Err(QueueError::Full | QueueError::AccountFull) => Err(Error::QueueFull),
        }
    }

    /// Takes the next request whose caller is still waiting.
    pub(super) fn take_next(&mut self, now_ms: u64) -> Option<DequeuedRequest<Waiter>> {
        self.expire(now_ms);
        loop {
            let dequeued = self.next.take().or_else(|| self.waiting.pop(now_ms))?;
            if !dequeued.item.grant_sender.is_closed() {
                return Some(dequeued);
            }
            self.waiting
                .adjust_charge(&dequeued.account, dequeued.charged_tokens, 0);
        }
    }

    /// Refuses a request that was taken from the queue, and refunds the tokens charged
    /// to its account.
    pub(super) fn refuse(&mut self, dequeued: DequeuedRequest<Waiter>, error: Error) {
        let (account, charged_tokens) = (&dequeued.account, dequeued.charged_tokens);
        self.waiting.adjust_charge(account, charged_tokens, 0);
        let _ = dequeued.item.grant_sender.send(Err(error));
    }

    /// Refuses the requests that can no longer be answered in time.
    fn expire(&mut self, now_ms: u64) {
        let due = |dequeued: &mut DequeuedRequest<Waiter>| dequeued.item.deadline_ms <= now_ms;
        if let Some(dequeued) = self.next.take_if(due) {
            self.waiting
                .adjust_charge(&dequeued.account, dequeued.charged_tokens, 0);
            dequeued.item.refuse_late();
        }
        while let Some(dequeued) = self.waiting.expire(now_ms) {
            dequeued.item.refuse_late();
        }
    }
}

impl Waiter {
    /// Time left until the answer must begin, in milliseconds.
    pub(super) fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    fn refuse_late(self) {
        let _ = self.grant_sender.send(Err(Error::Overloaded {
            retry_after_ms: MIN_RETRY_AFTER_MS,
        }));
    }
}
