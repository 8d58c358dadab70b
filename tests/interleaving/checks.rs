//! Checks of the ledger against an independent model of the expected state.

use std::collections::{BTreeMap, BTreeSet};

use lavenderwind::{
    ledger::{ApplyResult, Ledger},
    log::{
        Offset, Rebuilder,
        records::{Duty, OrderIntent, Record, UsageLine, record::Body},
    },
    service::Document,
};

use super::{CHUNK_BYTES, Counts, Simulation};
use crate::records::{Writer, key_digest};

const DUTIES: [Duty; 3] = [Duty::Fleet, Duty::Usage, Duty::Checkpoint];

#[derive(Debug, Eq, PartialEq)]
struct Holder {
    epoch: u64,
    writer: String,
    incarnation: u64,
}

impl Holder {
    fn new(epoch: u64, record: &Record) -> Self {
        Self {
            epoch,
            writer: record.writer.clone(),
            incarnation: record.incarnation,
        }
    }
}

/// Identity of a record or usage slice, which may be appended more than once.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Repeatable {
    name: String,
    incarnation: u64,
    /// Sequence number of the record, or number of the slice.
    number: u64,
}

/// Expected state, computed independently of the ledger.
#[derive(Default)]
pub(super) struct Oracle {
    holders: BTreeMap<i32, Holder>,
    /// Offsets of the claims on requests, by idempotency key.
    claims: BTreeMap<String, u64>,
    revisions: BTreeMap<String, u64>,
    /// Secrets of the revoked keys.
    revoked: BTreeSet<u8>,
    /// Offsets of accepted records.
    records: BTreeMap<Repeatable, u64>,
    /// Offsets of counted usage slices.
    slices: BTreeMap<Repeatable, u64>,
    /// Open intents by target.
    intents: BTreeMap<String, OrderIntent>,
    /// Usage of closed windows.
    closed_usage: BTreeMap<u64, Vec<UsageLine>>,
    counted_requests: u64,
    reported_requests: u64,
}

impl Oracle {
    fn expire(&mut self, up_to: u64) {
        self.claims.retain(|_, claimed| *claimed > up_to);
        remove_inactive(&mut self.records, up_to);
        remove_inactive(&mut self.slices, up_to);
    }
}

/// Removes the entries of incarnations without an entry after offset `up_to`.
fn remove_inactive(entries: &mut BTreeMap<Repeatable, u64>, up_to: u64) {
    let mut active = BTreeSet::new();
    for (entry, offset) in entries.iter() {
        if *offset > up_to {
            active.insert((entry.name.clone(), entry.incarnation));
        }
    }
    entries.retain(|entry, _| active.contains(&(entry.name.clone(), entry.incarnation)));
}

impl Simulation {
    pub(super) fn check(
        &mut self,
        before: &Ledger,
        offset: Offset,
        record: &Record,
        apply_result: &ApplyResult,
        counts: &mut Counts,
    ) {
        let Some(body) = &record.body else {
            return;
        };
        if *apply_result == ApplyResult::Duplicate {
            counts.duplicates += 1;
        }
        if !apply_result.is_accepted() {
            self.check_not_accepted(before, body, apply_result, counts);
            return;
        }
        self.check_accepted(offset, record, body, counts);
        self.check_services();
    }

    fn check_not_accepted(
        &self,
        before: &Ledger,
        body: &Body,
        apply_result: &ApplyResult,
        counts: &mut Counts,
    ) {
        // A record that was not accepted changes no duty, window, claim or service.
        for duty in DUTIES {
            assert_eq!(before.duty(duty), self.reference.duty(duty));
        }
        assert_eq!(before.open_window(), self.reference.open_window());
        assert_eq!(before.claim_count(), self.reference.claim_count());
        assert_eq!(
            before.configured_offset(),
            self.reference.configured_offset()
        );
        let ApplyResult::Rejected(rejection) = apply_result else {
            return;
        };
        match body {
            Body::DutyClaim(_) => counts.duties_refused += 1,
            Body::OrderIntent(_) => counts.intents_refused += 1,
            Body::RequestClaim(_) => counts.claims_lost += 1,
            Body::ServiceRevision(_) if rejection.to_string().contains("was revoked") => {
                counts.revived_keys_refused += 1;
            }
            Body::ServiceRevision(_) => counts.conflicts += 1,
            _ => {}
        }
    }

    fn check_accepted(
        &mut self,
        offset: Offset,
        record: &Record,
        body: &Body,
        counts: &mut Counts,
    ) {
        let repeatable = Repeatable {
            name: record.writer.clone(),
            incarnation: record.incarnation,
            number: record.sequence,
        };
        let earlier = self.oracle.records.insert(repeatable, offset.0);
        assert_eq!(earlier, None, "a repeated record took effect");
        match body {
            Body::DutyClaim(claim) => {
                counts.duties_taken += 1;
                let holder = Holder::new(offset.0, record);
                self.oracle.holders.insert(claim.duty, holder);
            }
            Body::DutyRenewal(renewal) => self.check_holder(renewal.duty, renewal.epoch, record),
            Body::DutyResignation(resignation) => {
                self.check_holder(resignation.duty, resignation.epoch, record);
                self.oracle.holders.remove(&resignation.duty);
            }
            Body::OrderIntent(intent) => {
                counts.intents += 1;
                self.check_holder(intent.duty, intent.epoch, record);
                let open = self.reference.intent(&intent.target).unwrap();
                let target = intent.target.clone();
                let earlier = self.oracle.intents.insert(target, intent.clone());
                assert_eq!(earlier.is_some(), open.offset != offset);
                if let Some(earlier) = earlier {
                    counts.adoptions += 1;
                    assert!(open.adopted && earlier.epoch < intent.epoch);
                    assert_eq!(earlier.order, intent.order, "another order was adopted");
                }
            }
            Body::OrderResolved(resolved) => {
                let closed = self.oracle.intents.remove(&resolved.target);
                assert!(closed.is_some(), "an intent was closed twice");
            }
            Body::RequestClaim(claim) => {
                counts.claims_won += 1;
                let earlier = self
                    .oracle
                    .claims
                    .insert(claim.idempotency_key.clone(), offset.0);
                assert_eq!(earlier, None, "a second claim was accepted");
            }
            Body::RequestRelease(release) => {
                counts.releases += 1;
                let claimed = self.oracle.claims.remove(&release.idempotency_key);
                assert_eq!(claimed, Some(release.claim_offset));
            }
            Body::ServiceRevision(revision) => {
                counts.revisions += 1;
                let current = self
                    .oracle
                    .revisions
                    .entry(revision.service.clone())
                    .or_default();
                assert_eq!(*current, revision.base_revision, "a revision was reverted");
                *current += 1;
                self.record_revoked_keys(&revision.document);
            }
            Body::UsageSlice(slice) => {
                let repeatable = Repeatable {
                    name: slice.source.clone(),
                    incarnation: slice.source_incarnation,
                    number: slice.slice,
                };
                let earlier = self.oracle.slices.insert(repeatable, offset.0);
                assert_eq!(earlier, None, "a slice was counted twice");
                for line in &slice.lines {
                    self.oracle.counted_requests += line.requests;
                }
            }
            Body::WindowClose(close) => {
                counts.windows_closed += 1;
                self.check_holder(Duty::Usage.into(), close.epoch, record);
                self.check_close(close.window, counts);
            }
            Body::Expire(expire) => {
                counts.expiries += 1;
                self.check_holder(Duty::Checkpoint.into(), expire.epoch, record);
                self.oracle.expire(expire.up_to_offset);
            }
            Body::CheckpointMark(mark) => {
                counts.checkpoints += 1;
                self.check_holder(Duty::Checkpoint.into(), mark.epoch, record);
                self.check_checkpoint(offset, record);
            }
            Body::CrashSuspect(suspect) => {
                let quarantined = self
                    .reference
                    .is_quarantined(&suspect.account, &suspect.body_digest);
                counts.quarantines += u32::from(quarantined);
            }
            _ => {}
        }
        self.check_closed_windows();
    }

    fn check_holder(&self, duty: i32, epoch: u64, record: &Record) {
        let expected = Holder::new(epoch, record);
        assert_eq!(self.oracle.holders.get(&duty), Some(&expected));
    }

    fn record_revoked_keys(&mut self, document: &str) {
        let document = Document::parse(document).unwrap();
        for key in &document.accounts[0].keys {
            if key.revoked {
                self.oracle.revoked.insert(key.digest().unwrap()[0]);
            }
        }
    }

    fn check_services(&self) {
        for secret in &self.oracle.revoked {
            assert_eq!(self.reference.key(&key_digest(*secret)), None);
        }
        for (service, revision) in &self.oracle.revisions {
            let entry = self.reference.service(service);
            assert_eq!(entry.map_or(0, |entry| entry.revision), *revision);
        }
    }

    fn check_close(&mut self, window: u64, counts: &mut Counts) {
        for entry in self.reference.unacknowledged_windows() {
            if entry.window != window {
                continue;
            }
            counts.late_slices += entry.late_slices;
            let lines = entry.lines();
            for line in &lines {
                self.oracle.reported_requests += line.requests;
            }
            let earlier = self.oracle.closed_usage.insert(window, lines);
            assert_eq!(earlier, None, "a window was closed twice");
        }
    }

    fn check_closed_windows(&self) {
        for entry in self.reference.unacknowledged_windows() {
            let fixed = self.oracle.closed_usage.get(&entry.window);
            assert_eq!(fixed, Some(&entry.lines()), "a closed window changed");
        }
    }

    /// Checks that a ledger rebuilt from the mark and its chunks in reverse order
    /// equals the ledger folded from the start of the log.
    fn check_checkpoint(&self, offset: Offset, record: &Record) {
        let checkpoint = self.reference.checkpoint().unwrap();
        assert_eq!(checkpoint.offset, offset);
        let mut writer = Writer::new(&record.writer);
        writer.incarnation = record.incarnation;
        writer.sequence = record.sequence;
        let mut folded = self.reference.clone();
        let mut rebuilder = Rebuilder::new(offset);
        rebuilder.push(record.clone());
        for chunk in checkpoint.chunks_of(CHUNK_BYTES).into_iter().rev() {
            assert!(!rebuilder.is_complete() || offset == Offset(1));
            let record = writer.record(Body::CheckpointChunk(chunk));
            folded.apply(rebuilder.next_offset(), &record);
            rebuilder.push(record);
        }
        let rebuilt = rebuilder.finish().unwrap();
        assert_eq!(rebuilt.applied(), folded.applied());
        assert_eq!(rebuilt.digest(), folded.digest());
    }

    /// Checks that the number of counted requests equals the number reported in
    /// closed windows plus the number in windows that are not closed.
    pub(super) fn check_usage_sum(&self) {
        let open = self.reference.open_window();
        let mut unclosed = 0;
        for window in open..=open + 1 {
            let Some(entry) = self.reference.window(window) else {
                continue;
            };
            for line in entry.lines() {
                unclosed += line.requests;
            }
        }
        let reported = self.oracle.reported_requests;
        assert_eq!(self.oracle.counted_requests, reported + unclosed);
    }
}
