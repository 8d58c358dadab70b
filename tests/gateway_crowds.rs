//! Callers that break the rules, in crowds, at each listener of a gateway process.

mod crowd_support;
mod platform_support;

use std::{net::SocketAddr, process::Stdio};

use crowd_support::{Aim, BODY_BEHAVIOURS, Behaviour, ProcessWatch, check_crowds, take_turn};
use platform_support::{Cloud, Store, Worker, configuration, signed};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
};

/// Memory limit of the process in its settings, and the bound of the tests, in megabytes.
const MEMORY_MB: u64 = 64;

/// Descriptor limit of the process in its settings, and the bound of the tests.
const MAX_DESCRIPTORS: usize = 160;

/// Size of the answers of the route `look`, in bytes.
const ANSWER_BYTES: usize = 256 << 10;

/// A gateway process with its stand-ins.
struct GatewayProcess {
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    watch: ProcessWatch,
    _child: Child,
    _stand_ins: (Store, Cloud, Worker),
}

impl GatewayProcess {
    async fn start(name: &str) -> Self {
        let worker = Worker::start("i-1", |arrival| {
            let size = if arrival.path.contains("small") {
                2
            } else {
                ANSWER_BYTES
            };
            Some(signed(arrival, 200, &"x".repeat(size)))
        })
        .await;
        let (store, cloud) = (Store::start().await, Cloud::start().await);
        let mut configured = configuration(1);
        configured["limits"] = json!({"max_header_bytes": 16_384, "max_body_bytes": 262_144,
                                      "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000});
        store.put("keyed.op", "config", &configured);
        store.put("keyed.servers", "i-1", &worker.entry("desk", None));
        let free = "127.0.0.1:0";
        let text = format!(
            "name: {name}\nfailure_domain: z1\ncaller_address: {free}\n\
             readiness_address: {free}\npeer_address: {free}\nmetrics_address: {free}\n\
             store_address: {}\ncloud_address: {}\n\
             limits: {{memory_mb: {MEMORY_MB}, max_descriptors: {MAX_DESCRIPTORS}}}\n\
             logging: {{format: json}}\n",
            store.address(),
            cloud.server.address
        );
        let path = format!("{}/{name}.yaml", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lavenderwind"))
            .args(["gateway", "--settings", &path])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let started = read_started(&mut lines).await;
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        let address = |field: &str| started[field].as_str().unwrap().parse().unwrap();
        let gateway = Self {
            callers: address("callers"),
            readiness: address("readiness"),
            metrics: address("metrics"),
            watch: ProcessWatch::start(child.id().unwrap()),
            _child: child,
            _stand_ins: (store, cloud, worker),
        };
        crowd_support::wait_until_answered(gateway.readiness, READY, "at the start").await;
        crowd_support::wait_until_answered(gateway.callers, LOOK, "at the start").await;
        gateway
    }

    async fn check(&self, listener: Listener, behaviours: &[Behaviour]) {
        let (address, path, ordinary) = match listener {
            Listener::Callers => (self.callers, "/look/large", LOOK),
            Listener::Readiness => (self.readiness, "/ready", READY),
            Listener::Metrics => (self.metrics, "/metrics", METRICS),
        };
        let mut paths = vec![path, "/nowhere"];
        if path != "/ready" {
            paths.push("/ready");
        }
        let aim = Aim {
            address,
            paths,
            method: "GET",
            fields,
        };
        let limits = (MEMORY_MB, MAX_DESCRIPTORS);
        check_crowds(&self.watch, &aim, behaviours, ordinary, limits).await;
    }
}

/// Reads lines of the log up to the one that names the addresses.
async fn read_started(lines: &mut Lines<BufReader<ChildStdout>>) -> Value {
    while let Some(line) = lines.next_line().await.unwrap() {
        let line: Value = serde_json::from_str(&line).unwrap();
        let fields = line.get("fields").unwrap_or(&line);
        if fields["message"] == "gateway: started" {
            return fields.clone();
        }
    }
    panic!("the gateway did not start");
}

#[derive(Clone, Copy)]
enum Listener {
    Callers,
    Readiness,
    Metrics,
}

const LOOK: &str = "GET /look/small HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r-1\r\n\
                    deadline-ms: 3000\r\nauthorization: Token key-1\r\n\r\n";
const READY: &str = "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
const METRICS: &str = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";

fn fields(index: usize) -> String {
    format!(
        "host: desk.example\r\nrequest-id: r-crowd-{index}\r\ndeadline-ms: 20000\r\n\
         authorization: Token key-1\r\n"
    )
}

/// Guards against bodies that together take more memory than the instance has.
#[tokio::test(flavor = "multi_thread")]
async fn caller_bodies() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("caller_bodies").await;
    gateway.check(Listener::Callers, &BODY_BEHAVIOURS).await;
}

/// Guards against bodies in tiny chunks, each of which is kept with a buffer of its own.
#[tokio::test(flavor = "multi_thread")]
async fn caller_chunks() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("caller_chunks").await;
    let behaviours = [Behaviour::ChunkBodies];
    gateway.check(Listener::Callers, &behaviours).await;
}

/// Guards against bodies far over the limit that are read to their end or kept.
#[tokio::test(flavor = "multi_thread")]
async fn caller_huge_bodies() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("caller_huge_bodies").await;
    let behaviours = [Behaviour::HugeBodies];
    gateway.check(Listener::Callers, &behaviours).await;
}

/// Guards against heads of many short fields, which take more memory parsed than as sent.
#[tokio::test(flavor = "multi_thread")]
async fn caller_short_fields() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("caller_short_fields").await;
    let behaviours = [Behaviour::ShortFields];
    gateway.check(Listener::Callers, &behaviours).await;
}

/// Guards against answers that pile up because their callers don't read them.
#[tokio::test(flavor = "multi_thread")]
async fn caller_unread_answers() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("caller_unread_answers").await;
    let behaviours = [Behaviour::Pipelined, Behaviour::SlowReaders];
    gateway.check(Listener::Callers, &behaviours).await;
}

/// Guards against connections that use up the descriptors, so that nobody else is served.
#[tokio::test(flavor = "multi_thread")]
async fn caller_slow_senders() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("caller_slow_senders").await;
    let behaviours = [Behaviour::SlowSenders, Behaviour::HalfWay];
    gateway.check(Listener::Callers, &behaviours).await;
}

/// Behaviours that are sent to the listeners without routes of the configuration.
const PLAIN_BEHAVIOURS: [Behaviour; 8] = [
    Behaviour::WholeBodies,
    Behaviour::ChunkBodies,
    Behaviour::HugeBodies,
    Behaviour::ShortFields,
    Behaviour::Pipelined,
    Behaviour::SlowSenders,
    Behaviour::SlowReaders,
    Behaviour::HalfWay,
];

/// Guards against callers that keep the load balancer's checks from being answered.
#[tokio::test(flavor = "multi_thread")]
async fn readiness_crowds() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("readiness_crowds").await;
    gateway.check(Listener::Readiness, &PLAIN_BEHAVIOURS).await;
}

/// Guards against the same at the listener for metrics, whose answers are larger.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_crowds() {
    let _turn = take_turn().await;
    let gateway = GatewayProcess::start("metrics_crowds").await;
    gateway.check(Listener::Metrics, &PLAIN_BEHAVIOURS).await;
}
