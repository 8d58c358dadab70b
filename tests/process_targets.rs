//! Targets that crash, leave or are reclaimed, and graceful stops.

mod common;

use common::{
    cluster::{Cluster, ClusterOptions, outcome},
    process::wait_until,
};
use serde_json::{Value, json};

fn chat_text(answer: &Value) -> String {
    answer["choices"][0]["message"]["content"]
        .as_str()
        .expect("a text")
        .to_owned()
}

fn slow_engines(engines: usize) -> ClusterOptions {
    ClusterOptions {
        engines,
        engine_options: "decode_tokens_per_s: 40\ncrash_marker: poison\nrestart_ms: 500\n"
            .to_owned(),
        ..ClusterOptions::default()
    }
}

/// Returns the undisturbed answer to a user message, for comparison.
async fn reference(cluster: &Cluster, prompt: &str, tokens: u32) -> String {
    let answer = cluster
        .chat(&cluster.instances[0], prompt, tokens)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    chat_text(&answer.json().await.unwrap())
}

/// An instance that is told to stop completes its running requests before it exits.
#[tokio::test]
async fn graceful_stop() {
    let mut cluster = Cluster::start("graceful_stop", slow_engines(2)).await;
    let expected = reference(&cluster, "stop", 40).await;
    let mut running = Vec::new();
    for _ in 0..10 {
        running.push(tokio::spawn(
            cluster.chat(&cluster.instances[1], "stop", 40).send(),
        ));
    }
    let busy = || async {
        let status = cluster.status(&cluster.instances[0]).await;
        let targets = status["targets"].as_array().unwrap().clone();
        targets
            .iter()
            .filter_map(|target| target["running"].as_u64())
            .sum::<u64>()
            >= 10
    };
    wait_until("the requests run", busy).await;
    cluster.instances[1].terminate().await;
    for request in running {
        let answer = request.await.unwrap().unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(chat_text(&answer.json().await.unwrap()), expected);
    }
    assert!(cluster.instances[1].wait().await.success());
}

/// Requests on a killed engine are completed by another one, with the same text.
#[tokio::test]
async fn killed_engine() {
    let mut cluster = Cluster::start("killed_engine", slow_engines(2)).await;
    let expected = reference(&cluster, "resume", 60).await;
    let mut running = Vec::new();
    for index in 0..8 {
        let instance = &cluster.instances[index % 3];
        running.push(tokio::spawn(cluster.chat(instance, "resume", 60).send()));
    }
    let busy = || async {
        let state = cluster.standin_json(&cluster.engines[0], "/state").await;
        state["running"].as_u64() > Some(0)
    };
    wait_until("the first engine runs a request", busy).await;
    cluster.engines[0].kill().await;
    for request in running {
        let answer = request.await.unwrap().unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(chat_text(&answer.json().await.unwrap()), expected);
    }
}

/// A request that crashes every engine on which it runs is quarantined by all
/// instances after it has crashed two.
#[tokio::test]
async fn poisonous_request() {
    let cluster = Cluster::start("poisonous_request", slow_engines(4)).await;
    let mut boots = Vec::new();
    for engine in &cluster.engines {
        boots.push(cluster.standin_json(engine, "/state").await["boot"].clone());
    }
    let instance = &cluster.instances[0];
    let failed = cluster.chat(instance, "poison", 4).send().await.unwrap();
    assert!(!failed.status().is_success());
    let quarantined = || async {
        let answers = cluster
            .instances
            .iter()
            .map(|i| cluster.chat(i, "poison", 4).send());
        let answers = futures_util::future::join_all(answers).await;
        answers
            .into_iter()
            .all(|answer| outcome(&answer.unwrap()) == Some("not-run"))
    };
    wait_until("every instance refuses the request", quarantined).await;
    let mut crashed = 0;
    for (engine, boot) in cluster.engines.iter().zip(boots) {
        let back = || async {
            let url = format!("{}/state", engine.url("address"));
            cluster.http.get(url).send().await.is_ok()
        };
        wait_until("the engine is back", back).await;
        let now = cluster.standin_json(engine, "/state").await["boot"].clone();
        crashed += usize::from(now != boot);
    }
    assert_eq!(crashed, 2);
}

/// Requests complete with the same text while their failure domain is reclaimed.
#[tokio::test]
async fn reclaimed_domain() {
    let cluster = Cluster::start("reclaimed_domain", slow_engines(4)).await;
    let expected = reference(&cluster, "reclaim", 60).await;
    let mut running = Vec::new();
    for index in 0..12 {
        let instance = &cluster.instances[index % 3];
        running.push(tokio::spawn(cluster.chat(instance, "reclaim", 60).send()));
    }
    let url = format!("{}/targets/reclaim", cluster.platform_url());
    let reclaim = json!({"group": {"kind": "engine", "failure_domain": "a"}, "notice_ms": 1500});
    let answer = cluster.http.post(url).json(&reclaim).send().await.unwrap();
    assert!(answer.status().is_success());
    for request in running {
        let answer = request.await.unwrap().unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(chat_text(&answer.json().await.unwrap()), expected);
    }
}
