//! Time to apply records to a ledger, to revise a service document and to encode or
//! decode a checkpoint, and memory of a ledger.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use lavenderwind::{
    ledger::Ledger,
    log::{
        Offset,
        records::{
            Duty, DutyClaim, DutyRenewal, EngineOrder, EngineRole, OrderIntent, Record,
            RequestClaim, RequestOutcome, ServiceRevision, SetRole, UsageLine, UsageSlice,
            engine_order::Action, order_intent::Order, record::Body,
        },
    },
    service::Document,
};
use prost::Message;

/// Numbers of client accounts with which revisions are measured. The last one is the
/// largest number of accounts, with one key each, that fits into one document.
const ACCOUNTS: [usize; 4] = [8, 1_000, 3_000, 4_750];

/// Number of records applied in one iteration.
const RECORDS: u64 = 10_000;

/// Size of the response body in a recorded outcome, in bytes.
const ANSWER_BYTES: usize = 512;

/// Size of a memory page, in bytes.
const PAGE_BYTES: usize = 4_096;

/// Number of ledgers over which measured memory is averaged.
const MEMORY_LEDGERS: usize = 8;

/// Writer that numbers its records.
struct Writer {
    /// Sequence number of the last record.
    sequence: u64,
}

impl Writer {
    fn record(&mut self, body: Body) -> Record {
        self.sequence += 1;
        Record {
            writer: "entry-1".into(),
            incarnation: 1_785_000_000_000_000,
            sequence: self.sequence,
            body: Some(body),
        }
    }
}

fn document(service: &str, accounts: usize) -> String {
    let mut text = format!(
        "service: {service}\nteam: desk\nroutes:\n- path: /{service}\n  access: keyed\n  \
         repeat: once\n  target_kind: app\ntarget_kinds:\n- name: app\n  role: plain\naccounts:\n"
    );
    for account in 0..accounts {
        let line = format!(
            "- name: account-{account:05}\n  weight: 10\n  keys:\n  - id: key-{account:05}\n    \
             sha256: {:0>64}\n",
            format!("{service}{account}")
                .bytes()
                .map(|byte| format!("{byte:x}"))
                .collect::<String>()
        );
        text.push_str(&line);
    }
    text
}

fn revision(service: &str, accounts: usize) -> Body {
    Body::ServiceRevision(ServiceRevision {
        service: service.into(),
        base_revision: 0,
        document: document(service, accounts),
    })
}

fn claim(index: u64) -> Body {
    Body::RequestClaim(RequestClaim {
        account: format!("steel/account-{:05}", index % 9_500),
        idempotency_key: format!("3f0c1e9a-0000-4000-8000-{index:012}"),
        body_digest: vec![7; 32],
    })
}

fn outcome(index: u64) -> Body {
    Body::RequestOutcome(RequestOutcome {
        account: format!("steel/account-{:05}", index % 9_500),
        idempotency_key: format!("3f0c1e9a-0000-4000-8000-{index:012}"),
        claim_offset: index + 1,
        unknown: false,
        status: 200,
        content_type: "application/json".into(),
        body: vec![b'a'; ANSWER_BYTES],
    })
}

/// Returns a usage slice with one line for each of `lines` accounts.
fn slice(index: u64, lines: u64) -> Body {
    let mut usage = Vec::new();
    for line in 0..lines {
        usage.push(UsageLine {
            service: "swaps".into(),
            account: format!("account-{line:05}"),
            requests: 3,
            prompt_tokens: 4_000,
            output_tokens: 900,
        });
    }
    Body::UsageSlice(UsageSlice {
        source: "entry-1".into(),
        source_incarnation: 1_785_000_000_000_000,
        slice: index + 1,
        window: 1,
        lines: usage,
    })
}

fn duty_claim() -> Body {
    Body::DutyClaim(DutyClaim {
        duty: Duty::Fleet.into(),
        after_epoch: 0,
        after_renewal: 0,
    })
}

fn renewal() -> Body {
    Body::DutyRenewal(DutyRenewal {
        duty: Duty::Fleet.into(),
        epoch: 1,
    })
}

fn intent(index: u64) -> Body {
    Body::OrderIntent(OrderIntent {
        target: format!("engine-{index:05}"),
        duty: Duty::Fleet.into(),
        epoch: 1,
        order: Some(Order::Engine(EngineOrder {
            action: Some(Action::SetRole(SetRole {
                role: EngineRole::Prefill.into(),
            })),
        })),
    })
}

/// Applies records to an empty ledger.
fn apply_all(records: &[Record]) -> Ledger {
    let mut ledger = Ledger::new();
    for (index, record) in records.iter().enumerate() {
        ledger.apply(Offset(index as u64 + 1), record);
    }
    ledger
}

fn records<F>(mut body: F) -> Vec<Record>
where
    F: FnMut(u64) -> Body,
{
    let mut writer = Writer { sequence: 0 };
    let mut records = Vec::new();
    for index in 0..RECORDS {
        records.push(writer.record(body(index)));
    }
    records
}

/// Measures the time to apply [`RECORDS`] records of one kind.
fn apply_by_record_kind(criterion: &mut Criterion) {
    // The first record claims the duty, so that the ledger accepts the later ones.
    let after_duty_claim = |index: u64, body: Body| if index == 0 { duty_claim() } else { body };
    let kinds = [
        ("request_claim", records(claim)),
        (
            "duty_renewal",
            records(|index| after_duty_claim(index, renewal())),
        ),
        (
            "order_intent",
            records(|index| after_duty_claim(index, intent(index))),
        ),
        ("usage_slice_8", records(|index| slice(index, 8))),
        ("usage_slice_64", records(|index| slice(index, 64))),
    ];
    let mut group = criterion.benchmark_group("fold");
    group.throughput(Throughput::Elements(RECORDS));
    for (name, records) in &kinds {
        let bytes: usize = records.iter().map(Message::encoded_len).sum();
        println!("fold/{name}: {} bytes a record", bytes / RECORDS as usize);
        group.bench_function(*name, |bencher| {
            bencher.iter(|| apply_all(black_box(records)))
        });
    }
    group.finish();
}

/// Measures the time to revise a document, by its number of accounts.
fn revisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("revision");
    for accounts in ACCOUNTS {
        let text = document("swaps", accounts);
        println!("revision/{accounts}: {} bytes", text.len());
        assert!(Document::parse(&text).is_ok());
        let mut writer = Writer { sequence: 0 };
        let records = [writer.record(revision("swaps", accounts))];
        group.bench_function(BenchmarkId::from_parameter(accounts), |bencher| {
            bencher.iter(|| apply_all(black_box(&records)));
        });
    }
    group.finish();
}

/// Returns a ledger of two services, each with half of the accounts, with request
/// claims, their outcomes and usage.
fn full_ledger(accounts: usize, claims: u64) -> Ledger {
    let mut writer = Writer { sequence: 0 };
    let mut records = Vec::new();
    for index in 0..claims {
        records.push(writer.record(claim(index)));
    }
    for index in 0..claims {
        records.push(writer.record(outcome(index)));
    }
    records.push(writer.record(revision("swaps", accounts / 2)));
    records.push(writer.record(revision("steel", accounts - accounts / 2)));
    records.push(writer.record(slice(0, accounts as u64)));
    apply_all(&records)
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Measures the resident memory of a ledger, by its numbers of accounts and request
/// claims.
fn memory(_: &mut Criterion) {
    // All ledgers are kept alive, so that none reuses memory freed by another.
    let mut ledgers = Vec::new();
    for (accounts, claims) in [(1_000, 0), (4_750, 0), (9_500, 0), (9_500, 20_000)] {
        let ledger = full_ledger(accounts, claims);
        let data = ledger.encode();
        ledgers.push(Ledger::decode(&data));
        let before = resident_bytes();
        for _ in 0..MEMORY_LEDGERS {
            ledgers.push(Ledger::decode(&data));
        }
        let bytes = resident_bytes().saturating_sub(before) / MEMORY_LEDGERS;
        println!("memory/{accounts}_accounts_{claims}_claims: {bytes} bytes a ledger");
    }
}

/// Measures the time to encode, digest and decode a checkpoint, by the ledger's
/// numbers of accounts and request claims.
fn checkpoints(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("checkpoint");
    for (accounts, claims) in [(8, 0), (1_000, 0), (4_750, 0), (9_500, 0), (9_500, 20_000)] {
        let ledger = full_ledger(accounts, claims);
        let data = ledger.encode();
        let size = format!("{accounts}_accounts_{claims}_claims");
        println!("checkpoint/{size}: {} bytes", data.len());
        group.bench_function(BenchmarkId::new("encode", &size), |bencher| {
            bencher.iter(|| black_box(&ledger).encode());
        });
        group.bench_function(BenchmarkId::new("digest", &size), |bencher| {
            bencher.iter(|| black_box(&ledger).digest());
        });
        group.bench_function(BenchmarkId::new("decode", &size), |bencher| {
            bencher.iter(|| Ledger::decode(black_box(&data)).is_ok());
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = memory, apply_by_record_kind, revisions, checkpoints
}
criterion_main!(benches);
