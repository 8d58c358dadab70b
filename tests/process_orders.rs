//! Requests that must not be repeated, with separate processes under kills,
//! pauses and outages.

mod common;

use std::time::Duration;

use common::{
    cluster::{Cluster, ClusterOptions, outcome},
    process::wait_until,
};
use serde_json::json;

/// Returns the number of executions, on all plain services, of requests with an
/// idempotency key.
async fn executions(cluster: &Cluster, key: &str) -> usize {
    let mut count = 0;
    for plain in &cluster.plain_services {
        let list = cluster.standin_json(plain, "/executions").await;
        let list = list.as_array().expect("a list").clone();
        count += list
            .iter()
            .filter(|execution| execution["idempotency_key"] == key)
            .count();
    }
    count
}

/// Waits until an instance has applied a request claim to its ledger.
async fn wait_for_claim(cluster: &Cluster, instance: usize) {
    let applied = || async {
        let status = cluster.status(&cluster.instances[instance]).await;
        status["request_claims"].as_u64() > Some(0)
    };
    wait_until("the claim is applied", applied).await;
}

/// Starts a cluster, and kills its first instance after it has claimed `order-1`, whose
/// execution takes `latency_ms`.
async fn start_and_kill_claimant(test: &str, latency_ms: u64) -> Cluster {
    let mut cluster = Cluster::start(test, ClusterOptions::default()).await;
    cluster
        .set_faults(
            &cluster.plain_services[0],
            json!({"latency_ms": latency_ms}),
        )
        .await;
    let pending = cluster
        .order(&cluster.instances[0], "order-1", "steel")
        .send();
    let pending = tokio::spawn(pending);
    wait_for_claim(&cluster, 1).await;
    cluster.instances[0].kill().await;
    assert!(pending.await.unwrap().is_err());
    cluster
}

/// Resends to any instance get the recorded answer; a different body with the same
/// idempotency key is refused.
#[tokio::test]
async fn resend_elsewhere() {
    let cluster = Cluster::start("resend_elsewhere", ClusterOptions::default()).await;
    let first = cluster
        .order(&cluster.instances[0], "order-1", "steel")
        .send()
        .await
        .unwrap();
    assert_eq!(first.status(), 201);
    let first_body = first.text().await.unwrap();
    for instance in &cluster.instances {
        let again = cluster
            .order(instance, "order-1", "steel")
            .send()
            .await
            .unwrap();
        assert_eq!(again.status(), 201);
        assert_eq!(again.headers()["lavenderwind-replayed"], "true");
        assert_eq!(again.text().await.unwrap(), first_body);
    }
    let other_body = cluster
        .order(&cluster.instances[1], "order-1", "copper")
        .send()
        .await;
    assert_eq!(other_body.unwrap().status(), 422);
    assert_eq!(executions(&cluster, "order-1").await, 1);
}

/// The same request, sent to all instances at once, runs only once.
#[tokio::test]
async fn concurrent_resend() {
    let cluster = Cluster::start("concurrent_resend", ClusterOptions::default()).await;
    cluster
        .set_faults(&cluster.plain_services[0], json!({"latency_ms": 300}))
        .await;
    for round in 0..5 {
        let key = format!("order-{round}");
        let sends = cluster
            .instances
            .iter()
            .map(|i| cluster.order(i, &key, "steel").send());
        let answers = futures_util::future::join_all(sends).await;
        for answer in answers {
            let answer = answer.unwrap();
            let known = answer.status() == 201 || outcome(&answer) == Some("unknown");
            assert!(known, "{}", answer.status());
        }
        assert_eq!(executions(&cluster, &key).await, 1);
    }
}

/// An instance is killed after it has claimed a request, which may be running. A
/// resend must not run the request again.
#[tokio::test]
async fn killed_claimant() {
    let cluster = start_and_kill_claimant("killed_claimant", 2_000).await;
    let again = cluster
        .order(&cluster.instances[2], "order-1", "steel")
        .send()
        .await
        .unwrap();
    assert_eq!(outcome(&again), Some("unknown"));
    assert!(executions(&cluster, "order-1").await <= 1);
}

/// An instance is paused while a request that it has claimed runs, and resumes after
/// a resend reached another instance. The request must run at most once.
#[tokio::test]
async fn paused_claimant() {
    let mut cluster = Cluster::start("paused_claimant", ClusterOptions::default()).await;
    cluster
        .set_faults(&cluster.plain_services[0], json!({"latency_ms": 500}))
        .await;
    let pending = tokio::spawn(
        cluster
            .order(&cluster.instances[0], "order-1", "steel")
            .send(),
    );
    wait_for_claim(&cluster, 1).await;
    cluster.instances[0].pause().await;
    // Longer than the lease and than the time after which the live list drops
    // the instance.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let again = cluster
        .order(&cluster.instances[2], "order-1", "steel")
        .send()
        .await
        .unwrap();
    assert_ne!(outcome(&again), Some("not-run"));
    cluster.instances[0].resume().await;
    let answer = match pending.await.unwrap() {
        Ok(answer) => answer,
        Err(error) => {
            // A process that ends closes its connections before its exit status is known.
            tokio::time::sleep(Duration::from_secs(1)).await;
            let exit_status = cluster.instances[0].exit_status();
            panic!("no answer: {error:?}; exit status of the instance: {exit_status:?}");
        }
    };
    let runs = executions(&cluster, "order-1").await;
    match outcome(&answer) {
        Some("not-run") => assert_eq!(runs, 0),
        Some(_) => assert!(runs <= 1),
        None => assert_eq!((answer.status().as_u16(), runs), (201, 1)),
    }
}

/// Guards against a wrong "unknown" outcome: an instance does not know the claimant yet,
/// because the live list is unavailable, and takes it for gone while the request runs.
#[tokio::test]
async fn unlisted_claimant() {
    let cluster = Cluster::start("unlisted_claimant", ClusterOptions::default()).await;
    cluster
        .set_faults(&cluster.platform, json!({"live": {"outage": true}}))
        .await;
    let timing = ClusterOptions::default().timing;
    let url = cluster.platform_url();
    let claimant = cluster.start_instance(3, &url, &timing).await;
    cluster.wait_instance_ready(&claimant).await;
    cluster
        .set_faults(&cluster.plain_services[0], json!({"latency_ms": 500}))
        .await;
    let pending = tokio::spawn(cluster.order(&claimant, "order-1", "steel").send());
    wait_for_claim(&cluster, 1).await;
    let again = cluster
        .order(&cluster.instances[1], "order-1", "steel")
        .send()
        .await
        .unwrap();
    assert_eq!(again.status(), 201);
    assert_eq!(again.headers()["lavenderwind-replayed"], "true");
    assert_eq!(pending.await.unwrap().unwrap().status(), 201);
    assert_eq!(executions(&cluster, "order-1").await, 1);
}

/// Guards against callers that wait for a claimant that terminated before the instance
/// that they ask was started: after the longest wait, they would get status 409.
#[tokio::test]
async fn terminated_claimant() {
    let cluster = start_and_kill_claimant("terminated_claimant", 600_000).await;
    let timing = ClusterOptions::default().timing;
    let url = cluster.platform_url();
    let later = cluster.start_instance(3, &url, &timing).await;
    cluster.wait_instance_ready(&later).await;
    for instance in [&later, &cluster.instances[1]] {
        let again = cluster.order(instance, "order-1", "steel").send().await;
        let again = again.unwrap();
        assert_eq!(again.status(), 502);
        assert_eq!(outcome(&again), Some("unknown"));
    }
}

/// During an outage of the log, orders are refused and not run, while chat requests
/// are still answered.
#[tokio::test]
async fn log_outage() {
    let cluster = Cluster::start("log_outage", ClusterOptions::default()).await;
    cluster
        .set_faults(&cluster.platform, json!({"log": {"outage": true}}))
        .await;
    let refused = cluster
        .order(&cluster.instances[0], "order-1", "steel")
        .send()
        .await
        .unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(outcome(&refused), Some("not-run"));
    assert_eq!(executions(&cluster, "order-1").await, 0);
    let chat = cluster
        .chat(&cluster.instances[0], "hello", 4)
        .send()
        .await
        .unwrap();
    assert_eq!(chat.status(), 200);
    cluster.set_faults(&cluster.platform, json!({})).await;
    let accepted = || async {
        let answer = cluster
            .order(&cluster.instances[1], "order-2", "steel")
            .send()
            .await
            .unwrap();
        answer.status() == 201
    };
    wait_until("orders are accepted again", accepted).await;
    assert_eq!(executions(&cluster, "order-1").await, 0);
}

/// Appends to the log take effect, but some of their answers are lost. A successful
/// request must have run once, and one reported as not run must not have run.
#[tokio::test]
async fn lost_append_answers() {
    let cluster = Cluster::start("lost_append_answers", ClusterOptions::default()).await;
    let faults = json!({"log": {"lose_probability": 0.4, "seed": 7}});
    cluster.set_faults(&cluster.platform, faults).await;
    for round in 0..10 {
        let key = format!("order-{round}");
        let instance = &cluster.instances[round % 3];
        let answer = cluster.order(instance, &key, "steel").send().await.unwrap();
        let taken = answer.status() == 201;
        assert!(
            taken || outcome(&answer) == Some("not-run"),
            "{}",
            answer.status()
        );
        assert_eq!(executions(&cluster, &key).await, usize::from(taken));
    }
}

/// A target runs a request, but its answer is lost. Resends must report the unknown
/// outcome and must not run the request again.
#[tokio::test]
async fn lost_target_answer() {
    let cluster = Cluster::start("lost_target_answer", ClusterOptions::default()).await;
    cluster
        .set_faults(&cluster.plain_services[0], json!({"cut_after": 1}))
        .await;
    let lost = cluster
        .order(&cluster.instances[0], "order-1", "steel")
        .send()
        .await
        .unwrap();
    assert_eq!(outcome(&lost), Some("unknown"));
    for instance in &cluster.instances {
        let again = cluster
            .order(instance, "order-1", "steel")
            .send()
            .await
            .unwrap();
        assert_eq!(outcome(&again), Some("unknown"));
    }
    assert_eq!(executions(&cluster, "order-1").await, 1);
}
