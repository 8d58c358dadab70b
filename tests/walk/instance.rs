//! A simulated instance that claims the duty and sends orders.

use arbtest::arbitrary::{Result, Unstructured};
use lavenderwind::{
    control::{AbsenceTracker, DutyInput, DutyRules, DutyStep, Identity, LeaseClock, Member, rank},
    ledger::{ApplyResult, Ledger},
    log::{
        Offset,
        records::{Duty, Record, record::Body},
    },
};

use super::{Counts, Log, RENEW_MS, TIMING, Target};
use crate::records::Writer;

/// Time after which an unconfirmed append is sent again, in milliseconds.
const RESEND_MS: u64 = 400;

/// Largest rate error of a clock, in parts per million.
const MAX_DRIFT_PPM: u64 = 15_000;

/// A clock with an offset and a rate error.
#[derive(Clone, Copy)]
pub(super) struct DriftingClock {
    offset_ms: u64,
    rate_ppm: u64,
}

impl DriftingClock {
    pub(super) fn ms(self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms * self.rate_ppm / 1_000_000
    }
}

/// A record that was sent and not yet read back from the log.
pub(super) struct Pending {
    record: Record,
    /// Local time just before the first send.
    sent_ms: u64,
    /// Global time from which the record may be sent again.
    resend_ms: u64,
}

/// An announced order whose intent this process has not yet closed.
#[derive(Clone)]
pub(super) struct OrderAttempt {
    pub(super) target: usize,
    pub(super) order_id: u64,
    pub(super) epoch: u64,
    /// Whether the order was adopted, that is, first announced under another epoch.
    pub(super) adopted: bool,
}

/// State of the order in progress.
pub(super) enum Progress {
    /// No order is in progress.
    Idle,
    /// The record that announces or closes the order is being appended.
    Appending,
    /// The intent was accepted; the lease check is next.
    Announced(OrderAttempt),
    /// The lease was checked; the write is next, without a further check.
    Checked(OrderAttempt),
    /// The write was made or given up; the intent is to be closed.
    Written(OrderAttempt),
}

/// What an instance can access in one step.
pub(crate) struct Environment<'a> {
    pub(crate) now_ms: u64,
    pub(crate) log: &'a mut Log,
    pub(crate) targets: &'a mut [Target],
    pub(crate) members: &'a [Member],
}

/// A process of an instance.
pub(crate) struct Instance {
    pub(super) writer: Writer,
    pub(super) identity: Identity,
    pub(super) clock: DriftingClock,
    pub(super) ledger: Ledger,
    pub(super) rules: DutyRules,
    pub(super) lease: LeaseClock,
    pub(super) absence: AbsenceTracker,
    pub(super) pending: Option<Pending>,
    pub(super) progress: Progress,
    pub(super) paused_until_ms: u64,
    pub(super) disconnected_until_ms: u64,
    pub(super) stopping: bool,
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
            absence: AbsenceTracker::new(),
            pending: None,
            progress: Progress::Idle,
            paused_until_ms: 0,
            disconnected_until_ms: 0,
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

    pub(crate) fn pause_until(&mut self, until_ms: u64) {
        self.paused_until_ms = until_ms;
    }

    pub(crate) fn disconnect_until(&mut self, until_ms: u64) {
        self.disconnected_until_ms = until_ms;
    }

    pub(crate) fn toggle_stopping(&mut self) {
        self.stopping = !self.stopping;
    }

    /// Returns the epoch under which the process considers itself the holder.
    pub(crate) fn authority(&self, now_ms: u64) -> Option<u64> {
        let entry = self.ledger.duty(Duty::Fleet)?;
        if !entry.held_by(&self.identity.name, self.identity.incarnation) {
            return None;
        }
        let leased = self.lease.epoch(self.clock.ms(now_ms))?;
        (leased == entry.epoch).then_some(leased)
    }

    /// Runs the process once: reads from the log, then takes one step.
    pub(crate) fn run(
        &mut self,
        u: &mut Unstructured<'_>,
        environment: &mut Environment<'_>,
        counts: &mut Counts,
    ) -> Result<()> {
        // A process that was paused between the lease check and the write still
        // makes the write when it resumes.
        if let Progress::Checked(attempt) = &self.progress {
            let attempt = attempt.clone();
            self.write(attempt, environment, counts);
            return Ok(());
        }
        let is_disconnected = environment.now_ms < self.disconnected_until_ms;
        if !is_disconnected {
            self.read(u, environment)?;
        }
        if self.pending.is_some() {
            return self.resend(u, environment, is_disconnected);
        }
        if self.step_duty(u, environment, is_disconnected)? {
            return Ok(());
        }
        self.step_order(u, environment, counts)
    }

    /// Applies some of the unread records to the ledger.
    fn read(&mut self, u: &mut Unstructured<'_>, environment: &Environment<'_>) -> Result<()> {
        let max_records = u.int_in_range(0..=40)?;
        for _ in 0..max_records {
            let offset = Offset(self.ledger.applied().0 + 1);
            let Some(record) = environment.log.get(offset) else {
                break;
            };
            let record = record.clone();
            let apply_result = self.ledger.apply(offset, &record);
            self.handle_apply_result(offset, &record, &apply_result);
        }
        Ok(())
    }

    /// Completes the pending append if `record` is the appended one.
    fn handle_apply_result(&mut self, offset: Offset, record: &Record, apply_result: &ApplyResult) {
        let Some(pending) = self.pending.take_if(|pending| pending.record == *record) else {
            return;
        };
        let accepted = apply_result.is_accepted();
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
                self.progress = Progress::Announced(OrderAttempt {
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

    pub(super) fn append(
        &mut self,
        u: &mut Unstructured<'_>,
        environment: &mut Environment<'_>,
        body: Body,
    ) -> Result<()> {
        let record = self.writer.record(body);
        let sent_ms = self.clock.ms(environment.now_ms);
        self.pending = Some(Pending {
            record,
            sent_ms,
            resend_ms: 0,
        });
        let is_disconnected = environment.now_ms < self.disconnected_until_ms;
        self.resend(u, environment, is_disconnected)
    }

    /// Sends the pending record if it is due; the send may be lost or late.
    fn resend(
        &mut self,
        u: &mut Unstructured<'_>,
        environment: &mut Environment<'_>,
        is_disconnected: bool,
    ) -> Result<()> {
        let Some(pending) = &mut self.pending else {
            return Ok(());
        };
        if is_disconnected || environment.now_ms < pending.resend_ms {
            return Ok(());
        }
        pending.resend_ms = environment.now_ms + RESEND_MS;
        let delay_ms = match u.int_in_range(0..=9)? {
            0 => return Ok(()),
            1 => u.int_in_range(100..=4_000)?,
            _ => u.int_in_range(1..=40)?,
        };
        environment
            .log
            .send(environment.now_ms + delay_ms, pending.record.clone());
        Ok(())
    }

    fn step_duty(
        &mut self,
        u: &mut Unstructured<'_>,
        environment: &mut Environment<'_>,
        is_disconnected: bool,
    ) -> Result<bool> {
        let entry = self.ledger.duty(Duty::Fleet).cloned();
        let holder = entry.as_ref().map(|entry| entry.holder.clone());
        let lapsed = holder.filter(|holder| *holder != self.identity.name);
        let input = DutyInput {
            entry: entry.as_ref(),
            is_tail_current: !is_disconnected,
            rank: rank(
                Duty::Fleet,
                &self.identity.name,
                environment.members,
                lapsed.as_deref(),
            ),
            stopping: self.stopping,
            idle: matches!(self.progress, Progress::Idle),
            last_read_ms: self.clock.ms(environment.now_ms),
            now_ms: self.clock.ms(environment.now_ms),
        };
        let body = match self.rules.step(&input) {
            DutyStep::Wait => return Ok(false),
            DutyStep::Claim(claim) => Body::DutyClaim(claim),
            DutyStep::Renew(renewal) => Body::DutyRenewal(renewal),
            DutyStep::Resign(resignation) => {
                self.lease.invalidate(resignation.epoch);
                Body::DutyResignation(resignation)
            }
        };
        self.append(u, environment, body)?;
        Ok(true)
    }
}

fn target_index(name: &str) -> usize {
    match name {
        "plain-1" => 0,
        "plain-2" => 1,
        _ => 2,
    }
}
