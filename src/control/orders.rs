//! Sends orders to targets.
//!
//! An order is sent in four steps: append an intent to the log, which announces
//! the order; check the lease on the duty; write the order to the target once;
//! and append the outcome to the log. If the target does not answer the write,
//! the outcome is determined by polling the target's state.

use std::{
    collections::HashSet,
    future::Future,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::Instant;

use super::{Authority, Error, IntentAction, IntentInput, Result, intent_action};
use crate::{
    ledger::{ApplyResult, IntentEntry, LedgerHandle, Rejection},
    log::{
        Appender, Offset, Receipt,
        records::{OrderIntent, OrderResolved, order_intent::Order, record::Body},
    },
    sync,
};

/// Interval between two reads of a target's state.
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);

/// An order as it is sent to a target.
#[derive(Clone, Debug)]
pub struct SentOrder {
    /// Identifier of the order: the offset of its first intent.
    pub order_id: u64,
    /// Fencing token: epoch under which the sender holds the duty.
    pub epoch: u64,
    /// Name of the engine or, for an order to the platform, of the target group (see
    /// [`fleet_target`](super::fleet::fleet_target)).
    pub target: Arc<str>,
    /// The order.
    pub order: Order,
}

/// Result of writing an order to its target once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The target accepted the order.
    Applied,
    /// The target refused the order, or no byte of the order was written.
    Refused,
    /// The target may have accepted the order.
    Unknown,
}

/// Result of reading a target's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObservedState {
    /// Identifier of the last order that the target accepted.
    LastOrder(u64),
    /// The target no longer exists.
    Gone,
    /// The state could not be read.
    Unreachable,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The target accepted the order.
    Applied,
    /// The target did not accept the order.
    NotApplied,
    /// The outcome is not known yet, and the order's intent stays open.
    Open,
}

/// Sends orders under one duty. `write` sends an order once; `observe` reads a
/// target's state.
#[derive(Debug)]
pub struct OrderSender<W, R> {
    authority: Authority,
    appender: Appender,
    ledger: LedgerHandle,
    /// Time for which a target's state is polled after a write was not answered.
    /// An order that the state does not show by then counts as not applied.
    outcome_timeout: Duration,
    /// Targets with an order in progress in this process.
    in_progress: Mutex<HashSet<Arc<str>>>,
    write: W,
    observe: R,
}

impl<W, R, WF, RF> OrderSender<W, R>
where
    W: Fn(SentOrder) -> WF,
    WF: Future<Output = WriteOutcome>,
    R: Fn(Arc<str>) -> RF,
    RF: Future<Output = ObservedState>,
{
    /// Returns a sender without orders in progress.
    pub fn new(
        authority: Authority,
        appender: Appender,
        ledger: LedgerHandle,
        outcome_timeout: Duration,
        write: W,
        observe: R,
    ) -> Self {
        Self {
            authority,
            appender,
            ledger,
            outcome_timeout,
            in_progress: Mutex::default(),
            write,
            observe,
        }
    }

    /// Announces an order, sends it once and records its outcome.
    ///
    /// # Errors
    ///
    /// Fails without a write if this instance does not hold the duty, if
    /// another intent is open for the target, or if the appender has stopped.
    /// Fails after the write if the outcome cannot be appended.
    pub async fn send(&self, target: &Arc<str>, order: Order) -> Result<OrderOutcome> {
        let permit = self.authority.start_order().await?;
        let _guard = self.mark_in_progress(target)?;
        let intent = self.intent_record(target, permit.epoch, &order);
        let receipt = self.append(intent).await?;
        let sent = SentOrder {
            order_id: receipt.offset.0,
            epoch: permit.epoch,
            target: target.clone(),
            order,
        };
        let outcome = match self.write_once(sent).await {
            WriteOutcome::Applied => OrderOutcome::Applied,
            WriteOutcome::Refused => OrderOutcome::NotApplied,
            WriteOutcome::Unknown => self.poll_outcome(target, receipt.offset.0).await,
        };
        self.record_outcome(target, receipt.offset, outcome).await?;
        Ok(outcome)
    }

    /// Handles an open intent (an announced order without a recorded outcome) as
    /// [`intent_action`] decides. `checks_fencing` and `holder_gone` are as in
    /// [`IntentInput`].
    ///
    /// # Errors
    ///
    /// Fails if this instance does not hold the duty, if a record is rejected or
    /// if the appender has stopped.
    pub async fn resolve_intent(
        &self,
        intent: &IntentEntry,
        checks_fencing: bool,
        holder_gone: bool,
    ) -> Result<IntentAction> {
        let permit = self.authority.start_order().await?;
        let Ok(_guard) = self.mark_in_progress(&intent.target) else {
            return Ok(IntentAction::Wait);
        };
        let identity = self.authority.identity();
        let order_id = intent.offset.0;
        let observed = (self.observe)(intent.target.clone()).await;
        if observed == ObservedState::Unreachable {
            // An unreachable target could not confirm an order.
            return Ok(IntentAction::Wait);
        }
        let input = IntentInput {
            announced_here: intent.holder == identity.name
                && intent.incarnation == identity.incarnation,
            epoch: permit.epoch,
            checks_fencing,
            applied: observed == ObservedState::LastOrder(order_id),
            holder_gone: holder_gone || observed == ObservedState::Gone,
        };
        let action = intent_action(intent, &input);
        let outcome = match action {
            IntentAction::Wait => OrderOutcome::Open,
            IntentAction::Resolve => self.poll_outcome(&intent.target, order_id).await,
            IntentAction::Adopt => self.adopt_order(intent, permit.epoch).await?,
        };
        self.record_outcome(&intent.target, intent.offset, outcome)
            .await?;
        Ok(action)
    }

    /// Sends the order of a former holder of the duty under this instance's epoch.
    ///
    /// The intent stays open unless the target confirms the order. Until then,
    /// the former holder's write may still reach the target.
    async fn adopt_order(&self, intent: &IntentEntry, epoch: u64) -> Result<OrderOutcome> {
        let adoption = self.intent_record(&intent.target, epoch, &intent.order);
        self.append(adoption).await?;
        let sent = SentOrder {
            order_id: intent.offset.0,
            epoch,
            target: intent.target.clone(),
            order: intent.order.clone(),
        };
        let outcome = self.write_once(sent).await;
        if outcome == WriteOutcome::Applied {
            return Ok(OrderOutcome::Applied);
        }
        let target = &intent.target;
        tracing::warn!(
            "control: target {target} did not confirm an adopted order; intent stays open"
        );
        Ok(OrderOutcome::Open)
    }

    fn intent_record(&self, target: &str, epoch: u64, order: &Order) -> Body {
        Body::OrderIntent(OrderIntent {
            target: target.to_owned(),
            duty: self.authority.duty().into(),
            epoch,
            order: Some(order.clone()),
        })
    }

    /// Writes an order once, provided that the lease is still valid and the
    /// intent is open under the order's epoch.
    async fn write_once(&self, sent: SentOrder) -> WriteOutcome {
        let announced = self.ledger.read(|ledger| {
            let intent = ledger.intent(&sent.target);
            intent.is_some_and(|intent| {
                intent.offset.0 == sent.order_id && intent.epoch == sent.epoch
            })
        });
        if !announced || self.authority.epoch() != Some(sent.epoch) {
            return WriteOutcome::Refused;
        }
        (self.write)(sent).await
    }

    /// Polls the target's state until the state shows the order, at most for
    /// `outcome_timeout`. The outcome is [`OrderOutcome::Open`] if the state still
    /// cannot be read then.
    async fn poll_outcome(&self, target: &Arc<str>, order_id: u64) -> OrderOutcome {
        let started_at = Instant::now();
        loop {
            let observed = (self.observe)(target.clone()).await;
            let timed_out = started_at.elapsed() >= self.outcome_timeout;
            match observed {
                ObservedState::LastOrder(last) if last == order_id => return OrderOutcome::Applied,
                ObservedState::Gone => return OrderOutcome::NotApplied,
                ObservedState::LastOrder(_) if timed_out => return OrderOutcome::NotApplied,
                ObservedState::Unreachable if timed_out => return OrderOutcome::Open,
                ObservedState::LastOrder(_) | ObservedState::Unreachable => {}
            }
            tokio::time::sleep(OBSERVE_PERIOD).await;
        }
    }

    /// Closes an intent with the outcome of its order, unless the outcome is open.
    async fn record_outcome(
        &self,
        target: &str,
        intent: Offset,
        outcome: OrderOutcome,
    ) -> Result<()> {
        if outcome == OrderOutcome::Open {
            return Ok(());
        }
        let resolved = OrderResolved {
            target: target.to_owned(),
            intent_offset: intent.0,
            applied: outcome == OrderOutcome::Applied,
        };
        match self.append(Body::OrderResolved(resolved)).await {
            Ok(_) => Ok(()),
            // Another instance has already closed the intent.
            Err(Error::Rejected(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn append(&self, body: Body) -> Result<Receipt> {
        let receipt = self.appender.append(body).await?;
        match receipt.apply_result {
            ApplyResult::Rejected(rejection) => Err(Error::Rejected(rejection)),
            ApplyResult::Accepted | ApplyResult::Duplicate => Ok(receipt),
        }
    }

    /// Marks a target as having an order in progress until the guard is dropped.
    /// Fails if an order is already in progress.
    fn mark_in_progress(&self, target: &Arc<str>) -> Result<InProgressGuard<'_>> {
        if !lock_targets(&self.in_progress).insert(target.clone()) {
            return Err(Error::Rejected(Rejection::IntentOpen));
        }
        Ok(InProgressGuard {
            targets: &self.in_progress,
            target: target.clone(),
        })
    }

    /// Returns the open intents of this duty.
    pub fn open_intents(&self) -> Vec<IntentEntry> {
        let duty = self.authority.duty();
        self.ledger.read(|ledger| {
            let intents = ledger.intents().filter(|intent| intent.duty == duty);
            intents.cloned().collect()
        })
    }

    /// Returns the authority under which orders are sent.
    pub fn authority(&self) -> &Authority {
        &self.authority
    }
}

/// Marks a target as having an order in progress until dropped.
struct InProgressGuard<'a> {
    targets: &'a Mutex<HashSet<Arc<str>>>,
    target: Arc<str>,
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        lock_targets(self.targets).remove(&self.target);
    }
}

fn lock_targets(set: &Mutex<HashSet<Arc<str>>>) -> MutexGuard<'_, HashSet<Arc<str>>> {
    sync::lock(set)
}
