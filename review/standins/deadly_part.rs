//! One part of a prompt crashes each worker that begins to write an answer on it. Requests
//! with that part come several at a time, or in long sessions behind many other parts.

use std::{io, thread, time::Duration};

use crate::{
    Case, ZONES,
    client::{Prompt, Wanted, configuration, keep_sending},
    platform::wait_until_ready,
    worker::{Trouble, WorkerOptions},
};

const WORKERS: usize = 8;
const CLIENTS: usize = 12;

/// Index of the machine that relays reports between the machines of its group.
const LOST_MACHINE: usize = 0;

/// Part that crashes workers, and the sound part in its place without the disruption.
const DEADLY: &str = "dead01";
const SOUND: &str = "a11ce1";

/// When the first requests with the deadly part come, from the start of traffic, and the
/// time from the last ones to the end of traffic.
const FIRST_AT: Duration = Duration::from_secs(8);
const LAST_BEFORE_STOP: Duration = Duration::from_secs(5);

/// When a machine is lost, from the start of traffic.
const LOST_AT: Duration = Duration::from_secs(1);

/// How requests with the deadly part come, and to how many machines.
struct Pattern {
    machines: usize,
    zones: &'static [&'static str],
    /// `contact_ms` of the site.
    contact: Duration,
    /// Index of a machine that is lost; the requests with the deadly part come also without
    /// this disruption.
    lost: Option<usize>,
    stop_at: Duration,
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
            machines: 3,
            zones: &ZONES,
            contact: Duration::from_millis(3_000),
            lost: None,
            stop_at: Duration::from_secs(38),
            common: (0..CLIENTS)
                .map(|client| format!("c0de{client:02x}:2500,"))
                .collect(),
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
            machines: 3,
            zones: &ZONES,
            contact: Duration::from_millis(3_000),
            lost: None,
            stop_at: Duration::from_secs(38),
            common: (0..CLIENTS).map(|client| turns(client).collect()).collect(),
            at_once: 1,
            gap: Duration::from_millis(1_500),
        },
    )
}

/// One request at a time, every 0.8 s, at 18 machines of one zone, one of which is lost.
pub fn run_lost_machine(case: &Case) -> io::Result<bool> {
    run(
        case,
        &Pattern {
            machines: 18,
            zones: &["eibar"],
            contact: Duration::from_millis(4_000),
            lost: Some(LOST_MACHINE),
            stop_at: Duration::from_secs(50),
            common: (0..CLIENTS)
                .map(|client| format!("c0de{client:02x}:2500,"))
                .collect(),
            at_once: 1,
            gap: Duration::from_millis(800),
        },
    )
}

fn run(case: &Case, pattern: &Pattern) -> io::Result<bool> {
    let &Pattern {
        machines,
        zones,
        lost,
        stop_at,
        at_once,
        gap,
        ..
    } = pattern;
    let common = &pattern.common;
    let record = &case.record;
    case.store.put("keyed.op", "config", &configuration());
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        workers.push(case.start_worker(WorkerOptions {
            id: format!("i-model{number}"),
            service: "models",
            zone: ZONES[number % ZONES.len()],
            stage: "decode",
            work: Duration::from_millis(60),
            event_gap: Duration::from_millis(40),
            down: Duration::from_secs(4),
        })?);
    }
    let mut machines = case.start_machines(machines, zones, 260)?;
    if !wait_until_ready(&machines) {
        return Err(io::Error::other("the machines are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    // Where a machine is lost, that is the disruption, and the deadly part is there anyway.
    let is_deadly = case.trouble || lost.is_some();
    if is_deadly {
        for worker in &workers {
            *worker.trouble.lock().unwrap() = Trouble::DeadlyPart(DEADLY);
        }
    }
    let part = if is_deadly { DEADLY } else { SOUND };
    let start = record.now();
    let wanted = |parts: String| Wanted {
        path: "/once/",
        prompt: Some(Prompt {
            shared: parts,
            own_tokens: 3_300,
        }),
        deadline: Duration::from_millis(3_000),
    };
    let in_use: Vec<_> = (0..machines.len())
        .filter(|index| Some(*index) != lost)
        .collect();
    let mut clients = Vec::new();
    for (client, common) in common.iter().enumerate() {
        let index = in_use[client % in_use.len()];
        clients.push(keep_sending(
            &case.clients,
            record,
            "sound",
            (index, machines[index].front),
            wanted(common.clone()),
            Duration::from_millis(300),
            (Duration::from_millis(70 * client as u64), start + stop_at),
        ));
    }
    if let Some(lost) = lost.filter(|_| case.trouble) {
        thread::sleep((start + LOST_AT).saturating_sub(record.now()));
        machines[lost].kill();
        record.say(&format!("{} is lost", machines[lost].name));
    }
    let mut sent = 0;
    let mut at = start + FIRST_AT;
    while at < start + stop_at - LAST_BEFORE_STOP {
        thread::sleep(at.saturating_sub(record.now()));
        at += gap;
        for _ in 0..at_once {
            let index = in_use[sent % in_use.len()];
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
    record.say(&format!(
        "requests with the part {part}: {sent}, {at_once} at a time"
    ));
    for client in clients {
        let _ = client.join();
    }
    Ok(check(case, part, pattern.contact))
}

/// Returns whether more than three requests with the part reached workers that were sent
/// later than `contact_ms` after the fifth crash.
fn check(case: &Case, part: &str, contact: Duration) -> bool {
    let attempts = case.clients.attempts.lock().unwrap();
    let arrivals = case.seen.arrivals.lock().unwrap();
    let crashes = case.seen.crashes.lock().unwrap();
    let (mut cut, mut sound) = (0, 0);
    for attempt in attempts
        .iter()
        .filter(|attempt| attempt.request.starts_with("sound"))
    {
        sound += 1;
        cut += usize::from(attempt.status != 200 && attempt.status != 503 || !attempt.complete);
    }
    let fifth = crashes.get(4).copied();
    let mut late = 0;
    for arrival in arrivals
        .iter()
        .filter(|arrival| arrival.parts.contains(part))
    {
        let is_late = fifth.is_some_and(|fifth| arrival.at > fifth + contact);
        late += usize::from(is_late && !arrival.prefill);
    }
    case.record.say(&format!(
        "crashes: {}, requests with the part that reached workers later than contact_ms after \
         the fifth: {late}, sound requests: {sound}, of these cut or failed: {cut}",
        crashes.len()
    ));
    late > 3
}
