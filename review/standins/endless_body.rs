//! A worker in trouble sends bytes without end in the body of its answers, until the caller
//! closes.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Case, ZONES,
    client::{Prompt, Wanted, configuration, keep_sending},
    platform::wait_until_ready,
    worker::{Trouble, WorkerOptions},
};

const MEMORY_MB: u64 = 260;
const TROUBLE_AT: Duration = Duration::from_secs(5);
const STOP_AT: Duration = Duration::from_secs(14);
const CLIENTS: usize = 160;
const ENGINES: usize = 4;
/// Engines in trouble.
const IN_TROUBLE: usize = 2;

pub fn run(case: &Case) -> io::Result<bool> {
    let record = &case.record;
    case.store.put("keyed.op", "config", &configuration());
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(case.start_worker(WorkerOptions {
            id: format!("i-model{number}"),
            service: "models",
            zone: ZONES[number % ZONES.len()],
            stage: "decode",
            work: Duration::from_millis(60),
            event_gap: Duration::from_millis(100),
            down: Duration::ZERO,
        })?);
    }
    let mut machines = case.start_machines(2, &ZONES, MEMORY_MB)?;
    if !wait_until_ready(&machines) {
        return Err(io::Error::other("the machines are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let start = record.now();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let index = number % machines.len();
        clients.push(keep_sending(
            &case.clients,
            record,
            "r",
            (index, machines[index].front),
            Wanted {
                path: "/chat/",
                prompt: Some(Prompt {
                    shared: format!("c0de{number:x}:2500,"),
                    own_tokens: 1_110,
                }),
                deadline: Duration::from_millis(5_000),
            },
            Duration::from_millis(300),
            (Duration::from_millis(9 * number as u64), start + STOP_AT),
        ));
    }
    let mut peak_mb = vec![0; machines.len()];
    let mut killed = 0;
    let mut in_trouble = false;
    let mut last_note = Instant::now();
    while record.now() < start + STOP_AT {
        thread::sleep(Duration::from_millis(5));
        if case.trouble && !in_trouble && record.now() >= start + TROUBLE_AT {
            in_trouble = true;
            for engine in &engines[..IN_TROUBLE] {
                *engine.trouble.lock().unwrap() = Trouble::Endless;
            }
            record.say("workers send bytes without end");
        }
        for (index, machine) in machines.iter_mut().enumerate() {
            if !machine.runs() {
                continue;
            }
            let memory_mb = machine.memory_mb();
            peak_mb[index] = peak_mb[index].max(memory_mb);
            if memory_mb > MEMORY_MB {
                machine.kill();
                killed += 1;
                record.say(&format!(
                    "the platform kills {}, which uses {memory_mb} MB of {MEMORY_MB}",
                    machine.name
                ));
            }
        }
        if last_note.elapsed() > Duration::from_millis(500) {
            last_note = Instant::now();
            record.note(&format!("memory at its peak: {peak_mb:?} MB"));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let sound: Vec<String> = engines[IN_TROUBLE..]
        .iter()
        .map(|engine| engine.id())
        .collect();
    let lost = count_lost(case, &sound);
    record.say(&format!(
        "memory at its peak: {peak_mb:?} MB; machines killed: {killed}; requests that were passed \
         on to a sound worker and whose connection ended without a whole answer: {lost}"
    ));
    Ok(lost > 3)
}

/// Counts the requests that reached only sound workers and ended without a whole answer.
fn count_lost(case: &Case, sound: &[String]) -> usize {
    let attempts = case.clients.attempts.lock().unwrap();
    let arrivals = case.seen.arrivals.lock().unwrap();
    let mut lost = 0;
    for attempt in attempts.iter().filter(|attempt| !attempt.complete) {
        let mut workers = arrivals
            .iter()
            .filter(|arrival| arrival.request == attempt.request)
            .map(|arrival| &arrival.worker)
            .peekable();
        let is_lost = workers.peek().is_some() && workers.all(|worker| sound.contains(worker));
        if is_lost {
            lost += 1;
            case.record.note(&format!("lost: {}", attempt.request));
        }
    }
    lost
}
