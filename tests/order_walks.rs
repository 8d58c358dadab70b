//! Random walks of orders, resends and target faults over two instances: no
//! order runs more than once.

mod entry_support;

use std::collections::HashMap;

use arbtest::{arbitrary::Unstructured, arbtest};
use entry_support::{Entry, MemoryLog, Targets, document, outcome, send_order, start_entry};
use lavenderwind::standin::plain::{PlainFaults, PlainService};

const WALKS: u64 = 40;
const STEPS: usize = 16;
const KEYS: usize = 4;
const TARGETS: usize = 6;

/// Number of answers of each kind over all walks.
#[derive(Debug, Default)]
struct OutcomeCounts {
    runs: usize,
    replays: usize,
    unknown: usize,
    reused: usize,
}

/// One step of a walk.
#[derive(Clone, Copy, Debug)]
struct Step {
    key: usize,
    body: usize,
    to_second: bool,
    fault: u8,
}

fn arbitrary_steps(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<Step>> {
    let mut steps = Vec::with_capacity(STEPS);
    for _ in 0..STEPS {
        steps.push(Step {
            key: u.int_in_range(0..=KEYS - 1)?,
            body: usize::from(u.int_in_range(0..=9_u8)? == 0),
            to_second: u.arbitrary()?,
            fault: u.int_in_range(0..=7)?,
        });
    }
    Ok(steps)
}

fn faults(step: &Step) -> PlainFaults {
    PlainFaults {
        cut_before: u32::from(step.fault == 0),
        cut_after: u32::from(step.fault == 1),
        wrong_request: step.fault == 2,
        outage: step.fault == 3,
        ..PlainFaults::default()
    }
}

fn count_runs(plain_services: &[PlainService], key: &str) -> usize {
    let executions = plain_services.iter().flat_map(PlainService::executions);
    executions
        .filter(|run| &*run.idempotency_key == key)
        .count()
}

async fn run_walk(number: u64, steps: &[Step]) -> OutcomeCounts {
    let log = MemoryLog::new();
    // Enough targets that the circuit breaker never excludes all of them.
    let targets = Targets::start(0, TARGETS).await;
    let first = start_entry(&log, "entry-1", &targets).await;
    let second = start_entry(&log, "entry-2", &targets).await;
    log.publish(0, &document(false));
    let entries = [&first, &second];
    let plain_services = &targets.plains;
    let mut outcomes = OutcomeCounts::default();
    let mut answers: HashMap<usize, String> = HashMap::new();
    for (index, step) in steps.iter().enumerate() {
        for plain in plain_services {
            plain.set_faults(faults(step));
        }
        let key = format!("walk-{number}-{}", step.key);
        let body = format!("order {}", step.body);
        let before = count_runs(plain_services, &key);
        let entry: &Entry = entries[usize::from(step.to_second)];
        let answer = send_order(entry, "/orders", Some(&key), &body).await;
        let after = count_runs(plain_services, &key);
        let context = format!("walk {number}, step {index}, {step:?}, {answer:?}");
        assert!(after <= 1, "{context}");
        match answer.status().as_u16() {
            201 => {
                assert_eq!(after, 1, "{context}");
                let replayed = answer.headers().contains_key("lavenderwind-replayed");
                assert_eq!(replayed, before == 1, "{context}");
                outcomes.replays += usize::from(replayed);
                outcomes.runs += usize::from(!replayed);
                let text = answer.text().await.unwrap();
                let known = answers.entry(step.key).or_insert_with(|| text.clone());
                assert_eq!(*known, text, "{context}");
            }
            422 => {
                assert_eq!(outcome(&answer), "not-run", "{context}");
                assert_eq!(before, after, "{context}");
                outcomes.reused += 1;
            }
            _ => match &*outcome(&answer) {
                "unknown" => outcomes.unknown += 1,
                "not-run" => assert_eq!(before, after, "{context}"),
                other => panic!("outcome {other}: {context}"),
            },
        }
    }
    outcomes
}

#[test]
fn orders_run_once() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut total = OutcomeCounts::default();
    for number in 0..WALKS {
        let seed = (0x5eed_0000 + number) << 32 | 0x400;
        arbtest(|u| {
            let steps = arbitrary_steps(u)?;
            let outcomes = runtime.block_on(run_walk(number, &steps));
            total.runs += outcomes.runs;
            total.replays += outcomes.replays;
            total.unknown += outcomes.unknown;
            total.reused += outcomes.reused;
            Ok(())
        })
        .seed(seed);
    }
    println!("{total:?}");
    assert!(total.runs >= 40, "{total:?}");
    assert!(total.replays >= 40, "{total:?}");
    assert!(total.unknown >= 40, "{total:?}");
    assert!(total.reused >= 10, "{total:?}");
}
