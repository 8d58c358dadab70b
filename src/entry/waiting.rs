//! Requests that wait for a target.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::{
    entry::{
        error::{Error, Result},
        permit::Demand,
    },
    policy::{
        queue::{FairQueue, Popped, QueueError, QueueRequest, QueueSettings},
        routing::Choice,
    },
    settings::QueueOrder,
    target::table::TargetView,
};

/// Wait that callers are told where no better estimate exists, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What the requests of one queue have in common.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct QueueKey {
    /// Kind of target.
    pub(super) kind: Arc<str>,
    /// Model; empty for a plain service.
    pub(super) model: Arc<str>,
}

/// A request that waits for its place.
#[derive(Debug)]
pub(super) struct Waiter {
    /// What it needs.
    pub(super) demand: Arc<Demand>,
    /// Targets that it must not get, unless there is no other.
    pub(super) excluded: Arc<[Arc<str>]>,
    /// When it is too late.
    pub(super) deadline_ms: u64,
    /// Where its place goes.
    pub(super) grant: oneshot::Sender<Result<Grant>>,
}

/// A place for a request.
#[derive(Debug)]
pub(super) struct Grant {
    /// Target that answers.
    pub(super) target: TargetView,
    /// Target that runs the prefill, where that is another one.
    pub(super) prefill: Option<TargetView>,
    /// What the router chose.
    pub(super) choice: Choice,
    /// Tokens that the account was charged.
    pub(super) charged_tokens: u64,
}

/// Requests of one kind that wait for a place.
#[derive(Debug)]
pub(super) struct Queue {
    /// Requests by account.
    pub(super) waiting: FairQueue<Waiter>,
    /// Request that left the queue and waits for room.
    pub(super) next: Option<Popped<Waiter>>,
    order: QueueOrder,
}

impl Queue {
    /// Creates an empty queue.
    pub(super) fn new(settings: QueueSettings, order: QueueOrder) -> Self {
        Self {
            waiting: FairQueue::new(settings),
            next: None,
            order,
        }
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len() + usize::from(self.next.is_some())
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// [`Error::QueueFull`] and [`Error::Overloaded`].
    pub(super) fn push(&mut self, waiter: Waiter, now_ms: u64) -> Result<()> {
        let demand = Arc::clone(&waiter.demand);
        let deadline_ms = waiter.deadline_ms;
        // Within one account the queue serves by arrival.
        let account = match self.order {
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
                retry_after_ms: wait_ms.max(RETRY_AFTER_MS),
            }),
            Err(QueueError::Full | QueueError::AccountFull) => Err(Error::QueueFull),
        }
    }

    /// Takes the next request whose caller still waits for it.
    pub(super) fn take_next(&mut self, now_ms: u64) -> Option<Popped<Waiter>> {
        self.expire(now_ms);
        loop {
            let popped = self.next.take().or_else(|| self.waiting.pop(now_ms))?;
            if !popped.item.grant.is_closed() {
                return Some(popped);
            }
            self.waiting
                .settle(&popped.account, popped.charged_tokens, 0);
        }
    }

    /// Refuses a request that left the queue.
    pub(super) fn refuse(&mut self, popped: Popped<Waiter>, error: Error) {
        let (account, charged_tokens) = (&popped.account, popped.charged_tokens);
        self.waiting.settle(account, charged_tokens, 0);
        let _ = popped.item.grant.send(Err(error));
    }

    fn expire(&mut self, now_ms: u64) {
        let due = |popped: &mut Popped<Waiter>| popped.item.deadline_ms <= now_ms;
        if let Some(popped) = self.next.take_if(due) {
            self.waiting
                .settle(&popped.account, popped.charged_tokens, 0);
            popped.item.refuse_late();
        }
        while let Some(popped) = self.waiting.expire(now_ms) {
            popped.item.refuse_late();
        }
    }
}

impl Waiter {
    /// Time left until the answer must begin, in milliseconds.
    pub(super) fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    fn refuse_late(self) {
        let _ = self.grant.send(Err(Error::Overloaded {
            retry_after_ms: RETRY_AFTER_MS,
        }));
    }
}
