use arbtest::arbitrary::{Result, Unstructured};
use lavenderwind::{
    control::{
        AbsenceClock, DutyRules, DutySituation, DutyStep, Identity, IntentSituation, LeaseClock,
        Member, Settlement, rank, settlement,
    },
    ledger::{IntentEntry, Ledger, Verdict},
    log::{
        Offset,
        records::{Duty, EngineRole, OrderIntent, Record, record::Body},
    },
};

use super::{Counts, Log, RENEW_MS, TIMING, Target};
use crate::records::{Writer, resolved, set_role};

/// Time after which an append without a folded record is sent again.
const RESEND_MS: u64 = 400;

/// Parts in a million by which a clock may run fast or slow.
const MAX_DRIFT_PPM: u64 = 15_000;

/// A clock that runs at its own rate.
#[derive(Clone, Copy)]
struct DriftingClock {
    offset_ms: u64,
    rate_ppm: u64,
}

impl DriftingClock {
    fn ms(self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms * self.rate_ppm / 1_000_000
    }
}

/// A record that was sent and not yet folded.
struct Pending {
    record: Record,
    /// Local time before the first send.
    sent_ms: u64,
    resend_ms: u64,
}

/// An order that passed the check of the lease and is not yet written.
#[derive(Clone)]
struct Checked {
    target: usize,
    order_id: u64,
    epoch: u64,
    /// Whether another instance announced the order.
    adopted: bool,
}

/// How far the order in progress is.
enum Progress {
    /// There is none.
    Idle,
    /// The record that announces or closes it is being appended.
    Appending,
    /// The intent was accepted.
    Announced(Checked),
    /// The next instruction is the write.
    Checked(Checked),
    /// The write was made, and the intent is to be closed.
    Written(Checked),
}

/// What is around an instance at one step.
pub(crate) struct Surroundings<'a> {
    pub(crate) now_ms: u64,
    pub(crate) log: &'a mut Log,
    pub(crate) targets: &'a mut [Target],
    pub(crate) members: &'a [Member],
}

/// One process.
pub(crate) struct Instance {
    writer: Writer,
    identity: Identity,
    clock: DriftingClock,
    ledger: Ledger,
    rules: DutyRules,
    lease: LeaseClock,
    absence: AbsenceClock,
    pending: Option<Pending>,
    progress: Progress,
    paused_until_ms: u64,
    cut_until_ms: u64,
    stopping: bool,
}

impl Instance {
    pub(crate) fn arbitrary(
        u: &mut Unstructured<'_>,
        name: &str,
        incarnation: u64,
    ) -> Result<Self> {
        let mut writer = Writer::new(name);
        writer.incarnation = incarnation;
        let identity = Identity {
            name: name.into(),
            incarnation,
        };
        let rate_ppm = u.int_in_range(1_000_000 - MAX_DRIFT_PPM..=1_000_000 + MAX_DRIFT_PPM)?;
        Ok(Self {
            writer,
            clock: DriftingClock {
                offset_ms: u.int_in_range(0..=100_000)?,
                rate_ppm,
            },
            ledger: Ledger::new(),
            rules: DutyRules::new(Duty::Fleet, identity.clone(), TIMING, RENEW_MS),
            identity,
            lease: LeaseClock::new(TIMING.lease_ms),
            absence: AbsenceClock::new(),
            pending: None,
            progress: Progress::Idle,
            paused_until_ms: 0,
            cut_until_ms: 0,
            stopping: false,
        })
    }

    pub(crate) fn name(&self) -> &str {
        &self.identity.name
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.identity.incarnation
    }

    pub(crate) fn member(&self) -> Member {
        Member {
            identity: self.identity.clone(),
            leaving: self.stopping,
        }
    }

    pub(crate) fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    pub(crate) fn pause(&mut self, until_ms: u64) {
        self.paused_until_ms = until_ms;
    }

    pub(crate) fn cut_off(&mut self, until_ms: u64) {
        self.cut_until_ms = until_ms;
    }

    pub(crate) fn toggle_stopping(&mut self) {
        self.stopping = !self.stopping;
    }

    /// The epoch under which the process finds that it may act.
    pub(crate) fn authority(&self, now_ms: u64) -> Option<u64> {
        let entry = self.ledger.duty(Duty::Fleet)?;
        if !entry.held_by(&self.identity.name, self.identity.incarnation) {
            return None;
        }
        let leased = self.lease.epoch(self.clock.ms(now_ms))?;
        (leased == entry.epoch).then_some(leased)
    }

    /// One turn of the process: reads, then makes one step.
    pub(crate) fn run(
        &mut self,
        u: &mut Unstructured<'_>,
        around: &mut Surroundings<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        // A process that wakes between its check and its write writes.
        if let Progress::Checked(checked) = &self.progress {
            let checked = checked.clone();
            self.write(checked, around, counts);
            return Ok(());
        }
        let cut_off = around.now_ms < self.cut_until_ms;
        if !cut_off {
            self.read(u, around)?;
        }
        if self.pending.is_some() {
            return self.resend(u, around, cut_off);
        }
        if self.take_duty_step(u, around, cut_off)? {
            return Ok(());
        }
        self.take_order_step(u, around, counts)
    }

    /// Folds some of the records that were not read yet.
    fn read(&mut self, u: &mut Unstructured<'_>, around: &Surroundings<'_>) -> Result<()> {
        let most = u.int_in_range(0..=40)?;
        for _ in 0..most {
            let offset = Offset(self.ledger.applied().0 + 1);
            let Some(record) = around.log.get(offset) else {
                break;
            };
            let record = record.clone();
            let verdict = self.ledger.apply(offset, &record);
            self.take_verdict(offset, &record, &verdict);
        }
        Ok(())
    }

    /// Resolves the pending append by its folded record.
    fn take_verdict(&mut self, offset: Offset, record: &Record, verdict: &Verdict) {
        let Some(pending) = self.pending.take_if(|pending| pending.record == *record) else {
            return;
        };
        let accepted = verdict.is_accepted();
        match &record.body {
            Some(Body::DutyClaim(_)) if accepted => {
                self.lease.confirm(offset.0, pending.sent_ms);
            }
            Some(Body::DutyRenewal(renewal)) if accepted => {
                self.lease.confirm(renewal.epoch, pending.sent_ms);
            }
            Some(Body::OrderIntent(intent)) if accepted => {
                let open = self.ledger.intent(&intent.target);
                let order_id = open.map_or(offset, |open| open.offset);
                self.progress = Progress::Announced(Checked {
                    target: target_index(&intent.target),
                    order_id: order_id.0,
                    epoch: intent.epoch,
                    adopted: order_id != offset,
                });
            }
            Some(Body::OrderIntent(_) | Body::OrderResolved(_)) => {
                self.progress = Progress::Idle;
            }
            _ => {}
        }
    }

    fn append(
        &mut self,
        u: &mut Unstructured<'_>,
        around: &mut Surroundings<'_>,
        body: Body,
    ) -> Result<()> {
        let record = self.writer.record(body);
        let sent_ms = self.clock.ms(around.now_ms);
        self.pending = Some(Pending {
            record,
            sent_ms,
            resend_ms: 0,
        });
        let cut_off = around.now_ms < self.cut_until_ms;
        self.resend(u, around, cut_off)
    }

    /// Sends the pending record once more; it may be lost or late.
    fn resend(
        &mut self,
        u: &mut Unstructured<'_>,
        around: &mut Surroundings<'_>,
        cut_off: bool,
    ) -> Result<()> {
        let Some(pending) = &mut self.pending else {
            return Ok(());
        };
        if cut_off || around.now_ms < pending.resend_ms {
            return Ok(());
        }
        pending.resend_ms = around.now_ms + RESEND_MS;
        let delay_ms = match u.int_in_range(0..=9)? {
            0 => return Ok(()),
            1 => u.int_in_range(100..=4_000)?,
            _ => u.int_in_range(1..=40)?,
        };
        around
            .log
            .send(around.now_ms + delay_ms, pending.record.clone());
        Ok(())
    }

    fn take_duty_step(
        &mut self,
        u: &mut Unstructured<'_>,
        around: &mut Surroundings<'_>,
        cut_off: bool,
    ) -> Result<bool> {
        let entry = self.ledger.duty(Duty::Fleet).cloned();
        let holder = entry.as_ref().map(|entry| entry.holder.clone());
        let lapsed = holder.filter(|holder| *holder != self.identity.name);
        let situation = DutySituation {
            entry: entry.as_ref(),
            tail_live: !cut_off,
            rank: rank(
                Duty::Fleet,
                &self.identity.name,
                around.members,
                lapsed.as_deref(),
            ),
            stopping: self.stopping,
            idle: matches!(self.progress, Progress::Idle),
            now_ms: self.clock.ms(around.now_ms),
        };
        let body = match self.rules.step(&situation) {
            DutyStep::Wait => return Ok(false),
            DutyStep::Claim(claim) => Body::DutyClaim(claim),
            DutyStep::Renew(renewal) => Body::DutyRenewal(renewal),
            DutyStep::Resign(resignation) => {
                self.lease.give_up(resignation.epoch);
                Body::DutyResignation(resignation)
            }
        };
        self.append(u, around, body)?;
        Ok(true)
    }

    fn take_order_step(
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
    fn write(&mut self, checked: Checked, around: &mut Surroundings<'_>, counts: &mut Counts) {
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
        let closing = self.rules.is_closing(self.stopping, now_ms);
        let Some(epoch) = self.authority(around.now_ms).filter(|_| !closing) else {
            return Ok(());
        };
        let index = u.choose_index(around.targets.len())?;
        let name = around.targets[index].name;
        if let Some(intent) = self.ledger.intent(name).cloned() {
            return self.settle(u, &intent, index, epoch, around, counts);
        }
        self.announce(u, name, epoch, around)
    }

    /// Does what the rules allow about an open intent.
    fn settle(
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
        let situation = IntentSituation {
            own: announcer == self.identity,
            epoch,
            checks_fencing: target.checks_fencing,
            taken: target.last_order_id == intent.offset.0,
            announcer_gone: self.absence.is_gone(&announcer, TIMING.grace_ms, now_ms),
        };
        match settlement(intent, &situation) {
            Settlement::Wait => {
                counts.waits += 1;
                Ok(())
            }
            Settlement::Adopt => {
                counts.adoptions += 1;
                self.announce(u, &intent.target, epoch, around)
            }
            Settlement::Resolve => {
                counts.settled += 1;
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

fn target_index(name: &str) -> usize {
    match name {
        "plain-1" => 0,
        "plain-2" => 1,
        _ => 2,
    }
}
