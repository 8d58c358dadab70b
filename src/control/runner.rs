//! Appends the claims, renewals and resignations of one duty, as decided by
//! [`DutyRules`].

use std::time::Duration;

use tokio::{sync::watch, time::timeout};
use tokio_util::sync::CancellationToken;

use super::{Authority, DutyInput, DutyRules, DutyStep, LeaseTiming, Member, Result, preference};
use crate::{
    ledger::{ApplyResult, DutyEntry, LedgerHandle},
    log::{Appender, TailStatus, records::record::Body},
    settings::Timing,
};

/// Number of times that the duty rules are evaluated in each renewal period.
const STEPS_PER_RENEWAL: u64 = 8;

/// Claims, renews and resigns one duty for this instance.
#[derive(Debug)]
pub struct DutyRunner<M> {
    authority: Authority,
    appender: Appender,
    ledger: LedgerHandle,
    tail: watch::Receiver<TailStatus>,
    members: M,
    rules: DutyRules,
    timing: Timing,
}

impl<M> DutyRunner<M>
where
    M: Fn() -> Vec<Member>,
{
    /// Returns a runner. `members` lists the live instances, including this one.
    pub fn new(
        authority: Authority,
        appender: Appender,
        ledger: LedgerHandle,
        tail: watch::Receiver<TailStatus>,
        members: M,
        timing: &Timing,
    ) -> Self {
        let rules = DutyRules::new(
            authority.duty(),
            authority.identity().clone(),
            LeaseTiming::from(timing),
            timing.renew_ms,
        );
        Self {
            authority,
            appender,
            ledger,
            tail,
            members,
            rules,
            timing: *timing,
        }
    }

    /// Runs until `stop` is cancelled and this instance no longer holds the duty
    /// or a resignation was sent.
    ///
    /// # Errors
    ///
    /// Fails if the appender has stopped.
    pub async fn run(mut self, stop: CancellationToken) -> Result<()> {
        let step_period = Duration::from_millis((self.timing.renew_ms / STEPS_PER_RENEWAL).max(1));
        loop {
            let stopping = stop.is_cancelled();
            if !self.is_holder() {
                self.authority.clear_handover_request();
            }
            let step = self.next_step(stopping || self.authority.is_handover_requested());
            self.append_step(step).await?;
            let resigned = matches!(step, DutyStep::Resign(_));
            if stopping && (resigned || !self.is_holder()) {
                return Ok(());
            }
            tokio::time::sleep(step_period).await;
        }
    }

    fn next_step(&mut self, stopping: bool) -> DutyStep {
        let entry = self.duty_entry();
        let now_ms = self.authority.clock().now_ms();
        self.authority
            .set_resigning(self.rules.is_resigning(stopping, now_ms));
        let tail = *self.tail.borrow();
        let input = DutyInput {
            entry: entry.as_ref(),
            is_tail_current: tail.live && tail.caught_up,
            rank: self.own_rank(entry.as_ref()),
            stopping,
            idle: self.authority.is_idle(),
            last_read_ms: now_ms,
            now_ms,
        };
        self.rules.step(&input)
    }

    fn own_rank(&self, entry: Option<&DutyEntry>) -> u64 {
        let name = &self.authority.identity().name;
        let members = (self.members)();
        let holder = entry.map(|entry| &*entry.holder);
        let other_holder = holder.filter(|holder| *holder != &**name);
        preference::rank(self.authority.duty(), name, &members, other_holder)
    }

    /// Appends the record of a step, if any, and updates the lease.
    async fn append_step(&mut self, step: DutyStep) -> Result<()> {
        let body = match step {
            DutyStep::Wait => return Ok(()),
            DutyStep::Claim(claim) => Body::DutyClaim(claim),
            DutyStep::Renew(renewal) => Body::DutyRenewal(renewal),
            DutyStep::Resign(resignation) => {
                self.authority.invalidate(resignation.epoch);
                Body::DutyResignation(resignation)
            }
        };
        let lease = Duration::from_millis(self.timing.lease_ms);
        let Ok(appended) = timeout(lease, self.appender.append(body)).await else {
            return Ok(());
        };
        let receipt = appended?;
        let duty = self.authority.duty();
        let sent_ms = self.authority.clock().ms(receipt.sent_at);
        match (step, receipt.apply_result) {
            (DutyStep::Claim(_), ApplyResult::Accepted) => {
                tracing::info!(
                    "control: took over duty {duty:?} at epoch {}",
                    receipt.offset
                );
                self.authority.confirm(receipt.offset.0, sent_ms);
            }
            (DutyStep::Renew(renewal), ApplyResult::Accepted) => {
                self.authority.confirm(renewal.epoch, sent_ms);
            }
            (DutyStep::Resign(_), ApplyResult::Accepted) => {
                tracing::info!("control: resigned duty {duty:?}");
            }
            (_, apply_result) => {
                tracing::debug!("control: record of duty {duty:?} not accepted: {apply_result:?}")
            }
        }
        Ok(())
    }

    fn duty_entry(&self) -> Option<DutyEntry> {
        let duty = self.authority.duty();
        self.ledger.read(|ledger| ledger.duty(duty).cloned())
    }

    fn is_holder(&self) -> bool {
        let identity = self.authority.identity();
        self.duty_entry()
            .is_some_and(|entry| entry.held_by(&identity.name, identity.incarnation))
    }
}
