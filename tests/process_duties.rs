//! Duties of real processes: usage reports and orders to engines, through
//! kills and pauses of their holders.

mod common;

use std::collections::BTreeMap;

use common::{
    cluster::{Cluster, ClusterOptions},
    process::wait_until,
};
use serde_json::Value;

/// Requests of one round of traffic.
const ROUND: u64 = 6;

fn short_windows() -> ClusterOptions {
    ClusterOptions {
        timing: "  lease_ms: 1000\n  renew_ms: 300\n  drift_ms: 50\n  grace_ms: 200\n  \
                 usage_window_ms: 1000\n  checkpoint_ms: 2000\n"
            .to_owned(),
        ..ClusterOptions::default()
    }
}

/// Index of the instance that holds a duty.
async fn holder(cluster: &Cluster, by: usize, duty: &str) -> Option<usize> {
    let status = cluster.status(&cluster.instances[by]).await;
    let duties = status["duties"].as_array()?;
    let entry = duties.iter().find(|entry| entry["duty"] == duty)?;
    if entry["resigned"] == true {
        return None;
    }
    let name = entry["holder"].as_str()?;
    name.strip_prefix("entry-")?.parse().ok()
}

/// Waits until a duty is held, and returns its holder.
async fn wait_holder(cluster: &Cluster, by: usize, duty: &str) -> usize {
    wait_until("the duty is held", || async {
        holder(cluster, by, duty).await.is_some()
    })
    .await;
    holder(cluster, by, duty).await.expect("the duty is held")
}

async fn round(cluster: &Cluster, skipped: Option<usize>) -> u64 {
    let mut sent = 0;
    for number in 0..ROUND {
        let index = number as usize % cluster.instances.len();
        if Some(index) == skipped {
            continue;
        }
        let answer = cluster.chat(&cluster.instances[index], "usage", 3);
        assert_eq!(answer.send().await.expect("an answer").status(), 200);
        sent += 1;
    }
    sent
}

/// Requests of all windows that the platform accepted. Each window has one
/// figure, and no report comes under an older epoch than one before it.
async fn reported(cluster: &Cluster) -> u64 {
    let received = cluster.standin_json(&cluster.platform, "/usage").await;
    let mut figures: BTreeMap<u64, Value> = BTreeMap::new();
    let mut newest_epoch = 0;
    let mut requests = 0;
    for entry in received.as_array().expect("a list") {
        let report = &entry["report"];
        let window = report["window"].as_u64().expect("a window");
        let epoch = report["epoch"].as_u64().expect("an epoch");
        assert!(epoch >= newest_epoch, "a former holder reported: {entry}");
        newest_epoch = epoch;
        let known = figures.entry(window).or_insert(report["figures"].clone());
        assert_eq!(*known, report["figures"], "window {window} has two figures");
        if entry["verdict"] != "accepted" {
            continue;
        }
        for figure in report["figures"].as_array().expect("figures") {
            requests += figure["requests"].as_u64().expect("a count");
        }
    }
    requests
}

async fn wait_reported(cluster: &Cluster, sent: u64) {
    wait_until("all usage is reported", || async {
        let requests = reported(cluster).await;
        assert!(requests <= sent, "{requests} requests reported of {sent}");
        requests == sent
    })
    .await;
}

#[tokio::test]
async fn killed_reporter() {
    let mut cluster = Cluster::start("killed_reporter", short_windows()).await;
    let mut sent = round(&cluster, None).await;
    wait_reported(&cluster, sent).await;
    let killed = wait_holder(&cluster, 0, "usage").await;
    cluster.instances[killed].kill().await;
    sent += round(&cluster, Some(killed)).await;
    wait_reported(&cluster, sent).await;
    let by = (killed + 1) % cluster.instances.len();
    assert_ne!(wait_holder(&cluster, by, "usage").await, killed);
}

#[tokio::test]
async fn paused_reporter() {
    let cluster = Cluster::start("paused_reporter", short_windows()).await;
    let mut sent = round(&cluster, None).await;
    wait_reported(&cluster, sent).await;
    let paused = wait_holder(&cluster, 0, "usage").await;
    let by = (paused + 1) % cluster.instances.len();
    cluster.instances[paused].pause().await;
    sent += round(&cluster, Some(paused)).await;
    let taken_over = || async { holder(&cluster, by, "usage").await != Some(paused) };
    wait_until("another instance took over", taken_over).await;
    cluster.instances[paused].resume().await;
    cluster
        .wait_instance_ready(&cluster.instances[paused])
        .await;
    sent += round(&cluster, None).await;
    wait_reported(&cluster, sent).await;
}

#[tokio::test]
async fn lost_reports() {
    let cluster = Cluster::start("lost_reports", short_windows()).await;
    let faults = serde_json::json!({"usage": {"lose_probability": 0.6}});
    cluster.set_faults(&cluster.platform, faults).await;
    let mut sent = 0;
    for _ in 0..3 {
        sent += round(&cluster, None).await;
        wait_reported(&cluster, sent).await;
    }
}

#[tokio::test]
async fn resigned_duties() {
    let mut cluster = Cluster::start("resigned_duties", short_windows()).await;
    let sent = round(&cluster, None).await;
    let leaver = wait_holder(&cluster, 0, "usage").await;
    cluster.instances[leaver].terminate().await;
    assert!(cluster.instances[leaver].wait().await.success());
    let by = (leaver + 1) % cluster.instances.len();
    let handed_over = || async {
        let holder = holder(&cluster, by, "usage").await;
        holder.is_some() && holder != Some(leaver)
    };
    wait_until("the duty is handed over", handed_over).await;
    wait_reported(&cluster, sent).await;
}
