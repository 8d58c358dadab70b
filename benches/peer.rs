//! Benchmarks of heartbeat encoding and of the computation of the topology.

use std::{hint::black_box, sync::Arc};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use indexmap::IndexMap;
use lavenderwind::peer::{
    delta::{DeltaDecoder, DeltaEncoder, TargetLoad},
    frames::{Frame, Heartbeat, frame::Body},
    topology::{Node, Topology},
};
use prost::Message;

/// Maximum size of the load changes in one heartbeat, in bytes.
const MAX_BYTES: usize = 1_024;

type Loads = IndexMap<Arc<str>, TargetLoad>;

/// Returns loads of `targets` targets, which differ between steps.
fn loads(targets: usize, step: u64) -> Loads {
    let mut loads = Loads::new();
    for target in 0..targets {
        let change = step.wrapping_mul(7919) + target as u64;
        let load = TargetLoad {
            requests: 1 + (change % 9) as u32,
            tokens: change % 20_000,
            blocks: change % 1_000,
        };
        loads.insert(format!("engine-{target}").into(), load);
    }
    loads
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        sequence: 70_000,
        echo: 70_000,
        applied_offset: 90_000_000,
        known_age_ms: 400,
        ..Heartbeat::default()
    }
}

/// Measures the time to encode and decode one heartbeat after all loads have changed.
fn heartbeat_exchange(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("heartbeat");
    for targets in [0, 18, 60, 600] {
        let steps = [loads(targets, 1), loads(targets, 2)];
        let mut encoder = DeltaEncoder::default();
        let mut decoder = DeltaDecoder::default();
        let mut step = 0;
        group.bench_function(BenchmarkId::new("changed_targets", targets), |bencher| {
            bencher.iter(|| {
                step += 1;
                let mut heartbeat = heartbeat();
                encoder.encode(&steps[step % 2], MAX_BYTES, &mut heartbeat);
                let frame = Frame {
                    body: Some(Body::Heartbeat(heartbeat)),
                };
                let bytes = frame.encode_to_vec();
                let Ok(Frame {
                    body: Some(Body::Heartbeat(heartbeat)),
                }) = Frame::decode(&*bytes)
                else {
                    return;
                };
                let _ = black_box(decoder.apply(&heartbeat));
            });
        });
    }
    group.finish();
}

/// Measures the time to encode one heartbeat while the tokens served to many accounts
/// are still to be sent.
fn pending_served_tokens(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("served");
    for accounts in [8, 950, 9_500] {
        let mut names: Vec<Arc<str>> = Vec::new();
        for account in 0..accounts {
            names.push(format!("service-1/account-{account}").into());
        }
        let mut encoder = DeltaEncoder::default();
        for name in &names {
            encoder.add_amount(name, 1);
        }
        let mut next = 0;
        group.bench_function(BenchmarkId::new("pending_accounts", accounts), |bencher| {
            bencher.iter(|| {
                for _ in 0..8 {
                    next = (next + 1) % names.len();
                    encoder.add_amount(&names[next], 50);
                }
                let mut heartbeat = heartbeat();
                encoder.encode(&Loads::new(), 64, &mut heartbeat);
                black_box(heartbeat);
            });
        });
    }
    group.finish();
}

fn topology(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("topology");
    for instances in [8, 64, 320] {
        let mut nodes = Vec::new();
        for index in 0..instances {
            nodes.push(Node {
                name: format!("entry-{index}").into(),
                failure_domain: format!("domain-{}", index % 6).into(),
                is_unreachable: false,
            });
        }
        group.bench_function(BenchmarkId::new("instances", instances), |bencher| {
            bencher.iter(|| black_box(Topology::new(&nodes).links("entry-0")));
        });
    }
    group.finish();
}

criterion_group!(benches, heartbeat_exchange, pending_served_tokens, topology);
criterion_main!(benches);
