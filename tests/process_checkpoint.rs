//! Rebuilding the ledger from checkpoints after log records have expired, with
//! separate processes.

mod common;

use common::{
    cluster::{Cluster, ClusterOptions, outcome},
    process::wait_until,
};
use serde_json::json;

/// Number of records that the log retains.
const RETENTION: usize = 60;

fn timing(checkpoint_ms: u64) -> String {
    format!(
        "  lease_ms: 1000\n  renew_ms: 300\n  usage_window_ms: 1000\n  \
         checkpoint_ms: {checkpoint_ms}\n"
    )
}

fn options(checkpoint_ms: u64) -> ClusterOptions {
    ClusterOptions {
        timing: timing(checkpoint_ms),
        ..ClusterOptions::default()
    }
}

/// Limits the log's retention and waits until the first records have expired.
async fn wait_expired(cluster: &Cluster) {
    let faults = json!({"retention_records": RETENTION});
    cluster.set_faults(&cluster.platform, faults).await;
    let url = format!("{}/log/read?from=1&max=1&wait_ms=0", cluster.platform_url());
    let expired = || async {
        let answer = cluster.http.get(&url).send().await.expect("an answer");
        // After twice the retention, none of the earlier records are left.
        let applied = cluster.status(&cluster.instances[0]).await["applied_offset"].clone();
        answer.status() == 410 && applied.as_u64() > Some(2 * RETENTION as u64)
    };
    wait_until("the first records have expired", expired).await;
}

/// An instance that starts after records have expired rebuilds its ledger from a
/// checkpoint, including the outcome of an earlier order.
#[tokio::test]
async fn rebuilt_instance() {
    let mut cluster = Cluster::start("rebuilt_instance", options(1_000)).await;
    let first = cluster.order(&cluster.instances[0], "order-7", "ten sheets");
    let first = first.send().await.expect("an answer");
    assert!(first.status().is_success());
    let first = first.text().await.expect("a body");
    wait_expired(&cluster).await;
    let url = cluster.platform_url();
    let late = cluster.start_instance(5, &url, &timing(1_000)).await;
    cluster.instances.push(late);
    cluster.wait_ready().await;
    let late = &cluster.instances[3];
    let answer = cluster.chat(late, "hello", 2).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    // The checkpoint contains the outcome of an order whose records have
    // expired.
    let resent = cluster.order(late, "order-7", "ten sheets");
    let resent = resent.send().await.expect("an answer");
    assert_eq!(resent.headers()["lavenderwind-replayed"], "true");
    assert_eq!(resent.text().await.expect("a body"), first);
    let received = cluster
        .standin_json(&cluster.plain_services[0], "/executions")
        .await;
    assert_eq!(received.as_array().expect("a list").len(), 1, "{received}");
}

/// Without a checkpoint, an instance that starts after records have expired refuses
/// requests and reports why.
#[tokio::test]
async fn incomplete_ledger() {
    let cluster = Cluster::start("incomplete_ledger", options(3_600_000)).await;
    wait_expired(&cluster).await;
    let url = cluster.platform_url();
    let late = cluster.start_instance(5, &url, &timing(3_600_000)).await;
    let reported = || async {
        let status = cluster.status(&late).await;
        let reasons = status["not_ready"].as_array().expect("a list").clone();
        reasons.contains(&json!("ledger-incomplete"))
    };
    wait_until("the instance reports its incomplete ledger", reported).await;
    let ready = format!("{}/readyz", late.url("admin"));
    let answer = cluster.http.get(ready).send().await.expect("an answer");
    assert_eq!(answer.status(), 503);
    let refused = cluster.chat(&late, "hello", 2).send().await.unwrap();
    assert_eq!(outcome(&refused), Some("not-run"));
}
