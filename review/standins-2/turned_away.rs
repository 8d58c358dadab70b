//! Two versions of the configuration are written at once while the store turns one of three
//! machines away. Is the second version in force there in time?

#[path = "platform.rs"]
mod platform;

use std::{
    io::Write,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use platform::{get_status, listen, respond, serve, wait_until, Instance, Shared, Store};

/// Time for which the store turns the machine away.
const AWAY: Duration = Duration::from_millis(9_000);
/// `config_apply_ms` + `max_skew_ms`: the bound while the store is in disruption.
const BOUND: Duration = Duration::from_millis(2_000 + 5_000);
/// Routes beside those that are used; a version has about 160 KB with them.
const MORE_ROUTES: usize = 700;

fn configuration(version: u64, keys: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\"service\":\"desk\",\
             \"max_attempts\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let mut routes = vec![route("order", "unsafe"), route("look", "safe")];
    for number in 0..MORE_ROUTES {
        routes.push(route(&format!("added-{number:05}"), "safe"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_conns\":110}}],\"limits\":{{\"max_header_bytes\":8192,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}},\"tenants\":[{{\"name\":\"mill\",\
         \"api_keys\":[{keys}]}}]}}",
        routes.join(",")
    )
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let arguments: Vec<String> = std::env::args().collect();
    let (folder, record_path) = (&arguments[1], &arguments[2]);
    let mut record = std::fs::File::create(record_path).expect("cannot write the record");
    let store: Arc<Store> = Arc::default();
    let runs: Shared<Vec<String>> = Arc::default();
    let (worker_listener, worker_port) = listen();
    let ran = runs.clone();
    serve(worker_listener, move |request, stream| {
        let id = request
            .headers
            .get("request-id")
            .cloned()
            .unwrap_or_default();
        ran.lock().unwrap().push(id.clone());
        let more = format!("Request-Id: {id}\r\nResponse-Seal: 1.2.3\r\n");
        respond(stream, 200, &more, b"done")
    });
    let (cloud_listener, cloud_port) = listen();
    serve(cloud_listener, |_, stream| respond(stream, 200, "", b"{}"));
    store.put(
        "keyed.op",
        "config",
        configuration(1, "\"key-1\",\"key-2\"").as_bytes(),
    );
    let beating = store.clone();
    thread::spawn(move || loop {
        let entry = format!(
                "{{\"service\":\"desk\",\"address\":\"127.0.0.1:{worker_port}\",\"zone\":\"z1\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0,\"born\":1700000000000}}"
            );
        beating.put("keyed.servers", "w-1", entry.as_bytes());
        thread::sleep(Duration::from_millis(1_200));
    });
    let mut instances = Vec::new();
    let mut away = Vec::new();
    for name in ["front-a", "front-b", "front-c"] {
        let (listener, port) = listen();
        let is_away = Arc::new(AtomicBool::new(false));
        let (store, flag) = (store.clone(), is_away.clone());
        serve(listener, move |request, stream| {
            store.answer(request, stream, &flag)
        });
        instances.push(Instance::start(folder, name, port, cloud_port));
        away.push(is_away);
    }
    if !wait_until(|| instances.iter().all(Instance::is_ready)) {
        let _ = writeln!(record, "the instances did not become ready");
        drop(instances);
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    let sent = Mutex::new(0);
    let send = |instance: &Instance, key: &str| {
        let mut number = sent.lock().unwrap();
        *number += 1;
        let id = format!("r-{number}");
        let request = format!(
            "GET /look/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
             Authorization: Token {key}\r\nConnection: close\r\n\r\n"
        );
        (id, get_status(instance.caller_port, &request))
    };
    let before = [
        send(&instances[0], "key-2").1,
        send(&instances[1], "key-2").1,
    ];
    if before != [200, 200] {
        let _ = writeln!(record, "key-2 is not served before: {before:?}");
        drop(instances);
        std::process::exit(2);
    }
    let begun = Instant::now();
    if trouble {
        away[0].store(true, Ordering::SeqCst);
        let _ = writeln!(record, "0 ms: the store turns front-a away");
    }
    thread::sleep(Duration::from_millis(500));
    store.put(
        "keyed.op",
        "config",
        configuration(2, "\"key-1\",\"key-2\"").as_bytes(),
    );
    store.put(
        "keyed.op",
        "config",
        configuration(3, "\"key-1\"").as_bytes(),
    );
    let acknowledged = Instant::now();
    let acknowledged_ms = begun.elapsed().as_millis();
    let _ = writeln!(
        record,
        "{acknowledged_ms} ms: versions 2 and 3 acknowledged; version 3 has no key-2"
    );
    let mut broken = 0;
    while begun.elapsed() + Duration::from_millis(150) < AWAY {
        for (instance, name) in instances.iter().zip(["front-a", "front-b"]) {
            let is_late = acknowledged.elapsed() > BOUND;
            let at_ms = begun.elapsed().as_millis();
            let (id, status) = send(instance, "key-2");
            let has_run = runs.lock().unwrap().contains(&id);
            let broke = is_late && has_run;
            broken += u32::from(broke);
            let mark = if broke { " BROKEN" } else { "" };
            let _ = writeln!(
                record,
                "{at_ms} ms: {id} with key-2 to {name}: {status}, run: {has_run}{mark}"
            );
        }
        thread::sleep(Duration::from_millis(200));
    }
    away[0].store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    let after = send(&instances[0], "key-2").1;
    let _ = writeln!(record, "2 s after the store serves front-a again: {after}");
    let _ = writeln!(
        record,
        "requests with the dropped key that ran after the bound: {broken}"
    );
    drop(instances);
    std::process::exit(i32::from(broken > 0));
}
