use arbtest::arbitrary::{Result, Unstructured};
use lavenderwind::{
    control::{Identity, IntentAction, IntentInput, intent_action},
    ledger::IntentEntry,
    log::records::{Duty, EngineRole, OrderIntent, record::Body},
};

use super::{
    Counts, TIMING,
    instance::{Checked, Instance, Progress, Surroundings},
};
use crate::records::{resolved, set_role};

impl Instance {
    pub(super) fn take_order_step(
        &mut self,
        u: &mut Unstructured<'_>,
        around: &mut Surroundings<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        match std::mem::replace(&mut self.progress, Progress::Idle) {
            Progress::Idle => self.start_order(u, around, counts)?,
            Progress::Appending => self.progress = Progress::Idle,
            Progress::Announced(checked) => self.check(u, checked, around, counts)?,
            Progress::Checked(checked) => self.write(checked, around, counts),
            Progress::Written(checked) => self.close(u, &checked, around)?,
        }
        Ok(())
    }

    /// Checks the lease; a pause may follow before the write.
    fn check(
        &mut self,
        u: &mut Unstructured<'_>,
        checked: Checked,
        around: &Surroundings<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        let name = around.targets[checked.target].name;
        let announced = self.ledger.intent(name).is_some_and(|intent| {
            intent.offset.0 == checked.order_id && intent.epoch == checked.epoch
        });
        if !announced || self.authority(around.now_ms) != Some(checked.epoch) {
            counts.lapsed_checks += 1;
            if !checked.adopted {
                self.progress = Progress::Written(checked);
            }
            return Ok(());
        }
        self.progress = Progress::Checked(checked);
        if u.ratio(1, 12)? {
            counts.pauses_before_write += 1;
            self.paused_until_ms = around.now_ms + u.int_in_range(1_000..=12_000)?;
        }
        Ok(())
    }

    /// The one write of an order.
    pub(super) fn write(
        &mut self,
        checked: Checked,
        around: &mut Surroundings<'_>,
        counts: &mut Counts,
    ) {
        let lapsed = self.authority(around.now_ms) != Some(checked.epoch);
        let taken = around.targets[checked.target].write(
            checked.order_id,
            checked.epoch,
            &around.log.ledger,
            lapsed,
            counts,
        );
        // An adopted order that was refused stays open.
        if taken || !checked.adopted {
            self.progress = Progress::Written(checked);
        } else {
            self.progress = Progress::Idle;
        }
    }

    fn close(
        &mut self,
        u: &mut Unstructured<'_>,
        checked: &Checked,
        around: &mut Surroundings<'_>,
    ) -> Result<()> {
        let target = &around.targets[checked.target];
        let applied = target.last_order_id == checked.order_id;
        let body = resolved(target.name, checked.order_id, applied);
        self.progress = Progress::Appending;
        self.append(u, around, body)
    }

    fn start_order(
        &mut self,
        u: &mut Unstructured<'_>,
        around: &mut Surroundings<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        let now_ms = self.clock.ms(around.now_ms);
        let awaited: Vec<_> = self.ledger.intents().map(announcer).collect();
        self.absence.observe(&awaited, around.members, now_ms);
        let resigning = self.rules.is_resigning(self.stopping, now_ms);
        let Some(epoch) = self.authority(around.now_ms).filter(|_| !resigning) else {
            return Ok(());
        };
        let index = u.choose_index(around.targets.len())?;
        let name = around.targets[index].name;
        if let Some(intent) = self.ledger.intent(name).cloned() {
            return self.resolve(u, &intent, index, epoch, around, counts);
        }
        self.announce(u, name, epoch, around)
    }

    /// Does what the rules allow about an open intent.
    fn resolve(
        &mut self,
        u: &mut Unstructured<'_>,
        intent: &IntentEntry,
        index: usize,
        epoch: u64,
        around: &mut Surroundings<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        let target = &around.targets[index];
        let announcer = announcer(intent);
        let now_ms = self.clock.ms(around.now_ms);
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
                self.announce(u, &intent.target, epoch, around)
            }
            IntentAction::Resolve => {
                counts.resolved += 1;
                let checked = Checked {
                    target: index,
                    order_id: intent.offset.0,
                    epoch,
                    adopted: false,
                };
                self.close(u, &checked, around)
            }
        }
    }

    fn announce(
        &mut self,
        u: &mut Unstructured<'_>,
        target: &str,
        epoch: u64,
        around: &mut Surroundings<'_>,
    ) -> Result<()> {
        let body = Body::OrderIntent(OrderIntent {
            target: target.into(),
            duty: Duty::Fleet.into(),
            epoch,
            order: Some(set_role(EngineRole::Prefill)),
        });
        self.progress = Progress::Appending;
        self.append(u, around, body)
    }
}

fn announcer(intent: &IntentEntry) -> Identity {
    Identity {
        name: intent.holder.clone(),
        incarnation: intent.incarnation,
    }
}
