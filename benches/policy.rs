//! Benchmarks of the time that policy decisions take.

use std::{hint::black_box, sync::Arc};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lavenderwind::{
    policy::{
        crash_history::CrashHistory,
        prefix::PrefixIndex,
        queue::{FairQueue, QueueRequest, QueueSettings},
        routing::{Availability, RouteRequest, RouteSettings, RouteTable},
        spending::{DomainSupply, SpendingLimits, SpendingPrices, plan},
    },
    target::protocol::{EngineRole, EngineState, LoadedModel},
};
use rand::{SeedableRng, rngs::SmallRng};

/// Number of KV cache blocks of a prompt of 2,000 tokens.
const PROMPT_BLOCKS: u64 = 125;

fn state(index: usize) -> EngineState {
    EngineState {
        boot: "boot-1".into(),
        report_age_ms: 100,
        role: EngineRole::Mixed,
        changing: false,
        models: vec![LoadedModel {
            model: "quote".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        running: 8,
        waiting: 2,
        waiting_prefill_tokens: 1_000 + 37 * index as u64 % 4_000,
        used_blocks: 500,
        total_blocks: 2_000,
        prefill_tokens_per_s: 8_000,
        decode_tokens_per_s: 40,
        epoch: 0,
        last_order_id: 0,
    }
}

fn table(targets: usize) -> RouteTable {
    let mut table = RouteTable::new(RouteSettings::default());
    for index in 0..targets {
        let name = format!("engine-{index}");
        table.observe_engine(&name, "engine", Availability::Live, &state(index), 1_000);
    }
    table
}

fn prompt(number: u64) -> Vec<u64> {
    (0..PROMPT_BLOCKS)
        .map(|block| number * 1_000 + block)
        .collect()
}

fn routing(c: &mut Criterion) {
    let mut group = c.benchmark_group("routing");
    for targets in [9, 13, 60, 600] {
        let mut table = table(targets);
        let mut rng = SmallRng::seed_from_u64(1);
        for number in 0..20 {
            let name = format!("engine-{}", number % targets as u64);
            table.prefixes_mut().insert(&name, &prompt(number), 2_000);
        }
        let blocks = prompt(7);
        let request = RouteRequest::new("engine")
            .model("quote", "1")
            .tokens(2_000, 200)
            .prefix_blocks(&blocks)
            .home_key(7);
        group.bench_function(BenchmarkId::new("choose", targets), |b| {
            b.iter(|| black_box(table.choose(&request, 1_100, &mut rng)));
        });
        group.bench_function(BenchmarkId::new("observe_report", targets), |b| {
            let state = state(3);
            b.iter(|| {
                table.observe_engine("engine-3", "engine", Availability::Live, &state, 1_100)
            });
        });
    }
    group.finish();
}

fn queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("queue");
    for accounts in [8, 9_500] {
        let names: Vec<Arc<str>> = (0..accounts)
            .map(|index| format!("shop/{index}").into())
            .collect();
        let mut queue = FairQueue::new(QueueSettings {
            max_requests: 100_000,
            ..QueueSettings::default()
        });
        for name in names.iter().chain(&names) {
            let request = QueueRequest::new(Arc::clone(name), 0).cost_tokens(500);
            queue.push(request, 0).expect("the queue has room");
        }
        let mut next = 0;
        group.bench_function(BenchmarkId::new("push_pop", accounts), |b| {
            b.iter(|| {
                let name = Arc::clone(&names[next % accounts]);
                next += 1;
                let request = QueueRequest::new(name, 0).cost_tokens(400 + next as u64 % 200);
                let ticket = queue.push(request, 0);
                black_box((ticket, queue.pop(0)))
            });
        });
        group.bench_function(BenchmarkId::new("settle", accounts), |b| {
            b.iter(|| {
                next += 1;
                queue.adjust_charge(&names[next % accounts], 500, 400 + next as u64 % 200);
            });
        });
        group.bench_function(BenchmarkId::new("charge_remote", accounts), |b| {
            b.iter(|| {
                next += 1;
                queue.charge_for_peers(&names[next % accounts], 1, 100);
            });
        });
        let last = Arc::clone(&names[accounts - 1]);
        queue.charge_for_peers(&last, 1, 10_000_000);
        group.bench_function(BenchmarkId::new("refuse_late", accounts), |b| {
            // The account with the highest counter: all others are served before it.
            b.iter(|| {
                let request = QueueRequest::new(Arc::clone(&last), 0).deadline_ms(1_000);
                black_box(queue.push(request, 0)).is_err()
            });
        });
        group.bench_function(BenchmarkId::new("predicted_wait", accounts), |b| {
            b.iter(|| black_box(queue.predicted_wait_ms(&names[accounts - 1])));
        });
    }
    group.finish();
}

fn prefix(c: &mut Criterion) {
    let mut index = PrefixIndex::default();
    for target in 0..60 {
        let name = format!("engine-{target}");
        for number in 0..16 {
            index.insert(&name, &prompt(target * 16 + number), 2_000);
        }
    }
    let held = prompt(5);
    let unknown = prompt(5_000);
    c.bench_function("prefix/held", |b| {
        b.iter(|| black_box(index.expected_blocks("engine-0", &held)));
    });
    c.bench_function("prefix/unknown", |b| {
        b.iter(|| black_box(index.expected_blocks("engine-0", &unknown)));
    });
    c.bench_function("prefix/insert", |b| {
        b.iter(|| index.insert("engine-0", &held, 2_000));
    });
}

fn spending(c: &mut Criterion) {
    let prices = SpendingPrices {
        reclaimable_milli_per_hour: 300,
        regular_milli_per_hour: 1_000,
    };
    for needed in [9, 600] {
        let mut supply = Vec::new();
        for index in 0..6 {
            supply.push(DomainSupply {
                failure_domain: format!("domain-{index}").into(),
                reclaimable: needed / 5,
                reclaimable_live: needed / 5,
                is_out_of_capacity: false,
                regular: needed,
            });
        }
        c.bench_function(&format!("spending/{needed}"), |b| {
            b.iter(|| black_box(plan(needed, &supply, &prices, &SpendingLimits::default())));
        });
    }
}

/// Requests of 300 parts while 3,000 parts were in flight at three crashes each.
fn crashes(c: &mut Criterion) {
    const PARTS: u64 = 300;
    let mut group = c.benchmark_group("crash_history");
    let mut history = CrashHistory::default();
    for session in 0..10 {
        let parts: Vec<u64> = (session * PARTS..(session + 1) * PARTS).collect();
        for crash in 0..3 {
            let boot = format!("engine-{crash}@{session}").into();
            history.record_crash(&boot, &parts, 0);
        }
    }
    let refused: Vec<u64> = (0..PARTS).collect();
    group.bench_function("refused", |bencher| {
        bencher.iter(|| black_box(history.quarantine_left_ms(&refused, 1)));
    });
    let sound: Vec<u64> = (100_000..100_000 + PARTS).collect();
    group.bench_function("answered", |bencher| {
        bencher.iter(|| black_box(history.record_answer(&sound, 1)));
    });
    group.finish();
}

criterion_group!(benches, routing, queue, prefix, spending, crashes);
criterion_main!(benches);
