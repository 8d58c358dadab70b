//! Sends orders: an intent in the log, a check of the lease, one write, and
//! the outcome read from the target.

use std::{
    collections::HashSet,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{Authority, Error, IntentSituation, Result, Settlement, is_direct, settlement};
use crate::{
    ledger::{IntentEntry, LedgerHandle, Rejection, Verdict},
    log::{
        Appender, Offset, Receipt,
        records::{OrderIntent, OrderResolved, order_intent::Order, record::Body},
    },
};

/// Delay between two reads of a target's state.
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);

/// An order as it goes to a target.
#[derive(Clone, Debug)]
pub struct SentOrder {
    /// Offset of the intent.
    pub order_id: u64,
    /// Fencing number.
    pub epoch: u64,
    /// Target.
    pub target: Arc<str>,
    /// The order.
    pub order: Order,
}

/// What the one write of an order came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The target took the order.
    Taken,
    /// The target refused it, or no byte of it was written.
    Refused,
    /// The target may have taken it.
    Unknown,
}

/// What a target's state shows of its orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// Identifier of the last order that the target took.
    LastOrder(u64),
    /// The target does not exist any more.
    Gone,
    /// The state could not be read.
    Unreachable,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The target took it.
    Applied,
    /// The target did not take it.
    NotApplied,
}

/// Sends orders under one duty. `write` sends an order once, `observe` reads
/// a target's state.
#[derive(Debug)]
pub struct OrderSender<W, R> {
    authority: Authority,
    appender: Appender,
    ledger: LedgerHandle,
    /// Time for which a target's state is read before an order whose write
    /// was not answered counts as not taken.
    settle_time: Duration,
    in_progress: Mutex<HashSet<Arc<str>>>,
    refenced: Mutex<HashSet<Offset>>,
    write: W,
    observe: R,
}

impl<W, R, WF, RF> OrderSender<W, R>
where
    W: Fn(SentOrder) -> WF,
    WF: Future<Output = WriteOutcome>,
    R: Fn(Arc<str>) -> RF,
    RF: Future<Output = Observation>,
{
    /// Returns a sender without orders in progress.
    pub fn new(
        authority: Authority,
        appender: Appender,
        ledger: LedgerHandle,
        settle_time: Duration,
        write: W,
        observe: R,
    ) -> Self {
        Self {
            authority,
            appender,
            ledger,
            settle_time,
            in_progress: Mutex::default(),
            refenced: Mutex::default(),
            write,
            observe,
        }
    }

    /// Announces an order, sends it once and records what became of it.
    ///
    /// # Errors
    ///
    /// Fails without a write if this instance does not hold the duty, if
    /// another intent is open for the target, or if the log is stopped.
    pub async fn send(&self, target: &Arc<str>, order: Order) -> Result<OrderOutcome> {
        let permit = self.authority.start_order().await?;
        let _progress = self.start_progress(target)?;
        let intent = OrderIntent {
            target: target.to_string(),
            duty: self.authority.duty().into(),
            epoch: permit.epoch,
            order: Some(order.clone()),
        };
        let receipt = self.append(Body::OrderIntent(intent)).await?;
        let sent = SentOrder {
            order_id: receipt.offset.0,
            epoch: permit.epoch,
            target: target.clone(),
            order,
        };
        let outcome = match self.write_once(sent).await {
            WriteOutcome::Taken => OrderOutcome::Applied,
            WriteOutcome::Refused => OrderOutcome::NotApplied,
            WriteOutcome::Unknown => self.read_outcome(target, receipt.offset.0).await,
        };
        self.resolve(target, receipt.offset, outcome).await?;
        Ok(outcome)
    }

    /// Does what the rules allow about an open intent. `checks_fencing` and
    /// `announcer_gone` are as in [`IntentSituation`].
    ///
    /// # Errors
    ///
    /// Fails if this instance lost the duty or the log is stopped.
    pub async fn settle(
        &self,
        intent: &IntentEntry,
        checks_fencing: bool,
        announcer_gone: bool,
    ) -> Result<Settlement> {
        let permit = self.authority.start_order().await?;
        let Ok(_progress) = self.start_progress(&intent.target) else {
            return Ok(Settlement::Wait);
        };
        let identity = self.authority.identity();
        let situation = IntentSituation {
            own: intent.holder == identity.name && intent.incarnation == identity.incarnation,
            checks_fencing,
            direct: self.is_direct(intent),
            refenced: lock(&self.refenced).contains(&intent.offset),
            announcer_gone,
        };
        let step = settlement(intent, &situation);
        let outcome = match step {
            Settlement::Wait => None,
            Settlement::Resolve => Some(self.read_outcome(&intent.target, intent.offset.0).await),
            Settlement::Refence { unless_taken } => {
                self.refence(intent, permit.epoch, unless_taken).await
            }
        };
        let Some(outcome) = outcome else {
            return Ok(Settlement::Wait);
        };
        self.resolve(&intent.target, intent.offset, outcome).await?;
        Ok(step)
    }

    /// Sends a former holder's order under the own epoch. Returns `None` if
    /// the target may still take it from the former holder.
    async fn refence(
        &self,
        intent: &IntentEntry,
        epoch: u64,
        unless_taken: bool,
    ) -> Option<OrderOutcome> {
        let order_id = intent.offset.0;
        match (self.observe)(intent.target.clone()).await {
            Observation::Gone => return Some(OrderOutcome::NotApplied),
            Observation::Unreachable => return None,
            Observation::LastOrder(last) if unless_taken && last == order_id => {
                return Some(OrderOutcome::Applied);
            }
            Observation::LastOrder(_) => {}
        }
        lock(&self.refenced).insert(intent.offset);
        let sent = SentOrder {
            order_id,
            epoch,
            target: intent.target.clone(),
            order: intent.order.clone(),
        };
        let outcome = match self.write_once(sent).await {
            WriteOutcome::Taken => OrderOutcome::Applied,
            WriteOutcome::Refused => return None,
            // What the state shows may be a former holder's write.
            WriteOutcome::Unknown if !unless_taken => return None,
            WriteOutcome::Unknown => self.read_outcome(&intent.target, order_id).await,
        };
        (outcome == OrderOutcome::Applied).then_some(outcome)
    }

    /// Writes an order once if the lease holds and the intent is open at this
    /// moment.
    async fn write_once(&self, sent: SentOrder) -> WriteOutcome {
        let open = self.ledger.read(|ledger| {
            let intent = ledger.intent(&sent.target);
            intent.map(|intent| intent.offset.0)
        });
        if open != Some(sent.order_id) || self.authority.epoch() != Some(sent.epoch) {
            return WriteOutcome::Refused;
        }
        (self.write)(sent).await
    }

    /// Reads the target's state until it shows the order, or for the settle
    /// time. A target that cannot be read is tried until it can be, or is gone.
    async fn read_outcome(&self, target: &Arc<str>, order_id: u64) -> OrderOutcome {
        let mut readable_since = None;
        loop {
            match (self.observe)(target.clone()).await {
                Observation::LastOrder(last) if last == order_id => return OrderOutcome::Applied,
                Observation::Gone => return OrderOutcome::NotApplied,
                Observation::Unreachable => {}
                Observation::LastOrder(_) => {
                    let since = *readable_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= self.settle_time {
                        return OrderOutcome::NotApplied;
                    }
                }
            }
            tokio::time::sleep(OBSERVE_PERIOD).await;
        }
    }

    async fn resolve(&self, target: &str, intent: Offset, outcome: OrderOutcome) -> Result<()> {
        let resolved = OrderResolved {
            target: target.to_owned(),
            intent_offset: intent.0,
            applied: outcome == OrderOutcome::Applied,
        };
        match self.append(Body::OrderResolved(resolved)).await {
            Ok(_) => Ok(()),
            // Another instance closed the intent.
            Err(Error::Rejected(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn append(&self, body: Body) -> Result<Receipt> {
        let receipt = self.appender.append(body).await?;
        match receipt.verdict {
            Verdict::Rejected(rejection) => Err(Error::Rejected(rejection)),
            Verdict::Accepted | Verdict::Duplicate => Ok(receipt),
        }
    }

    fn is_direct(&self, intent: &IntentEntry) -> bool {
        self.ledger.read(|ledger| {
            let holder = ledger.duty(intent.duty);
            holder.is_some_and(|holder| is_direct(intent, holder))
        })
    }

    /// Marks a target's order as in progress, unless one already is.
    fn start_progress(&self, target: &Arc<str>) -> Result<Progress<'_>> {
        if !lock(&self.in_progress).insert(target.clone()) {
            return Err(Error::Rejected(Rejection::IntentOpen));
        }
        Ok(Progress {
            targets: &self.in_progress,
            target: target.clone(),
        })
    }

    /// Open intents of this duty.
    pub fn open_intents(&self) -> Vec<IntentEntry> {
        let duty = self.authority.duty();
        self.ledger.read(|ledger| {
            let intents = ledger.intents().filter(|intent| intent.duty == duty);
            intents.cloned().collect()
        })
    }

    /// The right under which orders are sent.
    pub fn authority(&self) -> &Authority {
        &self.authority
    }
}

/// Marks a target's order as in progress until dropped.
struct Progress<'a> {
    targets: &'a Mutex<HashSet<Arc<str>>>,
    target: Arc<str>,
}

impl Drop for Progress<'_> {
    fn drop(&mut self) {
        lock(self.targets).remove(&self.target);
    }
}

fn lock<T>(set: &Mutex<HashSet<T>>) -> MutexGuard<'_, HashSet<T>> {
    set.lock().unwrap_or_else(PoisonError::into_inner)
}
