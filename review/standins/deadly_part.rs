//! One part of a prompt crashes each worker that begins to write an answer on it. Requests
//! with that part come several at a time, or in long sessions behind many other parts.

use std::{io, thread, time::Duration};

use crate::{
    Case,
    client::{Prompt, Wanted, configuration, keep_sending},
    platform::wait_until_ready,
    worker::{Trouble, WorkerOptions},
};

const MACHINES: usize = 3;
const WORKERS: usize = 8;
const CLIENTS_OF_A_MACHINE: usize = 4;
const CLIENTS: usize = MACHINES * CLIENTS_OF_A_MACHINE;
const CONTACT: Duration = Duration::from_millis(3_000);

/// Part that crashes workers, and the sound part in its place without the disruption.
const DEADLY: &str = "dead01";
const SOUND: &str = "a11ce1";

/// When the first requests with the deadly part come, the last ones, and the end of
/// traffic, from its start.
const FIRST_AT: Duration = Duration::from_secs(8);
const LAST_BEFORE_STOP: Duration = Duration::from_secs(5);
const STOP_AT: Duration = Duration::from_secs(38);

/// How requests with the deadly part come.
struct Pattern {
    /// Parts before the deadly one, which sound requests have too; one for each client.
    common: Vec<String>,
    /// Requests that come at once.
    at_once: usize,
    /// Time between two such moments.
    gap: Duration,
}

/// Six requests at once, every eight seconds.
pub fn run_bursts(case: &Case) -> io::Result<bool> {
    run(
        case,
        &Pattern {
            common: (0..CLIENTS).map(|client| format!("c0de{client:02x}:2500,")).collect(),
            at_once: 6,
            gap: Duration::from_secs(8),
        },
    )
}

/// One request at a time, every 1.5 s, in sessions with 40 parts before the deadly one.
pub fn run_sessions(case: &Case) -> io::Result<bool> {
    let turns = |client: usize| (0..40).map(move |turn| format!("c0de{client:02x}{turn:02x}:60,"));
    run(
        case,
        &Pattern {
            common: (0..CLIENTS).map(|client| turns(client).collect()).collect(),
            at_once: 1,
            gap: Duration::from_millis(1_500),
        },
    )
}

fn run(case: &Case, pattern: &Pattern) -> io::Result<bool> {
    let Pattern {
        common,
        at_once,
        gap,
    } = pattern;
    let record = &case.record;
    case.store.put("keyed.op", "config", &configuration());
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        workers.push(case.start_worker(WorkerOptions {
            id: format!("i-model{number}"),
            service: "models",
            zone: ["eibar", "bilbao"][number % 2],
            stage: "decode",
            work: Duration::from_millis(60),
            event_gap: Duration::from_millis(40),
            down: Duration::from_secs(4),
        })?);
    }
    let machines = case.start_machines(MACHINES, 260)?;
    if !wait_until_ready(&machines) {
        return Err(io::Error::other("the machines are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    if case.trouble {
        for worker in &workers {
            *worker.trouble.lock().unwrap() = Trouble::DeadlyPart(DEADLY);
        }
    }
    let part = if case.trouble { DEADLY } else { SOUND };
    let start = record.now();
    let wanted = |parts: String| Wanted {
        path: "/once/",
        prompt: Some(Prompt {
            shared: parts,
            own_tokens: 3_300,
        }),
        deadline: Duration::from_millis(3_000),
    };
    let mut clients = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        for number in 0..CLIENTS_OF_A_MACHINE {
            clients.push(keep_sending(
                &case.clients,
                record,
                "sound",
                (index, machine.front),
                wanted(common[index * CLIENTS_OF_A_MACHINE + number].clone()),
                Duration::from_millis(300),
                (Duration::from_millis(211 * number as u64), start + STOP_AT),
            ));
        }
    }
    let mut sent = 0;
    let mut at = start + FIRST_AT;
    while at < start + STOP_AT - LAST_BEFORE_STOP {
        thread::sleep(at.saturating_sub(record.now()));
        at += *gap;
        for _ in 0..*at_once {
            let index = sent % MACHINES;
            sent += 1;
            let (clients, record) = (case.clients.clone(), record.clone());
            let machine = (index, machines[index].front);
            let common = &common[sent % CLIENTS];
            let wanted = wanted(format!("{common}{part}:1000,"));
            thread::spawn(move || {
                clients.send(&record, "tainted", machine, &mut None, &wanted);
            });
        }
    }
    record.say(&format!("requests with the part {part}: {sent}, {at_once} at a time"));
    for client in clients {
        let _ = client.join();
    }
    Ok(check(case, part))
}

/// Returns whether more than three requests with the part reached workers that were sent
/// later than `contact_ms` after the fifth crash.
fn check(case: &Case, part: &str) -> bool {
    let attempts = case.clients.attempts.lock().unwrap();
    let arrivals = case.seen.arrivals.lock().unwrap();
    let crashes = case.seen.crashes.lock().unwrap();
    let (mut cut, mut sound) = (0, 0);
    for attempt in attempts.iter().filter(|attempt| attempt.request.starts_with("sound")) {
        sound += 1;
        cut += usize::from(attempt.status != 200 && attempt.status != 503 || !attempt.complete);
    }
    let fifth = crashes.get(4).copied();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|arrival| arrival.parts.contains(part)) {
        let is_late = fifth.is_some_and(|fifth| arrival.at > fifth + CONTACT);
        late += usize::from(is_late && !arrival.prefill);
    }
    case.record.say(&format!(
        "crashes: {}, requests with the part that reached workers later than contact_ms after \
         the fifth: {late}, sound requests: {sound}, of these cut or failed: {cut}",
        crashes.len()
    ));
    late > 3
}
