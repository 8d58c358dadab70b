//! A part of prompts crashes the workers that answer it, and one worker crashes for another
//! reason. Are sound requests with the same first part still served? Workers end their streams
//! with the connection.

#[path = "platform.rs"]
mod platform;

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use platform::{Instance, Shared, Store, listen, read_request, respond, serve, wait_until};

const WORKERS: usize = 9;
/// Time from the start of traffic to the deadly part, to the crash of one worker, and to the
/// end.
const DEADLY_FROM: Duration = Duration::from_secs(8);
const CRASH_AT: Duration = Duration::from_secs(18);
const END: Duration = Duration::from_secs(40);
/// Twice `contact_ms`.
const SETTLED: Duration = Duration::from_secs(6);
const SOUND_EVERY: Duration = Duration::from_millis(50);
const DEADLY_EVERY: Duration = Duration::from_millis(1_000);
/// Time after which a worker that crashed is back, under a new id and address.
const BACK_AFTER: Duration = Duration::from_secs(4);
const DEADLY_PART: &str = "dead:30";

/// One start of a worker.
struct Boot {
    id: String,
    port: u16,
    born: u64,
    is_dead: AtomicBool,
    /// Requests whose prompt is being read.
    reading: AtomicUsize,
}

#[derive(Default)]
struct Fleet {
    boots: Mutex<Vec<Arc<Boot>>>,
    /// Begun requests by identifier, with the time.
    runs: Mutex<HashMap<String, Instant>>,
    crashes: Mutex<Vec<(Instant, String, &'static str)>>,
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

fn entry(boot: &Boot) -> String {
    format!(
        "{{\"service\":\"models\",\"address\":\"127.0.0.1:{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0,\"born\":{}}}",
        boot.port, boot.born
    )
}

fn start_worker(fleet: &Arc<Fleet>, store: &Arc<Store>) {
    let (listener, port) = listen();
    let born = unix_ms();
    let boot = Arc::new(Boot {
        id: format!("i-{port}-{born}"),
        port,
        born,
        is_dead: AtomicBool::new(false),
        reading: AtomicUsize::new(0),
    });
    fleet.boots.lock().unwrap().push(boot.clone());
    store.put("keyed.servers", &boot.id, entry(&boot).as_bytes());
    let (beating, beat) = (store.clone(), boot.clone());
    thread::spawn(move || {
        while !beat.is_dead.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1_200));
            if !beat.is_dead.load(Ordering::SeqCst) {
                beating.put("keyed.servers", &beat.id, entry(&beat).as_bytes());
            }
        }
        // Three heartbeats of silence.
        thread::sleep(Duration::from_millis(3_600));
        beating.put("keyed.servers", &beat.id, b"");
    });
    let (fleet, store) = (fleet.clone(), store.clone());
    thread::spawn(move || accept(&fleet, &store, &boot, listener));
}

fn accept(fleet: &Arc<Fleet>, store: &Arc<Store>, boot: &Arc<Boot>, listener: TcpListener) {
    listener.set_nonblocking(true).unwrap();
    let mut open: Vec<TcpStream> = Vec::new();
    while !boot.is_dead.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    open.push(kept);
                }
                let (fleet, boot) = (fleet.clone(), boot.clone());
                thread::spawn(move || answer_all(&fleet, &boot, stream));
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
    // The process is gone: nobody listens, and all its connections end.
    drop(listener);
    for stream in open {
        let _ = stream.shutdown(Shutdown::Both);
    }
    thread::sleep(BACK_AFTER);
    start_worker(fleet, store);
}

fn crash(fleet: &Fleet, boot: &Boot, cause: &'static str) {
    if !boot.is_dead.swap(true, Ordering::SeqCst) {
        fleet.crashes.lock().unwrap().push((Instant::now(), boot.id.clone(), cause));
    }
}

fn answer_all(fleet: &Fleet, boot: &Boot, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        if boot.is_dead.load(Ordering::SeqCst) {
            return;
        }
        if request.path == "/report" {
            let body = b"{\"stage\":\"decode\",\"models\":[],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":1,\
                         \"kv_used\":1,\"kv_total\":539004,\"kv_handles\":0}";
            if !respond(&mut stream, 200, "Content-Type: application/json\r\n", body) {
                return;
            }
            continue;
        }
        if !request.headers.contains_key("request-id") {
            if !respond(&mut stream, 400, "Not-Executed: 1\r\n", b"") {
                return;
            }
            continue;
        }
        answer(fleet, boot, &request.headers, &mut stream);
        let _ = stream.shutdown(Shutdown::Both);
        return;
    }
}

/// Answers a stream that ends with its connection.
fn answer(fleet: &Fleet, boot: &Boot, headers: &std::collections::BTreeMap<String, String>, stream: &mut TcpStream) {
    let id = headers["request-id"].clone();
    boot.reading.fetch_add(1, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(250));
    boot.reading.fetch_sub(1, Ordering::SeqCst);
    if boot.is_dead.load(Ordering::SeqCst) {
        return;
    }
    fleet.runs.lock().unwrap().insert(id.clone(), Instant::now());
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\n\
         Connection: close\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    if headers.get("prompt-prefix").is_some_and(|parts| parts.contains(DEADLY_PART)) {
        let _ = stream.write_all(b"id: 1\nda");
        crash(fleet, boot, "deadly part");
        return;
    }
    for number in 1..=4 {
        if boot.is_dead.load(Ordering::SeqCst) {
            return;
        }
        let _ = stream.write_all(format!("id: {number}\ndata: token\n\n").as_bytes());
        thread::sleep(Duration::from_millis(50));
    }
}

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"desk.example\",\"path_prefix\":\"/chat/\",\
     \"kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":500,\"priority\":2,\"service\":\"models\",\
     \"max_attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":250}],\
     \"services\":[{\"name\":\"models\",\"health_path\":\"/health\",\"max_conns\":370,\"engine\":{\"slots\":64,\
     \"kv_tokens\":539004,\"switch_s\":3.0,\"handle_ttl_s\":5.0,\"token_kv_bytes\":18432,\"link_mbps\":370000.0}}],\
     \"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":1048576,\"header_timeout_ms\":5000,\
     \"idle_timeout_ms\":30000},\"tenants\":[{\"name\":\"mill\",\"api_keys\":[\"key-1\"]}]}"
        .to_owned()
}

/// Sends a request, and returns the status, 0 without an answer.
fn send(port: u16, id: &str, parts: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let request = format!(
        "POST /chat/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\nModel: m\r\n\
         Token-Count: 480,4\r\nPrompt-Prefix: {parts}\r\nAuthorization: Token key-1\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{id}",
        id.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let head = String::from_utf8_lossy(&answer[..answer.len().min(64)]).into_owned();
    head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

struct Sent {
    id: String,
    at: Instant,
    is_deadly: bool,
    status: u16,
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let arguments: Vec<String> = std::env::args().collect();
    let (folder, record_path) = (&arguments[1], &arguments[2]);
    let mut record = std::fs::File::create(record_path).expect("cannot write the record");
    let store: Arc<Store> = Arc::default();
    let fleet: Arc<Fleet> = Arc::default();
    let (cloud_listener, cloud_port) = listen();
    serve(cloud_listener, |_, stream| respond(stream, 200, "", b"{}"));
    store.put("keyed.op", "config", configuration().as_bytes());
    for _ in 0..WORKERS {
        start_worker(&fleet, &store);
    }
    let mut instances = Vec::new();
    for name in ["front-a", "front-b", "front-c"] {
        let (listener, port) = listen();
        let (store, never) = (store.clone(), AtomicBool::new(false));
        let never = Arc::new(never);
        serve(listener, move |request, stream| store.answer(request, stream, &never));
        instances.push(Instance::start(folder, name, port, cloud_port));
    }
    if !wait_until(|| instances.iter().all(Instance::is_ready)) {
        let _ = writeln!(record, "the instances did not become ready");
        drop(instances);
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    let sent: Shared<Vec<Sent>> = Arc::default();
    let begun = Instant::now();
    let (mut number, mut next_deadly, mut has_crashed) = (0, DEADLY_FROM, false);
    let mut clients = Vec::new();
    while begun.elapsed() < END {
        let mut requests = vec![false];
        if begun.elapsed() >= next_deadly {
            next_deadly += DEADLY_EVERY;
            requests.push(true);
        }
        if trouble && !has_crashed && begun.elapsed() >= CRASH_AT {
            let boots = fleet.boots.lock().unwrap().clone();
            let is_busy = |boot: &&Arc<Boot>| {
                !boot.is_dead.load(Ordering::SeqCst) && boot.reading.load(Ordering::SeqCst) > 0
            };
            if let Some(boot) = boots.iter().find(is_busy) {
                crash(&fleet, boot, "srv_crash");
                has_crashed = true;
            }
        }
        for is_deadly in requests {
            number += 1;
            let id = format!("{}-{number}", if is_deadly { "deadly" } else { "sound" });
            let port = instances[number % instances.len()].caller_port;
            let parts = match is_deadly {
                true => format!("a1:350,{DEADLY_PART},{:x}:100", 1_000_000 + number),
                false => format!("a1:350,{:x}:130", 1_000_000 + number),
            };
            let sent = sent.clone();
            clients.push(thread::spawn(move || {
                let at = Instant::now();
                let status = send(port, &id, &parts);
                sent.lock().unwrap().push(Sent { id, at, is_deadly, status });
            }));
        }
        thread::sleep(SOUND_EVERY);
    }
    for client in clients {
        let _ = client.join();
    }
    drop(instances);
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|request| request.at);
    let runs = fleet.runs.lock().unwrap();
    for request in &sent {
        let at_ms = (request.at - begun).as_millis();
        let ran = runs.contains_key(&request.id);
        let _ = writeln!(record, "{at_ms} ms: {}: {}, begun: {ran}", request.id, request.status);
    }
    let crashes = fleet.crashes.lock().unwrap().clone();
    for (at, id, cause) in &crashes {
        let _ = writeln!(record, "{} ms: worker {id} crashed: {cause}", (*at - begun).as_millis());
    }
    let settled_from = crashes.get(4).or(crashes.last()).map_or(begun + CRASH_AT, |(at, ..)| *at) + SETTLED;
    let rate = |from: Instant, to: Instant| {
        let (mut all, mut ran) = (0_u32, 0_u32);
        for request in sent.iter().filter(|request| !request.is_deadly && request.at >= from && request.at < to) {
            all += 1;
            ran += u32::from(runs.contains_key(&request.id));
        }
        (all, ran, f64::from(ran) / f64::from(all.max(1)))
    };
    let before = rate(begun, begun + DEADLY_FROM);
    let after = rate(settled_from, begun + END);
    let late_deadly = sent.iter().any(|request| request.is_deadly && request.at >= settled_from);
    let _ = writeln!(record, "sound requests before: {} sent, {} begun", before.0, before.1);
    let _ = writeln!(
        record,
        "sound requests from {} ms on, while deadly ones come ({late_deadly}): {} sent, {} begun",
        (settled_from - begun).as_millis(),
        after.0,
        after.1
    );
    if before.0 < 20 || after.0 < 20 || !late_deadly || before.2 < 0.5 {
        let _ = writeln!(record, "too few requests to judge");
        std::process::exit(2);
    }
    let is_broken = after.2 < before.2 / 2.0;
    let _ = writeln!(record, "LOST is {}", if is_broken { "broken" } else { "kept" });
    std::process::exit(i32::from(is_broken));
}
