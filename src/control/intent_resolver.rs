//! Resolves the open intents of a duty, including those of former holders.
//!
//! An intent is a log record that announces an order. The intent is open until
//! the outcome of the order is recorded.

use std::{future::Future, sync::Arc, time::Duration};

use futures_util::future::join_all;
use tokio_util::sync::CancellationToken;

use super::{
    AbsenceTracker, Error, Identity, Member, ObservedState, OrderSender, Result, SentOrder,
    WriteOutcome,
};
use crate::ledger::IntentEntry;

/// Interval between checks of the open intents.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Time, in milliseconds, after which the duty is handed over if the target has not
/// confirmed an adopted order, an order taken over from a former holder. The
/// handover starts a later epoch, under which the order can be sent again.
const CONFIRM_TIMEOUT_MS: u64 = 5_000;

/// Resolves the open intents of one duty.
///
/// `members` returns the live instances, including this one, or `None` while the
/// live list, the platform's list of running instances, is not known.
/// `checks_fencing` returns whether a target refuses orders with an old fencing
/// token.
#[derive(Debug)]
pub struct IntentResolver<W, R, M, C> {
    sender: Arc<OrderSender<W, R>>,
    absence: AbsenceTracker,
    unconfirmed_since_ms: Option<u64>,
    grace_ms: u64,
    members: M,
    checks_fencing: C,
}

impl<W, R, WF, RF, M, C> IntentResolver<W, R, M, C>
where
    W: Fn(SentOrder) -> WF,
    WF: Future<Output = WriteOutcome>,
    R: Fn(Arc<str>) -> RF,
    RF: Future<Output = ObservedState>,
    M: Fn() -> Option<Vec<Member>>,
    C: Fn(&str) -> bool,
{
    /// Returns a resolver that treats an instance as ended once it has been
    /// missing from the live list for `grace_ms`.
    pub fn new(
        sender: Arc<OrderSender<W, R>>,
        grace_ms: u64,
        members: M,
        checks_fencing: C,
    ) -> Self {
        Self {
            sender,
            absence: AbsenceTracker::new(),
            unconfirmed_since_ms: None,
            grace_ms,
            members,
            checks_fencing,
        }
    }

    /// Runs until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the appender has stopped.
    pub async fn run(mut self, stop: CancellationToken) -> Result<()> {
        while !stop.is_cancelled() {
            self.resolve_all(&stop).await?;
            tokio::time::sleep(POLL_PERIOD).await;
        }
        Ok(())
    }

    async fn resolve_all(&mut self, stop: &CancellationToken) -> Result<()> {
        let intents = self.sender.open_intents();
        let now_ms = self.sender.authority().clock().now_ms();
        let awaited: Vec<_> = intents.iter().map(announcer).collect();
        match (self.members)() {
            Some(members) => self.absence.observe(&awaited, &members, now_ms),
            None => self.absence.reset(),
        }
        if self.sender.authority().epoch().is_none() {
            return Ok(());
        }
        let mut resolutions = Vec::with_capacity(intents.len());
        for intent in &intents {
            resolutions.push(self.resolve(intent, now_ms));
        }
        let all_resolved = join_all(resolutions);
        let results = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            results = all_resolved => results,
        };
        for result in results {
            match result {
                Ok(()) | Err(Error::NotHolder | Error::Rejected(_)) => {}
                Err(error) => return Err(error),
            }
        }
        self.hand_over_if_unconfirmed(now_ms);
        Ok(())
    }

    /// Requests a handover if the target has not confirmed an order that was adopted
    /// under the current epoch for [`CONFIRM_TIMEOUT_MS`].
    fn hand_over_if_unconfirmed(&mut self, now_ms: u64) {
        let authority = self.sender.authority();
        let epoch = authority.epoch();
        let intents = self.sender.open_intents();
        let unconfirmed = intents
            .iter()
            .any(|intent| intent.adopted && Some(intent.epoch) == epoch);
        if !unconfirmed {
            self.unconfirmed_since_ms = None;
            return;
        }
        let since_ms = *self.unconfirmed_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= CONFIRM_TIMEOUT_MS {
            tracing::warn!(
                "control: adopted order unconfirmed for {CONFIRM_TIMEOUT_MS} ms; resigning the duty"
            );
            self.unconfirmed_since_ms = None;
            authority.request_handover();
        }
    }

    async fn resolve(&self, intent: &IntentEntry, now_ms: u64) -> Result<()> {
        let checks_fencing = (self.checks_fencing)(&intent.target);
        let gone = self
            .absence
            .is_gone(&announcer(intent), self.grace_ms, now_ms);
        self.sender
            .resolve_intent(intent, checks_fencing, gone)
            .await?;
        Ok(())
    }
}

/// Returns the process that announced or last adopted an intent.
fn announcer(intent: &IntentEntry) -> Identity {
    Identity {
        name: intent.holder.clone(),
        incarnation: intent.incarnation,
    }
}
