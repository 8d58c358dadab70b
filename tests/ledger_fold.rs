//! All instances compute the same ledger from the same prefix of the log, for
//! arbitrary interleavings of their records.

mod interleaving;
mod records;

use arbtest::arbtest;
use interleaving::{Counts, Simulation};
use lavenderwind::{
    ledger::{ApplyResult, ClaimState},
    log::{
        Offset,
        records::{Duty, Record, record::Body},
    },
};
use records::{Fold, Writer, checkpoint_mark, claim_duty, claim_request, expire_records};

const SEEDS: u64 = 160;
/// Size of the random input of one run, in bytes.
const INPUT_BYTES: u64 = 0x2000;

#[test]
fn any_interleaving() {
    let mut counts = Counts::default();
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut simulation = Simulation::new();
            // `finish` uses the last 32 bytes of the random input.
            while u.len() > 32 {
                simulation.step(u, &mut counts)?;
            }
            simulation.finish(u, &mut counts)
        })
        .seed((0x5eed_0000 + seed) << 32 | INPUT_BYTES);
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
        counts.rebuilt,
        counts.incomplete,
    ] {
        assert!(
            reached >= 100,
            "a state was reached fewer than 100 times: {counts:?}"
        );
    }
    assert!(counts.late_slices >= 50, "late slices: {counts:?}");
}

/// A record at an applied offset is ignored, and one after a gap is rejected.
#[test]
fn gap_rejected() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    let record = writer.record(claim_duty(&fold.ledger, Duty::Fleet));
    assert_eq!(fold.push_record(&record), ApplyResult::Accepted);
    let digest = fold.ledger.digest();
    assert_eq!(
        fold.ledger.apply(Offset(1), &record),
        ApplyResult::Duplicate
    );
    assert!(matches!(
        fold.ledger.apply(Offset(3), &record),
        ApplyResult::Rejected(_)
    ));
    assert_eq!(fold.ledger.digest(), digest);
    assert_eq!(fold.ledger.applied(), Offset(1));
}

/// An unreadable record is rejected, but advances the applied offset.
#[test]
fn unreadable_record_skipped() {
    let mut fold = Fold::default();
    let apply_result = fold.push_record(&Record::default());
    assert!(matches!(apply_result, ApplyResult::Rejected(_)));
    assert_eq!(fold.ledger.applied(), Offset(1));
}

#[test]
fn differing_checkpoint_rejected() {
    let mut fold = Fold::default();
    let mut writer = Writer::new("entry-1");
    let epoch = fold.take_over(&mut writer, Duty::Checkpoint);
    fold.accept(&mut writer, checkpoint_mark(epoch));
    let mut chunk = fold.ledger.checkpoint().unwrap().chunks().remove(0);
    fold.accept(&mut writer, Body::CheckpointChunk(chunk.clone()));
    chunk.digest[0] ^= 1;
    let apply_result = fold.push(&mut writer, Body::CheckpointChunk(chunk));
    let ApplyResult::Rejected(rejection) = apply_result else {
        panic!("{apply_result:?}");
    };
    assert_eq!(
        rejection.to_string(),
        "the checkpoint at offset 2 differs from this ledger"
    );
}

/// Old writers and claims expire.
#[test]
fn old_entries_expire() {
    let mut fold = Fold::default();
    let mut holder = Writer::new("entry-1");
    for number in 0..50 {
        let mut operator = Writer::new(&format!("publish-{number}"));
        let body = claim_request("steel/nave", &format!("order-{number}"), &[1]);
        fold.accept(&mut operator, body);
    }
    assert_eq!(fold.ledger.writer_count(), 50);
    let epoch = fold.take_over(&mut holder, Duty::Checkpoint);
    fold.accept(&mut holder, expire_records(epoch, 40));
    assert_eq!(fold.ledger.writer_count(), 11);
    assert_eq!(fold.ledger.claim_count(), 10);
    let kept = fold.ledger.claim("steel/nave", "order-45").unwrap();
    assert_eq!(kept.state, ClaimState::Running);
}
