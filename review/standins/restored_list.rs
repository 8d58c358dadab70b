//! A worker has left the list and says in its answers that it leaves. The store then comes
//! back from an older copy, which still has the worker's entry.

use std::{io, thread, time::Duration};

use crate::{
    Case, ZONES,
    client::{Prompt, Wanted, keep_sending},
    platform::wait_until_ready,
    worker::{HEARTBEAT, WorkerOptions},
};

const MACHINES: usize = 3;
const WORKERS: usize = 4;
const CLIENTS_OF_A_MACHINE: usize = 40;
const DRAIN: Duration = Duration::from_millis(2_000);

/// Times since the start of traffic.
const COPY_AT: Duration = Duration::from_millis(7_000);
const LEAVE_AT: Duration = Duration::from_millis(8_500);
const UNLISTED_AT: Duration = Duration::from_millis(9_000);
const AWAY_AT: Duration = Duration::from_millis(11_000);
const BACK_AT: Duration = Duration::from_millis(12_000);
const END_AT: Duration = Duration::from_millis(15_700);
const STOP_AT: Duration = Duration::from_millis(19_000);

pub fn run(case: &Case) -> io::Result<bool> {
    let record = &case.record;
    let configuration = crate::client::configuration();
    case.store.put("keyed.op", "config", &configuration);
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        workers.push(case.start_worker(WorkerOptions {
            id: format!("i-model{number}"),
            service: "models",
            zone: ZONES[number % ZONES.len()],
            stage: "decode",
            work: Duration::from_millis(60),
            event_gap: Duration::from_millis(200),
            down: Duration::ZERO,
        })?);
    }
    let machines = case.start_machines(MACHINES, &ZONES, 260)?;
    if !wait_until_ready(&machines) {
        return Err(io::Error::other("the machines are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let start = record.now();
    let wait_until = |at: Duration| thread::sleep((start + at).saturating_sub(record.now()));
    let mut clients = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        for number in 0..CLIENTS_OF_A_MACHINE {
            let wanted = Wanted {
                path: "/once/",
                prompt: Some(Prompt {
                    shared: format!("c0de{number:02x}:2500,"),
                    own_tokens: 1_110,
                }),
                deadline: Duration::from_millis(5_000),
            };
            clients.push(keep_sending(
                &case.clients,
                record,
                "r",
                (index, machine.front),
                wanted,
                Duration::from_millis(115),
                (Duration::from_millis(64 * number as u64), start + STOP_AT),
            ));
        }
    }
    wait_until(COPY_AT);
    let copy = case.store.copy();
    record.say("a copy of the store is made");
    wait_until(LEAVE_AT);
    let Some(leaving) = workers.iter().find(|worker| worker.decodes()) else {
        return Err(io::Error::other("no worker writes answers"));
    };
    record.say("a worker leaves: all its answers say so");
    leaving.say_leaving();
    wait_until(UNLISTED_AT);
    leaving.leave_list();
    record.say("its entry is removed");
    if case.trouble {
        wait_until(AWAY_AT);
        case.store.set_away(true);
        record.say("the store is away");
        wait_until(BACK_AT);
        case.store.restore(copy);
        case.store.set_away(false);
        // The operator writes again what it wrote; the workers do so at their heartbeats.
        case.store.put("keyed.op", "config", &configuration);
        record.say("the store is back from the copy");
    }
    if case.trouble {
        // An entry is removed after three heartbeats of silence.
        wait_until(BACK_AT + 3 * HEARTBEAT);
        case.store.put("keyed.servers", &leaving.id(), "");
        record.say("the platform removes the entry of the worker, which was silent");
    }
    wait_until(END_AT);
    leaving.end();
    record.say("the worker ends");
    for client in clients {
        let _ = client.join();
    }
    Ok(check(case, &leaving.id()))
}

/// Returns whether requests reached the worker that clients sent later than `drain_ms`
/// after their machine had passed on an answer that said that the worker leaves.
fn check(case: &Case, leaving: &str) -> bool {
    let attempts = case.clients.attempts.lock().unwrap();
    let arrivals = case.seen.arrivals.lock().unwrap();
    let mut told_at = [None; MACHINES];
    for attempt in attempts.iter() {
        if let Some(at) = attempt.told_at {
            let told = &mut told_at[attempt.machine];
            *told = Some(told.map_or(at, |first: Duration| first.min(at)));
        }
    }
    let (mut late, mut lost) = (0, 0);
    for attempt in attempts.iter() {
        let Some(told_at) = told_at[attempt.machine] else {
            continue;
        };
        let reached = arrivals
            .iter()
            .any(|arrival| arrival.request == attempt.request && arrival.worker == leaving);
        if reached && attempt.sent_at > told_at + DRAIN {
            late += 1;
            let answered = attempt.status == 200 && attempt.complete;
            lost += usize::from(!answered);
            case.record.note(&format!(
                "late: {} was sent to machine {} {} ms after it had been told",
                attempt.request,
                attempt.machine,
                (attempt.sent_at - told_at).as_millis()
            ));
        }
    }
    let answered = attempts
        .iter()
        .filter(|attempt| attempt.status == 200)
        .count();
    case.record.say(&format!(
        "requests: {}, answered 200: {answered}, machines told: {}, late requests at the leaving \
         worker: {late}, of these not answered 200: {lost}",
        attempts.len(),
        told_at.iter().flatten().count(),
    ));
    late > 0
}
