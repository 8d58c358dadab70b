//! Benchmarks of target table operations, by number of targets.

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use lavenderwind::{
    infra::protocol::{PlatformTarget, TargetState},
    service::KindRole,
    target::{
        protocol::{EngineRole, EngineState, LoadedModel},
        table::TargetTable,
    },
};

/// Numbers of targets: those of a current deployment, those of several deployments,
/// and the fleet size that the system is designed for.
const SIZES: [usize; 3] = [9, 60, 600];

fn target(index: usize) -> PlatformTarget {
    PlatformTarget {
        name: format!("engine-{index}").into(),
        kind: "engine".into(),
        failure_domain: format!("domain-{}", index % 6).into(),
        address: format!("10.0.{}.{}:8000", index / 250, index % 250).into(),
        state: TargetState::Live,
        leaves_in_ms: None,
    }
}

fn state(index: usize) -> EngineState {
    EngineState {
        boot: format!("boot-{index}").into(),
        report_age_ms: 100,
        role: EngineRole::Mixed,
        changing: false,
        models: vec![LoadedModel {
            model: "adviser".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        running: 10,
        waiting: 2,
        waiting_prefill_tokens: 900,
        used_blocks: 1_200,
        total_blocks: 2_000,
        prefill_tokens_per_s: 8_000,
        decode_tokens_per_s: 60,
        epoch: 1,
        last_order_id: 0,
    }
}

fn list(size: usize) -> Vec<PlatformTarget> {
    (0..size).map(target).collect()
}

fn filled_table(size: usize) -> TargetTable {
    let table = TargetTable::new();
    table.observe_list(list(size), |_| Some(KindRole::Engine));
    for index in 0..size {
        table.observe_state(&format!("engine-{index}"), state(index));
    }
    table
}

fn bench_table(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("target_table");
    for size in SIZES {
        let table = filled_table(size);
        group.bench_function(BenchmarkId::new("list", size), |bencher| {
            bencher.iter_batched(
                || list(size),
                |list| table.observe_list(list, |_| Some(KindRole::Engine)),
                BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("state", size), |bencher| {
            bencher.iter_batched(
                || state(0),
                |state| table.observe_state("engine-0", state),
                BatchSize::SmallInput,
            );
        });
        group.bench_function(BenchmarkId::new("success", size), |bencher| {
            bencher.iter(|| table.mark_success(black_box("engine-0")));
        });
        group.bench_function(BenchmarkId::new("snapshot", size), |bencher| {
            bencher.iter(|| black_box(table.snapshot()));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_table);
criterion_main!(benches);
