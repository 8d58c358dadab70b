//! Tests that the append queue has each record folded once and in order, although
//! responses are lost and batches arrive late or repeatedly.

use std::collections::VecDeque;

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use bytes::Bytes;
use lavenderwind::{
    ledger::ApplyResult,
    log::{
        Error, Offset, Receipt, Result,
        queue::{AppendQueue, MAX_RECORD_BYTES},
        records::{Record, RequestClaim, WindowAcknowledged, record::Body},
    },
};
use prost::Message;
use tokio::{
    sync::oneshot::{self, Receiver, error::TryRecvError},
    time::Instant,
};

/// Number of random steps in a run.
const STEPS: usize = 60;
/// Number of runs, each with its own seed.
const SEEDS: u64 = 400;

fn payload(number: u64) -> Body {
    Body::WindowAcknowledged(WindowAcknowledged { window: number })
}

fn number_of(record: &Record) -> u64 {
    match &record.body {
        Some(Body::WindowAcknowledged(body)) => body.window,
        other => panic!("unexpected body {other:?}"),
    }
}

/// A caller that waits for the result of an append.
struct Waiter {
    number: u64,
    outcome: Receiver<Result<Receipt>>,
}

/// A log that loses responses and receives batches late and repeatedly. It
/// detects duplicates by sequence number, as the ledger does.
#[derive(Default)]
struct FaultyLog {
    records: Vec<Record>,
    last_sequence: u64,
    /// Numbers of the folded records, without duplicates.
    accepted: Vec<u64>,
    /// Number of folded records, including duplicates.
    folded: usize,
    /// Batches without a response, which may be appended later, even repeatedly.
    late: VecDeque<Vec<Bytes>>,
    duplicates: usize,
}

impl FaultyLog {
    fn append(&mut self, batch: &[Bytes]) {
        for record in batch {
            self.records.push(Record::decode(record.clone()).unwrap());
        }
    }

    fn fold_next(&mut self, queue: &mut AppendQueue) -> bool {
        let Some(record) = self.records.get(self.folded) else {
            return false;
        };
        self.folded += 1;
        let apply_result = if record.sequence <= self.last_sequence {
            self.duplicates += 1;
            ApplyResult::Duplicate
        } else {
            self.last_sequence = record.sequence;
            self.accepted.push(number_of(record));
            ApplyResult::Accepted
        };
        // For a duplicate, this must have no effect: the first copy was folded and has
        // already completed the append. Only a rebuild, which this log does not have, can
        // skip the first copy.
        queue.resolve(record.sequence, Offset(self.folded as u64), apply_result);
        true
    }
}

/// How often each kind of event occurred in all runs, to check that the runs cover it.
#[derive(Default)]
struct Counts {
    lost: usize,
    late: usize,
    duplicates: usize,
    cancelled: usize,
    resolved: usize,
}

struct Run {
    queue: AppendQueue,
    log: FaultyLog,
    waiters: Vec<Waiter>,
    cancelled: Vec<u64>,
    in_flight: Option<Vec<Bytes>>,
    next_number: u64,
}

impl Run {
    fn new() -> Self {
        Self {
            queue: AppendQueue::new("a".into(), 1),
            log: FaultyLog::default(),
            waiters: Vec::new(),
            cancelled: Vec::new(),
            in_flight: None,
            next_number: 1,
        }
    }

    fn push(&mut self) {
        let (reply, outcome) = oneshot::channel();
        self.queue.push(payload(self.next_number), reply);
        self.waiters.push(Waiter {
            number: self.next_number,
            outcome,
        });
        self.next_number += 1;
    }

    fn send(&mut self) {
        if self.in_flight.is_some() || !self.queue.has_batch() {
            return;
        }
        let batch = self.queue.next_batch(Instant::now());
        if !batch.is_empty() {
            self.in_flight = Some(batch);
        }
    }

    /// Performs a random step.
    fn step(&mut self, input: &mut Unstructured<'_>, counts: &mut Counts) -> arbitrary::Result<()> {
        match input.int_in_range(0..=8)? {
            0 | 1 => self.push(),
            2 => self.send(),
            3 => {
                if let Some(batch) = self.in_flight.take() {
                    self.log.append(&batch);
                    self.queue.acknowledge();
                }
            }
            4 => {
                // The batch is appended and the response is lost.
                if let Some(batch) = self.in_flight.take() {
                    self.log.append(&batch);
                    counts.lost += 1;
                }
            }
            5 => {
                // There is no response, and the batch may be appended later.
                if let Some(batch) = self.in_flight.take() {
                    self.log.late.push_back(batch);
                    counts.lost += 1;
                }
            }
            6 => {
                let index = input.choose_index(self.log.late.len().max(1))?;
                if let Some(batch) = self.log.late.get(index).cloned() {
                    self.log.append(&batch);
                    counts.late += 1;
                }
            }
            7 => {
                self.log.fold_next(&mut self.queue);
            }
            _ => {
                let index = input.choose_index(self.waiters.len().max(1))?;
                if index < self.waiters.len() {
                    self.cancelled.push(self.waiters.swap_remove(index).number);
                }
            }
        }
        Ok(())
    }

    /// Delivers and folds all remaining records, without faults.
    fn deliver_all(&mut self) {
        self.in_flight = None;
        while self.queue.has_batch() {
            let batch = self.queue.next_batch(Instant::now());
            self.log.append(&batch);
            self.queue.acknowledge();
            while self.log.fold_next(&mut self.queue) {}
        }
        while self.log.fold_next(&mut self.queue) {}
    }

    /// Checks that each record whose caller still waits was folded once, in order and at
    /// the offset in its receipt.
    fn check(mut self, counts: &mut Counts) {
        let accepted = &self.log.accepted;
        assert!(
            accepted.is_sorted_by(|a, b| a < b),
            "folded out of order or twice: {accepted:?}"
        );
        for waiter in &mut self.waiters {
            let receipt = match waiter.outcome.try_recv() {
                Ok(outcome) => outcome.unwrap(),
                Err(TryRecvError::Empty | TryRecvError::Closed) => {
                    panic!("record {} was not resolved", waiter.number)
                }
            };
            assert_eq!(receipt.apply_result, ApplyResult::Accepted);
            let at_offset = &self.log.records[receipt.offset.0 as usize - 1];
            assert_eq!(number_of(at_offset), waiter.number);
            counts.resolved += 1;
        }
        for number in &self.cancelled {
            counts.cancelled += usize::from(!accepted.contains(number));
        }
        counts.duplicates += self.log.duplicates;
        assert_eq!(self.queue.outstanding(), 0);
    }
}

#[test]
fn folded_in_order() {
    let mut counts = Counts::default();
    for seed in 0..SEEDS {
        // The lower half of an arbtest seed is the size of the generated input, here
        // 1,024 bytes. The upper half seeds the generator.
        arbtest(|input| {
            let mut run = Run::new();
            for _ in 0..STEPS {
                run.step(input, &mut counts)?;
            }
            run.deliver_all();
            run.check(&mut counts);
            Ok(())
        })
        .seed(seed << 32 | 0x400);
    }
    assert!(counts.lost > 1_000, "lost responses: {}", counts.lost);
    assert!(counts.late > 500, "late batches: {}", counts.late);
    assert!(
        counts.duplicates > 1_000,
        "duplicates: {}",
        counts.duplicates
    );
    assert!(
        counts.cancelled > 200,
        "cancelled before a send: {}",
        counts.cancelled
    );
    assert!(counts.resolved > 2_000, "resolved: {}", counts.resolved);
}

#[test]
fn unacknowledged_resent_first() {
    let mut queue = AppendQueue::new("a".into(), 1);
    let mut outcomes = Vec::new();
    for number in 1..=3 {
        let (reply, outcome) = oneshot::channel();
        queue.push(payload(number), reply);
        outcomes.push(outcome);
    }
    let first = queue.next_batch(Instant::now());
    let (reply, _late) = oneshot::channel();
    queue.push(payload(4), reply);
    let second = queue.next_batch(Instant::now());
    assert_eq!(second[..3], first[..]);
    assert_eq!(second.len(), 4);
    queue.acknowledge();
    assert!(!queue.has_batch());
}

/// A record is not sent if its caller no longer waits.
#[test]
fn dropped_not_sent() {
    let mut queue = AppendQueue::new("a".into(), 1);
    let (reply, outcome) = oneshot::channel();
    queue.push(payload(1), reply);
    drop(outcome);
    assert!(queue.next_batch(Instant::now()).is_empty());
    assert!(!queue.has_batch());
}

#[test]
fn oversized_record_refused() {
    let mut queue = AppendQueue::new("a".into(), 1);
    let (reply, mut outcome) = oneshot::channel();
    let body = Body::RequestClaim(RequestClaim {
        account: "a".repeat(MAX_RECORD_BYTES),
        ..RequestClaim::default()
    });
    queue.push(body, reply);
    assert!(queue.next_batch(Instant::now()).is_empty());
    let refusal = outcome.try_recv().unwrap().unwrap_err();
    assert!(matches!(refusal, Error::TooLarge { .. }), "{refusal}");
}

/// After a rebuild, the result of an append that proves to be a duplicate is unknown.
#[test]
fn rebuild_duplicate_unresolved() {
    let mut queue = AppendQueue::new("a".into(), 1);
    let (reply, mut outcome) = oneshot::channel();
    queue.push(payload(1), reply);
    let first = queue.next_batch(Instant::now());
    queue.acknowledge();
    queue.resend_all();
    assert_eq!(queue.next_batch(Instant::now()), first);
    queue.resolve(1, Offset(9), ApplyResult::Duplicate);
    let refusal = outcome.try_recv().unwrap().unwrap_err();
    assert!(matches!(refusal, Error::Unresolved), "{refusal}");
}
