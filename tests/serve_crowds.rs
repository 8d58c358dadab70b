//! Callers that break the rules, in crowds, at an instance of `serve`.

mod common;
mod crowd_support;

use common::cluster::{Cluster, ClusterOptions};
use crowd_support::{Aim, BODY_BEHAVIOURS, Behaviour, ProcessWatch, check_crowds, take_turn};

/// Memory limit of the process in its settings, and the bound of the tests, in megabytes.
const MEMORY_MB: u64 = 64;

/// Descriptor limit of the process in its settings, and the bound of the tests.
const MAX_DESCRIPTORS: usize = 160;

const STATUS: &str = "GET /status HTTP/1.1\r\nhost: x\r\n\r\n";
const READY: &str = "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n";

fn fields(index: usize) -> String {
    format!("host: x\r\nauthorization: Bearer test-order-key\r\nidempotency-key: crowd-{index}\r\n")
}

async fn start(name: &str) -> (Cluster, ProcessWatch) {
    let options = ClusterOptions {
        instances: 1,
        engines: 0,
        plain_services: 1,
        timing: format!(
            "  lease_ms: 1000\n  renew_ms: 300\nlimits:\n  max_body_bytes: 262144\n  \
             memory_mb: {MEMORY_MB}\n  max_descriptors: {MAX_DESCRIPTORS}\n"
        ),
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(name, options).await;
    let watch = ProcessWatch::start(cluster.instances[0].id());
    (cluster, watch)
}

/// Checks crowds at one of the instance's addresses, at the paths of a route, without a
/// route and of the readiness.
async fn check(name: &str, field: &str, behaviours: &[Behaviour]) {
    let _turn = take_turn().await;
    let (cluster, watch) = start(name).await;
    let (paths, ordinary) = match field {
        "entry" => (vec!["/orders", "/status", "/nowhere", "/readyz"], STATUS),
        _ => (vec!["/readyz", "/metrics", "/nowhere"], READY),
    };
    let address = cluster.instances[0].text(field).parse().unwrap();
    let aim = Aim {
        address,
        paths,
        method: "GET",
        fields,
    };
    crowd_support::wait_until_answered(address, ordinary, "at the start").await;
    let limits = (MEMORY_MB, MAX_DESCRIPTORS);
    check_crowds(&watch, &aim, behaviours, ordinary, limits).await;
}

/// Guards against bodies that together take more memory than the instance has.
#[tokio::test(flavor = "multi_thread")]
async fn entry_bodies() {
    check("entry_bodies", "entry", &BODY_BEHAVIOURS).await;
}

/// Guards against bodies in tiny chunks, each of which is kept with a buffer of its own.
#[tokio::test(flavor = "multi_thread")]
async fn entry_chunks() {
    check("entry_chunks", "entry", &[Behaviour::ChunkBodies]).await;
}

/// Guards against bodies far over the limit that are read to their end or kept.
#[tokio::test(flavor = "multi_thread")]
async fn entry_huge_bodies() {
    check("entry_huge_bodies", "entry", &[Behaviour::HugeBodies]).await;
}

/// Guards against heads of many short fields, which take more memory parsed than as sent.
#[tokio::test(flavor = "multi_thread")]
async fn entry_short_fields() {
    check("entry_short_fields", "entry", &[Behaviour::ShortFields]).await;
}

/// Guards against answers that pile up because their callers don't read them.
#[tokio::test(flavor = "multi_thread")]
async fn entry_unread_answers() {
    let behaviours = [Behaviour::Pipelined, Behaviour::SlowReaders];
    check("entry_unread_answers", "entry", &behaviours).await;
}

/// Guards against connections that use up the descriptors, so that nobody else is served.
#[tokio::test(flavor = "multi_thread")]
async fn entry_slow_senders() {
    let behaviours = [Behaviour::SlowSenders, Behaviour::HalfWay];
    check("entry_slow_senders", "entry", &behaviours).await;
}

/// Guards against callers that keep the instance's health and metrics from being read.
#[tokio::test(flavor = "multi_thread")]
async fn admin_crowds() {
    let behaviours = [
        Behaviour::WholeBodies,
        Behaviour::HugeBodies,
        Behaviour::ShortFields,
        Behaviour::Pipelined,
        Behaviour::SlowSenders,
        Behaviour::HalfWay,
    ];
    check("admin_crowds", "admin", &behaviours).await;
}
