//! Configuration and keys with separate processes, under concurrent changes and
//! interruptions of the log.

mod common;

use common::{
    cluster::{Cluster, ClusterOptions, outcome},
    process::wait_until,
    relay::Relay,
};
use serde_json::json;

const TIMING: &str = "  lease_ms: 1000\n  renew_ms: 300\n";

/// Two commands that issue keys at the same time both succeed; a document based on an
/// outdated revision is refused.
#[tokio::test]
async fn racing_operators() {
    let cluster = Cluster::start("racing_operators", ClusterOptions::default()).await;
    let issue = |id: &'static str| {
        let arguments = [
            "key",
            "issue",
            "--service",
            "advice",
            "--account",
            "workshop",
            "--id",
            id,
            "--wait",
        ];
        let cluster = &cluster;
        async move { cluster.run_operator(&arguments).await }
    };
    let (first, second) = tokio::join!(issue("k-a"), issue("k-b"));
    assert!(first.0 && second.0, "{} {}", first.1, second.1);
    let shown = cluster.run_operator(&["service", "show", "advice"]).await.1;
    assert!(shown.contains("k-a") && shown.contains("k-b"), "{shown}");
    let stale = include_str!("common/model.yaml");
    let path = format!("{}/stale.yaml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, stale).unwrap();
    let refused = cluster
        .run_operator(&["service", "publish", &path, "--base-revision", "1"])
        .await;
    assert!(
        !refused.0 && refused.1.contains("revision 3 is current"),
        "{}",
        refused.1
    );
    let history = cluster
        .run_operator(&["service", "history", "advice"])
        .await
        .1;
    assert!(history.contains("refused"), "{history}");
}

/// Every instance refuses a revoked key, and no later document can restore it.
#[tokio::test]
async fn revoked_key() {
    let cluster = Cluster::start("revoked_key", ClusterOptions::default()).await;
    for instance in &cluster.instances {
        let answer = cluster.chat(instance, "hello", 2).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    cluster.revoke_key().await;
    for instance in &cluster.instances {
        let answer = cluster.chat(instance, "hello", 2).send().await.unwrap();
        assert_eq!(answer.status(), 401);
        assert_eq!(outcome(&answer), Some("not-run"));
    }
    let path = format!("{}/revived.yaml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, include_str!("common/model.yaml")).unwrap();
    let (published, text) = cluster.run_operator(&["service", "publish", &path]).await;
    assert!(!published, "{text}");
}

/// A revocation takes effect while earlier requests with the key wait for the engine.
#[tokio::test]
async fn revoked_while_queued() {
    let options = ClusterOptions {
        engines: 1,
        engine_options: "max_running: 1\ndecode_tokens_per_s: 20\n".to_owned(),
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start("revoked_while_queued", options).await;
    let instance = &cluster.instances[0];
    let running = tokio::spawn(cluster.chat(instance, "long", 100).send());
    let mut queued = Vec::new();
    for index in 0..40 {
        let prompt = format!("queued {index}");
        queued.push(tokio::spawn(cluster.chat(instance, &prompt, 100).send()));
    }
    cluster.revoke_key().await;
    let late = cluster.chat(instance, "late", 2).send().await.unwrap();
    assert_eq!(late.status(), 401);
    running.abort();
    for request in queued {
        request.abort();
    }
}

/// An instance that cannot reach the log does not go on accepting a revoked key.
#[tokio::test]
async fn cut_from_log() {
    let mut cluster = Cluster::start("cut_from_log", ClusterOptions::default()).await;
    let platform = cluster.platform.text("address").parse().unwrap();
    let relay = Relay::start(platform).await;
    let instance = cluster.start_instance(3, &relay.url(), TIMING).await;
    cluster.instances.push(instance);
    cluster.wait_ready().await;
    relay.set_cut(true);
    let revoke = ["key", "revoke", "--service", "advice", "--id", "workshop-1"];
    let (revoked, text) = cluster.run_operator(&revoke).await;
    assert!(revoked, "{text}");
    let cut = &cluster.instances[3];
    // Either peers relay the revocation, or the instance refuses all keyed
    // requests.
    let refuses = || async {
        let answer = cluster.chat(cut, "hello", 2).send().await.unwrap();
        answer.status() == 401 || answer.status() == 503
    };
    wait_until("the cut instance refuses the key", refuses).await;
    relay.set_cut(false);
    let revoked_there =
        || async { cluster.chat(cut, "hello", 2).send().await.unwrap().status() == 401 };
    wait_until("the instance knows the revocation", revoked_there).await;
}

/// If no instance can reach the log, all of them continue to accept known keys.
#[tokio::test]
async fn outage_for_all() {
    let cluster = Cluster::start("outage_for_all", ClusterOptions::default()).await;
    cluster
        .set_faults(&cluster.platform, json!({"log": {"outage": true}}))
        .await;
    let log_down = || async {
        let status = cluster.status(&cluster.instances[0]).await;
        status["log_live"] == false
    };
    wait_until("the instance notices the outage", log_down).await;
    // Twice the time after which an instance must refuse requests if nothing
    // confirms that its configuration is current.
    tokio::time::sleep(std::time::Duration::from_secs(5)).await;
    for instance in &cluster.instances {
        let answer = cluster.chat(instance, "hello", 2).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }
}

/// An instance that starts after a service was published serves it.
#[tokio::test]
async fn late_instance() {
    let mut cluster = Cluster::start("late_instance", ClusterOptions::default()).await;
    let url = cluster.platform_url();
    let instance = cluster.start_instance(5, &url, TIMING).await;
    cluster.instances.push(instance);
    cluster.wait_ready().await;
    let answer = cluster
        .chat(&cluster.instances[3], "hello", 2)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
}
