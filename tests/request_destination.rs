//! The command that tells where a request would go.

mod platform_support;

use std::{
    process::Output,
    sync::{Arc, Mutex},
};

use platform_support::{Arrival, Cloud, Gateway, Store, Worker, configuration, signed};
use tokio::process::Command;

struct Fixture {
    store: Store,
    gateway: Gateway,
    workers: Vec<Worker>,
    /// Calls that targets got, other than questions about their load.
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    _cloud: Cloud,
}

/// Starts a gateway with a target for each identifier, service and role.
async fn start_fixture(targets: &[(&str, &str, Option<&str>)]) -> Fixture {
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("keyed.op", "config", &configuration(1));
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut workers = Vec::new();
    for (id, service, role) in targets {
        let received = arrivals.clone();
        let worker = Worker::start(id, move |arrival| {
            received.lock().unwrap().push(arrival.clone());
            Some(signed(arrival, 200, "x"))
        })
        .await;
        store.put("keyed.servers", id, &worker.entry(service, *role));
        workers.push(worker);
    }
    let settings = "placement:\n  shared: true\n";
    let gateway = Gateway::start_with("entry-1", &store, &cloud, settings).await;
    gateway.wait_until_ready().await;
    Fixture {
        store,
        gateway,
        workers,
        arrivals,
        _cloud: cloud,
    }
}

impl Fixture {
    async fn ask(&self, path: &str, options: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lavenderwind"));
        command
            .args(["where", &self.gateway.metrics_address.to_string()])
            .args(["--host", "desk.example", "--path", path])
            .args(options);
        command.output().await.unwrap()
    }
}

fn text(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

/// The answer must name the target and what speaks for it, and nothing must be sent.
#[tokio::test]
async fn plain_target_named() {
    let fixture = start_fixture(&[("i-0", "desk", None), ("i-1", "desk", None)]).await;
    let output = fixture.ask("/look/1?x=2", &["--key", "key-1"]).await;
    let text = text(&output);
    assert!(output.status.success(), "{output:?}");
    assert!(
        text.starts_with("route look, service desk, account mill"),
        "{text}"
    );
    assert!(text.contains("target i-"), "{text}");
    for worker in &fixture.workers {
        let line = format!("  {} in z1: load 0.0 of 6, slowness 1.00", worker.id);
        assert!(text.contains(&line), "{text}");
    }
    assert!(fixture.arrivals.lock().unwrap().is_empty());
}

/// The answer for a prompt must name the engines for both steps.
#[tokio::test]
async fn engines_named() {
    let fixture = start_fixture(&[
        ("i-p", "models", Some("prefill")),
        ("i-d", "models", Some("decode")),
    ])
    .await;
    let prompt = [
        "--key",
        "key-1",
        "--model",
        "m",
        "--token-count",
        "9000,20",
        "--prompt-prefix",
        "a1:6000,b2:3000",
    ];
    let output = fixture.ask("/chat/", &prompt).await;
    let text = text(&output);
    assert!(output.status.success(), "{output:?}");
    assert!(text.contains("prefill at i-p"), "{text}");
    // The shared parts are fetched from the engine that should have them.
    assert!(
        text.contains("uncached tokens 3000 of 9000, fetch from i-d"),
        "{text}"
    );
    assert!(text.contains("decode at i-d"), "{text}");
    assert!(fixture.arrivals.lock().unwrap().is_empty());
}

/// A request that would be refused must be told from one that would be sent.
#[tokio::test]
async fn refusals_told() {
    let fixture = start_fixture(&[("i-0", "desk", None)]).await;
    for (path, options, reason) in [
        ("/nowhere/", &["--key", "key-1"][..], "no route"),
        ("/look/1", &[], "key"),
        ("/look/1", &["--key", "key-2"], "key"),
        ("/chat/", &["--key", "key-1"], "target"),
        ("not a path", &["--key", "key-1"], ""),
    ] {
        let output = fixture.ask(path, options).await;
        let text = text(&output);
        assert!(!output.status.success(), "{path}: {text}");
        assert!(text.starts_with("refused: "), "{path}: {output:?}");
        assert!(text.contains(reason), "{path}: {text}");
    }
    // Draining targets get nothing.
    let mut entry = fixture.workers[0].entry("desk", None);
    entry["state"] = "draining".into();
    fixture.store.put("keyed.servers", "i-0", &entry);
    let mut refused = false;
    while !refused {
        let output = fixture.ask("/look/1", &["--key", "key-1"]).await;
        refused = !output.status.success();
    }
    assert!(fixture.arrivals.lock().unwrap().is_empty());
}
