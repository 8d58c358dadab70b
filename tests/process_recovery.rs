//! Replacement of instances and expiry of log records, with separate processes.

mod common;

use common::{
    cluster::{Cluster, ClusterOptions, ORDER_KEY, outcome},
    process::wait_until,
};
use serde_json::json;

const TIMING: &str = "  lease_ms: 1000\n  renew_ms: 300\n  checkpoint_ms: 700\n";

fn options() -> ClusterOptions {
    ClusterOptions {
        timing: TIMING.to_owned(),
        ..ClusterOptions::default()
    }
}

/// Returns the offset up to which an instance has applied the log.
async fn applied(cluster: &Cluster, index: usize) -> u64 {
    let status = cluster.status(&cluster.instances[index]).await;
    status["applied_offset"].as_u64().expect("an offset")
}

async fn place_order(cluster: &Cluster, index: usize, key: &str) -> String {
    let answer = cluster
        .order(&cluster.instances[index], key, "steel")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 201);
    answer.text().await.unwrap()
}

async fn assert_replayed(cluster: &Cluster, index: usize, key: &str, body: &str) {
    let answer = cluster
        .order(&cluster.instances[index], key, "steel")
        .send()
        .await
        .unwrap();
    let status = answer.status();
    let replayed = answer.headers().get("lavenderwind-replayed").cloned();
    let text = answer.text().await.unwrap();
    let is_replayed = replayed.is_some_and(|value| value == "true");
    assert!(is_replayed, "answered with {status}: {text}");
    assert_eq!(text, body);
}

/// An instance that starts after the records have expired knows the answer to an
/// earlier order, a revoked key and the history of a service.
#[tokio::test]
async fn expired_records() {
    let mut cluster = Cluster::start("expired_records", options()).await;
    let body = place_order(&cluster, 0, "order-1").await;
    cluster.revoke_key().await;
    let before = applied(&cluster, 0).await;
    cluster
        .set_faults(&cluster.platform, json!({"retention_records": 60}))
        .await;
    let expired = || async { applied(&cluster, 0).await > before + 80 };
    wait_until("the order's records have expired", expired).await;
    let url = cluster.platform_url();
    let late = cluster.start_instance(7, &url, TIMING).await;
    cluster.instances.push(late);
    cluster.wait_ready().await;
    assert_replayed(&cluster, 3, "order-1", &body).await;
    let refused = cluster
        .chat(&cluster.instances[3], "hello", 2)
        .send()
        .await
        .unwrap();
    assert_eq!(refused.status(), 401);
    let (published, text) = cluster
        .run_operator(&["service", "history", "orders"])
        .await;
    assert!(published && text.contains("accepted as 1"), "{text}");
}

/// Answers to earlier orders are still known after all instances were killed and
/// replaced by new ones.
#[tokio::test]
async fn all_replaced() {
    let mut cluster = Cluster::start("all_replaced", options()).await;
    let body = place_order(&cluster, 0, "order-1").await;
    // The outcome is recorded after the answer was sent; a resend waits for the
    // record.
    assert_replayed(&cluster, 1, "order-1", &body).await;
    for instance in &mut cluster.instances {
        instance.kill().await;
    }
    cluster.instances.clear();
    let url = cluster.platform_url();
    for index in 10..13 {
        let instance = cluster.start_instance(index, &url, TIMING).await;
        cluster.instances.push(instance);
    }
    cluster.wait_ready().await;
    for index in 0..3 {
        assert_replayed(&cluster, index, "order-1", &body).await;
    }
}

/// An instance is killed right after an answer, before or after the outcome is
/// recorded in the log. A resend must not run the request again.
#[tokio::test]
async fn killed_after_answer() {
    let mut cluster = Cluster::start("killed_after_answer", options()).await;
    for round in 0..4 {
        let key = format!("order-{round}");
        let body = place_order(&cluster, 0, &key).await;
        cluster.instances[0].kill().await;
        let resend = cluster
            .order(&cluster.instances[1], &key, "steel")
            .send()
            .await
            .unwrap();
        let replayed = resend.headers().contains_key("lavenderwind-replayed");
        match outcome(&resend) {
            Some("ran") => assert!(replayed && resend.text().await.unwrap() == body),
            known => assert_eq!(known, Some("unknown")),
        }
        let executions = cluster
            .standin_json(&cluster.plain_services[0], "/executions")
            .await;
        assert_eq!(executions.as_array().map(Vec::len), Some(round + 1));
        let url = cluster.platform_url();
        cluster.instances[0] = cluster.start_instance(30 + round, &url, TIMING).await;
        cluster.wait_ready().await;
    }
}

/// Instances are replaced one after the other; each new one replays an order's answer.
#[tokio::test]
async fn rolling_replacement() {
    let mut cluster = Cluster::start("rolling_replacement", options()).await;
    let url = cluster.platform_url();
    let body = place_order(&cluster, 0, "order-0").await;
    for round in 0..3 {
        let mut old = cluster.instances.remove(0);
        old.terminate().await;
        assert!(old.wait().await.success());
        let new = cluster.start_instance(20 + round, &url, TIMING).await;
        cluster.wait_instance_ready(&new).await;
        cluster.instances.push(new);
        assert_replayed(&cluster, 2, "order-0", &body).await;
        place_order(&cluster, round % 3, &format!("order-{}", round + 1)).await;
    }
}

/// During an outage of the log, an instance is killed and another one starts. The new
/// instance refuses orders until the outage has ended, and then replays old answers.
#[tokio::test]
async fn outage_and_kill() {
    let mut cluster = Cluster::start("outage_and_kill", options()).await;
    let body = place_order(&cluster, 0, "order-1").await;
    assert_replayed(&cluster, 1, "order-1", &body).await;
    cluster
        .set_faults(&cluster.platform, json!({"log": {"outage": true}}))
        .await;
    cluster.instances[0].kill().await;
    let pending = cluster
        .order(&cluster.instances[1], "order-2", "steel")
        .send()
        .await
        .unwrap();
    assert_eq!(outcome(&pending), Some("not-run"));
    let url = cluster.platform_url();
    let isolated = cluster.start_instance(8, &url, TIMING).await;
    let refused = cluster
        .http
        .post(format!("{}/orders", isolated.url("entry")))
        .bearer_auth(ORDER_KEY)
        .header("idempotency-key", "order-1")
        .body("steel")
        .send()
        .await
        .unwrap();
    assert_eq!(outcome(&refused), Some("not-run"));
    cluster.instances[0] = isolated;
    cluster.set_faults(&cluster.platform, json!({})).await;
    cluster.wait_ready().await;
    for index in 0..3 {
        assert_replayed(&cluster, index, "order-1", &body).await;
    }
}

/// An instance that was paused while an order was run elsewhere, with a slow log whose
/// answers are partly lost, replays the order's answer.
#[tokio::test]
async fn slow_log_and_pause() {
    let cluster = Cluster::start("slow_log_and_pause", options()).await;
    let faults = json!({"log": {"slow_ms": 300, "lose_probability": 0.3, "seed": 5}});
    cluster.set_faults(&cluster.platform, faults).await;
    cluster.instances[2].pause().await;
    let body = place_order(&cluster, 0, "order-1").await;
    cluster.instances[2].resume().await;
    assert_replayed(&cluster, 2, "order-1", &body).await;
    let executions = cluster
        .standin_json(&cluster.plain_services[0], "/executions")
        .await;
    assert_eq!(executions.as_array().map(Vec::len), Some(1));
}

/// Requests are not sent to a target that is leaving.
#[tokio::test]
async fn leaving_target() {
    let options = ClusterOptions {
        plain_services: 2,
        ..options()
    };
    let cluster = Cluster::start("leaving_target", options).await;
    let url = format!("{}/targets/reclaim", cluster.platform_url());
    let reclaim = json!({"group": {"kind": "plain", "failure_domain": "a"}, "notice_ms": 20_000});
    let answer = cluster.http.post(url).json(&reclaim).send().await.unwrap();
    assert!(answer.status().is_success());
    for instance in &cluster.instances {
        let leaving = || async {
            let status = cluster.status(instance).await;
            let targets = status["targets"].as_array().unwrap().clone();
            targets.iter().any(|target| {
                target["name"] == "plain-0"
                    && target["state"]
                        .as_str()
                        .is_some_and(|state| state.contains("leaving"))
            })
        };
        wait_until("the instance sees the target leaving", leaving).await;
    }
    let before = cluster
        .standin_json(&cluster.plain_services[0], "/executions")
        .await;
    for round in 0..12 {
        place_order(&cluster, round % 3, &format!("order-{round}")).await;
    }
    let after = cluster
        .standin_json(&cluster.plain_services[0], "/executions")
        .await;
    assert_eq!(before, after);
}
