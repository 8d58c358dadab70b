//! One ledger for one prefix, for arbitrary interleavings of records.

mod records;

use std::collections::{BTreeMap, BTreeSet};

use arbtest::{arbitrary, arbitrary::Unstructured, arbtest};
use lavenderwind::{
    ledger::{ClaimState, Ledger, Verdict},
    log::{
        Offset, Rebuilder,
        records::{Duty, EngineRole, OrderIntent, Record, UsageLine, record::Body},
    },
};
use records::{
    Fold, KeyLine, Writer, acknowledged, claim_duty, claim_request, close, document, expire,
    intent, key_digest, mark, outcome, release, renew, resign, resolved, revise, slice, suspect,
};

const SEEDS: u64 = 160;
const SEED_SIZE: u64 = 0x2000;
const DUTIES: [Duty; 3] = [Duty::Fleet, Duty::Usage, Duty::Checkpoint];
const SERVICES: [&str; 2] = ["swaps", "steel"];
const TARGETS: [&str; 2] = ["engine-1", "engine-2"];

type Arbitrary<T> = arbitrary::Result<T>;

/// How often interesting states were reached.
#[derive(Debug, Default)]
struct Counts {
    duties_taken: u32,
    duties_refused: u32,
    intents: u32,
    intents_refused: u32,
    adoptions: u32,
    claims_won: u32,
    claims_lost: u32,
    releases: u32,
    revisions: u32,
    conflicts: u32,
    revived_keys_refused: u32,
    duplicates: u32,
    windows_closed: u32,
    late_slices: u64,
    checkpoints: u32,
    expiries: u32,
    quarantines: u32,
    restarts: u32,
}

/// An instance with its own copy of the ledger, which may lag.
struct Instance {
    writer: Writer,
    ledger: Ledger,
    last: Option<Record>,
    slices: u64,
}

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

/// A numbered record or slice of one start of an instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Repeatable {
    name: String,
    incarnation: u64,
    number: u64,
}

/// What must hold, kept independently of the ledger.
#[derive(Default)]
struct Oracle {
    holders: BTreeMap<i32, Holder>,
    claims: BTreeMap<String, u64>,
    revisions: BTreeMap<String, u64>,
    revoked: BTreeSet<u8>,
    /// Accepted records and slices, with their offsets.
    records: BTreeMap<Repeatable, u64>,
    slices: BTreeMap<Repeatable, u64>,
    /// Open intents by target.
    intents: BTreeMap<String, OrderIntent>,
    figures: BTreeMap<u64, Vec<UsageLine>>,
    counted_requests: u64,
    reported_requests: u64,
}

impl Oracle {
    fn expire(&mut self, up_to: u64) {
        self.claims.retain(|_, claimed| *claimed > up_to);
        forget_quiet(&mut self.records, up_to);
        forget_quiet(&mut self.slices, up_to);
    }
}

/// Drops what came from sources without a later entry.
fn forget_quiet(entries: &mut BTreeMap<Repeatable, u64>, up_to: u64) {
    let mut active = BTreeSet::new();
    for (entry, offset) in entries.iter() {
        if *offset > up_to {
            active.insert((entry.name.clone(), entry.incarnation));
        }
    }
    entries.retain(|entry, _| active.contains(&(entry.name.clone(), entry.incarnation)));
}

struct World {
    log: Vec<Record>,
    reference: Ledger,
    instances: Vec<Instance>,
    oracle: Oracle,
}

impl World {
    fn new() -> Self {
        let mut instances = Vec::new();
        for name in ["entry-1", "entry-2", "entry-3"] {
            instances.push(Instance {
                writer: Writer::new(name),
                ledger: Ledger::new(),
                last: None,
                slices: 0,
            });
        }
        Self {
            log: Vec::new(),
            reference: Ledger::new(),
            instances,
            oracle: Oracle::default(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>, counts: &mut Counts) -> Arbitrary<()> {
        let index = u.choose_index(self.instances.len())?;
        match u.int_in_range(0..=9)? {
            0..=2 => self.read(u, index)?,
            3 if u.ratio(1, 4)? => {
                counts.restarts += 1;
                self.instances[index].writer.restart();
                self.instances[index].slices = 0;
            }
            3 => {
                // An append whose answer was lost is repeated.
                let Some(record) = self.instances[index].last.clone() else {
                    return Ok(());
                };
                self.append(record, counts);
            }
            _ => {
                let instance = &mut self.instances[index];
                let body = arbitrary_body(u, instance)?;
                let record = instance.writer.record(body);
                instance.last = Some(record.clone());
                self.append(record, counts);
            }
        }
        Ok(())
    }

    /// Folds some of the records that an instance has not read.
    fn read(&mut self, u: &mut Unstructured<'_>, index: usize) -> Arbitrary<()> {
        let instance = &mut self.instances[index];
        let unread = self.log.len() - instance.ledger.applied().0 as usize;
        let count = u.int_in_range(0..=unread.min(20))?;
        for _ in 0..count {
            let offset = instance.ledger.applied().0 + 1;
            instance
                .ledger
                .apply(Offset(offset), &self.log[offset as usize - 1]);
        }
        Ok(())
    }

    fn append(&mut self, record: Record, counts: &mut Counts) {
        let offset = Offset(self.log.len() as u64 + 1);
        let before = self.reference.clone();
        let verdict = self.reference.apply(offset, &record);
        self.log.push(record.clone());
        self.check(&before, offset, &record, &verdict, counts);
    }

    fn check(
        &mut self,
        before: &Ledger,
        offset: Offset,
        record: &Record,
        verdict: &Verdict,
        counts: &mut Counts,
    ) {
        let Some(body) = &record.body else {
            return;
        };
        if *verdict == Verdict::Duplicate {
            counts.duplicates += 1;
        }
        if !verdict.is_accepted() {
            self.check_refused(before, body, verdict, counts);
            return;
        }
        self.check_accepted(offset, record, body, counts);
        self.check_services();
    }

    fn check_refused(&self, before: &Ledger, body: &Body, verdict: &Verdict, counts: &mut Counts) {
        // What is refused changes no agreement.
        for duty in DUTIES {
            assert_eq!(before.duty(duty), self.reference.duty(duty));
        }
        assert_eq!(before.window_open(), self.reference.window_open());
        assert_eq!(before.claim_count(), self.reference.claim_count());
        assert_eq!(before.configured_at(), self.reference.configured_at());
        let Verdict::Rejected(rejection) = verdict else {
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
                self.note_revoked(&revision.document);
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
                    .quarantined(&suspect.account, &suspect.body_digest);
                counts.quarantines += u32::from(quarantined);
            }
            _ => {}
        }
        self.check_figures();
    }

    fn check_holder(&self, duty: i32, epoch: u64, record: &Record) {
        let expected = Holder::new(epoch, record);
        assert_eq!(self.oracle.holders.get(&duty), Some(&expected));
    }

    fn note_revoked(&mut self, document: &str) {
        let document = lavenderwind::service::Document::parse(document).unwrap();
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
        for entry in self.reference.windows_unacknowledged() {
            if entry.window != window {
                continue;
            }
            counts.late_slices += entry.late_slices;
            let lines = entry.lines();
            for line in &lines {
                self.oracle.reported_requests += line.requests;
            }
            let earlier = self.oracle.figures.insert(window, lines);
            assert_eq!(earlier, None, "a window was closed twice");
        }
    }

    fn check_figures(&self) {
        for entry in self.reference.windows_unacknowledged() {
            let fixed = self.oracle.figures.get(&entry.window);
            assert_eq!(fixed, Some(&entry.lines()), "a closed window changed");
        }
    }

    /// A ledger rebuilt from the mark and its chunks, which come in another
    /// order, equals the one that was folded from the start.
    fn check_checkpoint(&self, offset: Offset, record: &Record) {
        let checkpoint = self.reference.checkpoint().unwrap();
        assert_eq!(checkpoint.offset, offset);
        let mut writer = Writer::new(&record.writer);
        writer.incarnation = record.incarnation;
        writer.sequence = record.sequence;
        let mut folded = self.reference.clone();
        let mut rebuilder = Rebuilder::new(offset);
        rebuilder.push(record.clone());
        for chunk in checkpoint.chunks().into_iter().rev() {
            assert!(!rebuilder.is_complete() || offset == Offset(1));
            let record = writer.record(Body::CheckpointChunk(chunk));
            folded.apply(rebuilder.next_offset(), &record);
            rebuilder.push(record);
        }
        let rebuilt = rebuilder.finish().unwrap();
        assert_eq!(rebuilt.applied(), folded.applied());
        assert_eq!(rebuilt.digest(), folded.digest());
    }

    /// All instances that read the whole log have the same ledger, and so has
    /// one that was rebuilt from any prefix.
    fn finish(&mut self, u: &mut Unstructured<'_>) -> Arbitrary<()> {
        let cut = u.int_in_range(0..=self.log.len())?;
        let mut prefix = Ledger::new();
        for (index, record) in self.log[..cut].iter().enumerate() {
            prefix.apply(Offset(index as u64 + 1), record);
        }
        let mut rebuilt = Ledger::decode(&prefix.encode()).unwrap();
        for (index, record) in self.log.iter().enumerate().skip(cut) {
            rebuilt.apply(Offset(index as u64 + 1), record);
        }
        assert_eq!(rebuilt.encode(), self.reference.encode());
        for instance in &mut self.instances {
            let ledger = &mut instance.ledger;
            for (index, record) in self.log.iter().enumerate() {
                ledger.apply(Offset(index as u64 + 1), record);
            }
            assert_eq!(ledger.digest(), self.reference.digest());
        }
        self.check_usage_sum();
        Ok(())
    }

    /// What was counted is reported once, or waits in an open window.
    fn check_usage_sum(&self) {
        let open = self.reference.window_open();
        let mut waiting = 0;
        for window in open..=open + 1 {
            let Some(entry) = self.reference.window(window) else {
                continue;
            };
            for line in entry.lines() {
                waiting += line.requests;
            }
        }
        let reported = self.oracle.reported_requests;
        assert_eq!(self.oracle.counted_requests, reported + waiting);
    }
}

/// Picks a record that the instance may write, from what it knows.
fn arbitrary_body(u: &mut Unstructured<'_>, instance: &mut Instance) -> Arbitrary<Body> {
    let duty = *u.choose(&DUTIES)?;
    let epoch = |duty| instance.ledger.duty(duty).map_or(0, |entry| entry.epoch);
    let target = *u.choose(&TARGETS)?;
    let key = format!("order-{}", u.int_in_range(0..=5)?);
    let claim = instance.ledger.claim("steel/nave", &key);
    let claim_offset = claim.map_or(0, |entry| entry.offset.0);
    Ok(match u.int_in_range(0..=18)? {
        0 | 1 => claim_duty(&instance.ledger, duty),
        2 => renew(duty, epoch(duty)),
        3 => resign(duty, epoch(duty)),
        4 | 17 => {
            let role = *u.choose(&[EngineRole::Prefill, EngineRole::Decode])?;
            intent(target, epoch(Duty::Fleet), role)
        }
        5 => {
            let open = instance.ledger.intent(target);
            resolved(target, open.map_or(0, |entry| entry.offset.0), true)
        }
        6 | 7 => claim_request("steel/nave", &key, &[u.int_in_range(0..=1)?]),
        8 => release("steel/nave", &key, claim_offset),
        9 => outcome("steel/nave", &key, claim_offset, "done"),
        10 | 11 => arbitrary_revision(u, &instance.ledger)?,
        12 | 13 => arbitrary_slice(u, instance)?,
        14 => close(instance.ledger.window_open(), epoch(Duty::Usage)),
        15 => acknowledged(u.int_in_range(1..=instance.ledger.window_open())?),
        16 => {
            let applied = instance.ledger.applied().0;
            let up_to = u.int_in_range(0..=applied)?;
            if u.ratio(1, 3)? {
                expire(epoch(Duty::Checkpoint), up_to / 2)
            } else {
                mark(epoch(Duty::Checkpoint))
            }
        }
        _ => suspect("swaps/pokhara", &[7], target, "boot-1"),
    })
}

fn arbitrary_revision(u: &mut Unstructured<'_>, ledger: &Ledger) -> Arbitrary<Body> {
    let service = *u.choose(&SERVICES)?;
    let mut keys = Vec::new();
    for id in 0..u.int_in_range(0..=2)? {
        // The two services draw from separate secrets most of the time.
        let shift = if service == "steel" { 4 } else { 0 };
        let secret = u.int_in_range(1..=5)? + shift;
        if keys.iter().any(|key: &KeyLine| key.secret == secret) {
            continue;
        }
        keys.push(KeyLine {
            id,
            secret,
            revoked: u.ratio(1, 4)?,
        });
    }
    let base = ledger.service(service).map_or(0, |entry| entry.revision);
    Ok(revise(service, base, &document(service, &keys)))
}

fn arbitrary_slice(u: &mut Unstructured<'_>, instance: &mut Instance) -> Arbitrary<Body> {
    let fresh = u.ratio(3, 4)? || instance.slices == 0;
    if fresh {
        instance.slices += 1;
    }
    let number = if fresh {
        instance.slices
    } else {
        u.int_in_range(1..=instance.slices)?
    };
    let window = instance.ledger.window_open();
    let requests = u.int_in_range(1..=9)?;
    let Body::UsageSlice(mut slice) = slice(&instance.writer.name, number, window, requests) else {
        unreachable!();
    };
    slice.source_incarnation = instance.writer.incarnation;
    Ok(Body::UsageSlice(slice))
}

#[test]
fn any_interleaving() {
    let mut counts = Counts::default();
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut world = World::new();
            while u.len() > 16 {
                world.step(u, &mut counts)?;
            }
            world.finish(u)
        })
        .seed((0x5eed_0000 + seed) << 32 | SEED_SIZE);
    }
    println!("{counts:?}");
    for reached in [
        counts.duties_taken,
        counts.duties_refused,
        counts.intents,
        counts.intents_refused,
        counts.adoptions,
        counts.claims_won,
        counts.claims_lost,
        counts.releases,
        counts.revisions,
        counts.conflicts,
        counts.revived_keys_refused,
        counts.duplicates,
        counts.windows_closed,
        counts.checkpoints,
        counts.expiries,
        counts.quarantines,
        counts.restarts,
    ] {
        assert!(reached >= 100, "a state is rarely reached: {counts:?}");
    }
    assert!(counts.late_slices >= 50, "{counts:?}");
}

#[test]
fn repeated_offset() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    let record = writer.record(claim_duty(&fold.ledger, Duty::Fleet));
    assert_eq!(fold.push_record(&record), Verdict::Accepted);
    let digest = fold.ledger.digest();
    assert_eq!(fold.ledger.apply(Offset(1), &record), Verdict::Duplicate);
    assert!(matches!(
        fold.ledger.apply(Offset(3), &record),
        Verdict::Rejected(_)
    ));
    assert_eq!(fold.ledger.digest(), digest);
    assert_eq!(fold.ledger.applied(), Offset(1));
}

#[test]
fn unreadable_record() {
    let mut fold = Fold::default();
    let verdict = fold.push_record(&Record::default());
    assert!(matches!(verdict, Verdict::Rejected(_)));
    assert_eq!(fold.ledger.applied(), Offset(1));
}

#[test]
fn differing_checkpoint() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    let epoch = fold.take_over(&mut writer, Duty::Checkpoint);
    fold.accept(&mut writer, mark(epoch));
    let mut chunk = fold.ledger.checkpoint().unwrap().chunks().remove(0);
    fold.accept(&mut writer, Body::CheckpointChunk(chunk.clone()));
    chunk.digest[0] ^= 1;
    let verdict = fold.push(&mut writer, Body::CheckpointChunk(chunk));
    let Verdict::Rejected(rejection) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(
        rejection.to_string(),
        "the checkpoint at offset 2 differs from this ledger"
    );
}

#[test]
fn writers_expire() {
    let mut fold = Fold::default();
    let mut holder = Writer::new("entry-1");
    for number in 0..50 {
        let mut operator = Writer::new(&format!("publish-{number}"));
        let body = claim_request("steel/nave", &format!("order-{number}"), &[1]);
        fold.accept(&mut operator, body);
    }
    assert_eq!(fold.ledger.writer_count(), 50);
    let epoch = fold.take_over(&mut holder, Duty::Checkpoint);
    fold.accept(&mut holder, expire(epoch, 40));
    assert_eq!(fold.ledger.writer_count(), 11);
    assert_eq!(fold.ledger.claim_count(), 10);
    let kept = fold.ledger.claim("steel/nave", "order-45").unwrap();
    assert_eq!(kept.state, ClaimState::Running);
}
