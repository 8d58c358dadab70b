//! Steps of a simulated instance that announce, write and close orders.

use arbtest::arbitrary::{Result, Unstructured};
use lavenderwind::{
    control::{Identity, IntentAction, IntentInput, intent_action},
    ledger::IntentEntry,
    log::records::{Duty, EngineRole, OrderIntent, record::Body},
};

use super::{
    Counts, TIMING,
    instance::{Environment, Instance, OrderAttempt, Progress},
};
use crate::records::{order_resolved, set_role};

impl Instance {
    pub(super) fn step_order(
        &mut self,
        u: &mut Unstructured<'_>,
        environment: &mut Environment<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        match std::mem::replace(&mut self.progress, Progress::Idle) {
            Progress::Idle => self.start_order(u, environment, counts)?,
            Progress::Appending => self.progress = Progress::Idle,
            Progress::Announced(attempt) => self.check_lease(u, attempt, environment, counts)?,
            Progress::Checked(attempt) => self.write(attempt, environment, counts),
            Progress::Written(attempt) => self.close_intent(u, &attempt, environment)?,
        }
        Ok(())
    }

    /// Checks that this process still holds the duty and may write the order. The
    /// process may then be paused before the write.
    fn check_lease(
        &mut self,
        u: &mut Unstructured<'_>,
        attempt: OrderAttempt,
        environment: &Environment<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        let name = environment.targets[attempt.target].name;
        let announced = self.ledger.intent(name).is_some_and(|intent| {
            intent.offset.0 == attempt.order_id && intent.epoch == attempt.epoch
        });
        if !announced || self.authority(environment.now_ms) != Some(attempt.epoch) {
            counts.lapsed_checks += 1;
            if !attempt.adopted {
                self.progress = Progress::Written(attempt);
            }
            return Ok(());
        }
        self.progress = Progress::Checked(attempt);
        if u.ratio(1, 12)? {
            counts.pauses_before_write += 1;
            self.paused_until_ms = environment.now_ms + u.int_in_range(1_000..=12_000)?;
        }
        Ok(())
    }

    /// Makes the single write of an order.
    pub(super) fn write(
        &mut self,
        attempt: OrderAttempt,
        environment: &mut Environment<'_>,
        counts: &mut Counts,
    ) {
        let lapsed = self.authority(environment.now_ms) != Some(attempt.epoch);
        let accepted = environment.targets[attempt.target].write(
            attempt.order_id,
            attempt.epoch,
            &environment.log.ledger,
            lapsed,
            counts,
        );
        // The intent of an adopted order stays open if the write was refused.
        if accepted || !attempt.adopted {
            self.progress = Progress::Written(attempt);
        } else {
            self.progress = Progress::Idle;
        }
    }

    fn close_intent(
        &mut self,
        u: &mut Unstructured<'_>,
        attempt: &OrderAttempt,
        environment: &mut Environment<'_>,
    ) -> Result<()> {
        let target = &environment.targets[attempt.target];
        let applied = target.last_order_id == attempt.order_id;
        let body = order_resolved(target.name, attempt.order_id, applied);
        self.progress = Progress::Appending;
        self.append(u, environment, body)
    }

    fn start_order(
        &mut self,
        u: &mut Unstructured<'_>,
        environment: &mut Environment<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        let now_ms = self.clock.ms(environment.now_ms);
        let awaited: Vec<_> = self.ledger.intents().map(announcer).collect();
        self.absence.observe(&awaited, environment.members, now_ms);
        let resigning = self.rules.is_resigning(self.stopping, now_ms);
        let Some(epoch) = self.authority(environment.now_ms).filter(|_| !resigning) else {
            return Ok(());
        };
        let index = u.choose_index(environment.targets.len())?;
        let name = environment.targets[index].name;
        if let Some(intent) = self.ledger.intent(name).cloned() {
            return self.handle_intent(u, &intent, index, epoch, environment, counts);
        }
        self.announce(u, name, epoch, environment)
    }

    /// Handles an open intent as [`intent_action`] decides.
    fn handle_intent(
        &mut self,
        u: &mut Unstructured<'_>,
        intent: &IntentEntry,
        index: usize,
        epoch: u64,
        environment: &mut Environment<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        let target = &environment.targets[index];
        let announcer = announcer(intent);
        let now_ms = self.clock.ms(environment.now_ms);
        let input = IntentInput {
            announced_here: announcer == self.identity,
            epoch,
            checks_fencing: target.checks_fencing,
            applied: target.last_order_id == intent.offset.0,
            holder_gone: self.absence.is_gone(&announcer, TIMING.grace_ms, now_ms),
        };
        match intent_action(intent, &input) {
            IntentAction::Wait => {
                counts.waits += 1;
                Ok(())
            }
            IntentAction::Adopt => {
                counts.adoptions += 1;
                self.announce(u, &intent.target, epoch, environment)
            }
            IntentAction::Resolve => {
                counts.resolved += 1;
                let attempt = OrderAttempt {
                    target: index,
                    order_id: intent.offset.0,
                    epoch,
                    adopted: false,
                };
                self.close_intent(u, &attempt, environment)
            }
        }
    }

    fn announce(
        &mut self,
        u: &mut Unstructured<'_>,
        target: &str,
        epoch: u64,
        environment: &mut Environment<'_>,
    ) -> Result<()> {
        let body = Body::OrderIntent(OrderIntent {
            target: target.into(),
            duty: Duty::Fleet.into(),
            epoch,
            order: Some(set_role(EngineRole::Prefill)),
        });
        self.progress = Progress::Appending;
        self.append(u, environment, body)
    }
}

fn announcer(intent: &IntentEntry) -> Identity {
    Identity {
        name: intent.holder.clone(),
        incarnation: intent.incarnation,
    }
}
